//! Follows the announcements of servers.
//!
//! Servers renew their entries all the time, so a waiting watch would return at once; one call a
//! second takes all changes together.

use std::{rc::Rc, time::Duration};

use jasminestage_platform::{
    keys,
    store::{Freshness, Store, StoreError},
};

use super::{
    Backoff, Dependency, IDLE_PERIOD, STORE_TIMEOUT,
    beliefs::{Beliefs, Kind},
};

/// Time between two reads of changes.
const PERIOD: Duration = Duration::from_millis(900);
/// Time that a read waits when there is no change.
const WAIT: Duration = Duration::from_millis(50);

/// Reads all entries, then their changes, for as long as the process runs.
pub async fn follow(beliefs: Rc<Beliefs>) {
    let mut store = Store::new(beliefs.shared.cfg.store, STORE_TIMEOUT);
    let mut backoff = Backoff::default();
    let mut dependency = Dependency::new("servers in the store");
    let mut is_complete = false;
    loop {
        if is_complete && !beliefs.is_reader() {
            tokio::time::sleep(IDLE_PERIOD).await;
            continue;
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
                tokio::time::sleep(PERIOD).await;
            }
            Err(StoreError::HistoryGone) => is_complete = false,
            Err(e) => {
                dependency.lost(&e);
                beliefs.store_answered(false);
                backoff.pause().await;
            }
        }
    }
}

async fn read_all(beliefs: &Beliefs, store: &mut Store) -> Result<(), StoreError> {
    let result = store.range(keys::SERVERS, Freshness::Latest).await;
    beliefs.shared.metrics.store_call("range servers", result.is_ok());
    let snapshot = result?;
    beliefs.replace(Kind::Servers, snapshot);
    Ok(())
}

async fn read_changes(beliefs: &Beliefs, store: &mut Store) -> Result<(), StoreError> {
    let after = beliefs.at(Kind::Servers);
    let result = store.watch(keys::SERVERS, after, WAIT).await;
    beliefs.shared.metrics.store_call("watch servers", result.is_ok());
    let (changes, at) = result?;
    beliefs.apply(Kind::Servers, changes, at);
    Ok(())
}
