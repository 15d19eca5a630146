//! Datagrams between hosts.

use std::{net::SocketAddr, sync::Arc};

use jasminestage_core::{
    control::PeerMsg,
    event::{Event, Kind},
};
use jasminestage_wire::{ReplayWindow, open, seal, seal::MAX_DATAGRAM_BYTES};
use tokio::net::UdpSocket;

use crate::{
    control::{ControlEvent, ControlTx},
    error::DaemonError,
    log,
    shared::Shared,
};

/// The socket that a host speaks to other hosts with.
#[derive(Clone)]
pub struct Socket {
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
}

impl Socket {
    /// Binds the peer address of the settings.
    pub async fn bind(shared: Arc<Shared>) -> Result<Socket, DaemonError> {
        let address = shared.cfg.peer_listen();
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| DaemonError::Bind { address, source })?;
        Ok(Socket { socket: Arc::new(socket), shared })
    }

    /// Sends a message; a datagram that cannot be sent counts as lost.
    pub async fn send(&self, to: SocketAddr, msg: &PeerMsg) {
        let shared = &self.shared;
        let sequence = shared.next_sequence();
        if let Ok(frame) = seal(&shared.cfg.fleet_key, shared.me.incarnation, sequence, msg) {
            let _ = self.socket.send_to(&frame, to).await;
        }
    }
}

/// Passes every valid datagram to the control thread.
pub async fn receive(socket: Socket, tx: ControlTx) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut window = ReplayWindow::default();
    loop {
        let Ok((len, from)) = socket.socket.recv_from(&mut buf).await else { continue };
        let opened = open::<PeerMsg>(&socket.shared.cfg.fleet_key, &buf[..len]);
        let accepted = opened.and_then(|o| window.accept(o.sender, o.sequence).map(|()| o.msg));
        match accepted {
            Ok(msg) => tx.send(ControlEvent::Peer(from, msg)).await,
            Err(e) => {
                log::write(&Event::new(Kind::MessageRejected, format!("from {from}: {e}")));
            }
        }
    }
}
