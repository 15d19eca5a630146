//! Calls to the store.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::StreamExt;
use jasminestage_core::config::{Acks, ChunkHash, DomainAck, Root, chunk::Chunk};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::time::timeout;

use crate::{
    api::{
        Compare, PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse,
        WatchCreate, WatchLine, WatchRequest,
    },
    records::{ACK_END, ACK_PREFIX, ROOT_KEY, ack_key, chunk_key},
};

/// Largest line of a watch in bytes.
const MAX_WATCH_LINE: usize = 4 * 1024 * 1024;

/// Silence after which a watch counts as dead and is replaced.
const WATCH_SILENCE_LIMIT: Duration = Duration::from_secs(10);
/// Told of each call: its kind, whether it was answered, and how long it took.
pub type Observer = Arc<dyn Fn(&'static str, bool, Duration) + Send + Sync>;

/// Largest answer to a call in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Settings of the client.
#[derive(Clone)]
pub struct Options {
    /// Base URL of the service.
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
    /// The service did not answer or answered with an error.
    #[error("The store at '{url}' does not answer: {source}.")]
    Call {
        /// Base URL of the service.
        url: String,
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The service's answer is not what the interface says.
    #[error("The answer of the store at '{url}' is damaged: {source}.")]
    Damaged {
        /// Base URL of the service.
        url: String,
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// The service's answer is larger than the limit.
    #[error("The answer of the store at '{url}' is larger than {MAX_ANSWER} bytes.")]
    TooLong {
        /// Base URL of the service.
        url: String,
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
    /// A watch ended.
    #[error("The watch on '{0}' ended.")]
    WatchEnded(String),
}

/// A value and the version that a compare-and-swap must name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The store's version of it.
    pub version: u64,
}

/// Client of the platform's key-value service.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    cfg: Options,
}

impl Client {
    /// A client that has not connected yet.
    pub fn new(cfg: Options) -> Self {
        Client { http: reqwest::Client::new(), cfg }
    }

    /// Reads the value of one key.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned<Vec<u8>>>, StoreError> {
        let req = RangeRequest { key: key.into(), ..RangeRequest::default() };
        let answer: RangeResponse = self.post("/v3/kv/range", &req).await?;
        let found = answer.kvs.into_iter().next();
        Ok(found.map(|kv| Versioned { value: kv.value, version: kv.mod_revision }))
    }

    /// Writes a key if it still has `version` (0: if it does not exist); says whether it did.
    pub async fn swap(&self, key: &str, version: u64, value: &[u8]) -> Result<bool, StoreError> {
        let compare = Compare {
            result: "EQUAL".into(),
            target: "MOD".into(),
            key: key.into(),
            mod_revision: version,
        };
        let put = PutRequest { key: key.into(), value: value.to_vec(), lease: 0 };
        let req =
            TxnRequest { compare: vec![compare], success: vec![RequestOp { put: Some(put) }] };
        let answer: TxnResponse = self.post("/v3/kv/txn", &req).await?;
        Ok(answer.succeeded)
    }

    /// Writes a key whatever it holds.
    pub async fn put(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let put = PutRequest { key: key.into(), value: value.to_vec(), lease: 0 };
        let success = vec![RequestOp { put: Some(put) }];
        let req = TxnRequest { compare: Vec::new(), success };
        self.post::<_, TxnResponse>("/v3/kv/txn", &req).await.map(|_| ())
    }

    /// Reads what the failure domains have acknowledged; damaged records are left out.
    pub async fn acks(&self) -> Result<Acks, StoreError> {
        let req = RangeRequest { key: ACK_PREFIX.into(), range_end: ACK_END.into() };
        let answer: RangeResponse = self.post("/v3/kv/range", &req).await?;
        let read = answer.kvs.into_iter().filter_map(|kv| {
            let key = String::from_utf8(kv.key).ok()?;
            let domain = key.strip_prefix(ACK_PREFIX)?.to_owned();
            Some((domain, serde_json::from_slice(&kv.value).ok()?))
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

    /// Watches the root record; calls `changed` after each change until the watch ends or has been
    /// silent for so long that it must be replaced.
    pub async fn watch_root(&self, mut changed: impl FnMut()) -> Result<(), StoreError> {
        let create = WatchCreate { key: ROOT_KEY.into(), ..WatchCreate::default() };
        let req = WatchRequest { create_request: create };
        let send = self.http.post(format!("{}/v3/watch", self.cfg.url)).json(&req).send();
        let start = Instant::now();
        let Ok(answer) = timeout(WATCH_SILENCE_LIMIT, send).await else { return Ok(()) };
        let answer = answer.and_then(|a| a.error_for_status());
        self.observe("/v3/watch", answer.is_ok(), start.elapsed());
        let answer = answer.map_err(|e| self.failed(e))?;
        let mut stream = answer.bytes_stream();
        let mut buf = Vec::new();
        loop {
            let Ok(bytes) = timeout(WATCH_SILENCE_LIMIT, stream.next()).await else {
                return Ok(());
            };
            let Some(bytes) = bytes else { break };
            buf.extend_from_slice(&bytes.map_err(|e| self.failed(e))?);
            while let Some(end) = buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = buf.drain(..=end).collect();
                let line: Option<WatchLine> = serde_json::from_slice(&line).ok();
                if line.is_some_and(|l| !l.result.events.is_empty()) {
                    changed();
                }
            }
            if buf.len() > MAX_WATCH_LINE {
                break;
            }
        }
        Err(StoreError::WatchEnded(ROOT_KEY.to_owned()))
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        req: &Q,
    ) -> Result<A, StoreError> {
        let url = format!("{}{path}", self.cfg.url);
        let start = Instant::now();
        let send = self.http.post(url).timeout(self.cfg.timeout).json(req).send();
        let body = match send.await.and_then(|a| a.error_for_status()) {
            Ok(answer) => self.read(answer).await,
            Err(e) => Err(self.failed(e)),
        };
        let answer = body.and_then(|body| {
            let damaged = |source| StoreError::Damaged { url: self.cfg.url.clone(), source };
            serde_json::from_slice(&body).map_err(damaged)
        });
        self.observe(path, answer.is_ok(), start.elapsed());
        answer
    }

    /// Reads the body of an answer up to a limit.
    async fn read(&self, mut answer: reqwest::Response) -> Result<Vec<u8>, StoreError> {
        let mut body = Vec::new();
        while let Some(bytes) = answer.chunk().await.map_err(|e| self.failed(e))? {
            if body.len() + bytes.len() > MAX_ANSWER {
                return Err(StoreError::TooLong { url: self.cfg.url.clone() });
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body)
    }

    fn observe(&self, path: &str, is_ok: bool, took: Duration) {
        let kind = match path {
            "/v3/kv/range" => "range",
            "/v3/kv/txn" => "txn",
            "/v3/watch" => "watch",
            _ => "other",
        };
        if let Some(observer) = &self.cfg.observer {
            observer(kind, is_ok, took);
        }
    }

    fn failed(&self, source: reqwest::Error) -> StoreError {
        StoreError::Call { url: self.cfg.url.clone(), source }
    }
}
