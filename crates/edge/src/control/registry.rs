//! Announces this host in the store and reads the announcements of the other hosts.

use std::{rc::Rc, time::Duration};

use jasminestage_core::steer::position::StorePosition;
use jasminestage_platform::{
    keys,
    store::{Condition, Freshness, LeaseId, Put, StoreClient, StoreError, WriteOutcome},
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

/// The announcement of this host as it was written.
#[derive(Clone, Copy, Debug)]
pub struct OwnAnnouncement {
    /// Lease whose end removes the announcement.
    lease: LeaseId,
    /// Position at which it was written.
    position: StorePosition,
}

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
            Err(StoreError::LeaseNotFound) => context.own_announcement.set(None),
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
    if let Some(own) = context.own_announcement.get() {
        let result = store.renew_lease(own.lease).await;
        metrics.count_store_call("renew lease", result.is_ok());
        result?;
        if store.era() != own.position.era {
            let result = find_announcement(context, store, own.lease).await;
            metrics.count_store_call("get announcement", result.is_ok());
            context.own_announcement.set(result?);
        }
    }
    if context.own_announcement.get().is_none() {
        let result = announce(context, store).await;
        metrics.count_store_call("announce", result.is_ok());
        context.own_announcement.set(Some(result?));
    }
    let Some(freshness) = read else { return Ok(()) };
    // The records of usage reports below the same prefix are not needed here.
    let has_usage = context.shared.cfg.usage.duty().is_some();
    let prefix = if has_usage { keys::HOST_PREFIX } else { keys::PROJECT_PREFIX };
    let internal = store.range(prefix, freshness).await;
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
) -> Result<OwnAnnouncement, StoreError> {
    let lease = store.grant_lease(LEASE_TTL).await?;
    let era = store.era();
    let (key, value) = store_items::encode_host(&context.shared.announcement);
    match store.write(&[], &[Put { key, value, lease }], &[]).await? {
        WriteOutcome::Committed(position) if position.era == era => {
            Ok(OwnAnnouncement { lease, position })
        }
        // The lease may belong to another writer.
        _ => Err(StoreError::Restored { expected: era, actual: store.era() }),
    }
}

/// Returns the announcement if the store still has it after it was restored from a copy. Otherwise its
/// lease is lost too and may have been granted to another writer.
async fn find_announcement(
    context: &ControlContext,
    store: &mut StoreClient,
    lease: LeaseId,
) -> Result<Option<OwnAnnouncement>, StoreError> {
    let (key, value) = store_items::encode_host(&context.shared.announcement);
    let found = store.get_with_lease(&key).await?;
    let found = found.filter(|(item, found_lease)| item.value == value && *found_lease == lease);
    Ok(found.map(|(item, _)| OwnAnnouncement { lease, position: item.position }))
}

/// Removes the announcement at a planned stop. Its lease is left to expire: after a restore of the
/// store, the lease may belong to another writer.
pub async fn withdraw_announcement(context: &ControlContext) {
    let Some(own) = context.own_announcement.get() else { return };
    let mut store = StoreClient::new(context.shared.cfg.store, STORE_TIMEOUT / 5);
    let (key, _) = store_items::encode_host(&context.shared.announcement);
    let conditions = [Condition { key: key.clone(), revision: own.position.revision }];
    if let Err(e) = store.write(&conditions, &[], &[key]).await {
        tracing::info!(event = 312, error = %e, "The announcement could not be removed.");
    }
}
