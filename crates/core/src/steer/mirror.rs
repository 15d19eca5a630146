//! A local copy of the store's items under one key prefix.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::{
    position::StorePosition,
    retention::{RetainedItem, RetentionPolicy},
    stable_hash,
};
use crate::time::Instant;

/// Number of removals above which the older half is forgotten.
const MAX_REMOVALS: usize = 4096;

/// A key-value pair of the store with the position of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key in the store.
    pub key: String,
    /// Raw value, not decoded.
    pub value: Vec<u8>,
    /// Position of the last change.
    pub position: StorePosition,
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
        /// Position of the removal.
        position: StorePosition,
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

    /// Position of the change.
    pub fn position(&self) -> StorePosition {
        match self {
            ItemChange::Written(item) => item.position,
            ItemChange::Removed { position, .. } => *position,
        }
    }
}

/// All items under one prefix, read from the store or received from another host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position up to which the snapshot is complete.
    pub position: StorePosition,
    /// All items that the store has.
    pub items: Vec<Item>,
    /// States that the sender retains; none if the snapshot was read from the store.
    pub retained: Vec<RetainedItem>,
}

/// What a copy of the items under one prefix includes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyState {
    /// Position up to which the copy is complete; the default before the first snapshot.
    pub position: StorePosition,
    /// Hash of the content. Copies of an era with the same content have the same fingerprint, also
    /// if their revisions differ.
    pub fingerprint: u64,
    /// Hash of the states that are retained from earlier eras; 0 if there are none.
    pub retained: u64,
}

impl CopyState {
    /// Whether the other copy includes something that this one lacks.
    pub fn is_behind(&self, other: &CopyState) -> bool {
        let (own, others) = (self.position, other.position);
        if own.era != others.era {
            return own.era < others.era;
        }
        if own.revision == others.revision {
            return other.retained != 0 && self.retained != other.retained;
        }
        let differs = self.fingerprint != other.fingerprint || self.retained != other.retained;
        own.revision < others.revision && differs
    }

    /// Takes over a state of the same copy unless it is older.
    pub fn update(&mut self, reported: CopyState) {
        if reported.position >= self.position {
            *self = reported;
        }
    }
}

/// State from an earlier era that counts instead of the store's.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Retained {
    value: Option<Vec<u8>>,
    position: StorePosition,
    restored_revision: u64,
    expires_at: Instant,
}

/// A local copy in which an item changes only to a newer state. The revisions of the latest removals
/// are kept as well, because a watch of the store may deliver a write after another host has already
/// sent the removal that followed it.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    policy: RetentionPolicy,
    /// The store's items in the current era.
    items: BTreeMap<String, Item>,
    /// Revision of the removal in the current era, by key.
    removed: HashMap<String, u64>,
    position: StorePosition,
    /// States from earlier eras that hide those of the store, by key.
    retained: BTreeMap<String, Retained>,
    /// Keys of retained states that were written again.
    confirmed: BTreeSet<String>,
}

impl Mirror {
    /// Creates an empty copy.
    pub fn new(policy: RetentionPolicy) -> Self {
        Mirror { policy, ..Mirror::default() }
    }

    /// Position up to which the copy is complete; the default before the first snapshot.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// What the copy includes. Every change of an item counts as different content.
    pub fn state(&self) -> CopyState {
        let hashes =
            self.items.values().map(|i| stable_hash(i.position.revision, i.key.as_bytes()));
        CopyState {
            position: self.position,
            fingerprint: hashes.fold(0, u64::wrapping_add),
            retained: self.retained_hash(),
        }
    }

    /// Hash of the retained states; 0 if there are none.
    pub fn retained_hash(&self) -> u64 {
        let hash = |(key, r): (&String, &Retained)| {
            let seed = stable_hash(r.position.era, &r.position.revision.to_le_bytes());
            stable_hash(seed, key.as_bytes())
        };
        self.retained.iter().map(hash).fold(0, u64::wrapping_add)
    }

    /// Number of retained states.
    pub fn retained_count(&self) -> usize {
        self.retained.len()
    }

    /// Returns the state of the item with this key that counts.
    pub fn get(&self, key: &str) -> Option<Item> {
        match self.retained.get(key) {
            Some(retained) => {
                let value = retained.value.clone()?;
                Some(Item { key: key.to_owned(), value, position: retained.position })
            }
            None => self.items.get(key).cloned(),
        }
    }

    /// Returns the items that count, in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        self.keys().into_iter().filter_map(|key| self.get(key))
    }

    fn keys(&self) -> BTreeSet<&str> {
        self.items.keys().chain(self.retained.keys()).map(String::as_str).collect()
    }

    /// Returns the whole copy, to be sent to another host.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let retained = self.retained.iter().map(|(key, r)| RetainedItem {
            key: key.clone(),
            value: r.value.clone(),
            position: r.position,
            restored_revision: r.restored_revision,
            remaining: r.expires_at.saturating_since(now),
        });
        Snapshot {
            position: self.position,
            items: self.items.values().cloned().collect(),
            retained: retained.collect(),
        }
    }

    /// Applies all changes up to `position` and returns those that were new. Changes of another era
    /// are ignored: those of an earlier one are lost, and a later one starts with a snapshot.
    pub fn apply(&mut self, changes: Vec<ItemChange>, position: StorePosition) -> Vec<ItemChange> {
        if position.era != self.position.era {
            return Vec::new();
        }
        let applied = changes.into_iter().filter(|change| self.apply_one(change)).collect();
        self.position = self.position.max(position);
        applied
    }

    /// Replaces the copy by a snapshot, unless the snapshot is older, and returns what changed.
    pub fn replace(&mut self, now: Instant, snapshot: Snapshot) -> Vec<ItemChange> {
        if snapshot.position < self.position {
            return Vec::new();
        }
        let Snapshot { position, items, retained } = snapshot;
        let mut changes = if position.era == self.position.era {
            self.replace_items(items, position)
        } else {
            self.begin_era(now, items, position)
        };
        for item in retained {
            changes.extend(self.retain_received(now, item));
        }
        changes
    }

    /// Takes the keys of the retained states that were written again since the last call.
    pub fn take_confirmed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.confirmed)
    }

    /// Drops the retained states that were not written again in time, and returns what changed.
    pub fn expire(&mut self, now: Instant) -> Vec<ItemChange> {
        let is_expired = |r: &Retained| r.expires_at <= now;
        let expired: Vec<String> =
            self.retained.iter().filter(|(_, r)| is_expired(r)).map(|(k, _)| k.clone()).collect();
        let mut changes = Vec::new();
        for key in expired {
            let before = self.get(&key);
            self.retained.remove(&key);
            changes.extend(self.change_since(&key, before.as_ref()));
        }
        changes
    }

    fn replace_items(&mut self, items: Vec<Item>, position: StorePosition) -> Vec<ItemChange> {
        let present: HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
        let missing: Vec<String> =
            self.items.keys().filter(|k| !present.contains(k.as_str())).cloned().collect();
        let removed = missing.into_iter().map(|key| ItemChange::Removed { key, position });
        let changes = removed.chain(items.into_iter().map(ItemChange::Written)).collect();
        self.apply(changes, position)
    }

    /// Takes the items of a restored store, and retains the newer states of this host.
    fn begin_era(
        &mut self,
        now: Instant,
        items: Vec<Item>,
        position: StorePosition,
    ) -> Vec<ItemChange> {
        let before = std::mem::replace(self, Mirror::new(self.policy));
        self.position = position;
        self.items = items.into_iter().map(|item| (item.key.clone(), item)).collect();
        let expires_at = now + self.policy.duration;
        let removed = before.removed.keys().map(String::as_str);
        let keys: BTreeSet<&str> = before.keys().into_iter().chain(removed).collect();
        for key in &keys {
            if let Some((value, position)) = before.newer_state(key, self.items.get(*key)) {
                let restored_revision = self.items.get(*key).map_or(0, |i| i.position.revision);
                let retained = Retained { value, position, restored_revision, expires_at };
                self.retained.insert((*key).to_owned(), retained);
            }
        }
        let keys: BTreeSet<&str> = keys.into_iter().chain(self.keys()).collect();
        keys.iter().filter_map(|key| self.change_since(key, before.get(key).as_ref())).collect()
    }

    /// The state of an item with its position, if it is newer than the restored one.
    fn newer_state(
        &self,
        key: &str,
        restored: Option<&Item>,
    ) -> Option<(Option<Vec<u8>>, StorePosition)> {
        match (self.get(key), restored) {
            (Some(own), Some(restored)) => {
                let is_newer =
                    own.value != restored.value && (self.policy.is_newer)(&own, restored);
                is_newer.then_some((Some(own.value), own.position))
            }
            (Some(own), None) => {
                self.policy.retains_missing.then_some((Some(own.value), own.position))
            }
            (None, Some(restored)) => {
                let position = self.removal_position(key)?;
                let is_retained = position.revision > restored.position.revision
                    && (self.policy.retains_removal)(key);
                is_retained.then_some((None, position))
            }
            (None, None) => None,
        }
    }

    fn removal_position(&self, key: &str) -> Option<StorePosition> {
        match self.retained.get(key) {
            Some(retained) => Some(retained.position),
            None => Some(StorePosition::new(self.position.era, *self.removed.get(key)?)),
        }
    }

    /// Takes over a state that another host retains, unless this host has a newer one.
    fn retain_received(&mut self, now: Instant, item: RetainedItem) -> Option<ItemChange> {
        let RetainedItem { key, value, position, restored_revision, remaining } = item;
        let known_revision = self.known_revision(&key);
        let is_written_again = known_revision > restored_revision;
        let is_newer = self.retained.get(&key).is_none_or(|own| own.position < position);
        if is_written_again || !is_newer || remaining.is_zero() {
            return None;
        }
        let before = self.get(&key);
        let expires_at = now + remaining;
        let retained = Retained { value, position, restored_revision, expires_at };
        self.retained.insert(key.clone(), retained);
        self.change_since(&key, before.as_ref())
    }

    /// The change of an item's state that counts; `None` if it is the same as before.
    fn change_since(&self, key: &str, before: Option<&Item>) -> Option<ItemChange> {
        match (before, self.get(key)) {
            (Some(_), None) => {
                Some(ItemChange::Removed { key: key.to_owned(), position: self.position })
            }
            (before, Some(after)) if before != Some(&after) => Some(ItemChange::Written(after)),
            _ => None,
        }
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

    /// Revision of the last known change of an item in the current era; 0 if none is known.
    fn known_revision(&self, key: &str) -> u64 {
        let written = self.items.get(key).map_or(0, |i| i.position.revision);
        written.max(self.removed.get(key).copied().unwrap_or(0))
    }

    /// Applies a change of the current era and returns whether the state that counts has changed.
    fn apply_one(&mut self, change: &ItemChange) -> bool {
        let (key, revision) = (change.key(), change.position().revision);
        if revision <= self.known_revision(key) {
            return false;
        }
        let existed = self.get(key).is_some();
        if self.retained.remove(key).is_some() {
            self.confirmed.insert(key.to_owned());
        }
        match change {
            ItemChange::Written(item) => {
                self.removed.remove(key);
                self.items.insert(item.key.clone(), item.clone());
                true
            }
            ItemChange::Removed { key, .. } => {
                self.items.remove(key);
                self.record_removal(key, revision);
                existed
            }
        }
    }
}
