//! Whole copies of the store's items between hosts, for a host that the store does not serve.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::SinkExt;
use jasminestage_core::steer::mirror::Snapshot;
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
/// Silence of the store after which entries of servers are taken from other hosts.
const STORE_SILENCE: Duration = Duration::from_millis(1800);
/// Idle looks between two copies of server entries.
const SERVER_LOOKS: u32 = 3;

/// Which copy a host asks for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Ask {
    Orders,
    Servers,
}

impl Ask {
    fn kind(self) -> Kind {
        match self {
            Ask::Orders => Kind::Orders,
            Ask::Servers => Kind::Servers,
        }
    }
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
    let snapshot = beliefs.snapshot(ask.kind());
    frames.send(Bytes::from(postcard::to_stdvec(&snapshot)?)).await?;
    Ok(())
}

async fn next(frames: &mut Frames) -> Result<Option<bytes::BytesMut>, std::io::Error> {
    use futures_util::StreamExt;
    frames.next().await.transpose()
}

/// Takes copies from hosts that know more, for as long as the process runs.
pub async fn pull(beliefs: Rc<Beliefs>) {
    let mut was_behind = false;
    let mut looks = 0;
    loop {
        tokio::time::sleep(PERIOD).await;
        let ahead = beliefs.ahead_on_orders();
        // The store usually tells the change itself within one look.
        if let Some(peer) = ahead.filter(|_| was_behind) {
            take(&beliefs, peer, Ask::Orders).await;
        }
        was_behind = ahead.is_some();
        looks += 1;
        if beliefs.store_silence() > STORE_SILENCE
            && looks % SERVER_LOOKS == 0
            && let Some(peer) = beliefs.ahead_on_servers()
        {
            take(&beliefs, peer, Ask::Servers).await;
        }
    }
}

async fn take(beliefs: &Beliefs, peer: SocketAddr, ask: Ask) {
    match timeout(EXCHANGE_TIMEOUT, exchange(peer, ask)).await {
        Ok(Ok(snapshot)) => {
            let (at, items) = (snapshot.at, snapshot.items.len());
            tracing::info!(event = 353, %peer, ?ask, at, items, "A copy was taken from a host.");
            beliefs.replace(ask.kind(), snapshot);
        }
        Ok(Err(e)) => {
            tracing::info!(event = 354, %peer, ?ask, error = %e, "A host gave no copy.");
        }
        Err(_) => tracing::info!(event = 354, %peer, ?ask, "A host gave no copy in time."),
    }
}

async fn exchange(peer: SocketAddr, ask: Ask) -> Result<Snapshot, ExchangeError> {
    let mut frames = frames(TcpStream::connect(peer).await?);
    frames.send(Bytes::from(postcard::to_stdvec(&ask)?)).await?;
    let frame = next(&mut frames).await?.ok_or("the connection ended")?;
    Ok(postcard::from_bytes(&frame)?)
}
