//! Rollout of a new version of a service: its traffic share over time and the detection of faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{digest::CanaryStats, position::StorePosition};
use crate::{
    rollout::regression::{RegressionDetector, RequestCounts},
    time::Instant,
};

/// Share of the new version before the first of the [`STEPS`], as a multiple of the permitted share.
const CANARY_MULTIPLE: f64 = 0.5;
/// Fraction of the rollout's duration from which a step applies, and the largest share in this step
/// as a multiple of the permitted share.
const STEPS: [(f64, f64); 3] = [(0.50, 1.5), (0.57, 3.0), (0.64, 6.0)];
/// Fraction of the rollout's duration from which the new version serves all requests.
const FULL_FRACTION: f64 = 0.71;
/// Smallest share of a running rollout as a multiple of the permitted share, so that a fault shows.
const MIN_MULTIPLE: f64 = 0.1;
/// Longest time from the first failed responses of a faulty version until no host uses it any more:
/// the response to a request that was sent before, the next turn of the host that counts it, and the
/// verdict on its way.
const DETECTION_TIME: Duration = Duration::from_millis(700);
/// Fraction of the permitted requests that is planned with, since counts of other hosts arrive late.
const USED_EXPOSURE: f64 = 0.9;
/// Fraction of the rollout's duration after which a version without faults has succeeded.
const SUCCESS_FRACTION: f64 = 0.82;
/// Fraction of the rollout's duration after which a version that could not be compared with the
/// others is rolled back.
const DECISION_FRACTION: f64 = 0.92;
/// Smallest number of failures of a version that is considered faulty.
const MIN_FAILURES: u32 = 4;
/// Difference from the failure rate of the other versions, besides the random deviation, above which
/// a version is considered faulty.
const EXCESS_FAILURE_RATE: f64 = 0.12;
/// Deviation of the failure rate that is considered random, in standard deviations.
const RANDOM_DEVIATIONS: f64 = 3.0;
/// Smallest failure rate of the other versions from which the standard deviation is calculated.
const MIN_BASELINE_RATE: f64 = 0.02;
/// Number of responses of the other versions below which their failure rate is taken as zero.
const MIN_BASELINE_RESPONSES: u32 = 10;

/// Log-likelihood ratio of "clearly worse" against "as good as the others" from which a version is
/// considered faulty. A few failures in a row, as at the end of a server, do not reach it.
const FAILURE_LOG_LIKELIHOOD: f64 = 12.0;
/// Number of failures from which a version is judged by its own failure rate, since the other
/// versions may fail as often under overload. The platform permits 50 failed responses.
const MAX_FAILURES: u32 = 35;
/// Failure rate of a version with [`MAX_FAILURES`] from which it is considered faulty.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Number of responses from which a failure rate is meaningful.
const MIN_RESPONSES: u32 = 8;
/// Failure rate, of the new version or of the others, above which their comparison shows nothing.
const MAX_COMPARABLE_RATE: f64 = 0.3;

/// Time after a restore of the store in which the same order is not a new one.
const REWRITE_PERIOD: Duration = Duration::from_secs(10);

/// Judgement of a version during its rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No fault has been found.
    Sound,
    /// Too many responses of all versions fail to compare them, so the version must not get a
    /// larger share.
    Inconclusive,
    /// The version is faulty.
    Faulty,
}

/// An operator's order to roll out a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service to which the version belongs.
    pub service: String,
    /// The new version.
    pub version: String,
    /// Time within which the rollout must end.
    pub duration: Duration,
    /// Position of the order in the store.
    pub position: StorePosition,
}

impl RolloutOrder {
    /// Whether both orders ask for the same, regardless of when they were written.
    pub fn is_same_request(&self, other: &RolloutOrder) -> bool {
        (&self.service, &self.version, self.duration)
            == (&other.service, &other.version, other.duration)
    }
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version serves a part of the requests.
    Running,
    /// The new version serves all requests.
    Succeeded,
    /// The new version serves no requests.
    RolledBack,
}

/// Requests of a service since the start of a rollout, at all hosts, and how many of them a faulty
/// version may get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    /// Largest share of the requests until the end of the rollout that a faulty version may get.
    pub permitted_share: f64,
    /// Number of requests that it may get besides the share.
    pub permitted_extra: f64,
    /// Requests of the new version.
    pub exposed: f64,
    /// Requests of all versions.
    pub total: f64,
    /// Requests of all versions per second.
    pub rate: f64,
}

impl Exposure {
    /// Returns the share up to which the new version may grow before all requests go to it after
    /// `until_full`. It leaves enough of the permitted requests for the time in which a fault is
    /// detected that shows under full load only.
    fn largest_share(&self, until_full: Duration, until_end: Duration) -> f64 {
        let total = self.total + self.rate * until_end.as_secs_f64();
        let permitted = (self.permitted_share * total + self.permitted_extra) * USED_EXPOSURE;
        let reserve = self.rate * DETECTION_TIME.as_secs_f64();
        let left = (permitted - reserve - self.exposed).max(0.0);
        let requests = |time: Duration| (self.rate * time.as_secs_f64()).max(1.0);
        // A fault may also show now, before the version has full load.
        (left / requests(until_full)).min((left + reserve) / requests(DETECTION_TIME))
    }
}

/// A rollout as seen by one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The operator's order.
    pub order: RolloutOrder,
    /// The recorded state.
    pub state: RolloutState,
    /// Start of the rollout on the clock of this host.
    pub started: Instant,
    /// When this host learned that the store had been restored from a copy during or after the
    /// rollout.
    pub restored_at: Option<Instant>,
}

impl Rollout {
    /// Creates the rollout of an order that this host learned of at `started`.
    pub fn new(order: RolloutOrder, started: Instant) -> Self {
        Rollout { order, state: RolloutState::Running, started, restored_at: None }
    }

    /// Returns the new version's share of the requests.
    pub fn traffic_share(&self, now: Instant, verdict: Verdict, exposure: &Exposure) -> f64 {
        let permitted_share = exposure.permitted_share;
        match self.state {
            RolloutState::Succeeded => return 1.0,
            RolloutState::RolledBack => return 0.0,
            RolloutState::Running => {}
        }
        let fraction = self.elapsed_fraction(now);
        let multiple = match verdict {
            Verdict::Faulty => return 0.0,
            Verdict::Inconclusive => CANARY_MULTIPLE,
            Verdict::Sound if fraction >= FULL_FRACTION => return 1.0,
            Verdict::Sound => {
                let step = STEPS.iter().rev().find(|(from, _)| fraction >= *from);
                step.map_or(CANARY_MULTIPLE, |(_, multiple)| *multiple)
            }
        };
        let (duration, elapsed) = (self.order.duration, self.elapsed(now));
        let until_full = duration.mul_f64(FULL_FRACTION).saturating_sub(elapsed);
        let largest_share = exposure.largest_share(until_full, duration.saturating_sub(elapsed));
        let smallest_share = permitted_share * MIN_MULTIPLE;
        (permitted_share * multiple).min(largest_share.max(smallest_share)).min(1.0)
    }

    /// Returns the state to record now, if it differs from the recorded one.
    pub fn next_state(&self, now: Instant, verdict: Verdict) -> Option<RolloutState> {
        if self.state != RolloutState::Running {
            return None;
        }
        let elapsed = self.elapsed_fraction(now);
        match verdict {
            Verdict::Faulty => Some(RolloutState::RolledBack),
            Verdict::Inconclusive => {
                (elapsed >= DECISION_FRACTION).then_some(RolloutState::RolledBack)
            }
            Verdict::Sound => (elapsed >= SUCCESS_FRACTION).then_some(RolloutState::Succeeded),
        }
    }

    /// Changes to a recorded state and returns whether the state changed. A rollout that has ended
    /// does not change any more.
    pub fn advance(&mut self, state: RolloutState) -> bool {
        let advances = self.state == RolloutState::Running && state != RolloutState::Running;
        if advances {
            self.state = state;
        }
        advances
    }

    /// Whether an order is the one of this rollout, written again after the store was restored from a
    /// copy that lacked it.
    pub fn is_written_again(&self, now: Instant, order: &RolloutOrder) -> bool {
        let is_new_era = self.order.position.era < order.position.era;
        let is_recent = |at| now.saturating_since(at) <= REWRITE_PERIOD;
        self.order.is_same_request(order) && (is_new_era || self.restored_at.is_some_and(is_recent))
    }

    /// Time since the start of the rollout.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_since(self.started)
    }

    fn elapsed_fraction(&self, now: Instant) -> f64 {
        self.elapsed(now).as_secs_f64() / self.order.duration.as_secs_f64().max(0.001)
    }
}

/// Compares the errors of a version with those of the others while the counts of all hosts grow, so
/// that responses from before a fault do not hide it. Slow responses do not count: those of a version
/// whose servers have no objects cached yet are slow without a fault.
#[derive(Clone, Debug)]
pub struct VersionComparison {
    detector: RegressionDetector,
    /// Largest counts that have been compared.
    compared: CanaryStats,
}

impl Default for VersionComparison {
    fn default() -> Self {
        let detector = RegressionDetector::new(FAILURE_LOG_LIKELIHOOD);
        VersionComparison { detector, compared: CanaryStats::default() }
    }
}

impl VersionComparison {
    /// Adds the responses by which the sum of all hosts has grown; returns whether the version fails
    /// clearly more often than the others. The sum may shrink while counts of hosts are missing.
    pub fn add(&mut self, total: &CanaryStats) -> bool {
        let compared = &mut self.compared;
        let grow = |count: &mut u32, total: u32| {
            let growth = total.saturating_sub(*count);
            *count += growth;
            u64::from(growth)
        };
        let old = RequestCounts {
            ended: grow(&mut compared.baseline_responses, total.baseline_responses),
            bad: grow(&mut compared.baseline_errors, total.baseline_errors),
            ..RequestCounts::default()
        };
        let new = RequestCounts {
            ended: grow(&mut compared.responses, total.responses),
            bad: grow(&mut compared.errors, total.errors),
            ..RequestCounts::default()
        };
        self.detector.add_old(&old);
        self.detector.add_new(&new)
    }
}

/// Judges a version by the sum of the results of all hosts.
pub fn verdict(total: &CanaryStats) -> Verdict {
    if total.found_faulty {
        return Verdict::Faulty;
    }
    let rate = f64::from(total.failures) / f64::from(total.responses.max(1));
    let baseline_rate = if total.baseline_responses < MIN_BASELINE_RESPONSES {
        0.0
    } else {
        f64::from(total.baseline_failures) / f64::from(total.baseline_responses)
    };
    let floored_baseline_rate = baseline_rate.max(MIN_BASELINE_RATE);
    let deviation = (floored_baseline_rate * (1.0 - floored_baseline_rate)
        / f64::from(total.responses.max(1)))
    .sqrt();
    let is_worse = total.failures >= MIN_FAILURES
        && rate > EXCESS_FAILURE_RATE + baseline_rate + RANDOM_DEVIATIONS * deviation;
    let fails_too_often = total.failures >= MAX_FAILURES && rate > MAX_FAILURE_RATE;
    if is_worse || fails_too_often {
        return Verdict::Faulty;
    }
    let is_too_high =
        |rate: f64, responses: u32| rate > MAX_COMPARABLE_RATE && responses >= MIN_RESPONSES;
    if is_too_high(rate, total.responses) || is_too_high(baseline_rate, total.baseline_responses) {
        return Verdict::Inconclusive;
    }
    Verdict::Sound
}
