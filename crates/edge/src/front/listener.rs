//! Listening sockets and their HTTP connections.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use http::Request;
use http_body_util::combinators::UnsyncBoxBody;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
};

use super::{client_stream::ClientStream, library, pipeline, responses::FullResponse};
use crate::{
    error::EdgeError,
    intake::Port,
    shared::{Phase, Shared},
    stop,
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Connections that are accepted before other tasks run. Those that wait keep what they have received
/// in the system's memory.
const ACCEPTS_AT_ONCE: usize = 4;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Body of a caller's request.
pub type CallerBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// A listening socket.
pub struct Listener {
    listener: TcpListener,
    port: Arc<Port>,
    /// Maximum number of requests of one connection that run at the same time.
    max_ahead: usize,
}

impl Listener {
    /// Starts to listen on an address for clients of a port.
    pub fn bind(
        address: SocketAddr,
        port: &Arc<Port>,
        max_ahead: usize,
    ) -> Result<Self, EdgeError> {
        let buffer_bytes = u32::try_from(port.limits().socket_buffer_bytes).unwrap_or(u32::MAX);
        let open_socket = || -> io::Result<TcpListener> {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            // Accepted connections inherit the sizes. Without them, the system would keep several MB
            // of each client that sends faster than the host reads, or does not read.
            socket.set_recv_buffer_size(buffer_bytes)?;
            socket.set_send_buffer_size(buffer_bytes)?;
            socket.bind(address)?;
            socket.listen(BACKLOG)
        };
        let listener = open_socket().map_err(|source| EdgeError::Bind { address, source })?;
        Ok(Listener { listener, port: Arc::clone(port), max_ahead })
    }

    /// Accepts connections until [`Phase::Closing`], then those that already wait to be accepted, and
    /// waits for the requests in flight.
    pub async fn run<F, Fut>(self, shared: Arc<Shared>, handle: F) -> Result<(), Infallible>
    where
        F: Fn(Request<CallerBody>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Option<FullResponse>> + Send + 'static,
    {
        let max_ahead = self.max_ahead;
        let mut connections = JoinSet::new();
        let start = |connections: &mut JoinSet<()>, stream, from: SocketAddr| {
            shared.ports.admit(&self.port, from.ip(), |ticket| {
                let stream = ClientStream::new(stream, ticket);
                let (shared, handle) = (Arc::clone(&shared), handle.clone());
                connections.spawn(serve_connection(shared, stream, max_ahead, handle))
            })
        };
        let mut phase = shared.phase();
        let mut accepted_count: usize = 0;
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, from)) => {
                        set_no_delay(&stream);
                        start(&mut connections, stream, from);
                        accepted_count += 1;
                        // Tasks of closed connections give their descriptors back before many more
                        // connections are accepted.
                        if accepted_count.is_multiple_of(ACCEPTS_AT_ONCE) {
                            tokio::task::yield_now().await;
                        }
                    }
                    Err(e) => {
                        tracing::warn!(event = 313, error = %e, "Accepting a connection failed.");
                        self.port.free_after(&e);
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                () = wait_for_phase(&mut phase, Phase::Closing) => break,
            }
        }
        while let Some(Ok((stream, from))) = self.listener.accept().now_or_never() {
            set_no_delay(&stream);
            start(&mut connections, stream, from);
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
        Ok(())
    }
}

fn set_no_delay(stream: &TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(error = %e, "Setting TCP_NODELAY on a connection failed.");
    }
}

/// Waits until the process has reached a phase.
pub async fn wait_for_phase(phases: &mut watch::Receiver<Phase>, phase: Phase) {
    // The sender exists until the process ends, so the wait cannot fail.
    let _ = phases.wait_for(|p| *p >= phase).await.map(|_| ());
}

async fn serve_connection<F, Fut>(
    shared: Arc<Shared>,
    mut stream: ClientStream,
    max_ahead: usize,
    handle: F,
) where
    F: Fn(Request<CallerBody>) -> Fut,
    Fut: Future<Output = Option<FullResponse>> + Send + 'static,
{
    let socket = Arc::clone(stream.socket());
    let mut first = None;
    loop {
        match pipeline::serve(&shared, stream, first, max_ahead, &handle).await {
            Ok(pipeline::Served::OtherRequest(unread)) => stream = unread,
            Ok(pipeline::Served::Closing) => break,
            Ok(pipeline::Served::Ended) => return,
            Err(e) => {
                tracing::debug!(error = %e, "A connection to a caller failed.");
                return;
            }
        }
        match library::serve(&shared, stream, &handle).await {
            library::Served::ReadAhead(unread, req) => (stream, first) = (unread, Some(req)),
            library::Served::Closing => break,
            library::Served::Ended => return,
        }
    }
    socket.close(stop::wait_for_last_closings(&shared), &shared.metrics).await;
}
