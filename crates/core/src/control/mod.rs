//! Control state of one host: configuration, membership and what follows from them.

mod acks;
mod authority;
mod configuration;
mod membership;
mod rollout;
mod seats;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use self::{acks::AckState, configuration::Pending, seats::SeatState};
use crate::{
    config::{Acks, ChunkHash, Chunks, DomainAck, Held, Revision, Root, chunk::Chunk, root::Seats},
    crash::CrashMsg,
    declaration::{BlockPart, Declaration},
    event::{Event, Kind},
    host::HostInfo,
    member::{Fleet, MemberMsg, Members},
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
    /// Membership, and the proofs of authority that go with it.
    Member(Box<MemberMsg>),
    /// Rates.
    Rate(RateMsg),
    /// Request ids.
    Once(OnceMsg),
    /// Backend servers.
    Route(RouteMsg),
    /// Rollouts.
    Rollout(RolloutMsg),
    /// Requests that crash backend servers.
    Crash(CrashMsg),
}

/// Something that happened outside.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The control timer fired.
    Tick,
    /// A message of another host arrived.
    Peer {
        /// Where it came from.
        from: SocketAddr,
        /// The message.
        msg: &'a PeerMsg,
    },
    /// The root record was read from the store.
    Root {
        /// The record.
        root: &'a Root,
        /// When the read was begun.
        asked: Instant,
    },
    /// A call to the store failed.
    StoreFailed,
    /// Chunks arrived from the store.
    Chunks(&'a [Chunk]),
    /// Another host answered a call.
    PeerReply {
        /// Its address.
        from: SocketAddr,
        /// The answer.
        reply: &'a PeerReply,
    },
    /// The root record and the acknowledgements were read from the store.
    Acks {
        /// The record.
        root: &'a Root,
        /// The acknowledgements, read after it.
        acks: &'a Acks,
    },
    /// The acknowledgement could not be written.
    AckFailed,
    /// The date now, for the times in declarations.
    Date(UnixMillis),
    /// A graceful stop was asked for.
    Stop,
}

/// Something to do outside.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another host.
    Send {
        /// Its address.
        to: SocketAddr,
        /// The message.
        msg: PeerMsg,
    },
    /// Call another host.
    AskPeer {
        /// Its address.
        to: SocketAddr,
        /// The question.
        call: PeerCall,
    },
    /// Keep a watch on the root record, or end it.
    WatchStore(bool),
    /// Read the root record.
    ReadRoot,
    /// Read the root record, then the acknowledgements.
    ReadAcks,
    /// Fetch chunks from the store.
    FetchChunks(Vec<ChunkHash>),
    /// Replace the root record by this one if the store still holds the one before it; then read it.
    SwapRoot(Box<Root>),
    /// Record what this host's failure domain has in force.
    WriteAck(DomainAck),
    /// Hand a new view to the traffic threads.
    Publish(Arc<View>),
    /// Hand a later proof to the traffic threads.
    Prove(Instant),
    /// Write a log event.
    Log(Event),
}

/// Control state of one host.
#[derive(Clone, Debug)]
pub struct Control {
    me: HostInfo,
    seeds: Vec<SocketAddr>,
    /// Addresses of this failure domain that another host named.
    met: Vec<SocketAddr>,
    members: Members,
    fleet: Fleet,
    held: Arc<Held>,
    seats: Arc<Seats>,
    rollout_records: Arc<RolloutRecords>,
    chunks: Chunks,
    pending: Option<Pending>,
    damaged: Revision,
    asked: Option<(Revision, Instant)>,
    declaration: Arc<Declaration>,
    sections: Vec<ChunkHash>,
    parts: BTreeMap<ChunkHash, Arc<BlockPart>>,
    proof: Option<Instant>,
    told_proof: Option<Instant>,
    read_proof: Option<(Revision, Instant)>,
    seat: SeatState,
    acks: AckState,
    accepted: Revision,
    started: Option<Instant>,
    sequence: u64,
    ticks: u64,
    last_tick: Instant,
    watching: bool,
    store_up: bool,
    stopping: bool,
    rollouts: rollouts::Controller,
    date: Option<(Instant, UnixMillis)>,
    wrote_rollouts: Option<Instant>,
}

impl Control {
    /// The state of a host that has just started; `seeds` are addresses of other hosts.
    pub fn new(me: HostInfo, seeds: &[SocketAddr]) -> Self {
        Control {
            me,
            seeds: seeds.to_vec(),
            met: Vec::new(),
            members: Members::default(),
            fleet: Fleet::default(),
            held: Arc::default(),
            seats: Arc::default(),
            rollout_records: Arc::default(),
            chunks: Chunks::default(),
            pending: None,
            damaged: 0,
            asked: None,
            declaration: Arc::default(),
            sections: Vec::new(),
            parts: BTreeMap::new(),
            proof: None,
            told_proof: None,
            read_proof: None,
            seat: SeatState::default(),
            acks: AckState::default(),
            accepted: 0,
            started: None,
            sequence: 0,
            ticks: 0,
            last_tick: Instant::ZERO,
            watching: false,
            store_up: true,
            stopping: false,
            rollouts: rollouts::Controller::default(),
            date: None,
            wrote_rollouts: None,
        }
    }

    /// The configuration in force.
    pub fn held(&self) -> &Arc<Held> {
        &self.held
    }

    /// Takes in what happened and appends what to do to `fx`.
    pub fn handle(&mut self, now: Instant, input: Input<'_>, fx: &mut Vec<Effect>) {
        self.started.get_or_insert(now);
        match input {
            Input::Tick => self.tick(now, fx),
            Input::Peer { from, msg: PeerMsg::Member(msg) } => self.hear(now, from, msg, fx),
            Input::Peer { msg: PeerMsg::Rollout(msg), .. } => self.hear_rollout(msg),
            Input::Peer { .. } => {}
            Input::Root { root, asked } => self.see_store_root(now, root, asked, fx),
            Input::StoreFailed => self.see_store_failure(now, fx),
            Input::Chunks(chunks) => {
                self.see_store(true, fx);
                self.see_chunks(now, chunks, fx);
            }
            Input::PeerReply { from, reply } => self.see_reply(now, from, reply, fx),
            Input::Acks { root, acks } => self.see_acks(now, root, acks, fx),
            Input::AckFailed => self.acks.forget(),
            Input::Date(date) => self.date = Some((now, date)),
            Input::Stop => self.stop(now, fx),
        }
        debug_assert!(self.proof.is_none_or(|p| p <= now), "a proof lies in the past");
    }

    fn revision(&self) -> Revision {
        self.held.root.revision
    }

    fn tick(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.ticks += 1;
        self.tick_members(now, fx);
        self.last_tick = now;
        self.tick_store(now, fx);
        self.prove_by_echoes(now, fx);
        self.send_heartbeats(now, fx);
        self.tick_digests(now, fx);
        self.pass_news_on(now, fx);
        self.tick_seat(now, fx);
        self.tick_acks(now, fx);
        self.tick_acceptance(now, fx);
        self.advance_rollouts(now, fx);
    }

    fn stop(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.stopping = true;
        self.publish(now, fx);
        self.send_heartbeats(now, fx);
        self.send_digests(now, fx);
    }

    fn log(&self, kind: Kind, detail: impl Into<String>, fx: &mut Vec<Effect>) {
        fx.push(Effect::Log(Event::new(kind, detail)));
    }
}
