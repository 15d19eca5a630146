//! Records the states of rollouts in the store.

use std::{rc::Rc, time::Duration};

use jasminestage_core::steer::{
    control::DueRecord,
    mirror::{Item, ItemChange, Snapshot},
    position::StorePosition,
};
use jasminestage_platform::{
    store::{Condition, Put, StoreClient, StoreError, WriteOutcome},
    store_items,
};

use super::{
    Dependency, STORE_TIMEOUT,
    context::{ControlContext, ItemKind},
};

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
/// the same state or makes this one no longer due. While the store is in another era than the order,
/// nothing is written, since it is not known which of the two is newer.
async fn record(
    context: &ControlContext,
    store: &mut StoreClient,
    due: &DueRecord,
) -> Result<(), StoreError> {
    let order = &due.order;
    let (key, value) = store_items::encode_rollout_state(&order.service, &order.version, due.state);
    let stored = store.get(&key).await;
    context.shared.metrics.count_store_call("get state", stored.is_ok());
    let (stored, era) = (stored?, store.era());
    if era != order.position.era {
        return Ok(());
    }
    let revision = stored.as_ref().map_or(0, |i| i.position.revision);
    if let Some(item) = stored.filter(|i| i.position > order.position) {
        let is_same = item.value == value;
        apply_record(context, item);
        if is_same || !context.due_records().contains(due) {
            return Ok(());
        }
    }
    let writes = [Put { key: key.clone(), value: value.clone(), lease: 0 }];
    let conditions = [Condition { key: key.clone(), revision }];
    let result = store.write(&conditions, &writes, &[]).await;
    context.shared.metrics.count_store_call("write state", result.is_ok());
    if let WriteOutcome::Committed(position) = result? {
        if position.era != era {
            return Err(StoreError::Restored { expected: era, actual: position.era });
        }
        tracing::info!(
            event = 340,
            service = order.service,
            version = order.version,
            state = ?due.state,
            revision = position.revision,
            "This host recorded the state of a rollout."
        );
        apply_record(context, Item { key, value, position });
    }
    Ok(())
}

/// Applies one record. Those of an earlier era have lost their meaning.
fn apply_record(context: &ControlContext, item: Item) {
    let position = StorePosition::new(item.position.era, 0);
    if context.position(ItemKind::RolloutStates).era < position.era {
        let snapshot = Snapshot { position, ..Snapshot::default() };
        context.replace(ItemKind::RolloutStates, snapshot);
    }
    context.apply(ItemKind::RolloutStates, vec![ItemChange::Written(item)], position);
}
