//! Freshness of datagrams without synchronised clocks, by an exchange of nonces.
//!
//! Each host generates a nonce every [`NONCE_PERIOD`] and includes it in all frames that it sends.
//! A frame is accepted only if it echoes the receiver's current or previous nonce. A frame recorded
//! for another host, before the receiver started or more than two periods ago is therefore rejected
//! even with a valid MAC; within that time the replay window of the nonce accepts each frame once.
//! A frame that echoes no valid nonce is answered by a [`Datagram::Hello`] that carries the current
//! nonce and echoes the sender's.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use jasminestage_core::time::Instant;
use serde::{Deserialize, Serialize};

use crate::{
    frame::{Header, Nonce, WireError},
    replay::ReplayWindow,
};

/// Time after which a host replaces its nonce.
pub const NONCE_PERIOD: Duration = Duration::from_secs(10);
/// Time for which a sender uses a nonce that it received. Shorter than [`NONCE_PERIOD`], because
/// the receiver may replace its nonce at any moment and accepts the old one for one more period.
const PEER_NONCE_LIFETIME: Duration = Duration::from_secs(8);
/// Shortest time between two hellos to the same address.
const MIN_HELLO_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of addresses with state.
const MAX_PEERS: usize = 8192;
/// Largest number of messages queued for the nonce of one address.
const MAX_QUEUED: usize = 16;

/// Payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram<T> {
    /// Requests the receiver's nonce or delivers the sender's.
    Hello,
    /// A message.
    Msg(T),
}

/// What to send for a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendAction {
    /// The message, with this nonce of the receiver.
    SendNow(Nonce),
    /// A [`Datagram::Hello`] that requests the receiver's nonce. The message is queued for the
    /// nonce, or dropped if the queue is full.
    SendHello,
    /// Nothing: the receiver's nonce was requested a moment ago. The message is queued for the
    /// nonce, or dropped if the queue or the table of peers is full.
    Wait,
}

/// A nonce of this host and the replay window of the frames that echoed it.
#[derive(Clone, Debug)]
struct OwnNonce {
    nonce: Nonce,
    window: ReplayWindow,
}

/// State of an address.
#[derive(Clone, Debug)]
struct Peer<T> {
    nonce: Option<Nonce>,
    /// When the nonce was received or, without one, when the entry was created.
    updated_at: Instant,
    last_hello: Option<Instant>,
    queued: Vec<T>,
}

/// Nonces of this host and of its peers; `T` is a message queued for a peer's nonce.
#[derive(Clone, Debug)]
pub struct NonceExchange<T> {
    current: OwnNonce,
    previous: Option<OwnNonce>,
    rotated_at: Instant,
    peers: HashMap<SocketAddr, Peer<T>>,
}

impl<T> NonceExchange<T> {
    /// State of a host that has just started, with its first nonce.
    pub fn new(now: Instant, nonce: Nonce) -> Self {
        let current = OwnNonce { nonce, window: ReplayWindow::default() };
        NonceExchange { current, previous: None, rotated_at: now, peers: HashMap::new() }
    }

    /// The current nonce of this host.
    pub fn nonce(&self) -> Nonce {
        self.current.nonce
    }

    /// Replaces the current nonce by `generate()` if [`NONCE_PERIOD`] has passed.
    pub fn rotate(&mut self, now: Instant, generate: impl FnOnce() -> Nonce) {
        let age = now.saturating_since(self.rotated_at);
        if age < NONCE_PERIOD {
            return;
        }
        let next = OwnNonce { nonce: generate(), window: ReplayWindow::default() };
        let last = std::mem::replace(&mut self.current, next);
        // After a pause of two periods the replaced nonce has expired as well.
        self.previous = (age < NONCE_PERIOD * 2).then_some(last);
        self.rotated_at = now;
        self.peers.retain(|_, p| now.saturating_since(p.updated_at) < NONCE_PERIOD);
    }

    /// Returns what to send for `msg`, and queues `msg` if the receiver's nonce is not known.
    pub fn prepare_send(
        &mut self,
        now: Instant,
        to: SocketAddr,
        msg: impl FnOnce() -> T,
    ) -> SendAction {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&to) {
            self.peers.retain(|_, p| now.saturating_since(p.updated_at) < PEER_NONCE_LIFETIME);
            if self.peers.len() >= MAX_PEERS {
                return SendAction::Wait;
            }
        }
        let peer = self.peers.entry(to).or_insert_with(|| Peer::new(now));
        if let Some(nonce) = peer.nonce {
            if now.saturating_since(peer.updated_at) < PEER_NONCE_LIFETIME {
                return SendAction::SendNow(nonce);
            }
            *peer = Peer::new(now);
        }
        if peer.queued.len() < MAX_QUEUED {
            peer.queued.push(msg());
        }
        if peer.last_hello.is_some_and(|sent_at| now.saturating_since(sent_at) < MIN_HELLO_INTERVAL)
        {
            return SendAction::Wait;
        }
        peer.last_hello = Some(now);
        SendAction::SendHello
    }

    /// Accepts a frame once and stores its sender's nonce; returns the messages queued for it.
    pub fn accept(
        &mut self,
        now: Instant,
        from: SocketAddr,
        header: &Header,
    ) -> Result<Vec<T>, WireError> {
        let own_nonces = std::iter::once(&mut self.current).chain(&mut self.previous);
        let mut own_nonces = own_nonces.filter(|own| own.nonce == header.echo);
        let Some(matching) = own_nonces.next() else {
            return Err(WireError::StaleNonce { sender: header.sender });
        };
        matching.window.accept(header.sender, header.sequence)?;
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&from) {
            return Ok(Vec::new());
        }
        let peer = self.peers.entry(from).or_insert_with(|| Peer::new(now));
        peer.nonce = Some(header.nonce);
        peer.updated_at = now;
        Ok(std::mem::take(&mut peer.queued))
    }
}

impl<T> Peer<T> {
    fn new(now: Instant) -> Self {
        Peer { nonce: None, updated_at: now, last_hello: None, queued: Vec::new() }
    }
}
