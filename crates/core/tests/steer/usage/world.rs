//! Hosts with the duty's state machine, a store, the platform and the network between them, in virtual
//! time. The platform checks the four rules at every call that arrives, with no exemption.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    fmt::Write,
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    host::Incarnation,
    steer::{
        position::StorePosition,
        usage::{
            Counts, WindowId,
            clock::{WindowClock, end_of},
            copies::UsageCopies,
            duty::{
                Action, CallOutcome, Collected, Duty, DutyConfig, DutyItem, Notice, Record,
                Renewal, Reply,
            },
        },
    },
    time::Instant,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{UNIX_MS, WINDOW};

const STORE_TIMEOUT_MS: u64 = 1200;
const TICK_MS: u64 = 50;
const DUTY_KEY: &str = "duty";
/// Largest time that a message is on its way.
const MAX_DELAY_MS: u64 = 30;
/// Largest time that the bytes of a call are on their way after they were sent.
const MAX_CALL_DELAY_MS: u64 = 400;
/// Largest time after which a request whose response was lost is executed by the store.
const MAX_LATE_MS: u64 = 5000;
/// Largest age of the state that a stale read returns.
const MAX_STALENESS_MS: u64 = 2000;
const LEASE_MS: u64 = 3000;

/// A failure; durations are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillHolder,
    KillAll,
    Kill(usize),
    SuspendHolder(u64),
    Suspend(usize, u64),
    CutHolderFromStore(u64),
    CutFromStore(usize, u64),
    CutHolderFromPlatform(u64),
    StoreDown(u64),
    /// Responses to writes are lost, and some writes are executed seconds later.
    LoseWriteReplies(u64),
    LoseCallReplies(u64),
    LimitCalls(u64),
    PlatformDown(u64),
    StepClockOfHolder(i64, u64),
    StepClock(usize, i64, u64),
    CopyStore,
    RestoreStore,
    /// Another program requests a lease and keeps it.
    GrantOtherLease,
}

#[derive(Clone, Debug, PartialEq)]
enum Value {
    Duty { holder: Incarnation, era: u64 },
    Record { era: u64, report: Arc<[u8]> },
}

#[derive(Clone, Debug)]
struct Stored {
    value: Value,
    revision: u64,
    lease: u64,
}

#[derive(Clone, Debug, Default)]
struct Contents {
    items: BTreeMap<String, Stored>,
    revision: u64,
    /// Expiry of each lease.
    leases: BTreeMap<u64, u64>,
    lease_count: u64,
    others: BTreeSet<u64>,
}

#[derive(Default)]
struct Store {
    contents: Contents,
    era: u64,
    copy: Option<(u64, Contents)>,
    /// State that stale reads return, and when it was taken.
    stale: (u64, BTreeMap<String, Stored>),
}

/// One request to the store.
#[derive(Clone, Debug)]
enum Request {
    Get { key: String, allows_stale: bool },
    Range,
    Grant,
    Keep(u64),
    Write { key: String, revision: u64, value: Value, lease: u64 },
    RemoveIf { key: String, revision: u64 },
    Remove(Vec<String>),
}

impl Request {
    fn is_write(&self) -> bool {
        !matches!(self, Request::Get { .. } | Request::Range)
    }
}

#[derive(Clone, Debug)]
enum Response {
    Item(Option<(Value, u64, u64)>),
    Items(Vec<(String, Value)>),
    Lease(u64),
    Done,
    Refused,
}

/// An action of a host that waits for a response of the store.
#[derive(Clone, Debug)]
struct Operation {
    host: usize,
    life: u32,
    action: Action,
    sent_at: Instant,
    /// Lease that was granted or renewed in the first step.
    lease: Option<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize, u32),
    Fault(Fault),
    Execute(u64, Request),
    /// A write whose response was lost, executed late.
    ExecuteLate(Request),
    Reply(u64, u64, Response),
    Timeout(u64),
    Collect {
        host: usize,
        life: u32,
        window: WindowId,
        era: u64,
        began_ms: u64,
    },
    /// The request of a call is written if the host may still do so.
    Send {
        host: usize,
        life: u32,
        call: Call,
    },
    Arrive {
        host: usize,
        life: u32,
        call: Call,
    },
    Called {
        host: usize,
        life: u32,
        call: Call,
        outcome: CallOutcome,
    },
    StepBack(usize, i64),
    Start(usize),
}

#[derive(Clone, Debug)]
struct Call {
    window: WindowId,
    report: Arc<[u8]>,
    token: u64,
    until: Instant,
    id: u64,
}

struct Host {
    life: u32,
    is_alive: bool,
    suspended_until: u64,
    cut_from_store_until: u64,
    cut_from_platform_until: u64,
    clock_error_ms: i64,
    clock: WindowClock,
    duty: Duty,
    open_call: Option<u64>,
    /// What the process remembers of queries for counts.
    copies: UsageCopies,
}

struct Received {
    at_ms: u64,
    host: usize,
    token: u64,
    window: WindowId,
    is_accepted: bool,
}

pub struct World {
    pub violations: Vec<String>,
    rng: ChaCha8Rng,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    event_count: u64,
    operations: HashMap<u64, Operation>,
    operation_count: u64,
    store: Store,
    store_down_until: u64,
    lose_writes_until: u64,
    lose_calls_until: u64,
    limit_until: u64,
    platform_down_until: u64,
    hosts: Vec<Host>,
    received: Vec<Received>,
    /// First report of each window, whether it was accepted or not.
    reports: HashMap<WindowId, Arc<[u8]>>,
    /// Host that used each token first.
    token_hosts: BTreeMap<u64, usize>,
    lines: Vec<String>,
}

impl World {
    pub fn new(seed: u64, hosts: usize) -> World {
        let mut world = World {
            violations: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            event_count: 0,
            operations: HashMap::new(),
            operation_count: 0,
            store: Store { era: 1, ..Store::default() },
            store_down_until: 0,
            lose_writes_until: 0,
            lose_calls_until: 0,
            limit_until: 0,
            platform_down_until: 0,
            hosts: Vec::new(),
            received: Vec::new(),
            reports: HashMap::new(),
            token_hosts: BTreeMap::new(),
            lines: Vec::new(),
        };
        for host in 0..hosts {
            let duty = Duty::new(DutyConfig::default(), Incarnation(host as u64 + 1));
            world.hosts.push(Host {
                life: 0,
                is_alive: false,
                suspended_until: 0,
                cut_from_store_until: 0,
                cut_from_platform_until: 0,
                clock_error_ms: 0,
                clock: WindowClock::new(WINDOW),
                duty,
                open_call: None,
                copies: UsageCopies::default(),
            });
            world.push(host as u64 * 7, Event::Start(host));
        }
        world
    }

    pub fn schedule(&mut self, at_ms: u64, fault: Fault) {
        self.push(at_ms, Event::Fault(fault));
    }

    /// Schedules failures of all kinds, several of which come close together.
    pub fn schedule_random_faults(&mut self, until_ms: u64) {
        let (mut at_ms, mut wrong_clock, mut wrong_until) = (0, 0, 0);
        while at_ms < until_ms {
            at_ms += [50, 400, 3000, 12_000][self.rng.random_range(0..4)];
            let host = self.rng.random_range(0..self.hosts.len());
            let length = [200, 1500, 3500, 9000][self.rng.random_range(0..4)];
            let step = self.rng.random_range(-90_000..90_000);
            let fault = match self.rng.random_range(0..30) {
                0 => Fault::KillHolder,
                1 => Fault::Kill(host),
                2 | 3 => Fault::SuspendHolder(length),
                4 => Fault::Suspend(host, length),
                5 => Fault::CutHolderFromStore(length),
                6 => Fault::CutFromStore(host, length),
                7 => Fault::CutHolderFromPlatform(length),
                8 => Fault::StoreDown(length / 2),
                9 | 10 => Fault::LoseWriteReplies(length),
                11 => Fault::LoseCallReplies(length),
                // Refused calls are repeated at once, so that calls of several holders come close together.
                12 | 19..=21 => Fault::LimitCalls(length * 3),
                13 => Fault::PlatformDown(length / 2),
                // One clock at a time is wrong, also by the time after the step in which it may be adopted.
                14 | 15 if host == wrong_clock || at_ms > wrong_until => {
                    let length = [10_000, 20_000, 45_000][self.rng.random_range(0..3)];
                    wrong_clock = host;
                    wrong_until = wrong_until.max(at_ms + length + 40_000);
                    let divisor = [1, 10, 40][self.rng.random_range(0..3)];
                    Fault::StepClock(host, step / divisor, length)
                }
                16 | 22..=24 => {
                    let lost_ms = self.rng.random_range(200..8000);
                    self.push(at_ms + lost_ms, Event::Fault(Fault::RestoreStore));
                    if self.rng.random_bool(0.5) {
                        let later_ms = lost_ms + self.rng.random_range(0..2000);
                        self.push(at_ms + later_ms, Event::Fault(Fault::KillHolder));
                    }
                    Fault::CopyStore
                }
                17 => Fault::RestoreStore,
                // The holder goes on calling and does not learn of one or two restores.
                25..=28 => {
                    let cut_ms = [1000, 4000, 9000][self.rng.random_range(0..3)];
                    self.push(at_ms + 10, Event::Fault(Fault::CutHolderFromStore(cut_ms)));
                    let mut restore_ms = at_ms + 20;
                    for _ in 0..self.rng.random_range(0..3) {
                        self.push(restore_ms, Event::Fault(Fault::RestoreStore));
                        restore_ms += self.rng.random_range(100..8000);
                    }
                    Fault::LimitCalls(25_000)
                }
                _ => Fault::GrantOtherLease,
            };
            self.push(at_ms, Event::Fault(fault));
        }
    }

    pub fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((at_ms, id))) = self.queue.pop() {
            if at_ms > until_ms {
                return;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
    }

    pub fn log(&self) -> String {
        self.lines.join("\n")
    }

    /// Windows that end in this time and whose report was not accepted in time.
    pub fn missing_windows(&self, from_ms: u64, until_ms: u64) -> Vec<WindowId> {
        let window_ms = WINDOW.as_millis() as u64;
        let windows = (UNIX_MS + from_ms) / window_ms..(UNIX_MS + until_ms) / window_ms;
        let is_reported = |window: &WindowId| {
            let due_ms = end_of(*window, WINDOW) + 10_000 - UNIX_MS;
            self.received.iter().any(|r| r.is_accepted && r.window == *window && r.at_ms <= due_ms)
        };
        windows.filter(|window| !is_reported(window)).collect()
    }

    pub fn accepted_windows(&self) -> usize {
        let accepted = self.received.iter().filter(|r| r.is_accepted);
        accepted.map(|r| r.window).collect::<BTreeSet<_>>().len()
    }

    pub fn holder_changes(&self) -> usize {
        self.received.windows(2).filter(|w| w[0].token != w[1].token).count()
    }

    fn note(&mut self, text: std::fmt::Arguments<'_>) {
        let mut line = String::new();
        write!(line, "{:7} {text}", self.now_ms).expect("text can be written to a string");
        self.lines.push(line);
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue.push(Reverse((at_ms, self.event_count)));
    }

    fn push_after(&mut self, delay_ms: u64, event: Event) {
        self.push(self.now_ms + delay_ms, event);
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..MAX_DELAY_MS)
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn unix_of(&self, host: usize) -> u64 {
        self.hosts[host].clock.unix_at(self.now()).expect("the host has started")
    }

    fn holder(&self) -> Option<usize> {
        self.hosts.iter().position(|h| h.is_alive && h.duty.is_held())
    }

    /// Whether a host can handle an event now; if it is suspended, the event is repeated when it
    /// resumes.
    fn is_running(&mut self, host: usize, life: u32, event: &Event) -> bool {
        let state = &self.hosts[host];
        if !state.is_alive || state.life != life {
            return false;
        }
        if state.suspended_until > self.now_ms {
            let resumed_at = state.suspended_until;
            self.push(resumed_at, event.clone());
            return false;
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event.clone() {
            Event::Start(host) => {
                let life = self.hosts[host].life + 1;
                let incarnation = Incarnation(u64::from(life) * 100 + host as u64);
                let error_ms = self.hosts[host].clock_error_ms;
                let state = &mut self.hosts[host];
                state.life = life;
                state.is_alive = true;
                state.open_call = None;
                state.copies = UsageCopies::default();
                state.clock = WindowClock::new(WINDOW);
                state.duty = Duty::new(DutyConfig::default(), incarnation);
                let unix_ms = (UNIX_MS + self.now_ms).saturating_add_signed(error_ms);
                state.clock.observe(Instant::from_millis(self.now_ms), unix_ms);
                self.push_after(1, Event::Tick(host, life));
            }
            Event::Tick(host, life) => {
                if self.is_running(host, life, &event) {
                    self.tick(host);
                    self.push_after(TICK_MS, Event::Tick(host, life));
                }
            }
            Event::Fault(fault) => self.inject(fault),
            Event::Execute(id, request) => self.execute_operation(id, request),
            Event::ExecuteLate(request) => {
                if self.now_ms >= self.store_down_until {
                    self.store.execute(self.now_ms, &request);
                }
            }
            Event::Reply(id, era, response) => {
                let Some((host, life)) = self.operations.get(&id).map(|o| (o.host, o.life)) else {
                    return;
                };
                if self.is_running(host, life, &event) {
                    self.finish(id, Some((era, response)));
                }
            }
            Event::Timeout(id) => {
                let Some((host, life)) = self.operations.get(&id).map(|o| (o.host, o.life)) else {
                    return;
                };
                if self.is_running(host, life, &event) {
                    self.finish(id, None);
                }
            }
            Event::Collect { host, life, window, era, began_ms } => {
                if self.is_running(host, life, &event) {
                    self.collected(host, window, era, began_ms);
                }
            }
            Event::Send { host, life, call } => {
                if self.is_running(host, life, &event) && self.now() < call.until {
                    let is_late = self.rng.random_bool(0.1);
                    let delay = if is_late { MAX_CALL_DELAY_MS } else { self.delay() };
                    self.push_after(delay, Event::Arrive { host, life, call });
                }
            }
            Event::Arrive { host, life, call } => self.arrive(host, life, call),
            Event::Called { host, life, call, outcome } => {
                if self.is_running(host, life, &event)
                    && self.hosts[host].open_call == Some(call.id)
                {
                    let jitter = self.rng.random();
                    let now = self.now();
                    let state = &mut self.hosts[host];
                    state.open_call = None;
                    state.duty.called(now, call.window, call.token, outcome, jitter);
                }
            }
            Event::StepBack(host, step_ms) => self.hosts[host].clock_error_ms -= step_ms,
        }
    }

    fn inject(&mut self, fault: Fault) {
        self.note(format_args!("{fault:?}, holder {:?}", self.holder()));
        let (now_ms, holder) = (self.now_ms, self.holder());
        match fault {
            Fault::KillHolder => holder.into_iter().for_each(|host| self.kill(host)),
            Fault::KillAll => (0..self.hosts.len()).for_each(|host| self.kill(host)),
            Fault::Kill(host) => self.kill(host),
            Fault::SuspendHolder(ms) => {
                if let Some(host) = holder {
                    self.hosts[host].suspended_until = now_ms + ms;
                }
            }
            Fault::Suspend(host, ms) => self.hosts[host].suspended_until = now_ms + ms,
            Fault::CutHolderFromStore(ms) => {
                if let Some(host) = holder {
                    self.hosts[host].cut_from_store_until = now_ms + ms;
                }
            }
            Fault::CutFromStore(host, ms) => self.hosts[host].cut_from_store_until = now_ms + ms,
            Fault::CutHolderFromPlatform(ms) => {
                if let Some(host) = holder {
                    self.hosts[host].cut_from_platform_until = now_ms + ms;
                }
            }
            Fault::StoreDown(ms) => self.store_down_until = now_ms + ms,
            Fault::LoseWriteReplies(ms) => self.lose_writes_until = now_ms + ms,
            Fault::LoseCallReplies(ms) => self.lose_calls_until = now_ms + ms,
            Fault::LimitCalls(ms) => self.limit_until = now_ms + ms,
            Fault::PlatformDown(ms) => self.platform_down_until = now_ms + ms,
            Fault::StepClockOfHolder(step_ms, ms) => {
                if let Some(host) = holder {
                    self.inject(Fault::StepClock(host, step_ms, ms));
                }
            }
            Fault::StepClock(host, step_ms, ms) => {
                self.hosts[host].clock_error_ms += step_ms;
                self.push_after(ms, Event::StepBack(host, step_ms));
            }
            Fault::CopyStore => {
                self.store.copy = Some((now_ms, self.store.contents.clone()));
            }
            Fault::RestoreStore => self.store.restore(now_ms),
            Fault::GrantOtherLease => {
                if now_ms >= self.store_down_until {
                    let contents = &mut self.store.contents;
                    let lease = contents.grant(now_ms);
                    contents.others.insert(lease);
                }
            }
        }
    }

    fn kill(&mut self, host: usize) {
        if self.hosts[host].is_alive {
            self.hosts[host].is_alive = false;
            let delay = self.rng.random_range(100..3000);
            self.push_after(delay, Event::Start(host));
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.now();
        let error_ms = self.hosts[host].clock_error_ms;
        let system_ms = (UNIX_MS + self.now_ms).saturating_add_signed(error_ms);
        self.hosts[host].clock.observe(now, system_ms);
        let unix_ms = self.unix_of(host);
        // Three of the hosts try to get the duty.
        let is_candidate = host < 3;
        let actions = self.hosts[host].duty.actions(now, unix_ms, is_candidate, false);
        for action in actions {
            self.begin(host, action);
        }
        for notice in self.hosts[host].duty.take_notices() {
            if !matches!(notice, Notice::CallFailed { .. }) {
                self.note(format_args!("host {host}: {notice:?}"));
            }
        }
    }

    fn begin(&mut self, host: usize, action: Action) {
        let life = self.hosts[host].life;
        match action {
            Action::Collect { window, era, .. } => {
                let delay = self.rng.random_range(5..700);
                let began_ms = self.now_ms;
                self.push_after(delay, Event::Collect { host, life, window, era, began_ms });
            }
            Action::Call { window, report, token, until } => {
                self.event_count += 1;
                let call = Call { window, report, token, until, id: self.event_count };
                self.hosts[host].open_call = Some(call.id);
                let connect = self.delay();
                self.push_after(connect, Event::Send { host, life, call: call.clone() });
                let until_ms = until.as_micros() / 1000;
                let outcome = CallOutcome::NoResponse;
                self.push(until_ms, Event::Called { host, life, call, outcome });
            }
            action => {
                let sent_at = self.now();
                self.operation_count += 1;
                let id = self.operation_count;
                let operation = Operation { host, life, action, sent_at, lease: None };
                self.operations.insert(id, operation);
                self.send_request(id);
            }
        }
    }

    /// Sends the next request of an operation.
    fn send_request(&mut self, id: u64) {
        let Operation { host, life, action, lease, .. } = self.operations[&id].clone();
        let holder = Incarnation(u64::from(life) * 100 + host as u64);
        let duty_key = DUTY_KEY.to_owned();
        let request = match (action, lease) {
            (Action::ReadDuty { allows_stale }, _) => Request::Get { key: duty_key, allows_stale },
            (Action::Acquire { .. }, None) => Request::Grant,
            (Action::Acquire { era, replaced_revision }, Some(lease)) => Request::Write {
                key: duty_key,
                revision: replaced_revision,
                value: Value::Duty { holder, era },
                lease,
            },
            (Action::Renew { lease }, None) => Request::Keep(lease),
            (Action::Renew { .. }, Some(_)) => Request::Get { key: duty_key, allows_stale: false },
            (Action::Release { revision }, _) => Request::RemoveIf { key: duty_key, revision },
            (Action::ReadRecords, _) => Request::Range,
            (Action::ReadRecord { window }, _) => {
                Request::Get { key: record_key(window), allows_stale: false }
            }
            (Action::CreateRecord { window, counts, era }, _) => Request::Write {
                key: record_key(window),
                revision: 0,
                value: Value::Record {
                    era,
                    report: format!("{window} {counts:?}").into_bytes().into(),
                },
                lease: 0,
            },
            (Action::RemoveRecords { windows }, _) => {
                Request::Remove(windows.into_iter().map(record_key).collect())
            }
            (Action::Collect { .. } | Action::Call { .. }, _) => unreachable!("not for the store"),
        };
        let delay = self.delay();
        self.push_after(delay, Event::Execute(id, request));
        self.push_after(STORE_TIMEOUT_MS, Event::Timeout(id));
    }

    fn execute_operation(&mut self, id: u64, request: Request) {
        let Some(host) = self.operations.get(&id).map(|o| o.host) else { return };
        let is_cut = self.hosts[host].cut_from_store_until > self.now_ms;
        if is_cut || self.store_down_until > self.now_ms {
            return;
        }
        if request.is_write() && self.lose_writes_until > self.now_ms {
            match self.rng.random_range(0..3) {
                0 => {
                    self.store.execute(self.now_ms, &request);
                }
                1 => {
                    let delay = self.rng.random_range(0..MAX_LATE_MS);
                    self.push_after(delay, Event::ExecuteLate(request));
                }
                _ => {}
            }
            return;
        }
        let response = self.store.execute(self.now_ms, &request);
        let (era, delay) = (self.store.era, self.delay());
        self.push_after(delay, Event::Reply(id, era, response));
    }

    /// Applies the response of a step, or its absence.
    fn finish(&mut self, id: u64, reply: Option<(u64, Response)>) {
        let Some(mut operation) = self.operations.remove(&id) else { return };
        let now = self.now();
        let jitter = self.rng.random();
        let host = operation.host;
        let next_lease = match (&operation.action, operation.lease, &reply) {
            (Action::Acquire { era, .. }, None, Some((granted_era, Response::Lease(lease)))) => {
                (era == granted_era).then_some(*lease)
            }
            (Action::Renew { lease }, None, Some((_, Response::Done))) => Some(*lease),
            _ => None,
        };
        if next_lease.is_some() {
            operation.lease = next_lease;
            self.operation_count += 1;
            let id = self.operation_count;
            self.operations.insert(id, operation);
            self.send_request(id);
            return;
        }
        let duty = &mut self.hosts[host].duty;
        let next = match operation.action {
            Action::ReadDuty { allows_stale } => {
                duty.duty_read(now, allows_stale, reply.map(as_duty), jitter)
            }
            Action::Acquire { .. } => {
                duty.acquire_finished(now, reply.is_some(), jitter);
                None
            }
            Action::Renew { .. } => {
                let renewal = match (operation.lease, reply) {
                    (None, Some((_, Response::Refused))) => Renewal::LeaseEnded,
                    (Some(_), Some(reply)) => {
                        let (era, item) = as_duty(reply);
                        Renewal::Done { era, item }
                    }
                    _ => Renewal::Failed,
                };
                duty.renewed(now, operation.sent_at, renewal);
                None
            }
            Action::Release { .. } => {
                duty.released();
                None
            }
            Action::ReadRecords => {
                let reply = reply.map(|(era, response)| match response {
                    Response::Items(items) => (era, items.iter().filter_map(as_record).collect()),
                    other => unreachable!("{other:?}"),
                });
                duty.records_read(now, reply, jitter);
                None
            }
            Action::ReadRecord { window } => {
                let reply: Reply<_> = reply.map(|(era, response)| match response {
                    Response::Item(item) => (era, item.map(|(value, ..)| record_of(&value))),
                    other => unreachable!("{other:?}"),
                });
                duty.record_read(now, window, reply, jitter);
                None
            }
            Action::CreateRecord { window, .. } => {
                duty.record_created(now, window, reply.is_some(), jitter);
                None
            }
            Action::RemoveRecords { windows } => {
                duty.records_removed(now, &windows, reply.is_some());
                None
            }
            Action::Collect { .. } | Action::Call { .. } => unreachable!("not for the store"),
        };
        if let Some(next) = next {
            self.begin(host, next);
        }
    }

    /// Each collection has other counts, so that two records of one window always differ.
    fn collected(&mut self, host: usize, window: WindowId, era: u64, began_ms: u64) {
        let counts = Counts::from([("w".to_owned(), self.rng.random_range(0..1 << 40))]);
        let (now, unix_ms) = (self.now(), self.unix_of(host));
        let now_ms = self.now_ms;
        let mut is_repeated = false;
        let others =
            self.hosts.iter_mut().enumerate().filter(|(n, other)| {
                *n == host || (other.is_alive && other.suspended_until <= now_ms)
            });
        let answers: Vec<_> = others
            .map(|(n, other)| {
                is_repeated |= other.copies.record_query(window, era);
                let other_ms = other.clock.unix_at(now).expect("the host has started");
                // The answers were on their way for a while.
                let age_ms = (now_ms - began_ms) as i64 / 2;
                let difference = other_ms as i64 - unix_ms as i64;
                (format!("zone-{n}"), if n == host { 0 } else { difference - age_ms })
            })
            .collect();
        let domains = self.hosts.len();
        let collected = Collected { answers, domains, counts, is_repeated };
        self.hosts[host].duty.collected(now, unix_ms, window, collected);
    }

    fn arrive(&mut self, host: usize, life: u32, call: Call) {
        let is_cut = self.hosts[host].cut_from_platform_until > self.now_ms;
        if is_cut || self.platform_down_until > self.now_ms {
            return;
        }
        let is_limited = self.limit_until > self.now_ms && self.rng.random_bool(0.9);
        self.judge(host, &call, !is_limited);
        if self.lose_calls_until > self.now_ms {
            return;
        }
        let outcome = if is_limited { CallOutcome::Rejected(429) } else { CallOutcome::Accepted };
        // The platform is slow at times.
        let delay = if self.rng.random_bool(0.1) { 600 } else { self.delay() };
        self.push_after(delay, Event::Called { host, life, call, outcome });
    }

    fn judge(&mut self, host: usize, call: &Call, is_accepted: bool) {
        let mut violations = Vec::new();
        let Call { window, token, .. } = *call;
        let first = self.reports.entry(window).or_insert_with(|| Arc::clone(&call.report));
        if *first != call.report {
            violations.push(format!("rule 1: window {window} with different counts"));
        }
        let first_host = *self.token_hosts.entry(token).or_insert(host);
        if first_host != host {
            violations.push(format!("rule 2: token {token} from two hosts"));
        }
        if let Some((highest, _)) = self.token_hosts.last_key_value().filter(|(t, _)| **t > token) {
            violations.push(format!("rule 3: token {token} after {highest}"));
        }
        let recent = self.received.iter().rev();
        let recent = recent.take_while(|r| r.at_ms + LEASE_MS > self.now_ms);
        let hosts: Vec<usize> = recent.map(|r| r.host).collect();
        if let Some(other) = hosts.iter().position(|h| *h != host)
            && hosts[other..].contains(&host)
        {
            violations.push(format!("rule 4: host {host} acts again"));
        }
        if is_accepted || !violations.is_empty() {
            self.note(format_args!("host {host}: call for {window} with {token}, {is_accepted}"));
        }
        for violation in violations {
            self.note(format_args!("{violation}"));
            self.violations.push(violation);
        }
        self.received.push(Received { at_ms: self.now_ms, host, token, window, is_accepted });
    }
}

impl Contents {
    fn grant(&mut self, now_ms: u64) -> u64 {
        self.lease_count += 1;
        self.leases.insert(self.lease_count, now_ms + LEASE_MS);
        self.lease_count
    }

    fn expire(&mut self, now_ms: u64) {
        for (lease, expiry) in &mut self.leases {
            if self.others.contains(lease) {
                *expiry = (*expiry).max(now_ms + LEASE_MS);
            }
        }
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, e)| **e <= now_ms).map(|(l, _)| *l).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let before = self.items.len();
            self.items.retain(|_, item| item.lease != lease);
            self.revision += (before - self.items.len()) as u64;
        }
    }
}

impl Store {
    fn restore(&mut self, now_ms: u64) {
        let Some((taken_ms, contents)) = &self.copy else { return };
        let mut contents = contents.clone();
        for expiry in contents.leases.values_mut() {
            *expiry += now_ms - taken_ms;
        }
        // Others request their leases again and get numbers that were granted before.
        let others = self.contents.others.len();
        self.contents = contents;
        self.contents.others.clear();
        for _ in 0..others {
            let lease = self.contents.grant(now_ms);
            self.contents.others.insert(lease);
        }
        self.era += 1;
    }

    fn execute(&mut self, now_ms: u64, request: &Request) -> Response {
        let contents = &mut self.contents;
        contents.expire(now_ms);
        match request {
            Request::Get { key, allows_stale } => {
                if now_ms > self.stale.0 + MAX_STALENESS_MS {
                    self.stale = (now_ms, contents.items.clone());
                }
                let items = if *allows_stale { &self.stale.1 } else { &contents.items };
                let item = items.get(key);
                Response::Item(item.map(|i| (i.value.clone(), i.revision, i.lease)))
            }
            Request::Range => {
                let items = contents.items.iter().filter(|(key, _)| *key != DUTY_KEY);
                Response::Items(items.map(|(key, i)| (key.clone(), i.value.clone())).collect())
            }
            Request::Grant => Response::Lease(contents.grant(now_ms)),
            Request::Keep(lease) => match contents.leases.get_mut(lease) {
                Some(expiry) => {
                    *expiry = now_ms + LEASE_MS;
                    Response::Done
                }
                None => Response::Refused,
            },
            Request::Write { key, revision, value, lease } => {
                let found = contents.items.get(key).map_or(0, |i| i.revision);
                let has_lease = *lease == 0 || contents.leases.contains_key(lease);
                if found != *revision || !has_lease {
                    return Response::Refused;
                }
                contents.revision += 1;
                let (value, lease, revision) = (value.clone(), *lease, contents.revision);
                contents.items.insert(key.clone(), Stored { value, revision, lease });
                Response::Done
            }
            Request::RemoveIf { key, revision } => {
                if contents.items.get(key).is_some_and(|i| i.revision == *revision) {
                    contents.items.remove(key);
                    contents.revision += 1;
                }
                Response::Done
            }
            Request::Remove(keys) => {
                for key in keys {
                    contents.items.remove(key);
                }
                contents.revision += 1;
                Response::Done
            }
        }
    }
}

fn record_key(window: WindowId) -> String {
    format!("usage/{window}")
}

fn record_of(value: &Value) -> Option<Record> {
    match value {
        Value::Record { era, report } => {
            Some(Record { written_era: *era, report: Arc::clone(report) })
        }
        Value::Duty { .. } => None,
    }
}

fn as_record((key, value): &(String, Value)) -> Option<(WindowId, Option<Record>)> {
    Some((key.strip_prefix("usage/")?.parse().ok()?, record_of(value)))
}

fn as_duty((era, response): (u64, Response)) -> (u64, Option<DutyItem>) {
    let Response::Item(item) = response else { unreachable!("{response:?}") };
    let item = item.map(|(value, revision, lease)| {
        let Value::Duty { holder, era: written_era } = value else { unreachable!("{value:?}") };
        DutyItem { holder, written_era, position: StorePosition::new(era, revision), lease }
    });
    (era, item)
}

const _: () = assert!(LEASE_MS == Duration::from_secs(3).as_millis() as u64);
