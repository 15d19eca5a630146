//! A forwarder between two addresses that can cut or hold what passes, for tests of cuts.

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

/// What happens to bytes that pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// They are dropped in silence; connections stay open.
    Drop,
}

/// Sockets of other forwarders by the address that stands behind each.
type Senders = Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>;

/// A running forwarder for TCP and UDP on one port.
pub struct Forwarder {
    /// Address to send to.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    dropped: Arc<Mutex<Vec<SocketAddr>>>,
    socket: Arc<UdpSocket>,
    senders: Senders,
    gone_silent: Arc<AtomicU64>,
}

impl Forwarder {
    /// Forwards to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Forwarder> {
        let listener = TcpListener::bind(serve::free_address()).await?;
        let address = listener.local_addr()?;
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let senders = Senders::default();
        let mode = Arc::new(AtomicU8::new(Mode::Pass as u8));
        let dropped = Arc::default();
        let datagrams = Datagrams {
            socket: Arc::clone(&socket),
            target,
            mode: Arc::clone(&mode),
            dropped: Arc::clone(&dropped),
            senders: Arc::clone(&senders),
        };
        tokio::spawn(forward_udp(datagrams));
        let gone_silent = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target, Arc::clone(&mode), Arc::clone(&gone_silent)));
        Ok(Forwarder { address, mode, dropped, socket, senders, gone_silent })
    }

    /// Drops datagrams that come from these addresses.
    pub fn drop_from(&self, sources: &[SocketAddr]) {
        *self.dropped.lock().unwrap_or_else(PoisonError::into_inner) = sources.to_vec();
    }

    /// Lets datagrams from `behind` pass on as if they came from the address of `other`.
    pub fn know(&self, behind: SocketAddr, other: &Forwarder) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        senders.insert(behind, Arc::clone(&other.socket));
    }

    /// Sets what happens to bytes that pass, on open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Lets the connections that are open now go silent for good; new ones work.
    pub fn silence_open(&self) {
        self.gone_silent.fetch_add(1, Ordering::Relaxed);
    }
}

fn passes(mode: &AtomicU8) -> bool {
    mode.load(Ordering::Relaxed) == Mode::Pass as u8
}

struct Datagrams {
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    mode: Arc<AtomicU8>,
    dropped: Arc<Mutex<Vec<SocketAddr>>>,
    senders: Senders,
}

async fn forward_udp(datagrams: Datagrams) {
    let Datagrams { socket, target, mode, dropped, senders } = datagrams;
    let mut buf = vec![0; 65_536];
    while let Ok((len, from)) = socket.recv_from(&mut buf).await {
        let is_dropped = dropped.lock().unwrap_or_else(PoisonError::into_inner).contains(&from);
        if !passes(&mode) || is_dropped {
            continue;
        }
        let sender = senders.lock().unwrap_or_else(PoisonError::into_inner).get(&from).cloned();
        let sender = sender.unwrap_or_else(|| Arc::clone(&socket));
        let _ = sender.send_to(&buf[..len], target).await;
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: Arc<AtomicU8>,
    gone_silent: Arc<AtomicU64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let mode = Arc::clone(&mode);
        let gone_silent = Arc::clone(&gone_silent);
        let made = gone_silent.load(Ordering::Relaxed);
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else { return };
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            let passes = || passes(&mode) && gone_silent.load(Ordering::Relaxed) == made;
            tokio::join!(copy(near_rx, far_tx, passes), copy(far_rx, near_tx, passes));
        });
    }
}

async fn copy(
    mut rx: impl AsyncReadExt + Unpin,
    mut tx: impl AsyncWriteExt + Unpin,
    passes: impl Fn() -> bool,
) {
    let mut buf = vec![0; 16_384];
    while let Ok(len @ 1..) = rx.read(&mut buf).await {
        if passes() && tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    if passes() {
        let _ = tx.shutdown().await;
    }
}
