//! The newest summary of each other region.

use std::{collections::HashMap, time::Duration};

use super::digest::RegionSummary;
use crate::{host::Incarnation, time::Instant};

/// Time after which a summary is no longer believed.
const LIFETIME: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
struct Received {
    at: Instant,
    summary: RegionSummary,
}

/// Summaries by region and speaker; a repeated one does not count as news.
#[derive(Clone, Debug, Default)]
pub struct FarRegions {
    received: HashMap<(String, Incarnation), Received>,
}

impl FarRegions {
    /// Takes in a summary, received directly or passed on.
    pub fn hear(&mut self, now: Instant, summary: &RegionSummary) {
        let key = (summary.region.clone(), summary.speaker);
        let known = self.received.get(&key);
        if known.is_none_or(|k| k.summary.sequence < summary.sequence) {
            self.received.insert(key, Received { at: now, summary: summary.clone() });
        }
    }

    /// Forgets summaries that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.received.retain(|_, r| now.saturating_since(r.at) <= LIFETIME);
    }

    /// The newest summary of a region.
    pub fn get(&self, now: Instant, region: &str) -> Option<&RegionSummary> {
        let fresh = self
            .received
            .values()
            .filter(|r| r.summary.region == region && now.saturating_since(r.at) <= LIFETIME);
        fresh.max_by_key(|r| r.at).map(|r| &r.summary)
    }

    /// The newest summary of each region.
    pub fn all(&self, now: Instant) -> Vec<&RegionSummary> {
        let mut regions: Vec<&str> =
            self.received.keys().map(|(region, _)| region.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        regions.into_iter().filter_map(|region| self.get(now, region)).collect()
    }
}
