//! Control state of one host: configuration, membership, authority, seats and rollouts.

mod acks;
mod authority;
mod configuration;
mod membership;
mod rollout;
mod seats;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use self::{acks::AckState, authority::StoreEra, configuration::Pending, seats::SeatState};
use crate::{
    config::{
        Acks, ChunkHash, Chunks, DomainAck, LocalConfig, Revision, Root, chunk::Chunk, root::Seats,
    },
    crash::CrashMsg,
    declaration::{BlockPart, Declaration},
    event::{Event, Kind},
    host::HostInfo,
    member::{MemberMsg, Members, RemoteDomains},
    once::OnceMsg,
    peer::{PeerCall, PeerReply},
    rate::RateMsg,
    rollout::{self as rollouts, RolloutMsg, RolloutRecords},
    route::RouteMsg,
    time::{Instant, UnixMillis},
    view::View,
};

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// Membership, and the timestamps that authority is proven by.
    Member(Box<MemberMsg>),
    /// Rate limits.
    Rate(RateMsg),
    /// Request ids of requests that run at most once.
    Once(OnceMsg),
    /// Backend servers.
    Route(RouteMsg),
    /// Rollouts.
    Rollout(RolloutMsg),
    /// Requests that crash backend servers.
    Crash(CrashMsg),
}

/// An event for the control state.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The control timer fired.
    Tick,
    /// A message of another host arrived.
    Peer {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        msg: &'a PeerMsg,
    },
    /// The root record was read from the store.
    Root {
        /// The record.
        root: &'a Root,
        /// When the read started.
        read_started: Instant,
        /// Era of the store in the response; it rises when the store is restored from a copy.
        era: u64,
    },
    /// A call to the store failed.
    StoreFailed,
    /// Chunks arrived from the store.
    Chunks(&'a [Chunk]),
    /// Another host replied to a call.
    PeerReply {
        /// Address of the host.
        from: SocketAddr,
        /// The reply.
        reply: &'a PeerReply,
    },
    /// The root record and the acknowledgements were read from the store.
    Acks {
        /// The record.
        root: &'a Root,
        /// The acknowledgements, read after it.
        acks: &'a Acks,
    },
    /// Writing the acknowledgement failed.
    AckFailed,
    /// The current wall-clock time, for the times in declarations.
    WallClockTime(UnixMillis),
    /// A graceful stop was requested.
    Stop,
}

/// An action for the caller of [`Control::handle`] to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another host.
    Send {
        /// Address of the host.
        to: SocketAddr,
        /// The message.
        msg: PeerMsg,
    },
    /// Call another host.
    CallPeer {
        /// Address of the host.
        to: SocketAddr,
        /// The call.
        call: PeerCall,
    },
    /// Start or stop watching the root record.
    WatchStore(bool),
    /// Read the root record.
    ReadRoot,
    /// Read the root record, then the acknowledgements.
    ReadAcks,
    /// Fetch chunks from the store.
    FetchChunks(Vec<ChunkHash>),
    /// Replace the root record by this one if the store still has its predecessor; then read it.
    SwapRoot(Box<Root>),
    /// Write this root record and its chunks again if the store still has an earlier record from which
    /// it was derived; then read it.
    RestoreRoot(Arc<LocalConfig>),
    /// Write the acknowledgement of this host's failure domain.
    WriteAck(DomainAck),
    /// Pass a new view to the traffic threads.
    Publish(Arc<View>),
    /// Pass a later proof to the traffic threads.
    UpdateProof(Instant),
    /// Write a log event.
    Log(Event),
}

/// Control state of one host.
#[derive(Clone, Debug)]
pub struct Control {
    me: HostInfo,
    seeds: Vec<SocketAddr>,
    /// Peer addresses of hosts of this failure domain that status messages list and that have sent
    /// no heartbeat so far.
    discovered_addresses: Vec<SocketAddr>,
    members: Members,
    remote_domains: RemoteDomains,
    config: Arc<LocalConfig>,
    seats: Arc<Seats>,
    rollout_records: Arc<RolloutRecords>,
    chunks: Chunks,
    pending: Option<Pending>,
    /// The last revision that could not be compiled, 0 when there is none.
    damaged_revision: Revision,
    /// The last revision requested from another host, and when.
    last_root_request: Option<(Revision, Instant)>,
    declaration: Arc<Declaration>,
    /// Hashes of the chunks that `declaration` was compiled from, without those of client blocks.
    section_hashes: Vec<ChunkHash>,
    /// Parsed chunks of client blocks.
    block_parts: BTreeMap<ChunkHash, Arc<BlockPart>>,
    /// The latest instant at which the configuration in force was proven to be the newest.
    proof: Option<Instant>,
    /// The latest proof that the traffic threads have.
    published_proof: Option<Instant>,
    /// The last revision read from the store and the start of the read, until it proves that the
    /// configuration in force is the newest.
    unapplied_read: Option<(Revision, Instant)>,
    /// The latest era of the store from which this host has read the root record.
    store_era: Option<StoreEra>,
    seat_state: SeatState,
    ack_state: AckState,
    /// The highest revision recorded as accepted.
    accepted: Revision,
    started_at: Option<Instant>,
    /// Number of the last membership message that this host sent.
    sequence: u64,
    ticks: u64,
    last_tick: Instant,
    watches_store: bool,
    store_available: bool,
    stopping: bool,
    rollouts: rollouts::Controller,
    /// The last wall-clock time given to this host, and when.
    wall_clock: Option<(Instant, UnixMillis)>,
    rollouts_written_at: Option<Instant>,
}

impl Control {
    /// The state of a host that has just started; `seeds` are peer addresses of other hosts.
    pub fn new(me: HostInfo, seeds: &[SocketAddr]) -> Self {
        Control {
            me,
            seeds: seeds.to_vec(),
            discovered_addresses: Vec::new(),
            members: Members::default(),
            remote_domains: RemoteDomains::default(),
            config: Arc::default(),
            seats: Arc::default(),
            rollout_records: Arc::default(),
            chunks: Chunks::default(),
            pending: None,
            damaged_revision: 0,
            last_root_request: None,
            declaration: Arc::default(),
            section_hashes: Vec::new(),
            block_parts: BTreeMap::new(),
            proof: None,
            published_proof: None,
            unapplied_read: None,
            store_era: None,
            seat_state: SeatState::default(),
            ack_state: AckState::default(),
            accepted: 0,
            started_at: None,
            sequence: 0,
            ticks: 0,
            last_tick: Instant::ZERO,
            watches_store: false,
            store_available: true,
            stopping: false,
            rollouts: rollouts::Controller::default(),
            wall_clock: None,
            rollouts_written_at: None,
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<LocalConfig> {
        &self.config
    }

    /// Handles one event and appends the actions that follow to `effects`.
    pub fn handle(&mut self, now: Instant, input: Input<'_>, effects: &mut Vec<Effect>) {
        self.started_at.get_or_insert(now);
        match input {
            Input::Tick => self.tick(now, effects),
            Input::Peer { from, msg: PeerMsg::Member(msg) } => {
                self.handle_member_msg(now, from, msg, effects)
            }
            Input::Peer { msg: PeerMsg::Rollout(msg), .. } => self.handle_rollout_msg(msg),
            Input::Peer { .. } => {}
            Input::Root { root, read_started, era } => {
                self.handle_store_root(now, root, read_started, era, effects)
            }
            Input::StoreFailed => self.handle_store_failure(now, effects),
            Input::Chunks(chunks) => {
                self.set_store_available(true, effects);
                self.handle_chunks(now, chunks, effects);
            }
            Input::PeerReply { from, reply } => self.handle_reply(now, from, reply, effects),
            Input::Acks { root, acks } => self.handle_acks(now, root, acks, effects),
            Input::AckFailed => self.ack_state.clear_written(),
            Input::WallClockTime(wall_clock) => self.wall_clock = Some((now, wall_clock)),
            Input::Stop => self.stop(now, effects),
        }
        debug_assert!(
            self.proof.is_none_or(|p| p <= now),
            "a proof is later than the current time"
        );
    }

    fn revision(&self) -> Revision {
        self.config.root.revision
    }

    fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.ticks += 1;
        self.tick_members(now, effects);
        self.last_tick = now;
        self.tick_store(now, effects);
        self.prove_by_echoes(now, effects);
        self.send_heartbeats(now, effects);
        self.tick_digests(now, effects);
        self.send_next_domain_status(now, effects);
        self.tick_seat(now, effects);
        self.tick_acks(now, effects);
        self.tick_acceptance(now, effects);
        self.advance_rollouts(now, effects);
    }

    fn stop(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.stopping = true;
        self.publish(now, effects);
        self.send_heartbeats(now, effects);
        self.send_digests(now, effects);
    }

    fn log(&self, kind: Kind, detail: impl Into<String>, effects: &mut Vec<Effect>) {
        effects.push(Effect::Log(Event::new(kind, detail)));
    }
}
