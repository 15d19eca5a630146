//! Randomised simulation of several hosts with faults: calls are lost, delayed and repeated, hosts
//! restart, pause, use outdated views and swap seats, and callers resend to other hosts. No id may
//! run twice, and no try may be answered with "not run" if its id had run before.
//!
//! `ONCE_SEEDS=2000 cargo test --release -p jasminestage-core --test once_random` runs longer.

mod fleet;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    declaration,
    event::Kind,
    host::Incarnation,
    once::RequestId,
    result::{Code, Execution},
    time::Instant,
    traffic::{FlightKey, ForwardOutcome, ForwardedBy, Origin, Outcome, Step, Traffic},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};

use fleet::{HostSpec, SECRET, START_UNIX_MS, booking, uuid7};

const DOMAINS: usize = 2;
const HOSTS: usize = 4;
const REQUESTS: usize = 60;
/// Length of the part of a run in which tries and faults occur, in milliseconds.
const ACTIVE_MS: u64 = 30_000;
/// Start of that part, in milliseconds.
const START_MS: u64 = 10_000;
const DEFAULT_SEEDS: u64 = 150;

/// Receiver of the result of a flight.
#[derive(Clone, Copy, Debug)]
enum ReplyTo {
    /// The caller's try.
    Caller(usize),
    /// A call of a host that has forwarded the request.
    ForwardingHost { host: usize, incarnation: Incarnation, flight: FlightKey, call: u64 },
}

#[derive(Clone, Debug)]
enum Event {
    Try(usize),
    Arrive { to: usize, owner: Incarnation, request: usize, deadline: Duration, reply_to: ReplyTo },
    CallEnded { reply_to: ReplyTo, outcome: ForwardOutcome },
    RunEnds { host: usize, incarnation: Incarnation, flight: FlightKey, outcome: Outcome },
    Resume { host: usize, incarnation: Incarnation, flight: FlightKey },
    Install(usize),
    Restart(usize),
    Pause(usize, u64),
    SwapSeat(usize),
}

struct Host {
    spec: HostSpec,
    traffic: Traffic,
    skew: i64,
    paused_until: u64,
    /// The request of each flight, and the receiver of its result.
    requesters: HashMap<FlightKey, (usize, ReplyTo)>,
    /// Flights that are parked until they are resumed.
    parked: HashSet<FlightKey>,
    /// The pending call of each flight.
    calls: HashMap<FlightKey, u64>,
    installed: u64,
}

struct TrackedRequest {
    id: String,
    runs: u32,
}

struct Try {
    request: usize,
    host: usize,
    first: bool,
    runs_when_sent: u32,
    answer: Option<Code>,
}

struct Sim {
    rng: ChaCha8Rng,
    declaration: Arc<declaration::Declaration>,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Event>,
    hosts: Vec<Host>,
    /// Holder of the seat of each failure domain, and its revision.
    seats: Vec<(HostSpec, u64)>,
    revision: u64,
    requests: Vec<TrackedRequest>,
    tries: Vec<Try>,
    replayed: u32,
}

impl Sim {
    fn new(seed: u64) -> Sim {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let text = fleet::declaration_text(DOMAINS, 3);
        let declaration = Arc::new(declaration::parse(&text).expect("the declaration is valid"));
        let specs: Vec<_> = (0..HOSTS)
            .map(|number| HostSpec {
                number,
                domain: number % DOMAINS,
                incarnation: Incarnation(rng.random()),
            })
            .collect();
        let seats: Vec<_> = specs[..DOMAINS].iter().map(|spec| (*spec, 1)).collect();
        let hosts = specs.iter().map(|spec| {
            let skew = rng.random_range(-400..=400);
            let view = fleet::view(&declaration, *spec, &specs, &seats, 1, 1);
            let traffic = fleet::traffic(view, Instant::ZERO, skew);
            Host {
                spec: *spec,
                traffic,
                skew,
                paused_until: 0,
                requesters: HashMap::new(),
                parked: HashSet::new(),
                calls: HashMap::new(),
                installed: 0,
            }
        });
        let hosts = hosts.collect();
        let mut sim = Sim {
            rng,
            declaration,
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            hosts,
            seats,
            revision: 1,
            requests: Vec::new(),
            tries: Vec::new(),
            replayed: 0,
        };
        sim.plan();
        sim
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    /// Schedules the tries of the callers and the faults at random times.
    fn plan(&mut self) {
        for host in 0..HOSTS {
            for time in (START_MS..START_MS + ACTIVE_MS).step_by(500) {
                let time = time + self.rng.random_range(0..500);
                self.schedule(time, Event::Install(host));
            }
        }
        for _ in 0..8 {
            let time = START_MS + self.rng.random_range(0..ACTIVE_MS);
            let host = self.rng.random_range(0..HOSTS);
            let fault = match self.rng.random_range(0..3) {
                0 => Event::Restart(host),
                1 => Event::Pause(host, self.rng.random_range(100..5000)),
                _ => Event::SwapSeat(host % DOMAINS),
            };
            self.schedule(time, fault);
        }
        for request in 0..REQUESTS {
            let mut time = START_MS + self.rng.random_range(0..ACTIVE_MS);
            self.requests.push(TrackedRequest { id: String::new(), runs: 0 });
            for n in 0..self.rng.random_range(1..5) {
                let host = self.rng.random_range(0..HOSTS);
                let first = n == 0;
                let answer = None;
                self.tries.push(Try { request, host, first, runs_when_sent: 0, answer });
                let number = self.tries.len() - 1;
                self.schedule(time, Event::Try(number));
                time += [1, 50, 700, 2500][self.rng.random_range(0..4)];
            }
        }
    }

    fn run(&mut self) {
        while let Some(((time, _), event)) = self.queue.pop_first() {
            self.now = time;
            let receiver = match &event {
                Event::Try(n) => Some(self.tries[*n].host),
                Event::Arrive { to: host, .. }
                | Event::CallEnded { reply_to: ReplyTo::ForwardingHost { host, .. }, .. }
                | Event::RunEnds { host, .. }
                | Event::Resume { host, .. }
                | Event::Install(host) => Some(*host),
                _ => None,
            };
            match receiver.map(|host| self.hosts[host].paused_until) {
                Some(until) if until > time => self.schedule(until, event),
                _ => self.handle_event(event),
            }
            self.check();
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = Instant::from_millis(self.now);
        match event {
            Event::Try(number) => self.send(number),
            Event::Arrive { to, owner, request, deadline, reply_to } => {
                if owner != self.hosts[to].spec.incarnation {
                    let outcome = ForwardOutcome::NotOwner;
                    return self.schedule(self.now + 1, Event::CallEnded { reply_to, outcome });
                }
                let id = self.requests[request].id.clone();
                let key = Some(Sha256::digest("key").into());
                let from = ForwardedBy { owner, key };
                let origin = Origin { first_try: false, forwarded_by: Some(from) };
                let mut req = booking(&id, "");
                req.deadline = Some(deadline);
                req.fingerprint = request as u64;
                let step = self.hosts[to].traffic.begin_from(now, &req, &origin);
                self.perform_step(to, request, reply_to, step);
            }
            Event::CallEnded { reply_to, outcome } => self.handle_reply(reply_to, outcome),
            Event::RunEnds { host, incarnation, flight, outcome } => {
                if self.hosts[host].spec.incarnation == incarnation {
                    let step = {
                        let traffic = &mut self.hosts[host].traffic;
                        if matches!(outcome, Outcome::Answered(_)) {
                            traffic.store_answer(flight, &Arc::default());
                        }
                        traffic.finish(now, flight, outcome)
                    };
                    self.continue_flight(host, flight, step);
                }
            }
            Event::Resume { host, incarnation, flight } => {
                // A flight that was woken before its timer has been resumed already.
                let is_same_incarnation = self.hosts[host].spec.incarnation == incarnation;
                if is_same_incarnation && self.hosts[host].parked.remove(&flight) {
                    let step = self.hosts[host].traffic.resume(now, flight);
                    self.continue_flight(host, flight, step);
                }
            }
            Event::Install(host) => self.install(host),
            Event::Restart(host) => self.restart(host),
            Event::Pause(host, millis) => self.hosts[host].paused_until = self.now + millis,
            Event::SwapSeat(domain) => {
                let holder = self.seats[domain].0.number;
                let next = (holder + DOMAINS) % HOSTS;
                self.revision += 1;
                self.seats[domain] = (self.hosts[next].spec, self.revision);
            }
        }
    }

    /// A caller sends a try; the first try creates the id.
    fn send(&mut self, number: usize) {
        let (request, host, first) = {
            let t = &self.tries[number];
            (t.request, t.host, t.first)
        };
        if first {
            let skew = self.rng.random_range(-1500..1500);
            let unix = (START_UNIX_MS + self.now).strict_add_signed(skew);
            let random = self.rng.random();
            let owner = self.rng.random_range(0..HOSTS);
            let owner = self.hosts[owner].spec.incarnation;
            let issued =
                RequestId { owner, nonce: random, expires_at: START_UNIX_MS + self.now + 110_000 };
            let own = self.rng.random_bool(0.5);
            self.requests[request].id =
                if own { uuid7(unix, random) } else { issued.sign(&SECRET) };
        }
        self.tries[number].runs_when_sent = self.requests[request].runs;
        let id = self.requests[request].id.clone();
        let origin = Origin { first_try: first, forwarded_by: None };
        let now = Instant::from_millis(self.now);
        let mut req = booking(&id, "key");
        req.fingerprint = request as u64;
        let step = self.hosts[host].traffic.begin_from(now, &req, &origin);
        self.perform_step(host, request, ReplyTo::Caller(number), step);
    }

    fn continue_flight(&mut self, host: usize, flight: FlightKey, step: Step) {
        let Some((request, requester)) = self.hosts[host].requesters.remove(&flight) else {
            return;
        };
        self.perform_step(host, request, requester, step);
    }

    /// Performs one step of a flight.
    fn perform_step(&mut self, host: usize, request: usize, requester: ReplyTo, step: Step) {
        let incarnation = self.hosts[host].spec.incarnation;
        match step {
            Step::Send { flight, timeout, .. } => {
                self.hosts[host].requesters.insert(flight, (request, requester));
                let millis = timeout.as_millis() as u64;
                let (after, outcome) = match self.rng.random_range(0..10) {
                    0 => (1, Outcome::ConnectFailed),
                    1 => (self.rng.random_range(1..50), Outcome::ConnectionLost),
                    2 => (millis, Outcome::TimedOut),
                    3 => (self.rng.random_range(1..50), Outcome::BadAnswer),
                    _ => (self.rng.random_range(1..500).min(millis), Outcome::Answered(200)),
                };
                if outcome != Outcome::ConnectFailed {
                    self.requests[request].runs += 1;
                }
                let event = Event::RunEnds { host, incarnation, flight, outcome };
                self.schedule(self.now + after, event);
            }
            Step::Park { flight, until } => {
                self.hosts[host].requesters.insert(flight, (request, requester));
                self.hosts[host].parked.insert(flight);
                let event = Event::Resume { host, incarnation, flight };
                self.schedule(until.as_micros().div_ceil(1000).max(self.now), event);
            }
            Step::Forward { flight, owner, to, timeout, deadline, .. } => {
                self.hosts[host].requesters.insert(flight, (request, requester));
                self.sequence += 1;
                let call = self.sequence;
                self.hosts[host].calls.insert(flight, call);
                let reply_to = ReplyTo::ForwardingHost { host, incarnation, flight, call };
                let to = usize::from(to.port()) - 100;
                let millis = timeout.as_millis() as u64;
                let call_timeout = Event::CallEnded { reply_to, outcome: ForwardOutcome::TimedOut };
                self.schedule(self.now + millis, call_timeout);
                let delay = match self.rng.random_range(0..10) {
                    0 => {
                        return self.schedule(
                            self.now + 1,
                            Event::CallEnded { reply_to, outcome: ForwardOutcome::NotReached },
                        );
                    }
                    1 => return,
                    2 => {
                        let lost_call =
                            Event::CallEnded { reply_to, outcome: ForwardOutcome::Lost };
                        self.schedule(self.now + 2, lost_call);
                        self.rng.random_range(1..4000)
                    }
                    3 => self.rng.random_range(1..4000),
                    _ => self.rng.random_range(1..5),
                };
                let arrive = Event::Arrive { to, owner, request, deadline, reply_to };
                self.schedule(self.now + delay, arrive);
            }
            Step::ReplayAnswer(answer) => {
                self.replayed += 1;
                self.end(requester, ForwardOutcome::Ended(Code::Done, Some(answer)));
            }
            Step::Reply(Code::Done) => {
                self.end(requester, ForwardOutcome::Ended(Code::Done, Some(Arc::default())));
            }
            Step::Reply(code) => self.end(requester, ForwardOutcome::Ended(code, None)),
        }
        let outbox = self.hosts[host].traffic.take_outbox();
        assert!(outbox.events.iter().all(|e| e.kind != Kind::InvariantBroken), "{outbox:?}");
        for flight in outbox.wakes {
            self.schedule(self.now, Event::Resume { host, incarnation, flight });
        }
    }

    fn end(&mut self, requester: ReplyTo, outcome: ForwardOutcome) {
        match (requester, outcome) {
            (ReplyTo::Caller(number), ForwardOutcome::Ended(code, _)) => {
                self.tries[number].answer = Some(code);
            }
            (reply_to, outcome) => {
                let delay = if self.rng.random_bool(0.1) { 3000 } else { 1 };
                self.schedule(self.now + delay, Event::CallEnded { reply_to, outcome });
            }
        }
    }

    fn handle_reply(&mut self, reply_to: ReplyTo, outcome: ForwardOutcome) {
        let ReplyTo::ForwardingHost { host, incarnation, flight, call } = reply_to else { return };
        let is_pending = self.hosts[host].calls.get(&flight) == Some(&call);
        if self.hosts[host].spec.incarnation != incarnation || !is_pending {
            return;
        }
        self.hosts[host].calls.remove(&flight);
        let now = Instant::from_millis(self.now);
        let step = self.hosts[host].traffic.finish_forward(now, flight, outcome);
        self.continue_flight(host, flight, step);
    }

    /// A host installs the current seats. A seat may be used once every host has installed its holder.
    fn install(&mut self, host: usize) {
        self.hosts[host].installed = self.revision;
        let oldest_installed = self.hosts.iter().map(|h| h.installed).min().unwrap_or_default();
        let specs: Vec<_> = self.hosts.iter().map(|h| h.spec).collect();
        let me = self.hosts[host].spec;
        let mut view = fleet::view(
            &self.declaration,
            me,
            &specs,
            &self.seats,
            self.revision,
            oldest_installed,
        );
        let held = self.seats.iter().find(|(holder, _)| holder.incarnation == me.incarnation);
        view.seat = held.filter(|(_, since)| *since <= oldest_installed).map(|_| 0);
        let now = Instant::from_millis(self.now);
        self.hosts[host].traffic.install(now, Arc::new(view));
        self.hosts[host].traffic.tick(now);
    }

    /// A host restarts with a new incarnation, which takes over its seat.
    fn restart(&mut self, host: usize) {
        let old = self.hosts[host].spec;
        let spec = HostSpec { incarnation: Incarnation(self.rng.random()), ..old };
        if let Some(seat) =
            self.seats.iter_mut().find(|(holder, _)| holder.incarnation == old.incarnation)
        {
            self.revision += 1;
            *seat = (spec, self.revision);
        }
        let specs: Vec<_> = self.hosts.iter().map(|h| h.spec).collect();
        let mut view = fleet::view(&self.declaration, spec, &specs, &self.seats, self.revision, 0);
        view.seat = None;
        let now = Instant::from_millis(self.now);
        let skew = self.hosts[host].skew;
        self.hosts[host] = Host {
            spec,
            traffic: fleet::traffic(view, now, skew),
            skew,
            paused_until: self.now,
            requesters: HashMap::new(),
            parked: HashSet::new(),
            calls: HashMap::new(),
            installed: self.revision,
        };
    }

    fn check(&self) {
        for request in &self.requests {
            assert!(request.runs <= 1, "'{}' has run {} times", request.id, request.runs);
        }
        for t in &self.tries {
            let request = &self.requests[t.request];
            if let Some(code) = t.answer
                && code.execution() == Execution::NotRun
            {
                assert_eq!(t.runs_when_sent, 0, "'{}' had run: {code}", request.id);
            }
        }
    }

    /// An id whose tries were all answered with "not run" must not have run.
    fn check_end(&self) {
        for (number, request) in self.requests.iter().enumerate() {
            let mut tries = self.tries.iter().filter(|t| t.request == number);
            let not_run = |t: &Try| t.answer.is_some_and(|c| c.execution() == Execution::NotRun);
            if tries.all(not_run) {
                assert_eq!(
                    request.runs, 0,
                    "'{}' ran, but all its tries were answered with not run",
                    request.id
                );
            }
        }
    }
}

#[test]
fn no_id_runs_twice_and_not_run_answers_are_correct() {
    let seeds =
        std::env::var("ONCE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    let mut codes: BTreeMap<Code, u32> = BTreeMap::new();
    let (mut runs, mut replayed) = (0, 0);
    for seed in 0..seeds {
        println!("seed {seed}");
        let mut sim = Sim::new(seed);
        sim.run();
        sim.check_end();
        runs += sim.requests.iter().map(|r| r.runs).sum::<u32>();
        replayed += sim.replayed;
        for code in sim.tries.iter().filter_map(|t| t.answer) {
            *codes.entry(code).or_default() += 1;
        }
    }
    println!("{seeds} seeds: {runs} ids run, {replayed} answers replayed");
    for (code, count) in &codes {
        println!("{count:6} {code}");
    }
    assert!(runs > 0 && replayed > 0, "some ids ran and some answers were replayed");
    let seen = [Code::Done, Code::OwnerUnreachable, Code::EarlierTryUnknown, Code::OwnerGone];
    assert!(seen.iter().all(|c| codes.contains_key(c)), "each expected code occurs: {codes:?}");
}
