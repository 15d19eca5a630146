//! States of items that a host retains when the store is restored from an older copy.
//!
//! The restored store lacks the latest changes. Those who made them usually write them again soon; until
//! then the states that this host knows to be newer count.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{mirror::Item, position::StorePosition};

/// State of an item from before the store was restored, which the restored store lacks.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedItem {
    /// Key in the store.
    pub key: String,
    /// The value; `None` if the item had been removed.
    pub value: Option<Vec<u8>>,
    /// Position of the change that the store has lost.
    pub position: StorePosition,
    /// Revision of the restored item that this state hides; 0 if the restored store has none.
    pub restored_revision: u64,
    /// Time for which the state is still retained.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
}

/// Decides which states of items a copy retains when the store is restored from an older copy and
/// they differ. What was lost is usually written again soon.
#[derive(Clone, Copy, Debug)]
pub struct RetentionPolicy {
    /// Whether an item of this host is newer than the restored one.
    pub is_newer: fn(own: &Item, restored: &Item) -> bool,
    /// Whether an item is retained that the restored store lacks.
    pub retains_missing: bool,
    /// Whether the item with this key stays removed if the restored store has it.
    pub retains_removal: fn(key: &str) -> bool,
    /// Time after which the restored state counts if nothing was written again.
    pub duration: Duration,
}

impl Default for RetentionPolicy {
    /// Takes the restored state at once.
    fn default() -> Self {
        RetentionPolicy {
            is_newer: |_, _| false,
            retains_missing: false,
            retains_removal: |_| false,
            duration: Duration::ZERO,
        }
    }
}
