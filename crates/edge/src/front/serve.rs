//! Listening sockets and the connections that they accept.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
};

use super::answer::Reply;
use crate::{
    error::EdgeError,
    shared::{Phase, Shared},
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Smallest buffer that the HTTP library takes for the head of a request, in bytes.
const MIN_HEAD_BUFFER: usize = 8192;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening socket.
pub struct Server {
    listener: TcpListener,
}

/// The handler gave up the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("The request ended without an answer.")]
struct Dropped;

impl Server {
    /// Listens on an address.
    pub fn bind(address: SocketAddr) -> Result<Self, EdgeError> {
        let listen = || -> io::Result<TcpListener> {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(BACKLOG)
        };
        let listener = listen().map_err(|source| EdgeError::Bind { address, source })?;
        Ok(Server { listener })
    }

    /// Accepts connections until the process closes, then waits for the answers in flight.
    pub async fn run<F, Fut>(self, shared: Arc<Shared>, handle: F) -> Result<(), Infallible>
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Option<Reply>> + Send + 'static,
    {
        let mut connections = JoinSet::new();
        let mut phase = shared.phase();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(connection(Arc::clone(&shared), stream, handle.clone()));
                    }
                    Err(e) => {
                        tracing::warn!(event = 313, error = %e, "A connection was not accepted.");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                () = reached(&mut phase, Phase::Closing) => break,
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
        Ok(())
    }
}

/// Waits until the process has come to a phase.
async fn reached(phases: &mut watch::Receiver<Phase>, phase: Phase) {
    // The sender lives as long as the process, so the wait ends only with the phase.
    let _ = phases.wait_for(|p| *p >= phase).await.map(|_| ());
}

async fn connection<F, Fut>(shared: Arc<Shared>, stream: TcpStream, handle: F)
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Option<Reply>>,
{
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(error = %e, "Delayed sending could not be switched off.");
    }
    let limits = shared.view.load().catalog.limits.clone();
    let service = service_fn(|req| {
        let handled = handle(req);
        async move { handled.await.ok_or(Dropped) }
    });
    // The library measures the time for a head from the end of the answer before, so the limit on
    // idle connections holds for both.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut phase = shared.phase();
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = reached(&mut phase, Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        tracing::debug!(error = %e, "A caller's connection ended.");
    }
}
