//! A local copy of the items below one prefix of the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Value of an item with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key in the store.
    pub key: String,
    /// Value, which may hold anything.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
}

/// A change of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemChange {
    /// The item was written.
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

/// Everything that a host knows of one prefix, as one host hands it to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision up to which it is complete.
    pub at: u64,
    /// Revision of the newest change that the sender knows of, 0 when it comes from the store.
    pub changed: u64,
    /// All items.
    pub items: Vec<Item>,
}

/// A local copy that never goes back to an older revision.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Item>,
    at: u64,
    changed: u64,
}

impl Mirror {
    /// Revision up to which the copy is complete; 0 before the first snapshot.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Revision of the newest change below the prefix that was seen.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// The item of this key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// All items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The copy as another host can take it over.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            at: self.at,
            changed: self.changed,
            items: self.items.values().cloned().collect(),
        }
    }

    /// Takes over changes up to the revision `at` and returns those that were new.
    pub fn apply(&mut self, changes: Vec<ItemChange>, at: u64) -> Vec<ItemChange> {
        let fresh: Vec<ItemChange> =
            changes.into_iter().filter(|change| self.apply_one(change)).collect();
        self.at = self.at.max(at);
        fresh
    }

    /// Takes over a whole snapshot, unless it is older than the copy, and returns what changed.
    pub fn replace(&mut self, snapshot: Snapshot) -> Vec<ItemChange> {
        if snapshot.at < self.at {
            return Vec::new();
        }
        let at = snapshot.at;
        let sender_changed = snapshot.changed;
        let kept: std::collections::HashSet<&str> =
            snapshot.items.iter().map(|i| i.key.as_str()).collect();
        let gone: Vec<String> =
            self.items.keys().filter(|k| !kept.contains(k.as_str())).cloned().collect();
        let removed = gone.into_iter().map(|key| ItemChange::Removed { key, revision: at });
        let changes = removed.chain(snapshot.items.into_iter().map(ItemChange::Written)).collect();
        let fresh = self.apply(changes, at);
        self.changed = self.changed.max(sender_changed);
        fresh
    }

    fn apply_one(&mut self, change: &ItemChange) -> bool {
        let known = self.items.get(change.key()).map_or(0, |i| i.revision);
        let (is_new, revision) = match change {
            ItemChange::Written(item) => {
                let is_new = item.revision > known;
                if is_new {
                    self.items.insert(item.key.clone(), item.clone());
                }
                (is_new, item.revision)
            }
            ItemChange::Removed { key, revision } => {
                let is_new = known > 0 && *revision > known;
                if is_new {
                    self.items.remove(key);
                }
                (is_new, *revision)
            }
        };
        if is_new {
            self.changed = self.changed.max(revision);
        }
        is_new
    }
}
