//! The connections of one port: which one is closed to make room, and which ones are too slow.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::time::Instant;

/// Limits on the connections of one port.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Most connections at a time.
    pub max_connections: usize,
    /// Most bytes of heads that are incomplete, of all connections together.
    pub max_head_bytes: u64,
    /// Most bytes of responses that clients have not taken, of all connections together.
    pub max_unsent_bytes: u64,
    /// Lowest rate of transfers.
    pub rate: TransferRate,
}

/// Lowest rate of a transfer. It applies to each of the windows that follow each other, so that a
/// transfer which begins fast and then stops does not last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferRate {
    /// Length of a window.
    pub window: Duration,
    /// Bytes per second.
    pub min_bytes_per_s: u64,
}

impl TransferRate {
    /// Fewest bytes in a window.
    pub fn min_window_bytes(&self) -> u64 {
        (self.window.as_secs_f64() * self.min_bytes_per_s as f64) as u64
    }
}

/// Time without a byte after which a transfer counts as stalled when memory is short.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Number of a connection, which tells it from later ones of the same client address.
pub type ConnectionId = u64;

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Admitted(ConnectionId),
    /// It is admitted if this connection is closed.
    Replaces(ConnectionId, SocketAddr),
    /// It is refused, as a request runs on every connection.
    Refused,
}

/// What a connection does. In ascending order of the harm that closing it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No complete head of a request has arrived since the last response.
    Idle,
    /// The body of a request arrives, or a response is sent.
    Transferring,
    /// The request runs.
    Working,
}

#[derive(Clone, Debug)]
struct Connection {
    id: ConnectionId,
    phase: Phase,
    /// Whether the client has authenticated itself.
    is_trusted: bool,
    /// Bytes of the head that arrives, and when its first byte arrived.
    head_bytes: u64,
    head_started: Instant,
    last_active: Instant,
    /// Start of the transfer in progress.
    transfer_started: Instant,
    /// Bytes of the transfer in progress.
    transferred: u64,
    /// Start of the present window of the transfer, and bytes in it.
    window_started: Instant,
    window_bytes: u64,
    /// Bytes of responses that were queued and sent since all were sent.
    queued: u64,
    sent: u64,
}

impl Connection {
    fn unsent(&self) -> u64 {
        self.queued.saturating_sub(self.sent)
    }

    fn start_transfer(&mut self, now: Instant) {
        self.transfer_started = now;
        self.transferred = 0;
        self.window_started = now;
        self.window_bytes = 0;
    }

    fn record_transfer(&mut self, now: Instant, bytes: u64) {
        self.last_active = now;
        self.transferred += bytes;
        self.window_bytes += bytes;
    }

    /// Bytes per second of the transfer in progress.
    fn rate(&self, now: Instant) -> u64 {
        let millis = now.saturating_since(self.transfer_started).as_millis().max(1) as u64;
        self.transferred.saturating_mul(1000) / millis
    }
}

/// The connections of one port by the address of the client.
#[derive(Clone, Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    open: BTreeMap<SocketAddr, Connection>,
    last_id: ConnectionId,
    /// Bytes of incomplete heads of all connections.
    head_bytes: u64,
}

impl Connections {
    /// A port without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Connections { limits, open: BTreeMap::new(), last_id: 0, head_bytes: 0 }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Admits a connection. If there are too many, another one is closed for it: idle ones first, then
    /// the slowest; among equals one of the address with the most connections. Those of clients that
    /// have authenticated themselves come last in each group. One on which a request runs is kept.
    pub fn open(&mut self, now: Instant, client: SocketAddr) -> Admission {
        let replaced = if self.open.len() < self.limits.max_connections {
            None
        } else {
            match self.least_useful(now) {
                Some(replaced) => Some(replaced),
                None => return Admission::Refused,
            }
        };
        if let Some(replaced) = replaced {
            self.remove(replaced);
        }
        self.last_id += 1;
        let connection = Connection {
            id: self.last_id,
            phase: Phase::Idle,
            is_trusted: false,
            head_bytes: 0,
            head_started: now,
            last_active: now,
            transfer_started: now,
            transferred: 0,
            window_started: now,
            window_bytes: 0,
            queued: 0,
            sent: 0,
        };
        // A client may reuse its port before the end of the earlier connection was noticed.
        self.remove(client);
        self.open.insert(client, connection);
        match replaced {
            Some(replaced) => Admission::Replaces(self.last_id, replaced),
            None => Admission::Admitted(self.last_id),
        }
    }

    fn least_useful(&self, now: Instant) -> Option<SocketAddr> {
        let mut per_address: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for client in self.open.keys() {
            *per_address.entry(client.ip()).or_default() += 1;
        }
        let closable = self.open.iter().filter(|(_, c)| c.phase != Phase::Working);
        let by_use = closable.min_by_key(|(client, c)| {
            let rate = if c.phase == Phase::Transferring { c.rate(now) } else { 0 };
            let count = per_address.get(&client.ip()).copied().unwrap_or_default();
            (c.phase, c.is_trusted, rate, Reverse(count), c.last_active)
        });
        by_use.map(|(client, _)| *client)
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, client: SocketAddr, id: ConnectionId) {
        if self.open.get(&client).is_some_and(|c| c.id == id) {
            self.remove(client);
        }
    }

    fn remove(&mut self, client: SocketAddr) {
        if let Some(removed) = self.open.remove(&client) {
            self.head_bytes -= removed.head_bytes;
        }
    }

    /// Records bytes from a client. Returns the connection to close if too many bytes of incomplete heads
    /// have arrived: the one whose head takes the longest.
    pub fn record_received(
        &mut self,
        now: Instant,
        client: SocketAddr,
        bytes: u64,
    ) -> Option<SocketAddr> {
        let connection = self.open.get_mut(&client)?;
        connection.record_transfer(now, bytes);
        if connection.phase != Phase::Idle {
            return None;
        }
        if connection.head_bytes == 0 {
            connection.head_started = now;
        }
        connection.head_bytes += bytes;
        self.head_bytes += bytes;
        if self.head_bytes <= self.limits.max_head_bytes {
            return None;
        }
        let with_head = self.open.iter().filter(|(_, c)| c.head_bytes > 0);
        let slowest = with_head.min_by_key(|(_, c)| c.head_started).map(|(client, _)| *client)?;
        self.remove(slowest);
        Some(slowest)
    }

    /// Records bytes that a client has taken.
    pub fn record_sent(&mut self, now: Instant, client: SocketAddr, bytes: u64) {
        let Some(connection) = self.open.get_mut(&client) else { return };
        connection.record_transfer(now, bytes);
        connection.sent += bytes;
        if connection.unsent() == 0 {
            connection.queued = 0;
            connection.sent = 0;
            if connection.phase == Phase::Transferring {
                connection.phase = Phase::Idle;
            }
        }
    }

    /// Records that a client has authenticated itself.
    pub fn trust(&mut self, client: SocketAddr) {
        if let Some(connection) = self.open.get_mut(&client) {
            connection.is_trusted = true;
        }
    }

    /// Records that the head of a request has arrived and its body follows.
    pub fn begin_request(&mut self, now: Instant, client: SocketAddr) {
        if let Some(connection) = self.open.get_mut(&client) {
            connection.phase = Phase::Transferring;
            self.head_bytes -= std::mem::take(&mut connection.head_bytes);
            connection.start_transfer(now);
        }
    }

    /// Records that a request has arrived and runs.
    pub fn begin_work(&mut self, client: SocketAddr) {
        if let Some(connection) = self.open.get_mut(&client) {
            connection.phase = Phase::Working;
        }
    }

    /// Records a response of `bytes`. Returns the connection to close if too many bytes of responses
    /// wait: the slowest of those that send one.
    pub fn begin_response(
        &mut self,
        now: Instant,
        client: SocketAddr,
        bytes: u64,
    ) -> Option<SocketAddr> {
        let connection = self.open.get_mut(&client)?;
        connection.queued += bytes;
        connection.start_transfer(now);
        connection.phase = if connection.unsent() > 0 { Phase::Transferring } else { Phase::Idle };
        let unsent: u64 = self.open.values().map(Connection::unsent).sum();
        if unsent <= self.limits.max_unsent_bytes {
            return None;
        }
        let sending = self.open.iter().filter(|(_, c)| c.unsent() > 0);
        let others = sending.filter(|(_, c)| c.phase != Phase::Working);
        // The rate of a response that has just begun says nothing.
        let is_new = |c: &Connection| now.saturating_since(c.transfer_started) < STALL_TIME;
        let slowest = others.min_by_key(|(_, c)| (is_new(c), c.rate(now)));
        let slowest = slowest.map(|(client, _)| *client)?;
        self.remove(slowest);
        Some(slowest)
    }

    /// Removes and returns the connections whose clients take a response too slowly.
    pub fn remove_overdue(&mut self, now: Instant) -> Vec<SocketAddr> {
        let rate = self.limits.rate;
        let is_overdue = |c: &mut Connection| {
            let is_sending = c.unsent() > 0 && c.phase == Phase::Transferring;
            if !is_sending || now.saturating_since(c.window_started) < rate.window {
                return false;
            }
            let is_slow = c.window_bytes < rate.min_window_bytes();
            c.window_started = now;
            c.window_bytes = 0;
            is_slow
        };
        let overdue: Vec<SocketAddr> = self
            .open
            .iter_mut()
            .filter_map(|(client, c)| is_overdue(c).then_some(*client))
            .collect();
        overdue.iter().for_each(|client| self.remove(*client));
        overdue
    }

    /// Removes and returns the connection that has been silent for the longest time while a body is to
    /// arrive, if one is stalled. Called when the memory for bodies is short.
    pub fn remove_stalled(&mut self, now: Instant) -> Option<SocketAddr> {
        let receiving =
            self.open.iter().filter(|(_, c)| c.phase == Phase::Transferring && c.unsent() == 0);
        let stalled = receiving.filter(|(_, c)| now.saturating_since(c.last_active) > STALL_TIME);
        let client = stalled.min_by_key(|(_, c)| c.last_active).map(|(client, _)| *client)?;
        self.remove(client);
        Some(client)
    }
}
