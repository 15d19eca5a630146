//! Moves of a service to a new version: its share over time and the verdict on it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::digest::CanaryStats;
use crate::time::Instant;

/// Part of the permitted share that an unproven version gets for half of the time.
const CANARY_PART: f64 = 0.5;
/// Part of the time of a rollout after which the share grows, with the share as a multiple of the
/// permitted one.
const STEPS: [(f64, f64); 4] = [(0.50, 1.5), (0.57, 3.0), (0.64, 6.0), (0.71, f64::INFINITY)];
/// Part of the time of a rollout after which a version without faults has succeeded.
const SUCCESS_AT: f64 = 0.82;
/// Failures that prove a fault, together with a failure rate above the other versions'.
const MIN_FAILURES: u32 = 4;
/// Failure rate above that of the other versions that proves a fault.
const EXCESS_FAILURE_RATE: f64 = 0.12;
/// Standard deviations of the failure rate that are put down to chance.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// Failure rate that is assumed of the other versions at least, for the deviation.
const MIN_FAILURE_RATE: f64 = 0.02;
/// Answers of the other versions below which their failure rate counts as zero.
const MIN_OTHER_ANSWERS: u32 = 10;

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: String,
    /// The version that takes over.
    pub version: String,
    /// Time in which the move must end.
    pub duration: Duration,
    /// Revision of the order in the store.
    pub revision: u64,
}

/// How far a rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutState {
    /// The version is on trial.
    Running,
    /// The version serves all requests.
    Succeeded,
    /// The version serves none.
    RolledBack,
}

/// A rollout as one host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// Its recorded state.
    pub state: RolloutState,
    /// When it started, on the clock of this host.
    pub started: Instant,
}

impl Rollout {
    /// The share of requests that the new version gets; `permitted` is the share of a faulty version
    /// over the whole rollout.
    pub fn share(&self, now: Instant, is_faulty: bool, permitted: f64) -> f64 {
        match self.state {
            RolloutState::Succeeded => 1.0,
            RolloutState::RolledBack => 0.0,
            RolloutState::Running if is_faulty => 0.0,
            RolloutState::Running => {
                let part = self.elapsed_part(now);
                let step = STEPS.iter().rev().find(|(from, _)| part >= *from);
                let multiple = step.map_or(CANARY_PART, |(_, multiple)| *multiple);
                (permitted * multiple).min(1.0)
            }
        }
    }

    /// The state to record now, if it differs from the recorded one.
    pub fn next_state(&self, now: Instant, is_faulty: bool) -> Option<RolloutState> {
        if self.state != RolloutState::Running {
            return None;
        }
        if is_faulty {
            return Some(RolloutState::RolledBack);
        }
        (self.elapsed_part(now) >= SUCCESS_AT).then_some(RolloutState::Succeeded)
    }

    /// Follows a recorded state; a rollout that has ended does not run again.
    pub fn advance(&mut self, state: RolloutState) -> bool {
        let advances = self.state == RolloutState::Running && state != RolloutState::Running;
        if advances {
            self.state = state;
        }
        advances
    }

    fn elapsed_part(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_since(self.started).as_secs_f64();
        elapsed / self.order.duration.as_secs_f64().max(0.001)
    }
}

/// Whether what the hosts have seen of a version proves a fault.
pub fn is_faulty<'a>(trials: impl Iterator<Item = &'a CanaryStats>) -> bool {
    let mut sum = CanaryStats::default();
    for trial in trials {
        if trial.found_faulty {
            return true;
        }
        sum.responses += trial.responses;
        sum.failures += trial.failures;
        sum.baseline_responses += trial.baseline_responses;
        sum.baseline_failures += trial.baseline_failures;
    }
    if sum.failures < MIN_FAILURES {
        return false;
    }
    let rate = f64::from(sum.failures) / f64::from(sum.responses.max(1));
    let other = if sum.baseline_responses < MIN_OTHER_ANSWERS {
        0.0
    } else {
        f64::from(sum.baseline_failures) / f64::from(sum.baseline_responses)
    };
    let assumed = other.max(MIN_FAILURE_RATE);
    let deviation = (assumed * (1.0 - assumed) / f64::from(sum.responses.max(1))).sqrt();
    rate > EXCESS_FAILURE_RATE + other + CHANCE_DEVIATIONS * deviation
}
