//! Freshness of datagrams without synchronised clocks.
//!
//! Each host draws a nonce every [`NONCE_PERIOD`] and puts it into all frames that it sends. A
//! frame counts only if it echoes the receiver's present nonce or the one before, so that a frame
//! recorded for another host, before the receiver's start or more than two periods ago is rejected
//! whatever its keyed hash; within that time the sliding window of the nonce lets each frame count
//! once. The sender of a frame that echoes no good nonce is told the present one with a
//! [`Datagram::Hello`] that echoes the sender's.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use jasminestage_core::time::Instant;
use serde::{Deserialize, Serialize};

use crate::{
    replay::ReplayWindow,
    seal::{Header, Nonce, WireError},
};

/// Time for which a host hands out the same nonce.
pub const NONCE_PERIOD: Duration = Duration::from_secs(10);
/// Time for which a sender uses a nonce that it has learned: less than a period, since the
/// receiver may draw the next one at any moment and then accepts the former for one period.
const USE_LIMIT: Duration = Duration::from_secs(8);
/// Shortest time between two greetings of the same address.
const HELLO_PERIOD: Duration = Duration::from_millis(100);
/// Addresses that are remembered.
const MAX_PEERS: usize = 8192;
/// Messages that wait for the nonce of one address.
const MAX_WAITING: usize = 16;

/// What a datagram carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram<T> {
    /// Asks for the receiver's nonce or tells the sender's.
    Hello,
    /// A message.
    Msg(T),
}

/// How to send a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outgoing {
    /// Now, with this nonce of the receiver.
    Now(Nonce),
    /// The message waits for the receiver's nonce; ask for it.
    Hello,
    /// The message waits for the receiver's nonce, which was asked for lately.
    Wait,
}

/// A nonce of this host and the frames that echoed it.
#[derive(Clone, Debug)]
struct Generation {
    nonce: Nonce,
    window: ReplayWindow,
}

/// What is known of an address.
#[derive(Clone, Debug)]
struct Peer<T> {
    nonce: Option<Nonce>,
    /// When the nonce was learned or, without one, when the address was first written to.
    at: Instant,
    greeted: Option<Instant>,
    waiting: Vec<T>,
}

/// Nonces of this host and of those that it speaks to; `T` is a message that may wait.
#[derive(Clone, Debug)]
pub struct Links<T> {
    current: Generation,
    previous: Option<Generation>,
    drawn: Instant,
    peers: HashMap<SocketAddr, Peer<T>>,
}

impl<T> Links<T> {
    /// The state of a host that has just started, with its first nonce.
    pub fn new(now: Instant, nonce: Nonce) -> Self {
        let current = Generation { nonce, window: ReplayWindow::default() };
        Links { current, previous: None, drawn: now, peers: HashMap::new() }
    }

    /// The present nonce of this host.
    pub fn nonce(&self) -> Nonce {
        self.current.nonce
    }

    /// Takes `draw()` as the present nonce when a period has passed.
    pub fn rotate(&mut self, now: Instant, draw: impl FnOnce() -> Nonce) {
        let age = now.saturating_since(self.drawn);
        if age < NONCE_PERIOD {
            return;
        }
        let next = Generation { nonce: draw(), window: ReplayWindow::default() };
        let last = std::mem::replace(&mut self.current, next);
        // After a pause of two periods no earlier nonce is good any more.
        self.previous = (age < NONCE_PERIOD * 2).then_some(last);
        self.drawn = now;
        self.peers.retain(|_, p| now.saturating_since(p.at) < NONCE_PERIOD);
    }

    /// How to send `msg` to an address; the message is kept when it has to wait.
    pub fn send(&mut self, now: Instant, to: SocketAddr, msg: impl FnOnce() -> T) -> Outgoing {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&to) {
            self.peers.retain(|_, p| now.saturating_since(p.at) < USE_LIMIT);
            if self.peers.len() >= MAX_PEERS {
                return Outgoing::Wait;
            }
        }
        let peer = self.peers.entry(to).or_insert_with(|| Peer::new(now));
        if let Some(nonce) = peer.nonce {
            if now.saturating_since(peer.at) < USE_LIMIT {
                return Outgoing::Now(nonce);
            }
            *peer = Peer::new(now);
        }
        if peer.waiting.len() < MAX_WAITING {
            peer.waiting.push(msg());
        }
        if peer.greeted.is_some_and(|at| now.saturating_since(at) < HELLO_PERIOD) {
            return Outgoing::Wait;
        }
        peer.greeted = Some(now);
        Outgoing::Hello
    }

    /// Accepts a frame once and learns its sender's nonce; returns what has waited for that.
    pub fn accept(
        &mut self,
        now: Instant,
        from: SocketAddr,
        header: &Header,
    ) -> Result<Vec<T>, WireError> {
        let generations = std::iter::once(&mut self.current).chain(&mut self.previous);
        let mut generations = generations.filter(|g| g.nonce == header.echo);
        let Some(generation) = generations.next() else {
            return Err(WireError::Stale { sender: header.sender });
        };
        generation.window.accept(header.sender, header.sequence)?;
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&from) {
            return Ok(Vec::new());
        }
        let peer = self.peers.entry(from).or_insert_with(|| Peer::new(now));
        peer.nonce = Some(header.nonce);
        peer.at = now;
        Ok(std::mem::take(&mut peer.waiting))
    }
}

impl<T> Peer<T> {
    fn new(now: Instant) -> Self {
        Peer { nonce: None, at: now, greeted: None, waiting: Vec::new() }
    }
}
