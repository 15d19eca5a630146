//! The newest summary of each other region.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{
    admitted::ADMITTED_LIFETIME,
    digest::{AdmittedByWorkspace, RegionSummary, add_admitted},
};
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

    /// Removes summaries that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.summaries.retain(|_, r| now.saturating_since(r.received_at) <= ADMITTED_LIFETIME);
    }

    /// Requests that the hosts of all other regions have admitted. An older summary counts if more of its
    /// hosts have ended than the newest one of the region still takes for running. Without a newest one,
    /// a part of the quotas is reserved for the hosts of a region that `is_listed`.
    pub fn admitted(
        &self,
        now: Instant,
        slot: Duration,
        is_listed: impl Fn(&str) -> bool,
    ) -> AdmittedByWorkspace {
        let mut sum = AdmittedByWorkspace::new();
        for region in self.regions() {
            let newest = self.get(now, region);
            let has_ended = |host: &Incarnation| {
                newest.is_none_or(|s| s.hosts.iter().all(|(known, _)| known != host))
            };
            let reserved_hosts = match newest {
                Some(newest) => newest.unreachable_hosts as usize,
                None if is_listed(region) => usize::MAX,
                None => 0,
            };
            let mut region_sum = AdmittedByWorkspace::new();
            for r in self.summaries.values().filter(|r| r.summary.region == region) {
                let age = now.saturating_since(r.received_at);
                let is_newest = newest.is_some_and(|newest| std::ptr::eq(newest, &r.summary));
                let ended = r.summary.hosts.iter().filter(|(host, _)| has_ended(host)).count();
                if age > ADMITTED_LIFETIME || !is_newest && ended <= reserved_hosts {
                    continue;
                }
                let slots = age.as_micros() / slot.as_micros().max(1);
                let slots = u64::try_from(slots).unwrap_or(u64::MAX);
                for (workspace, counts) in &r.summary.stats.admitted {
                    region_sum.entry(*workspace).or_default().merge_largest(&counts.aged(slots));
                }
            }
            add_admitted(&mut sum, &region_sum, 0);
        }
        sum
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
        self.regions().into_iter().filter_map(|region| self.get(now, region)).collect()
    }

    fn regions(&self) -> BTreeSet<&str> {
        self.summaries.keys().map(|(region, _)| region.as_str()).collect()
    }
}
