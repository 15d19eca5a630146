//! Retry budget.
//!
//! Each host earns a fraction of a retry with each request, on top of its share of an allowance for
//! all hosts. The total over all hosts stays within the bound without messages between them.

use super::bounds::Bounds;

/// Fraction of the permitted retry ratio that is used; the rest covers hosts that count windows
/// differently.
const USED_RATIO_FRACTION: f64 = 0.6;
/// Fraction of the shared allowance that is distributed to the hosts; the rest covers hosts that
/// restart.
const USED_ALLOWANCE_FRACTION: f64 = 0.4;

/// Retry tokens of one service on one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    is_initialized: bool,
}

impl RetryBudget {
    /// Adds the fraction of a retry that one request earns. The first call also adds half of this
    /// host's share of the allowance.
    pub fn deposit(&mut self, bounds: &Bounds, host_count: usize) {
        let allowance = bounds.retry_extra * USED_ALLOWANCE_FRACTION / host_count.max(1) as f64;
        if !self.is_initialized {
            self.is_initialized = true;
            self.tokens = allowance / 2.0;
        }
        self.tokens =
            (self.tokens + bounds.retry_ratio * USED_RATIO_FRACTION).min(allowance.max(1.0));
    }

    /// Takes the token for one retry; returns false if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
