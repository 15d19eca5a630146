//! Announces this host in the store and reads the announcements of the others.

use std::{cell::Cell, rc::Rc, time::Duration};

use jasminestage_platform::{
    keys,
    store::{Freshness, LeaseId, Put, StoreClient, StoreError},
    store_items,
};

use super::{
    Backoff, Dependency, STORE_TIMEOUT,
    beliefs::{Beliefs, Kind},
};

/// Lifetime of an announcement that is not renewed.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time between two renewals.
const PERIOD: Duration = Duration::from_secs(2);
/// Renewals between two readings of the announcements by hosts that leave the store to others.
const READ_EVERY: u32 = 4;

thread_local! {
    /// The lease that this host's announcement hangs on.
    static LEASE: Cell<Option<LeaseId>> = const { Cell::new(None) };
}

/// Keeps the announcement alive for as long as the process runs.
pub async fn follow(beliefs: Rc<Beliefs>) {
    let mut store = StoreClient::new(beliefs.shared.cfg.store, STORE_TIMEOUT);
    let mut backoff = Backoff::default();
    let mut dependency = Dependency::new("announcements in the store");
    let mut freshness = Freshness::Latest;
    let mut renewals = 0;
    loop {
        let reads = beliefs.is_reader() || renewals % READ_EVERY == 0;
        match refresh(&beliefs, &mut store, reads.then_some(freshness)).await {
            Ok(()) => {
                renewals += 1;
                freshness = Freshness::Stale;
                backoff.reset();
                dependency.regained();
                tokio::time::sleep(PERIOD).await;
            }
            Err(StoreError::LeaseNotFound) => LEASE.set(None),
            Err(e) => {
                dependency.lost(&e);
                backoff.pause().await;
            }
        }
    }
}

async fn refresh(
    beliefs: &Beliefs,
    store: &mut StoreClient,
    read: Option<Freshness>,
) -> Result<(), StoreError> {
    let metrics = &beliefs.shared.metrics;
    match LEASE.get() {
        Some(lease) => {
            let result = store.renew_lease(lease).await;
            metrics.store_call("renew lease", result.is_ok());
            result?;
        }
        None => {
            let result = announce(beliefs, store).await;
            metrics.store_call("announce", result.is_ok());
            LEASE.set(Some(result?));
        }
    }
    let Some(freshness) = read else { return Ok(()) };
    let own = store.range(keys::PROJECT_PREFIX, freshness).await;
    metrics.store_call("range own", own.is_ok());
    beliefs.replace(Kind::Own, own?);
    if beliefs.has_rollouts() {
        let states = store.range(keys::ROLLOUT_STATE_PREFIX, freshness).await;
        metrics.store_call("range states", states.is_ok());
        beliefs.replace(Kind::States, states?);
    }
    Ok(())
}

async fn announce(beliefs: &Beliefs, store: &mut StoreClient) -> Result<LeaseId, StoreError> {
    let lease = store.grant_lease(LEASE_TTL).await?;
    let (key, value) = store_items::encode_host(&beliefs.shared.me);
    store.write(&[], &[Put { key, value, lease }], &[]).await?;
    Ok(lease)
}

/// Takes the announcement back at a planned stop.
pub async fn sign_off(beliefs: &Beliefs) {
    let Some(lease) = LEASE.get() else { return };
    let mut store = StoreClient::new(beliefs.shared.cfg.store, STORE_TIMEOUT / 5);
    if let Err(e) = store.revoke_lease(lease).await {
        // The lease ends by itself.
        tracing::info!(event = 312, error = %e, "The announcement was not taken back.");
    }
}
