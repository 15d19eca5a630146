//! What decides on admission: the product, or one of two baselines without messages.

use jasminestage_core::{rate::Buckets, time::Instant};

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product.
    Homes,
    /// Baseline: each seat has an equal part for ever.
    StaticSplit,
    /// Baseline: each host has an equal part among the hosts that it sees alive.
    LiveSplit,
}

/// A plain token bucket in floating point, full at the start.
#[derive(Clone, Debug)]
pub struct PlainBucket {
    pub rate: f64,
    pub burst: f64,
    tokens: f64,
    filled: u64,
}

impl PlainBucket {
    pub fn new(rate: f64, burst: f64) -> Self {
        PlainBucket { rate, burst, tokens: burst, filled: 0 }
    }

    pub fn take(&mut self, now: u64) -> bool {
        let elapsed = now.saturating_sub(self.filled) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.filled = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Changes the limits; tokens above the new burst are dropped.
    pub fn resize(&mut self, now: u64, rate: f64, burst: f64) {
        let elapsed = now.saturating_sub(self.filled) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst).min(burst);
        self.filled = now;
        (self.rate, self.burst) = (rate, burst);
    }
}

/// State of the decision on one host.
#[derive(Clone, Debug)]
pub enum Decider {
    Homes(Box<Buckets>),
    Plain(Vec<PlainBucket>),
}

/// An instant on the clock of a host that started `offset` microseconds before the simulation.
pub fn on_clock(now: u64, offset: u64) -> Instant {
    Instant::from_micros(now + offset)
}
