//! Budgets: retries with overflow, and bytes over the links between regions.

use std::time::Duration;

use crate::{declaration::BytesPerSecond, time::Instant};

/// Tokens that one new request adds.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Most tokens that are kept.
const MAX_TOKENS: f64 = 20.0;
/// Time whose bytes a link share keeps at most.
const LINK_BURST: Duration = Duration::from_millis(250);

/// One budget for second tries and for requests sent to other regions.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { tokens: MAX_TOKENS }
    }
}

impl Budget {
    /// Adds what a new request earns.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether a token is left.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token if there is one.
    pub fn withdraw(&mut self) -> bool {
        let taken = self.has_token();
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

/// This host's share of its region's link, in bytes; an answer may bring it into debt.
#[derive(Clone, Debug, Default)]
pub struct LinkShare {
    rate: BytesPerSecond,
    bytes: f64,
    filled: Instant,
}

impl LinkShare {
    /// Sets the rate; the bytes kept never exceed the new burst.
    pub fn set_rate(&mut self, now: Instant, rate: BytesPerSecond) {
        self.fill(now);
        if self.rate == 0 {
            self.bytes = burst(rate);
        }
        self.rate = rate;
        self.bytes = self.bytes.min(burst(rate));
    }

    /// Whether bytes are left.
    pub fn is_open(&mut self, now: Instant) -> bool {
        self.fill(now);
        self.bytes > 0.0
    }

    /// Counts bytes sent.
    pub fn charge(&mut self, bytes: u64) {
        self.bytes -= bytes as f64;
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.bytes = (self.bytes + passed * self.rate as f64).min(burst(self.rate));
    }
}

fn burst(rate: BytesPerSecond) -> f64 {
    rate as f64 * LINK_BURST.as_secs_f64()
}
