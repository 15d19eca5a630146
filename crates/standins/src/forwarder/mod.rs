//! A TCP and UDP forwarder that can drop traffic, for tests of network partitions.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

use crate::serve;

/// How a forwarder treats traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Traffic is forwarded.
    Forward,
    /// Bytes and datagrams are dropped without an error; TCP connections stay open.
    Drop,
}

/// Sockets to forward datagrams from, by the source address of the datagram.
type SourceSockets = Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>;

/// A running forwarder that accepts TCP and UDP on the same port.
pub struct Forwarder {
    /// Address that the forwarder listens on.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    dropped_sources: Arc<Mutex<Vec<SocketAddr>>>,
    socket: Arc<UdpSocket>,
    source_sockets: SourceSockets,
    /// Connections accepted in an earlier generation have all their bytes dropped.
    generation: Arc<AtomicU64>,
}

impl Forwarder {
    /// Starts a forwarder to `target` on a free address.
    pub async fn start(target: SocketAddr) -> std::io::Result<Forwarder> {
        let listener = TcpListener::bind(serve::free_address()).await?;
        let address = listener.local_addr()?;
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let source_sockets = SourceSockets::default();
        let mode = Arc::new(AtomicU8::new(Mode::Forward as u8));
        let dropped_sources = Arc::default();
        let udp = UdpForwarding {
            socket: Arc::clone(&socket),
            target,
            mode: Arc::clone(&mode),
            dropped_sources: Arc::clone(&dropped_sources),
            source_sockets: Arc::clone(&source_sockets),
        };
        tokio::spawn(forward_udp(udp));
        let generation = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target, Arc::clone(&mode), Arc::clone(&generation)));
        Ok(Forwarder { address, mode, dropped_sources, socket, source_sockets, generation })
    }

    /// Drops datagrams from `sources`, in place of those of an earlier call.
    pub fn drop_from(&self, sources: &[SocketAddr]) {
        *self.dropped_sources.lock().unwrap_or_else(PoisonError::into_inner) = sources.to_vec();
    }

    /// Forwards datagrams from `source` with the address of `other` as their source address, so
    /// that replies go through `other`.
    pub fn rewrite_source(&self, source: SocketAddr, other: &Forwarder) {
        let mut source_sockets = self.source_sockets.lock().unwrap_or_else(PoisonError::into_inner);
        source_sockets.insert(source, Arc::clone(&other.socket));
    }

    /// Sets the mode for datagrams and for new and open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Drops all further bytes on the connections that are open now; new connections work.
    pub fn blackhole_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }
}

fn is_forwarding(mode: &AtomicU8) -> bool {
    mode.load(Ordering::Relaxed) == Mode::Forward as u8
}

/// State of the task that forwards datagrams.
struct UdpForwarding {
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    mode: Arc<AtomicU8>,
    dropped_sources: Arc<Mutex<Vec<SocketAddr>>>,
    source_sockets: SourceSockets,
}

async fn forward_udp(udp: UdpForwarding) {
    let UdpForwarding { socket, target, mode, dropped_sources, source_sockets } = udp;
    let mut buf = vec![0; 65_536];
    while let Ok((len, source)) = socket.recv_from(&mut buf).await {
        let is_dropped =
            dropped_sources.lock().unwrap_or_else(PoisonError::into_inner).contains(&source);
        if !is_forwarding(&mode) || is_dropped {
            continue;
        }
        let sender =
            source_sockets.lock().unwrap_or_else(PoisonError::into_inner).get(&source).cloned();
        let sender = sender.unwrap_or_else(|| Arc::clone(&socket));
        let _ = sender.send_to(&buf[..len], target).await;
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: Arc<AtomicU8>,
    generation: Arc<AtomicU64>,
) {
    while let Ok((inbound, _)) = listener.accept().await {
        let mode = Arc::clone(&mode);
        let generation = Arc::clone(&generation);
        let accept_generation = generation.load(Ordering::Relaxed);
        tokio::spawn(async move {
            let Ok(outbound) = TcpStream::connect(target).await else { return };
            let (inbound_rx, inbound_tx) = inbound.into_split();
            let (outbound_rx, outbound_tx) = outbound.into_split();
            let forwards =
                || is_forwarding(&mode) && generation.load(Ordering::Relaxed) == accept_generation;
            tokio::join!(
                copy(inbound_rx, outbound_tx, forwards),
                copy(outbound_rx, inbound_tx, forwards)
            );
        });
    }
}

/// Copies bytes until the end of the stream, and drops those read while `forwards` is false.
async fn copy(
    mut rx: impl AsyncReadExt + Unpin,
    mut tx: impl AsyncWriteExt + Unpin,
    forwards: impl Fn() -> bool,
) {
    let mut buf = vec![0; 16_384];
    while let Ok(len @ 1..) = rx.read(&mut buf).await {
        if forwards() && tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    if forwards() {
        let _ = tx.shutdown().await;
    }
}
