//! Keeps the copy of the servers' announcements up to date, on hosts that read the store for their
//! region and on hosts that cannot reach the store.

use std::{rc::Rc, time::Duration};

use jasminestage_core::steer::position::StorePosition;
use jasminestage_net::clock;
use jasminestage_platform::{
    keys,
    store::{Freshness, StoreClient, StoreError},
};

use super::{
    Backoff, Dependency, READER_CHECK_PERIOD, STORE_TIMEOUT,
    context::{ControlContext, ItemKind},
    log_failed_read, wait_for_first_copy,
};

/// Time for which one watch waits for a change. Servers renew their entries more often, so that a call
/// that the store never answers is detected soon and costs no further calls.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Pause after a read, so that the next one returns a burst of changes together.
const BATCH_PAUSE: Duration = Duration::from_millis(250);

/// Reads all announcements, then their changes, until the process ends.
pub async fn follow(context: Rc<ControlContext>) {
    let mut store = StoreClient::new(context.shared.cfg.store, STORE_TIMEOUT);
    let mut backoff = Backoff::default();
    let mut dependency = Dependency::new("servers in the store");
    wait_for_first_copy(&context, ItemKind::Servers).await;
    let (mut is_complete, mut is_reading) =
        (context.position(ItemKind::Servers) > StorePosition::default(), true);
    loop {
        if is_complete && !context.is_store_reader() {
            is_reading = false;
            tokio::time::sleep(READER_CHECK_PERIOD).await;
            continue;
        }
        if !std::mem::replace(&mut is_reading, true) {
            context.begin_store_reading();
        }
        let called_at = clock::now();
        let result = if is_complete {
            read_changes(&context, &mut store).await
        } else {
            read_all(&context, &mut store).await
        };
        match result {
            Ok(()) => {
                is_complete = true;
                backoff.reset();
                dependency.report_recovery();
                tokio::time::sleep(BATCH_PAUSE).await;
            }
            Err(StoreError::HistoryCompacted) => is_complete = false,
            Err(StoreError::Restored { expected, actual }) if expected < actual => {
                is_complete = false;
            }
            Err(e) => {
                // The pages of a whole read are smaller than a watch that returns too many changes.
                is_complete &= !matches!(e, StoreError::ResponseTooLarge { .. });
                dependency.report_failure(&e);
                log_failed_read("servers", called_at, &e);
                context.record_failed_store_read(called_at);
                backoff.pause().await;
            }
        }
    }
}

async fn read_all(context: &ControlContext, store: &mut StoreClient) -> Result<(), StoreError> {
    let range = async |s: &mut StoreClient| s.range(keys::SERVER_PREFIX, Freshness::Latest).await;
    let result = context.store_gate.call(store, range).await;
    context.shared.metrics.count_store_call("range servers", result.is_ok());
    let snapshot = result?;
    context.record_store_read();
    context.replace_servers(snapshot);
    Ok(())
}

async fn read_changes(context: &ControlContext, store: &mut StoreClient) -> Result<(), StoreError> {
    let watch = async |s: &mut StoreClient| {
        let after = context.position(ItemKind::Servers);
        s.watch(keys::SERVER_PREFIX, after, WATCH_WAIT).await
    };
    let result = context.store_gate.call(store, watch).await;
    context.shared.metrics.count_store_call("watch servers", result.is_ok());
    let (changes, position) = result?;
    context.record_store_read();
    context.apply(ItemKind::Servers, changes, position);
    Ok(())
}
