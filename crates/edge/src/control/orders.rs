//! Follows what operators write, for all hosts of the region or for this one alone.

use std::{rc::Rc, time::Duration};

use jasminestage_platform::{
    keys,
    store::{Freshness, StoreClient, StoreError},
};

use super::{
    Backoff, Dependency, IDLE_PERIOD, STORE_TIMEOUT,
    beliefs::{Beliefs, Kind},
    first_reader_or_copy,
};

/// Time that one watch waits for a change; a store that swallowed the call is noticed soon after.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Reads all orders, then waits for changes, for as long as the process runs.
pub async fn follow(beliefs: Rc<Beliefs>) {
    let mut store = StoreClient::new(beliefs.shared.cfg.store, STORE_TIMEOUT);
    let mut backoff = Backoff::default();
    let mut dependency = Dependency::new("orders in the store");
    first_reader_or_copy(&beliefs, Kind::Orders).await;
    let mut is_complete = beliefs.at(Kind::Orders) > 0;
    loop {
        if is_complete && !beliefs.is_reader() {
            tokio::time::sleep(IDLE_PERIOD).await;
            continue;
        }
        let result = if is_complete {
            watch(&beliefs, &mut store).await
        } else {
            read(&beliefs, &mut store).await
        };
        match result {
            Ok(()) => {
                is_complete = true;
                backoff.reset();
                dependency.regained();
            }
            Err(StoreError::HistoryCompacted) => is_complete = false,
            Err(e) => {
                dependency.lost(&e);
                backoff.pause().await;
            }
        }
    }
}

async fn read(beliefs: &Beliefs, store: &mut StoreClient) -> Result<(), StoreError> {
    let result = store.range(keys::OPERATOR_PREFIX, Freshness::Latest).await;
    beliefs.shared.metrics.store_call("range orders", result.is_ok());
    beliefs.replace(Kind::Orders, result?);
    if beliefs.has_rollouts() {
        let states = store.range(keys::ROLLOUT_STATE_PREFIX, Freshness::Latest).await;
        beliefs.shared.metrics.store_call("range states", states.is_ok());
        beliefs.replace(Kind::States, states?);
    }
    Ok(())
}

async fn watch(beliefs: &Beliefs, store: &mut StoreClient) -> Result<(), StoreError> {
    let after = beliefs.at(Kind::Orders);
    let result = store.watch(keys::OPERATOR_PREFIX, after, WATCH_WAIT).await;
    beliefs.shared.metrics.store_call("watch orders", result.is_ok());
    let (changes, at) = result?;
    beliefs.apply(Kind::Orders, changes, at);
    Ok(())
}
