//! Choice of a backend server by what this host sees.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use super::{
    backend::{Backend, Distance, Slot},
    budget::{Budget, LinkShare},
    health::{Health, Report, Sample},
    loan::{Ask, AskId, Lender},
    queue::FairQueue,
};
use crate::{
    declaration::DeclaredState,
    event::{Event, Kind},
    host::HostInfo,
    result::Code,
    rollout::HostRollouts,
    time::Instant,
    traffic::{FlightKey, Outbox, Outcome},
    view::View,
};

new_key_type! {
    /// Key of a backend server in one host's balancer, kept over revisions.
    pub struct BackendKey;
}

/// Latency that is assumed of a server that has not answered yet, in seconds.
const ASSUMED_LATENCY: f64 = 0.02;
/// A server this many times slower than the fastest one of its kind is held out.
const SLOW_FACTOR: f64 = 4.0;
/// Time between two requests to a server that is held out as slow.
const SLOW_TRIAL_PERIOD: Duration = Duration::from_millis(500);
/// Weight of the newest sample in the mean of own requests.
const MEAN_WEIGHT: f64 = 0.05;
/// Part of the time left that a request waits for a slot at most, as a divisor.
const WAIT_DIVISOR: u32 = 2;
/// A request that waits keeps this many times the expected latency for its answer.
const EXPECTED_FACTOR: u32 = 2;
/// An answer that did not come within this many times the mean says that the server fails.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Largest part of the servers of one version that may be held out, as a divisor.
const HELD_OUT_DIVISOR: usize = 2;

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The request.
    pub flight: FlightKey,
    /// Name of its route.
    pub route: &'a str,
    /// Name of its workspace, empty on open routes.
    pub workspace: &'a str,
    /// When its answer is due.
    pub deadline: Instant,
    /// Whether it was sent to a server before.
    pub retry: bool,
    /// Servers that it should not go to.
    pub not: &'a [BackendKey],
    /// Whether any server will do when there is no other.
    pub any: bool,
}

/// What a request should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Go to this server.
    Send(BackendKey, SocketAddr),
    /// Wait to be woken, at most until then.
    Wait(Instant),
    /// Be answered with this code.
    Refuse(Code),
}

/// A request in flight on a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub backend: BackendKey,
    pub slot: Slot,
    pub started: Instant,
}

/// State of one route on this host.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteState {
    pub queue: FairQueue,
    /// Mean number of own requests, waiting ones included.
    pub mean: f64,
    /// The next group of hosts to ask for slots.
    pub ring: u8,
    /// Asks under way.
    pub asks: u16,
    /// When the last ask was sent.
    pub asked: Instant,
    /// Longest deadline of a request.
    pub deadline: Duration,
    /// Requests chosen, to spread asks and ties.
    pub turn: usize,
}

/// Choice of backend servers, and the slots of this host.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(super) me: Option<HostInfo>,
    pub(super) backends: SlotMap<BackendKey, Backend>,
    pub(super) names: HashMap<String, BackendKey>,
    pub(super) routes: BTreeMap<String, RouteState>,
    pub(super) rings: [Vec<SocketAddr>; 3],
    /// Until when each waiting request waits.
    waits: SecondaryMap<FlightKey, Instant>,
    pub(super) running: SecondaryMap<FlightKey, Running>,
    pub(super) lender: Lender,
    pub(super) asks: HashMap<AskId, (String, Ask)>,
    pub(super) last_ask: AskId,
    pub(super) budget: Budget,
    pub(super) link: LinkShare,
    pub(super) answer_share: u64,
    pub(super) domain_distance: HashMap<String, Distance>,
    pub(super) stopping: bool,
    slow_trials: SecondaryMap<BackendKey, Instant>,
    /// Moves of traffic between versions.
    pub rollouts: HostRollouts,
}

impl Balancer {
    /// Takes over a new view: declared servers, this host's slots and the hosts to borrow from.
    pub fn install(&mut self, now: Instant, view: &View) {
        let first = self.backends.is_empty();
        self.me = Some(view.me.clone());
        self.stopping = view.stopping;
        let declaration = &view.declaration;
        let mut left = std::collections::HashSet::new();
        for (key, backend) in &mut self.backends {
            if !backend.serving {
                left.insert(key);
            }
            (backend.serving, backend.own) = (false, 0);
        }
        let my_region = declaration.region_of(&view.me.domain);
        for server in declaration.servers.values() {
            let domain = &declaration.domains[server.domain];
            let distance = match () {
                () if domain.name == view.me.domain => Distance::Domain,
                () if Some(domain.region) == my_region => Distance::Region,
                () => Distance::Far,
            };
            let own = match (view.open_seat, distance) {
                (Some(seat), Distance::Domain) => {
                    super::share::own_slots(&server.name, server.slots, domain.seats, seat)
                }
                _ => 0,
            };
            let route = &declaration.routes[server.route].name;
            let health = if first { Health::default() } else { Health::cold(now) };
            let key = *self.names.entry(server.name.clone()).or_insert_with(|| {
                self.backends.insert(Backend {
                    name: server.name.clone(),
                    address: server.address,
                    route: route.clone(),
                    version: server.version.clone(),
                    serving: false,
                    distance,
                    own: 0,
                    own_used: 0,
                    lent: 0,
                    borrowed: Vec::new(),
                    health: health.clone(),
                })
            });
            let backend = &mut self.backends[key];
            let returns = left.contains(&key) && server.state == DeclaredState::Serving;
            if returns || backend.address != server.address || backend.version != server.version {
                backend.health = health;
            }
            backend.address = server.address;
            backend.route.clone_from(route);
            backend.version.clone_from(&server.version);
            backend.distance = distance;
            backend.own = own;
            backend.serving = server.state == DeclaredState::Serving;
        }
        self.forget_undeclared(view);
        self.install_hosts(now, view);
        self.rollouts.install(view);
    }

    fn forget_undeclared(&mut self, view: &View) {
        let declared: std::collections::HashSet<&str> =
            view.declaration.servers.values().map(|s| s.name.as_str()).collect();
        let idle = |b: &Backend| b.in_flight() == 0 && b.lent == 0 && b.borrowed.is_empty();
        self.backends.retain(|_, b| declared.contains(b.name.as_str()) || !idle(b));
        let backends = &self.backends;
        self.names.retain(|_, key| backends.contains_key(*key));
    }

    fn install_hosts(&mut self, now: Instant, view: &View) {
        let declaration = &view.declaration;
        let mine = declaration.domain(&view.me.domain);
        let my_region = declaration.region_of(&view.me.domain);
        let distance = |name: &str| match declaration.domain(name) {
            Some(d) if Some(d) == mine => Distance::Domain,
            Some(d) if Some(declaration.domains[d].region) == my_region => Distance::Region,
            _ => Distance::Far,
        };
        self.domain_distance =
            declaration.domains.values().map(|d| (d.name.clone(), distance(&d.name))).collect();
        self.rings = Default::default();
        for host in view.hosts.iter().filter(|h| h.incarnation != view.me.incarnation) {
            self.rings[distance(&host.domain) as usize].push(host.peer_address);
        }
        let region = my_region.map(|r| &declaration.regions[r]);
        let seats: u64 = declaration
            .domains
            .values()
            .filter(|d| Some(d.region) == my_region)
            .map(|d| u64::from(d.seats))
            .sum();
        let link = region.map_or(0, |r| r.link_limit / seats.max(1));
        // Half of the share is for requests that this host sends, half for answers to others.
        self.link.set_rate(now, link / 2);
        self.answer_share = link / 2;
        for route in declaration.routes.values() {
            let state = self.routes.entry(route.name.clone()).or_default();
            state.deadline = route.deadline;
        }
    }

    /// Chooses a server for a request, or lets it wait.
    pub fn choose(&mut self, now: Instant, want: &Want<'_>, out: &mut Outbox) -> Choice {
        let state = self.routes.entry(want.route.to_owned()).or_default();
        let woken = state.queue.come_back(want.flight);
        let waiting = woken || state.queue.holds(want.flight);
        if !want.retry && !waiting {
            self.budget.deposit();
        }
        if now >= want.deadline {
            state.queue.remove(want.flight);
            return Choice::Refuse(Code::NoServer);
        }
        let retry = want.retry;
        let open = state.queue.is_empty() && !waiting;
        let (queued, other) = (state.queue.woken(), woken || retry);
        if retry && !waiting && !self.budget.withdraw() {
            return Choice::Refuse(Code::NoServer);
        }
        let has_turn = other || (open && self.free(now, want.route) > queued);
        if has_turn && let Some((key, slot)) = self.pick(now, want) {
            return self.send(now, want, key, slot, out);
        }
        self.wait(now, want, woken, waiting, out)
    }

    fn send(
        &mut self,
        now: Instant,
        want: &Want<'_>,
        key: BackendKey,
        slot: Slot,
        out: &mut Outbox,
    ) -> Choice {
        let backend = &mut self.backends[key];
        if !backend.take(slot) {
            let detail = format!("no free slot on the backend server {}", backend.name);
            out.events.push(Event::new(Kind::InvariantBroken, detail));
            return Choice::Refuse(Code::NoServer);
        }
        backend.health.note_start(now, backend.own_used == 1);
        let address = backend.address;
        let far = matches!(slot, Slot::Borrowed(a) if backend.loan(a).is_some_and(|l| l.far));
        if far && !self.budget.withdraw() {
            let detail = "a request left the region without a token of the budget";
            out.events.push(Event::new(Kind::InvariantBroken, detail));
        }
        self.rollouts.record_request(want.route, &self.backends[key].version, out);
        self.waits.remove(want.flight);
        self.running.insert(want.flight, Running { backend: key, slot, started: now });
        if let Some(state) = self.routes.get_mut(want.route) {
            state.queue.remove(want.flight);
        }
        Choice::Send(key, address)
    }

    fn wait(
        &mut self,
        now: Instant,
        want: &Want<'_>,
        woken: bool,
        waiting: bool,
        out: &mut Outbox,
    ) -> Choice {
        let left = want.deadline.saturating_since(now);
        let needed = self.expected_latency(want.route) * EXPECTED_FACTOR;
        let limit = now + (left / WAIT_DIVISOR).min(left.saturating_sub(needed));
        let latest = self.waits.get(want.flight).copied().unwrap_or(limit);
        let hopeless = !self.has_server(want.route);
        let Some(state) = self.routes.get_mut(want.route) else {
            return Choice::Refuse(Code::NoServer);
        };
        if now >= latest || hopeless {
            state.queue.remove(want.flight);
            self.waits.remove(want.flight);
            return Choice::Refuse(Code::NoServer);
        }
        let in_line = waiting && !woken;
        self.waits.insert(want.flight, latest);
        if !in_line && !state.queue.push(want.workspace, want.flight, woken) {
            return Choice::Refuse(Code::QueueFull);
        }
        self.ask(now, want.route, out);
        Choice::Wait(latest)
    }

    /// Whether any declared server of the route serves a version that takes traffic.
    fn has_server(&self, route: &str) -> bool {
        self.backends.values().any(|b| {
            b.route == route && b.serving && self.rollouts.receives_traffic(route, &b.version)
        })
    }

    /// The best free slot of the versions that the request may use.
    fn pick(&mut self, now: Instant, want: &Want<'_>) -> Option<(BackendKey, Slot)> {
        let versions = self.rollouts.candidate_versions(want.route);
        let found = versions.iter().find_map(|version| self.pick_version(now, want, version));
        if found.is_some() || !want.any {
            return found;
        }
        let anywhere = Want { not: &[], any: false, ..*want };
        versions.iter().find_map(|version| self.pick_version(now, &anywhere, version))
    }

    fn pick_version(
        &mut self,
        now: Instant,
        want: &Want<'_>,
        version: &str,
    ) -> Option<(BackendKey, Slot)> {
        let far = self.link.is_open(now) && self.budget.has_token();
        let kin: Vec<BackendKey> = self.kin(want.route, version).collect();
        let fastest = kin
            .iter()
            .map(|k| &self.backends[*k].health)
            .filter(|h| h.is_measured() && !h.is_held_out())
            .filter_map(Health::latency)
            .min_by(f64::total_cmp);
        let slow = |b: &Backend| {
            let latency = b.health.latency().filter(|_| b.health.is_measured());
            matches!((latency, fastest), (Some(l), Some(f)) if l > f * SLOW_FACTOR)
        };
        let most_slow = kin.len() / HELD_OUT_DIVISOR;
        let held: Vec<BackendKey> =
            kin.iter().copied().filter(|k| slow(&self.backends[*k])).take(most_slow).collect();
        let turn = self.routes.get_mut(want.route).map_or(0, |s| {
            s.turn = s.turn.wrapping_add(1);
            s.turn
        });
        let scored = kin.iter().enumerate().filter_map(|(n, key)| {
            let backend = &self.backends[*key];
            let due = self.slow_trials.get(*key).is_none_or(|t| *t + SLOW_TRIAL_PERIOD <= now);
            if want.not.contains(key) || (held.contains(key) && !due) {
                return None;
            }
            let slot = backend.free_slot(now, want.deadline, far)?;
            let rank = n.wrapping_add(turn) % kin.len();
            Some((held.contains(key), backend.distance, score(now, backend), rank, *key, slot))
        });
        // A server held out as slow gets its rare trial before others are weighed.
        let best = scored.min_by(|a, b| {
            (b.0, a.1).cmp(&(a.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
        })?;
        if best.0 {
            self.slow_trials.insert(best.4, now);
        }
        Some((best.4, best.5))
    }

    /// Servers of one version of a route.
    fn kin(&self, route: &str, version: &str) -> impl Iterator<Item = BackendKey> {
        self.backends
            .iter()
            .filter(move |(_, b)| b.serving && b.route == route && b.version == version)
            .map(|(key, _)| key)
    }

    /// Takes in how a try ended.
    pub fn finish(&mut self, now: Instant, flight: FlightKey, outcome: Outcome, out: &mut Outbox) {
        let Some(run) = self.running.remove(flight) else { return };
        let took = now.saturating_since(run.started);
        let Some(backend) = self.backends.get_mut(run.backend) else { return };
        backend.release(now, run.slot);
        let short = backend.health.latency().unwrap_or(ASSUMED_LATENCY) * TIMEOUT_FACTOR;
        if outcome == Outcome::TimedOut && took.as_secs_f64() < short {
            // The request began too late for its deadline; that says nothing of the server.
            let route = backend.route.clone();
            return self.wake(now, &route, out);
        }
        let sample = sample(outcome);
        let cold = backend.health.is_cold(now);
        let eject = backend.health.see(now, sample, took);
        let (route, version) = (backend.route.clone(), backend.version.clone());
        self.rollouts.record_outcome(&route, &version, sample, took, cold, out);
        if eject {
            self.eject(now, run.backend, out);
        }
        self.wake(now, &route, out);
        let idle = self.routes.get(&route).is_none_or(|s| s.queue.woken() == 0);
        if idle && matches!(run.slot, Slot::Borrowed(_)) {
            self.give_back(now, out);
        }
    }

    fn eject(&mut self, now: Instant, key: BackendKey, out: &mut Outbox) {
        let backend = &self.backends[key];
        let kin: Vec<_> = self.kin(&backend.route, &backend.version).collect();
        let held = kin.iter().filter(|k| self.backends[**k].health.is_held_out()).count();
        let trial = backend.health.is_held_out();
        let bound = trial || backend.health.is_unreachable();
        if !bound && held + 1 > kin.len() / HELD_OUT_DIVISOR {
            return;
        }
        let backend = &mut self.backends[key];
        backend.health.eject(now);
        if !trial {
            out.events.push(Event::new(Kind::ServerEjected, &backend.name));
        }
    }

    /// Ends a request whose caller has gone away, sent or waiting.
    pub fn abandon(&mut self, now: Instant, flight: FlightKey, route: &str, out: &mut Outbox) {
        if let Some(run) = self.running.remove(flight)
            && let Some(backend) = self.backends.get_mut(run.backend)
        {
            backend.release(now, run.slot);
        }
        if let Some(state) = self.routes.get_mut(route) {
            state.queue.remove(flight);
        }
        self.waits.remove(flight);
        self.wake(now, route, out);
    }

    /// Forgets a request that has ended while it waited.
    pub fn forget(&mut self, flight: FlightKey) {
        if self.waits.remove(flight).is_some() {
            self.routes.values_mut().for_each(|s| s.queue.remove(flight));
        }
    }

    /// Counts what a request sent to its server and what came back, in bytes.
    pub fn carried(&mut self, flight: FlightKey, sent: u64, received: u64) {
        let Some(run) = self.running.get(flight) else { return };
        let Slot::Borrowed(ask) = run.slot else { return };
        let loan = self.backends.get_mut(run.backend).and_then(|b| b.loan(ask));
        let Some(loan) = loan.filter(|l| l.far) else { return };
        loan.bytes -= received as i64;
        self.link.charge(sent);
    }

    /// Takes in what a server reports of itself.
    pub fn hear_report(&mut self, server: &str, report: Report) {
        if let Some(backend) = self.names.get(server).and_then(|k| self.backends.get_mut(*k)) {
            backend.health.hear_report(report);
        }
    }

    /// Wakes waiting requests for which a slot may be free.
    pub(super) fn wake(&mut self, now: Instant, route: &str, out: &mut Outbox) {
        let free = self.free(now, route);
        let Some(state) = self.routes.get_mut(route) else { return };
        while state.queue.woken() < free
            && let Some(flight) = state.queue.wake()
        {
            out.wakes.push(flight);
        }
    }

    /// Free slots of a route on servers whose version takes traffic.
    fn free(&mut self, now: Instant, route: &str) -> usize {
        let far = self.link.is_open(now) && self.budget.has_token();
        let servers = self.backends.values().filter(|b| b.route == route);
        let servers = servers.filter(|b| self.rollouts.may_receive_next(route, &b.version));
        servers.map(|b| usize::from(b.free_slots(now, now, far))).sum()
    }

    /// Takes the number of own requests into the mean.
    pub(super) fn sample_load(&mut self, route: &str) {
        let taken: u16 =
            self.backends.values().filter(|b| b.route == route).map(|b| b.in_flight()).sum();
        if let Some(state) = self.routes.get_mut(route) {
            let load = f64::from(taken) + state.queue.len() as f64;
            state.mean += MEAN_WEIGHT * (load - state.mean);
        }
    }

    fn expected_latency(&self, route: &str) -> Duration {
        let seen = self.backends.values().filter(|b| b.route == route);
        let fastest = seen.filter_map(|b| b.health.latency()).min_by(f64::total_cmp);
        Duration::from_secs_f64(fastest.unwrap_or(0.0))
    }

    /// Name of a backend server.
    pub fn name(&self, key: BackendKey) -> Option<&str> {
        self.backends.get(key).map(|b| b.name.as_str())
    }

    /// Every backend server as this host uses it.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }
}

/// Expected time of a further request: latency grows with the part of the slots that is taken.
fn score(now: Instant, backend: &Backend) -> f64 {
    let latency = backend.health.latency().unwrap_or(ASSUMED_LATENCY);
    let taken = f64::from(backend.in_flight() + 1) / f64::from(backend.usable().max(1));
    latency * taken * backend.health.report_factor(now)
}

fn sample(outcome: Outcome) -> Sample {
    match outcome {
        Outcome::Answered(503) => Sample::Shed,
        Outcome::Answered(status) if status >= 500 => Sample::Failed,
        Outcome::Answered(_) => Sample::Good,
        Outcome::ConnectFailed => Sample::NoConnection,
        Outcome::ConnectionLost | Outcome::TimedOut | Outcome::BadAnswer => Sample::Failed,
    }
}
