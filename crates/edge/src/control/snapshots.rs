//! Transfer of the store's items between hosts over TCP, for hosts that do not read the store
//! themselves or cannot reach it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::SinkExt;
use jasminestage_core::{
    steer::{
        mirror::{CopyState, ItemChange, Snapshot},
        position::StorePosition,
        server_changes::ServerUpdate,
        usage::{HostCounts, WindowId},
    },
    time::{Instant, UnixMillis},
};
use jasminestage_net::clock;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::context::{ControlContext, ItemKind};
use crate::intake::Ticket;

/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 64;
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Timeout of one request and its response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Period in which a host checks whether other hosts have newer items, and pause after a connection
/// could not be accepted.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Minimum time between two whole copies that are fetched because the changes have left something out.
const WHOLE_COPY_PERIOD: Duration = Duration::from_secs(2);

/// Request for items; log lines contain it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum CopyRequest {
    /// All operator data.
    Orders,
    /// The relevant changes of servers after this position; all servers if it is the default.
    Servers(StorePosition),
    /// The counts of one window, for the usage report. A host of an earlier release closes the
    /// connection.
    Usage {
        /// The window.
        window: WindowId,
        /// Era of the store in which the window is to be recorded.
        era: u64,
    },
}

/// Response to a [`CopyRequest`].
#[derive(Debug, Serialize, Deserialize)]
enum CopyResponse {
    /// All operator data.
    Orders(Snapshot),
    /// All servers.
    AllServers {
        /// The servers.
        snapshot: Snapshot,
        /// Time for which the sender still defers removals.
        removal_delay: Duration,
    },
    /// Relevant changes of servers.
    Servers {
        /// The changes.
        changes: Vec<ItemChange>,
        /// The sender's copy, which includes the changes.
        state: CopyState,
        /// Time for which the sender still defers removals.
        removal_delay: Duration,
    },
    /// Counts of a window.
    Usage(UsageCounts),
}

/// Counts of a window that a host has received, its own included.
#[derive(Debug, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Filtered time of day of the host.
    pub unix_ms: UnixMillis,
    /// Counts by host.
    pub hosts: Vec<HostCounts>,
    /// Whether the window was queried in another era of the store.
    pub is_repeated: bool,
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Splits a connection into frames; received ones may have `max_bytes`.
fn frames(stream: TcpStream, max_bytes: usize) -> Frames {
    LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_framed(stream)
}

/// Answers requests of other hosts until the process ends.
pub async fn serve(context: Rc<ControlContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let ports = &context.shared.ports;
                ports.admit(&ports.peers, from.ip(), |ticket| {
                    let context = Rc::clone(&context);
                    let exchange = async move {
                        match timeout(EXCHANGE_TIMEOUT, respond(&context, stream, &ticket)).await {
                            Ok(Ok(())) => {}
                            Ok(Err(e)) => {
                                tracing::debug!(%from, error = %e, "Sending items failed.");
                            }
                            Err(_) => tracing::debug!(%from, "Sending items timed out."),
                        }
                    };
                    tokio::task::spawn_local(exchange).abort_handle()
                });
                // Tasks of closed connections give their descriptors back before the next connection
                // is accepted.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!(
                    event = 352,
                    error = %e,
                    "A connection from another host could not be accepted."
                );
                context.shared.ports.peers.free_after(&e);
                tokio::time::sleep(CHECK_PERIOD).await;
            }
        }
    }
}

/// Error of a request to another host.
pub type ExchangeError = Box<dyn std::error::Error>;

async fn respond(
    context: &ControlContext,
    stream: TcpStream,
    ticket: &Ticket,
) -> Result<(), ExchangeError> {
    let mut frames = frames(stream, MAX_REQUEST_BYTES);
    let Some(frame) = next_frame(&mut frames).await? else { return Ok(()) };
    let request: CopyRequest = postcard::from_bytes(&frame)?;
    let Some(response) = build_response(context, request) else { return Ok(()) };
    let response = Bytes::from(postcard::to_stdvec(&response)?);
    // Counted as unread first: as idle, this connection would be the first to be closed for its bytes.
    ticket.set_unread(true);
    ticket.set_queued_bytes(response.len());
    frames.codec_mut().set_max_frame_length(MAX_RESPONSE_BYTES);
    frames.send(response).await?;
    Ok(())
}

/// Builds the response; `None` if this host does not count usage.
fn build_response(context: &ControlContext, request: CopyRequest) -> Option<CopyResponse> {
    let after = match request {
        CopyRequest::Orders => {
            return Some(CopyResponse::Orders(context.snapshot(ItemKind::Orders)));
        }
        CopyRequest::Servers(after) => after,
        CopyRequest::Usage { window, era } => {
            let (unix_ms, hosts) = context.usage_of_window(window)?;
            let is_repeated = context.record_usage_query(window, era);
            return Some(CopyResponse::Usage(UsageCounts { unix_ms, hosts, is_repeated }));
        }
    };
    let removal_delay = context.removal_delay();
    Some(match context.server_update(after) {
        ServerUpdate::Changes(changes) => {
            CopyResponse::Servers { changes, state: context.servers_state(), removal_delay }
        }
        ServerUpdate::SnapshotRequired => {
            let snapshot = context.snapshot(ItemKind::Servers);
            CopyResponse::AllServers { snapshot, removal_delay }
        }
    })
}

async fn next_frame(frames: &mut Frames) -> Result<Option<bytes::BytesMut>, std::io::Error> {
    use futures_util::StreamExt;
    frames.next().await.transpose()
}

/// Fetches newer items from other hosts until the process ends.
pub async fn pull(context: Rc<ControlContext>) {
    let (mut lacked_operator_data, mut lacked_servers) = (false, false);
    let mut whole_copy_due_at = Instant::ZERO;
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        // A reader usually receives a change from the store within one period, so it fetches the
        // change from another host only if it still lacks it in the next period.
        let waits_for_store = context.is_store_reader();
        let newer_host = context.host_with_newer_operator_data();
        if let Some(peer) = newer_host.filter(|_| lacked_operator_data || !waits_for_store) {
            fetch(&context, peer, CopyRequest::Orders).await;
        }
        lacked_operator_data = newer_host.is_some();
        let newer_host = context.host_with_newer_servers();
        if let Some(peer) = newer_host.filter(|_| lacked_servers || !waits_for_store) {
            fetch_servers(&context, peer, &mut whole_copy_due_at).await;
        }
        lacked_servers = newer_host.is_some();
    }
}

/// Fetches the changes of servers from another host. If the copies differ although they are complete up
/// to the same position, the changes have left something out, and all servers are fetched.
async fn fetch_servers(
    context: &ControlContext,
    peer: SocketAddr,
    whole_copy_due_at: &mut Instant,
) {
    let own = context.servers_state();
    let Some(peer_state) = fetch(context, peer, CopyRequest::Servers(own.position)).await else {
        return;
    };
    let own = context.servers_state();
    let differs = own.position == peer_state.position && own != peer_state;
    let now = clock::now();
    if differs && now >= *whole_copy_due_at {
        *whole_copy_due_at = now + WHOLE_COPY_PERIOD;
        tracing::warn!(
            event = 355,
            %peer,
            era = own.position.era,
            revision = own.position.revision,
            "The copy of the servers differs from that of another host; all servers are fetched."
        );
        fetch(context, peer, CopyRequest::Servers(StorePosition::default())).await;
    }
}

/// Fetches and applies items; returns the state of the other host's copy if changes were received.
async fn fetch(
    context: &ControlContext,
    peer: SocketAddr,
    request: CopyRequest,
) -> Option<CopyState> {
    let own = match request {
        CopyRequest::Orders => context.position(ItemKind::Orders),
        CopyRequest::Servers(_) | CopyRequest::Usage { .. } => context.position(ItemKind::Servers),
    };
    match timeout(EXCHANGE_TIMEOUT, exchange(peer, request)).await {
        Ok(Ok(CopyResponse::Orders(snapshot))) => {
            let (at, items) = (snapshot.position, snapshot.items.len());
            tracing::info!(
                event = 353,
                %peer,
                own = own.revision,
                ask = ?request,
                era = at.era,
                at = at.revision,
                items,
                "Items were received from another host."
            );
            context.replace(ItemKind::Orders, snapshot);
        }
        Ok(Ok(CopyResponse::AllServers { snapshot, removal_delay })) => {
            let (at, items) = (snapshot.position, snapshot.items.len());
            tracing::info!(
                event = 353,
                %peer,
                own = own.revision,
                ask = ?request,
                era = at.era,
                at = at.revision,
                items,
                "Items were received from another host."
            );
            context.extend_removal_delay(removal_delay);
            context.replace_servers(snapshot);
        }
        Ok(Ok(CopyResponse::Servers { changes, state, removal_delay })) => {
            let items = changes.len();
            tracing::info!(
                event = 353,
                %peer,
                own = own.revision,
                ask = ?request,
                era = state.position.era,
                at = state.position.revision,
                items,
                "Items were received from another host."
            );
            context.extend_removal_delay(removal_delay);
            context.apply(ItemKind::Servers, changes, state.position);
            return Some(state);
        }
        // Counts are fetched by `fetch_usage` only.
        Ok(Ok(CopyResponse::Usage(_))) => {}
        Ok(Err(e)) => {
            tracing::info!(
                event = 354,
                %peer,
                ask = ?request,
                error = %e,
                "Fetching items from another host failed."
            );
        }
        Err(_) => tracing::info!(
            event = 354,
            %peer,
            ask = ?request,
            "Fetching items from another host timed out."
        ),
    }
    None
}

/// Fetches the counts of a window from another host.
///
/// # Errors
///
/// Fails if the host does not answer within `limit`, or does not count usage.
pub async fn fetch_usage(
    peer: SocketAddr,
    window: WindowId,
    era: u64,
    limit: Duration,
) -> Result<UsageCounts, ExchangeError> {
    match timeout(limit, exchange(peer, CopyRequest::Usage { window, era })).await?? {
        CopyResponse::Usage(counts) => Ok(counts),
        _ => Err("the response has other items".into()),
    }
}

async fn exchange(peer: SocketAddr, request: CopyRequest) -> Result<CopyResponse, ExchangeError> {
    let mut frames = frames(TcpStream::connect(peer).await?, MAX_RESPONSE_BYTES);
    frames.send(Bytes::from(postcard::to_stdvec(&request)?)).await?;
    let frame =
        next_frame(&mut frames).await?.ok_or("the connection was closed before the response")?;
    Ok(postcard::from_bytes(&frame)?)
}
