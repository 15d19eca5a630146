//! Digests between hosts, as datagrams.

use std::{collections::HashSet, io, net::SocketAddr, rc::Rc, time::Duration};

use jasminestage_core::steer::digest::Message;
use tokio::net::{TcpListener, UdpSocket};

use super::beliefs::Beliefs;
use crate::error::EdgeError;

/// Time between two digests in a region of a few hosts.
const PERIOD: Duration = Duration::from_millis(200);
/// Hosts of a region from which on digests come less often.
const MANY_HOSTS: usize = 16;
/// Time between two digests in a region of many hosts.
const PERIOD_OF_MANY: Duration = Duration::from_millis(350);
/// Largest message in bytes.
const MAX_MESSAGE: usize = 60_000;
/// Messages after which addresses that other hosts named are tried again.
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
    let mut buf = vec![0; MAX_MESSAGE];
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
        let message = match postcard::from_bytes::<Message>(&buf[..len]) {
            Ok(message) => message,
            Err(e) => {
                tracing::warn!(event = 350, %from, error = %e, "A message could not be read.");
                continue;
            }
        };
        heard += 1;
        if heard % FORGET_NAMED_AFTER == 0 {
            tried.clear();
        }
        match message {
            Message::Host(digest) => {
                let me = beliefs.shared.me.peer_address;
                let unknown: Vec<SocketAddr> = digest
                    .known_hosts
                    .iter()
                    .copied()
                    .filter(|a| *a != me && !beliefs.knows(*a) && tried.insert(*a))
                    .collect();
                beliefs.hear(*digest);
                if !unknown.is_empty() {
                    send(&udp, &Message::Host(Box::new(beliefs.digest())), &unknown);
                }
            }
            Message::Region(summary) => beliefs.hear_region(*summary),
        }
    }
}

/// Tells the other hosts for as long as the process runs.
pub async fn tell(beliefs: Rc<Beliefs>, udp: Rc<UdpSocket>) {
    loop {
        let many = beliefs.near_addresses().len() >= MANY_HOSTS;
        tokio::time::sleep(if many { PERIOD_OF_MANY } else { PERIOD }).await;
        beliefs.tick();
        tell_once(&beliefs, &udp);
    }
}

/// Tells the other hosts now.
pub fn tell_once(beliefs: &Beliefs, udp: &UdpSocket) {
    let near = beliefs.near_addresses();
    if !near.is_empty() {
        send(udp, &Message::Host(Box::new(beliefs.digest())), &near);
    }
    let (summary, far) = beliefs.region_summary();
    if !far.is_empty() {
        send(udp, &Message::Region(Box::new(summary)), &far);
    }
}

fn send(udp: &UdpSocket, message: &Message, to: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= MAX_MESSAGE => bytes,
        Ok(bytes) => {
            tracing::warn!(event = 351, bytes = bytes.len(), "A message is too large.");
            return;
        }
        Err(e) => {
            tracing::warn!(event = 351, error = %e, "A message could not be written.");
            return;
        }
    };
    for address in to {
        // A datagram that cannot be sent counts as lost; the next one replaces it.
        if let Err(e) = udp.try_send_to(&bytes, *address) {
            tracing::debug!(%address, error = %e, "A message was not sent.");
        }
    }
}
