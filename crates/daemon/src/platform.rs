//! The platform's store.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    config::{ChunkHash, DomainAck, Root},
    host::HostInfo,
};
use jasminestage_store::{Client, ClientOptions, Observer, StoreError, Versioned};

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
    Client::new(ClientOptions { url, timeout, observer: Some(observer) })
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
        let ended = tokio::select! {
            ended = watch => ended,
            () = reads => Ok(()),
        };
        if ended.is_err() {
            tx.send(ControlEvent::StoreFailed).await;
            tokio::time::sleep(RETRY_PERIOD).await;
        }
    }
}

/// Reads the root record once.
pub async fn read_root(store: &Client, tx: &ControlTx) {
    let asked = clock::now();
    match store.root().await {
        Ok(Some(found)) => tx.send(ControlEvent::Root(found.value, asked)).await,
        Ok(None) => {}
        Err(_) => tx.send(ControlEvent::StoreFailed).await,
    }
}

/// Reads the root record, then the acknowledgements.
pub async fn read_acks(store: &Client, tx: &ControlTx) {
    let read = async {
        let root = store.root().await?;
        Ok::<_, StoreError>((root, store.acks().await?))
    };
    match read.await {
        Ok((Some(root), acks)) => tx.send(ControlEvent::Acks(root.value, acks)).await,
        Ok((None, _)) => {}
        Err(_) => tx.send(ControlEvent::StoreFailed).await,
    }
}

/// Fetches chunks; those that cannot be had are left out.
pub async fn fetch_chunks(store: Client, hashes: Vec<ChunkHash>, tx: ControlTx) {
    let mut chunks = Vec::with_capacity(hashes.len());
    for hash in hashes {
        match store.chunk(hash).await {
            Ok(chunk) => chunks.push(chunk),
            Err(StoreError::Call { .. }) => return tx.send(ControlEvent::StoreFailed).await,
            Err(_) => {}
        }
    }
    tx.send(ControlEvent::Chunks(chunks)).await;
}

/// Replaces the root record if the one before `next` still stands, then reads it back whatever the
/// answer was.
pub async fn swap_root(store: &Client, next: &Root, tx: &ControlTx) {
    if let Ok(Some(held)) = store.root().await
        && is_base(&held, next)
    {
        let _ = store.compare_and_swap_root(held.version, next).await;
    }
    read_root(store, tx).await;
}

/// Gives the seat of this host back, against other writers of the root record. The host must use it
/// no more, whether or not the store hears of it.
pub async fn release_seat(store: &Client, me: &HostInfo) {
    while let Ok(Some(held)) = store.root().await {
        let write_id = format!("{}-release-{}", me.incarnation, held.version);
        let Some(next) = held.value.with_released_seat(me, &write_id) else { return };
        if !matches!(store.compare_and_swap_root(held.version, &next).await, Ok(false)) {
            return;
        }
    }
}

fn is_base(held: &Versioned<Root>, next: &Root) -> bool {
    next.recent.last().is_some_and(|base| {
        base.revision == held.value.revision && base.write_id == held.value.write_id
    })
}

/// Records what a failure domain has in force.
pub async fn write_ack(store: Client, domain: String, ack: DomainAck, tx: ControlTx) {
    if store.put_ack(&domain, &ack).await.is_err() {
        tx.send(ControlEvent::AckFailed).await;
    }
}
