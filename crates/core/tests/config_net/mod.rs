//! Hosts, messages between them and a store, all in one process under one virtual clock.
#![allow(dead_code, reason = "the example uses a part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    config::{
        Acceptance, Acks, ChunkHash, Declared, Revision, Root, accept, accept::Follow,
        chunk::Chunk, split,
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

/// Faults of the net; all times are bounds.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that come twice.
    pub doubled: f64,
    /// Longest time under way; messages overtake each other.
    pub delay: Duration,
    /// Share of writes to the store whose answer is lost.
    pub lost_answers: f64,
    /// Largest difference of the clocks' rates, in parts per million.
    pub drift_ppm: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            loss: 0.0,
            doubled: 0.0,
            delay: Duration::from_millis(2),
            lost_answers: 0.0,
            drift_ppm: 1000,
        }
    }
}

/// Something under way to a host.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    Peer(SocketAddr, PeerMsg),
    Call(usize, PeerCall),
    Reply(SocketAddr, PeerReply),
    Root(Root, Instant),
    Acks(Root, Acks),
    Chunks(Vec<Chunk>),
    StoreFailed,
    AckFailed,
    Changed,
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
    /// No call is answered.
    pub is_down: bool,
    /// Calls so far.
    pub calls: u64,
}

/// One host.
pub struct Host {
    /// Its control state.
    pub control: Control,
    /// What it says of itself.
    pub info: HostInfo,
    /// The view that was published last.
    pub view: Arc<View>,
    /// The latest proof, as the request path knows it.
    pub proof: Option<Instant>,
    /// Whether the process runs.
    pub is_up: bool,
    paused_until: Instant,
    watching: bool,
    offset: u64,
    rate_ppm: u64,
    highest: Revision,
}

/// The hosts with all that is under way.
pub struct Net {
    /// Virtual time.
    pub now: Instant,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The store.
    pub store: Store,
    /// Faults.
    pub faults: Faults,
    /// Names of failure domains, or of hosts, that are cut off from all others and from the store.
    pub cut: Vec<String>,
    /// Names of failure domains that cannot reach the store.
    pub storeless: Vec<String>,
    /// Random numbers.
    pub rng: ChaCha8Rng,
    /// The highest revision that was accepted.
    pub accepted: Revision,
    /// The revision that the operator waits for.
    pub follow: Option<Follow>,
    /// When each followed revision was written and accepted.
    pub log: Vec<(Revision, Instant, Instant)>,
    /// Messages between hosts so far.
    pub messages: u64,
    written: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64, usize, Incarnation)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
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
    /// Hosts in these failure domains, by a seed.
    pub fn new(seed: u64, domains: &[&str], faults: Faults) -> Net {
        let mut net = Net {
            now: Instant::from_millis(1000),
            hosts: Vec::new(),
            store: Store::default(),
            faults,
            cut: Vec::new(),
            storeless: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            accepted: 0,
            follow: None,
            log: Vec::new(),
            messages: 0,
            written: Instant::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
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
            offset: self.rng.random_range(0..1_000_000_000),
            rate_ppm: 1_000_000 + self.rng.random_range(0..=drift),
            highest: 0,
        }
    }

    /// Writes a declaration as the tool does and follows it.
    pub fn apply(&mut self, text: &str) -> Revision {
        let parts = split(text);
        let bodies = parts.bodies.iter().copied().chain(parts.index.iter().map(String::as_str));
        for body in bodies {
            self.store.chunks.insert(ChunkHash::of(body), body.to_owned());
        }
        let declaration = declaration::parse(text).expect("the declaration is valid");
        let declared = Declared {
            index: parts.index.iter().map(|b| ChunkHash::of(b)).collect(),
            seat_counts: declaration.seat_counts(),
            authority: declaration.longest_authority(),
            limits: jasminestage_core::rate::digest(&declaration),
        };
        let held = &self.store.root;
        let is_settled =
            accept::acceptance(held, &self.store.acks, held.revision) == Acceptance::Accepted;
        let id = format!("apply-{}", held.revision);
        let next = held.with_declaration(declared, is_settled, &id).expect("the seats are settled");
        self.follow = Some(Follow::new(next.revision));
        self.written = self.now;
        self.set_root(next);
        self.store.root.revision
    }

    fn set_root(&mut self, root: Root) {
        assert_eq!(root.revision, self.store.root.revision + 1);
        self.store.root = root;
        for n in 0..self.hosts.len() {
            if self.hosts[n].watching && self.reaches_store(n) {
                let delay = self.delay();
                self.push(n, delay, Event::Changed);
            }
        }
    }

    /// Kills a host; with `restart` a new life of it starts at once.
    pub fn kill(&mut self, n: usize, restart: bool) {
        let domain = self.hosts[n].info.domain.clone();
        self.hosts[n].is_up = false;
        if restart {
            self.hosts[n] = self.new_host(n, &domain, self.hosts.len());
            self.push(n, Duration::ZERO, Event::Tick);
        }
    }

    /// Stops a host's process for a while, as SIGSTOP does.
    pub fn pause(&mut self, n: usize, span: Duration) {
        self.hosts[n].paused_until = self.now + span;
    }

    /// The clock of a host.
    pub fn clock(&self, n: usize) -> Instant {
        let host = &self.hosts[n];
        let micros = u128::from(self.now.as_micros()) * u128::from(host.rate_ppm) / 1_000_000;
        Instant::from_micros(host.offset + micros as u64)
    }

    /// Whether a host would serve a keyed route now.
    pub fn serves(&self, n: usize) -> bool {
        let host = &self.hosts[n];
        host.is_up
            && host.view.seat.is_some()
            && holds_authority(self.clock(n), host.proof, host.view.held.root.authority)
    }

    /// Hosts that would serve a keyed route now.
    pub fn serving(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|n| self.serves(*n)).collect()
    }

    /// Lets time pass; checks the invariants after each event.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, id, n, life))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let event = self.events.remove(&id).expect("a queued event is kept");
            let host = &self.hosts[n];
            if host.info.incarnation != life || !host.is_up {
                continue;
            }
            if host.paused_until > self.now {
                let rest = host.paused_until.saturating_since(self.now);
                self.push(n, rest, event);
                continue;
            }
            self.deliver(n, event);
            self.follow();
            self.check();
        }
        self.now = end;
        self.check();
    }

    fn follow(&mut self) {
        if self.store.is_down {
            return;
        }
        let Some(follow) = &mut self.follow else { return };
        if follow.see(self.now, &self.store.root, &self.store.acks) == Acceptance::Accepted {
            self.accepted = self.accepted.max(follow.revision());
            self.log.push((follow.revision(), self.written, self.now));
            self.follow = None;
        }
    }

    /// No host serves by a revision below an accepted one, no seat is used twice.
    fn check(&mut self) {
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
        assert_eq!(seats.len(), serving.len(), "{:?}: a seat is used twice", self.now);
    }

    fn deliver(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let mut fx = Vec::new();
        let control = &mut self.hosts[n].control;
        match &event {
            Event::Tick => {
                control.handle(now, Input::Tick, &mut fx);
                self.push(n, HEARTBEAT_PERIOD, Event::Tick);
            }
            Event::Peer(from, msg) => {
                control.handle(now, Input::Peer { from: *from, msg }, &mut fx);
            }
            Event::Call(from, call) => return self.answer(n, *from, call),
            Event::Reply(from, reply) => {
                control.handle(now, Input::PeerReply { from: *from, reply }, &mut fx);
            }
            Event::Root(root, asked) => {
                control.handle(now, Input::Root { root, asked: *asked }, &mut fx);
            }
            Event::Acks(root, acks) => control.handle(now, Input::Acks { root, acks }, &mut fx),
            Event::Chunks(chunks) => control.handle(now, Input::Chunks(chunks), &mut fx),
            Event::StoreFailed => control.handle(now, Input::StoreFailed, &mut fx),
            Event::AckFailed => control.handle(now, Input::AckFailed, &mut fx),
            Event::Changed => fx.push(Effect::ReadRoot),
        }
        let revision = self.hosts[n].control.held().root.revision;
        assert!(revision >= self.hosts[n].highest, "no revision goes back");
        self.hosts[n].highest = revision;
        for effect in fx {
            self.perform(n, effect);
        }
    }

    fn answer(&mut self, n: usize, from: usize, call: &PeerCall) {
        let held = self.hosts[n].control.held();
        let reply = match call {
            PeerCall::Root(than) => {
                PeerReply::Root((held.root.revision > *than).then(|| held.root.clone()))
            }
            PeerCall::Chunks(wanted) => PeerReply::Chunks(held.find(wanted)),
            PeerCall::Run(_) => PeerReply::Refused,
        };
        if self.passes(n, from) {
            let delay = self.delay();
            self.push(from, delay, Event::Reply(address(n), reply));
        }
    }

    fn perform(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { to, msg } => self.send(n, to, Event::Peer(address(n), msg)),
            Effect::AskPeer { to, call } => self.send(n, to, Event::Call(n, call)),
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
            Effect::Prove(at) => {
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
        let asked = self.clock(n);
        let lost = self.rng.random_bool(self.faults.lost_answers);
        let root = |net: &Net| Event::Root(net.store.root.clone(), asked);
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
                let held = &self.store.root;
                let base = next.recent.last().map(|b| (b.revision, b.write_id.clone()));
                if base == Some((held.revision, held.write_id.clone())) {
                    self.set_root(*next);
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
        if !self.passes(from, n) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            self.push(n, delay, event.clone());
        }
    }

    fn passes(&self, a: usize, b: usize) -> bool {
        let is_near = self.hosts[a].info.domain == self.hosts[b].info.domain;
        let is_cut = |n: usize| {
            let info = &self.hosts[n].info;
            self.cut.contains(&info.name) || (!is_near && self.cut.contains(&info.domain))
        };
        !is_cut(a) && !is_cut(b)
    }

    fn reaches_store(&self, n: usize) -> bool {
        let info = &self.hosts[n].info;
        let is_cut = self.cut.contains(&info.domain) || self.cut.contains(&info.name);
        !self.store.is_down && !is_cut && !self.storeless.contains(&info.domain)
    }

    fn delay(&mut self) -> Duration {
        let most = self.faults.delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(most / 10..=most))
    }

    fn push(&mut self, n: usize, delay: Duration, event: Event) {
        let life = self.hosts[n].info.incarnation;
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.now + delay, self.next, n, life)));
    }
}
