//! HTTP/1.1 calls that have certainly ended at a given instant of the boot-time clock.

use std::{
    io::{self, IoSlice},
    net::SocketAddr,
    pin::{Pin, pin},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use jasminestage_core::time::Instant;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::timeout,
};

use crate::clock;

/// Maximum size of the body of a response.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Sends a request on a connection of its own and returns the status of the response.
///
/// No byte is written at or after `until`, also if the process was suspended meanwhile. The connection
/// is reset when the call ends or is given up, so that the kernel sends nothing later either.
///
/// # Errors
///
/// Fails if no complete response arrives before `until`. The request may have been executed.
pub async fn call_until(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    until: Instant,
) -> io::Result<u16> {
    let left = until.saturating_since(clock::now());
    match timeout(left, exchange(address, req, until)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

async fn exchange(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    until: Instant,
) -> io::Result<u16> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    // Closing resets the connection from the start, also when the process is killed.
    stream.set_zero_linger()?;
    // Unacknowledged bytes are not sent again after the end of the call.
    let left = until.saturating_since(clock::now()).max(Duration::from_millis(1));
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(left))?;
    let io = TokioIo::new(BoundedStream { stream, until });
    let (mut sender, driver) = http1::handshake(io).await.map_err(io::Error::other)?;
    let response = async {
        let response = sender.send_request(req).await.map_err(io::Error::other)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        body.collect().await.map_err(io::Error::other)?;
        Ok(status)
    };
    let (mut response, mut driver) = (pin!(response), pin!(driver));
    tokio::select! {
        biased;
        result = response.as_mut() => result,
        // The response may have arrived completely before the connection ended.
        _ = driver.as_mut() => response.await,
    }
}

/// A connection on which nothing is written at or after an instant.
struct BoundedStream {
    stream: TcpStream,
    until: Instant,
}

impl BoundedStream {
    fn check(&self) -> io::Result<()> {
        if clock::now() < self.until { Ok(()) } else { Err(io::ErrorKind::TimedOut.into()) }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.check() {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.check() {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
