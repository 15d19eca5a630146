//! Datagrams between hosts.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use jasminestage_core::control::PeerMsg;
use jasminestage_wire::{
    Datagram, Header, Nonce, NonceExchange, Purpose, WireError, decode_frame, encode_frame,
    frame::MAX_DATAGRAM_BYTES, nonces::SendAction,
};
use tokio::net::UdpSocket;

use crate::{
    clock,
    control::{ControlEvent, ControlSender},
    error::DaemonError,
    metrics::Transport,
    shared::Shared,
};

/// UDP socket for messages between hosts.
#[derive(Clone)]
pub struct Socket {
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
    nonce_exchange: Arc<Mutex<NonceExchange<PeerMsg>>>,
}

impl Socket {
    /// Binds the listen address for other hosts from the settings.
    pub async fn bind(shared: Arc<Shared>) -> Result<Socket, DaemonError> {
        let address = shared.cfg.peer_listen();
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| DaemonError::Bind { address, source })?;
        let nonce_exchange = Arc::new(Mutex::new(NonceExchange::new(clock::now(), random_nonce())));
        Ok(Socket { socket: Arc::new(socket), shared, nonce_exchange })
    }

    /// Sends a message; a datagram that cannot be sent is dropped.
    pub async fn send(&self, to: SocketAddr, msg: &PeerMsg) {
        let outgoing = self.nonce_exchange().prepare_send(clock::now(), to, || msg.clone());
        match outgoing {
            SendAction::SendNow(echo) => self.send_datagram(to, echo, &Datagram::Msg(msg)).await,
            SendAction::SendHello => self.send_datagram(to, 0, &Datagram::Hello).await,
            SendAction::Wait => {}
        }
    }

    async fn send_datagram(&self, to: SocketAddr, echo: Nonce, datagram: &Datagram<&PeerMsg>) {
        let header = Header {
            sender: self.shared.own_info.incarnation,
            sequence: self.shared.next_sequence(),
            nonce: self.nonce_exchange().nonce(),
            echo,
        };
        let key = &self.shared.cfg.fleet_key;
        if let Ok(frame) = encode_frame(key, Purpose::Datagram, &header, datagram) {
            self.shared.metrics.count_sent_frame(Transport::Udp, frame.len());
            let _ = self.socket.send_to(&frame, to).await;
        }
    }

    /// Processes a received datagram; returns its message if it has one and is accepted.
    async fn accept(&self, from: SocketAddr, frame: &[u8]) -> Result<Option<PeerMsg>, WireError> {
        let key = &self.shared.cfg.fleet_key;
        let decoded = decode_frame::<Datagram<PeerMsg>>(key, Purpose::Datagram, frame)?;
        let header = decoded.header;
        let accepted = self.nonce_exchange().accept(clock::now(), from, &header);
        if matches!(accepted, Err(WireError::StaleNonce { .. })) {
            self.send_datagram(from, header.nonce, &Datagram::Hello).await;
        }
        match (accepted, decoded.msg) {
            (Ok(queued), datagram) => {
                for msg in &queued {
                    self.send_datagram(from, header.nonce, &Datagram::Msg(msg)).await;
                }
                Ok(match datagram {
                    Datagram::Msg(msg) => Some(msg),
                    Datagram::Hello => None,
                })
            }
            // A hello of a host that does not have this host's current nonce.
            (Err(WireError::StaleNonce { .. }), Datagram::Hello) => Ok(None),
            (Err(e), _) => Err(e),
        }
    }

    fn nonce_exchange(&self) -> MutexGuard<'_, NonceExchange<PeerMsg>> {
        let mut exchange = self.nonce_exchange.lock().unwrap_or_else(PoisonError::into_inner);
        exchange.rotate(clock::now(), random_nonce);
        exchange
    }
}

/// Passes the message of every accepted datagram to the control thread.
pub async fn receive(socket: Socket, tx: ControlSender) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.socket.recv_from(&mut buf).await else { continue };
        socket.shared.metrics.count_received_frame(Transport::Udp, len);
        match socket.accept(from, &buf[..len]).await {
            Ok(Some(msg)) => tx.send(ControlEvent::Peer(from, msg)).await,
            Ok(None) => {}
            Err(e) => socket.shared.report_rejected_frame(from, &e),
        }
    }
}

/// A random nonce; never 0, which stands for a missing nonce.
fn random_nonce() -> Nonce {
    rand::random::<Nonce>().max(1)
}
