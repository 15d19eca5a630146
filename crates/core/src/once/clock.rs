//! Wall-clock time derived from the boot-time clock.

use std::time::Duration;

use crate::time::{Instant, UnixMillis};

/// Wall clock that never goes back and advances with the boot-time clock between two readings.
#[derive(Clone, Copy, Debug, Default)]
pub struct WallClock {
    set_at: Instant,
    unix: UnixMillis,
}

impl WallClock {
    /// Sets the clock from readings of both clocks; ignores a reading that would set it back.
    pub fn set(&mut self, now: Instant, unix: UnixMillis) {
        if unix >= self.unix_at(now) {
            *self = WallClock { set_at: now, unix };
        }
    }

    /// Wall-clock time at `now`.
    pub fn unix_at(&self, now: Instant) -> UnixMillis {
        let elapsed: Duration = now.saturating_since(self.set_at);
        self.unix.saturating_add(elapsed.as_millis() as u64)
    }
}
