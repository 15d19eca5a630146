//! HTTP/1.1 connections that carry one request at a time and are never repeated behind the caller's
//! back.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Time on a silent connection after which the kernel probes the other end, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// An open connection; dropping it closes the socket at once.
pub struct Connection {
    /// Sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails when the other end takes no connection within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let probes = socket2::TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE)
            .with_retries(KEEPALIVE_PROBES);
        socket2::SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = driver.await {
                tracing::debug!(%address, error = %e, "A connection ended.");
            }
        });
        Ok(Connection { sender, driver })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
