//! The connections of one port.

use std::{cmp::Reverse, collections::HashMap, net::IpAddr, time::Duration};

use slotmap::{SlotMap, new_key_type};

use super::limits::{IntakeLimits, MIN_CONNECTIONS};
use crate::time::Instant;

/// Buffer of the HTTP library for a connection that has sent a request with a body.
const LIBRARY_BUFFER_BYTES: usize = 8 * 1024;
/// State of a request that is being handled, with the buffers of its connection to a server.
const REQUEST_BYTES: usize = 8 * 1024;
/// Bytes of a header section count twice, because a buffer doubles when it grows.
const HEAD_FACTOR: usize = 2;
/// Bytes that the system may keep for one direction of a connection, as a multiple of the buffer size
/// that it was given.
const SYSTEM_BUFFER_FACTOR: usize = 2;
/// Bytes read ahead from which the host may stop to read, so that the rest stays in the socket.
const READ_AHEAD_BYTES: usize = 8 * 1024;
/// Age from which a connection that sends or reads can be called slow. Younger ones are closed only
/// if no older one is left.
const MIN_SLOW_AGE: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a connection of one port.
    pub struct ConnectionKey;
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Activity {
    /// It has sent nothing since it was opened or since its last response.
    Idle,
    /// Part of a header section has arrived.
    Head,
    /// The body of a request is being read.
    Body,
    /// Its requests are being handled.
    Working,
    /// The client does not read what was written.
    Unread,
}

/// Why a connection is closed or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CloseReason {
    /// A header section took longer than its timeout.
    SlowHead,
    /// A body arrived more slowly than the minimum rate.
    SlowBody,
    /// The client did not read a response.
    Unread,
    /// The connection was idle when descriptors or memory were short.
    Idle,
    /// It was the slowest when descriptors or memory were short.
    Slowest,
    /// Its caller's address used most when descriptors or memory were short.
    Expensive,
    /// All connections were in use for requests, so a new one was refused.
    Refused,
}

impl CloseReason {
    /// Label of the metric and field of the log line.
    pub const fn label(self) -> &'static str {
        match self {
            CloseReason::SlowHead => "slow head",
            CloseReason::SlowBody => "slow body",
            CloseReason::Unread => "unread response",
            CloseReason::Idle => "idle",
            CloseReason::Slowest => "slowest",
            CloseReason::Expensive => "expensive",
            CloseReason::Refused => "refused",
        }
    }
}

/// Limits below which a client is too slow even when nothing is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowLimits {
    /// Maximum time for which part of a header section waits for the rest.
    pub header_timeout: Duration,
    /// Time after which a body must have arrived at the minimum rate.
    pub body_grace: Duration,
    /// Minimum average rate of a body, in bytes per second.
    pub min_body_rate: u64,
    /// Maximum time for which a client takes nothing of a response. The system reports progress in
    /// steps of a third of the socket's buffer.
    pub unread_timeout: Duration,
}

impl Default for SlowLimits {
    fn default() -> Self {
        SlowLimits {
            header_timeout: Duration::from_secs(3),
            body_grace: Duration::from_secs(10),
            min_body_rate: 1024,
            unread_timeout: Duration::from_secs(15),
        }
    }
}

#[derive(Clone, Debug)]
struct Connection {
    caller: IpAddr,
    /// Whether it has sent a request.
    has_requested: bool,
    /// Requests that are being handled.
    running: u32,
    /// Whether the body of a request is being read.
    reads_body: bool,
    /// Announced or received bytes of that body, whichever is more.
    body_bytes: u64,
    received_body_bytes: u64,
    /// Bytes that belong to no request yet.
    head_bytes: usize,
    is_unread: bool,
    /// Bytes of a response that waits to be sent, if no other limit counts them.
    queued_bytes: usize,
    uses_library: bool,
    activity: Activity,
    /// Start of the activity.
    since: Instant,
    /// Start of the activity, or time at which bytes of it arrived last.
    last_moved_at: Instant,
    held_bytes: usize,
}

impl Connection {
    fn current_activity(&self) -> Activity {
        match self {
            c if c.is_unread => Activity::Unread,
            c if c.reads_body => Activity::Body,
            c if c.running > 0 => Activity::Working,
            c if c.head_bytes > 0 => Activity::Head,
            _ => Activity::Idle,
        }
    }

    /// Upper bound of the memory that the connection holds in the process and in its socket, without
    /// bodies, which have their own limits.
    fn bytes_held(&self, socket_buffer_bytes: usize) -> usize {
        let library = if self.uses_library { LIBRARY_BUFFER_BYTES } else { 0 };
        let direction = SYSTEM_BUFFER_FACTOR * socket_buffer_bytes;
        let body = usize::try_from(self.body_bytes).unwrap_or(usize::MAX);
        let socket = match self.activity {
            Activity::Unread => 2 * direction,
            _ if self.head_bytes >= READ_AHEAD_BYTES => direction,
            Activity::Body => body.min(direction),
            Activity::Idle | Activity::Head | Activity::Working => 0,
        };
        let requests = usize::try_from(self.running).unwrap_or(usize::MAX) * REQUEST_BYTES;
        library + requests + self.queued_bytes + self.head_bytes * HEAD_FACTOR + socket
    }

    /// Bytes per second that have arrived in the activity.
    fn average_rate(&self, now: Instant) -> u64 {
        let moved = match self.activity {
            Activity::Body => self.received_body_bytes,
            Activity::Head => self.head_bytes as u64,
            Activity::Idle | Activity::Working | Activity::Unread => 0,
        };
        let millis =
            u64::try_from(now.saturating_since(self.since).as_millis()).unwrap_or(u64::MAX);
        moved.saturating_mul(1000) / millis.max(1)
    }

    fn has_stalled(&self, now: Instant, time: Duration) -> bool {
        now.saturating_since(self.last_moved_at) >= time
    }

    /// The rate by which connections are compared. One that has stopped half-way counts as the slowest.
    fn recent_rate(&self, now: Instant) -> u64 {
        if self.has_stalled(now, MIN_SLOW_AGE) { 0 } else { self.average_rate(now) }
    }

    fn slow_reason(&self, now: Instant, limits: &SlowLimits) -> Option<CloseReason> {
        let age = now.saturating_since(self.since);
        match self.activity {
            Activity::Head if age > limits.header_timeout => Some(CloseReason::SlowHead),
            Activity::Body
                if age > limits.body_grace
                    && (self.average_rate(now) < limits.min_body_rate
                        || self.has_stalled(now, limits.body_grace)) =>
            {
                Some(CloseReason::SlowBody)
            }
            Activity::Unread if age > limits.unread_timeout => Some(CloseReason::Unread),
            _ => None,
        }
    }
}

/// A connection to close, and why.
pub type Closing = (ConnectionKey, CloseReason);

/// The connections of one port and their use of its limits.
#[derive(Clone, Debug)]
pub struct Intake {
    limits: IntakeLimits,
    connections: SlotMap<ConnectionKey, Connection>,
    held_bytes: usize,
}

impl Intake {
    /// A port without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Intake { limits, connections: SlotMap::with_key(), held_bytes: 0 }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Upper bound of the bytes that all connections hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// What a connection does; `None` if it has ended.
    pub fn activity(&self, key: ConnectionKey) -> Option<Activity> {
        self.connections.get(key).map(|c| c.activity)
    }

    /// Adds a new connection, unless all others are in use for requests. The returned connection has
    /// to be closed for it and no longer counts. `lent` connections are in use elsewhere.
    pub fn admit(
        &mut self,
        now: Instant,
        caller: IpAddr,
        lent: usize,
    ) -> (Option<ConnectionKey>, Option<Closing>) {
        let mut closing = None;
        if !self.has_room(lent) {
            closing = self.close_one(now, |_| true);
            if closing.is_none() {
                return (None, None);
            }
        }
        let connection = Connection {
            caller,
            has_requested: false,
            running: 0,
            reads_body: false,
            body_bytes: 0,
            received_body_bytes: 0,
            head_bytes: 0,
            is_unread: false,
            queued_bytes: 0,
            uses_library: false,
            activity: Activity::Idle,
            since: now,
            last_moved_at: now,
            held_bytes: 0,
        };
        (Some(self.connections.insert(connection)), closing)
    }

    /// Whether a new connection fits while `lent` ones are in use elsewhere.
    pub fn has_room(&self, lent: usize) -> bool {
        let max = self.limits.max_connections.saturating_sub(lent).max(MIN_CONNECTIONS);
        self.connections.len() < max.min(self.limits.max_connections)
    }

    /// Frees one descriptor, after the system has refused one. The returned connection has to be
    /// closed and no longer counts.
    pub fn free_descriptor(&mut self, now: Instant) -> Option<Closing> {
        self.close_one(now, |_| true)
    }

    /// Closes an idle connection for the descriptor that a request needs. The returned connection has to
    /// be closed and no longer counts.
    pub fn free_idle(&mut self, now: Instant) -> Option<Closing> {
        self.close_one(now, |c| c.activity == Activity::Idle)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.held_bytes -= connection.held_bytes;
        }
    }

    /// Bytes have arrived on a connection.
    pub fn received(&mut self, now: Instant, key: ConnectionKey, bytes: usize) {
        self.update(now, key, |c| {
            if c.activity != Activity::Unread {
                c.last_moved_at = now;
            }
            if c.reads_body {
                c.received_body_bytes += bytes as u64;
                c.body_bytes = c.body_bytes.max(c.received_body_bytes);
            } else {
                c.head_bytes += bytes;
            }
        });
    }

    /// Sets the bytes of a connection that have arrived and belong to no request yet.
    pub fn set_head_bytes(&mut self, now: Instant, key: ConnectionKey, bytes: usize) {
        self.update(now, key, |c| c.head_bytes = bytes);
    }

    /// Whether the HTTP library reads the connection from now on.
    pub fn set_uses_library(&mut self, now: Instant, key: ConnectionKey, uses_library: bool) {
        self.update(now, key, |c| c.uses_library = uses_library);
    }

    /// Number of requests of a connection that are being handled.
    pub fn running_requests(&self, key: ConnectionKey) -> usize {
        let running = self.connections.get(key).map_or(0, |c| c.running);
        usize::try_from(running).unwrap_or(usize::MAX)
    }

    /// A header section is complete and its request is being handled.
    pub fn request_started(&mut self, now: Instant, key: ConnectionKey) {
        self.update(now, key, |c| {
            c.running += 1;
            c.head_bytes = 0;
            c.has_requested = true;
        });
    }

    /// The response to a request is ready to be written.
    pub fn request_ended(&mut self, now: Instant, key: ConnectionKey) {
        self.update(now, key, |c| {
            c.running = c.running.saturating_sub(1);
            c.reads_body = false;
        });
    }

    /// The body of the request that is being handled is read from now on.
    pub fn body_started(&mut self, now: Instant, key: ConnectionKey, announced_bytes: u64) {
        self.update(now, key, |c| {
            c.reads_body = true;
            c.body_bytes = announced_bytes;
            c.received_body_bytes = 0;
        });
    }

    /// The body has been read, or its request was refused.
    pub fn body_ended(&mut self, now: Instant, key: ConnectionKey) {
        self.update(now, key, |c| {
            c.reads_body = false;
            c.body_bytes = 0;
        });
    }

    /// Whether the client does not take what is written to it. Each report of progress ends and starts
    /// the time for which it has taken nothing.
    pub fn set_unread(&mut self, now: Instant, key: ConnectionKey, is_unread: bool) {
        self.update(now, key, |c| c.is_unread = is_unread);
    }

    /// Sets the bytes of a response that waits to be sent and that no other limit counts.
    pub fn set_queued_bytes(&mut self, now: Instant, key: ConnectionKey, bytes: usize) {
        self.update(now, key, |c| c.queued_bytes = bytes);
    }

    /// Returns connections that have to be closed because the memory for connections is short; they no
    /// longer count. A connection that alone holds more than the limit stays.
    pub fn free_memory(&mut self, now: Instant) -> Vec<Closing> {
        let mut closings = Vec::new();
        let holds_alone =
            |s: &Self| s.connections.values().filter(|c| c.held_bytes > 0).count() < 2;
        while self.held_bytes > self.limits.max_bytes && !holds_alone(self) {
            match self.close_one(now, |c| c.held_bytes > 0) {
                Some(closing) => closings.push(closing),
                None => break,
            }
        }
        closings
    }

    /// Returns the connections of an activity that nothing has moved on for some time, because other
    /// bodies need the memory that theirs use. They no longer count.
    pub fn free_stalled(
        &mut self,
        now: Instant,
        activity: Activity,
        time: Duration,
    ) -> Vec<Closing> {
        let is_stalled = |c: &Connection| c.activity == activity && c.has_stalled(now, time);
        self.close_all(|c| is_stalled(c).then_some(CloseReason::Slowest))
    }

    /// Returns the connections that are too slow; they no longer count.
    pub fn close_slow(&mut self, now: Instant, limits: &SlowLimits) -> Vec<Closing> {
        self.close_all(|c| c.slow_reason(now, limits))
    }

    fn update(&mut self, now: Instant, key: ConnectionKey, change: impl FnOnce(&mut Connection)) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        change(connection);
        let activity = connection.current_activity();
        if activity != connection.activity {
            connection.activity = activity;
            (connection.since, connection.last_moved_at) = (now, now);
        }
        let held_bytes = connection.bytes_held(self.limits.socket_buffer_bytes);
        self.held_bytes = self.held_bytes - connection.held_bytes + held_bytes;
        connection.held_bytes = held_bytes;
    }

    fn close_all(&mut self, reason: impl Fn(&Connection) -> Option<CloseReason>) -> Vec<Closing> {
        let closings: Vec<Closing> =
            self.connections.iter().filter_map(|(key, c)| Some((key, reason(c)?))).collect();
        for (key, _) in &closings {
            self.remove(*key);
        }
        closings
    }

    /// Closes one of the connections that `frees` what is short: idle ones first, then the slowest,
    /// then one of the address that uses most. Connections whose requests are being handled stay, except
    /// those that have sent many more requests ahead, if no other is left.
    fn close_one(&mut self, now: Instant, frees: impl Fn(&Connection) -> bool) -> Option<Closing> {
        let candidates = || {
            let all = self.connections.iter();
            all.filter(|(_, c)| c.activity != Activity::Working && frees(c))
        };
        let idle =
            candidates().filter(|(_, c)| c.activity == Activity::Idle).min_by_key(|(_, c)| {
                // The first request of a connection that was just accepted may be in its socket.
                let is_new = !c.has_requested && now.saturating_since(c.since) < MIN_SLOW_AGE;
                (is_new, c.has_requested, c.since)
            });
        let slowest = || {
            candidates()
                .filter(|(_, c)| now.saturating_since(c.since) >= MIN_SLOW_AGE)
                .min_by_key(|(_, c)| (c.recent_rate(now), c.since))
        };
        let expensive = |activity_matches: fn(&Connection) -> bool| {
            let mut uses: HashMap<IpAddr, (usize, usize)> = HashMap::new();
            for (_, c) in &self.connections {
                let (bytes, connections) = uses.entry(c.caller).or_default();
                *bytes += c.held_bytes;
                *connections += 1;
            }
            let all = self.connections.iter().filter(|(_, c)| activity_matches(c) && frees(c));
            let costliest = all.max_by_key(|(_, c)| {
                let (bytes, connections) = uses.get(&c.caller).copied().unwrap_or_default();
                (bytes, connections, Reverse(c.since))
            });
            costliest.map(|(key, _)| key)
        };
        let is_not_working = |c: &Connection| c.activity != Activity::Working;
        let sends_far_ahead = |c: &Connection| c.head_bytes >= READ_AHEAD_BYTES;
        let (key, reason) = if let Some((key, _)) = idle {
            (key, CloseReason::Idle)
        } else if let Some((key, _)) = slowest() {
            (key, CloseReason::Slowest)
        } else {
            let key = expensive(is_not_working).or_else(|| expensive(sends_far_ahead))?;
            (key, CloseReason::Expensive)
        };
        self.remove(key);
        Some((key, reason))
    }
}
