//! Admission policies: that of the product, and two baselines without messages.

use jasminestage_core::{rate::RateLimiter, time::Instant};

/// Admission policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Policy of the product: shares of homes, and loans.
    Homes,
    /// Baseline: each seat has a fixed equal part of rate and burst.
    StaticSplit,
    /// Baseline: each host has an equal part among the hosts that it can reach.
    LiveSplit,
}

/// Plain token bucket in floating point that starts full.
#[derive(Clone, Debug)]
pub struct PlainBucket {
    pub rate: f64,
    pub burst: f64,
    tokens: f64,
    refilled_at: u64,
}

impl PlainBucket {
    pub fn new(rate: f64, burst: f64) -> Self {
        PlainBucket { rate, burst, tokens: burst, refilled_at: 0 }
    }

    pub fn take(&mut self, now: u64) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
        let is_enough = self.tokens >= 1.0;
        if is_enough {
            self.tokens -= 1.0;
        }
        is_enough
    }

    /// Changes the limits; tokens above the new burst are dropped.
    pub fn resize(&mut self, now: u64, rate: f64, burst: f64) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst).min(burst);
        self.refilled_at = now;
        (self.rate, self.burst) = (rate, burst);
    }
}

/// Admission state of one host.
#[derive(Clone, Debug)]
pub enum Decider {
    Homes(Box<RateLimiter>),
    Plain(Vec<PlainBucket>),
}

/// Instant on the clock of a host that started `clock_offset` microseconds before the simulation.
pub fn on_clock(now: u64, clock_offset: u64) -> Instant {
    Instant::from_micros(now + clock_offset)
}
