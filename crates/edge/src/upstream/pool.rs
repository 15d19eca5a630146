//! Idle connections by server.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use jasminestage_core::time::Instant;
use jasminestage_daemon::clock;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Longest time until a connection is made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is not used, unless the server says how long it keeps it.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Part of the time named by the server for which an idle connection is used.
const USED_IDLE_PART: f64 = 0.7;
/// Time on an idle connection after which the kernel probes the other end, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle connections kept for one server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// An open connection; dropping it closes the socket at once.
pub struct Connection {
    /// Sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// How long the server keeps it when idle.
    pub keep_alive: Option<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Idle connections of one process.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection that has rested no longer than `max_idle`.
    pub fn take(&self, server: &str, max_idle: Duration) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(server)?;
        while let Some(entry) = list.pop() {
            let named = entry.connection.keep_alive.map(|k| k.mul_f64(USED_IDLE_PART));
            let limit = named.unwrap_or(MAX_IDLE).min(max_idle);
            let rested = now.saturating_since(entry.since);
            if rested <= limit && !entry.connection.sender.is_closed() {
                return Some(entry.connection);
            }
            if rested <= named.unwrap_or(MAX_IDLE) && !entry.connection.sender.is_closed() {
                // It is the one that has rested the shortest and may serve another request.
                list.push(entry);
                return None;
            }
        }
        None
    }

    /// Keeps a connection for later requests.
    pub fn keep(&self, server: &str, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(server.to_owned()).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push(Idle { connection, since: clock::now() });
        }
    }

    /// Closes connections that are too old, and those of servers that are gone.
    pub fn expire(&self, is_known: impl Fn(&str) -> bool) {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, list| {
            list.retain(|entry| {
                let named = entry.connection.keep_alive.map(|k| k.mul_f64(USED_IDLE_PART));
                let limit = named.unwrap_or(MAX_IDLE);
                !entry.connection.sender.is_closed() && now.saturating_since(entry.since) <= limit
            });
            !list.is_empty() && is_known(server)
        });
    }
}

/// Makes a connection.
pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket2::SockRef::from(&stream).set_tcp_keepalive(&probes)?;
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(e) = driver.await {
            tracing::debug!(error = %e, "A connection to a server ended.");
        }
    });
    Ok(Connection { sender, driver, keep_alive: None })
}
