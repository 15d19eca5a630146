//! Log of the changes that affect the selection of a server.
//!
//! Hosts send each other only these changes, not the periodic renewals of announcements.

use std::collections::{HashMap, VecDeque};

use super::{
    control::Change,
    deferred_removals::KeyedChange,
    mirror::{ItemChange, Mirror},
    server::ServerEntry,
    stable_hash,
};

/// Maximum number of changes in the log; a host that is further behind needs a whole snapshot.
const MAX_LOGGED_CHANGES: usize = 4096;

/// Revision that a host advertises after its first copy from the store: above that of a host without
/// any copy and below each real one.
const FIRST_COPY_REVISION: u64 = 1;

/// Bounded log of the revisions and keys of changed server entries, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ServerChangeLog {
    changes: VecDeque<(u64, String)>,
    /// Hash of each entry by its key.
    entry_hashes: HashMap<String, u64>,
    last_revision: u64,
    /// The log holds every change after this revision.
    complete_after: u64,
}

/// Response to a host that asks for changes of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerUpdate {
    /// All changes after the revision that the other host has.
    Changes(Vec<ItemChange>),
    /// The log does not reach back far enough; the other host needs a whole snapshot.
    SnapshotRequired,
}

impl ServerChangeLog {
    /// Revision of the newest change that affects the selection of a server.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Logs those changes that affect the selection of a server.
    pub fn record(&mut self, changes: &[KeyedChange]) {
        for (revision, key, change) in changes {
            let new_hash = match change {
                Change::ServerAnnounced(entry) => Some(entry_hash(entry)),
                Change::ServerRemoved(_) => None,
                _ => continue,
            };
            let old_hash = match new_hash {
                Some(hash) => self.entry_hashes.insert(key.clone(), hash),
                None => self.entry_hashes.remove(key),
            };
            if old_hash != new_hash {
                self.changes.push_back((*revision, key.clone()));
                self.last_revision = self.last_revision.max(*revision);
            }
        }
        while self.changes.len() > MAX_LOGGED_CHANGES {
            self.complete_after =
                self.changes.pop_front().map_or(self.complete_after, |(revision, _)| revision);
        }
    }

    /// Starts the log after the first snapshot that was read from the store at `revision`. The snapshot
    /// does not show which servers were removed before, so a host with an older copy must not get
    /// changes from this log. Unless the whole fleet starts for the first time, only hosts without any
    /// copy take this one for newer, until it has copied from another one or recorded a change.
    pub fn start(&mut self, revision: u64, is_first_start: bool) {
        self.changes.clear();
        self.complete_after = self.complete_after.max(revision);
        if !is_first_start {
            self.last_revision = FIRST_COPY_REVISION;
        }
    }

    /// Clears the log after a whole snapshot was loaded that includes all changes up to `revision`.
    ///
    /// `snapshot_revision` is the revision of the snapshot itself, from which the log is complete if
    /// the sender had only its first copy.
    pub fn reset(&mut self, revision: u64, snapshot_revision: u64) {
        let complete_after =
            if revision <= FIRST_COPY_REVISION { snapshot_revision } else { revision };
        self.changes.clear();
        self.complete_after = self.complete_after.max(complete_after);
        self.last_revision = self.last_revision.max(revision);
    }

    /// Marks all changes up to `revision` as received from another host.
    pub fn advance_to(&mut self, revision: u64) {
        self.last_revision = self.last_revision.max(revision);
    }

    /// Returns the logged changes after `revision`, each item once in its current state. If the log
    /// does not reach back that far, a snapshot is required.
    pub fn update_since(&self, revision: u64, items: &Mirror) -> ServerUpdate {
        if revision < self.complete_after || revision == 0 {
            return ServerUpdate::SnapshotRequired;
        }
        let mut newer: Vec<&(u64, String)> =
            self.changes.iter().filter(|(changed, _)| *changed > revision).collect();
        newer.sort_unstable_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
        newer.dedup_by(|a, b| a.1 == b.1);
        let current_state = |(changed, key): &(u64, String)| match items.get(key) {
            Some(item) => ItemChange::Written(item.clone()),
            None => ItemChange::Removed { key: key.clone(), revision: *changed },
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
