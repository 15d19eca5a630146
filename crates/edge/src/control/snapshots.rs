//! Items of the store between hosts, for hosts that leave reading it to others or that it does not
//! serve.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::SinkExt;
use jasminestage_core::steer::{
    mirror::{ItemChange, Snapshot},
    server_changes::ServerUpdate,
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::beliefs::{Beliefs, Kind};

/// Largest snapshot in bytes.
const MAX_SNAPSHOT: usize = 16 * 1024 * 1024;
/// Longest time of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two looks at what other hosts know.
const PERIOD: Duration = Duration::from_millis(250);
/// What a host asks for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Ask {
    /// All orders.
    Orders,
    /// Changes of servers after the news up to this revision.
    Servers(u64),
}

/// What it gets.
#[derive(Debug, Serialize, Deserialize)]
enum Given {
    /// All orders.
    Orders(Snapshot),
    /// All servers, with the revision up to which the giver knows the news.
    AllServers(Snapshot, u64),
    /// Changes of servers.
    Servers {
        /// The changes.
        changes: Vec<ItemChange>,
        /// Revision up to which the giver has followed the store.
        at: u64,
        /// Revision up to which the giver knows the news.
        news: u64,
        /// Time for which the giver still holds removals back.
        hold: Duration,
    },
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> Frames {
    LengthDelimitedCodec::builder().max_frame_length(MAX_SNAPSHOT).new_framed(stream)
}

/// Answers other hosts for as long as the process runs.
pub async fn serve(beliefs: Rc<Beliefs>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let beliefs = Rc::clone(&beliefs);
                tokio::task::spawn_local(async move {
                    match timeout(EXCHANGE_TIMEOUT, answer(&beliefs, stream)).await {
                        Ok(Ok(())) => {}
                        Ok(Err(e)) => tracing::debug!(%from, error = %e, "A copy was not given."),
                        Err(_) => tracing::debug!(%from, "A host did not take its copy in time."),
                    }
                });
            }
            Err(e) => {
                tracing::warn!(event = 352, error = %e, "A host's connection was not accepted.");
                tokio::time::sleep(PERIOD).await;
            }
        }
    }
}

type ExchangeError = Box<dyn std::error::Error>;

async fn answer(beliefs: &Beliefs, stream: TcpStream) -> Result<(), ExchangeError> {
    let mut frames = frames(stream);
    let Some(frame) = next(&mut frames).await? else { return Ok(()) };
    let ask: Ask = postcard::from_bytes(&frame)?;
    frames.send(Bytes::from(postcard::to_stdvec(&given(beliefs, ask))?)).await?;
    Ok(())
}

fn given(beliefs: &Beliefs, ask: Ask) -> Given {
    let after = match ask {
        Ask::Orders => return Given::Orders(beliefs.snapshot(Kind::Orders)),
        Ask::Servers(after) => after,
    };
    match beliefs.server_update(after) {
        (ServerUpdate::Changes(changes), news) => {
            let (at, hold) = (beliefs.at(Kind::Servers), beliefs.holds_removals_for());
            Given::Servers { changes, at, news, hold }
        }
        (ServerUpdate::SnapshotRequired, news) => {
            Given::AllServers(beliefs.snapshot(Kind::Servers), news)
        }
    }
}

async fn next(frames: &mut Frames) -> Result<Option<bytes::BytesMut>, std::io::Error> {
    use futures_util::StreamExt;
    frames.next().await.transpose()
}

/// Takes changes from hosts that know more, for as long as the process runs.
pub async fn pull(beliefs: Rc<Beliefs>) {
    let (mut lacked_orders, mut lacked_servers) = (false, false);
    loop {
        tokio::time::sleep(PERIOD).await;
        // The store usually tells a reader the change itself within one look.
        let patient = beliefs.is_reader();
        let ahead = beliefs.ahead_on_orders();
        if let Some(peer) = ahead.filter(|_| lacked_orders || !patient) {
            take(&beliefs, peer, Ask::Orders).await;
        }
        lacked_orders = ahead.is_some();
        let ahead = beliefs.ahead_on_servers();
        if let Some(peer) = ahead.filter(|_| lacked_servers || !patient) {
            take(&beliefs, peer, Ask::Servers(beliefs.news())).await;
        }
        lacked_servers = ahead.is_some();
    }
}

async fn take(beliefs: &Beliefs, peer: SocketAddr, ask: Ask) {
    match timeout(EXCHANGE_TIMEOUT, exchange(peer, ask)).await {
        Ok(Ok(Given::Orders(snapshot))) => {
            let (at, items) = (snapshot.revision, snapshot.items.len());
            tracing::info!(event = 353, %peer, ?ask, at, items, "Items were taken from a host.");
            beliefs.replace(Kind::Orders, snapshot);
        }
        Ok(Ok(Given::AllServers(snapshot, news))) => {
            let (at, items) = (snapshot.revision, snapshot.items.len());
            tracing::info!(event = 353, %peer, ?ask, at, items, "Items were taken from a host.");
            beliefs.replace_servers(snapshot, news);
        }
        Ok(Ok(Given::Servers { changes, at, news, hold })) => {
            beliefs.hold_removals_for(hold);
            let items = changes.len();
            tracing::info!(event = 353, %peer, ?ask, at, items, "Items were taken from a host.");
            beliefs.apply(Kind::Servers, changes, at);
            beliefs.follow_news(news);
        }
        Ok(Err(e)) => {
            tracing::info!(event = 354, %peer, ?ask, error = %e, "A host gave nothing.");
        }
        Err(_) => tracing::info!(event = 354, %peer, ?ask, "A host gave nothing in time."),
    }
}

async fn exchange(peer: SocketAddr, ask: Ask) -> Result<Given, ExchangeError> {
    let mut frames = frames(TcpStream::connect(peer).await?);
    frames.send(Bytes::from(postcard::to_stdvec(&ask)?)).await?;
    let frame = next(&mut frames).await?.ok_or("the connection ended")?;
    Ok(postcard::from_bytes(&frame)?)
}
