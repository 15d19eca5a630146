//! The request path: every decision between the arrival of a request and its answer.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use slotmap::SlotMap;

use super::{
    catalog::{Route, Workspace},
    cold::{ColdFeeds, feeder},
    crash::{Crashes, Death},
    digest::{Digest, RegionSummary, Summary, Trial, name_hash},
    far::FarRegions,
    pick::{self, Want},
    quota::{Elsewhere, Quotas},
    refusal::{Reason, Refusal},
    regions::{self, RegionLoad},
    retry::RetryBudget,
    rollout,
    server::{LoadReport, Outcome, Server, ServerEntry, ServerKey},
    stable_hash, unit_interval,
    view::View,
};
use crate::{host::Incarnation, time::Instant, world::Repeat};

/// Time for which the digest of a silent host still counts towards loads.
const DIGEST_LIFETIME: Duration = Duration::from_millis(1500);
/// Step by which a service's latency follows a sample, as a part of it.
const BASE_STEP: f64 = 0.06;
/// Weight of the newest sample in the mean time that a request fills a slot.
const BUSY_WEIGHT: f64 = 0.05;
/// The quantile of latencies that it follows: slower answers mostly had to fetch the object.
const BASE_QUANTILE: f64 = 0.4;
/// An answer slower than this multiple of the expectation shows that the object was not there.
const MISS_RATIO: f64 = 2.0;
/// Smallest latency of a service, in seconds.
const MIN_BASE: f64 = 0.002;
/// Part of a route's objective that is assumed as latency before the first answer.
const ASSUMED_PART: f64 = 0.4;
/// Expected latency at which a request is refused, as a multiple of its objective.
const REFUSE_AT: f64 = 2.5;
/// Part of the time left that a request may be expected to take.
const USABLE_PART: f64 = 0.85;
/// Connections that may fail before a request is given up.
const MAX_CONNECT_FAILURES: usize = 4;
/// Part of the time left before which a try is not given up for another server.
const MIN_PATIENCE_PART: f64 = 0.6;
/// Period between two updates of demand and shares.
const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// Weight of the newest period in the mean demand of a service.
const DEMAND_WEIGHT: f64 = 0.15;
/// Difference between shares and plan that is left alone, against noise.
const SHARE_DEADBAND: f64 = 0.06;
/// Part of the permitted shift that shares use in two seconds.
const USED_SHIFT: f64 = 0.5;
/// Time of traffic after which measured demand replaces the assumed one.
const DEMAND_WARM_UP: Duration = Duration::from_secs(4);
/// Time that a request is assumed to fill a slot before the first answer, in seconds.
const ASSUMED_BUSY: f64 = 0.1;
/// Load of the slots that is assumed before there is traffic.
const ASSUMED_UTILIZATION: f64 = 0.5;
/// An answer of a version on trial counts as bad beyond this multiple of the usual latency.
const TRIAL_SLOW_RATIO: f64 = 4.0;

/// What the front end knows of a request when its head has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Id that the caller gave the request.
    pub id: &'a str,
    /// Host name.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Key of the caller.
    pub key: Option<&'a str>,
    /// Key of the object that the request concerns.
    pub object: Option<&'a str>,
    /// Time that the caller waits, when it says so.
    pub patience: Option<Duration>,
}

/// A try in progress.
#[derive(Clone, Debug)]
struct Try {
    server: ServerKey,
    sent: Instant,
    multiple: f64,
    queueing: f64,
    is_warm: bool,
    version: String,
}

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Its route.
    pub route: Arc<Route>,
    /// The workspace of its key.
    pub workspace: Option<Arc<Workspace>>,
    /// The service that runs it.
    pub service: String,
    /// When its final answer is due.
    pub deadline: Instant,
    /// When the caller stops waiting.
    pub caller_deadline: Instant,
    /// Hash of what identifies the request, for requests that crash servers.
    pub fingerprint: u64,
    object: Option<u64>,
    position: f64,
    lane: f64,
    tried: Vec<ServerKey>,
    connect_failures: usize,
    may_have_run: bool,
    /// Whether a further try has been paid for.
    is_prepaid: bool,
    current: Option<Try>,
}

impl Flight {
    /// Servers that it was sent to.
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Whether a try is in progress.
    pub fn is_at_server(&self) -> bool {
        self.current.is_some()
    }

    /// Whether a server may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Send {
    /// The server's announcement.
    pub server: Arc<ServerEntry>,
    /// Address of the server.
    pub address: SocketAddr,
    /// Time after which the try is given up.
    pub timeout: Duration,
    /// Time after which another server may be tried instead, if the budget allows it.
    pub patience: Duration,
    /// Expected latency.
    pub expected: Duration,
}

/// What follows after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The answer goes to the caller.
    Deliver,
    /// The request may go to another server.
    Again,
    /// The caller is refused or told that the outcome is unknown.
    Refuse(Refusal),
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Latency of an idle server that knows the object, in seconds.
    base: Option<f64>,
    /// Mean time that a request fills a slot, in seconds.
    busy: Option<f64>,
    budget: RetryBudget,
    asked: u32,
    demand: f64,
    first_request: Option<Instant>,
    shares: Vec<f64>,
    planned: bool,
    trial: Trial,
}

/// State of the request path of one host.
#[derive(Debug)]
pub struct Steering {
    view: Arc<View>,
    servers: SlotMap<ServerKey, Server>,
    ids: HashMap<String, ServerKey>,
    services: HashMap<String, ServiceState>,
    digests: HashMap<Incarnation, (Instant, Digest)>,
    far: FarRegions,
    quotas: Quotas,
    cold: ColdFeeds,
    crashes: Crashes,
    planned_at: Instant,
    ticked_at: Instant,
}

impl Steering {
    /// The state of a host that has just started.
    pub fn new(view: Arc<View>) -> Self {
        Steering {
            view,
            servers: SlotMap::default(),
            ids: HashMap::new(),
            services: HashMap::new(),
            digests: HashMap::new(),
            far: FarRegions::default(),
            quotas: Quotas::default(),
            cold: ColdFeeds::default(),
            crashes: Crashes::default(),
            planned_at: Instant::ZERO,
            ticked_at: Instant::ZERO,
        }
    }

    /// The view in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Takes over a new view.
    pub fn install(&mut self, now: Instant, view: Arc<View>) {
        let servers_changed = !Arc::ptr_eq(&view.servers, &self.view.servers);
        let reopened_changed = !Arc::ptr_eq(&view.reopened, &self.view.reopened);
        self.view = Arc::clone(&view);
        if servers_changed {
            self.install_servers(now, &view);
        }
        if reopened_changed {
            self.chill_reopened(&view);
        }
        for (service, rollout) in view.rollouts.iter() {
            let state = self.services.entry(service.clone()).or_default();
            if state.trial.version != rollout.order.version {
                state.trial = Trial {
                    service: service.clone(),
                    version: rollout.order.version.clone(),
                    ..Trial::default()
                };
            }
        }
    }

    fn install_servers(&mut self, now: Instant, view: &View) {
        for entry in view.servers.values() {
            match self.ids.get(&entry.id) {
                Some(key) => {
                    let server = &mut self.servers[*key];
                    if server.entry.born != entry.born {
                        let cold = now + entry.cold_for;
                        *server = Server::new(Arc::clone(entry), server.region.clone(), cold);
                    } else if server.entry.sequence != entry.sequence {
                        server.cold_until = now + entry.cold_for;
                        server.entry = Arc::clone(entry);
                    } else {
                        server.entry = Arc::clone(entry);
                    }
                }
                None => {
                    let region = view.zones.get(&entry.zone).cloned().unwrap_or_default();
                    let cold = now + entry.cold_for;
                    let server = Server::new(Arc::clone(entry), region, cold);
                    self.ids.insert(entry.id.clone(), self.servers.insert(server));
                }
            }
        }
        self.ids.retain(|id, _| view.servers.contains_key(id));
        self.servers.retain(|_, s| view.servers.contains_key(&s.entry.id) || s.in_flight > 0);
    }

    /// Servers of a failure domain that was evacuated may have become cold meanwhile.
    fn chill_reopened(&mut self, view: &View) {
        for server in self.servers.values_mut() {
            let Some(at) = view.reopened.get(&server.entry.zone) else { continue };
            let service = view.catalog.services.get(&server.entry.service);
            let cold_start = service.map_or(Duration::ZERO, |s| s.cold_start);
            server.cold_until = server.cold_until.max(*at + cold_start);
        }
    }

    /// Takes in what another host of the region says.
    pub fn hear(&mut self, now: Instant, digest: Digest) {
        self.hear_deaths(now, &digest.seen);
        for summary in &digest.regions {
            self.hear_region(now, summary);
        }
        self.digests.insert(digest.from.incarnation, (now, digest));
        let mut elsewhere: HashMap<u32, u32> = HashMap::new();
        for (at, digest) in self.digests.values() {
            if now.saturating_since(*at) > DIGEST_LIFETIME {
                continue;
            }
            for (server, requests) in &digest.in_flight {
                *elsewhere.entry(*server).or_default() += requests;
            }
        }
        for server in self.servers.values_mut() {
            let key = name_hash(&server.entry.id);
            server.in_flight_elsewhere = elsewhere.get(&key).copied().unwrap_or(0);
        }
    }

    /// Takes in what another region says.
    pub fn hear_region(&mut self, now: Instant, summary: &RegionSummary) {
        self.hear_deaths(now, &summary.seen);
        self.far.hear(now, summary);
    }

    fn hear_deaths(&mut self, now: Instant, seen: &Summary) {
        for (fingerprint, server) in &seen.deaths {
            self.crashes.record(now, Death { fingerprint: *fingerprint, server: *server });
        }
    }

    /// Requests of this host at servers, for the others of the region.
    pub fn in_flight(&self) -> Vec<(u32, u32)> {
        let busy = self.servers.values().filter(|s| s.in_flight > 0);
        busy.map(|s| (name_hash(&s.entry.id), s.in_flight)).collect()
    }

    /// What this host has seen.
    pub fn seen(&self) -> Summary {
        let services = self.services.iter().filter(|(_, s)| s.demand > 0.05);
        Summary {
            services: services.map(|(name, s)| (name_hash(name), s.demand as f32)).collect(),
            workspaces: self
                .quotas
                .used()
                .map(|(name, used)| (name_hash(name), used as u32))
                .collect(),
            trials: self.view.rollouts.keys().filter_map(|s| self.trial(s)).collect(),
            deaths: self.crashes.deaths().map(|d| (d.fingerprint, d.server)).collect(),
        }
    }

    /// What the hosts of this region have seen.
    pub fn seen_in_region(&self, now: Instant) -> Summary {
        let mut sum = self.seen();
        for (at, digest) in self.digests.values() {
            if now.saturating_since(*at) <= DIGEST_LIFETIME {
                sum.add(&digest.seen);
            }
        }
        sum
    }

    fn trial(&self, service: &str) -> Option<Trial> {
        let mut trial = self.services.get(service)?.trial.clone();
        trial.stopped = self.is_faulty(service);
        Some(trial)
    }

    /// Whether the version on trial for a service has proven faulty.
    pub fn is_faulty(&self, service: &str) -> bool {
        let Some(own) = self.services.get(service).map(|s| &s.trial) else { return false };
        let near = self.digests.values().flat_map(|(_, d)| &d.seen.trials);
        let far = self.far.all(self.ticked_at);
        let others = near.chain(far.iter().flat_map(|s| &s.seen.trials));
        let same = others.filter(|t| t.service == own.service && t.version == own.version);
        rollout::is_faulty(std::iter::once(own).chain(same))
    }

    /// Does what is due; called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.ticked_at = now;
        self.cold.expire(now);
        self.crashes.expire(now);
        self.far.expire(now);
        self.digests.retain(|host, _| self.view.peers.iter().any(|p| p.host.incarnation == *host));
        let mut quotas = std::mem::take(&mut self.quotas);
        quotas.update(now, &self.view.terms, |workspace| self.used_elsewhere(now, workspace));
        self.quotas = quotas;
        if now.saturating_since(self.planned_at) >= PLAN_PERIOD {
            self.plan_regions(now);
        }
    }

    /// Use of a workspace's quota at the other hosts.
    fn used_elsewhere(&self, now: Instant, workspace: &str) -> Elsewhere {
        let key = name_hash(workspace);
        let hosts = self.view.host_count();
        let far = self.far.all(now);
        let silent = self.view.peers.iter().filter(|p| !p.is_heard).count();
        let unheard = silent + far.iter().map(|s| s.unheard as usize).sum::<usize>();
        let near = self.view.peers.iter().filter(|p| p.is_heard && p.region == self.view.region);
        let digests = near.filter_map(|p| self.digests.get(&p.host.incarnation));
        let seen = digests.map(|(_, d)| &d.seen).chain(far.iter().map(|s| &s.seen));
        let used = seen.filter_map(|s| s.workspaces.get(&key)).sum::<u32>();
        Elsewhere { used: f64::from(used), hosts, unheard: unheard.min(hosts - 1) }
    }

    /// Moves the shares of the regions towards what demand and capacity ask for.
    fn plan_regions(&mut self, now: Instant) {
        let span = now.saturating_since(self.planned_at).as_secs_f64().min(5.0);
        self.planned_at = now;
        let view = Arc::clone(&self.view);
        let Some(home) = view.region_index(&view.region) else { return };
        let mut slots: HashMap<String, Vec<f64>> = HashMap::new();
        for server in self.servers.values() {
            let Some(region) = view.region_index(&server.region) else { continue };
            let row = slots
                .entry(server.entry.service.clone())
                .or_insert_with(|| vec![0.0; view.regions.len()]);
            if self.is_in_service(&view, server) {
                row[region] += f64::from(server.entry.slots);
            }
        }
        let step = view.terms.max_shift * USED_SHIFT * span / 2.0;
        for (name, row) in slots {
            let mut loads: Vec<RegionLoad> =
                row.iter().map(|s| RegionLoad { demand: 0.0, slots: *s }).collect();
            let state = self.services.entry(name.clone()).or_default();
            let seen = f64::from(std::mem::take(&mut state.asked)) / span.max(0.1);
            state.demand += DEMAND_WEIGHT * (seen - state.demand);
            let busy = state.busy.unwrap_or(ASSUMED_BUSY);
            let is_warm =
                state.first_request.is_some_and(|at| now.saturating_since(at) > DEMAND_WARM_UP);
            if is_warm {
                loads[home].demand += state.demand * busy;
                let key = name_hash(&name);
                for (_, digest) in self.digests.values() {
                    let rate = digest.seen.services.get(&key).copied().unwrap_or(0.0);
                    loads[home].demand += f64::from(rate) * busy;
                }
                for summary in self.far.all(now) {
                    let Some(region) = view.region_index(&summary.region) else { continue };
                    let rate = summary.seen.services.get(&key).copied().unwrap_or(0.0);
                    loads[region].demand += f64::from(rate) * busy;
                }
            } else {
                let total: f64 = row.iter().sum();
                let each = total * ASSUMED_UTILIZATION / view.regions.len().max(1) as f64;
                loads.iter_mut().for_each(|l| l.demand = each);
            }
            let plan = regions::plan(&loads, home);
            let has_lost_region =
                state.shares.iter().zip(&row).any(|(share, slots)| *share > 0.0 && *slots <= 0.0);
            if state.first_request.is_none() || !state.planned || has_lost_region {
                state.shares = plan;
                state.planned = true;
                continue;
            }
            let distance: f64 =
                state.shares.iter().zip(&plan).map(|(s, p)| (p - s).abs()).sum::<f64>() / 2.0;
            if distance > SHARE_DEADBAND {
                regions::approach(&mut state.shares, &plan, step);
            }
        }
    }

    /// Whether a server takes requests as far as the operators' orders and its announcement go.
    fn is_in_service(&self, view: &View, server: &Server) -> bool {
        !server.entry.draining
            && !view.evacuated.contains(&server.entry.zone)
            && view.servers.contains_key(&server.entry.id)
    }

    /// Decides whether a request is taken.
    pub fn admit(&mut self, now: Instant, req: &Arrival<'_>) -> Result<Flight, Refusal> {
        let view = Arc::clone(&self.view);
        if !view.catalog.is_known() {
            return Err(Reason::NoConfiguration.into());
        }
        let Some(route) = view.catalog.route(req.host, req.path) else {
            return Err(Reason::NoRoute.into());
        };
        let workspace = if route.open || !view.catalog.has_workspaces() {
            None
        } else {
            match req.key.and_then(|key| view.catalog.owner(key)) {
                Some(workspace) => Some(Arc::clone(workspace)),
                None => return Err(Reason::BadKey.into()),
            }
        };
        let patience = req.patience.unwrap_or(route.timeout);
        let position = unit_interval(stable_hash(1, req.id.as_bytes()));
        let service = route.service_at(position).to_owned();
        let fingerprint = stable_hash(3, req.path.as_bytes());
        let object = req.object.filter(|_| route.affinity);
        let object = object.map(|o| stable_hash(stable_hash(4, service.as_bytes()), o.as_bytes()));
        let flight = Flight {
            route: Arc::clone(route),
            workspace,
            service,
            deadline: now + patience.min(route.timeout),
            caller_deadline: now + patience,
            fingerprint,
            object,
            position: object.map_or_else(
                || unit_interval(stable_hash(5, req.id.as_bytes())),
                |o| unit_interval(stable_hash(6, &o.to_le_bytes())),
            ),
            lane: unit_interval(stable_hash(2, req.id.as_bytes())),
            tried: Vec::new(),
            connect_failures: 0,
            may_have_run: false,
            is_prepaid: false,
            current: None,
        };
        let state = self.services.entry(flight.service.clone()).or_default();
        state.asked += 1;
        state.first_request.get_or_insert(now);
        state.budget.deposit(&view.terms, view.host_count());
        Ok(flight)
    }

    /// Takes a request out of the quota of its workspace.
    pub fn charge(&mut self, now: Instant, flight: &Flight) -> Result<(), Refusal> {
        let Some(workspace) = &flight.workspace else { return Ok(()) };
        let view = Arc::clone(&self.view);
        let mut quotas = std::mem::take(&mut self.quotas);
        let elsewhere = || self.used_elsewhere(now, &workspace.name);
        let taken = quotas.take(now, &view.terms, workspace, elsewhere);
        self.quotas = quotas;
        taken.map_err(|wait| Refusal { reason: Reason::OverQuota, retry_after: Some(wait) })
    }

    /// Decides whether a request is one that crashes servers; called once its body is known.
    pub fn check_fingerprint(
        &self,
        now: Instant,
        flight: &mut Flight,
        fingerprint: u64,
    ) -> Result<(), Refusal> {
        flight.fingerprint = fingerprint;
        if self.crashes.refuses(now, fingerprint) {
            return Err(Reason::CrashingRequest.into());
        }
        Ok(())
    }

    /// Chooses a server for a request.
    pub fn choose(&mut self, now: Instant, flight: &mut Flight) -> Result<Send, Refusal> {
        let view = Arc::clone(&self.view);
        let left = flight.deadline.saturating_since(now);
        if left.is_zero() {
            return Err(self.give_up(flight, Reason::Expired));
        }
        if view.evacuated.len() >= view.zones.len() && !view.zones.is_empty() {
            return Err(self.give_up(flight, Reason::NoServer));
        }
        let is_faulty = self.is_faulty(&flight.service);
        let lanes = Lanes::of(&view, now, flight, is_faulty);
        let objective = flight.route.objective.as_secs_f64();
        let state = self.services.entry(flight.service.clone()).or_default();
        let base = state.base.unwrap_or(objective * ASSUMED_PART);
        let shares = state.shares.clone();
        let want = Want { object: flight.object, zone: &view.me.zone, base };
        let region = self.region_of(&view, flight, &shares);
        let mut found = None;
        for lane in lanes.order() {
            found = self.best_in(now, &view, flight, lane, &want, Some(&region));
            if found.is_none() {
                found = self.best_in(now, &view, flight, lane, &want, None);
            }
            if found.is_some() {
                break;
            }
        }
        let Some(found) = found else {
            return Err(self.give_up(flight, Reason::NoServer));
        };
        let limit = (objective * REFUSE_AT).min(left.as_secs_f64() * USABLE_PART);
        if found.latency > limit && flight.tried.is_empty() {
            let wait = Duration::from_secs_f64((found.latency - limit).clamp(0.1, 1.0));
            return Err(Refusal { reason: Reason::Overloaded, retry_after: Some(wait) });
        }
        let cold_rate = view.catalog.services.get(&flight.service).map_or(1.0, |s| s.cold_rate);
        let server = &mut self.servers[found.server];
        if now < server.cold_until {
            self.cold.note(now, server.hash, cold_rate);
        }
        server.start(flight.object);
        let entry = Arc::clone(&server.entry);
        flight.tried.push(found.server);
        flight.current = Some(Try {
            server: found.server,
            sent: now,
            multiple: found.multiple,
            queueing: found.queueing,
            is_warm: found.is_warm,
            version: entry.version.clone(),
        });
        let patience = Duration::from_secs_f64((found.latency * 4.0).max(objective * 1.2));
        Ok(Send {
            address: entry.address,
            server: entry,
            timeout: left,
            patience: patience.max(left.mul_f64(MIN_PATIENCE_PART)),
            expected: Duration::from_secs_f64(found.latency),
        })
    }

    /// Whether a try that is overdue should be given up for another server. A host that stops lets
    /// servers finish what they have begun.
    pub fn may_switch(&mut self, now: Instant, flight: &mut Flight) -> bool {
        let may_repeat = flight.route.repeat == Repeat::Idempotent && !self.view.stopping;
        flight.is_prepaid = may_repeat && self.may_go_again(now, flight);
        flight.is_prepaid
    }

    /// The region that a request should run in.
    fn region_of(&self, view: &View, flight: &Flight, shares: &[f64]) -> String {
        let home = view.region_index(&view.region).unwrap_or(0);
        if shares.len() != view.regions.len() {
            return view.region.clone();
        }
        let region = &view.regions[regions::region_at(shares, home, flight.position)];
        region.clone()
    }

    fn best_in(
        &self,
        now: Instant,
        view: &View,
        flight: &Flight,
        lane: &Lane,
        want: &Want<'_>,
        region: Option<&str>,
    ) -> Option<pick::Estimate> {
        let candidates: Vec<(ServerKey, &Server)> = self
            .servers
            .iter()
            .filter(|(key, s)| {
                s.entry.service == flight.service
                    && region.is_none_or(|r| r == s.region)
                    && lane.takes(&s.entry.version)
                    && self.may_use(now, view, flight, *key, s)
            })
            .collect();
        pick::best(now, want, &candidates)
    }

    fn may_use(
        &self,
        now: Instant,
        view: &View,
        flight: &Flight,
        key: ServerKey,
        server: &Server,
    ) -> bool {
        let homes = |regions: &[String]| regions.is_empty() || regions.contains(&server.region);
        self.is_in_service(view, server)
            && homes(&flight.route.regions)
            && flight.workspace.as_ref().is_none_or(|w| homes(&w.regions))
            && !flight.tried.contains(&key)
            && !server.is_backing_off(now)
            && (now >= server.cold_until || self.feeds(now, view, server))
    }

    /// Whether this host may send a request to a cold server now.
    fn feeds(&self, now: Instant, view: &View, server: &Server) -> bool {
        let peers = view.peers.iter().filter(|p| p.is_heard && p.region == server.region);
        let me = (view.region == server.region).then_some(view.me.incarnation.0);
        let hosts = peers.map(|p| p.host.incarnation.0).chain(me);
        feeder(server.hash, hosts) == Some(view.me.incarnation.0)
            && self.cold.is_due(now, server.hash)
    }

    fn give_up(&self, flight: &Flight, reason: Reason) -> Refusal {
        if flight.may_have_run {
            return Reason::BadAnswer.into();
        }
        let retry_after = Some(Duration::from_millis(300));
        Refusal { reason, retry_after }
    }

    /// Decides what follows after a try.
    pub fn finish(
        &mut self,
        now: Instant,
        flight: &mut Flight,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Next {
        let Some(current) = flight.current.take() else {
            return Next::Refuse(Reason::BadAnswer.into());
        };
        self.observe(now, flight, &current, outcome, report);
        let idempotent = flight.route.repeat == Repeat::Idempotent;
        let refusal = match outcome {
            Outcome::Answered { status, .. } => {
                let again = status >= 500 && idempotent && self.may_go_again(now, flight);
                return if again { Next::Again } else { Next::Deliver };
            }
            Outcome::Abandoned => return Next::Refuse(Reason::TimedOut.into()),
            Outcome::Shed | Outcome::WrongServer => {
                if self.may_go_again(now, flight) {
                    return Next::Again;
                }
                return Next::Refuse(self.give_up(flight, Reason::Shed));
            }
            Outcome::NotSent => {
                flight.tried.pop();
                flight.connect_failures += 1;
                if flight.connect_failures < MAX_CONNECT_FAILURES {
                    return Next::Again;
                }
                return Next::Refuse(self.give_up(flight, Reason::NoServer));
            }
            Outcome::Lost => Reason::ConnectionLost,
            Outcome::BadAnswer => Reason::BadAnswer,
            Outcome::TimedOut => Reason::TimedOut,
        };
        flight.may_have_run = true;
        if idempotent && self.may_go_again(now, flight) {
            return Next::Again;
        }
        Next::Refuse(refusal.into())
    }

    /// Whether a request may be sent to one more server; takes a token of the budget.
    fn may_go_again(&mut self, now: Instant, flight: &mut Flight) -> bool {
        if flight.tried.len() >= flight.route.max_attempts || now >= flight.deadline {
            return false;
        }
        if std::mem::take(&mut flight.is_prepaid) {
            return true;
        }
        let Some(state) = self.services.get_mut(&flight.service) else { return false };
        state.budget.withdraw()
    }

    /// Learns from the end of a try.
    fn observe(
        &mut self,
        now: Instant,
        flight: &Flight,
        current: &Try,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let view = Arc::clone(&self.view);
        let cold_start =
            view.catalog.services.get(&flight.service).map_or(Duration::ZERO, |s| s.cold_start);
        let Some(server) = self.servers.get_mut(current.server) else { return };
        let normal = |took: Duration| took.div_f64(current.multiple.max(1.0));
        let noted = match outcome {
            Outcome::Answered { status, took } => Outcome::Answered { status, took: normal(took) },
            other => other,
        };
        server.finish(now, noted, report);
        let (hash, was_cold) = (server.hash, now < server.cold_until);
        match outcome {
            Outcome::NotSent => {
                // A server that took no connection may come back cold under the same id.
                server.cold_until = server.cold_until.max(now + cold_start);
                self.crashes.note_dead(now, hash);
            }
            Outcome::Lost => {
                let death = Death { fingerprint: flight.fingerprint, server: hash };
                self.crashes.note_lost(now, death);
            }
            _ => {}
        }
        let objective = flight.route.objective.as_secs_f64();
        let state = self.services.entry(flight.service.clone()).or_default();
        let base = state.base.unwrap_or(objective * ASSUMED_PART);
        let took = now.saturating_since(current.sent);
        if let Outcome::Answered { status, took } = outcome
            && status < 500
            && !was_cold
        {
            let filled = took.div_f64(current.queueing.max(1.0)).as_secs_f64();
            let busy = state.busy.unwrap_or(filled);
            state.busy = Some(busy + BUSY_WEIGHT * (filled - busy));
            let sample = normal(took).as_secs_f64();
            let step = if sample > base { BASE_QUANTILE } else { BASE_QUANTILE - 1.0 };
            state.base = Some((base * (1.0 + BASE_STEP * step)).max(MIN_BASE));
            if let Some(object) = flight.object.filter(|_| sample > base * MISS_RATIO)
                && current.is_warm
            {
                server.forget(object);
            }
        }
        let slow = took.as_secs_f64() > (base * TRIAL_SLOW_RATIO).max(objective);
        let failed = match outcome {
            Outcome::Answered { status, .. } => status >= 500 || slow,
            Outcome::BadAnswer | Outcome::Lost => true,
            Outcome::TimedOut | Outcome::Abandoned => slow,
            Outcome::Shed | Outcome::WrongServer | Outcome::NotSent => return,
        };
        let trial = &mut state.trial;
        if trial.version == current.version {
            if !was_cold {
                trial.answers += 1;
                trial.failures += u32::from(failed);
            }
        } else if !trial.version.is_empty() {
            trial.other_answers += 1;
            trial.other_failures += u32::from(failed);
        }
    }
}

/// Versions that a request may run on.
#[derive(Clone, Debug)]
enum Lane {
    Only(String),
    Except(HashSet<String>),
    Among(HashSet<String>),
    Any,
}

impl Lane {
    fn takes(&self, version: &str) -> bool {
        match self {
            Lane::Only(only) => only == version,
            Lane::Except(not) => !not.contains(version),
            Lane::Among(among) => among.contains(version),
            Lane::Any => true,
        }
    }
}

/// Lanes of a request in the order in which they are tried.
struct Lanes(Vec<Lane>);

impl Lanes {
    fn of(view: &View, now: Instant, flight: &Flight, is_faulty: bool) -> Self {
        let Some(rollout) = view.rollouts.get(&flight.service) else {
            let known = view.versions.get(&flight.service).cloned();
            return Lanes(vec![known.map_or(Lane::Any, Lane::Among)]);
        };
        let new = Lane::Only(rollout.order.version.clone());
        let old = Lane::Except(HashSet::from([rollout.order.version.clone()]));
        let share = rollout.share(now, is_faulty);
        Lanes(match () {
            () if share <= 0.0 => vec![old],
            () if share >= 1.0 => vec![new, old],
            // A request is sent again to what is proven.
            () if flight.lane < share && flight.tried.is_empty() => vec![new, old],
            () => vec![old],
        })
    }

    fn order(&self) -> impl Iterator<Item = &Lane> {
        self.0.iter()
    }
}
