//! Follows the announcements of servers, for all hosts of the region or for this one alone.

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
/// Pause after changes, so that a burst of them comes together.
const GATHER: Duration = Duration::from_millis(250);

/// Reads all entries, then their changes, for as long as the process runs.
pub async fn follow(beliefs: Rc<Beliefs>) {
    let mut store = StoreClient::new(beliefs.shared.cfg.store, STORE_TIMEOUT);
    let mut backoff = Backoff::default();
    let mut dependency = Dependency::new("servers in the store");
    first_reader_or_copy(&beliefs, Kind::Servers).await;
    let (mut is_complete, mut is_reading) = (beliefs.at(Kind::Servers) > 0, true);
    loop {
        if is_complete && !beliefs.is_reader() {
            is_reading = false;
            tokio::time::sleep(IDLE_PERIOD).await;
            continue;
        }
        if !std::mem::replace(&mut is_reading, true) {
            beliefs.takes_over_reading();
        }
        let result = if is_complete {
            read_changes(&beliefs, &mut store).await
        } else {
            read_all(&beliefs, &mut store).await
        };
        match result {
            Ok(()) => {
                beliefs.store_answered(true);
                is_complete = true;
                backoff.reset();
                dependency.regained();
                tokio::time::sleep(GATHER).await;
            }
            Err(StoreError::HistoryCompacted) => is_complete = false,
            Err(e) => {
                dependency.lost(&e);
                beliefs.store_answered(false);
                backoff.pause().await;
            }
        }
    }
}

async fn read_all(beliefs: &Beliefs, store: &mut StoreClient) -> Result<(), StoreError> {
    let result = store.range(keys::SERVER_PREFIX, Freshness::Latest).await;
    beliefs.shared.metrics.store_call("range servers", result.is_ok());
    let snapshot = result?;
    beliefs.replace(Kind::Servers, snapshot);
    Ok(())
}

async fn read_changes(beliefs: &Beliefs, store: &mut StoreClient) -> Result<(), StoreError> {
    let after = beliefs.at(Kind::Servers);
    let result = store.watch(keys::SERVER_PREFIX, after, WATCH_WAIT).await;
    beliefs.shared.metrics.store_call("watch servers", result.is_ok());
    let (changes, at) = result?;
    beliefs.apply(Kind::Servers, changes, at);
    Ok(())
}
