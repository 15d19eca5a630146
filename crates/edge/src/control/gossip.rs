//! Digests between hosts, as datagrams.

use std::{collections::HashSet, io, net::SocketAddr, rc::Rc, time::Duration};

use jasminestage_core::steer::digest::Digest;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::MissedTickBehavior,
};

use super::beliefs::Beliefs;
use crate::error::EdgeError;

/// Time between two digests.
const PERIOD: Duration = Duration::from_millis(200);
/// Largest digest in bytes.
const MAX_DIGEST: usize = 60_000;
/// Digests after which addresses that other hosts named are tried again.
const FORGET_NAMED_AFTER: u32 = 10;

/// Sockets towards other hosts.
pub struct Sockets {
    /// Digests.
    pub udp: Rc<UdpSocket>,
    /// Snapshots.
    pub tcp: TcpListener,
}

impl Sockets {
    /// Binds both on one address.
    pub async fn bind(address: SocketAddr) -> Result<Self, EdgeError> {
        let fault = |source: io::Error| EdgeError::Bind { address, source };
        let udp = UdpSocket::bind(address).await.map_err(fault)?;
        let tcp = TcpListener::bind(address).await.map_err(fault)?;
        Ok(Sockets { udp: Rc::new(udp), tcp })
    }
}

/// Takes in digests for as long as the process runs.
pub async fn listen(beliefs: Rc<Beliefs>, udp: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DIGEST];
    let mut tried: HashSet<SocketAddr> = HashSet::new();
    let mut heard = 0;
    loop {
        let (len, from) = match udp.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                tracing::debug!(error = %e, "A datagram could not be received.");
                continue;
            }
        };
        let digest = match postcard::from_bytes::<Digest>(&buf[..len]) {
            Ok(digest) => digest,
            Err(e) => {
                tracing::warn!(event = 350, %from, error = %e, "A digest could not be read.");
                continue;
            }
        };
        heard += 1;
        if heard % FORGET_NAMED_AFTER == 0 {
            tried.clear();
        }
        let known = beliefs.peer_addresses();
        let unknown = digest
            .others
            .iter()
            .filter(|a| **a != beliefs.shared.me.peers && !known.contains(a) && tried.insert(**a));
        for address in unknown {
            send(&beliefs, &udp, &[*address]).await;
        }
        beliefs.hear(digest);
    }
}

/// Tells the other hosts for as long as the process runs.
pub async fn tell(beliefs: Rc<Beliefs>, udp: Rc<UdpSocket>) {
    let mut timer = tokio::time::interval(PERIOD);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        beliefs.tick();
        tell_once(&beliefs, &udp).await;
    }
}

/// Tells the other hosts now.
pub async fn tell_once(beliefs: &Beliefs, udp: &UdpSocket) {
    send(beliefs, udp, &beliefs.peer_addresses()).await;
}

async fn send(beliefs: &Beliefs, udp: &UdpSocket, to: &[SocketAddr]) {
    if to.is_empty() {
        return;
    }
    let bytes = match postcard::to_stdvec(&beliefs.digest()) {
        Ok(bytes) if bytes.len() <= MAX_DIGEST => bytes,
        Ok(bytes) => {
            tracing::warn!(event = 351, bytes = bytes.len(), "A digest is too large.");
            return;
        }
        Err(e) => {
            tracing::warn!(event = 351, error = %e, "A digest could not be written.");
            return;
        }
    };
    for address in to {
        // A datagram that cannot be sent counts as lost; the next digest replaces it.
        if let Err(e) = udp.try_send_to(&bytes, *address) {
            tracing::debug!(%address, error = %e, "A digest was not sent.");
        }
    }
}
