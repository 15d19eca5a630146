//! Hosts and backend servers under virtual time, for measurements and randomised tests.
//!
//! The hosts are the very decisions of the core; backend servers and messages are small models.

#![allow(dead_code, reason = "each program uses a part")]

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
    event::{Event, Kind},
    host::{HostInfo, Incarnation},
    result::Code,
    rollout::{Controller, Records},
    route::health::ServerReport,
    time::Instant,
    traffic::{FlightKey, Outcome, Request, Step, TICK_PERIOD, Traffic},
    view::{LiveHost, View},
    world::{self, World},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::{baseline::Baseline, server::ServerSim};

/// Date at the start of the virtual clock.
pub const EPOCH: u64 = 1_000_000_000_000;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub regions: usize,
    pub hosts_per_domain: usize,
    pub servers_per_domain: usize,
    pub slots: u16,
    pub service: Duration,
    /// Requests per second that arrive in each region.
    pub rates: Vec<f64>,
    pub policy: Policy,
    /// Sections added to the declaration.
    pub extra: String,
    /// Share of messages between hosts that are lost, and doubled.
    pub loss: f64,
    pub deadline: Duration,
    /// Routes that requests are spread over.
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
            service: Duration::from_millis(50),
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
    /// This project's: slots by seat, loans, own observations.
    Slots,
    /// Each server of the region in turn.
    RoundRobin,
    /// The server of the region with the fewest requests of this host.
    LeastInFlight,
    /// The better one of two servers drawn at random, by own requests and latency.
    TwoChoices,
    /// The server of the region that reports the lowest load.
    LeastReported,
}

#[derive(Clone, Debug)]
enum Happening {
    Arrive {
        region: usize,
    },
    Tick {
        host: usize,
    },
    Deliver {
        host: usize,
        from: SocketAddr,
        msg: PeerMsg,
    },
    /// Resumes a flight; a time that has come counts only for the wait that set it.
    Resume {
        host: usize,
        flight: FlightKey,
        wait: Option<u64>,
    },
    AtServer {
        host: usize,
        id: u64,
        address: SocketAddr,
        service_end: Instant,
    },
    Answer {
        host: usize,
        id: u64,
        address: SocketAddr,
        outcome: Outcome,
        ran: bool,
    },
    Install {
        host: usize,
        records: Arc<Records>,
    },
    Report,
}

struct HostSim {
    traffic: Traffic,
    view: View,
    region: usize,
    controller: Controller,
    flights: HashMap<FlightKey, Instant>,
    parked: HashMap<FlightKey, u64>,
    baseline: Baseline,
}

struct Sent {
    flight: Option<FlightKey>,
    began: Instant,
    started: Instant,
    tries: u32,
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Times of the good answers, in microseconds.
    pub times: Vec<u64>,
    pub arrived: u64,
    /// Requests that a server refused because its slots were taken.
    pub sheds: u64,
    pub by_code: BTreeMap<u16, u64>,
    /// Bad answers that callers got.
    pub failed: u64,
    /// Requests that were started, by route and version.
    pub versions: BTreeMap<String, u64>,
    /// Last request of each version.
    pub last_work: BTreeMap<String, Instant>,
    /// Most that new versions may have got: the recorded share of each request that began.
    pub allowed: f64,
    /// Requests sent to another region.
    pub overflowed: u64,
    pub events: Vec<(Instant, usize, Event)>,
    /// Lowest share of free slots in each region, over windows of a second.
    pub headroom: Vec<f64>,
}

impl Stats {
    /// A quantile of the times of good answers.
    pub fn quantile(&mut self, q: f64) -> Duration {
        self.times.sort_unstable();
        let at = ((self.times.len().max(1) - 1) as f64 * q) as usize;
        Duration::from_micros(self.times.get(at).copied().unwrap_or(0))
    }

    /// Events of a kind.
    pub fn count(&self, kind: Kind) -> usize {
        self.events.iter().filter(|(_, _, e)| e.kind == kind).count()
    }
}

/// The simulated fleet.
pub struct Sim {
    pub now: Instant,
    pub cfg: Options,
    pub world: Arc<World>,
    pub servers: HashMap<SocketAddr, ServerSim>,
    pub stats: Stats,
    pub records: Arc<Records>,
    /// Whether the store answers.
    pub store_up: bool,
    /// Hosts that hear nothing and whose messages are lost.
    pub cut: Vec<bool>,
    hosts: Vec<HostSim>,
    heap: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    happenings: Vec<Option<Happening>>,
    sent: HashMap<u64, Sent>,
    rng: ChaCha8Rng,
    next: u64,
    samples: Vec<(f64, f64)>,
    window: Instant,
    write_due: Instant,
}

fn declaration(cfg: &Options) -> String {
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
    /// A fleet whose hosts hold their seats and know each other.
    pub fn new(cfg: Options) -> Sim {
        let world = world::parse(&declaration(&cfg)).expect("the declaration is valid");
        let world = Arc::new(world);
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
        let live: Vec<LiveHost> = infos.iter().map(|(info, ..)| live(info)).collect();
        let hosts = infos.into_iter().map(|(me, region, seat)| {
            let view = View {
                revision: 1,
                world: Arc::clone(&world),
                seat: Some(seat),
                open_seat: Some(seat),
                hosts: live.clone(),
                ..View::empty(me)
            };
            let mut traffic = Traffic::new(Arc::new(view.clone()));
            traffic.install(Instant::ZERO, Arc::new(view.clone()));
            let baseline = Baseline::new(&world, region);
            HostSim {
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
            servers: server::all(&world, cfg.service),
            stats: Stats { headroom: vec![1.0; cfg.regions], ..Stats::default() },
            records: Arc::default(),
            store_up: true,
            cut: vec![false; hosts.len()],
            hosts,
            heap: BinaryHeap::new(),
            happenings: Vec::new(),
            sent: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            next: 0,
            samples: vec![(0.0, 0.0); cfg.regions],
            window: Instant::ZERO,
            write_due: Instant::ZERO,
            world,
            cfg,
        };
        for host in 0..sim.hosts.len() {
            let jitter = sim.rng.random_range(0..50_000);
            sim.at(Duration::from_micros(jitter), Happening::Tick { host });
        }
        for region in 0..sim.cfg.regions {
            sim.at(Duration::ZERO, Happening::Arrive { region });
        }
        sim.at(Duration::ZERO, Happening::Report);
        sim
    }

    fn at(&mut self, after: Duration, what: Happening) {
        self.happenings.push(Some(what));
        self.next += 1;
        let key = self.happenings.len() - 1;
        self.heap.push(Reverse((self.now + after, self.next, key)));
    }

    /// Runs for a length of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, key))) = self.heap.peek().copied() {
            if at > end {
                break;
            }
            self.heap.pop();
            self.now = at;
            if let Some(what) = self.happenings[key].take() {
                self.happen(what);
            }
        }
        self.now = end;
    }

    /// Puts another declaration in force on every host, each a little later than the one before.
    pub fn declare(&mut self, extra: &str) {
        let mut cfg = self.cfg.clone();
        cfg.extra = extra.to_owned();
        let world = world::parse(&declaration(&cfg)).expect("the declaration is valid");
        self.declare_text_world(world);
    }

    /// Puts a world in force on every host.
    pub fn declare_text_world(&mut self, world: World) {
        self.world = Arc::new(world);
        for (address, server) in server::all(&self.world, self.cfg.service) {
            self.servers.entry(address).or_insert(server);
        }
        self.spread();
    }

    /// Text of the declaration.
    pub fn declaration(&self) -> String {
        declaration(&self.cfg)
    }

    fn spread(&mut self) {
        for host in 0..self.hosts.len() {
            let late = self.rng.random_range(10..600);
            let records = Arc::clone(&self.records);
            self.at(Duration::from_millis(late), Happening::Install { host, records });
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrive { region } => self.arrive(region),
            Happening::Tick { host } => {
                self.hosts[host].traffic.tick(self.now);
                self.drain(host);
                self.control(host);
                self.at(TICK_PERIOD, Happening::Tick { host });
            }
            Happening::Deliver { host, from, msg } => {
                if let PeerMsg::Rollout(msg) = &msg {
                    self.hosts[host].controller.hear(msg);
                }
                self.hosts[host].traffic.handle_message(self.now, from, &msg);
                self.drain(host);
            }
            Happening::Resume { host, flight, wait } => {
                let parked = self.hosts[host].parked.get(&flight).copied();
                if parked.is_some() && (wait.is_none() || wait == parked) {
                    self.hosts[host].parked.remove(&flight);
                    let step = self.hosts[host].traffic.resume(self.now, flight);
                    self.follow(host, step);
                    self.drain(host);
                }
            }
            Happening::AtServer { host, id, address, service_end } => {
                self.serve(host, id, address, service_end);
            }
            Happening::Answer { host, id, address, outcome, ran } => {
                self.answer(host, id, address, outcome, ran);
            }
            Happening::Install { host, records } => {
                let view = &mut self.hosts[host].view;
                view.revision += 1;
                view.world = Arc::clone(&self.world);
                view.rollouts = records;
                let view = Arc::new(view.clone());
                self.hosts[host].traffic.install(self.now, view);
                self.drain(host);
            }
            Happening::Report => {
                self.report();
                self.at(Duration::from_secs(1), Happening::Report);
            }
        }
    }

    fn arrive(&mut self, region: usize) {
        let rate = self.cfg.rates[region];
        let gap = if rate > 0.0 { -(1.0 - self.rng.random::<f64>()).ln() / rate } else { 0.1 };
        self.at(Duration::from_secs_f64(gap), Happening::Arrive { region });
        if rate <= 0.0 {
            return;
        }
        let hosts: Vec<_> =
            (0..self.hosts.len()).filter(|h| self.hosts[*h].region == region).collect();
        let host = hosts[self.rng.random_range(0..hosts.len())];
        let shares = self.records.moves.values().map(|r| f64::from(r.share) / 1e6);
        self.stats.allowed += shares.fold(0.0, f64::max);
        self.stats.arrived += 1;
        if self.cfg.policy != Policy::Slots {
            let sent = Sent { flight: None, began: self.now, started: self.now, tries: 0 };
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
        self.follow(host, step);
        self.drain(host);
    }

    fn follow(&mut self, host: usize, step: Step) {
        match step {
            Step::Send { flight, address, timeout } => {
                let began = self.hosts[host].flights[&flight];
                let sent = Sent { flight: Some(flight), began, started: self.now, tries: 0 };
                self.dispatch(host, sent, address, timeout);
            }
            Step::Park { flight, until } => {
                let after = until.saturating_since(self.now);
                self.next += 1;
                self.hosts[host].parked.insert(flight, self.next);
                let wait = Some(self.next);
                self.at(after, Happening::Resume { host, flight, wait });
            }
            Step::ReplayAnswer(_) | Step::Forward { .. } => unreachable!("the route is idempotent"),
            Step::Reply(code) => *self.stats.by_code.entry(code.number()).or_default() += 1,
        }
    }

    fn dispatch(&mut self, host: usize, sent: Sent, address: SocketAddr, timeout: Duration) {
        self.next += 1;
        let id = self.next;
        self.sent.insert(id, sent);
        let region = self.servers[&address].region;
        self.stats.overflowed += u64::from(region != self.hosts[host].region);
        let way = self.way(self.hosts[host].region, region);
        let service_end = self.now + timeout;
        self.at(way, Happening::AtServer { host, id, address, service_end });
    }

    fn way(&self, a: usize, b: usize) -> Duration {
        if a == b { Duration::from_micros(500) } else { Duration::from_millis(10) }
    }

    fn serve(&mut self, host: usize, id: u64, address: SocketAddr, end: Instant) {
        let server = self.servers.get_mut(&address).expect("a declared server");
        let way = if server.region == self.hosts[host].region { 500 } else { 10_000 };
        let way = Duration::from_micros(way);
        let version = format!("{} {}", server.route, server.version);
        *self.stats.versions.entry(version.clone()).or_default() += 1;
        self.stats.last_work.insert(version, self.now);
        server.last_work = self.now;
        let Some((outcome, took)) = server.begin(self.now, &mut self.rng) else {
            self.stats.sheds += 1;
            let outcome = Outcome::Answered(503);
            return self.at(way, Happening::Answer { host, id, address, outcome, ran: false });
        };
        let left = end.saturating_since(self.now);
        if took + way > left {
            let outcome = Outcome::TimedOut;
            return self.at(left, Happening::Answer { host, id, address, outcome, ran: true });
        }
        self.at(took + way, Happening::Answer { host, id, address, outcome, ran: true });
    }

    fn answer(&mut self, host: usize, id: u64, address: SocketAddr, outcome: Outcome, ran: bool) {
        if ran && let Some(server) = self.servers.get_mut(&address) {
            server.running -= 1;
        }
        let Some(sent) = self.sent.remove(&id) else { return };
        let good = matches!(outcome, Outcome::Answered(status) if status < 500);
        match sent.flight {
            Some(flight) => {
                self.hosts[host].traffic.record_bytes(flight, 500, 2000);
                let step = self.hosts[host].traffic.finish(self.now, flight, outcome);
                if let Step::Reply(code) = step {
                    self.hosts[host].flights.remove(&flight);
                    self.count(code, good, sent.began);
                } else {
                    self.follow(host, step);
                }
                self.drain(host);
            }
            None => {
                let took = self.now.saturating_since(sent.started);
                self.hosts[host].baseline.finish(address, took);
                let again = outcome == Outcome::Answered(503) && sent.tries == 0;
                if again && self.now < sent.began + self.cfg.deadline {
                    let sent = Sent { tries: 1, ..sent };
                    return self.send_baseline(host, sent, Some(address));
                }
                self.count(Code::Done, good, sent.began);
            }
        }
    }

    fn count(&mut self, code: Code, good: bool, began: Instant) {
        *self.stats.by_code.entry(code.number()).or_default() += 1;
        if code == Code::Done && good {
            let took = self.now.saturating_since(began);
            self.stats.times.push(took.as_micros() as u64);
        } else {
            self.stats.failed += 1;
        }
    }

    fn send_baseline(&mut self, host: usize, mut sent: Sent, not: Option<SocketAddr>) {
        sent.started = self.now;
        let policy = self.cfg.policy;
        let reported = |a: &SocketAddr| self.servers[a].reported();
        let chosen = self.hosts[host].baseline.choose(policy, not, reported, &mut self.rng);
        let left = (sent.began + self.cfg.deadline).saturating_since(self.now);
        self.dispatch(host, sent, chosen, left);
    }

    fn drain(&mut self, host: usize) {
        let out = self.hosts[host].traffic.take_outbox();
        for flight in out.wakes {
            self.at(Duration::ZERO, Happening::Resume { host, flight, wait: None });
        }
        for event in out.events {
            self.stats.events.push((self.now, host, event));
        }
        let from = self.hosts[host].view.me.peer_address;
        for (to, msg) in out.sends {
            let target = usize::from(to.port());
            let lost = self.rng.random::<f64>() < self.cfg.loss;
            if (self.cut[host] || self.cut[target]) && host != target || lost {
                continue;
            }
            let copies = if self.rng.random::<f64>() < self.cfg.loss { 2 } else { 1 };
            for _ in 0..copies {
                let way = self.way(self.hosts[host].region, self.hosts[target].region);
                let jitter = Duration::from_micros(self.rng.random_range(0..300));
                let msg = msg.clone();
                self.at(way + jitter, Happening::Deliver { host: target, from, msg });
            }
        }
    }

    /// One host's controller writes the next records into the store.
    fn control(&mut self, host: usize) {
        let due = self.now >= self.write_due;
        if host > 2 || !self.store_up || self.cut[host] || !due || self.world.moves.is_empty() {
            return;
        }
        let date = self.date();
        let mut events = Vec::new();
        let controller = &mut self.hosts[host].controller;
        let next = controller.next(date, host, &self.world, &self.records, &mut events);
        self.stats.events.extend(events.into_iter().map(|e| (self.now, host, e)));
        let Some(next) = next else { return };
        self.records = Arc::new(next);
        self.write_due = self.now + Duration::from_millis(20);
        self.spread();
    }

    /// Wall-clock time now.
    pub fn date(&self) -> u64 {
        EPOCH + self.now.as_micros() / 1000
    }

    fn report(&mut self) {
        for host in 0..self.hosts.len() {
            for server in self.servers.values() {
                let report = ServerReport { load: server.reported(), healthy: true };
                self.hosts[host].traffic.record_report(&server.name, report);
            }
        }
        for region in 0..self.cfg.regions {
            let (mut busy, mut all) = (0.0, 0.0);
            for server in self.servers.values_mut().filter(|s| s.region == region) {
                busy += server.busy_since_last(self.now);
                all += f64::from(server.slots);
            }
            let free = 1.0 - busy / all;
            if self.now > Instant::from_millis(2000) {
                self.stats.headroom[region] = self.stats.headroom[region].min(free);
            }
        }
    }

    /// The traffic state of a host.
    pub fn traffic(&self, host: usize) -> &Traffic {
        &self.hosts[host].traffic
    }

    /// The traffic state of a host, to act on.
    pub fn traffic_mut(&mut self, host: usize) -> &mut Traffic {
        &mut self.hosts[host].traffic
    }

    /// Number of hosts.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Server of this name.
    pub fn server(&mut self, name: &str) -> &mut ServerSim {
        self.servers.values_mut().find(|s| s.name == name).expect("a declared server")
    }
}

fn live(info: &HostInfo) -> LiveHost {
    LiveHost {
        name: info.name.clone(),
        domain: info.domain.clone(),
        caller_address: info.caller_address,
        peer_address: info.peer_address,
        incarnation: info.incarnation,
        taking: true,
    }
}
