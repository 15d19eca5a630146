//! Calls to the store.

use std::{
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jasminestage_core::config::{Acks, ChunkHash, DomainAck, Root, chunk::Chunk};
use jasminestage_platform::store::{
    Condition, Freshness, Put, StoreClient, StoreError as CallError, WriteOutcome,
};
use thiserror::Error;
use tokio::sync::Mutex;

use crate::records::{ACK_PREFIX, ROOT_KEY, ack_key, chunk_key};

/// Time that one watch waits for a change; a store that swallowed the call is noticed soon after.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Told of each call: its kind, whether it was answered, and how long it took.
pub type Observer = Arc<dyn Fn(&'static str, bool, Duration) + Send + Sync>;

/// Settings of the client.
#[derive(Clone)]
pub struct Options {
    /// Base URL of the service: `http://`, an IP address and a port.
    pub url: String,
    /// Longest time for one call.
    pub timeout: Duration,
    /// Told of each call.
    pub observer: Option<Observer>,
}

impl fmt::Debug for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Options").field("url", &self.url).field("timeout", &self.timeout).finish()
    }
}

impl Default for Options {
    fn default() -> Self {
        Options {
            url: "http://127.0.0.1:2379".to_owned(),
            timeout: Duration::from_secs(1),
            observer: None,
        }
    }
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The URL of the service names no IP address and port.
    #[error("The URL of the store, '{url}', is not 'http://' with an IP address and a port.")]
    Address {
        /// Base URL of the service.
        url: String,
    },
    /// The service did not answer or answered with an error.
    #[error("The store at '{url}' does not answer: {source}")]
    Call {
        /// Base URL of the service.
        url: String,
        /// The error of the call.
        source: CallError,
    },
    /// The root record cannot be read.
    #[error("The root record in the store is damaged: {0}.")]
    DamagedRoot(serde_json::Error),
    /// A chunk is missing.
    #[error("The chunk '{0}' is not in the store.")]
    ChunkMissing(ChunkHash),
    /// A chunk is not text.
    #[error("The chunk '{0}' is not UTF-8 text.")]
    ChunkDamaged(ChunkHash),
}

/// A value and the version that a compare-and-swap must name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The store's version of it.
    pub version: u64,
}

/// Client of the platform's key-value service; clones share one connection.
#[derive(Clone)]
pub struct Client {
    store: Arc<Mutex<Option<StoreClient>>>,
    cfg: Options,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("cfg", &self.cfg).finish_non_exhaustive()
    }
}

impl Client {
    /// A client that has not connected yet.
    pub fn new(cfg: Options) -> Self {
        Client { store: Arc::default(), cfg }
    }

    /// Reads the value of one key.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned<Vec<u8>>>, StoreError> {
        let found = self.call("get", async |store| store.get(key).await).await?;
        Ok(found.map(|item| Versioned { value: item.value, version: item.revision }))
    }

    /// Writes a key if it still has `version` (0: if it does not exist); says whether it did.
    pub async fn swap(&self, key: &str, version: u64, value: &[u8]) -> Result<bool, StoreError> {
        let conditions = [Condition { key: key.to_owned(), revision: version }];
        Ok(self.write(&conditions, key, value).await? != WriteOutcome::ConditionFailed)
    }

    /// Writes a key whatever it holds.
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

    /// Reads what the failure domains have acknowledged; damaged records are left out.
    pub async fn acks(&self) -> Result<Acks, StoreError> {
        let found = self
            .call("range", async |store| store.range(ACK_PREFIX, Freshness::Latest).await)
            .await?;
        let read = found.items.into_iter().filter_map(|item| {
            let domain = item.key.strip_prefix(ACK_PREFIX)?.to_owned();
            match serde_json::from_slice(&item.value) {
                Ok(ack) => Some((domain, ack)),
                Err(e) => {
                    tracing::warn!(domain, error = %e, "An acknowledgement is damaged.");
                    None
                }
            }
        });
        Ok(read.collect())
    }

    /// Records what a failure domain has in force.
    pub async fn put_ack(&self, domain: &str, ack: &DomainAck) -> Result<(), StoreError> {
        let body = serde_json::to_vec(ack).map_err(StoreError::DamagedRoot)?;
        self.put(&ack_key(domain), &body).await
    }

    /// Reads the root record.
    pub async fn root(&self) -> Result<Option<Versioned<Root>>, StoreError> {
        let Some(found) = self.get(ROOT_KEY).await? else { return Ok(None) };
        let value = serde_json::from_slice(&found.value).map_err(StoreError::DamagedRoot)?;
        Ok(Some(Versioned { value, version: found.version }))
    }

    /// Replaces the root record if it still has `version`.
    pub async fn swap_root(&self, version: u64, root: &Root) -> Result<bool, StoreError> {
        let body = serde_json::to_vec(root).map_err(StoreError::DamagedRoot)?;
        self.swap(ROOT_KEY, version, &body).await
    }

    /// Reads one chunk.
    pub async fn chunk(&self, hash: ChunkHash) -> Result<Chunk, StoreError> {
        let found = self.get(&chunk_key(&hash)).await?.ok_or(StoreError::ChunkMissing(hash))?;
        let body = String::from_utf8(found.value).map_err(|_| StoreError::ChunkDamaged(hash))?;
        Ok(Chunk { hash, body })
    }

    /// Writes one chunk unless it exists.
    pub async fn put_chunk(&self, body: &str) -> Result<ChunkHash, StoreError> {
        let hash = ChunkHash::of(body);
        self.swap(&chunk_key(&hash), 0, body.as_bytes()).await?;
        Ok(hash)
    }

    /// Watches the root record; calls `changed` after each change until a call fails. It has a
    /// connection of its own, since a watch keeps it busy.
    pub async fn watch_root(&self, mut changed: impl FnMut()) -> Result<(), StoreError> {
        let mut store = self.connect()?;
        let read = store.range(ROOT_KEY, Freshness::Latest).await;
        let mut after = self.observed("range", Instant::now(), read)?.revision;
        loop {
            let start = Instant::now();
            let watched = store.watch(ROOT_KEY, after, WATCH_WAIT).await;
            let (changes, at) = self.observed("watch", start, watched)?;
            after = after.max(at);
            if !changes.is_empty() {
                changed();
            }
        }
    }

    async fn call<T>(
        &self,
        kind: &'static str,
        call: impl AsyncFnOnce(&mut StoreClient) -> Result<T, CallError>,
    ) -> Result<T, StoreError> {
        let mut guard = self.store.lock().await;
        let store = match &mut *guard {
            Some(store) => store,
            none => none.insert(self.connect()?),
        };
        let start = Instant::now();
        let outcome = call(store).await;
        self.observed(kind, start, outcome)
    }

    fn connect(&self) -> Result<StoreClient, StoreError> {
        let url = self.cfg.url.as_str();
        let address: Option<SocketAddr> =
            url.strip_prefix("http://").and_then(|a| a.trim_end_matches('/').parse().ok());
        let address = address.ok_or_else(|| StoreError::Address { url: url.to_owned() })?;
        Ok(StoreClient::new(address, self.cfg.timeout))
    }

    fn observed<T>(
        &self,
        kind: &'static str,
        start: Instant,
        outcome: Result<T, CallError>,
    ) -> Result<T, StoreError> {
        if let Some(observer) = &self.cfg.observer {
            observer(kind, outcome.is_ok(), start.elapsed());
        }
        outcome.map_err(|source| StoreError::Call { url: self.cfg.url.clone(), source })
    }
}
