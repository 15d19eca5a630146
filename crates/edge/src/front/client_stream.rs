//! The connection of a client, whichever reader parses its requests: reads, writes, the end of the
//! client's side, and the close by the host.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use rustix::net::Shutdown;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::sleep,
};

use crate::{intake::Ticket, metrics::Metrics};

/// Maximum time for which a client may take the last response and close its side.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes that are discarded after the last response.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// How a connection ended that the host has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseOutcome {
    /// The client has closed its side too, so it has received everything.
    Confirmed,
    /// The connection failed.
    Failed,
    /// The client kept its side open.
    TimedOut,
    /// The client went on sending.
    TooManyBytes,
}

impl CloseOutcome {
    /// Label of the metric.
    const fn label(self) -> &'static str {
        match self {
            CloseOutcome::Confirmed => "confirmed",
            CloseOutcome::Failed => "failed",
            CloseOutcome::TimedOut => "timed out",
            CloseOutcome::TooManyBytes => "too many bytes",
        }
    }
}

/// A connection with its place among those of its port.
pub struct ClientSocket {
    stream: TcpStream,
    ticket: Ticket,
    /// Whether bytes were written after the last flush.
    has_unflushed: AtomicBool,
}

impl ClientSocket {
    /// Its place.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Whether everything that was written has been flushed.
    pub fn is_flushed(&self) -> bool {
        !self.has_unflushed.load(Ordering::Relaxed)
    }

    /// Waits until the client has closed its side or the connection has failed, also while bytes are
    /// unread. A client that closes only its sending side cannot be told from one that has left.
    pub async fn closed_by_client(&self) {
        // Interest in priority data includes the end of the stream, but not data to be read. The wait
        // fails only when the runtime is shut down.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Closes the sending side and discards what still arrives until the client has closed its side.
    /// The system resets a connection that is dropped with unread bytes, or that receives bytes after
    /// that, and throws away what it has not sent yet. Ends at `host_ends` at the latest.
    pub async fn close(&self, host_ends: impl Future<Output = ()>, metrics: &Metrics) {
        // What is discarded belongs to no request, so the connection counts as idle.
        self.ticket.set_head_bytes(0);
        let outcome = match rustix::net::shutdown(&self.stream, Shutdown::Write) {
            Ok(()) => tokio::select! {
                outcome = self.discard() => outcome,
                () = sleep(CLOSE_TIMEOUT) => CloseOutcome::TimedOut,
                () = host_ends => CloseOutcome::TimedOut,
            },
            Err(_) => CloseOutcome::Failed,
        };
        metrics.count_closing(outcome.label());
    }

    async fn discard(&self) -> CloseOutcome {
        let mut buf = vec![0; DISCARD_BUFFER_BYTES];
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            if self.stream.readable().await.is_err() {
                return CloseOutcome::Failed;
            }
            match self.stream.try_read(&mut buf) {
                Ok(0) => return CloseOutcome::Confirmed,
                Ok(len) => discarded += len,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return CloseOutcome::Failed,
            }
        }
        CloseOutcome::TooManyBytes
    }
}

impl Drop for ClientSocket {
    fn drop(&mut self) {
        if self.ticket.resets() {
            // Fails only if the connection has already ended.
            let _ = self.stream.set_zero_linger();
        }
    }
}

/// Reads and writes of a connection, which it reports to its port.
pub struct ClientStream {
    /// Bytes that were read and are read again.
    unread: Bytes,
    socket: Arc<ClientSocket>,
    is_blocked: bool,
}

impl ClientStream {
    /// A new connection.
    pub fn new(stream: TcpStream, ticket: Ticket) -> Self {
        let socket = ClientSocket { stream, ticket, has_unflushed: AtomicBool::new(false) };
        ClientStream { unread: Bytes::new(), socket: Arc::new(socket), is_blocked: false }
    }

    /// The connection, also for those who wait for its end while another one reads and writes.
    pub fn socket(&self) -> &Arc<ClientSocket> {
        &self.socket
    }

    /// Puts back bytes that were read, before those that were put back earlier.
    pub fn put_back(&mut self, read: Bytes) {
        self.unread = match self.unread.is_empty() {
            true => read,
            false => [read, std::mem::take(&mut self.unread)].concat().into(),
        };
    }

    /// Takes the bytes that were put back.
    pub fn take_unread(&mut self) -> BytesMut {
        BytesMut::from(std::mem::take(&mut self.unread))
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        if self.is_blocked != is_blocked {
            self.is_blocked = is_blocked;
            self.socket.ticket.set_unread(is_blocked);
        }
    }

    /// Writes with `write` as soon as the socket takes bytes.
    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.socket.has_unflushed.store(true, Ordering::Relaxed);
        let result = loop {
            match self.socket.stream.poll_write_ready(cx) {
                Poll::Ready(Ok(())) => match write(&self.socket.stream) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    result => break Poll::Ready(result),
                },
                Poll::Ready(Err(e)) => break Poll::Ready(Err(e)),
                Poll::Pending => break Poll::Pending,
            }
        };
        // A write that went through shows progress, even if the next one has to wait again.
        self.set_blocked(result.is_pending());
        result
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unread.has_remaining() {
            let len = self.unread.len().min(buf.remaining());
            buf.put_slice(&self.unread.split_to(len));
            return Poll::Ready(Ok(()));
        }
        let socket = &self.socket;
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.stream.try_read(buf.initialize_unfilled()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
                Ok(len) => {
                    buf.advance(len);
                    if len > 0 {
                        socket.ticket.received(len);
                    }
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// All written bytes are in the socket's buffer, so there is nothing to flush.
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.has_unflushed.store(false, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(rustix::net::shutdown(&self.socket.stream, Shutdown::Write).map_err(Into::into))
    }
}
