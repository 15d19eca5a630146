//! Detects regressions of a new version by comparing it with the old one over the same time.
//!
//! Each request is good or bad, and each good answer of a warm server is in time or slow. For both,
//! a cumulative sum (CUSUM, Page 1954) of the log-likelihood ratio (Wald 1945) between the
//! hypotheses "same as the old version" and "clearly worse" is kept. The sum never falls below
//! zero, so that a late regression is detected as fast as one at the start.

use serde::{Deserialize, Serialize};

/// Bad fraction of the old version above which the new version is not tested.
const MAX_OLD_FRACTION: f64 = 0.5;
/// "Clearly worse" is this many times the bad fraction of the old version, plus `worse_by`.
const WORSE_FACTOR: f64 = 2.0;
/// Approximate number of recent requests that the bad fraction of the old version is based on.
const OLD_WINDOW_REQUESTS: f64 = 200.0;
/// Good requests that the old version is assumed to have completed before the first counted one.
const PRIOR_GOOD_REQUESTS: f64 = 20.0;

/// Requests counted since a rollout began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that have ended.
    pub ended: u64,
    /// Bad requests among them.
    pub bad: u64,
    /// Good answers of warm servers.
    pub timed: u64,
    /// Slow answers among them.
    pub slow: u64,
}

impl RequestCounts {
    /// Counts of one request; `slow` is `None` if its latency is not counted.
    pub fn single(bad: bool, slow: Option<bool>) -> RequestCounts {
        RequestCounts {
            ended: 1,
            bad: u64::from(bad),
            timed: u64::from(slow.is_some()),
            slow: u64::from(slow == Some(true)),
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &RequestCounts) {
        self.ended += other.ended;
        self.bad += other.bad;
        self.timed += other.timed;
        self.slow += other.slow;
    }

    /// Counts since `before`.
    pub fn since(&self, before: &RequestCounts) -> RequestCounts {
        RequestCounts {
            ended: self.ended.saturating_sub(before.ended),
            bad: self.bad.saturating_sub(before.bad),
            timed: self.timed.saturating_sub(before.timed),
            slow: self.slow.saturating_sub(before.slow),
        }
    }
}

/// Cumulative sum test for one kind of bad request.
#[derive(Clone, Copy, Debug)]
struct CusumTest {
    /// Minimum bad fraction that is assumed for the old version.
    min_old_fraction: f64,
    /// Fraction that "clearly worse" adds to [`WORSE_FACTOR`] times the bad fraction of the old
    /// version.
    worse_by: f64,
    /// Sum at which the new version counts as regressed.
    threshold: f64,
    /// Requests of the old version within the window.
    old_ended: f64,
    /// Bad requests among them.
    old_bad: f64,
    /// Cumulative sum of the log-likelihood ratios.
    sum: f64,
}

impl CusumTest {
    fn add_old(&mut self, ended: u64, bad: u64) {
        self.old_ended += ended as f64;
        self.old_bad += bad as f64;
        if self.old_ended > OLD_WINDOW_REQUESTS {
            self.old_bad *= OLD_WINDOW_REQUESTS / self.old_ended;
            self.old_ended = OLD_WINDOW_REQUESTS;
        }
    }

    /// Adds requests of the new version; returns whether the sum has reached the threshold.
    fn add_new(&mut self, ended: u64, bad: u64) -> bool {
        let old_fraction =
            (self.old_bad / (self.old_ended + PRIOR_GOOD_REQUESTS)).max(self.min_old_fraction);
        if old_fraction > MAX_OLD_FRACTION {
            return false;
        }
        // Less than 1, so that the logarithm of the good fraction is defined.
        let worse_fraction = (old_fraction * WORSE_FACTOR + self.worse_by).min(0.95);
        let good = ended.saturating_sub(bad) as f64;
        let log_likelihood_ratio = good * ((1.0 - worse_fraction) / (1.0 - old_fraction)).ln()
            + bad as f64 * (worse_fraction / old_fraction).ln();
        self.sum = (self.sum + log_likelihood_ratio).max(0.0);
        self.sum >= self.threshold
    }
}

/// Detects failures and slow answers of the new version of one rollout.
#[derive(Clone, Debug)]
pub struct RegressionDetector {
    failing: CusumTest,
    slow: CusumTest,
}

impl Default for RegressionDetector {
    fn default() -> Self {
        RegressionDetector::new(8.0)
    }
}

impl RegressionDetector {
    /// Creates a detector for which the log-likelihood ratio of failures has to reach a threshold.
    pub fn new(failure_threshold: f64) -> Self {
        let test = |min_old_fraction, worse_by, threshold| CusumTest {
            min_old_fraction,
            worse_by,
            threshold,
            old_ended: 0.0,
            old_bad: 0.0,
            sum: 0.0,
        };
        RegressionDetector {
            failing: test(0.01, 0.10, failure_threshold),
            slow: test(0.10, 0.30, 12.0),
        }
    }

    /// Adds requests of the old version.
    pub fn add_old(&mut self, counts: &RequestCounts) {
        self.failing.add_old(counts.ended, counts.bad);
        self.slow.add_old(counts.timed, counts.slow);
    }

    /// Adds requests of the new version; returns whether it has regressed.
    pub fn add_new(&mut self, counts: &RequestCounts) -> bool {
        let failing = self.failing.add_new(counts.ended, counts.bad);
        let slow = self.slow.add_new(counts.timed, counts.slow);
        failing || slow
    }
}
