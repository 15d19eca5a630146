//! Judging a new version against the old one at the same time.
//!
//! Each request is good or bad. A cumulative sum (Page 1954) of the log likelihood ratio (Wald 1945)
//! between "as bad as the old version" and "clearly worse" is kept and never falls below zero, so
//! that a fault which comes late is found as fast as one at the start.

use serde::{Deserialize, Serialize};

/// Sum at which a version is found bad.
const LIMIT: f64 = 8.0;
/// Lowest share of bad requests that is assumed of the old version.
const LOWEST_SHARE: f64 = 0.01;
/// Share of bad requests of the old version above which nothing is judged.
const HIGHEST_SHARE: f64 = 0.5;
/// Clearly worse: this many times the share of the old version ...
const WORSE_FACTOR: f64 = 2.0;
/// ... and this much more.
const WORSE_BY: f64 = 0.10;
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
}

impl Tally {
    /// Counts one request.
    pub fn count(&mut self, bad: bool) {
        self.ended += 1;
        self.bad += u64::from(bad);
    }

    /// What was counted since `before`.
    pub fn since(&self, before: &Tally) -> Tally {
        Tally {
            ended: self.ended.saturating_sub(before.ended),
            bad: self.bad.saturating_sub(before.bad),
        }
    }
}

/// A sequential test of one move.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    old_ended: f64,
    old_bad: f64,
    sum: f64,
}

impl Judge {
    /// Takes in requests of the old version.
    pub fn see_old(&mut self, tally: Tally) {
        self.old_ended += tally.ended as f64;
        self.old_bad += tally.bad as f64;
        if self.old_ended > WINDOW {
            let keep = WINDOW / self.old_ended;
            self.old_bad *= keep;
            self.old_ended = WINDOW;
        }
    }

    /// Takes in requests of the new version; returns whether it is found bad.
    pub fn see_new(&mut self, tally: Tally) -> bool {
        let old = (self.old_bad / (self.old_ended + PRIOR)).max(LOWEST_SHARE);
        if old > HIGHEST_SHARE {
            return false;
        }
        let worse = (old * WORSE_FACTOR + WORSE_BY).min(0.95);
        let good = tally.ended.saturating_sub(tally.bad) as f64;
        let bad = tally.bad as f64;
        let step = good * ((1.0 - worse) / (1.0 - old)).ln() + bad * (worse / old).ln();
        self.sum = (self.sum + step).max(0.0);
        self.sum >= LIMIT
    }
}
