//! Lowest rate of a transfer.

use std::pin::pin;

use jasminestage_core::connections::TransferRate;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// A transfer is slower than the settings allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("The transfer brought {bytes} bytes in {} ms; at least {} are needed.", rate.window.as_millis(), rate.min_window_bytes())]
pub struct TransferTooSlow {
    /// Bytes in the last window.
    pub bytes: u64,
    /// The lowest rate.
    pub rate: TransferRate,
}

/// A transfer in progress.
#[derive(Debug)]
pub struct Transfer {
    rate: TransferRate,
    window_end: Instant,
    window_bytes: u64,
}

impl Transfer {
    /// Starts a transfer.
    pub fn start(rate: TransferRate) -> Self {
        Transfer { rate, window_end: Instant::now() + rate.window, window_bytes: 0 }
    }

    /// Records bytes that have arrived.
    pub fn record(&mut self, bytes: usize) {
        self.window_bytes += bytes as u64;
    }

    /// Waits for the next part of the transfer as long as it is fast enough.
    pub async fn next<T>(&mut self, part: impl Future<Output = T>) -> Result<T, TransferTooSlow> {
        let mut part = pin!(part);
        loop {
            if let Ok(part) = timeout_at(self.window_end, &mut part).await {
                return Ok(part);
            }
            let bytes = std::mem::take(&mut self.window_bytes);
            if bytes < self.rate.min_window_bytes() {
                return Err(TransferTooSlow { bytes, rate: self.rate });
            }
            self.window_end = Instant::now() + self.rate.window;
        }
    }
}
