//! The platform's services: the store and the list of hosts.

use std::{sync::Arc, time::Duration};

use jasminestage_core::config::{ChunkHash, Root};
use jasminestage_store::{Client, Observer, Options, StoreError};

use crate::{
    clock,
    control::{ControlEvent, ControlTx},
    metrics::Metrics,
    options::PlatformOptions,
};

/// Time before a failed call is tried again.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// A client of the store whose calls are counted.
pub fn client(cfg: &PlatformOptions, metrics: Arc<Metrics>) -> Client {
    let observer: Observer = Arc::new(move |kind, is_ok, took| {
        metrics.store_call(kind, is_ok, took);
    });
    let (url, timeout) = (cfg.store.clone(), cfg.timeout);
    Client::new(Options { url, timeout, observer: Some(observer) })
}

/// Reads the root record now and after each change, for ever.
pub async fn watch_root(store: Client, tx: ControlTx) {
    loop {
        let (changed_tx, mut changed) = tokio::sync::mpsc::channel(1);
        let watch = store.watch_root(|| {
            let _ = changed_tx.try_send(());
        });
        let reads = async {
            loop {
                read_root(&store, &tx).await;
                if changed.recv().await.is_none() {
                    break;
                }
            }
        };
        tokio::select! {
            _ = watch => tx.send(ControlEvent::StoreFailed).await,
            () = reads => {}
        }
        tokio::time::sleep(RETRY_PERIOD).await;
    }
}

/// Reads the root record once.
pub async fn read_root(store: &Client, tx: &ControlTx) {
    let asked = clock::now();
    match store.root().await {
        Ok(Some(found)) => tx.send(ControlEvent::Root(found.value, found.version, asked)).await,
        Ok(None) => {}
        Err(_) => tx.send(ControlEvent::StoreFailed).await,
    }
}

/// Fetches chunks until all are here.
pub async fn fetch_chunks(store: Client, hashes: Vec<ChunkHash>, tx: ControlTx) {
    let mut chunks = Vec::with_capacity(hashes.len());
    for hash in hashes {
        match store.chunk(hash).await {
            Ok(chunk) => chunks.push(chunk),
            Err(StoreError::Call { .. }) => tx.send(ControlEvent::StoreFailed).await,
            Err(_) => {}
        }
    }
    tx.send(ControlEvent::Chunks(chunks)).await;
}

/// Replaces the root record, then reads it back whatever the answer was.
pub async fn swap_root(store: Client, version: u64, root: Root, tx: ControlTx) {
    let _ = store.swap_root(version, &root).await;
    read_root(&store, &tx).await;
}
