//! Wall-clock time as a function of the boot-time clock.

use std::time::Duration;

use crate::time::{Instant, UnixMillis};

/// Wall-clock time that never goes back and runs on between two settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    at: Instant,
    unix: UnixMillis,
}

impl Clock {
    /// Sets the clock from a reading of both clocks; a reading that would put it back is ignored.
    pub fn set(&mut self, now: Instant, unix: UnixMillis) {
        if unix >= self.unix_at(now) {
            *self = Clock { at: now, unix };
        }
    }

    /// Wall-clock time at `now`.
    pub fn unix_at(&self, now: Instant) -> UnixMillis {
        let passed: Duration = now.saturating_since(self.at);
        self.unix.saturating_add(passed.as_millis() as u64)
    }
}
