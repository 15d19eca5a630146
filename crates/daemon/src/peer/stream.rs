//! Calls between hosts over TCP.
//!
//! Both sides open a connection with a random nonce. Every frame after it is a length in four bytes
//! and a sealed body that names both nonces, so that no frame counts on another connection; calls
//! and answers are sealed with different keys, so that none counts in the other direction. The
//! sequence number of a frame is the number of the call on its connection. One call is under way on
//! a connection at a time; idle connections are kept for later calls.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jasminestage_core::{
    peer::{PeerCall, PeerReply},
    time::Instant,
};
use jasminestage_wire::{Header, Nonce, Purpose, WireError, decode_frame, encode_frame};
use serde::{Serialize, de::DeserializeOwned};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::answer::answer;
use crate::{clock, error::DaemonError, metrics::Transport, shared::Shared};

/// Largest frame in bytes.
const MAX_FRAME_BYTES: u32 = 72 * 1024 * 1024;
/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed by the answering side.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time after which an idle connection is not used for another call.
const REUSE_LIMIT: Duration = Duration::from_secs(10);
/// Idle time after which the other end of a connection is probed.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Idle connections kept for one host.
const MAX_IDLE: usize = 8;

/// Why a call to another host failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was made: no byte of the call was sent.
    #[error("The host at {0} cannot be reached.")]
    Unreachable(SocketAddr),
    /// The call may have arrived but no answer came.
    #[error("The host at {0} did not answer within the time given.")]
    NoAnswer(SocketAddr),
    /// The connection failed after the call may have arrived.
    #[error("The connection to the host at {0} failed: {1}.")]
    Connection(SocketAddr, io::Error),
    /// The answer cannot be read.
    #[error("The answer of the host at {0} is damaged: {1}")]
    Damaged(SocketAddr, WireError),
}

struct Connection {
    stream: TcpStream,
    nonces: Nonces,
    calls: u64,
    used: Instant,
}

/// Nonces of the two sides of a connection, as one side sees them.
#[derive(Clone, Copy)]
struct Nonces {
    mine: Nonce,
    theirs: Nonce,
}

/// Connections to other hosts.
#[derive(Default)]
pub struct Peers {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Peers {
    /// Calls another host and waits for its answer. The call is made again on a new connection
    /// when an idle one does not answer, so it must be safe to repeat.
    pub async fn call(
        &self,
        shared: &Shared,
        to: SocketAddr,
        call: &PeerCall,
        timeout: Duration,
    ) -> Result<PeerReply, CallError> {
        let first = self.call_once(shared, to, call, timeout / 2, false).await;
        match first {
            Err(CallError::NoAnswer(_) | CallError::Connection(..)) => {
                self.call_once(shared, to, call, timeout / 2, true).await
            }
            other => other,
        }
    }

    /// Calls another host at most once, on a new connection when `fresh`. A connection on which a
    /// call fails or times out is never used again.
    pub async fn call_once(
        &self,
        shared: &Shared,
        to: SocketAddr,
        call: &PeerCall,
        timeout: Duration,
        fresh: bool,
    ) -> Result<PeerReply, CallError> {
        let exchange = async {
            let idle = if fresh { None } else { self.take(to) };
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(to).await?,
            };
            let reply = exchange(shared, to, &mut connection, call).await?;
            self.put(to, connection);
            Ok(reply)
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::NoAnswer(to)))
    }

    fn take(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&to)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn put(&self, to: SocketAddr, mut connection: Connection) {
        connection.used = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(to).or_default();
        connections.retain(Connection::is_usable);
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }
}

impl Connection {
    /// Whether an idle connection is young, open and has received no bytes that nobody asked for.
    fn is_usable(&self) -> bool {
        let idle = clock::now().saturating_since(self.used);
        idle < REUSE_LIMIT && is_open(&self.stream)
    }
}

/// Whether an idle connection has neither ended nor received bytes that nobody asked for.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

async fn connect(to: SocketAddr) -> Result<Connection, CallError> {
    let connecting = async {
        let mut stream = TcpStream::connect(to).await?;
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        let nonces = greet(&mut stream).await?;
        Ok::<_, io::Error>(Connection { stream, nonces, calls: 0, used: clock::now() })
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Ok(connection),
        _ => Err(CallError::Unreachable(to)),
    }
}

/// Sends a nonce of this side and reads that of the other.
async fn greet(stream: &mut TcpStream) -> io::Result<Nonces> {
    stream.set_nodelay(true)?;
    let mine = rand::random();
    stream.write_u64(mine).await?;
    Ok(Nonces { mine, theirs: stream.read_u64().await? })
}

async fn exchange(
    shared: &Shared,
    to: SocketAddr,
    connection: &mut Connection,
    call: &PeerCall,
) -> Result<PeerReply, CallError> {
    connection.calls += 1;
    let (nonces, number) = (connection.nonces, connection.calls);
    let failed = |e| CallError::Connection(to, e);
    let header = header(shared, nonces, number);
    write(shared, &mut connection.stream, Purpose::StreamCall, &header, call)
        .await
        .map_err(failed)?;
    let frame = read_frame(&mut connection.stream).await.map_err(failed)?;
    unframe(shared, Purpose::StreamReply, nonces, number, &frame)
        .map_err(|e| CallError::Damaged(to, e))
}

/// Accepts calls of other hosts for ever.
pub async fn serve(shared: Arc<Shared>) -> Result<(), DaemonError> {
    let address = shared.cfg.peer_listen();
    let listener =
        TcpListener::bind(address).await.map_err(|source| DaemonError::Bind { address, source })?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let shared = Arc::clone(&shared);
            tokio::spawn(async move {
                if let Err(e) = serve_connection(&shared, stream).await {
                    shared.reject(from, &e);
                }
            });
        }
    });
    Ok(())
}

async fn serve_connection(shared: &Arc<Shared>, mut stream: TcpStream) -> Result<(), WireError> {
    let greeting = tokio::time::timeout(CONNECT_TIMEOUT, greet(&mut stream)).await;
    let Ok(Ok(nonces)) = greeting else { return Ok(()) };
    for number in 1.. {
        let read = tokio::time::timeout(IDLE_LIMIT, read_frame(&mut stream)).await;
        let Ok(Ok(frame)) = read else { break };
        let call: PeerCall = unframe(shared, Purpose::StreamCall, nonces, number, &frame)?;
        let reply = answer(shared, call).await;
        let header = header(shared, nonces, number);
        if write(shared, &mut stream, Purpose::StreamReply, &header, &reply).await.is_err() {
            break;
        }
    }
    Ok(())
}

fn header(shared: &Shared, nonces: Nonces, number: u64) -> Header {
    let (sender, nonce, echo) = (shared.me.incarnation, nonces.mine, nonces.theirs);
    Header { sender, sequence: number, nonce, echo }
}

async fn write<T: Serialize>(
    shared: &Shared,
    stream: &mut TcpStream,
    purpose: Purpose,
    header: &Header,
    msg: &T,
) -> io::Result<()> {
    let encoded =
        encode_frame(&shared.cfg.fleet_key, purpose, header, msg).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(4 + encoded.len());
    frame.extend_from_slice(&(encoded.len() as u32).to_be_bytes());
    frame.extend_from_slice(&encoded);
    shared.metrics.sent(Transport::Tcp, frame.len());
    stream.write_all(&frame).await
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let len = stream.read_u32().await?;
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::other(WireError::FrameTooLarge(len as usize)));
    }
    // The buffer grows with what arrives, so that a false length costs no memory.
    let mut frame = Vec::new();
    let read = stream.take(u64::from(len)).read_to_end(&mut frame).await?;
    if read < len as usize { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(frame) }
}

fn unframe<T: DeserializeOwned>(
    shared: &Shared,
    purpose: Purpose,
    nonces: Nonces,
    number: u64,
    frame: &[u8],
) -> Result<T, WireError> {
    shared.metrics.received(Transport::Tcp, frame.len() + 4);
    let decoded = decode_frame::<T>(&shared.cfg.fleet_key, purpose, frame)?;
    let Header { sender, sequence, nonce, echo } = decoded.header;
    if nonce != nonces.theirs || echo != nonces.mine || sequence != number {
        return Err(WireError::Replayed { sender, sequence });
    }
    Ok(decoded.msg)
}
