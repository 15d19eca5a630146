//! Datagrams between hosts.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use jasminestage_core::control::PeerMsg;
use jasminestage_wire::{
    Datagram, Header, Links, Nonce, Purpose, WireError, links::Outgoing, open, seal,
    seal::MAX_DATAGRAM_BYTES,
};
use tokio::net::UdpSocket;

use crate::{
    clock,
    control::{ControlEvent, ControlTx},
    error::DaemonError,
    metrics::Transport,
    shared::Shared,
};

/// The socket that a host speaks to other hosts with.
#[derive(Clone)]
pub struct Socket {
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
    links: Arc<Mutex<Links<PeerMsg>>>,
}

impl Socket {
    /// Binds the peer address of the settings.
    pub async fn bind(shared: Arc<Shared>) -> Result<Socket, DaemonError> {
        let address = shared.cfg.peer_listen();
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| DaemonError::Bind { address, source })?;
        let links = Arc::new(Mutex::new(Links::new(clock::now(), draw())));
        Ok(Socket { socket: Arc::new(socket), shared, links })
    }

    /// Sends a message; a datagram that cannot be sent counts as lost.
    pub async fn send(&self, to: SocketAddr, msg: &PeerMsg) {
        let outgoing = self.links().send(clock::now(), to, || msg.clone());
        match outgoing {
            Outgoing::Now(echo) => self.write(to, echo, &Datagram::Msg(msg)).await,
            Outgoing::Hello => self.write(to, 0, &Datagram::Hello).await,
            Outgoing::Wait => {}
        }
    }

    async fn write(&self, to: SocketAddr, echo: Nonce, datagram: &Datagram<&PeerMsg>) {
        let header = Header {
            sender: self.shared.me.incarnation,
            sequence: self.shared.next_sequence(),
            nonce: self.links().nonce(),
            echo,
        };
        let key = &self.shared.cfg.fleet_key;
        if let Ok(frame) = seal(key, Purpose::Datagram, &header, datagram) {
            self.shared.metrics.sent(Transport::Udp, frame.len());
            let _ = self.socket.send_to(&frame, to).await;
        }
    }

    /// Takes in one datagram; returns its message when it counts.
    async fn take(&self, from: SocketAddr, frame: &[u8]) -> Result<Option<PeerMsg>, WireError> {
        let key = &self.shared.cfg.fleet_key;
        let opened = open::<Datagram<PeerMsg>>(key, Purpose::Datagram, frame)?;
        let header = opened.header;
        let accepted = self.links().accept(clock::now(), from, &header);
        if matches!(accepted, Err(WireError::Stale { .. })) {
            self.write(from, header.nonce, &Datagram::Hello).await;
        }
        match (accepted, opened.msg) {
            (Ok(waiting), datagram) => {
                for msg in &waiting {
                    self.write(from, header.nonce, &Datagram::Msg(msg)).await;
                }
                Ok(match datagram {
                    Datagram::Msg(msg) => Some(msg),
                    Datagram::Hello => None,
                })
            }
            // A greeting of a host that does not know this one yet.
            (Err(WireError::Stale { .. }), Datagram::Hello) => Ok(None),
            (Err(e), _) => Err(e),
        }
    }

    fn links(&self) -> MutexGuard<'_, Links<PeerMsg>> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.rotate(clock::now(), draw);
        links
    }
}

/// Passes every valid datagram to the control thread.
pub async fn receive(socket: Socket, tx: ControlTx) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.socket.recv_from(&mut buf).await else { continue };
        socket.shared.metrics.received(Transport::Udp, len);
        match socket.take(from, &buf[..len]).await {
            Ok(Some(msg)) => tx.send(ControlEvent::Peer(from, msg)).await,
            Ok(None) => {}
            Err(e) => socket.shared.reject(from, &e),
        }
    }
}

/// A nonce; 0 stands for none.
fn draw() -> Nonce {
    rand::random::<Nonce>().max(1)
}
