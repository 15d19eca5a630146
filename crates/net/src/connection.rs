//! HTTP/1.1 client connections that carry one request at a time and never retry a request.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Idle time after which the kernel probes the other end of a connection, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum size of the head of a response, and of a part of its body that is read at once.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// An open connection; dropping it closes the socket immediately.
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be established within `connect_timeout`.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> io::Result<Connection> {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let probes = socket2::TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        socket2::SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = driver.await {
                tracing::debug!(%address, error = %e, "The HTTP connection failed.");
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
