//! HTTP servers and free addresses on the loopback interface.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
};

use salvo::{Listener, Router, Server, conn, conn::Acceptor, server::ServerHandle};

/// Serves `router` on `address`; port 0 selects a free port. Returns the bound address.
pub async fn start(address: SocketAddr, router: Router) -> (SocketAddr, ServerHandle) {
    let acceptor = conn::TcpListener::new(address).bind().await;
    let bound = acceptor.holdings()[0].local_addr.clone();
    let bound = bound.into_std().expect("the listener is bound to an IP address");
    let server = Server::new(acceptor);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    (bound, handle)
}

/// Loopback address with port 0, which binds to a free port.
pub fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Ports below the range that the system assigns to outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Returns an address that is free for TCP and UDP; each call returns another one.
///
/// Its IP address is a loopback address derived from the process id, so that no other test process
/// binds it first.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(PORT_RANGE.start);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = [127, 64 | (high & 63), middle, low];
    // The address isn't probed by binding it: a child process that another thread forks at that
    // moment would inherit the socket and keep it open until it calls exec.
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(PORT_RANGE.contains(&port), "all ports of this process are in use");
    SocketAddr::from((ip, port))
}
