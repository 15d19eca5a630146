//! Long randomised runs of several hosts in one process: calls are lost, late and repeated, hosts
//! die and come back, pause, hold old views and swap seats, and callers send again elsewhere. No
//! id runs twice, and whoever is told "not run" has sent a request that had not run.
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
    traffic::{FlightKey, Origin, Outcome, Passed, PassedFrom, Step, Traffic},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};

use fleet::{Life, SECRET, UNIX, booking, uuid7};

const DOMAINS: usize = 2;
const HOSTS: usize = 4;
const REQUESTS: usize = 60;
/// Length of the part of a run in which new things happen, in milliseconds.
const SPAN: u64 = 30_000;
/// First millisecond of a run.
const BEGIN: u64 = 10_000;
const SEEDS: u64 = 150;

/// Who is told how a flight ended.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// The caller's try.
    Caller(usize),
    /// A host that has passed the request on, by one of its calls.
    Passer { host: usize, life: Incarnation, flight: FlightKey, call: u64 },
}

#[derive(Clone, Debug)]
enum Event {
    Try(usize),
    Arrive { to: usize, owner: Incarnation, request: usize, deadline: Duration, back: Target },
    Return { back: Target, passed: Passed },
    RunEnds { host: usize, life: Incarnation, flight: FlightKey, outcome: Outcome },
    Resume { host: usize, life: Incarnation, flight: FlightKey },
    Install(usize),
    Die(usize),
    Pause(usize, u64),
    SwapSeat(usize),
}

struct Host {
    life: Life,
    traffic: Traffic,
    skew: i64,
    paused_until: u64,
    /// The request of a flight, and who is told of its end.
    targets: HashMap<FlightKey, (usize, Target)>,
    /// Flights that wait to be resumed.
    parked: HashSet<FlightKey>,
    /// The call that a flight waits for.
    calls: HashMap<FlightKey, u64>,
    installed: u64,
}

struct Sent {
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
    seats: Vec<(Life, u64)>,
    revision: u64,
    requests: Vec<Sent>,
    tries: Vec<Try>,
    repeated: u32,
}

impl Sim {
    fn new(seed: u64) -> Sim {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let text = fleet::declaration_text(DOMAINS, 3);
        let declaration = Arc::new(declaration::parse(&text).expect("the declaration is valid"));
        let lives: Vec<_> = (0..HOSTS)
            .map(|number| Life {
                number,
                domain: number % DOMAINS,
                incarnation: Incarnation(rng.random()),
            })
            .collect();
        let seats: Vec<_> = lives[..DOMAINS].iter().map(|l| (*l, 1)).collect();
        let hosts = lives.iter().map(|life| {
            let skew = rng.random_range(-400..=400);
            let view = fleet::view(&declaration, *life, &lives, &seats, 1, 1);
            let traffic = fleet::traffic(view, Instant::ZERO, skew);
            Host {
                life: *life,
                traffic,
                skew,
                paused_until: 0,
                targets: HashMap::new(),
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
            repeated: 0,
        };
        sim.plan();
        sim
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    /// Draws the tries of the callers and the faults.
    fn plan(&mut self) {
        for host in 0..HOSTS {
            for time in (BEGIN..BEGIN + SPAN).step_by(500) {
                let time = time + self.rng.random_range(0..500);
                self.at(time, Event::Install(host));
            }
        }
        for _ in 0..8 {
            let time = BEGIN + self.rng.random_range(0..SPAN);
            let host = self.rng.random_range(0..HOSTS);
            let fault = match self.rng.random_range(0..3) {
                0 => Event::Die(host),
                1 => Event::Pause(host, self.rng.random_range(100..5000)),
                _ => Event::SwapSeat(host % DOMAINS),
            };
            self.at(time, fault);
        }
        for request in 0..REQUESTS {
            let mut time = BEGIN + self.rng.random_range(0..SPAN);
            self.requests.push(Sent { id: String::new(), runs: 0 });
            for n in 0..self.rng.random_range(1..5) {
                let host = self.rng.random_range(0..HOSTS);
                let first = n == 0;
                let answer = None;
                self.tries.push(Try { request, host, first, runs_when_sent: 0, answer });
                let number = self.tries.len() - 1;
                self.at(time, Event::Try(number));
                time += [1, 50, 700, 2500][self.rng.random_range(0..4)];
            }
        }
    }

    fn run(&mut self) {
        while let Some(((time, _), event)) = self.queue.pop_first() {
            self.now = time;
            let awaits = match &event {
                Event::Try(n) => Some(self.tries[*n].host),
                Event::Arrive { to: host, .. }
                | Event::Return { back: Target::Passer { host, .. }, .. }
                | Event::RunEnds { host, .. }
                | Event::Resume { host, .. }
                | Event::Install(host) => Some(*host),
                _ => None,
            };
            match awaits.map(|host| self.hosts[host].paused_until) {
                Some(until) if until > time => self.at(until, event),
                _ => self.happen(event),
            }
            self.check();
        }
    }

    fn happen(&mut self, event: Event) {
        let now = Instant::from_millis(self.now);
        match event {
            Event::Try(number) => self.send(number),
            Event::Arrive { to, owner, request, deadline, back } => {
                if owner != self.hosts[to].life.incarnation {
                    let passed = Passed::NotOwner;
                    return self.at(self.now + 1, Event::Return { back, passed });
                }
                let id = self.requests[request].id.clone();
                let key = Some(Sha256::digest("key").into());
                let from = PassedFrom { owner, key };
                let origin = Origin { first_try: false, passed: Some(from) };
                let mut req = booking(&id, "");
                req.deadline = Some(deadline);
                req.fingerprint = request as u64;
                let step = self.hosts[to].traffic.begin_from(now, &req, &origin);
                self.follow(to, request, back, step);
            }
            Event::Return { back, passed } => self.come_back(back, passed),
            Event::RunEnds { host, life, flight, outcome } => {
                if self.hosts[host].life.incarnation == life {
                    let step = {
                        let traffic = &mut self.hosts[host].traffic;
                        if matches!(outcome, Outcome::Answered(_)) {
                            traffic.keep(flight, &Arc::default());
                        }
                        traffic.finish(now, flight, outcome)
                    };
                    self.go_on(host, flight, step);
                }
            }
            Event::Resume { host, life, flight } => {
                // A flight that was woken before its time has gone on already.
                let same_life = self.hosts[host].life.incarnation == life;
                if same_life && self.hosts[host].parked.remove(&flight) {
                    let step = self.hosts[host].traffic.resume(now, flight);
                    self.go_on(host, flight, step);
                }
            }
            Event::Install(host) => self.install(host),
            Event::Die(host) => self.die(host),
            Event::Pause(host, millis) => self.hosts[host].paused_until = self.now + millis,
            Event::SwapSeat(domain) => {
                let holder = self.seats[domain].0.number;
                let next = (holder + DOMAINS) % HOSTS;
                self.revision += 1;
                self.seats[domain] = (self.hosts[next].life, self.revision);
            }
        }
    }

    /// A caller sends a try; its id is made when it sends the first one.
    fn send(&mut self, number: usize) {
        let (request, host, first) = {
            let t = &self.tries[number];
            (t.request, t.host, t.first)
        };
        if first {
            let skew = self.rng.random_range(-1500..1500);
            let unix = (UNIX + self.now).strict_add_signed(skew);
            let random = self.rng.random();
            let owner = self.rng.random_range(0..HOSTS);
            let owner = self.hosts[owner].life.incarnation;
            let issued = RequestId { owner, nonce: random, end: UNIX + self.now + 110_000 };
            let own = self.rng.random_bool(0.5);
            self.requests[request].id =
                if own { uuid7(unix, random) } else { issued.seal(&SECRET) };
        }
        self.tries[number].runs_when_sent = self.requests[request].runs;
        let id = self.requests[request].id.clone();
        let origin = Origin { first_try: first, passed: None };
        let now = Instant::from_millis(self.now);
        let mut req = booking(&id, "key");
        req.fingerprint = request as u64;
        let step = self.hosts[host].traffic.begin_from(now, &req, &origin);
        self.follow(host, request, Target::Caller(number), step);
    }

    fn go_on(&mut self, host: usize, flight: FlightKey, step: Step) {
        let Some((request, target)) = self.hosts[host].targets.remove(&flight) else { return };
        self.follow(host, request, target, step);
    }

    /// Carries out one step of a flight.
    fn follow(&mut self, host: usize, request: usize, target: Target, step: Step) {
        let life = self.hosts[host].life.incarnation;
        match step {
            Step::Send { flight, timeout, .. } => {
                self.hosts[host].targets.insert(flight, (request, target));
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
                let event = Event::RunEnds { host, life, flight, outcome };
                self.at(self.now + after, event);
            }
            Step::Park { flight, until } => {
                self.hosts[host].targets.insert(flight, (request, target));
                self.hosts[host].parked.insert(flight);
                let event = Event::Resume { host, life, flight };
                self.at(until.as_micros().div_ceil(1000).max(self.now), event);
            }
            Step::Pass { flight, owner, to, timeout, deadline, .. } => {
                self.hosts[host].targets.insert(flight, (request, target));
                self.sequence += 1;
                let call = self.sequence;
                self.hosts[host].calls.insert(flight, call);
                let back = Target::Passer { host, life, flight, call };
                let to = usize::from(to.port()) - 100;
                let millis = timeout.as_millis() as u64;
                let gives_up = Event::Return { back, passed: Passed::TimedOut };
                self.at(self.now + millis, gives_up);
                let delay = match self.rng.random_range(0..10) {
                    0 => {
                        return self
                            .at(self.now + 1, Event::Return { back, passed: Passed::NotReached });
                    }
                    1 => return,
                    2 => {
                        let lost = Event::Return { back, passed: Passed::Lost };
                        self.at(self.now + 2, lost);
                        self.rng.random_range(1..4000)
                    }
                    3 => self.rng.random_range(1..4000),
                    _ => self.rng.random_range(1..5),
                };
                let arrive = Event::Arrive { to, owner, request, deadline, back };
                self.at(self.now + delay, arrive);
            }
            Step::Repeat(answer) => {
                self.repeated += 1;
                self.end(target, Passed::Ended(Code::Done, Some(answer)));
            }
            Step::Reply(Code::Done) => {
                self.end(target, Passed::Ended(Code::Done, Some(Arc::default())));
            }
            Step::Reply(code) => self.end(target, Passed::Ended(code, None)),
        }
        let outbox = self.hosts[host].traffic.take_outbox();
        assert!(outbox.events.iter().all(|e| e.kind != Kind::InvariantBroken), "{outbox:?}");
        for flight in outbox.wakes {
            self.at(self.now, Event::Resume { host, life, flight });
        }
    }

    fn end(&mut self, target: Target, passed: Passed) {
        match (target, passed) {
            (Target::Caller(number), Passed::Ended(code, _)) => {
                self.tries[number].answer = Some(code);
            }
            (back, passed) => {
                let delay = if self.rng.random_bool(0.1) { 3000 } else { 1 };
                self.at(self.now + delay, Event::Return { back, passed });
            }
        }
    }

    fn come_back(&mut self, back: Target, passed: Passed) {
        let Target::Passer { host, life, flight, call } = back else { return };
        let waits = self.hosts[host].calls.get(&flight) == Some(&call);
        if self.hosts[host].life.incarnation != life || !waits {
            return;
        }
        self.hosts[host].calls.remove(&flight);
        let now = Instant::from_millis(self.now);
        let step = self.hosts[host].traffic.passed(now, flight, passed);
        self.go_on(host, flight, step);
    }

    /// A host learns the seats. A seat may be used once every host has learnt who holds it.
    fn install(&mut self, host: usize) {
        self.hosts[host].installed = self.revision;
        let known = self.hosts.iter().map(|h| h.installed).min().unwrap_or_default();
        let lives: Vec<_> = self.hosts.iter().map(|h| h.life).collect();
        let me = self.hosts[host].life;
        let mut view =
            fleet::view(&self.declaration, me, &lives, &self.seats, self.revision, known);
        let held = self.seats.iter().find(|(l, _)| l.incarnation == me.incarnation);
        view.seat = held.filter(|(_, since)| *since <= known).map(|_| 0);
        let now = Instant::from_millis(self.now);
        self.hosts[host].traffic.install(now, Arc::new(view));
        self.hosts[host].traffic.tick(now);
    }

    /// A host dies and comes back as a new life, which takes over the seat.
    fn die(&mut self, host: usize) {
        let old = self.hosts[host].life;
        let life = Life { incarnation: Incarnation(self.rng.random()), ..old };
        if let Some(seat) = self.seats.iter_mut().find(|(l, _)| l.incarnation == old.incarnation) {
            self.revision += 1;
            *seat = (life, self.revision);
        }
        let lives: Vec<_> = self.hosts.iter().map(|h| h.life).collect();
        let mut view = fleet::view(&self.declaration, life, &lives, &self.seats, self.revision, 0);
        view.seat = None;
        let now = Instant::from_millis(self.now);
        let skew = self.hosts[host].skew;
        self.hosts[host] = Host {
            life,
            traffic: fleet::traffic(view, now, skew),
            skew,
            paused_until: self.now,
            targets: HashMap::new(),
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

    /// Ids of which every try was answered with "not run" have not run.
    fn check_end(&self) {
        for (number, request) in self.requests.iter().enumerate() {
            let mut tries = self.tries.iter().filter(|t| t.request == number);
            let not_run = |t: &Try| t.answer.is_some_and(|c| c.execution() == Execution::NotRun);
            if tries.all(not_run) {
                assert_eq!(request.runs, 0, "'{}' ran, and all its tries did not", request.id);
            }
        }
    }
}

#[test]
fn no_id_runs_twice_and_not_run_is_true() {
    let seeds = std::env::var("ONCE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    let mut codes: BTreeMap<Code, u32> = BTreeMap::new();
    let (mut runs, mut repeated) = (0, 0);
    for seed in 0..seeds {
        println!("seed {seed}");
        let mut sim = Sim::new(seed);
        sim.run();
        sim.check_end();
        runs += sim.requests.iter().map(|r| r.runs).sum::<u32>();
        repeated += sim.repeated;
        for code in sim.tries.iter().filter_map(|t| t.answer) {
            *codes.entry(code).or_default() += 1;
        }
    }
    println!("{seeds} seeds: {runs} ids run, {repeated} answers repeated");
    for (code, count) in &codes {
        println!("{count:6} {code}");
    }
    assert!(runs > 0 && repeated > 0, "the runs are not empty");
    let seen = [Code::Done, Code::OwnerUnreachable, Code::EarlierTryUnknown, Code::OwnerGone];
    assert!(seen.iter().all(|c| codes.contains_key(c)), "each kind of end is seen: {codes:?}");
}
