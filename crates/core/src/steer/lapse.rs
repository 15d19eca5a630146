//! Announcements that lapsed while the store was away.
//!
//! While the store is down, servers cannot renew their entries, and the entries of living servers may
//! lapse. They come back soon after the store does, so a removal that is learned then is held back
//! for a while.

use std::{collections::HashMap, time::Duration};

use super::{control::Change, server::ServerEntries};
use crate::time::Instant;

/// Time after the store's return during which a missing announcement may still come back.
const RETURN_DELAY: Duration = Duration::from_millis(2300);
/// Shortest silence of the store in which announcements may lapse.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

/// A decoded change with its revision and key.
pub type KeyedChange = (u64, String, Change);

/// Removals that are held back, by id of the server.
#[derive(Clone, Debug, Default)]
pub struct Lapses {
    hold_until: Instant,
    held: HashMap<String, KeyedChange>,
}

impl Lapses {
    /// Notes that the store answers again. An outage that only this host has seen lets nothing
    /// lapse: other hosts have read the store meanwhile.
    pub fn store_is_back(&mut self, now: Instant, silence: Duration, others_read: bool) {
        if silence >= MIN_OUTAGE && !others_read {
            self.hold_until = now + RETURN_DELAY;
        }
    }

    /// Time for which removals are still held back, for hosts that take changes from this one.
    pub fn holds_for(&self, now: Instant) -> Duration {
        self.hold_until.saturating_since(now)
    }

    /// Holds removals back as another host does.
    pub fn hold_for(&mut self, now: Instant, span: Duration) {
        self.hold_until = self.hold_until.max(now + span);
    }

    /// Takes out removals that may be lapses. A server that has announced its leaving is gone.
    pub fn hold_back(
        &mut self,
        now: Instant,
        known: &ServerEntries,
        changes: &mut Vec<KeyedChange>,
    ) {
        let is_holding = now < self.hold_until;
        changes.retain(|keyed| match &keyed.2 {
            Change::ServerAnnounced(entry) => {
                self.held.remove(&entry.id);
                true
            }
            Change::ServerRemoved(id) if is_holding => {
                let is_draining = known.get(id).is_some_and(|s| s.draining);
                if !is_draining {
                    self.held.insert(id.clone(), keyed.clone());
                }
                is_draining
            }
            _ => true,
        });
    }

    /// Removals that have been held long enough.
    pub fn release(&mut self, now: Instant) -> Vec<KeyedChange> {
        if now < self.hold_until {
            return Vec::new();
        }
        self.held.drain().map(|(_, change)| change).collect()
    }
}
