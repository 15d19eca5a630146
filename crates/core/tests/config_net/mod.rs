//! Simulated hosts, network and store in one process, under one virtual clock.
#![allow(dead_code, reason = "the tests and the example each use a part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    config::{
        Acceptance, Acks, AppliedDeclaration, ChunkHash, Revision, Root, accept,
        accept::AcceptanceTracker, chunk::Chunk, split,
    },
    control::{Control, Effect, Input, PeerMsg},
    declaration,
    host::{HostInfo, Incarnation},
    member::HEARTBEAT_PERIOD,
    peer::{PeerCall, PeerReply},
    time::Instant,
    view::{View, holds_authority},
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Faults of the network, the store and the clocks.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that are delivered twice.
    pub duplicated: f64,
    /// Maximum delivery delay; messages may be reordered.
    pub delay: Duration,
    /// Share of store calls whose reply is lost.
    pub lost_replies: f64,
    /// Largest difference between clock rates, in parts per million.
    pub drift_ppm: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            loss: 0.0,
            duplicated: 0.0,
            delay: Duration::from_millis(2),
            lost_replies: 0.0,
            drift_ppm: 1000,
        }
    }
}

/// An event to deliver to a host.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    Peer(SocketAddr, PeerMsg),
    Call(usize, PeerCall),
    Reply(SocketAddr, PeerReply),
    Root(Root, Instant, u64),
    Acks(Root, Acks),
    Chunks(Vec<Chunk>),
    StoreFailed,
    AckFailed,
    RootChanged,
}

/// The platform's store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// The root record.
    pub root: Root,
    /// Chunks by hash.
    pub chunks: BTreeMap<ChunkHash, String>,
    /// Acknowledgements.
    pub acks: Acks,
    /// Era of the store; it rises when the store is restored from a copy.
    pub era: u64,
    /// Whether every call fails.
    pub is_down: bool,
    /// Number of calls so far.
    pub calls: u64,
}

/// One host.
pub struct Host {
    /// Its control state.
    pub control: Control,
    /// Its name, domain, addresses and incarnation.
    pub info: HostInfo,
    /// The last published view.
    pub view: Arc<View>,
    /// The latest proof passed to the request path.
    pub proof: Option<Instant>,
    /// Whether the process is running.
    pub is_up: bool,
    paused_until: Instant,
    watching: bool,
    clock_offset_us: u64,
    clock_rate_ppm: u64,
    highest_revision: Revision,
}

/// The simulated fleet with its undelivered events.
pub struct Net {
    /// Virtual time.
    pub now: Instant,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The store.
    pub store: Store,
    /// Faults to inject.
    pub faults: Faults,
    /// Names of hosts or failure domains that are cut off from all others and from the store.
    pub partitioned: Vec<String>,
    /// Names of failure domains that cannot reach the hosts of others, but the store.
    pub cut_off_from_hosts: Vec<String>,
    /// Names of failure domains that cannot reach the store.
    pub cut_off_from_store: Vec<String>,
    /// Source of all randomness.
    pub rng: ChaCha8Rng,
    /// The highest accepted revision.
    pub accepted: Revision,
    /// Tracks the last applied revision until it is accepted.
    pub tracker: Option<AcceptanceTracker>,
    /// Revisions that were accepted, with the times of their write and acceptance.
    pub accepted_log: Vec<(Revision, Instant, Instant)>,
    /// Number of messages between hosts so far.
    pub messages: u64,
    last_write_at: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64, usize, Incarnation)>>,
    events: BTreeMap<u64, Event>,
    last_event_id: u64,
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, (n / 200) as u8, (n % 200) as u8], 7000).into()
}

/// A declaration with these failure domains, two seats each, and one keyed route.
pub fn declaration_text(domains: &[&str], authority: &str, key: u8) -> String {
    let mut text = "[region r]\n".to_owned();
    for domain in domains {
        text.push_str(&format!("[domain {domain}]\nregion = r\nseats = 2\n"));
    }
    text.push_str(&format!(
        "[route k]\naccess = keyed\nrepeat = idempotent\nauthority = {authority}\n\
         [workspace w]\nkeys = sha256:{}\nrate = 10\nburst = 10\n",
        hex::encode([key; 32])
    ));
    text
}

impl Net {
    /// Starts one host for each entry of `domains`.
    pub fn new(seed: u64, domains: &[&str], faults: Faults) -> Net {
        let mut net = Net {
            now: Instant::from_millis(1000),
            hosts: Vec::new(),
            store: Store::default(),
            faults,
            partitioned: Vec::new(),
            cut_off_from_hosts: Vec::new(),
            cut_off_from_store: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            accepted: 0,
            tracker: None,
            accepted_log: Vec::new(),
            messages: 0,
            last_write_at: Instant::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
        };
        for (n, domain) in domains.iter().enumerate() {
            let host = net.new_host(n, domain, domains.len());
            net.hosts.push(host);
            net.push(n, Duration::from_millis(n as u64 % 50), Event::Tick);
        }
        net
    }

    fn new_host(&mut self, n: usize, domain: &str, count: usize) -> Host {
        let info = HostInfo {
            name: format!("h{n}"),
            domain: domain.to_owned(),
            caller_address: address(n),
            peer_address: address(n),
            incarnation: Incarnation(self.rng.next_u64()),
        };
        let seeds: Vec<_> = (0..count).map(address).collect();
        let drift = self.faults.drift_ppm;
        Host {
            control: Control::new(info.clone(), &seeds),
            view: Arc::new(View::empty(info.clone())),
            info,
            proof: None,
            is_up: true,
            paused_until: Instant::ZERO,
            watching: false,
            clock_offset_us: self.rng.random_range(0..1_000_000_000),
            clock_rate_ppm: 1_000_000 + self.rng.random_range(0..=drift),
            highest_revision: 0,
        }
    }

    /// Writes a declaration as the command-line tool does and tracks its acceptance.
    pub fn apply(&mut self, text: &str) -> Revision {
        let parts = split(text);
        let bodies = parts.bodies.iter().copied().chain(parts.index.iter().map(String::as_str));
        for body in bodies {
            self.store.chunks.insert(ChunkHash::of(body), body.to_owned());
        }
        let declaration = declaration::parse(text).expect("the declaration is valid");
        let declared = AppliedDeclaration {
            index: parts.index.iter().map(|b| ChunkHash::of(b)).collect(),
            seat_counts: declaration.seat_counts(),
            authority: declaration.longest_authority(),
            limits: jasminestage_core::rate::digest(&declaration),
        };
        let current = &self.store.root;
        let is_accepted =
            accept::acceptance(current, &self.store.acks, current.revision) == Acceptance::Accepted;
        let id = format!("apply-{}", current.revision);
        let next = current
            .with_declaration(declared, is_accepted, &id)
            .expect("the previous seat counts are accepted");
        self.tracker = Some(AcceptanceTracker::new(next.revision));
        self.last_write_at = self.now;
        self.set_root(next);
        self.store.root.revision
    }

    fn set_root(&mut self, root: Root) {
        assert!(root.revision > self.store.root.revision, "the revisions of the store rise");
        self.store.root = root;
        for n in 0..self.hosts.len() {
            if self.hosts[n].watching && self.reaches_store(n) {
                let delay = self.delay();
                self.push(n, delay, Event::RootChanged);
            }
        }
    }

    /// Replaces what the store has by a copy, and raises its era.
    pub fn restore_store(&mut self, copy: Store) {
        self.store = Store { era: self.store.era + 1, calls: self.store.calls, ..copy };
    }

    /// Kills a host; with `restart`, a new incarnation starts at once.
    pub fn kill(&mut self, n: usize, restart: bool) {
        let domain = self.hosts[n].info.domain.clone();
        self.hosts[n].is_up = false;
        if restart {
            self.hosts[n] = self.new_host(n, &domain, self.hosts.len());
            self.push(n, Duration::ZERO, Event::Tick);
        }
    }

    /// Pauses a host's process for `span`, as SIGSTOP does.
    pub fn pause(&mut self, n: usize, span: Duration) {
        self.hosts[n].paused_until = self.now + span;
    }

    /// The current time on a host's clock.
    pub fn clock(&self, n: usize) -> Instant {
        let host = &self.hosts[n];
        let micros = u128::from(self.now.as_micros()) * u128::from(host.clock_rate_ppm) / 1_000_000;
        Instant::from_micros(host.clock_offset_us + micros as u64)
    }

    /// Whether a host would serve a keyed route now.
    pub fn serves(&self, n: usize) -> bool {
        let host = &self.hosts[n];
        host.is_up
            && host.view.seat.is_some()
            && holds_authority(self.clock(n), host.proof, host.view.config.root.authority)
    }

    /// Hosts that would serve a keyed route now.
    pub fn serving(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|n| self.serves(*n)).collect()
    }

    /// Advances the virtual clock by `span`, delivers events and checks the invariants after each.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, id, n, incarnation))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let event = self.events.remove(&id).expect("each queued event is stored");
            let host = &self.hosts[n];
            if host.info.incarnation != incarnation || !host.is_up {
                continue;
            }
            if host.paused_until > self.now {
                let rest = host.paused_until.saturating_since(self.now);
                self.push(n, rest, event);
                continue;
            }
            self.deliver(n, event);
            self.track_acceptance();
            self.check_invariants();
        }
        self.now = end;
        self.check_invariants();
    }

    fn track_acceptance(&mut self) {
        if self.store.is_down {
            return;
        }
        let Some(tracker) = &mut self.tracker else { return };
        if tracker.update(self.now, &self.store.root, &self.store.acks) == Acceptance::Accepted {
            self.accepted = self.accepted.max(tracker.revision());
            self.accepted_log.push((tracker.revision(), self.last_write_at, self.now));
            self.tracker = None;
        }
    }

    /// Checks that no host serves by a revision older than the accepted one and that no two hosts
    /// use the same seat.
    fn check_invariants(&mut self) {
        let serving = self.serving();
        for n in &serving {
            let revision = self.hosts[*n].view.revision;
            assert!(
                revision >= self.accepted,
                "{:?}: h{n} serves by revision {revision} after {} was accepted",
                self.now,
                self.accepted
            );
        }
        let mut seats: Vec<_> = serving
            .iter()
            .map(|n| (&self.hosts[*n].info.domain, self.hosts[*n].view.seat))
            .collect();
        seats.sort();
        seats.dedup();
        assert_eq!(seats.len(), serving.len(), "{:?}: two hosts use the same seat", self.now);
    }

    fn deliver(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let mut effects = Vec::new();
        let control = &mut self.hosts[n].control;
        match &event {
            Event::Tick => {
                control.handle(now, Input::Tick, &mut effects);
                self.push(n, HEARTBEAT_PERIOD, Event::Tick);
            }
            Event::Peer(from, msg) => {
                control.handle(now, Input::Peer { from: *from, msg }, &mut effects);
            }
            Event::Call(from, call) => return self.answer(n, *from, call),
            Event::Reply(from, reply) => {
                control.handle(now, Input::PeerReply { from: *from, reply }, &mut effects);
            }
            Event::Root(root, read_started, era) => {
                control.handle(
                    now,
                    Input::Root { root, read_started: *read_started, era: *era },
                    &mut effects,
                );
            }
            Event::Acks(root, acks) => {
                control.handle(now, Input::Acks { root, acks }, &mut effects)
            }
            Event::Chunks(chunks) => control.handle(now, Input::Chunks(chunks), &mut effects),
            Event::StoreFailed => control.handle(now, Input::StoreFailed, &mut effects),
            Event::AckFailed => control.handle(now, Input::AckFailed, &mut effects),
            Event::RootChanged => effects.push(Effect::ReadRoot),
        }
        let revision = self.hosts[n].control.config().root.revision;
        assert!(
            revision >= self.hosts[n].highest_revision,
            "h{n} replaced its revision by an older one"
        );
        self.hosts[n].highest_revision = revision;
        for effect in effects {
            self.perform(n, effect);
        }
    }

    fn answer(&mut self, n: usize, from: usize, call: &PeerCall) {
        let config = self.hosts[n].control.config();
        let reply = match call {
            PeerCall::Root(known) => {
                PeerReply::Root((config.root.revision > *known).then(|| config.root.clone()))
            }
            PeerCall::Chunks(wanted) => PeerReply::Chunks(config.find(wanted)),
            PeerCall::Run(_) => PeerReply::Refused,
        };
        if self.is_link_up(n, from) {
            let delay = self.delay();
            self.push(from, delay, Event::Reply(address(n), reply));
        }
    }

    fn perform(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { to, msg } => self.send(n, to, Event::Peer(address(n), msg)),
            Effect::CallPeer { to, call } => self.send(n, to, Event::Call(n, call)),
            Effect::WatchStore(on) => {
                self.hosts[n].watching = on;
                if on {
                    self.perform(n, Effect::ReadRoot);
                }
            }
            Effect::Publish(view) => {
                self.hosts[n].proof = view.proof;
                self.hosts[n].view = view;
            }
            Effect::UpdateProof(at) => {
                if self.hosts[n].view.seat.is_some() {
                    self.hosts[n].proof = self.hosts[n].proof.max(Some(at));
                }
            }
            Effect::Log(_) => {}
            call => self.call_store(n, call),
        }
    }

    fn call_store(&mut self, n: usize, call: Effect) {
        let delay = self.delay();
        self.store.calls += 1;
        if !self.reaches_store(n) {
            return self.push(n, delay + Duration::from_millis(500), Event::StoreFailed);
        }
        let read_started = self.clock(n);
        let lost = self.rng.random_bool(self.faults.lost_replies);
        let root = |net: &Net| Event::Root(net.store.root.clone(), read_started, net.store.era);
        let event = match call {
            Effect::ReadRoot if self.store.root.revision == 0 => return,
            Effect::ReadRoot => root(self),
            Effect::ReadAcks => Event::Acks(self.store.root.clone(), self.store.acks.clone()),
            Effect::FetchChunks(hashes) => {
                let found = hashes.into_iter().filter_map(|hash| {
                    let body = self.store.chunks.get(&hash)?.clone();
                    Some(Chunk { hash, body })
                });
                Event::Chunks(found.collect())
            }
            Effect::SwapRoot(next) => {
                let current = &self.store.root;
                let base = next.recent.last().map(|b| (b.revision, b.write_id.clone()));
                if base == Some((current.revision, current.write_id.clone())) {
                    self.set_root(*next);
                }
                root(self)
            }
            Effect::RestoreRoot(config) => {
                let current = &self.store.root;
                if current.revision < config.root.revision
                    && config.root.includes(current) == Some(true)
                {
                    let chunks = config.chunks.iter().map(|(h, body)| (*h, body.to_string()));
                    self.store.chunks.extend(chunks);
                    self.set_root(config.root.clone());
                }
                root(self)
            }
            Effect::WriteAck(ack) => {
                let domain = self.hosts[n].info.domain.clone();
                self.store.acks.insert(domain, ack);
                if !lost {
                    return;
                }
                Event::AckFailed
            }
            _ => return,
        };
        let event = if lost { Event::StoreFailed } else { event };
        self.push(n, delay, event);
    }

    fn send(&mut self, from: usize, to: SocketAddr, event: Event) {
        let Some(n) = (0..self.hosts.len()).find(|n| address(*n) == to) else { return };
        self.messages += 1;
        if !self.is_link_up(from, n) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            self.push(n, delay, event.clone());
        }
    }

    fn is_link_up(&self, a: usize, b: usize) -> bool {
        let is_same_domain = self.hosts[a].info.domain == self.hosts[b].info.domain;
        let is_partitioned = |n: usize| {
            let info = &self.hosts[n].info;
            self.partitioned.contains(&info.name)
                || (!is_same_domain
                    && (self.partitioned.contains(&info.domain)
                        || self.cut_off_from_hosts.contains(&info.domain)))
        };
        !is_partitioned(a) && !is_partitioned(b)
    }

    fn reaches_store(&self, n: usize) -> bool {
        let info = &self.hosts[n].info;
        let is_partitioned =
            self.partitioned.contains(&info.domain) || self.partitioned.contains(&info.name);
        !self.store.is_down && !is_partitioned && !self.cut_off_from_store.contains(&info.domain)
    }

    fn delay(&mut self) -> Duration {
        let max_micros = self.faults.delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(max_micros / 10..=max_micros))
    }

    fn push(&mut self, n: usize, delay: Duration, event: Event) {
        let incarnation = self.hosts[n].info.incarnation;
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.queue.push(Reverse((self.now + delay, self.last_event_id, n, incarnation)));
    }
}
