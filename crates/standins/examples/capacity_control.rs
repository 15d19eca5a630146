//! Control traffic, processor time and memory of a host by the size of the fleet.
//!
//! `cargo run --release -p jasminestage-standins --example capacity_control [DOMAINS HOSTS]`
//!
//! The control states of all hosts run in one process on a virtual clock. Messages are delivered
//! without delay and counted with the size of the sealed datagram. The store is kept in memory.

use std::{
    alloc::System,
    collections::{HashMap, VecDeque},
    env::args,
    fmt::Write,
    net::SocketAddr,
    time::{Duration, Instant as WallInstant},
};

use jasminestage_core::{
    config::{Acks, AppliedDeclaration, ChunkHash, Root, chunk::Chunk, split},
    control::{Control, Effect, Input, PeerMsg},
    declaration,
    host::{HostInfo, Incarnation},
    member::HEARTBEAT_PERIOD,
    peer::{PeerCall, PeerReply},
    time::Instant,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes of a datagram besides its body: UDP and IP headers, version byte, keyed hash, and frame
/// header.
const DATAGRAM_OVERHEAD_BYTES: usize = 28 + 1 + 32 + 24;
/// Virtual time before the measurement, for the fleet to reach a steady state.
const WARM_UP: Duration = Duration::from_secs(30);
/// Virtual time of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(6);
/// Number of client address blocks in the declaration.
const CLIENT_BLOCKS: usize = 2_000;

/// Traffic and processor time of one host during the measurement.
#[derive(Clone, Copy, Debug, Default)]
struct HostUsage {
    sent_bytes: usize,
    received_bytes: usize,
    messages: usize,
    cpu: Duration,
}

/// Simulated store of the platform.
#[derive(Default)]
struct Store {
    root: Root,
    chunks: HashMap<ChunkHash, String>,
    acks: Acks,
    calls: u64,
}

struct Fleet {
    now: Instant,
    hosts: Vec<Control>,
    by_address: HashMap<SocketAddr, usize>,
    infos: Vec<HostInfo>,
    usages: Vec<HostUsage>,
    pending: VecDeque<(usize, Event)>,
    store: Store,
}

/// An event to be delivered to a host.
enum Event {
    Peer(SocketAddr, PeerMsg),
    Reply(SocketAddr, PeerReply),
    Root(Root),
    Acks(Root, Acks),
    Chunks(Vec<Chunk>),
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, (n / 200) as u8, (n % 200 + 1) as u8], 7000).into()
}

fn declaration_text(domains: usize, per_domain: usize, first_digest: u64) -> String {
    let regions = domains.div_ceil(3);
    let mut text = String::new();
    for r in 0..regions {
        let _ = writeln!(text, "[region r{r}]");
    }
    for d in 0..domains {
        let _ = writeln!(text, "[domain d{d}]\nregion = r{}\nseats = {per_domain}", d % regions);
    }
    text.push_str("[route k]\naccess = keyed\nrepeat = idempotent\n");
    for w in 0..200 {
        let digest = first_digest + w;
        let _ =
            writeln!(text, "[workspace w{w}]\nkeys = sha256:{digest:064x}\nrate = 10\nburst = 10");
    }
    text.push_str("[clients]\n");
    for b in 0..CLIENT_BLOCKS {
        let _ = writeln!(text, "10.{}.{}.0/24 = r{}", b / 256, b % 256, b % regions);
    }
    text
}

impl Fleet {
    fn new(domains: usize, per_domain: usize) -> Fleet {
        let count = domains * per_domain;
        let info = |n: usize| HostInfo {
            name: format!("host-{n}"),
            domain: format!("d{}", n % domains),
            caller_address: address(n),
            peer_address: address(n),
            incarnation: Incarnation(0x5eed_0000_0000_0000 + n as u64),
        };
        let infos: Vec<_> = (0..count).map(info).collect();
        let seeds: Vec<_> = (0..count.min(3 * domains)).map(address).collect();
        let mut fleet = Fleet {
            now: Instant::from_millis(1000),
            hosts: infos.iter().map(|i| Control::new(i.clone(), &seeds)).collect(),
            by_address: (0..count).map(|n| (address(n), n)).collect(),
            infos,
            usages: vec![HostUsage::default(); count],
            pending: VecDeque::new(),
            store: Store::default(),
        };
        fleet.apply(&declaration_text(domains, per_domain, 0));
        fleet
    }

    fn apply(&mut self, text: &str) {
        let parts = split(text);
        let bodies = parts.bodies.iter().copied().chain(parts.index.iter().map(String::as_str));
        for body in bodies {
            self.store.chunks.insert(ChunkHash::of(body), body.to_owned());
        }
        let declaration = declaration::parse(text).expect("the declaration is valid");
        let applied = AppliedDeclaration {
            index: parts.index.iter().map(|b| ChunkHash::of(b)).collect(),
            seat_counts: declaration.seat_counts(),
            authority: declaration.longest_authority(),
            limits: jasminestage_core::rate::digest(&declaration),
        };
        let write_id = format!("{:?}", self.now);
        let next_root = self.store.root.with_declaration(applied, true, &write_id);
        self.store.root = next_root.expect("no change of the seats is pending");
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        let step = HEARTBEAT_PERIOD / 10;
        let mut step_index = 0;
        while self.now < end {
            self.now = self.now + step;
            for n in (0..self.hosts.len()).filter(|n| n % 10 == step_index % 10) {
                self.handle(n, Input::Tick);
            }
            step_index += 1;
        }
    }

    fn handle(&mut self, n: usize, input: Input<'_>) {
        self.step(n, input);
        while let Some((n, event)) = self.pending.pop_front() {
            match &event {
                Event::Peer(from, msg) => self.step(n, Input::Peer { from: *from, msg }),
                Event::Reply(from, reply) => self.step(n, Input::PeerReply { from: *from, reply }),
                Event::Root(root) => {
                    self.step(n, Input::Root { root, read_started: self.now, era: 1 })
                }
                Event::Acks(root, acks) => self.step(n, Input::Acks { root, acks }),
                Event::Chunks(chunks) => self.step(n, Input::Chunks(chunks)),
            }
        }
    }

    fn step(&mut self, n: usize, input: Input<'_>) {
        let mut effects = Vec::new();
        let start = WallInstant::now();
        self.hosts[n].handle(self.now, input, &mut effects);
        self.usages[n].cpu += start.elapsed();
        for effect in effects {
            self.perform(n, effect);
        }
    }

    fn perform(&mut self, n: usize, effect: Effect) {
        let event = match effect {
            Effect::Send { to, msg } => return self.deliver(n, to, msg),
            Effect::CallPeer { to, call } => {
                let Some(&peer) = self.by_address.get(&to) else { return };
                Event::Reply(to, reply_to(&self.hosts[peer], &call))
            }
            Effect::ReadRoot => {
                self.store.calls += 1;
                Event::Root(self.store.root.clone())
            }
            Effect::ReadAcks => {
                self.store.calls += 2;
                Event::Acks(self.store.root.clone(), self.store.acks.clone())
            }
            Effect::FetchChunks(hashes) => {
                self.store.calls += hashes.len() as u64;
                let found = hashes.iter().filter_map(|h| {
                    Some(Chunk { hash: *h, body: self.store.chunks.get(h)?.clone() })
                });
                Event::Chunks(found.collect())
            }
            Effect::SwapRoot(root) => {
                self.store.calls += 2;
                if root.revision == self.store.root.revision + 1 {
                    self.store.root = *root;
                }
                Event::Root(self.store.root.clone())
            }
            // The store is never restored from a copy.
            Effect::RestoreRoot(_) => return,
            Effect::WriteAck(ack) => {
                self.store.calls += 1;
                self.store.acks.insert(self.infos[n].domain.clone(), ack);
                return;
            }
            Effect::WatchStore(_)
            | Effect::Publish(_)
            | Effect::UpdateProof(_)
            | Effect::Log(_) => {
                return;
            }
        };
        self.pending.push_back((n, event));
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, msg: PeerMsg) {
        let Some(&peer) = self.by_address.get(&to) else { return };
        let bytes = postcard::to_allocvec(&msg).map_or(0, |b| b.len()) + DATAGRAM_OVERHEAD_BYTES;
        self.usages[from].sent_bytes += bytes;
        self.usages[from].messages += 1;
        self.usages[peer].received_bytes += bytes;
        let address = self.infos[from].peer_address;
        self.pending.push_back((peer, Event::Peer(address, msg)));
    }
}

/// Answers a call of another host with the configuration that this host keeps.
fn reply_to(host: &Control, call: &PeerCall) -> PeerReply {
    match call {
        PeerCall::Root(newer_than) => {
            let root = &host.config().root;
            PeerReply::Root((root.revision > *newer_than).then(|| root.clone()))
        }
        PeerCall::Chunks(wanted) => PeerReply::Chunks(host.config().find(wanted)),
        PeerCall::Run(_) => PeerReply::Refused,
    }
}

fn measure(domains: usize, per_domain: usize) {
    let region = Region::new(ALLOCATOR);
    let mut fleet = Fleet::new(domains, per_domain);
    fleet.run(WARM_UP);
    let change = region.change();
    let bytes = change.bytes_allocated.saturating_sub(change.bytes_deallocated);
    let count = fleet.hosts.len();
    fleet.usages = vec![HostUsage::default(); count];
    fleet.store.calls = 0;
    fleet.run(MEASURED_TIME);
    let seconds = MEASURED_TIME.as_secs_f64();
    let kilobytes_per_second =
        |n: &HostUsage| (n.sent_bytes + n.received_bytes) as f64 / seconds / 1000.0;
    let mut by_bytes: Vec<_> = fleet.usages.iter().map(kilobytes_per_second).collect();
    by_bytes.sort_by(f64::total_cmp);
    let mut by_cpu: Vec<_> =
        fleet.usages.iter().map(|n| 100.0 * n.cpu.as_secs_f64() / seconds).collect();
    by_cpu.sort_by(f64::total_cmp);
    let messages: usize = fleet.usages.iter().map(|n| n.messages).sum();
    let in_force =
        fleet.hosts.iter().filter(|h| h.config().root.revision == fleet.store.root.revision);
    println!(
        "{count:>5} hosts in {domains:>2} domains: {:.1} KB/s median, {:.1} KB/s most; {:.3}% of a core \
         median, {:.3}% most; {:.1} messages/s each; {:.0} KB of memory each; {:.1} store calls/s; \
         {} of {count} hold the newest revision",
        by_bytes[count / 2],
        by_bytes[count - 1],
        by_cpu[count / 2],
        by_cpu[count - 1],
        messages as f64 / seconds / count as f64,
        bytes as f64 / count as f64 / 1000.0,
        fleet.store.calls as f64 / seconds,
        in_force.count(),
    );
}

fn main() {
    let sizes: Vec<usize> = args().skip(1).filter_map(|t| t.parse().ok()).collect();
    if let [domains, per_domain] = sizes[..] {
        return measure(domains, per_domain);
    }
    for (domains, per_domain) in [(6, 2), (12, 4), (24, 8), (36, 12), (71, 12), (71, 24)] {
        measure(domains, per_domain);
    }
}
