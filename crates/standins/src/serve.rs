//! Serving a router on an ephemeral port of the loopback address.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
};

use salvo::{Listener, Router, Server, conn::Acceptor, conn::TcpListener, server::ServerHandle};

/// Starts to serve; port 0 takes any free port.
pub async fn start(address: SocketAddr, router: Router) -> (SocketAddr, ServerHandle) {
    let acceptor = TcpListener::new(address).bind().await;
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

/// First port that is given out; ports for outgoing connections lie above the last one.
const FIRST_PORT: u16 = 10_000;
/// Last port that is given out.
const LAST_PORT: u16 = 32_000;

/// An address for a process that is about to start, given out once by this process.
///
/// It lies on a loopback address of this process alone and below the ports of outgoing connections,
/// so that no one else takes it before it is bound.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let ip = [127, 64 | (a & 63), b, c];
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(port < LAST_PORT, "a test process uses less than {LAST_PORT} ports");
        let address = SocketAddr::from((ip, port));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
