//! Simulation of hosts and backend servers in virtual time, for measurements and randomised tests.
//!
//! The hosts run the code of the core; backend servers and the network are simple models.

#![allow(dead_code, reason = "each test and example uses a part of it")]

pub mod baseline;
pub mod server;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    control::PeerMsg,
    declaration::{self, Declaration},
    event::{Event, Kind},
    host::{HostInfo, Incarnation},
    result::Code,
    rollout::{Controller, RolloutRecords},
    route::health::ServerReport,
    time::Instant,
    traffic::{FlightKey, Outcome, Request, Step, TICK_PERIOD, Traffic},
    view::{LiveHost, View},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::{baseline::BaselineBalancer, server::SimServer};

/// Unix time at the start of the virtual clock, in milliseconds.
pub const EPOCH_UNIX_MS: u64 = 1_000_000_000_000;

/// Size, load and faults of a simulation.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub regions: usize,
    pub hosts_per_domain: usize,
    pub servers_per_domain: usize,
    pub slots: u16,
    /// Base service time of a request at a server.
    pub service_time: Duration,
    /// Requests per second that arrive in each region.
    pub rates: Vec<f64>,
    pub policy: Policy,
    /// Sections that are appended to the declaration.
    pub extra: String,
    /// Share of messages between hosts that are lost, and share of the others that are duplicated.
    pub loss: f64,
    /// Deadline of a request on the route `q`, counted from its arrival.
    pub deadline: Duration,
    /// Routes of the requests, chosen at random with equal probability.
    pub routes: Vec<&'static str>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            seed: 1,
            regions: 3,
            hosts_per_domain: 2,
            servers_per_domain: 3,
            slots: 3,
            service_time: Duration::from_millis(50),
            rates: vec![250.0; 3],
            policy: Policy::Slots,
            extra: String::new(),
            loss: 0.0,
            deadline: Duration::from_millis(800),
            routes: vec!["q"],
        }
    }
}

/// How a host chooses a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The policy of the core: slots divided among seats, borrowed slots, and latencies and errors
    /// observed by the host.
    Slots,
    /// The servers of the region in rotation.
    RoundRobin,
    /// The server of the region with the fewest requests in flight from this host.
    LeastInFlight,
    /// The better of two random servers, by this host's requests in flight and observed latency.
    TwoChoices,
    /// The server of the region that reports the lowest load.
    LeastReported,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrival {
        region: usize,
    },
    Tick {
        host: usize,
    },
    Delivery {
        host: usize,
        from: SocketAddr,
        msg: PeerMsg,
    },
    /// Resumes a parked flight: after a wake-up if `wait` is none, otherwise on the timeout of that
    /// wait, unless the flight has been resumed since.
    Resume {
        host: usize,
        flight: FlightKey,
        wait: Option<u64>,
    },
    ServerArrival {
        host: usize,
        id: u64,
        address: SocketAddr,
        timeout_at: Instant,
    },
    Response {
        host: usize,
        id: u64,
        address: SocketAddr,
        outcome: Outcome,
        occupied_slot: bool,
    },
    Install {
        host: usize,
        records: Arc<RolloutRecords>,
    },
    LoadReports,
}

struct SimHost {
    traffic: Traffic,
    view: View,
    region: usize,
    controller: Controller,
    flights: HashMap<FlightKey, Instant>,
    /// Id of the current wait of each parked flight.
    parked: HashMap<FlightKey, u64>,
    baseline: BaselineBalancer,
}

struct SentRequest {
    /// None if a baseline policy sent the request.
    flight: Option<FlightKey>,
    /// When the request arrived at the host.
    received_at: Instant,
    /// When the request was last sent to a server.
    sent_at: Instant,
    retries: u32,
}

/// Results of a simulation, counted from its start.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Latencies of successful responses, in microseconds.
    pub latencies_us: Vec<u64>,
    pub arrivals: u64,
    /// Requests that a server rejected because all its slots were busy.
    pub server_rejections: u64,
    /// Number of requests by result code.
    pub count_by_code: BTreeMap<u16, u64>,
    /// Requests that were sent to a server and failed.
    pub failed: u64,
    /// Requests that reached a server, by route and version.
    pub requests_by_version: BTreeMap<String, u64>,
    /// Time of the last request that reached a server, by route and version.
    pub last_request_by_version: BTreeMap<String, Instant>,
    /// Number of requests that new versions may have received: the sum, over all arrivals, of the
    /// largest share in the rollout records at that time.
    pub allowed_new_version_requests: f64,
    /// Requests that were sent to a server in another region.
    pub cross_region_requests: u64,
    /// Log events of the hosts: time, index of the host and event.
    pub events: Vec<(Instant, usize, Event)>,
    /// Lowest share of free slots in each region, over windows of one second.
    pub min_headroom: Vec<f64>,
}

impl Stats {
    /// Quantile of the latencies of successful responses.
    pub fn quantile(&mut self, q: f64) -> Duration {
        self.latencies_us.sort_unstable();
        let at = ((self.latencies_us.len().max(1) - 1) as f64 * q) as usize;
        Duration::from_micros(self.latencies_us.get(at).copied().unwrap_or(0))
    }

    /// Number of events of a kind.
    pub fn count(&self, kind: Kind) -> usize {
        self.events.iter().filter(|(_, _, e)| e.kind == kind).count()
    }
}

/// The simulated fleet.
pub struct Sim {
    pub now: Instant,
    pub cfg: Options,
    pub declaration: Arc<Declaration>,
    pub servers: HashMap<SocketAddr, SimServer>,
    pub stats: Stats,
    pub records: Arc<RolloutRecords>,
    /// Whether the store is available.
    pub store_up: bool,
    /// Whether each host is partitioned: its messages from and to other hosts are lost, and it
    /// writes no rollout records.
    pub partitioned: Vec<bool>,
    hosts: Vec<SimHost>,
    /// Time, tie-breaking sequence number and index in `sim_events` of each scheduled event.
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    /// Scheduled events; none in place of those that have been handled.
    sim_events: Vec<Option<SimEvent>>,
    in_flight: HashMap<u64, SentRequest>,
    rng: ChaCha8Rng,
    last_id: u64,
    samples: Vec<(f64, f64)>,
    window: Instant,
    next_write_at: Instant,
}

fn declaration_text(cfg: &Options) -> String {
    let mut text = String::new();
    let mut port = 1;
    for r in 0..cfg.regions {
        text += &format!("[region r{r}]\nlink_bytes_per_second = 500000000\n");
    }
    for r in 0..cfg.regions {
        for d in 0..2 {
            let seats = cfg.hosts_per_domain;
            text += &format!("[domain r{r}-{d}]\nregion = r{r}\nseats = {seats}\n");
        }
    }
    let ms = cfg.deadline.as_millis();
    text += &format!("[route q]\naccess = open\nrepeat = idempotent\ndeadline = {ms} ms\n");
    for r in 0..cfg.regions {
        for d in 0..2 {
            for s in 0..cfg.servers_per_domain {
                text += &format!(
                    "[server s{r}-{d}-{s}]\nroute = q\nversion = v1\ndomain = r{r}-{d}\n\
                     address = 10.0.0.1:{port}\nslots = {}\n",
                    cfg.slots
                );
                port += 1;
            }
        }
    }
    text + &cfg.extra
}

impl Sim {
    /// Creates a fleet in which every host holds its seat and has all hosts in its view.
    pub fn new(cfg: Options) -> Sim {
        let declaration =
            declaration::parse(&declaration_text(&cfg)).expect("the declaration is valid");
        let declaration = Arc::new(declaration);
        let mut infos = Vec::new();
        for r in 0..cfg.regions {
            for d in 0..2 {
                for h in 0..cfg.hosts_per_domain {
                    let n = infos.len() as u16;
                    let info = HostInfo {
                        name: format!("h{r}-{d}-{h}"),
                        domain: format!("r{r}-{d}"),
                        caller_address: ([10, 0, 1, 0], n).into(),
                        peer_address: ([10, 0, 2, 0], n).into(),
                        incarnation: Incarnation(u64::from(n) + 1),
                    };
                    infos.push((info, r, h as u16));
                }
            }
        }
        let live_hosts: Vec<LiveHost> = infos.iter().map(|(info, ..)| live_host(info)).collect();
        let hosts = infos.into_iter().map(|(me, region, seat)| {
            let view = View {
                revision: 1,
                declaration: Arc::clone(&declaration),
                seat: Some(seat),
                open_seat: Some(seat),
                hosts: live_hosts.clone(),
                ..View::empty(me)
            };
            let mut traffic = Traffic::new(Arc::new(view.clone()));
            traffic.install(Instant::ZERO, Arc::new(view.clone()));
            let baseline = BaselineBalancer::new(&declaration, region);
            SimHost {
                traffic,
                view,
                region,
                controller: Controller::default(),
                flights: HashMap::new(),
                parked: HashMap::new(),
                baseline,
            }
        });
        let hosts: Vec<_> = hosts.collect();
        let mut sim = Sim {
            now: Instant::from_millis(1),
            servers: server::declared_servers(&declaration, cfg.service_time),
            stats: Stats { min_headroom: vec![1.0; cfg.regions], ..Stats::default() },
            records: Arc::default(),
            store_up: true,
            partitioned: vec![false; hosts.len()],
            hosts,
            queue: BinaryHeap::new(),
            sim_events: Vec::new(),
            in_flight: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            last_id: 0,
            samples: vec![(0.0, 0.0); cfg.regions],
            window: Instant::ZERO,
            next_write_at: Instant::ZERO,
            declaration,
            cfg,
        };
        for host in 0..sim.hosts.len() {
            let jitter = sim.rng.random_range(0..50_000);
            sim.schedule(Duration::from_micros(jitter), SimEvent::Tick { host });
        }
        for region in 0..sim.cfg.regions {
            sim.schedule(Duration::ZERO, SimEvent::Arrival { region });
        }
        sim.schedule(Duration::ZERO, SimEvent::LoadReports);
        sim
    }

    fn schedule(&mut self, delay: Duration, sim_event: SimEvent) {
        self.sim_events.push(Some(sim_event));
        self.last_id += 1;
        let index = self.sim_events.len() - 1;
        self.queue.push(Reverse((self.now + delay, self.last_id, index)));
    }

    /// Runs the simulation for a length of virtual time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, _, index))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(sim_event) = self.sim_events[index].take() {
                self.handle_event(sim_event);
            }
        }
        self.now = end;
    }

    /// Installs a declaration with other appended sections on every host, each after a random delay.
    pub fn declare(&mut self, extra: &str) {
        let mut cfg = self.cfg.clone();
        cfg.extra = extra.to_owned();
        let declaration =
            declaration::parse(&declaration_text(&cfg)).expect("the declaration is valid");
        self.install_declaration(declaration);
    }

    /// Installs a parsed declaration on every host, each after a random delay.
    pub fn install_declaration(&mut self, declaration: Declaration) {
        self.declaration = Arc::new(declaration);
        for (address, server) in server::declared_servers(&self.declaration, self.cfg.service_time)
        {
            self.servers.entry(address).or_insert(server);
        }
        self.schedule_installs();
    }

    /// Text of the initial declaration.
    pub fn declaration(&self) -> String {
        declaration_text(&self.cfg)
    }

    fn schedule_installs(&mut self) {
        for host in 0..self.hosts.len() {
            let delay_ms = self.rng.random_range(10..600);
            let records = Arc::clone(&self.records);
            self.schedule(Duration::from_millis(delay_ms), SimEvent::Install { host, records });
        }
    }

    fn handle_event(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Arrival { region } => self.receive_request(region),
            SimEvent::Tick { host } => {
                self.hosts[host].traffic.tick(self.now);
                self.flush_outbox(host);
                self.run_controller(host);
                self.schedule(TICK_PERIOD, SimEvent::Tick { host });
            }
            SimEvent::Delivery { host, from, msg } => {
                if let PeerMsg::Rollout(msg) = &msg {
                    self.hosts[host].controller.handle_message(msg);
                }
                self.hosts[host].traffic.handle_message(self.now, from, &msg);
                self.flush_outbox(host);
            }
            SimEvent::Resume { host, flight, wait } => {
                let parked = self.hosts[host].parked.get(&flight).copied();
                if parked.is_some() && (wait.is_none() || wait == parked) {
                    self.hosts[host].parked.remove(&flight);
                    let step = self.hosts[host].traffic.resume(self.now, flight);
                    self.apply_step(host, step);
                    self.flush_outbox(host);
                }
            }
            SimEvent::ServerArrival { host, id, address, timeout_at } => {
                self.serve_request(host, id, address, timeout_at);
            }
            SimEvent::Response { host, id, address, outcome, occupied_slot } => {
                self.receive_response(host, id, address, outcome, occupied_slot);
            }
            SimEvent::Install { host, records } => {
                let view = &mut self.hosts[host].view;
                view.revision += 1;
                view.declaration = Arc::clone(&self.declaration);
                view.rollout_records = records;
                let view = Arc::new(view.clone());
                self.hosts[host].traffic.install(self.now, view);
                self.flush_outbox(host);
            }
            SimEvent::LoadReports => {
                self.deliver_load_reports();
                self.schedule(Duration::from_secs(1), SimEvent::LoadReports);
            }
        }
    }

    fn receive_request(&mut self, region: usize) {
        let rate = self.cfg.rates[region];
        let interarrival_s =
            if rate > 0.0 { -(1.0 - self.rng.random::<f64>()).ln() / rate } else { 0.1 };
        self.schedule(Duration::from_secs_f64(interarrival_s), SimEvent::Arrival { region });
        if rate <= 0.0 {
            return;
        }
        let hosts: Vec<_> =
            (0..self.hosts.len()).filter(|h| self.hosts[*h].region == region).collect();
        let host = hosts[self.rng.random_range(0..hosts.len())];
        let shares = self.records.rollouts.values().map(|r| f64::from(r.share) / 1e6);
        self.stats.allowed_new_version_requests += shares.fold(0.0, f64::max);
        self.stats.arrivals += 1;
        if self.cfg.policy != Policy::Slots {
            let sent =
                SentRequest { flight: None, received_at: self.now, sent_at: self.now, retries: 0 };
            self.send_baseline(host, sent, None);
            return;
        }
        let route = self.cfg.routes[self.rng.random_range(0..self.cfg.routes.len())];
        let req = Request { route, key: None, id: None, deadline: None, fingerprint: 0 };
        let step = self.hosts[host].traffic.begin(self.now, &req);
        let flight = match step {
            Step::Send { flight, .. } | Step::Park { flight, .. } => Some(flight),
            Step::Reply(_) | Step::ReplayAnswer(_) | Step::Forward { .. } => None,
        };
        if let Some(flight) = flight {
            self.hosts[host].flights.insert(flight, self.now);
        }
        self.apply_step(host, step);
        self.flush_outbox(host);
    }

    fn apply_step(&mut self, host: usize, step: Step) {
        match step {
            Step::Send { flight, address, timeout } => {
                let received_at = self.hosts[host].flights[&flight];
                let sent = SentRequest {
                    flight: Some(flight),
                    received_at,
                    sent_at: self.now,
                    retries: 0,
                };
                self.send_to_server(host, sent, address, timeout);
            }
            Step::Park { flight, until } => {
                let delay = until.saturating_since(self.now);
                self.last_id += 1;
                self.hosts[host].parked.insert(flight, self.last_id);
                let wait = Some(self.last_id);
                self.schedule(delay, SimEvent::Resume { host, flight, wait });
            }
            Step::ReplayAnswer(_) | Step::Forward { .. } => unreachable!("the route is idempotent"),
            Step::Reply(code) => *self.stats.count_by_code.entry(code.number()).or_default() += 1,
        }
    }

    fn send_to_server(
        &mut self,
        host: usize,
        sent: SentRequest,
        address: SocketAddr,
        timeout: Duration,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        self.in_flight.insert(id, sent);
        let region = self.servers[&address].region;
        self.stats.cross_region_requests += u64::from(region != self.hosts[host].region);
        let network_delay = self.network_delay(self.hosts[host].region, region);
        let timeout_at = self.now + timeout;
        self.schedule(network_delay, SimEvent::ServerArrival { host, id, address, timeout_at });
    }

    fn network_delay(&self, a: usize, b: usize) -> Duration {
        if a == b { Duration::from_micros(500) } else { Duration::from_millis(10) }
    }

    fn serve_request(&mut self, host: usize, id: u64, address: SocketAddr, timeout_at: Instant) {
        let server = self.servers.get_mut(&address).expect("a declared server");
        let network_delay = if server.region == self.hosts[host].region { 500 } else { 10_000 };
        let network_delay = Duration::from_micros(network_delay);
        let version = format!("{} {}", server.route, server.version);
        *self.stats.requests_by_version.entry(version.clone()).or_default() += 1;
        self.stats.last_request_by_version.insert(version, self.now);
        server.last_request_at = self.now;
        let Some((outcome, service_time)) = server.start_request(self.now, &mut self.rng) else {
            self.stats.server_rejections += 1;
            let outcome = Outcome::Answered(503);
            return self.schedule(
                network_delay,
                SimEvent::Response { host, id, address, outcome, occupied_slot: false },
            );
        };
        let time_left = timeout_at.saturating_since(self.now);
        if service_time + network_delay > time_left {
            let outcome = Outcome::TimedOut;
            return self.schedule(
                time_left,
                SimEvent::Response { host, id, address, outcome, occupied_slot: true },
            );
        }
        self.schedule(
            service_time + network_delay,
            SimEvent::Response { host, id, address, outcome, occupied_slot: true },
        );
    }

    fn receive_response(
        &mut self,
        host: usize,
        id: u64,
        address: SocketAddr,
        outcome: Outcome,
        occupied_slot: bool,
    ) {
        if occupied_slot && let Some(server) = self.servers.get_mut(&address) {
            server.running -= 1;
        }
        let Some(sent) = self.in_flight.remove(&id) else { return };
        let is_success = matches!(outcome, Outcome::Answered(status) if status < 500);
        match sent.flight {
            Some(flight) => {
                self.hosts[host].traffic.record_bytes(flight, 500, 2000);
                let step = self.hosts[host].traffic.finish(self.now, flight, outcome);
                if let Step::Reply(code) = step {
                    self.hosts[host].flights.remove(&flight);
                    self.record_result(code, is_success, sent.received_at);
                } else {
                    self.apply_step(host, step);
                }
                self.flush_outbox(host);
            }
            None => {
                let latency = self.now.saturating_since(sent.sent_at);
                self.hosts[host].baseline.finish(address, latency);
                let should_retry = outcome == Outcome::Answered(503) && sent.retries == 0;
                if should_retry && self.now < sent.received_at + self.cfg.deadline {
                    let sent = SentRequest { retries: 1, ..sent };
                    return self.send_baseline(host, sent, Some(address));
                }
                self.record_result(Code::Done, is_success, sent.received_at);
            }
        }
    }

    fn record_result(&mut self, code: Code, is_success: bool, received_at: Instant) {
        *self.stats.count_by_code.entry(code.number()).or_default() += 1;
        if code == Code::Done && is_success {
            let latency = self.now.saturating_since(received_at);
            self.stats.latencies_us.push(latency.as_micros() as u64);
        } else {
            self.stats.failed += 1;
        }
    }

    fn send_baseline(&mut self, host: usize, mut sent: SentRequest, excluded: Option<SocketAddr>) {
        sent.sent_at = self.now;
        let policy = self.cfg.policy;
        let reported_load = |a: &SocketAddr| self.servers[a].reported_load();
        let address =
            self.hosts[host].baseline.choose(policy, excluded, reported_load, &mut self.rng);
        let time_left = (sent.received_at + self.cfg.deadline).saturating_since(self.now);
        self.send_to_server(host, sent, address, time_left);
    }

    fn flush_outbox(&mut self, host: usize) {
        let out = self.hosts[host].traffic.take_outbox();
        for flight in out.wakes {
            self.schedule(Duration::ZERO, SimEvent::Resume { host, flight, wait: None });
        }
        for event in out.events {
            self.stats.events.push((self.now, host, event));
        }
        let from = self.hosts[host].view.me.peer_address;
        for (to, msg) in out.sends {
            let target = usize::from(to.port());
            let lost = self.rng.random::<f64>() < self.cfg.loss;
            if (self.partitioned[host] || self.partitioned[target]) && host != target || lost {
                continue;
            }
            let copy_count = if self.rng.random::<f64>() < self.cfg.loss { 2 } else { 1 };
            for _ in 0..copy_count {
                let network_delay =
                    self.network_delay(self.hosts[host].region, self.hosts[target].region);
                let jitter = Duration::from_micros(self.rng.random_range(0..300));
                let msg = msg.clone();
                self.schedule(
                    network_delay + jitter,
                    SimEvent::Delivery { host: target, from, msg },
                );
            }
        }
    }

    /// Writes the next rollout records of a host's controller to the store. Only the first three
    /// hosts run a controller.
    fn run_controller(&mut self, host: usize) {
        let is_due = self.now >= self.next_write_at;
        if host > 2
            || !self.store_up
            || self.partitioned[host]
            || !is_due
            || self.declaration.rollouts.is_empty()
        {
            return;
        }
        let unix_millis = self.unix_millis();
        let mut events = Vec::new();
        let controller = &mut self.hosts[host].controller;
        let next_records = controller.next_records(
            unix_millis,
            host,
            &self.declaration,
            &self.records,
            &mut events,
        );
        self.stats.events.extend(events.into_iter().map(|e| (self.now, host, e)));
        let Some(next_records) = next_records else { return };
        self.records = Arc::new(next_records);
        self.next_write_at = self.now + Duration::from_millis(20);
        self.schedule_installs();
    }

    /// Current Unix time in milliseconds.
    pub fn unix_millis(&self) -> u64 {
        EPOCH_UNIX_MS + self.now.as_micros() / 1000
    }

    fn deliver_load_reports(&mut self) {
        for host in 0..self.hosts.len() {
            for server in self.servers.values() {
                let load_report = ServerReport { load: server.reported_load(), healthy: true };
                self.hosts[host].traffic.record_report(&server.name, load_report);
            }
        }
        for region in 0..self.cfg.regions {
            let (mut busy_slots, mut total_slots) = (0.0, 0.0);
            for server in self.servers.values_mut().filter(|s| s.region == region) {
                busy_slots += server.take_mean_busy_slots(self.now);
                total_slots += f64::from(server.slots);
            }
            let free_share = 1.0 - busy_slots / total_slots;
            if self.now > Instant::from_millis(2000) {
                self.stats.min_headroom[region] = self.stats.min_headroom[region].min(free_share);
            }
        }
    }

    /// Traffic state of a host.
    pub fn traffic(&self, host: usize) -> &Traffic {
        &self.hosts[host].traffic
    }

    /// Mutable traffic state of a host.
    pub fn traffic_mut(&mut self, host: usize) -> &mut Traffic {
        &mut self.hosts[host].traffic
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// The server with this name.
    pub fn server(&mut self, name: &str) -> &mut SimServer {
        self.servers.values_mut().find(|s| s.name == name).expect("a declared server")
    }
}

fn live_host(info: &HostInfo) -> LiveHost {
    LiveHost {
        name: info.name.clone(),
        domain: info.domain.clone(),
        caller_address: info.caller_address,
        peer_address: info.peer_address,
        incarnation: info.incarnation,
        accepts_callers: true,
    }
}
