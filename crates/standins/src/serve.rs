//! Serving a router on an ephemeral port of the loopback address.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
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
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// An address that is free for TCP and UDP, given out once by this process. It lies on a loopback
/// address of this process alone, so that no other one takes it before it is bound.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(PORTS.start);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let ip = [127, 64 | (a & 63), b, c];
    // It is not tried by binding it: a process that another thread forks at that moment would hold
    // the socket until it has started its program.
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(PORTS.contains(&port), "a test process uses few ports");
    SocketAddr::from((ip, port))
}
