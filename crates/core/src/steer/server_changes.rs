//! Log of the changes that affect the selection of a server.
//!
//! Hosts send each other only these changes, not the periodic renewals of announcements.

use std::collections::{BTreeSet, HashMap, VecDeque};

use super::{
    control::Change,
    deferred_removals::KeyedChange,
    mirror::{ItemChange, Mirror},
    position::StorePosition,
    server::ServerEntry,
    stable_hash,
};

/// Maximum number of changes in the log; a host that is further behind needs a whole snapshot.
const MAX_LOGGED_CHANGES: usize = 4096;

/// Bounded log of the positions and keys of changed server entries, oldest first, and a fingerprint of
/// the current entries.
#[derive(Clone, Debug, Default)]
pub struct ServerChangeLog {
    changes: VecDeque<(StorePosition, String)>,
    /// Hash of each entry by its key.
    entry_hashes: HashMap<String, u64>,
    fingerprint: u64,
    /// The log holds every change after this position.
    complete_after: StorePosition,
}

/// Response to a host that asks for changes of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerUpdate {
    /// All changes after the position that the other host has.
    Changes(Vec<ItemChange>),
    /// The log does not reach back far enough; the other host needs a whole snapshot.
    SnapshotRequired,
}

impl ServerChangeLog {
    /// Hash of all entries. It is the same on hosts whose entries do not differ in what affects the
    /// selection of a server.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Logs those changes that affect the selection of a server, and those of the items with `confirmed`
    /// keys: other hosts retain the states of these until they know that they were written again.
    pub fn record(&mut self, changes: &[KeyedChange], confirmed: &BTreeSet<String>) {
        for (position, key, change) in changes {
            let new_hash = match change {
                Change::ServerAnnounced(entry) => Some(entry_hash(entry)),
                Change::ServerRemoved(_) => None,
                _ => continue,
            };
            let old_hash = match new_hash {
                Some(hash) => self.entry_hashes.insert(key.clone(), hash),
                None => self.entry_hashes.remove(key),
            };
            if old_hash != new_hash || confirmed.contains(key) {
                let without_old = self.fingerprint.wrapping_sub(old_hash.unwrap_or_default());
                self.fingerprint = without_old.wrapping_add(new_hash.unwrap_or_default());
                self.changes.push_back((*position, key.clone()));
            }
        }
        while self.changes.len() > MAX_LOGGED_CHANGES {
            self.complete_after =
                self.changes.pop_front().map_or(self.complete_after, |(position, _)| position);
        }
    }

    /// Starts the log anew after a whole snapshot of `position` was loaded. The snapshot does not show
    /// which servers were removed before, or removed and announced again, so a host with an older copy
    /// must not get changes from this log.
    pub fn restart(&mut self, position: StorePosition) {
        self.changes.clear();
        self.complete_after = self.complete_after.max(position);
    }

    /// Returns the logged changes after `position`, each item once in its current state. If the log
    /// does not reach back that far, a snapshot is required.
    pub fn update_since(&self, position: StorePosition, items: &Mirror) -> ServerUpdate {
        if position < self.complete_after || position == StorePosition::default() {
            return ServerUpdate::SnapshotRequired;
        }
        let mut newer: Vec<&(StorePosition, String)> =
            self.changes.iter().filter(|(changed, _)| *changed > position).collect();
        newer.sort_unstable_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
        newer.dedup_by(|a, b| a.1 == b.1);
        let current_state = |(changed, key): &(StorePosition, String)| match items.get(key) {
            Some(item) => ItemChange::Written(item),
            None => ItemChange::Removed { key: key.clone(), position: *changed },
        };
        ServerUpdate::Changes(newer.into_iter().map(current_state).collect())
    }
}

/// Hash of what an entry says apart from its sequence number, which changes with every renewal.
fn entry_hash(entry: &ServerEntry) -> u64 {
    let ServerEntry {
        id,
        service,
        address,
        zone,
        version,
        slots,
        draining,
        cold_duration,
        sequence: _,
        started_unix_ms,
    } = entry;
    let address = address.to_string();
    let texts = [id, service, &address, zone, version];
    let hash = texts.iter().fold(11, |hash, text| stable_hash(hash, text.as_bytes()));
    let numbers = [
        u128::from(*slots),
        u128::from(*draining),
        cold_duration.as_nanos(),
        started_unix_ms.map_or(u128::MAX, u128::from),
    ];
    numbers.iter().fold(hash, |hash, number| stable_hash(hash, &number.to_le_bytes()))
}
