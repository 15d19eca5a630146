//! Pool of idle connections to servers.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use jasminestage_core::time::Instant;
use jasminestage_net::{Connection, clock};

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is no longer used, unless the server specifies a keep-alive
/// time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// The same for requests that must run at most once. It is shorter because such a request cannot be
/// retried when the server closes the connection while the request is being sent.
const AT_MOST_ONCE_MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Fraction of the server's keep-alive time for which an idle connection is used.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Time after the loss of a reused connection in which requests that must run at most once use only
/// new connections: a device on the path may have dropped the state of all idle connections.
const REUSE_BLOCK_AFTER_LOSS: Duration = Duration::from_secs(10);
/// Maximum number of idle connections per server.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 8;

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// Time for which the server keeps the connection open, if it specified one.
    keep_alive: Option<Duration>,
}

impl IdleConnection {
    /// Whether the connection is open and has not been idle too long; `limit` applies if the server
    /// specified no keep-alive time.
    fn is_usable(&self, now: Instant, limit: Duration) -> bool {
        let keep_alive_limit = self.keep_alive.map(|k| k.mul_f64(KEEP_ALIVE_FRACTION));
        let idle_time = now.saturating_since(self.idle_since);
        idle_time <= keep_alive_limit.unwrap_or(limit) && !self.connection.sender.is_closed()
    }
}

/// Pool of idle connections to all servers.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
    reuse_blocked_until: Mutex<Option<Instant>>,
}

impl Pool {
    /// Takes the newest idle connection to a server that is safe to use for the request.
    pub fn take(&self, server: &str, at_most_once: bool) -> Option<Connection> {
        if at_most_once && !self.allows_at_most_once_reuse() {
            return None;
        }
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(server)?;
        connections.retain(|entry| entry.is_usable(now, MAX_IDLE_TIME));
        let newest = connections.pop()?;
        if at_most_once && !newest.is_usable(now, AT_MOST_ONCE_MAX_IDLE_TIME) {
            connections.push(newest);
            return None;
        }
        Some(newest.connection)
    }

    /// Stops the reuse of connections for requests that must run at most once for a while; called
    /// when a reused connection was lost during a request.
    pub fn block_at_most_once_reuse(&self) {
        let until = clock::now() + REUSE_BLOCK_AFTER_LOSS;
        *self.reuse_blocked_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    /// Whether requests that must run at most once may reuse connections.
    fn allows_at_most_once_reuse(&self) -> bool {
        let until = *self.reuse_blocked_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.is_none_or(|until| until <= clock::now())
    }

    /// Returns a connection to the pool; `keep_alive` is the time for which the server keeps it
    /// open.
    pub fn keep(&self, server: &str, connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(server.to_owned()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS_PER_SERVER {
            connections.push(IdleConnection { connection, idle_since: clock::now(), keep_alive });
        }
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.values().map(Vec::len).sum()
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes an idle connection to any server; returns whether there was one.
    pub fn close_one(&self) -> bool {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].idle_since);
        oldest.is_some_and(|connections| {
            connections.remove(0);
            true
        })
    }

    /// Closes connections that were idle too long and connections to servers that are not known.
    pub fn expire(&self, is_known: impl Fn(&str) -> bool) {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, connections| {
            connections.retain(|entry| entry.is_usable(now, MAX_IDLE_TIME));
            !connections.is_empty() && is_known(server)
        });
    }
}

/// Connects to a server.
pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
    Connection::open(address, CONNECT_TIMEOUT).await
}
