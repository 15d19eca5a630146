//! Calls between hosts over TCP.
//!
//! Each side begins a connection with a random nonce. Every later message is a length in four bytes
//! and an authenticated frame that contains both nonces, so that a frame is invalid on any other
//! connection. Calls and replies are authenticated with different keys, so that a frame is invalid
//! in the other direction. The sequence number of a frame is the number of the call on its
//! connection. A connection carries one call at a time; idle connections are kept for later calls.

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
use crate::{
    clock,
    error::DaemonError,
    intake::{
        MemoryExhausted, Port, PortConnection, Reserved, Transfer, TransferTooSlow,
        connection_limits, transfer_rate,
    },
    metrics::Transport,
    shared::Shared,
};

/// Largest frame on a connection, in bytes.
const MAX_FRAME_BYTES: u32 = 72 * 1024 * 1024;
/// Timeout for opening a connection and exchanging nonces.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which the accepting side closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time after which the calling side does not reuse a connection.
const MAX_REUSE_IDLE: Duration = Duration::from_secs(10);
/// Idle time after which the kernel probes the other end of a connection, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Idle connections kept for one host.
const MAX_IDLE_PER_HOST: usize = 8;
/// Pause after a failure to accept a connection, such as a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time between two tries to get memory after a stalled frame was closed.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Size of the parts in which a call of another host is read, in bytes.
const READ_PART_BYTES: usize = 16 * 1024;

/// Why a call to another host failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was opened: no byte of the call was sent.
    #[error("The host at {0} cannot be reached.")]
    Unreachable(SocketAddr),
    /// No reply arrived in time; the call may have been received.
    #[error("The host at {0} did not reply within the timeout.")]
    NoAnswer(SocketAddr),
    /// The connection failed; the call may have been received.
    #[error("The connection to the host at {0} failed: {1}.")]
    Connection(SocketAddr, io::Error),
    /// The reply cannot be authenticated or decoded.
    #[error("The reply of the host at {0} is invalid: {1}")]
    InvalidReply(SocketAddr, WireError),
}

struct Connection {
    stream: TcpStream,
    nonces: Nonces,
    call_count: u64,
    last_used: Instant,
}

/// Nonces of the two sides of a connection.
#[derive(Clone, Copy)]
struct Nonces {
    own: Nonce,
    remote: Nonce,
}

/// Connections to other hosts.
#[derive(Default)]
pub struct PeerConnections {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl PeerConnections {
    /// Calls another host and waits for its reply. If the call fails after it may have been sent, it
    /// is repeated on a new connection, so it must be safe to repeat.
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

    /// Calls another host at most once, on a new connection if `new_connection` is set. A connection
    /// on which a call fails or times out is not reused.
    pub async fn call_once(
        &self,
        shared: &Shared,
        to: SocketAddr,
        call: &PeerCall,
        timeout: Duration,
        new_connection: bool,
    ) -> Result<PeerReply, CallError> {
        let exchange = async {
            let idle = if new_connection { None } else { self.take_idle(to) };
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(to).await?,
            };
            let reply = call_on_connection(shared, to, &mut connection, call).await?;
            self.put_idle(to, connection);
            Ok(reply)
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::NoAnswer(to)))
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&to)?;
        while let Some(connection) = connections.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, to: SocketAddr, mut connection: Connection) {
        connection.last_used = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(to).or_default();
        connections.retain(Connection::is_reusable);
        if connections.len() < MAX_IDLE_PER_HOST {
            connections.push(connection);
        }
    }
}

impl Connection {
    /// Whether an idle connection was used recently, is open and has received no unexpected bytes.
    fn is_reusable(&self) -> bool {
        let idle = clock::now().saturating_since(self.last_used);
        idle < MAX_REUSE_IDLE && is_open(&self.stream)
    }
}

/// Whether an idle connection is open and has received no unexpected bytes.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

async fn connect(to: SocketAddr) -> Result<Connection, CallError> {
    let connecting = async {
        let mut stream = TcpStream::connect(to).await?;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        let nonces = exchange_nonces(&mut stream).await?;
        Ok::<_, io::Error>(Connection { stream, nonces, call_count: 0, last_used: clock::now() })
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Ok(connection),
        _ => Err(CallError::Unreachable(to)),
    }
}

/// Sends a nonce of this side and reads the nonce of the other side.
async fn exchange_nonces(stream: &mut TcpStream) -> io::Result<Nonces> {
    stream.set_nodelay(true)?;
    let own = rand::random();
    stream.write_u64(own).await?;
    Ok(Nonces { own, remote: stream.read_u64().await? })
}

async fn call_on_connection(
    shared: &Shared,
    to: SocketAddr,
    connection: &mut Connection,
    call: &PeerCall,
) -> Result<PeerReply, CallError> {
    connection.call_count += 1;
    let (nonces, number) = (connection.nonces, connection.call_count);
    let failed = |e| CallError::Connection(to, e);
    let header = frame_header(shared, nonces, number);
    write_frame(shared, &mut connection.stream, Purpose::StreamCall, &header, call)
        .await
        .map_err(failed)?;
    let frame = read_frame(&mut connection.stream).await.map_err(failed)?;
    decode_message(shared, Purpose::StreamReply, nonces, number, &frame)
        .map_err(|e| CallError::InvalidReply(to, e))
}

/// Starts to accept calls from other hosts in the background.
pub async fn serve(shared: Arc<Shared>) -> Result<(), DaemonError> {
    let address = shared.cfg.peer_listen();
    let listener =
        TcpListener::bind(address).await.map_err(|source| DaemonError::Bind { address, source })?;
    let limits = &shared.cfg.limits;
    let connection_limits =
        connection_limits(limits, &shared.budget, shared.budget.peer_connections);
    let metrics = Arc::clone(&shared.metrics);
    let port = Port::new("hosts", connection_limits, limits.header_timeout, metrics);
    tokio::spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Some(connection) = port.open(from).await else { continue };
            let connection = Arc::new(connection);
            let shared = Arc::clone(&shared);
            let served = Arc::clone(&connection);
            let task = tokio::spawn(async move {
                if let Err(e) = serve_connection(&shared, stream, &served).await {
                    shared.report_rejected_frame(from, &e);
                }
            });
            let task = task.abort_handle();
            connection.set_close(move || task.abort());
        }
    });
    Ok(())
}

async fn serve_connection(
    shared: &Arc<Shared>,
    mut stream: TcpStream,
    connection: &PortConnection,
) -> Result<(), WireError> {
    let nonce_exchange = tokio::time::timeout(CONNECT_TIMEOUT, exchange_nonces(&mut stream)).await;
    let Ok(Ok(nonces)) = nonce_exchange else { return Ok(()) };
    let write_timeout = shared.cfg.limits.transfer_grace;
    for number in 1.. {
        let frame = match read_call(shared, &mut stream, connection).await {
            Ok(frame) => frame,
            Err(e) => {
                if let Some(limit) = e.limit() {
                    connection.report(limit);
                }
                break;
            }
        };
        let frame_bytes = frame.as_ref();
        let call: PeerCall =
            decode_message(shared, Purpose::StreamCall, nonces, number, frame_bytes)?;
        drop(frame);
        connection.begin_trusted_work();
        let reply = answer(shared, call).await;
        let header = frame_header(shared, nonces, number);
        let write = write_frame(shared, &mut stream, Purpose::StreamReply, &header, &reply);
        // The reply is not counted as unsent: only hosts of the fleet get one.
        if !matches!(tokio::time::timeout(write_timeout, write).await, Ok(Ok(()))) {
            break;
        }
        connection.end_work();
    }
    Ok(())
}

/// Why the call of another host was not read.
#[derive(Debug, Error)]
enum ReadCallError {
    /// No call arrived in time.
    #[error("The connection was idle for too long.")]
    Idle(#[from] tokio::time::error::Elapsed),
    /// The connection has failed or ended.
    #[error("The connection failed: {0}.")]
    Connection(#[from] io::Error),
    /// The frames of all hosts need too much memory.
    #[error(transparent)]
    MemoryExhausted(#[from] MemoryExhausted),
    /// The frame arrives too slowly.
    #[error(transparent)]
    TooSlow(#[from] TransferTooSlow),
}

impl ReadCallError {
    /// Label of the limit that was reached; `None` if none was.
    fn limit(&self) -> Option<&'static str> {
        match self {
            ReadCallError::Idle(_) | ReadCallError::Connection(_) => None,
            ReadCallError::MemoryExhausted(_) => Some("frame memory"),
            ReadCallError::TooSlow(_) => Some("frame rate"),
        }
    }
}

/// Reads the frame of a call. The sender is not authenticated before the frame is complete, so its bytes
/// count towards the memory for frames.
async fn read_call(
    shared: &Shared,
    stream: &mut TcpStream,
    connection: &PortConnection,
) -> Result<Reserved, ReadCallError> {
    let len = tokio::time::timeout(IDLE_TIMEOUT, stream.read_u32()).await??;
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::other(WireError::FrameTooLarge(len as usize)).into());
    }
    let len = len as usize;
    connection.begin_transfer();
    let mut frame = Reserved::new(&shared.frame_memory);
    let mut transfer = Transfer::start(transfer_rate(&shared.cfg.limits));
    let mut part = vec![0; READ_PART_BYTES.min(len)];
    while frame.len() < len {
        let wanted = part.len().min(len - frame.len());
        let read = transfer.next(stream.read(&mut part[..wanted])).await??;
        if read == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        transfer.record(read);
        connection.record_received(read);
        while let Err(e) = frame.append(&part[..read], len) {
            if !connection.close_stalled() {
                return Err(e.into());
            }
            // The memory is free once the task of the closed connection has ended.
            tokio::time::sleep(MEMORY_RETRY_DELAY).await;
        }
    }
    Ok(frame)
}

fn frame_header(shared: &Shared, nonces: Nonces, number: u64) -> Header {
    let (sender, nonce, echo) = (shared.own_info.incarnation, nonces.own, nonces.remote);
    Header { sender, sequence: number, nonce, echo }
}

async fn write_frame<T: Serialize>(
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
    shared.metrics.count_sent_frame(Transport::Tcp, frame.len());
    stream.write_all(&frame).await
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let len = stream.read_u32().await?;
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::other(WireError::FrameTooLarge(len as usize)));
    }
    // The buffer grows with the bytes received, so that a false length allocates no memory.
    let mut frame = Vec::new();
    let read = stream.take(u64::from(len)).read_to_end(&mut frame).await?;
    if read < len as usize { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(frame) }
}

fn decode_message<T: DeserializeOwned>(
    shared: &Shared,
    purpose: Purpose,
    nonces: Nonces,
    number: u64,
    frame: &[u8],
) -> Result<T, WireError> {
    shared.metrics.count_received_frame(Transport::Tcp, frame.len() + 4);
    let decoded = decode_frame::<T>(&shared.cfg.fleet_key, purpose, frame)?;
    let Header { sender, sequence, nonce, echo } = decoded.header;
    if nonce != nonces.remote || echo != nonces.own || sequence != number {
        return Err(WireError::Replayed { sender, sequence });
    }
    Ok(decoded.msg)
}
