//! Keeps the copy of the operator data up to date, on hosts that read the store for their region
//! and on hosts that cannot reach the store.

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

/// Time for which one watch waits for a change. It is short so that a call that the store never
/// answers is detected soon.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Reads all operator data, then its changes, until the process ends.
pub async fn follow(context: Rc<ControlContext>) {
    let mut store = StoreClient::new(context.shared.cfg.store, STORE_TIMEOUT);
    let mut backoff = Backoff::default();
    let mut dependency = Dependency::new("orders in the store");
    wait_for_first_copy(&context, ItemKind::Orders).await;
    let mut is_complete = context.position(ItemKind::Orders) > StorePosition::default();
    loop {
        if is_complete && !context.is_store_reader() {
            tokio::time::sleep(READER_CHECK_PERIOD).await;
            continue;
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
            }
            Err(StoreError::HistoryCompacted) => is_complete = false,
            Err(StoreError::Restored { expected, actual }) if expected < actual => {
                is_complete = false;
            }
            Err(e) => {
                // The pages of a whole read are smaller than a watch that returns too many changes.
                is_complete &= !matches!(e, StoreError::ResponseTooLarge { .. });
                dependency.report_failure(&e);
                log_failed_read("orders", called_at, &e);
                backoff.pause().await;
            }
        }
    }
}

async fn read_all(context: &ControlContext, store: &mut StoreClient) -> Result<(), StoreError> {
    let range = async |s: &mut StoreClient| s.range(keys::OPERATOR_PREFIX, Freshness::Latest).await;
    let result = context.store_gate.call(store, range).await;
    context.shared.metrics.count_store_call("range orders", result.is_ok());
    context.replace(ItemKind::Orders, result?);
    if context.has_rollouts() {
        let states = store.range(keys::ROLLOUT_STATE_PREFIX, Freshness::Latest).await;
        context.shared.metrics.count_store_call("range states", states.is_ok());
        context.replace(ItemKind::RolloutStates, states?);
    }
    Ok(())
}

async fn read_changes(context: &ControlContext, store: &mut StoreClient) -> Result<(), StoreError> {
    let watch = async |s: &mut StoreClient| {
        let after = context.position(ItemKind::Orders);
        s.watch(keys::OPERATOR_PREFIX, after, WATCH_WAIT).await
    };
    let result = context.store_gate.call(store, watch).await;
    context.shared.metrics.count_store_call("watch orders", result.is_ok());
    let (changes, position) = result?;
    context.apply(ItemKind::Orders, changes, position);
    Ok(())
}
