//! Simulated fleet: hosts that pause, stop and are replaced, messages with faults, and changed
//! limits. Times and time spans are in microseconds of virtual time.

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
    rate::{Counters, Holder, LOAN_RESERVATION, RateContext, RateDecision, RateLimiter, RateMsg},
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

/// Time for which a host may use its seat after its authority was renewed.
pub const AUTHORITY_MICROS: u64 = 3_000_000;
/// Time between two renewals of a host's authority.
const RENEWAL_PERIOD_MICROS: u64 = 250_000;
const TICK_MICROS: u64 = TICK_PERIOD.as_micros() as u64;

/// Faults of the links between hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
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
    clock_offset: u64,
    alive: bool,
    paused_until: u64,
    authority_until: u64,
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
    RenewAuthority(usize),
    Install(usize),
    Accept(usize, usize),
    /// Loans granted before the acceptance of this declaration have expired.
    LoansExpired(usize),
}

struct QueuedEvent {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Results of the requests of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub offered: u64,
    /// Requests that one central bucket would have admitted.
    pub ideal_admitted: u64,
    /// Requests that one central bucket would have admitted and the fleet refused.
    pub ideal_refused: u64,
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
    options: FleetOptions,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    order: u64,
    partitioned: HashSet<usize>,
    declarations: Vec<(Vec<Tenant>, Arc<Declaration>)>,
    accepted: usize,
    /// Number of the oldest declaration that a host or a loan may still follow.
    oldest: usize,
    limits: Vec<Vec<Limit>>,
    ideals: Vec<PlainBucket>,
    hosts_by_address: HashMap<SocketAddr, usize>,
}

impl Fleet {
    pub fn new(options: FleetOptions) -> Fleet {
        let tenants = options.tenants;
        let declaration = declare(options.layout, tenants);
        let ideal = |t: &Tenant| PlainBucket::new(f64::from(t.rate), f64::from(t.burst));
        let limit = |t: &Tenant| Limit { from: 0, rate: t.rate.into(), burst: t.burst.into() };
        let mut fleet = Fleet {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            tallies: vec![Tally::default(); tenants.len()],
            bytes: 0,
            messages: 0,
            options,
            hosts: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            partitioned: HashSet::new(),
            declarations: vec![(tenants.to_vec(), declaration)],
            accepted: 1,
            oldest: 1,
            limits: tenants.iter().map(|t| vec![limit(t)]).collect(),
            ideals: tenants.iter().map(ideal).collect(),
            hosts_by_address: HashMap::new(),
        };
        for domain in 0..options.layout.regions * options.layout.domains {
            for seat in 0..options.layout.seats {
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

    /// Hosts that are neither stopped nor paused.
    pub fn serving(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|&n| self.is_running(n)).collect()
    }

    pub fn domain_of(&self, host: usize) -> usize {
        self.hosts[host].domain
    }

    pub fn region_of(&self, host: usize) -> usize {
        self.hosts[host].domain / self.options.layout.domains
    }

    /// Hosts that hold a home of a workspace.
    pub fn home_hosts(&self, tenant: usize) -> Vec<usize> {
        let (tenants, declaration) = &self.declarations[self.declarations.len() - 1];
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
                grants_dropped: sum.grants_dropped + c.grants_dropped,
                invariant_violations: sum.invariant_violations + c.invariant_violations,
            }
        })
    }

    /// What was admitted to a workspace above `rate x window`, and above the limits.
    pub fn excess(&self, tenant: usize) -> Excess {
        excess(&self.tallies[tenant].admitted, &self.limits[tenant])
    }

    /// Partitions a failure domain from the others, or reconnects it.
    pub fn set_partitioned(&mut self, domain: usize, partitioned: bool) {
        if partitioned {
            self.partitioned.insert(domain);
        } else {
            self.partitioned.remove(&domain);
        }
    }

    /// Pauses a host; one that is paused past its authority loses its seat.
    pub fn pause(&mut self, host: usize, span: u64) {
        self.hosts[host].paused_until = self.now + span;
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].alive = false;
    }

    /// Adds a new host for each seat whose holder can no longer use it.
    pub fn take_over(&mut self) {
        for n in 0..self.hosts.len() {
            let host = &self.hosts[n];
            let Some(seat) = host.seat else { continue };
            let is_unable = !host.alive
                || self.now < host.paused_until
                || self.partitioned.contains(&host.domain);
            if is_unable
                && self.now > host.authority_until
                && !self.partitioned.contains(&host.domain)
            {
                let domain = host.domain;
                // The old holder receives no new context until its `Install` event.
                self.hosts[n].seat = None;
                self.add_host(domain, seat);
                for n in 0..self.hosts.len() {
                    self.schedule(50_000, Event::Install(n));
                }
            }
        }
    }

    /// Whether the newest declaration is accepted, which the tool requires before another change.
    pub fn is_settled(&self) -> bool {
        self.accepted == self.declarations.len()
    }

    /// Declares other limits, which the hosts install at different times.
    pub fn apply(&mut self, tenants: &[Tenant]) {
        self.declarations.push((tenants.to_vec(), declare(self.options.layout, tenants)));
        self.record_limits();
        for n in 0..self.hosts.len() {
            let delay = self.rng.random_range(1_000..1_500_000);
            self.schedule(delay, Event::Install(n));
        }
    }

    /// Sends a request of a workspace to a host.
    pub fn arrive(&mut self, host: usize, tenant: usize) {
        let ideal = self.ideals[tenant].take(self.now);
        let is_host_running = self.is_running(host);
        let tally = &mut self.tallies[tenant];
        tally.offered += 1;
        tally.ideal_admitted += u64::from(ideal);
        let flight = Flight { tenant, arrived: self.now, ideal };
        if !is_host_running {
            tally.ideal_refused += u64::from(ideal);
            return;
        }
        let key = self.hosts[host].flights.insert(flight);
        self.decide(host, key);
    }

    /// Resets all counters.
    pub fn reset(&mut self) {
        self.tallies.iter_mut().for_each(|tally| *tally = Tally::default());
        (self.bytes, self.messages) = (0, 0);
    }

    /// Runs the simulation until an instant.
    pub fn run_until(&mut self, end: u64) {
        while self.queue.peek().is_some_and(|Reverse(e)| e.at <= end) {
            let Some(Reverse(queued)) = self.queue.pop() else { break };
            self.now = self.now.max(queued.at);
            self.handle(queued.event);
        }
        self.now = end;
    }

    fn is_running(&self, n: usize) -> bool {
        self.hosts[n].alive && self.now >= self.hosts[n].paused_until
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.order += 1;
        let (at, order) = (self.now + delay, self.order);
        self.queue.push(Reverse(QueuedEvent { at, order, event }));
    }

    fn add_host(&mut self, domain: usize, seat: u16) {
        let n = self.hosts.len();
        let address = SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7000));
        let incarnation = Incarnation(self.rng.random());
        let seats = self.options.layout.hosts() as f64;
        let equal_part =
            |t: &Tenant| PlainBucket::new(f64::from(t.rate) / seats, f64::from(t.burst) / seats);
        let decider = match self.options.policy {
            Policy::Homes => Decider::Homes(Box::new(RateLimiter::new(incarnation))),
            _ => Decider::Plain(self.options.tenants.iter().map(equal_part).collect()),
        };
        self.hosts.push(Host {
            domain,
            seat: Some(seat),
            address,
            incarnation,
            clock_offset: self.rng.random_range(0..1_000_000_000),
            alive: true,
            paused_until: 0,
            authority_until: self.now + AUTHORITY_MICROS,
            decider,
            flights: SlotMap::default(),
            declared: self.declarations.len(),
            accepted: self.accepted,
        });
        self.hosts_by_address.insert(address, n);
        let delay = self.rng.random_range(0..TICK_MICROS);
        self.schedule(delay, Event::Tick(n));
        self.schedule(delay, Event::RenewAuthority(n));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(n) => self.tick(n),
            Event::RenewAuthority(n) => self.renew_authority(n),
            Event::Install(n) if self.is_running(n) => {
                self.hosts[n].declared = self.declarations.len();
                self.install(n);
                self.accept_newest();
            }
            Event::Install(n) => self.defer_until_resumed(n, Event::Install(n)),
            Event::Accept(n, revision) if self.is_running(n) => {
                self.hosts[n].accepted = self.hosts[n].accepted.max(revision);
                self.install(n);
            }
            Event::Accept(n, revision) => self.defer_until_resumed(n, Event::Accept(n, revision)),
            Event::LoansExpired(newest) => {
                self.oldest = newest;
                self.record_limits();
            }
            Event::Resume(n, flight) if self.is_running(n) => self.decide(n, flight),
            Event::Resume(n, flight) => self.defer_until_resumed(n, Event::Resume(n, flight)),
            Event::Deliver { to, from, msg } => self.deliver(to, from, msg),
        }
    }

    /// Reschedules the event of a paused host to the end of its pause; drops that of a stopped host.
    fn defer_until_resumed(&mut self, n: usize, event: Event) {
        if self.hosts[n].alive {
            let wait = self.hosts[n].paused_until - self.now;
            self.schedule(wait, event);
        }
    }

    fn tick(&mut self, n: usize) {
        if !self.hosts[n].alive {
            return;
        }
        self.schedule(TICK_MICROS, Event::Tick(n));
        if self.is_running(n) {
            let (now, host) = (self.now, &mut self.hosts[n]);
            if let Decider::Homes(b) = &mut host.decider {
                b.tick(on_clock(now, host.clock_offset));
            }
            self.live_split(n);
            self.process_outbox(n);
        }
    }

    /// For [`Policy::LiveSplit`]: gives a host an equal part among the hosts that it can reach.
    fn live_split(&mut self, n: usize) {
        if self.options.policy != Policy::LiveSplit {
            return;
        }
        let can_reach = |m: &usize| self.are_connected(n, *m) && self.hosts[*m].alive;
        let live = (0..self.hosts.len()).filter(can_reach).count().max(1) as f64;
        let (now, tenants) = (self.now, self.options.tenants);
        if let Decider::Plain(buckets) = &mut self.hosts[n].decider {
            for (bucket, t) in buckets.iter_mut().zip(tenants) {
                bucket.resize(now, f64::from(t.rate) / live, f64::from(t.burst) / live);
            }
        }
    }

    fn renew_authority(&mut self, n: usize) {
        if !self.hosts[n].alive {
            return;
        }
        self.schedule(RENEWAL_PERIOD_MICROS, Event::RenewAuthority(n));
        let updated =
            self.hosts.iter().filter(|h| h.alive && h.declared == self.declarations.len());
        let is_majority = updated.count() * 2 > self.hosts.iter().filter(|h| h.alive).count();
        let host = &self.hosts[n];
        let is_current = host.declared == self.declarations.len() || !is_majority;
        let may_use_seat = host.seat.is_some() && !self.partitioned.contains(&host.domain);
        if self.is_running(n) && may_use_seat && is_current {
            self.hosts[n].authority_until = self.now + AUTHORITY_MICROS;
            self.install(n);
        }
        self.accept_newest();
    }

    /// Accepts the newest declaration once no host can use an older one.
    fn accept_newest(&mut self) {
        let newest = self.declarations.len();
        let is_updated = |h: &&Host| h.alive && h.declared == newest;
        let is_majority =
            self.hosts.iter().filter(is_updated).count() * 2 > self.options.layout.hosts();
        let cannot_use_older =
            |h: &Host| !h.alive || h.declared == newest || self.now > h.authority_until;
        if self.accepted == newest || !is_majority || !self.hosts.iter().all(cannot_use_older) {
            return;
        }
        self.accepted = newest;
        self.schedule(LOAN_RESERVATION.as_micros() as u64, Event::LoansExpired(newest));
        for n in 0..self.hosts.len() {
            let delay = self.rng.random_range(0..300_000);
            self.schedule(delay, Event::Accept(n, newest));
        }
    }

    /// Records the largest limits that some host or loan may follow from now on.
    fn record_limits(&mut self) {
        for tenant in 0..self.limits.len() {
            let open =
                self.declarations[self.oldest - 1..].iter().map(|(tenants, _)| tenants[tenant]);
            let rate = open.clone().map(|t| t.rate).max().unwrap_or(0).into();
            let burst = open.map(|t| t.burst).max().unwrap_or(0).into();
            self.limits[tenant].push(Limit { from: self.now, rate, burst });
        }
    }

    fn install(&mut self, n: usize) {
        let has_seat = |h: &Host| h.seat.is_some();
        let others = self.hosts.iter().enumerate().filter(|(m, h)| *m != n && has_seat(h));
        let holders = others.filter_map(|(_, h)| {
            let holder = Holder { incarnation: h.incarnation, address: h.address };
            Some(((domain_name(h.domain), h.seat?), holder))
        });
        let holders = holders.collect();
        let now = self.now;
        let host = &mut self.hosts[n];
        let context = RateContext {
            accepted: host.accepted as u64,
            limits_revision: host.declared as u64,
            previous_limits_revision: host.declared as u64 - 1,
            declaration: Arc::clone(&self.declarations[host.declared - 1].1),
            domain: domain_name(host.domain),
            seat: host.seat,
            authority_until: on_clock(host.authority_until, host.clock_offset),
            holders,
        };
        if let Decider::Homes(b) = &mut host.decider {
            b.install(on_clock(now, host.clock_offset), &context);
        }
        self.process_outbox(n);
    }

    fn decide(&mut self, n: usize, key: FlightKey) {
        let now = self.now;
        let host = &mut self.hosts[n];
        let Some(flight) = host.flights.get(key).cloned() else { return };
        let clock: Instant = on_clock(now, host.clock_offset);
        let tenant = &self.options.tenants[flight.tenant];
        let take = match &mut host.decider {
            Decider::Homes(b) => b.take(clock, key, tenant.name, clock + Duration::from_secs(1)),
            Decider::Plain(buckets) => match buckets[flight.tenant].take(now) {
                true => RateDecision::Allowed,
                false => RateDecision::Refused(Code::OverRate),
            },
        };
        let tally = &mut self.tallies[flight.tenant];
        match take {
            RateDecision::Wait(until) => {
                let delay = until.saturating_since(clock).as_micros() as u64;
                self.schedule(delay, Event::Resume(n, key));
            }
            RateDecision::Allowed => {
                tally.admitted.push(now);
                tally.waits.push(now - flight.arrived);
                host.flights.remove(key);
            }
            RateDecision::Refused(_) => {
                tally.ideal_refused += u64::from(flight.ideal);
                host.flights.remove(key);
            }
        }
        self.process_outbox(n);
    }

    fn process_outbox(&mut self, n: usize) {
        let Decider::Homes(b) = &mut self.hosts[n].decider else { return };
        let mut outbox = Outbox::default();
        b.drain_into(&mut outbox);
        assert!(outbox.events.is_empty(), "{:?}", outbox.events);
        for flight in outbox.wakes {
            let delay = self.rng.random_range(0..500);
            self.schedule(delay, Event::Resume(n, flight));
        }
        for (to, msg) in outbox.sends {
            self.bytes += encoded_len(&msg);
            self.messages += 1;
            let PeerMsg::Rate(msg) = msg else { continue };
            self.send(n, to, &msg);
        }
    }

    fn send(&mut self, n: usize, to: SocketAddr, msg: &RateMsg) {
        let Some(&m) = self.hosts_by_address.get(&to) else { return };
        if !self.are_connected(n, m) || self.rng.random_bool(self.options.faults.loss) {
            return;
        }
        let from = self.hosts[n].address;
        let copies = 1 + usize::from(self.rng.random_bool(self.options.faults.duplication));
        for _ in 0..copies {
            let base_delay = match () {
                () if self.hosts[n].domain == self.hosts[m].domain => 150,
                () if self.region_of(n) == self.region_of(m) => 500,
                () => 10_000,
            };
            let extra_delay = self.rng.random_range(0..=self.options.faults.delay);
            self.schedule(base_delay + extra_delay, Event::Deliver { to, from, msg: msg.clone() });
        }
    }

    fn are_connected(&self, n: usize, m: usize) -> bool {
        let (a, b) = (self.hosts[n].domain, self.hosts[m].domain);
        a == b || !(self.partitioned.contains(&a) || self.partitioned.contains(&b))
    }

    fn deliver(&mut self, to: SocketAddr, from: SocketAddr, msg: RateMsg) {
        let Some(&n) = self.hosts_by_address.get(&to) else { return };
        if !self.is_running(n) {
            self.defer_until_resumed(n, Event::Deliver { to, from, msg });
            return;
        }
        let now = self.now;
        let host = &mut self.hosts[n];
        if let Decider::Homes(b) = &mut host.decider {
            b.handle_message(on_clock(now, host.clock_offset), from, &msg);
        }
        self.process_outbox(n);
    }
}

/// Length of a message as encoded by postcard, in bytes, without authentication data.
fn encoded_len(msg: &PeerMsg) -> u64 {
    postcard::to_allocvec(msg).map_or(0, |bytes| bytes.len() as u64)
}

/// Random time to the next arrival of a Poisson process, in microseconds.
pub fn poisson(rng: &mut impl Rng, per_second: f64) -> u64 {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    (-u.ln() / per_second * 1e6) as u64
}
