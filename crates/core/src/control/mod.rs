//! Control state of one host: configuration, membership and what follows from them.

mod configuration;
mod rollout;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    config::{ChunkHash, ConfigMsg, Root, chunk::Chunk},
    crash::CrashMsg,
    event::{Event, Kind},
    host::HostInfo,
    member::{Heard, Heartbeat, Members},
    once::OnceMsg,
    rate::RateMsg,
    rollout::{self as rollouts, RolloutMsg},
    route::RouteMsg,
    time::{Instant, UnixMillis},
    view::{LiveHost, View},
    world::World,
};

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// Membership.
    Heartbeat(Heartbeat),
    /// Configuration.
    Config(ConfigMsg),
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
    /// The root record was read; `version` is what a compare-and-swap must name.
    Root {
        /// The record.
        root: &'a Root,
        /// The store's version of it.
        version: u64,
        /// When the read was begun.
        asked: Instant,
    },
    /// A call to the store failed.
    StoreFailed,
    /// Chunks arrived.
    Chunks(&'a [Chunk]),
    /// Addresses of hosts from the platform's list.
    HostList(&'a [SocketAddr]),
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
    /// Fetch chunks from the store.
    FetchChunks(Vec<ChunkHash>),
    /// Replace the root record if the store still holds `version`.
    SwapRoot {
        /// The version that must still stand.
        version: u64,
        /// The new record.
        root: Root,
    },
    /// Hand a new view to the traffic threads.
    Publish(Arc<View>),
    /// Write a log event.
    Log(Event),
}

/// Control state of one host.
#[derive(Clone, Debug)]
pub struct Control {
    me: HostInfo,
    members: Members,
    root: Option<(Root, u64)>,
    pending: Option<(Root, u64)>,
    chunks: BTreeMap<ChunkHash, String>,
    world: Arc<World>,
    sequence: u64,
    last_tick: Instant,
    claimed: Option<u64>,
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
            members: Members::with_hints(seeds),
            root: None,
            pending: None,
            chunks: BTreeMap::new(),
            world: Arc::default(),
            sequence: 0,
            last_tick: Instant::ZERO,
            claimed: None,
            store_up: true,
            stopping: false,
            rollouts: rollouts::Controller::default(),
            date: None,
            wrote_rollouts: None,
        }
    }

    /// Takes in what happened and appends what to do to `fx`.
    pub fn handle(&mut self, now: Instant, input: Input<'_>, fx: &mut Vec<Effect>) {
        match input {
            Input::Tick => self.tick(now, fx),
            Input::Peer { from, msg } => self.hear(now, from, msg, fx),
            Input::Root { root, version, .. } => self.see_root(now, root, version, fx),
            Input::StoreFailed => self.see_store(false, fx),
            Input::Chunks(chunks) => self.see_chunks(now, chunks, fx),
            Input::HostList(addresses) => self.members.hints.extend(addresses),
            Input::Date(date) => self.date = Some((now, date)),
            Input::Stop => {
                self.stopping = true;
                self.publish(now, fx);
                self.tick(now, fx);
            }
        }
    }

    fn tick(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        for name in self.members.expire(now, self.last_tick) {
            fx.push(Effect::Log(Event::new(Kind::MemberSilent, name)));
            self.publish(now, fx);
        }
        self.last_tick = now;
        self.sequence += 1;
        let beat = Heartbeat {
            host: self.me.clone(),
            sequence: self.sequence,
            revision: self.root.as_ref().map_or(0, |(r, _)| r.revision),
            stopping: self.stopping,
            stamp: now,
            echo: None,
        };
        for to in self.members.targets(self.me.peer_address) {
            fx.push(Effect::Send { to, msg: PeerMsg::Heartbeat(beat.clone()) });
        }
        self.claim_seat(fx);
        self.advance_rollouts(now, fx);
    }

    fn hear(&mut self, now: Instant, _from: SocketAddr, msg: &PeerMsg, fx: &mut Vec<Effect>) {
        if let PeerMsg::Rollout(msg) = msg {
            self.hear_rollout(msg);
        }
        if let PeerMsg::Heartbeat(beat) = msg {
            match self.members.hear(now, beat) {
                Heard::Joined => {
                    fx.push(Effect::Log(Event::new(Kind::MemberJoined, &beat.host.name)));
                    self.publish(now, fx);
                }
                Heard::Changed => self.publish(now, fx),
                Heard::Same | Heard::Old => {}
            }
        }
    }

    fn publish(&self, now: Instant, fx: &mut Vec<Effect>) {
        let member_hosts = self.members.iter().filter(|m| m.is_live(now)).map(|m| {
            let taking = !m.last.stopping && !self.world.is_leaving(&m.last.host.name);
            live_host(&m.last.host, taking)
        });
        let taking = !self.stopping && !self.world.is_leaving(&self.me.name);
        let mut hosts: Vec<_> = member_hosts.chain([live_host(&self.me, taking)]).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        let view = View {
            me: self.me.clone(),
            revision: self.root.as_ref().map_or(0, |(r, _)| r.revision),
            world: Arc::clone(&self.world),
            seat: self.root.as_ref().and_then(|(r, _)| r.seat_of(&self.me)),
            seats: self.root.as_ref().map(|(r, _)| Arc::new(r.seats.clone())).unwrap_or_default(),
            // Acceptance is not followed yet: a change counts as accepted where it is in force.
            accepted: self.root.as_ref().map_or(0, |(r, _)| r.revision),
            hosts,
            rollouts: Arc::new(
                self.root.as_ref().map(|(r, _)| r.rollouts.clone()).unwrap_or_default(),
            ),
            stopping: self.stopping,
        };
        fx.push(Effect::Publish(Arc::new(view)));
    }
}

fn live_host(info: &HostInfo, taking: bool) -> LiveHost {
    LiveHost {
        name: info.name.clone(),
        domain: info.domain.clone(),
        caller_address: info.caller_address,
        peer_address: info.peer_address,
        incarnation: info.incarnation,
        taking,
    }
}
