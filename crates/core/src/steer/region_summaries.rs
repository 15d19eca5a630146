//! The newest summary of each other region.

use std::{collections::HashMap, time::Duration};

use super::digest::RegionSummary;
use crate::{host::Incarnation, time::Instant};

/// Age after which a summary is ignored.
const SUMMARY_TTL: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
struct ReceivedSummary {
    received_at: Instant,
    summary: RegionSummary,
}

/// Cache of the summaries of other regions, by region and sender. A duplicate does not extend the
/// lifetime of a summary.
#[derive(Clone, Debug, Default)]
pub struct RegionSummaries {
    summaries: HashMap<(String, Incarnation), ReceivedSummary>,
}

impl RegionSummaries {
    /// Stores a summary that was received directly or forwarded by another host.
    pub fn insert(&mut self, now: Instant, summary: &RegionSummary) {
        let key = (summary.region.clone(), summary.sender);
        let known = self.summaries.get(&key);
        if known.is_none_or(|k| k.summary.sequence < summary.sequence) {
            self.summaries
                .insert(key, ReceivedSummary { received_at: now, summary: summary.clone() });
        }
    }

    /// Removes expired summaries.
    pub fn expire(&mut self, now: Instant) {
        self.summaries.retain(|_, r| now.saturating_since(r.received_at) <= SUMMARY_TTL);
    }

    /// Returns the newest summary of a region that has not expired.
    pub fn get(&self, now: Instant, region: &str) -> Option<&RegionSummary> {
        let unexpired = self.summaries.values().filter(|r| {
            r.summary.region == region && now.saturating_since(r.received_at) <= SUMMARY_TTL
        });
        unexpired.max_by_key(|r| r.received_at).map(|r| &r.summary)
    }

    /// Returns the newest summary of each region that has not expired.
    pub fn all(&self, now: Instant) -> Vec<&RegionSummary> {
        let mut regions: Vec<&str> =
            self.summaries.keys().map(|(region, _)| region.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        regions.into_iter().filter_map(|region| self.get(now, region)).collect()
    }
}
