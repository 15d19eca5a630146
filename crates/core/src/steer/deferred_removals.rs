//! Deferred removal of servers after an outage of the store.
//!
//! During an outage servers cannot renew their announcements, so the announcements of running servers
//! may expire. The servers announce themselves again soon after the store recovers, so a removal that
//! arrives in that time takes effect only after a delay.

use std::{collections::HashMap, time::Duration};

use super::{control::Change, position::StorePosition, server::ServerEntries};
use crate::time::Instant;

/// Time after the recovery of the store in which servers announce themselves again.
const REMOVAL_DELAY: Duration = Duration::from_millis(2300);
/// Shortest outage of the store in which announcements may expire.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

/// A decoded change with its position and key.
pub type KeyedChange = (StorePosition, String, Change);

/// Removals of servers that have not taken effect yet.
#[derive(Clone, Debug, Default)]
pub struct DeferredRemovals {
    /// Until when removals are deferred.
    defer_until: Instant,
    /// Deferred removals by id of the server.
    deferred: HashMap<String, KeyedChange>,
}

impl DeferredRemovals {
    /// Starts to defer removals after an outage of the store, before the changes of the first read are
    /// applied. `available_for` is the time for which other hosts have read the store: announcements
    /// that expired are back a while after the store recovers, not after this host reaches it.
    pub fn store_recovered(&mut self, now: Instant, outage: Duration, available_for: Duration) {
        if outage >= MIN_OUTAGE {
            let delay = REMOVAL_DELAY.saturating_sub(available_for);
            self.defer_until = self.defer_until.max(now + delay);
        }
    }

    /// Starts to defer removals after the store was restored from a copy, before the changes of the
    /// first read are applied. Servers whose entries are lost announce themselves again.
    pub fn store_restored(&mut self, now: Instant) {
        self.defer_until = self.defer_until.max(now + REMOVAL_DELAY);
    }

    /// Time for which removals are still deferred; sent to hosts that copy changes from this one.
    pub fn remaining_delay(&self, now: Instant) -> Duration {
        self.defer_until.saturating_since(now)
    }

    /// Defers removals for at least `delay`, the remaining delay of the host that changes are copied
    /// from.
    pub fn extend_delay(&mut self, now: Instant, delay: Duration) {
        self.defer_until = self.defer_until.max(now + delay);
    }

    /// Moves removals that may be due to an expired announcement out of `changes`. The removal of a
    /// draining server takes effect at once, because the server was going to stop.
    pub fn defer(&mut self, now: Instant, known: &ServerEntries, changes: &mut Vec<KeyedChange>) {
        let is_deferring = now < self.defer_until;
        changes.retain(|keyed| match &keyed.2 {
            Change::ServerAnnounced(entry) => {
                self.deferred.remove(&entry.id);
                true
            }
            Change::ServerRemoved(id) if is_deferring => {
                let is_draining = known.get(id).is_some_and(|s| s.draining);
                if !is_draining {
                    self.deferred.insert(id.clone(), keyed.clone());
                }
                is_draining
            }
            _ => true,
        });
    }

    /// Takes the removals whose delay has passed.
    pub fn take_due(&mut self, now: Instant) -> Vec<KeyedChange> {
        if now < self.defer_until {
            return Vec::new();
        }
        self.deferred.drain().map(|(_, change)| change).collect()
    }
}
