//! Budget for sending a request to a further server.
//!
//! Each host earns a part of a retry with each request and starts with its part of the allowance
//! that all hosts share, so the sum over hosts stays under the bound without messages.

use super::terms::Terms;

/// Part of the permitted ratio that is used; the rest covers hosts that count windows differently.
const USED_RATIO: f64 = 0.6;
/// Part of the shared allowance that is handed out; the rest covers hosts that restart.
const USED_ALLOWANCE: f64 = 0.4;

/// Tokens of one service on one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    is_filled: bool,
}

impl RetryBudget {
    /// Earns a part of a retry for a request of a caller.
    pub fn deposit(&mut self, terms: &Terms, hosts: usize) {
        let allowance = terms.retry_extra * USED_ALLOWANCE / hosts.max(1) as f64;
        if !self.is_filled {
            self.is_filled = true;
            self.tokens = allowance / 2.0;
        }
        self.tokens = (self.tokens + terms.retry_ratio * USED_RATIO).min(allowance.max(1.0));
    }

    /// Takes one retry; false when there is none.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
