//! Judging a new version against the old one at the same time.
//!
//! Each request is good or bad, and each answer of a warm server in time or slow. For both, a
//! cumulative sum (Page 1954) of the log likelihood ratio (Wald 1945) between "as the old version"
//! and "clearly worse" is kept. It never falls below zero, so that a fault which comes late is
//! found as fast as one at the start.

use serde::{Deserialize, Serialize};

/// Share of the old version above which nothing is judged.
const HIGHEST_SHARE: f64 = 0.5;
/// Clearly worse is this many times the share of the old version, and `worse_by` more.
const WORSE_FACTOR: f64 = 2.0;
/// Requests of the old version that its share is taken from, roughly.
const WINDOW: f64 = 200.0;
/// Requests, all good, that are assumed before the old version was seen.
const PRIOR: f64 = 20.0;

/// Requests counted since a move began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that have ended.
    pub ended: u64,
    /// Bad ones among them.
    pub bad: u64,
    /// Answers of warm servers.
    pub timed: u64,
    /// Slow ones among them.
    pub slow: u64,
}

impl Tally {
    /// One request; `slow` is none when its time does not count.
    pub fn one(bad: bool, slow: Option<bool>) -> Tally {
        Tally {
            ended: 1,
            bad: u64::from(bad),
            timed: u64::from(slow.is_some()),
            slow: u64::from(slow == Some(true)),
        }
    }

    /// Adds another count.
    pub fn add(&mut self, other: &Tally) {
        self.ended += other.ended;
        self.bad += other.bad;
        self.timed += other.timed;
        self.slow += other.slow;
    }

    /// What was counted since `before`.
    pub fn since(&self, before: &Tally) -> Tally {
        Tally {
            ended: self.ended.saturating_sub(before.ended),
            bad: self.bad.saturating_sub(before.bad),
            timed: self.timed.saturating_sub(before.timed),
            slow: self.slow.saturating_sub(before.slow),
        }
    }
}

/// A sequential test of one kind of fault.
#[derive(Clone, Copy, Debug)]
struct Test {
    /// Lowest share that is assumed of the old version.
    lowest: f64,
    /// Clearly worse is at least this much more.
    worse_by: f64,
    /// Sum at which a version is found bad.
    limit: f64,
    ended: f64,
    bad: f64,
    sum: f64,
}

impl Test {
    fn see_old(&mut self, ended: u64, bad: u64) {
        self.ended += ended as f64;
        self.bad += bad as f64;
        if self.ended > WINDOW {
            self.bad *= WINDOW / self.ended;
            self.ended = WINDOW;
        }
    }

    fn see_new(&mut self, ended: u64, bad: u64) -> bool {
        let old = (self.bad / (self.ended + PRIOR)).max(self.lowest);
        if old > HIGHEST_SHARE {
            return false;
        }
        let worse = (old * WORSE_FACTOR + self.worse_by).min(0.95);
        let good = ended.saturating_sub(bad) as f64;
        let step = good * ((1.0 - worse) / (1.0 - old)).ln() + bad as f64 * (worse / old).ln();
        self.sum = (self.sum + step).max(0.0);
        self.sum >= self.limit
    }
}

/// A sequential test of one move.
#[derive(Clone, Debug)]
pub struct Judge {
    failing: Test,
    slow: Test,
}

impl Default for Judge {
    fn default() -> Self {
        let test = |lowest, worse_by, limit| Test {
            lowest,
            worse_by,
            limit,
            ended: 0.0,
            bad: 0.0,
            sum: 0.0,
        };
        Judge { failing: test(0.01, 0.10, 8.0), slow: test(0.10, 0.30, 12.0) }
    }
}

impl Judge {
    /// Takes in requests of the old version.
    pub fn see_old(&mut self, tally: &Tally) {
        self.failing.see_old(tally.ended, tally.bad);
        self.slow.see_old(tally.timed, tally.slow);
    }

    /// Takes in requests of the new version; returns whether it is found bad.
    pub fn see_new(&mut self, tally: &Tally) -> bool {
        let failing = self.failing.see_new(tally.ended, tally.bad);
        let slow = self.slow.see_new(tally.timed, tally.slow);
        failing || slow
    }
}
