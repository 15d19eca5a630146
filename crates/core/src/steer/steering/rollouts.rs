//! Rollouts on the request path: the responses of the new version at all hosts, the verdict on it and
//! its share of the requests.

use std::time::Duration;

use super::Steering;
use crate::{
    steer::{
        digest::CanaryStats,
        rollout::{self, Verdict},
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
            let share = rollout.traffic_share(now, verdict, self.view.bounds.canary_share);
            Some(RolloutStatus { share, verdict, elapsed: rollout.elapsed(now), counts })
        });
        statuses.collect()
    }

    /// Judges the version that is rolled out for a service.
    pub fn rollout_verdict(&self, service: &str) -> Verdict {
        self.canary_counts(service).map_or(Verdict::Sound, |counts| rollout::verdict(&counts))
    }

    /// Returns this host's counts for the digests to other hosts, with its verdict.
    pub(super) fn local_canary(&self, service: &str) -> Option<CanaryStats> {
        let mut canary = self.services.get(service)?.canary.clone();
        canary.found_faulty = self.rollout_verdict(service) == Verdict::Faulty;
        Some(canary)
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
