//! Records the states of rollouts in the store.

use std::{rc::Rc, time::Duration};

use jasminestage_core::steer::control::DueRecord;
use jasminestage_platform::{
    entries,
    store::{Condition, Put, Store, StoreError, Written},
};

use super::{
    Dependency, STORE_TIMEOUT,
    beliefs::{Beliefs, Kind},
};
use jasminestage_core::steer::mirror::{Item, ItemChange};

/// Time between two looks at what is due.
const PERIOD: Duration = Duration::from_millis(250);

/// Records what is due for as long as the process runs.
pub async fn follow(beliefs: Rc<Beliefs>) {
    let mut store = Store::new(beliefs.shared.cfg.store, STORE_TIMEOUT);
    let mut dependency = Dependency::new("rollout states in the store");
    loop {
        tokio::time::sleep(PERIOD).await;
        for due in beliefs.due_records() {
            match record(&beliefs, &mut store, &due).await {
                Ok(()) => dependency.regained(),
                Err(e) => dependency.lost(&e),
            }
        }
    }
}

/// Writes a state unless the store already has one for this order that ends the rollout.
async fn record(beliefs: &Beliefs, store: &mut Store, due: &DueRecord) -> Result<(), StoreError> {
    let order = &due.order;
    let (key, value) = entries::rollout_state(&order.service, &order.version, due.state);
    let known = store.get(&key).await;
    beliefs.shared.metrics.store_call("get state", known.is_ok());
    let known = known?;
    let revision = known.as_ref().map_or(0, |i| i.revision);
    if let Some(item) = known.filter(|i| i.revision > order.revision) {
        let is_same = item.value == value;
        beliefs.apply(Kind::States, vec![ItemChange::Written(item)], 0);
        if is_same || !beliefs.due_records().contains(due) {
            return Ok(());
        }
    }
    let (start_key, start) = entries::rollout_start(order, due.started_unix_ms);
    let writes = [
        Put { key: key.clone(), value: value.clone(), lease: 0 },
        Put { key: start_key, value: start, lease: 0 },
    ];
    let conditions = [Condition { key: key.clone(), revision }];
    let result = store.write(&conditions, &writes, &[]).await;
    beliefs.shared.metrics.store_call("write state", result.is_ok());
    if let Written::At(revision) = result? {
        tracing::info!(
            event = 340,
            service = order.service,
            version = order.version,
            state = ?due.state,
            revision,
            "This host recorded the state of a rollout."
        );
        let item = Item { key, value, revision };
        beliefs.apply(Kind::States, vec![ItemChange::Written(item)], 0);
    }
    Ok(())
}
