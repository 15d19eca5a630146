//! Exchange of digests and region summaries between hosts in UDP datagrams.

use std::{collections::HashSet, io, net::SocketAddr, rc::Rc, time::Duration};

use jasminestage_core::steer::digest::Message;
use tokio::net::{TcpListener, UdpSocket};

use super::context::ControlContext;
use crate::error::EdgeError;

/// Time between two turns; in each one some of the messages are due.
const TURN: Duration = Duration::from_millis(200);
/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 60_000;
/// Number of received messages after which unknown hosts that digests list are contacted again.
const CONTACT_RESET_MESSAGES: u32 = 10;

/// Sockets for messages between hosts.
pub struct Sockets {
    /// Socket for digests and region summaries.
    pub udp: Rc<UdpSocket>,
    /// Listener for requests for copies of the store's items.
    pub tcp: TcpListener,
}

impl Sockets {
    /// Binds both sockets to the same address and port.
    pub async fn bind(address: SocketAddr) -> Result<Self, EdgeError> {
        let bind_error = |source: io::Error| EdgeError::Bind { address, source };
        let udp = UdpSocket::bind(address).await.map_err(bind_error)?;
        let tcp = TcpListener::bind(address).await.map_err(bind_error)?;
        Ok(Sockets { udp: Rc::new(udp), tcp })
    }
}

/// Receives messages of other hosts until the process ends.
pub async fn receive(context: Rc<ControlContext>, udp: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    let mut contacted: HashSet<SocketAddr> = HashSet::new();
    let mut message_count = 0;
    loop {
        let (len, from) = match udp.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                tracing::debug!(error = %e, "Receiving a datagram failed.");
                continue;
            }
        };
        let message = match postcard::from_bytes::<Message>(&buf[..len]) {
            Ok(message) => message,
            Err(e) => {
                tracing::warn!(
                    event = 350,
                    %from,
                    error = %e,
                    "A message from another host could not be decoded."
                );
                continue;
            }
        };
        message_count += 1;
        if message_count % CONTACT_RESET_MESSAGES == 0 {
            contacted.clear();
        }
        match message {
            Message::Host(digest) => {
                let own_address = context.shared.announcement.peer_address;
                let is_known = context.has_peer_at(digest.sender.peer_address);
                let new_sender = (!is_known).then_some(digest.sender.peer_address);
                let unknown: Vec<SocketAddr> = digest
                    .known_hosts
                    .iter()
                    .copied()
                    .chain(new_sender)
                    .filter(|a| {
                        *a != own_address && !context.has_peer_at(*a) && contacted.insert(*a)
                    })
                    .collect();
                context.receive_digest(*digest);
                if !unknown.is_empty() {
                    send(&udp, &context.own_digest(), &unknown);
                }
            }
            Message::Region(summary) => context.receive_region_summary(*summary),
            Message::Usage(counts) => context.receive_usage(&counts),
        }
    }
}

/// In each turn, applies due removals and timeouts and sends the messages that are due, until the
/// process ends. Urgent state of other hosts starts the next turn at once.
pub async fn broadcast(context: Rc<ControlContext>, udp: Rc<UdpSocket>) {
    for turn in 1.. {
        tokio::select! {
            () = tokio::time::sleep(TURN) => {}
            () = context.urgent.notified() => {}
        }
        context.tick();
        send_due(&context, &udp, turn);
    }
}

/// Sends all messages at once, before a planned stop.
pub fn send_all(context: &ControlContext, udp: &UdpSocket) {
    send_due(context, udp, 0);
}

fn send_due(context: &ControlContext, udp: &UdpSocket, turn: u64) {
    for (message, addresses) in context.due_messages(turn) {
        send(udp, &message, &addresses);
    }
}

/// Encodes a message and sends it to all addresses.
pub fn send(udp: &UdpSocket, message: &Message, to: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => bytes,
        Ok(bytes) => {
            tracing::warn!(
                event = 351,
                bytes = bytes.len(),
                "A message to other hosts is too large to be sent."
            );
            return;
        }
        Err(e) => {
            tracing::warn!(
                event = 351,
                error = %e,
                "A message to other hosts could not be encoded."
            );
            return;
        }
    };
    for address in to {
        // A failed send needs no retry: the next message contains newer state.
        if let Err(e) = udp.try_send_to(&bytes, *address) {
            tracing::debug!(%address, error = %e, "A message could not be sent to a host.");
        }
    }
}
