//! Selection of a backend server by measured latency, load and health.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use super::{
    backend::{Backend, Distance, Slot},
    budget::{LinkShare, RetryBudget},
    health::{Health, Sample, ServerReport},
    loan::{Lender, LoanId, LoanRequest},
    queue::FairQueue,
};
use crate::{
    event::{Event, Kind},
    host::HostInfo,
    result::Code,
    rollout::Rollouts,
    time::Instant,
    traffic::{FlightKey, Outbox, Outcome},
    view::View,
    world::Duty,
};

new_key_type! {
    /// Key of a backend server in one host's balancer, stable across revisions.
    pub struct BackendKey;
}

/// Latency assumed for a server that has not answered yet.
const ASSUMED_LATENCY_SECS: f64 = 0.02;
/// A server counts as slow when its latency exceeds that of the fastest server of the same version by
/// this factor.
const SLOW_LATENCY_RATIO: f64 = 4.0;
/// Time between two requests to a slow server.
const SLOW_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of the newest sample in the moving average of a route's load.
const LOAD_EWMA_WEIGHT: f64 = 0.05;
/// Maximum fraction of its remaining time that a request waits for a slot, as a divisor.
const MAX_WAIT_DIVISOR: u32 = 2;
/// A waiting request reserves this many times the expected latency for its answer.
const RESERVED_LATENCY_FACTOR: u32 = 2;
/// A timeout counts as a failure of the server only after this many times its mean latency.
const MIN_TIMEOUT_FACTOR: f64 = 4.0;
/// Maximum fraction of the servers of one version that may be ejected, or avoided as slow, as a
/// divisor.
const MAX_EXCLUDED_DIVISOR: usize = 2;

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Key of the request.
    pub flight: FlightKey,
    /// Name of the route.
    pub route: &'a str,
    /// Name of the workspace; empty on open routes.
    pub workspace: &'a str,
    /// When the answer is due.
    pub deadline: Instant,
    /// Whether the request was sent to a server before.
    pub is_retry: bool,
    /// Servers to avoid.
    pub excluded: &'a [BackendKey],
    /// Whether an excluded server may be used when no other has a free slot.
    pub allow_excluded: bool,
}

/// Result of selecting a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Send the request to this server.
    Send(BackendKey, SocketAddr),
    /// Wait until the request is woken, at most until this time.
    Wait(Instant),
    /// Answer the caller with this code.
    Refuse(Code),
}

/// A request in flight on a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    pub backend: BackendKey,
    pub slot: Slot,
    pub started: Instant,
}

/// State of one route on this host.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteState {
    pub queue: FairQueue,
    /// Moving average of this host's requests, in flight or queued.
    pub mean_load: f64,
    /// Distance of the hosts to request loans from next, as an index of [`Distance`].
    pub next_distance: u8,
    /// Loan requests that have not been answered.
    pub pending_loan_requests: u16,
    /// When the last loan requests were sent.
    pub last_loan_request_at: Instant,
    /// Longest deadline that a request may have.
    pub max_deadline: Duration,
    /// Counter that rotates the order of hosts and of servers with equal scores.
    pub rotation: usize,
}

/// Selects backend servers and manages the slots of this host.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(super) local_host: Option<HostInfo>,
    pub(super) backends: SlotMap<BackendKey, Backend>,
    pub(super) keys_by_name: HashMap<String, BackendKey>,
    pub(super) routes: BTreeMap<String, RouteState>,
    /// Peer addresses of the other hosts, indexed by [`Distance`].
    pub(super) peers_by_distance: [Vec<SocketAddr>; 3],
    /// Latest time until which each waiting request waits.
    wait_limits: SecondaryMap<FlightKey, Instant>,
    pub(super) sent_requests: SecondaryMap<FlightKey, SentRequest>,
    pub(super) lender: Lender,
    pub(super) loan_requests: HashMap<LoanId, (String, LoanRequest)>,
    pub(super) last_loan_id: LoanId,
    pub(super) retry_budget: RetryBudget,
    pub(super) link_share: LinkShare,
    /// This host's share of its region's link for answers to requests of other regions.
    pub(super) response_bytes_per_second: u64,
    pub(super) distance_by_domain: HashMap<String, Distance>,
    pub(super) stopping: bool,
    /// When a request was last sent to each slow server.
    last_slow_probes: SecondaryMap<BackendKey, Instant>,
    /// Rollouts, which shift traffic between versions.
    pub rollouts: Rollouts,
}

impl Balancer {
    /// Applies a new view: the declared servers, this host's slots and the hosts to borrow from.
    pub fn install(&mut self, now: Instant, view: &View) {
        let is_first = self.backends.is_empty();
        self.local_host = Some(view.me.clone());
        self.stopping = view.stopping;
        let world = &view.world;
        let mut not_serving = std::collections::HashSet::new();
        for (key, backend) in &mut self.backends {
            if !backend.serving {
                not_serving.insert(key);
            }
            (backend.serving, backend.owned) = (false, 0);
        }
        let my_region = world.region_of(&view.me.domain);
        for server in world.servers.values() {
            let domain = &world.domains[server.domain];
            let distance = match () {
                () if domain.name == view.me.domain => Distance::SameDomain,
                () if Some(domain.region) == my_region => Distance::SameRegion,
                () => Distance::OtherRegion,
            };
            let owned = match (view.open_seat, distance) {
                (Some(seat), Distance::SameDomain) => {
                    super::share::own_slots(&server.name, server.slots, domain.seats, seat)
                }
                _ => 0,
            };
            let route = &world.routes[server.route].name;
            let health = if is_first { Health::default() } else { Health::slow_start(now) };
            let key = *self.keys_by_name.entry(server.name.clone()).or_insert_with(|| {
                self.backends.insert(Backend {
                    name: server.name.clone(),
                    address: server.address,
                    route: route.clone(),
                    version: server.version.clone(),
                    serving: false,
                    distance,
                    owned: 0,
                    owned_in_use: 0,
                    lent: 0,
                    borrowed: Vec::new(),
                    health: health.clone(),
                })
            });
            let backend = &mut self.backends[key];
            let returns = not_serving.contains(&key) && server.duty == Duty::Serving;
            if returns || backend.address != server.address || backend.version != server.version {
                backend.health = health;
            }
            backend.address = server.address;
            backend.route.clone_from(route);
            backend.version.clone_from(&server.version);
            backend.distance = distance;
            backend.owned = owned;
            backend.serving = server.duty == Duty::Serving;
        }
        self.remove_undeclared(view);
        self.install_hosts(now, view);
        self.rollouts.install(view);
    }

    /// Removes servers that are no longer declared and have no slot in use, lent or borrowed.
    fn remove_undeclared(&mut self, view: &View) {
        let declared: std::collections::HashSet<&str> =
            view.world.servers.values().map(|s| s.name.as_str()).collect();
        let is_idle = |b: &Backend| b.in_flight() == 0 && b.lent == 0 && b.borrowed.is_empty();
        self.backends.retain(|_, b| declared.contains(b.name.as_str()) || !is_idle(b));
        let backends = &self.backends;
        self.keys_by_name.retain(|_, key| backends.contains_key(*key));
    }

    fn install_hosts(&mut self, now: Instant, view: &View) {
        let world = &view.world;
        let my_domain = world.domain(&view.me.domain);
        let my_region = world.region_of(&view.me.domain);
        let distance = |name: &str| match world.domain(name) {
            Some(d) if Some(d) == my_domain => Distance::SameDomain,
            Some(d) if Some(world.domains[d].region) == my_region => Distance::SameRegion,
            _ => Distance::OtherRegion,
        };
        self.distance_by_domain =
            world.domains.values().map(|d| (d.name.clone(), distance(&d.name))).collect();
        self.peers_by_distance = Default::default();
        for host in view.hosts.iter().filter(|h| h.incarnation != view.me.incarnation) {
            self.peers_by_distance[distance(&host.domain) as usize].push(host.peer_address);
        }
        let region = my_region.map(|r| &world.regions[r]);
        let seats: u64 = world
            .domains
            .values()
            .filter(|d| Some(d.region) == my_region)
            .map(|d| u64::from(d.seats))
            .sum();
        let link = region.map_or(0, |r| r.link / seats.max(1));
        // One half is for requests that this host sends, the other for its answers to other regions.
        self.link_share.set_rate(now, link / 2);
        self.response_bytes_per_second = link / 2;
        for route in world.routes.values() {
            let state = self.routes.entry(route.name.clone()).or_default();
            state.max_deadline = route.deadline;
        }
    }

    /// Selects a server for a request, queues the request or refuses it.
    pub fn select(
        &mut self,
        now: Instant,
        request: &SelectionRequest<'_>,
        out: &mut Outbox,
    ) -> Selection {
        let state = self.routes.entry(request.route.to_owned()).or_default();
        let woken = state.queue.clear_woken(request.flight);
        let waiting = woken || state.queue.contains(request.flight);
        if !request.is_retry && !waiting {
            self.retry_budget.deposit();
        }
        if now >= request.deadline {
            state.queue.remove(request.flight);
            return Selection::Refuse(Code::NoServer);
        }
        let is_retry = request.is_retry;
        let skips_queue = state.queue.is_empty() && !waiting;
        let (reserved, has_priority) = (state.queue.woken(), woken || is_retry);
        if is_retry && !waiting && !self.retry_budget.withdraw() {
            return Selection::Refuse(Code::NoServer);
        }
        let has_turn =
            has_priority || (skips_queue && self.count_free_slots(now, request.route) > reserved);
        if has_turn && let Some((key, slot)) = self.pick_slot(now, request) {
            return self.send(now, request, key, slot, out);
        }
        self.wait(now, request, woken, waiting, out)
    }

    fn send(
        &mut self,
        now: Instant,
        request: &SelectionRequest<'_>,
        key: BackendKey,
        slot: Slot,
        out: &mut Outbox,
    ) -> Selection {
        let backend = &mut self.backends[key];
        if !backend.acquire(slot) {
            let detail = format!("no free slot on the backend server {}", backend.name);
            out.events.push(Event::new(Kind::InvariantBroken, detail));
            return Selection::Refuse(Code::NoServer);
        }
        backend.health.record_start(now, backend.owned_in_use == 1);
        let address = backend.address;
        let cross_region =
            matches!(slot, Slot::Borrowed(a) if backend.loan(a).is_some_and(|l| l.cross_region));
        if cross_region && !self.retry_budget.withdraw() {
            let detail = "a request was sent to another region without a token of the retry budget";
            out.events.push(Event::new(Kind::InvariantBroken, detail));
        }
        self.rollouts.note_start(request.route, &self.backends[key].version, out);
        self.wait_limits.remove(request.flight);
        self.sent_requests.insert(request.flight, SentRequest { backend: key, slot, started: now });
        if let Some(state) = self.routes.get_mut(request.route) {
            state.queue.remove(request.flight);
        }
        Selection::Send(key, address)
    }

    fn wait(
        &mut self,
        now: Instant,
        request: &SelectionRequest<'_>,
        woken: bool,
        waiting: bool,
        out: &mut Outbox,
    ) -> Selection {
        let left = request.deadline.saturating_since(now);
        let reserved = self.fastest_latency(request.route) * RESERVED_LATENCY_FACTOR;
        let limit = now + (left / MAX_WAIT_DIVISOR).min(left.saturating_sub(reserved));
        let latest = self.wait_limits.get(request.flight).copied().unwrap_or(limit);
        let has_no_server = !self.has_server(request.route);
        let Some(state) = self.routes.get_mut(request.route) else {
            return Selection::Refuse(Code::NoServer);
        };
        if now >= latest || has_no_server {
            state.queue.remove(request.flight);
            self.wait_limits.remove(request.flight);
            return Selection::Refuse(Code::NoServer);
        }
        let is_queued = waiting && !woken;
        self.wait_limits.insert(request.flight, latest);
        if !is_queued && !state.queue.push(request.workspace, request.flight, woken) {
            return Selection::Refuse(Code::QueueFull);
        }
        self.request_loans(now, request.route, out);
        Selection::Wait(latest)
    }

    /// Whether any server of the route accepts requests and runs a version that receives traffic.
    fn has_server(&self, route: &str) -> bool {
        self.backends.values().any(|b| {
            b.route == route && b.serving && self.rollouts.takes_traffic(route, &b.version)
        })
    }

    /// Returns the best free slot among the versions that the request may use.
    fn pick_slot(
        &mut self,
        now: Instant,
        request: &SelectionRequest<'_>,
    ) -> Option<(BackendKey, Slot)> {
        let versions = self.rollouts.versions(request.route);
        let found =
            versions.iter().find_map(|version| self.pick_slot_of_version(now, request, version));
        if found.is_some() || !request.allow_excluded {
            return found;
        }
        let relaxed = SelectionRequest { excluded: &[], allow_excluded: false, ..*request };
        versions.iter().find_map(|version| self.pick_slot_of_version(now, &relaxed, version))
    }

    /// Returns the best free slot on the servers of one version: the nearest server, then the lowest
    /// expected latency.
    fn pick_slot_of_version(
        &mut self,
        now: Instant,
        request: &SelectionRequest<'_>,
        version: &str,
    ) -> Option<(BackendKey, Slot)> {
        let cross_region = self.link_share.has_bytes(now) && self.retry_budget.has_token();
        let servers: Vec<BackendKey> = self.servers_of_version(request.route, version).collect();
        let fastest = servers
            .iter()
            .map(|k| &self.backends[*k].health)
            .filter(|h| h.is_measured() && !h.is_ejected_or_on_probation())
            .filter_map(Health::mean_latency_secs)
            .min_by(f64::total_cmp);
        let is_slow = |b: &Backend| {
            let latency = b.health.mean_latency_secs().filter(|_| b.health.is_measured());
            matches!((latency, fastest), (Some(l), Some(f)) if l > f * SLOW_LATENCY_RATIO)
        };
        let max_slow = servers.len() / MAX_EXCLUDED_DIVISOR;
        let slow_servers: Vec<BackendKey> = servers
            .iter()
            .copied()
            .filter(|k| is_slow(&self.backends[*k]))
            .take(max_slow)
            .collect();
        let rotation = self.routes.get_mut(request.route).map_or(0, |s| {
            s.rotation = s.rotation.wrapping_add(1);
            s.rotation
        });
        let scored = servers.iter().enumerate().filter_map(|(n, key)| {
            let backend = &self.backends[*key];
            let probe_is_due =
                self.last_slow_probes.get(*key).is_none_or(|t| *t + SLOW_PROBE_INTERVAL <= now);
            if request.excluded.contains(key) || (slow_servers.contains(key) && !probe_is_due) {
                return None;
            }
            let slot = backend.free_slot(now, request.deadline, cross_region)?;
            let rank = n.wrapping_add(rotation) % servers.len();
            Some((
                slow_servers.contains(key),
                backend.distance,
                expected_latency_secs(now, backend),
                rank,
                *key,
                slot,
            ))
        });
        // A slow server whose probe is due comes first, because otherwise it would never be chosen and
        // its latency never measured again.
        let best = scored.min_by(|a, b| {
            (b.0, a.1).cmp(&(a.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
        })?;
        if best.0 {
            self.last_slow_probes.insert(best.4, now);
        }
        Some((best.4, best.5))
    }

    /// Servers of one version of a route that accept requests.
    fn servers_of_version(&self, route: &str, version: &str) -> impl Iterator<Item = BackendKey> {
        self.backends
            .iter()
            .filter(move |(_, b)| b.serving && b.route == route && b.version == version)
            .map(|(key, _)| key)
    }

    /// Records how a try ended, frees its slot and wakes waiting requests.
    pub fn finish(&mut self, now: Instant, flight: FlightKey, outcome: Outcome, out: &mut Outbox) {
        let Some(run) = self.sent_requests.remove(flight) else { return };
        let took = now.saturating_since(run.started);
        let Some(backend) = self.backends.get_mut(run.backend) else { return };
        backend.release(now, run.slot);
        let min_timeout_secs =
            backend.health.mean_latency_secs().unwrap_or(ASSUMED_LATENCY_SECS) * MIN_TIMEOUT_FACTOR;
        if outcome == Outcome::TimedOut && took.as_secs_f64() < min_timeout_secs {
            // The request was started too close to its deadline, so the timeout does not count as a
            // failure of the server.
            let route = backend.route.clone();
            return self.wake(now, &route, out);
        }
        let sample = sample_of(outcome);
        let is_cold = backend.health.is_cold(now);
        let should_eject = backend.health.record_sample(now, sample, took);
        let (route, version) = (backend.route.clone(), backend.version.clone());
        self.rollouts.judge(&route, &version, sample, took, is_cold, out);
        if should_eject {
            self.eject_server(now, run.backend, out);
        }
        self.wake(now, &route, out);
        let no_woken = self.routes.get(&route).is_none_or(|s| s.queue.woken() == 0);
        if no_woken && matches!(run.slot, Slot::Borrowed(_)) {
            self.return_loans(now, out);
        }
    }

    /// Ejects a server, unless too many servers of its version are ejected already.
    ///
    /// The limit does not apply to unreachable servers, nor to those that fail on probation.
    fn eject_server(&mut self, now: Instant, key: BackendKey, out: &mut Outbox) {
        let backend = &self.backends[key];
        let servers: Vec<_> = self.servers_of_version(&backend.route, &backend.version).collect();
        let ejected = servers
            .iter()
            .filter(|k| self.backends[**k].health.is_ejected_or_on_probation())
            .count();
        let already_ejected = backend.health.is_ejected_or_on_probation();
        let is_exempt = already_ejected || backend.health.is_unreachable();
        if !is_exempt && ejected + 1 > servers.len() / MAX_EXCLUDED_DIVISOR {
            return;
        }
        let backend = &mut self.backends[key];
        backend.health.eject(now);
        if !already_ejected {
            out.events.push(Event::new(Kind::ServerEjected, &backend.name));
        }
    }

    /// Removes a request whose caller has disconnected, whether it was sent or is waiting.
    pub fn cancel(&mut self, now: Instant, flight: FlightKey, route: &str, out: &mut Outbox) {
        if let Some(run) = self.sent_requests.remove(flight)
            && let Some(backend) = self.backends.get_mut(run.backend)
        {
            backend.release(now, run.slot);
        }
        if let Some(state) = self.routes.get_mut(route) {
            state.queue.remove(flight);
        }
        self.wait_limits.remove(flight);
        self.wake(now, route, out);
    }

    /// Removes a request that ended while it was waiting.
    pub fn remove_waiting(&mut self, flight: FlightKey) {
        if self.wait_limits.remove(flight).is_some() {
            self.routes.values_mut().for_each(|s| s.queue.remove(flight));
        }
    }

    /// Counts the bytes sent and received for a request to another region.
    pub fn record_bytes(&mut self, flight: FlightKey, sent: u64, received: u64) {
        let Some(run) = self.sent_requests.get(flight) else { return };
        let Slot::Borrowed(loan_id) = run.slot else { return };
        let loan = self.backends.get_mut(run.backend).and_then(|b| b.loan(loan_id));
        let Some(loan) = loan.filter(|l| l.cross_region) else { return };
        loan.response_bytes_left -= received as i64;
        self.link_share.charge(sent);
    }

    /// Stores the latest load and health report of a server.
    pub fn record_report(&mut self, server: &str, report: ServerReport) {
        if let Some(backend) = self.keys_by_name.get(server).and_then(|k| self.backends.get_mut(*k))
        {
            backend.health.record_report(report);
        }
    }

    /// Wakes as many waiting requests as there may be free slots.
    pub(super) fn wake(&mut self, now: Instant, route: &str, out: &mut Outbox) {
        let free = self.count_free_slots(now, route);
        let Some(state) = self.routes.get_mut(route) else { return };
        while state.queue.woken() < free
            && let Some(flight) = state.queue.wake()
        {
            out.wakes.push(flight);
        }
    }

    /// Number of free slots of a route on servers whose version may receive the next request.
    fn count_free_slots(&mut self, now: Instant, route: &str) -> usize {
        let cross_region = self.link_share.has_bytes(now) && self.retry_budget.has_token();
        let servers = self.backends.values().filter(|b| b.route == route);
        let servers = servers.filter(|b| self.rollouts.has_turn(route, &b.version));
        servers.map(|b| usize::from(b.free_slots(now, now, cross_region))).sum()
    }

    /// Adds the current number of requests to the moving average of a route's load.
    pub(super) fn sample_load(&mut self, route: &str) {
        let in_flight: u16 =
            self.backends.values().filter(|b| b.route == route).map(|b| b.in_flight()).sum();
        if let Some(state) = self.routes.get_mut(route) {
            let load = f64::from(in_flight) + state.queue.len() as f64;
            state.mean_load += LOAD_EWMA_WEIGHT * (load - state.mean_load);
        }
    }

    /// Latency of the fastest server of a route; zero if none was measured.
    fn fastest_latency(&self, route: &str) -> Duration {
        let servers = self.backends.values().filter(|b| b.route == route);
        let fastest = servers.filter_map(|b| b.health.mean_latency_secs()).min_by(f64::total_cmp);
        Duration::from_secs_f64(fastest.unwrap_or(0.0))
    }

    /// Name of a backend server.
    pub fn name(&self, key: BackendKey) -> Option<&str> {
        self.backends.get(key).map(|b| b.name.as_str())
    }

    /// All backend servers and this host's slots on them.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }
}

/// Expected latency of one more request, in seconds. It grows with the fraction of slots in use.
fn expected_latency_secs(now: Instant, backend: &Backend) -> f64 {
    let latency_secs = backend.health.mean_latency_secs().unwrap_or(ASSUMED_LATENCY_SECS);
    let utilization = f64::from(backend.in_flight() + 1) / f64::from(backend.usable().max(1));
    latency_secs * utilization * backend.health.report_penalty(now)
}

fn sample_of(outcome: Outcome) -> Sample {
    match outcome {
        Outcome::Answered(503) => Sample::Shed,
        Outcome::Answered(status) if status >= 500 => Sample::Failed,
        Outcome::Answered(_) => Sample::Good,
        Outcome::ConnectFailed => Sample::NoConnection,
        Outcome::ConnectionLost | Outcome::TimedOut | Outcome::BadAnswer => Sample::Failed,
    }
}
