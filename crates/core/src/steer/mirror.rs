//! A local copy of the store's items under one key prefix.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::stable_hash;

/// Number of removals above which the older half is forgotten.
const MAX_REMOVALS: usize = 4096;

/// A key-value pair of the store with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key in the store.
    pub key: String,
    /// Raw value, not decoded.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
}

/// A change of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemChange {
    /// The item was created or updated.
    Written(Item),
    /// The item was removed.
    Removed {
        /// Key in the store.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

impl ItemChange {
    /// Key of the item.
    pub fn key(&self) -> &str {
        match self {
            ItemChange::Written(item) => &item.key,
            ItemChange::Removed { key, .. } => key,
        }
    }

    /// Revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            ItemChange::Written(item) => item.revision,
            ItemChange::Removed { revision, .. } => *revision,
        }
    }
}

/// All items under one prefix, read from the store or received from another host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision up to which the snapshot is complete.
    pub revision: u64,
    /// All items.
    pub items: Vec<Item>,
}

/// What a copy of the items under one prefix includes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyState {
    /// Revision up to which the copy is complete; 0 before the first snapshot.
    pub revision: u64,
    /// Hash of the content. Copies with the same content have the same fingerprint, also if their
    /// revisions differ.
    pub fingerprint: u64,
}

impl CopyState {
    /// Whether the other copy is newer and differs from this one.
    pub fn is_behind(&self, other: &CopyState) -> bool {
        self.revision < other.revision && self.fingerprint != other.fingerprint
    }

    /// Takes over a state of the same copy unless it is older.
    pub fn update(&mut self, reported: CopyState) {
        if reported.revision >= self.revision {
            *self = reported;
        }
    }
}

/// A local copy in which an item changes only to a newer revision. The revisions of the latest
/// removals are kept as well, because a watch of the store may deliver a write after another host
/// has already sent the removal that followed it.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Item>,
    /// Revision of the removal, by key.
    removed: HashMap<String, u64>,
    revision: u64,
}

impl Mirror {
    /// Revision up to which the copy is complete; 0 before the first snapshot.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What the copy includes. Every change of an item counts as different content.
    pub fn state(&self) -> CopyState {
        let hashes = self.items.values().map(|i| stable_hash(i.revision, i.key.as_bytes()));
        CopyState { revision: self.revision, fingerprint: hashes.fold(0, u64::wrapping_add) }
    }

    /// Returns the item with this key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns all items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Returns the whole copy, to be sent to another host.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { revision: self.revision, items: self.items.values().cloned().collect() }
    }

    /// Applies all changes up to `revision` and returns those that were new.
    pub fn apply(&mut self, changes: Vec<ItemChange>, revision: u64) -> Vec<ItemChange> {
        let applied: Vec<ItemChange> =
            changes.into_iter().filter(|change| self.apply_one(change)).collect();
        self.revision = self.revision.max(revision);
        applied
    }

    /// Replaces the copy by a snapshot, unless the snapshot is older, and returns what changed.
    pub fn replace(&mut self, snapshot: Snapshot) -> Vec<ItemChange> {
        if snapshot.revision < self.revision {
            return Vec::new();
        }
        let snapshot_revision = snapshot.revision;
        let present: std::collections::HashSet<&str> =
            snapshot.items.iter().map(|i| i.key.as_str()).collect();
        let missing: Vec<String> =
            self.items.keys().filter(|k| !present.contains(k.as_str())).cloned().collect();
        let removed =
            missing.into_iter().map(|key| ItemChange::Removed { key, revision: snapshot_revision });
        let changes = removed.chain(snapshot.items.into_iter().map(ItemChange::Written)).collect();
        self.apply(changes, snapshot_revision)
    }

    fn record_removal(&mut self, key: &str, revision: u64) {
        self.removed.insert(key.to_owned(), revision);
        if self.removed.len() > MAX_REMOVALS {
            let mut revisions: Vec<u64> = self.removed.values().copied().collect();
            revisions.sort_unstable();
            let oldest_kept = revisions[MAX_REMOVALS / 2];
            self.removed.retain(|_, revision| *revision >= oldest_kept);
        }
    }

    fn apply_one(&mut self, change: &ItemChange) -> bool {
        let known_revision = self.items.get(change.key()).map_or(0, |i| i.revision);
        let removed_revision = self.removed.get(change.key()).copied().unwrap_or(0);
        match change {
            ItemChange::Written(item) => {
                let is_new = item.revision > known_revision.max(removed_revision);
                if is_new {
                    self.removed.remove(&item.key);
                    self.items.insert(item.key.clone(), item.clone());
                }
                is_new
            }
            ItemChange::Removed { key, revision } => {
                let is_new = known_revision > 0 && *revision > known_revision;
                if is_new {
                    self.items.remove(key);
                }
                if *revision > known_revision.max(removed_revision) {
                    self.record_removal(key, *revision);
                }
                is_new
            }
        }
    }
}
