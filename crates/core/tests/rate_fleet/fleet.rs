//! The fleet: hosts, messages with faults, pauses, deaths, takeovers of seats and changes.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    control::PeerMsg,
    declaration::Declaration,
    host::Incarnation,
    rate::{Buckets, Counters, Holder, LOAN_HOLD, RateMsg, Standing, Take},
    result::Code,
    time::Instant,
    traffic::{FlightKey, Outbox, TICK_PERIOD},
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::{
    bound::{Excess, Limit, excess},
    layout::{Layout, Tenant, declare, domain_name},
    policy::{Decider, PlainBucket, Policy, on_clock},
};

/// Time for which a host goes on without proof.
pub const AUTHORITY: u64 = 3_000_000;
/// Time between two proofs.
const PROOF_PERIOD: u64 = 250_000;
const TICK: u64 = TICK_PERIOD.as_micros() as u64;

/// Faults of the links between hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub double: f64,
    /// Longest additional delay in microseconds.
    pub delay: u64,
}

#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    pub layout: Layout,
    pub tenants: &'static [Tenant],
    pub policy: Policy,
    pub faults: Faults,
    pub seed: u64,
}

#[derive(Clone, Debug)]
struct Flight {
    tenant: usize,
    arrived: u64,
    ideal: bool,
}

struct Host {
    domain: usize,
    seat: Option<u16>,
    address: SocketAddr,
    incarnation: Incarnation,
    offset: u64,
    alive: bool,
    paused_until: u64,
    usable_until: u64,
    decider: Decider,
    flights: SlotMap<FlightKey, Flight>,
    /// Number of the declaration in force, from 1.
    declared: usize,
    accepted: usize,
}

enum Event {
    Tick(usize),
    Deliver {
        to: SocketAddr,
        from: SocketAddr,
        msg: RateMsg,
    },
    Resume(usize, FlightKey),
    Proof(usize),
    Install(usize),
    Accept(usize, usize),
    /// Loans from before the acceptance of this declaration have ended.
    Past(usize),
}

struct Entry {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// What became of the requests of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub offered: u64,
    /// Requests that one central bucket would have admitted.
    pub within: u64,
    /// Requests that one central bucket would have admitted and the fleet refused.
    pub within_refused: u64,
    /// Instants of admission.
    pub admitted: Vec<u64>,
    /// Waits of admitted requests, in microseconds.
    pub waits: Vec<u64>,
}

pub struct Fleet {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub tallies: Vec<Tally>,
    /// Bytes of the messages sent, as encoded.
    pub bytes: u64,
    pub messages: u64,
    cfg: FleetOptions,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<Entry>>,
    order: u64,
    cut: HashSet<usize>,
    worlds: Vec<(Vec<Tenant>, Arc<Declaration>)>,
    accepted: usize,
    /// Number of the oldest declaration that something in the fleet may still follow.
    oldest: usize,
    limits: Vec<Vec<Limit>>,
    ideals: Vec<PlainBucket>,
    at: HashMap<SocketAddr, usize>,
}

impl Fleet {
    pub fn new(cfg: FleetOptions) -> Fleet {
        let tenants = cfg.tenants;
        let declaration = declare(cfg.layout, tenants);
        let ideal = |t: &Tenant| PlainBucket::new(f64::from(t.rate), f64::from(t.burst));
        let limit = |t: &Tenant| Limit { from: 0, rate: t.rate.into(), burst: t.burst.into() };
        let mut fleet = Fleet {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            tallies: vec![Tally::default(); tenants.len()],
            bytes: 0,
            messages: 0,
            cfg,
            hosts: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            cut: HashSet::new(),
            worlds: vec![(tenants.to_vec(), declaration)],
            accepted: 1,
            oldest: 1,
            limits: tenants.iter().map(|t| vec![limit(t)]).collect(),
            ideals: tenants.iter().map(ideal).collect(),
            at: HashMap::new(),
        };
        for domain in 0..cfg.layout.regions * cfg.layout.domains {
            for seat in 0..cfg.layout.seats {
                fleet.add_host(domain, seat);
            }
        }
        for n in 0..fleet.hosts.len() {
            fleet.install(n);
        }
        fleet
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Hosts that are alive and not paused.
    pub fn serving(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|&n| self.is_awake(n)).collect()
    }

    pub fn domain_of(&self, host: usize) -> usize {
        self.hosts[host].domain
    }

    pub fn region_of(&self, host: usize) -> usize {
        self.hosts[host].domain / self.cfg.layout.domains
    }

    /// Hosts that hold a home of a workspace.
    pub fn home_hosts(&self, tenant: usize) -> Vec<usize> {
        let (tenants, declaration) = &self.worlds[self.worlds.len() - 1];
        let key = declaration.workspace_names[tenants[tenant].name];
        let homes = declaration
            .homes_of(key)
            .iter()
            .map(|h| (declaration.domains[h.domain].name.clone(), h.seat));
        let homes: HashSet<_> = homes.collect();
        let holds = |n: &usize| {
            let host = &self.hosts[*n];
            host.seat.is_some_and(|s| homes.contains(&(domain_name(host.domain), s)))
        };
        self.serving().into_iter().filter(holds).collect()
    }

    pub fn counters(&self) -> Counters {
        self.hosts.iter().fold(Counters::default(), |sum, host| {
            let Decider::Homes(b) = &host.decider else { return sum };
            let c = b.counters();
            Counters {
                admitted: sum.admitted + c.admitted,
                refused: sum.refused + c.refused,
                waited: sum.waited + c.waited,
                messages: sum.messages + c.messages,
                lent: sum.lent + c.lent,
                borrowed: sum.borrowed + c.borrowed,
                answers_dropped: sum.answers_dropped + c.answers_dropped,
                broken: sum.broken + c.broken,
            }
        })
    }

    /// The excess of a workspace over `rate x window`, and over what was allowed.
    pub fn excess(&self, tenant: usize) -> Excess {
        excess(&self.tallies[tenant].admitted, &self.limits[tenant])
    }

    /// Cuts a failure domain off from the others, or joins it again.
    pub fn set_cut(&mut self, domain: usize, cut: bool) {
        if cut {
            self.cut.insert(domain);
        } else {
            self.cut.remove(&domain);
        }
    }

    /// Pauses a host; one that is paused past its authority loses its seat.
    pub fn pause(&mut self, host: usize, span: u64) {
        self.hosts[host].paused_until = self.now + span;
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].alive = false;
    }

    /// Lets a new host take over each seat whose holder cannot use it any more.
    pub fn take_over(&mut self) {
        for n in 0..self.hosts.len() {
            let host = &self.hosts[n];
            let Some(seat) = host.seat else { continue };
            let gone =
                !host.alive || self.now < host.paused_until || self.cut.contains(&host.domain);
            if gone && self.now > host.usable_until && !self.cut.contains(&host.domain) {
                let domain = host.domain;
                // The old holder does not hear of it before it is told.
                self.hosts[n].seat = None;
                self.add_host(domain, seat);
                for n in 0..self.hosts.len() {
                    self.after(50_000, Event::Install(n));
                }
            }
        }
    }

    /// Whether the newest declaration is accepted, as the tool wants it before other limits.
    pub fn is_settled(&self) -> bool {
        self.accepted == self.worlds.len()
    }

    /// Declares other limits; the hosts hear of them one by one.
    pub fn apply(&mut self, tenants: &[Tenant]) {
        self.worlds.push((tenants.to_vec(), declare(self.cfg.layout, tenants)));
        self.note_limits();
        for n in 0..self.hosts.len() {
            let delay = self.rng.random_range(1_000..1_500_000);
            self.after(delay, Event::Install(n));
        }
    }

    /// A request of a workspace arrives at a host.
    pub fn arrive(&mut self, host: usize, tenant: usize) {
        let ideal = self.ideals[tenant].take(self.now);
        let awake = self.is_awake(host);
        let tally = &mut self.tallies[tenant];
        tally.offered += 1;
        tally.within += u64::from(ideal);
        let flight = Flight { tenant, arrived: self.now, ideal };
        if !awake {
            tally.within_refused += u64::from(ideal);
            return;
        }
        let key = self.hosts[host].flights.insert(flight);
        self.decide(host, key);
    }

    /// Forgets what was counted so far.
    pub fn reset(&mut self) {
        self.tallies.iter_mut().for_each(|tally| *tally = Tally::default());
        (self.bytes, self.messages) = (0, 0);
    }

    /// Runs until an instant.
    pub fn run_until(&mut self, end: u64) {
        while self.queue.peek().is_some_and(|Reverse(e)| e.at <= end) {
            let Some(Reverse(entry)) = self.queue.pop() else { break };
            self.now = self.now.max(entry.at);
            self.handle(entry.event);
        }
        self.now = end;
    }

    fn is_awake(&self, n: usize) -> bool {
        self.hosts[n].alive && self.now >= self.hosts[n].paused_until
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.order += 1;
        let (at, order) = (self.now + delay, self.order);
        self.queue.push(Reverse(Entry { at, order, event }));
    }

    fn add_host(&mut self, domain: usize, seat: u16) {
        let n = self.hosts.len();
        let address = SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7000));
        let incarnation = Incarnation(self.rng.random());
        let seats = self.cfg.layout.hosts() as f64;
        let part =
            |t: &Tenant| PlainBucket::new(f64::from(t.rate) / seats, f64::from(t.burst) / seats);
        let decider = match self.cfg.policy {
            Policy::Homes => Decider::Homes(Box::new(Buckets::new(incarnation))),
            _ => Decider::Plain(self.cfg.tenants.iter().map(part).collect()),
        };
        self.hosts.push(Host {
            domain,
            seat: Some(seat),
            address,
            incarnation,
            offset: self.rng.random_range(0..1_000_000_000),
            alive: true,
            paused_until: 0,
            usable_until: self.now + AUTHORITY,
            decider,
            flights: SlotMap::default(),
            declared: self.worlds.len(),
            accepted: self.accepted,
        });
        self.at.insert(address, n);
        let delay = self.rng.random_range(0..TICK);
        self.after(delay, Event::Tick(n));
        self.after(delay, Event::Proof(n));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(n) => self.tick(n),
            Event::Proof(n) => self.prove(n),
            Event::Install(n) if self.is_awake(n) => {
                self.hosts[n].declared = self.worlds.len();
                self.install(n);
                self.settle();
            }
            Event::Install(n) => self.when_awake(n, Event::Install(n)),
            Event::Accept(n, revision) if self.is_awake(n) => {
                self.hosts[n].accepted = self.hosts[n].accepted.max(revision);
                self.install(n);
            }
            Event::Accept(n, revision) => self.when_awake(n, Event::Accept(n, revision)),
            Event::Past(newest) => {
                self.oldest = newest;
                self.note_limits();
            }
            Event::Resume(n, flight) if self.is_awake(n) => self.decide(n, flight),
            Event::Resume(n, flight) => self.when_awake(n, Event::Resume(n, flight)),
            Event::Deliver { to, from, msg } => self.deliver(to, from, msg),
        }
    }

    /// Does again what found the host paused; what found it dead is lost.
    fn when_awake(&mut self, n: usize, event: Event) {
        if self.hosts[n].alive {
            let wait = self.hosts[n].paused_until - self.now;
            self.after(wait, event);
        }
    }

    fn tick(&mut self, n: usize) {
        if !self.hosts[n].alive {
            return;
        }
        self.after(TICK, Event::Tick(n));
        if self.is_awake(n) {
            let (now, host) = (self.now, &mut self.hosts[n]);
            if let Decider::Homes(b) = &mut host.decider {
                b.tick(on_clock(now, host.offset));
            }
            self.live_split(n);
            self.flush(n);
        }
    }

    /// The second baseline: an equal part among the hosts that can be seen.
    fn live_split(&mut self, n: usize) {
        if self.cfg.policy != Policy::LiveSplit {
            return;
        }
        let sees = |m: &usize| self.connected(n, *m) && self.hosts[*m].alive;
        let live = (0..self.hosts.len()).filter(sees).count().max(1) as f64;
        let (now, tenants) = (self.now, self.cfg.tenants);
        if let Decider::Plain(buckets) = &mut self.hosts[n].decider {
            for (bucket, t) in buckets.iter_mut().zip(tenants) {
                bucket.resize(now, f64::from(t.rate) / live, f64::from(t.burst) / live);
            }
        }
    }

    fn prove(&mut self, n: usize) {
        if !self.hosts[n].alive {
            return;
        }
        self.after(PROOF_PERIOD, Event::Proof(n));
        let reached = self.hosts.iter().filter(|h| h.alive && h.declared == self.worlds.len());
        let majority = reached.count() * 2 > self.hosts.iter().filter(|h| h.alive).count();
        let host = &self.hosts[n];
        let current = host.declared == self.worlds.len() || !majority;
        let may = host.seat.is_some() && !self.cut.contains(&host.domain);
        if self.is_awake(n) && may && current {
            self.hosts[n].usable_until = self.now + AUTHORITY;
            self.install(n);
        }
        self.settle();
    }

    /// Accepts the newest declaration as soon as no host can act on an older one.
    fn settle(&mut self) {
        let newest = self.worlds.len();
        let has = |h: &&Host| h.alive && h.declared == newest;
        let majority = self.hosts.iter().filter(has).count() * 2 > self.cfg.layout.hosts();
        let over = |h: &Host| !h.alive || h.declared == newest || self.now > h.usable_until;
        if self.accepted == newest || !majority || !self.hosts.iter().all(over) {
            return;
        }
        self.accepted = newest;
        self.after(LOAN_HOLD.as_micros() as u64, Event::Past(newest));
        for n in 0..self.hosts.len() {
            let delay = self.rng.random_range(0..300_000);
            self.after(delay, Event::Accept(n, newest));
        }
    }

    /// Notes the largest limits that may be in force somewhere from now on.
    fn note_limits(&mut self) {
        for tenant in 0..self.limits.len() {
            let open = self.worlds[self.oldest - 1..].iter().map(|(tenants, _)| tenants[tenant]);
            let rate = open.clone().map(|t| t.rate).max().unwrap_or(0).into();
            let burst = open.map(|t| t.burst).max().unwrap_or(0).into();
            self.limits[tenant].push(Limit { from: self.now, rate, burst });
        }
    }

    fn install(&mut self, n: usize) {
        let held = |h: &Host| h.seat.is_some();
        let others = self.hosts.iter().enumerate().filter(|(m, h)| *m != n && held(h));
        let holders = others.filter_map(|(_, h)| {
            let holder = Holder { incarnation: h.incarnation, address: h.address };
            Some(((domain_name(h.domain), h.seat?), holder))
        });
        let holders = holders.collect();
        let now = self.now;
        let host = &mut self.hosts[n];
        let standing = Standing {
            accepted: host.accepted as u64,
            declared: host.declared as u64,
            declared_before: host.declared as u64 - 1,
            declaration: Arc::clone(&self.worlds[host.declared - 1].1),
            domain: domain_name(host.domain),
            seat: host.seat,
            usable_until: on_clock(host.usable_until, host.offset),
            holders,
        };
        if let Decider::Homes(b) = &mut host.decider {
            b.install(on_clock(now, host.offset), &standing);
        }
        self.flush(n);
    }

    fn decide(&mut self, n: usize, key: FlightKey) {
        let now = self.now;
        let host = &mut self.hosts[n];
        let Some(flight) = host.flights.get(key).cloned() else { return };
        let clock: Instant = on_clock(now, host.offset);
        let tenant = &self.cfg.tenants[flight.tenant];
        let take = match &mut host.decider {
            Decider::Homes(b) => b.take(clock, key, tenant.name, clock + Duration::from_secs(1)),
            Decider::Plain(buckets) => match buckets[flight.tenant].take(now) {
                true => Take::Taken,
                false => Take::Refused(Code::OverRate),
            },
        };
        let tally = &mut self.tallies[flight.tenant];
        match take {
            Take::Wait(until) => {
                let delay = until.saturating_since(clock).as_micros() as u64;
                self.after(delay, Event::Resume(n, key));
            }
            Take::Taken => {
                tally.admitted.push(now);
                tally.waits.push(now - flight.arrived);
                host.flights.remove(key);
            }
            Take::Refused(_) => {
                tally.within_refused += u64::from(flight.ideal);
                host.flights.remove(key);
            }
        }
        self.flush(n);
    }

    fn flush(&mut self, n: usize) {
        let Decider::Homes(b) = &mut self.hosts[n].decider else { return };
        let mut outbox = Outbox::default();
        b.drain_into(&mut outbox);
        assert!(outbox.events.is_empty(), "{:?}", outbox.events);
        for flight in outbox.wakes {
            let delay = self.rng.random_range(0..500);
            self.after(delay, Event::Resume(n, flight));
        }
        for (to, msg) in outbox.sends {
            self.bytes += encoded_len(&msg);
            self.messages += 1;
            let PeerMsg::Rate(msg) = msg else { continue };
            self.send(n, to, &msg);
        }
    }

    fn send(&mut self, n: usize, to: SocketAddr, msg: &RateMsg) {
        let Some(&m) = self.at.get(&to) else { return };
        if !self.connected(n, m) || self.rng.random_bool(self.cfg.faults.loss) {
            return;
        }
        let from = self.hosts[n].address;
        let copies = 1 + usize::from(self.rng.random_bool(self.cfg.faults.double));
        for _ in 0..copies {
            let base = match () {
                () if self.hosts[n].domain == self.hosts[m].domain => 150,
                () if self.region_of(n) == self.region_of(m) => 500,
                () => 10_000,
            };
            let more = self.rng.random_range(0..=self.cfg.faults.delay);
            self.after(base + more, Event::Deliver { to, from, msg: msg.clone() });
        }
    }

    fn connected(&self, n: usize, m: usize) -> bool {
        let (a, b) = (self.hosts[n].domain, self.hosts[m].domain);
        a == b || !(self.cut.contains(&a) || self.cut.contains(&b))
    }

    fn deliver(&mut self, to: SocketAddr, from: SocketAddr, msg: RateMsg) {
        let Some(&n) = self.at.get(&to) else { return };
        if !self.is_awake(n) {
            self.when_awake(n, Event::Deliver { to, from, msg });
            return;
        }
        let now = self.now;
        let host = &mut self.hosts[n];
        if let Decider::Homes(b) = &mut host.decider {
            b.hear(on_clock(now, host.offset), from, &msg);
        }
        self.flush(n);
    }
}

/// Bytes of a message as encoded by postcard, without the seal.
fn encoded_len(msg: &PeerMsg) -> u64 {
    postcard::to_allocvec(msg).map_or(0, |bytes| bytes.len() as u64)
}

/// Time to the next arrival of a Poisson process, in microseconds.
pub fn poisson(rng: &mut impl Rng, per_second: f64) -> u64 {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    (-u.ln() / per_second * 1e6) as u64
}
