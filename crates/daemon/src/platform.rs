//! Reads from and writes to the platform's store, for the control thread.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use jasminestage_core::{
    config::{ChunkHash, DomainAck, LocalConfig, Root, chunk::read_index},
    host::HostInfo,
};
use jasminestage_store::{Client, ClientOptions, Observer, StoreError, Versioned};

use crate::{
    clock,
    control::{ControlEvent, ControlSender},
    metrics::Metrics,
    options::PlatformOptions,
};

/// Time before a failed watch is restarted.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Creates a client of the store that records metrics of its calls.
pub fn client(cfg: &PlatformOptions, metrics: Arc<Metrics>) -> Client {
    let observer: Observer = Arc::new(move |kind, is_ok, took| {
        metrics.record_store_call(kind, is_ok, took);
    });
    let (url, timeout) = (cfg.store.clone(), cfg.timeout);
    Client::new(ClientOptions { url, timeout, observer: Some(observer) })
}

/// Reads the root record now and after each change; never returns.
pub async fn watch_root(store: Client, tx: ControlSender) {
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
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the root record once.
pub async fn read_root(store: &Client, tx: &ControlSender) {
    let read_started = clock::now();
    match store.root().await {
        Ok(Some(Versioned { value: root, era, .. })) => {
            tx.send(ControlEvent::Root { root, read_started, era }).await;
        }
        Ok(None) => {}
        Err(_) => tx.send(ControlEvent::StoreFailed).await,
    }
}

/// Reads the root record, then the acknowledgements.
pub async fn read_acks(store: &Client, tx: &ControlSender) {
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

/// Fetches chunks; missing and invalid ones are left out.
pub async fn fetch_chunks(store: Client, hashes: Vec<ChunkHash>, tx: ControlSender) {
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

/// Replaces the root record if the stored one is the base of `next`, then reads it back whatever
/// the result of the write was.
pub async fn swap_root(store: &Client, next: &Root, tx: &ControlSender) {
    if let Ok(Some(stored)) = store.root().await
        && is_base_of(&stored, next)
    {
        let _ = store.compare_and_swap_root(stored.version, next).await;
    }
    read_root(store, tx).await;
}

/// Writes a root record and its chunks again if the store has returned to a record from which it was
/// derived, then reads the root record.
pub async fn restore_root(store: &Client, config: &LocalConfig, tx: &ControlSender) {
    if let Ok(Some(stored)) = store.root().await
        && stored.value.revision < config.root.revision
        && config.root.includes(&stored.value) == Some(true)
        && put_chunks_since(store, &stored.value, config).await.is_ok()
    {
        let _ = store.compare_and_swap_root(stored.version, &config.root).await;
    }
    read_root(store, tx).await;
}

/// Writes the chunks of a configuration that an earlier record does not list.
async fn put_chunks_since(
    store: &Client,
    earlier: &Root,
    config: &LocalConfig,
) -> Result<(), StoreError> {
    let mut stored: BTreeSet<ChunkHash> = earlier.index.iter().copied().collect();
    for hash in &earlier.index {
        let index = store.chunk(*hash).await?;
        stored.extend(read_index(&index.body).into_iter().map(|entry| entry.hash));
    }
    for (_, body) in config.chunks.iter().filter(|(hash, _)| !stored.contains(hash)) {
        store.put_chunk(body).await?;
    }
    Ok(())
}

/// Releases the seat of this host, and repeats the write after conflicts with other writers of the
/// root record. The host must not use the seat afterwards, whether or not the write succeeds.
pub async fn release_seat(store: &Client, own_info: &HostInfo) {
    while let Ok(Some(stored)) = store.root().await {
        let write_id = format!("{}-release-{}", own_info.incarnation, stored.version);
        let Some(next) = stored.value.with_released_seat(own_info, &write_id) else { return };
        if !matches!(store.compare_and_swap_root(stored.version, &next).await, Ok(false)) {
            return;
        }
    }
}

fn is_base_of(stored: &Versioned<Root>, next: &Root) -> bool {
    next.recent.last().is_some_and(|base| {
        base.revision == stored.value.revision && base.write_id == stored.value.write_id
    })
}

/// Writes the acknowledgement of a failure domain.
pub async fn write_ack(store: Client, domain: String, ack: DomainAck, tx: ControlSender) {
    if store.put_ack(&domain, &ack).await.is_err() {
        tx.send(ControlEvent::AckFailed).await;
    }
}
