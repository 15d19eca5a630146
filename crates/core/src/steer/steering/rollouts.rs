//! Rollouts on the request path: the responses of the new version at all hosts, the verdict on it and
//! its share of the requests.

use std::{collections::BTreeSet, time::Duration};

use super::Steering;
use crate::{
    steer::{
        digest::{CanaryStats, name_hash},
        position::StorePosition,
        rollout::{self, Exposure, Verdict},
    },
    time::Instant,
};

/// How a host treats the version that is rolled out for a service, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// Share of the requests that the host sends to the version.
    pub share: f64,
    /// The host's judgement of the version.
    pub verdict: Verdict,
    /// Time since the start of the rollout, as the host knows it.
    pub elapsed: Duration,
    /// Responses at all hosts whose counts have arrived.
    pub counts: CanaryStats,
}

impl Steering {
    /// Returns how this host treats the version of each rollout.
    pub fn rollout_statuses(&self, now: Instant) -> Vec<RolloutStatus> {
        let statuses = self.view.rollouts.iter().filter_map(|(service, rollout)| {
            let counts = self.canary_counts(service)?;
            let verdict = rollout::verdict(&counts);
            let share = rollout.traffic_share(now, verdict, &self.exposure(now, service, &counts));
            Some(RolloutStatus { share, verdict, elapsed: rollout.elapsed(now), counts })
        });
        statuses.collect()
    }

    /// Judges the version that is rolled out for a service.
    pub fn rollout_verdict(&self, service: &str) -> Verdict {
        self.canary_counts(service).map_or(Verdict::Sound, |counts| rollout::verdict(&counts))
    }

    /// Judges the versions of all rollouts.
    pub(super) fn judge_rollouts(&mut self) {
        let services: Vec<String> = self.view.rollouts.keys().cloned().collect();
        services.iter().for_each(|service| self.judge_rollout(service));
    }

    /// Judges the version that is rolled out for a service. A version stays faulty until the next
    /// order, because later good responses or lost counts of other hosts do not refute the failures.
    pub(super) fn judge_rollout(&mut self, service: &str) {
        let Some(counts) = self.canary_counts(service) else { return };
        let Some(state) = self.services.get_mut(service) else { return };
        let is_worse = state.comparison.add(&counts);
        state.canary.found_faulty |= is_worse || rollout::verdict(&counts) == Verdict::Faulty;
    }

    /// Errors of new versions that this host has counted.
    pub fn canary_errors(&self) -> u32 {
        self.services.values().map(|s| s.canary.errors).sum()
    }

    /// Positions of the rollout orders whose versions this host has found faulty.
    pub fn faulty_orders(&self) -> BTreeSet<StorePosition> {
        let canaries = self.services.values().map(|s| &s.canary);
        canaries.filter(|c| c.found_faulty).map(|c| c.order).collect()
    }

    /// Returns this host's counts for the digests to other hosts, with its verdict.
    pub(super) fn local_canary(&self, service: &str) -> Option<CanaryStats> {
        Some(self.services.get(service)?.canary.clone())
    }

    /// Returns the new version's share of the requests for a service.
    pub(super) fn rollout_share(&self, now: Instant, service: &str) -> Option<f64> {
        let rollout = self.view.rollouts.get(service)?;
        let counts = self.canary_counts(service)?;
        let verdict = rollout::verdict(&counts);
        Some(rollout.traffic_share(now, verdict, &self.exposure(now, service, &counts)))
    }

    /// Counts a request that is sent to a server of this version.
    pub(super) fn count_canary_request(&mut self, service: &str, version: &str) {
        let state = self.services.get_mut(service);
        if let Some(state) = state.filter(|s| s.canary.version == version) {
            state.canary.requests += 1;
        }
    }

    fn exposure(&self, now: Instant, service: &str, counts: &CanaryStats) -> Exposure {
        let key = name_hash(service);
        let local = self.services.get(service).map_or(0.0, |s| s.demand.total_per_s());
        let same_region = self.received.fresh(now).map(|(_, state)| &state.sum.stats);
        let summaries = self.remote_regions.all(now);
        let stats = same_region.chain(summaries.iter().map(|s| &s.stats));
        let remote: f32 = stats.filter_map(|s| s.request_rates.get(&key)).sum();
        Exposure {
            permitted_share: self.view.bounds.canary_share,
            permitted_extra: self.view.bounds.canary_extra,
            exposed: f64::from(counts.requests),
            total: f64::from(counts.requests) + f64::from(counts.baseline_responses),
            rate: local + f64::from(remote),
        }
    }

    /// Returns the sum of the counts of all hosts; `None` if the service has had no rollout.
    fn canary_counts(&self, service: &str) -> Option<CanaryStats> {
        let own = &self.services.get(service)?.canary;
        let states = self.received.for_rollouts(self.last_tick_at);
        let same_region = states.flat_map(|(_, state)| &state.sum.stats.canaries);
        let summaries = self.remote_regions.all(self.last_tick_at);
        let others = same_region.chain(summaries.iter().flat_map(|s| &s.stats.canaries));
        let mut counts = own.clone();
        others.filter(|canary| canary.is_same_rollout(own)).for_each(|canary| counts.add(canary));
        Some(counts)
    }
}
