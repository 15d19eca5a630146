//! Serving a router on an ephemeral port of the loopback address.

use std::{
    hash::{BuildHasher, Hasher, RandomState},
    net::{SocketAddr, TcpListener, UdpSocket},
};

use salvo::{Listener, Router, Server, conn, conn::Acceptor, server::ServerHandle};

/// Starts to serve; port 0 takes any free port.
pub async fn start(address: SocketAddr, router: Router) -> (SocketAddr, ServerHandle) {
    let acceptor = conn::TcpListener::new(address).bind().await;
    let bound = acceptor.holdings()[0].local_addr.clone();
    let bound = bound.into_std().expect("the stand-in listens on an IP address");
    let server = Server::new(acceptor);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    (bound, handle)
}

/// Any free port of the loopback address.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u64> = 10_000..32_000;

/// An address whose port was free for TCP and UDP a moment ago, and that no outgoing connection
/// takes.
pub fn free_address() -> SocketAddr {
    loop {
        let random = RandomState::new().build_hasher().finish();
        let port = PORTS.start + random % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
