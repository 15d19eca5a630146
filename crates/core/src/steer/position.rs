//! Places in the history of the store.

use serde::{Deserialize, Serialize};

/// A place in the history of the store, ordered by era first.
///
/// When the store is restored from a copy, it loses its latest changes and gives their revisions out
/// again. Each restore starts a new era, so revisions compare only within an era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Number of the era.
    pub era: u64,
    /// Revision within the era; 0 before the first change.
    pub revision: u64,
}

impl StorePosition {
    /// Position of a revision within an era.
    pub fn new(era: u64, revision: u64) -> Self {
        StorePosition { era, revision }
    }
}
