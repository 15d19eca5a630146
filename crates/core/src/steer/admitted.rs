//! Requests admitted for a workspace, by age.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which the requests that hosts had admitted are counted after their last message. It is longer
/// than a quota window, so that hosts that end leave no gap in the count.
pub const ADMITTED_LIFETIME: Duration = Duration::from_secs(6);
/// Number of slots in a quota window.
pub const SLOTS_PER_WINDOW: usize = 10;
/// The window and the slot whose requests may be partly inside it.
const SLOTS: usize = SLOTS_PER_WINDOW + 1;

/// Requests admitted in the last quota window, in slots of a tenth of the window, the newest first. The
/// newest slot is incomplete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Vec<u32>", from = "Vec<u32>")]
pub struct AdmittedCounts([u32; SLOTS]);

impl From<Vec<u32>> for AdmittedCounts {
    fn from(counts: Vec<u32>) -> Self {
        AdmittedCounts(std::array::from_fn(|n| counts.get(n).copied().unwrap_or_default()))
    }
}

/// Without the zeros at the end.
impl From<AdmittedCounts> for Vec<u32> {
    fn from(counts: AdmittedCounts) -> Self {
        let len = counts.0.iter().rposition(|n| *n > 0).map_or(0, |last| last + 1);
        counts.0[..len].to_vec()
    }
}

impl AdmittedCounts {
    /// Counts a request that has just been admitted.
    pub fn count(&mut self) {
        self.0[0] = self.0[0].saturating_add(1);
    }

    /// Adds the requests of other hosts.
    pub fn add(&mut self, other: &AdmittedCounts) {
        for (sum, n) in self.0.iter_mut().zip(other.0) {
            *sum = sum.saturating_add(n);
        }
    }

    /// Takes the larger number of each slot: of two reports on the same hosts, each may lack requests.
    pub fn merge_largest(&mut self, other: &AdmittedCounts) {
        for (known, n) in self.0.iter_mut().zip(other.0) {
            *known = (*known).max(n);
        }
    }

    /// The same requests after some slots have passed.
    pub fn aged(&self, slots: u64) -> AdmittedCounts {
        let slots = usize::try_from(slots).unwrap_or(SLOTS);
        AdmittedCounts(std::array::from_fn(|n| {
            n.checked_sub(slots).map_or(0, |younger| self.0[younger])
        }))
    }

    /// Requests in the newest slot, which is incomplete, and in `complete` further ones.
    pub fn in_newest(&self, complete: usize) -> f64 {
        self.0.iter().take(complete + 1).map(|n| f64::from(*n)).sum()
    }

    /// Requests in the newest slots, of which the last one may count in part.
    pub fn in_newest_slots(&self, slots: f64) -> f64 {
        let parts = (0..SLOTS).map(|n| (slots - n as f64).clamp(0.0, 1.0));
        self.0.iter().zip(parts).map(|(n, part)| f64::from(*n) * part).sum()
    }

    /// Requests in all slots.
    pub fn total(&self) -> f64 {
        self.in_newest(SLOTS)
    }
}
