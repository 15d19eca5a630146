//! Idle connections by server.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use jasminestage_core::time::Instant;
use jasminestage_net::{Connection, clock};

/// Longest time until a connection is made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is not used, unless the server says how long it keeps it.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// The same for requests that must run at most once: the server may close it at that moment.
const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::from_secs(2);
/// Part of the time named by the server for which an idle connection is used.
const USED_IDLE_PART: f64 = 0.7;
/// Time for which no used connection carries a request that must run at most once after one was
/// lost: something may have forgotten idle connections.
const DISTRUST: Duration = Duration::from_secs(10);
/// Idle connections kept for one server.
const MAX_IDLE_CONNECTIONS: usize = 8;

struct Idle {
    connection: Connection,
    since: Instant,
    /// How long the server keeps it.
    keep_alive: Option<Duration>,
}

impl Idle {
    /// Whether it is open and has not rested too long; `limit` holds where the server names no time.
    fn is_usable(&self, now: Instant, limit: Duration) -> bool {
        let named = self.keep_alive.map(|k| k.mul_f64(USED_IDLE_PART));
        let rested = now.saturating_since(self.since);
        rested <= named.unwrap_or(limit) && !self.connection.sender.is_closed()
    }
}

/// Idle connections of one process.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
    distrusted_until: Mutex<Option<Instant>>,
}

impl Pool {
    /// Takes an idle connection that may carry the request.
    pub fn take(&self, server: &str, at_most_once: bool) -> Option<Connection> {
        if at_most_once && !self.is_trusted() {
            return None;
        }
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(server)?;
        list.retain(|entry| entry.is_usable(now, MAX_IDLE));
        let newest = list.pop()?;
        if at_most_once && !newest.is_usable(now, AT_MOST_ONCE_MAX_IDLE) {
            list.push(newest);
            return None;
        }
        Some(newest.connection)
    }

    /// Notes that a used connection was lost in the middle of a request.
    pub fn distrust(&self) {
        let until = clock::now() + DISTRUST;
        *self.distrusted_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    /// Whether used connections may carry requests that must run at most once.
    fn is_trusted(&self) -> bool {
        let until = *self.distrusted_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.is_none_or(|until| until <= clock::now())
    }

    /// Keeps a connection for later requests; the server may have said for how long it does so.
    pub fn keep(&self, server: &str, connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(server.to_owned()).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push(Idle { connection, since: clock::now(), keep_alive });
        }
    }

    /// Closes connections that are too old, and those of servers that are gone.
    pub fn expire(&self, is_known: impl Fn(&str) -> bool) {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, list| {
            list.retain(|entry| entry.is_usable(now, MAX_IDLE));
            !list.is_empty() && is_known(server)
        });
    }
}

/// Connects to a server.
pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
    Connection::open(address, CONNECT_TIMEOUT).await
}
