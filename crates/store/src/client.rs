//! Client of the store.

use std::{
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jasminestage_core::{
    config::{Acks, ChunkHash, DomainAck, Root, chunk::Chunk},
    steer::{mirror::Item, position::StorePosition},
};
use jasminestage_platform::store::{
    Condition, Freshness, Put, StoreClient, StoreError as PlatformError, WriteOutcome,
};
use thiserror::Error;
use tokio::sync::Mutex;

use crate::records::{ACK_PREFIX, ROOT_KEY, ack_key, chunk_key};

/// Time that one watch call waits for a change. Short, so that a lost call is detected soon.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Called after each call to the store with its kind, whether it succeeded, and its duration.
pub type Observer = Arc<dyn Fn(&'static str, bool, Duration) + Send + Sync>;

/// Settings of the client.
#[derive(Clone)]
pub struct ClientOptions {
    /// Base URL of the service: `http://`, an IP address and a port.
    pub url: String,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Called after each call to the store.
    pub observer: Option<Observer>,
}

impl fmt::Debug for ClientOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientOptions")
            .field("url", &self.url)
            .field("timeout", &self.timeout)
            .finish()
    }
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions {
            url: "http://127.0.0.1:2379".to_owned(),
            timeout: Duration::from_secs(1),
            observer: None,
        }
    }
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The URL of the service has no IP address and port.
    #[error(
        "The URL of the store, '{url}', is invalid: use 'http://' with an IP address and a port."
    )]
    InvalidUrl {
        /// Base URL of the service.
        url: String,
    },
    /// The service did not respond or responded with an error.
    #[error("The store at '{url}' does not answer: {source}")]
    Call {
        /// Base URL of the service.
        url: String,
        /// The error of the call.
        source: PlatformError,
    },
    /// The root record cannot be decoded.
    #[error("The root record in the store cannot be decoded: {0}.")]
    InvalidRoot(serde_json::Error),
    /// A chunk does not exist.
    #[error("The chunk '{0}' is not in the store.")]
    ChunkMissing(ChunkHash),
    /// A chunk is not UTF-8 text.
    #[error("The chunk '{0}' is not UTF-8 text.")]
    InvalidChunk(ChunkHash),
}

/// A value and its version, the condition of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Version of the value in the store.
    pub version: u64,
    /// Era of the store in which the value was read; it rises when the store is restored from a copy.
    pub era: u64,
}

/// Client of the platform's key-value service; clones share one connection, except for watches.
#[derive(Clone)]
pub struct Client {
    store: Arc<Mutex<Option<StoreClient>>>,
    cfg: ClientOptions,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("cfg", &self.cfg).finish_non_exhaustive()
    }
}

impl Client {
    /// A client that has not connected yet.
    pub fn new(cfg: ClientOptions) -> Self {
        Client { store: Arc::default(), cfg }
    }

    /// Reads the value of one key.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned<Vec<u8>>>, StoreError> {
        let found = self.call("get", async |store| store.get(key).await).await?;
        let versioned = |item: Item| {
            let StorePosition { era, revision } = item.position;
            Versioned { value: item.value, version: revision, era }
        };
        Ok(found.map(versioned))
    }

    /// Writes a key if its version is still `version` (0: if it does not exist); returns whether it was
    /// written.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        version: u64,
        value: &[u8],
    ) -> Result<bool, StoreError> {
        let conditions = [Condition { key: key.to_owned(), revision: version }];
        Ok(self.write(&conditions, key, value).await? != WriteOutcome::ConditionFailed)
    }

    /// Writes a key unconditionally.
    pub async fn put(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.write(&[], key, value).await.map(|_| ())
    }

    async fn write(
        &self,
        conditions: &[Condition],
        key: &str,
        value: &[u8],
    ) -> Result<WriteOutcome, StoreError> {
        let writes = [Put { key: key.to_owned(), value: value.to_vec(), lease: 0 }];
        self.call("write", async |store| store.write(conditions, &writes, &[]).await).await
    }

    /// Reads the acknowledgements of the failure domains; records that cannot be decoded are left out.
    pub async fn acks(&self) -> Result<Acks, StoreError> {
        let found = self
            .call("range", async |store| store.range(ACK_PREFIX, Freshness::Latest).await)
            .await?;
        let acks = found.items.into_iter().filter_map(|item| {
            let domain = item.key.strip_prefix(ACK_PREFIX)?.to_owned();
            match serde_json::from_slice(&item.value) {
                Ok(ack) => Some((domain, ack)),
                Err(e) => {
                    tracing::warn!(domain, error = %e, "An invalid acknowledgement is ignored.");
                    None
                }
            }
        });
        Ok(acks.collect())
    }

    /// Writes the acknowledgement of a failure domain.
    pub async fn put_ack(&self, domain: &str, ack: &DomainAck) -> Result<(), StoreError> {
        let body = serde_json::to_vec(ack).map_err(StoreError::InvalidRoot)?;
        self.put(&ack_key(domain), &body).await
    }

    /// Reads the root record.
    pub async fn root(&self) -> Result<Option<Versioned<Root>>, StoreError> {
        let Some(found) = self.get(ROOT_KEY).await? else { return Ok(None) };
        let value = serde_json::from_slice(&found.value).map_err(StoreError::InvalidRoot)?;
        Ok(Some(Versioned { value, version: found.version, era: found.era }))
    }

    /// Replaces the root record if its version is still `version`; returns whether it was replaced.
    pub async fn compare_and_swap_root(
        &self,
        version: u64,
        root: &Root,
    ) -> Result<bool, StoreError> {
        let body = serde_json::to_vec(root).map_err(StoreError::InvalidRoot)?;
        self.compare_and_swap(ROOT_KEY, version, &body).await
    }

    /// Reads one chunk.
    pub async fn chunk(&self, hash: ChunkHash) -> Result<Chunk, StoreError> {
        let found = self.get(&chunk_key(&hash)).await?.ok_or(StoreError::ChunkMissing(hash))?;
        let body = String::from_utf8(found.value).map_err(|_| StoreError::InvalidChunk(hash))?;
        Ok(Chunk { hash, body })
    }

    /// Writes one chunk if it does not exist.
    pub async fn put_chunk(&self, body: &str) -> Result<ChunkHash, StoreError> {
        let hash = ChunkHash::of(body);
        self.compare_and_swap(&chunk_key(&hash), 0, body.as_bytes()).await?;
        Ok(hash)
    }

    /// Watches the root record and calls `changed` after each change until a call fails. Uses a
    /// separate connection, because a watch occupies its connection.
    pub async fn watch_root(&self, mut changed: impl FnMut()) -> Result<(), StoreError> {
        let mut store = self.connect()?;
        let mut after = self.root_position(&mut store).await?;
        loop {
            let start = Instant::now();
            let watched = store.watch(ROOT_KEY, after, WATCH_TIMEOUT).await;
            if let Err(PlatformError::HistoryCompacted | PlatformError::Restored { .. }) = watched {
                after = self.root_position(&mut store).await?;
                changed();
                continue;
            }
            let (changes, position) = self.observe_outcome("watch", start, watched)?;
            after = position;
            if !changes.is_empty() {
                changed();
            }
        }
    }

    /// Position of the store from which changes of the root record are followed.
    async fn root_position(&self, store: &mut StoreClient) -> Result<StorePosition, StoreError> {
        let start = Instant::now();
        let read = store.range(ROOT_KEY, Freshness::Latest).await;
        Ok(self.observe_outcome("range", start, read)?.position)
    }

    async fn call<T>(
        &self,
        kind: &'static str,
        call: impl AsyncFnOnce(&mut StoreClient) -> Result<T, PlatformError>,
    ) -> Result<T, StoreError> {
        let mut guard = self.store.lock().await;
        let store = match &mut *guard {
            Some(store) => store,
            empty => empty.insert(self.connect()?),
        };
        let start = Instant::now();
        let outcome = call(store).await;
        self.observe_outcome(kind, start, outcome)
    }

    fn connect(&self) -> Result<StoreClient, StoreError> {
        let url = self.cfg.url.as_str();
        let address: Option<SocketAddr> =
            url.strip_prefix("http://").and_then(|a| a.trim_end_matches('/').parse().ok());
        let address = address.ok_or_else(|| StoreError::InvalidUrl { url: url.to_owned() })?;
        Ok(StoreClient::new(address, self.cfg.timeout))
    }

    fn observe_outcome<T>(
        &self,
        kind: &'static str,
        start: Instant,
        outcome: Result<T, PlatformError>,
    ) -> Result<T, StoreError> {
        if let Some(observer) = &self.cfg.observer {
            observer(kind, outcome.is_ok(), start.elapsed());
        }
        outcome.map_err(|source| StoreError::Call { url: self.cfg.url.clone(), source })
    }
}
