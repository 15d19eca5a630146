//! Token buckets that limit retries, requests to other regions, and bytes on the links between
//! regions.

use std::time::Duration;

use crate::{time::Instant, world::BytesPerSecond};

/// Tokens added per new request: enough for one retry per five requests.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Capacity of the bucket, in tokens.
const MAX_TOKENS: f64 = 20.0;
/// Capacity of a link share, as the time in which it refills.
const LINK_BURST: Duration = Duration::from_millis(250);

/// Budget shared by retries and by requests sent to other regions.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the tokens of one new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether at least one token is left.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token and returns true, if one is left.
    pub fn withdraw(&mut self) -> bool {
        let taken = self.has_token();
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

/// This host's share of the bandwidth of its region's link, as a token bucket in bytes. It may become
/// negative, because bytes are charged after they were sent.
#[derive(Clone, Debug, Default)]
pub struct LinkShare {
    rate: BytesPerSecond,
    bytes: f64,
    refilled_at: Instant,
}

impl LinkShare {
    /// Sets the refill rate and limits the bytes in the bucket to the new burst.
    pub fn set_rate(&mut self, now: Instant, rate: BytesPerSecond) {
        self.refill(now);
        if self.rate == 0 {
            self.bytes = burst(rate);
        }
        self.rate = rate;
        self.bytes = self.bytes.min(burst(rate));
    }

    /// Whether bytes are left.
    pub fn has_bytes(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.bytes > 0.0
    }

    /// Takes the bytes of a request that was sent.
    pub fn charge(&mut self, bytes: u64) {
        self.bytes -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.bytes = (self.bytes + passed * self.rate as f64).min(burst(self.rate));
    }
}

fn burst(rate: BytesPerSecond) -> f64 {
    rate as f64 * LINK_BURST.as_secs_f64()
}
