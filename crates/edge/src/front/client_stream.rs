//! The connection of a client, which reports its reads and writes to its port.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::intake::Ticket;

/// A connection with its place among those of its port.
pub struct ClientStream {
    /// Bytes that were read and are read again.
    unread: Bytes,
    stream: TcpStream,
    ticket: Ticket,
    is_blocked: bool,
}

impl ClientStream {
    /// A new connection.
    pub fn new(stream: TcpStream, ticket: Ticket) -> Self {
        ClientStream { unread: Bytes::new(), stream, ticket, is_blocked: false }
    }

    /// Puts back bytes that were read.
    pub fn put_back(&mut self, unread: Bytes) {
        self.unread = unread;
    }

    /// Its place.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        if self.is_blocked != is_blocked {
            self.is_blocked = is_blocked;
            self.ticket.set_unread(is_blocked);
        }
    }

    fn report_write(&mut self, result: &Poll<io::Result<usize>>) {
        // A write that went through shows progress, even if the next one has to wait again.
        self.set_blocked(result.is_pending());
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if self.ticket.resets() {
            // Fails only if the connection has already ended.
            let _ = self.stream.set_zero_linger();
        }
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
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let len = buf.filled().len() - filled;
        if len > 0 {
            self.ticket.received(len);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.report_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.report_write(&result);
        result
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
