//! Announces this host in the store and reads the announcements of the other hosts.

use std::{rc::Rc, time::Duration};

use jasminestage_platform::{
    keys,
    store::{Freshness, LeaseId, Put, StoreClient, StoreError},
    store_items,
};

use super::{
    Backoff, Dependency, STORE_TIMEOUT,
    context::{ControlContext, ItemKind},
};

/// Time after which an announcement expires unless it is renewed.
const LEASE_TTL: Duration = Duration::from_secs(12);
/// Period in which the announcement is renewed.
const RENEWAL_PERIOD: Duration = Duration::from_secs(4);
/// Number of renewals per read of the announcements on hosts that do not read the store for their
/// region.
const RENEWALS_PER_READ: u32 = 2;

/// Announces this host, renews the announcement and reads those of the other hosts until the
/// process ends.
pub async fn maintain_announcement(context: Rc<ControlContext>) {
    let mut store = StoreClient::new(context.shared.cfg.store, STORE_TIMEOUT);
    let mut backoff = Backoff::default();
    let mut dependency = Dependency::new("announcements in the store");
    let mut freshness = Freshness::Latest;
    let mut renewals = 0;
    loop {
        let is_read_due = context.is_store_reader() || renewals % RENEWALS_PER_READ == 0;
        match refresh(&context, &mut store, is_read_due.then_some(freshness)).await {
            Ok(()) => {
                renewals += 1;
                freshness = Freshness::Stale;
                backoff.reset();
                dependency.report_recovery();
                tokio::time::sleep(RENEWAL_PERIOD).await;
            }
            Err(StoreError::LeaseNotFound) => context.lease.set(None),
            Err(e) => {
                dependency.report_failure(&e);
                backoff.pause().await;
            }
        }
    }
}

async fn refresh(
    context: &ControlContext,
    store: &mut StoreClient,
    read: Option<Freshness>,
) -> Result<(), StoreError> {
    let metrics = &context.shared.metrics;
    match context.lease.get() {
        Some(lease) => {
            let result = store.renew_lease(lease).await;
            metrics.count_store_call("renew lease", result.is_ok());
            result?;
        }
        None => {
            let result = announce(context, store).await;
            metrics.count_store_call("announce", result.is_ok());
            context.lease.set(Some(result?));
        }
    }
    let Some(freshness) = read else { return Ok(()) };
    let internal = store.range(keys::PROJECT_PREFIX, freshness).await;
    metrics.count_store_call("range own", internal.is_ok());
    context.replace(ItemKind::Internal, internal?);
    if context.has_rollouts() {
        let states = store.range(keys::ROLLOUT_STATE_PREFIX, freshness).await;
        metrics.count_store_call("range states", states.is_ok());
        context.replace(ItemKind::RolloutStates, states?);
    }
    Ok(())
}

async fn announce(
    context: &ControlContext,
    store: &mut StoreClient,
) -> Result<LeaseId, StoreError> {
    let lease = store.grant_lease(LEASE_TTL).await?;
    let (key, value) = store_items::encode_host(&context.shared.announcement);
    store.write(&[], &[Put { key, value, lease }], &[]).await?;
    Ok(lease)
}

/// Removes the announcement at a planned stop.
pub async fn withdraw_announcement(context: &ControlContext) {
    let Some(lease) = context.lease.get() else { return };
    let mut store = StoreClient::new(context.shared.cfg.store, STORE_TIMEOUT / 5);
    if let Err(e) = store.revoke_lease(lease).await {
        // The announcement expires with its lease.
        tracing::info!(event = 312, error = %e, "The announcement could not be removed.");
    }
}
