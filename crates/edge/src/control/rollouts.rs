//! Records the states of rollouts in the store.

use std::{rc::Rc, time::Duration};

use jasminestage_core::steer::control::DueRecord;
use jasminestage_platform::{
    store::{Condition, Put, StoreClient, StoreError, WriteOutcome},
    store_items,
};

use super::{
    Dependency, STORE_TIMEOUT,
    context::{ControlContext, ItemKind},
};
use jasminestage_core::steer::mirror::{Item, ItemChange};

/// Period in which due records are written.
const RECORD_PERIOD: Duration = Duration::from_millis(250);

/// Records due rollout states until the process ends.
pub async fn record_due_states(context: Rc<ControlContext>) {
    let mut store = StoreClient::new(context.shared.cfg.store, STORE_TIMEOUT);
    let mut dependency = Dependency::new("rollout states in the store");
    loop {
        tokio::time::sleep(RECORD_PERIOD).await;
        for due in context.due_records() {
            match record(&context, &mut store, &due).await {
                Ok(()) => dependency.report_recovery(),
                Err(e) => dependency.report_failure(&e),
            }
        }
    }
}

/// Writes a state unless the store already holds a record that was written after the order and has
/// the same state or makes this one no longer due.
async fn record(
    context: &ControlContext,
    store: &mut StoreClient,
    due: &DueRecord,
) -> Result<(), StoreError> {
    let order = &due.order;
    let (key, value) = store_items::encode_rollout_state(&order.service, &order.version, due.state);
    let stored = store.get(&key).await;
    context.shared.metrics.count_store_call("get state", stored.is_ok());
    let stored = stored?;
    let revision = stored.as_ref().map_or(0, |i| i.revision);
    if let Some(item) = stored.filter(|i| i.revision > order.revision) {
        let is_same = item.value == value;
        context.apply(ItemKind::RolloutStates, vec![ItemChange::Written(item)], 0);
        if is_same || !context.due_records().contains(due) {
            return Ok(());
        }
    }
    let writes = [Put { key: key.clone(), value: value.clone(), lease: 0 }];
    let conditions = [Condition { key: key.clone(), revision }];
    let result = store.write(&conditions, &writes, &[]).await;
    context.shared.metrics.count_store_call("write state", result.is_ok());
    if let WriteOutcome::Committed(revision) = result? {
        tracing::info!(
            event = 340,
            service = order.service,
            version = order.version,
            state = ?due.state,
            revision,
            "This host recorded the state of a rollout."
        );
        let item = Item { key, value, revision };
        context.apply(ItemKind::RolloutStates, vec![ItemChange::Written(item)], 0);
    }
    Ok(())
}
