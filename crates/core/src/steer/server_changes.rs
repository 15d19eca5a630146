//! Log of the changes that affect the selection of a server.
//!
//! Hosts send each other only these changes, not the periodic renewals of announcements.

use std::collections::VecDeque;

use super::{
    control::Change,
    mirror::{ItemChange, Mirror},
    server::{ServerEntries, ServerEntry},
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

    /// Logs the changes that affect the selection of a server; `known` must hold the entries as they
    /// were before the changes.
    pub fn record(&mut self, known: &ServerEntries, changes: &[(u64, String, Change)]) {
        for (revision, key, change) in changes {
            let is_relevant = match change {
                Change::ServerAnnounced(entry) => {
                    known.get(&entry.id).is_none_or(|old| differs_beyond_sequence(old, entry))
                }
                Change::ServerRemoved(id) => known.contains_key(id),
                _ => false,
            };
            if is_relevant {
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

fn differs_beyond_sequence(old: &ServerEntry, new: &ServerEntry) -> bool {
    let without_sequence = |e: &ServerEntry| ServerEntry { sequence: 0, ..e.clone() };
    without_sequence(old) != without_sequence(new)
}
