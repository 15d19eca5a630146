//! Serving a router on an ephemeral port of the loopback address.

use std::net::SocketAddr;

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

/// A port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any_port()).expect("the loopback address is there");
    listener.local_addr().expect("a bound listener has an address")
}
