//! Time of day of one host, with steps filtered out, and the arithmetic of windows.

use std::time::Duration;

use super::WindowId;
use crate::time::{Instant, UnixMillis};

/// Largest change of the time of day that is adopted at once.
const MAX_ADJUSTMENT_MS: u64 = 500;
/// Time for which a larger step must last until it is adopted: some clocks jump and jump back.
const STEP_CONFIRMATION: Duration = Duration::from_secs(30);

/// Change of the filtered time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockChange {
    /// The clock runs on, apart from small adjustments.
    None,
    /// A step of this many milliseconds was observed, which is not adopted yet.
    StepObserved(i64),
    /// A step of this many milliseconds has lasted and was adopted.
    StepAdopted(i64),
}

/// Filtered time of day.
#[derive(Clone, Debug)]
pub struct WindowClock {
    window: Duration,
    /// Time of day less the boot-time clock, in milliseconds.
    offset_ms: Option<i64>,
    /// A different offset, and when it was first observed.
    step: Option<(i64, Instant)>,
}

impl WindowClock {
    /// Creates a clock for windows of this length, which must not be zero.
    pub fn new(window: Duration) -> Self {
        WindowClock { window, offset_ms: None, step: None }
    }

    /// Applies the time of day that the system shows.
    pub fn observe(&mut self, now: Instant, unix_ms: UnixMillis) -> ClockChange {
        let measured = unix_ms as i64 - boot_ms(now);
        let Some(offset) = self.offset_ms else {
            self.offset_ms = Some(measured);
            return ClockChange::None;
        };
        let is_near = |other: i64| measured.abs_diff(other) <= MAX_ADJUSTMENT_MS;
        if is_near(offset) {
            self.offset_ms = Some(measured);
            self.step = None;
            return ClockChange::None;
        }
        match self.step {
            Some((step, since)) if is_near(step) => {
                if now.saturating_since(since) < STEP_CONFIRMATION {
                    return ClockChange::None;
                }
                self.offset_ms = Some(measured);
                self.step = None;
                ClockChange::StepAdopted(measured - offset)
            }
            _ => {
                self.step = Some((measured, now));
                ClockChange::StepObserved(measured - offset)
            }
        }
    }

    /// Filtered time of day at an instant; `None` before the first observation.
    pub fn unix_at(&self, at: Instant) -> Option<UnixMillis> {
        let unix_ms = self.offset_ms?.saturating_add(boot_ms(at));
        u64::try_from(unix_ms).ok()
    }

    /// Window in which an instant is.
    pub fn window_at(&self, at: Instant) -> Option<WindowId> {
        Some(self.unix_at(at)? / window_ms(self.window))
    }

    /// Length of the windows.
    pub fn window(&self) -> Duration {
        self.window
    }
}

fn boot_ms(at: Instant) -> i64 {
    (at.as_micros() / 1000) as i64
}

fn window_ms(window: Duration) -> u64 {
    (window.as_millis() as u64).max(1)
}

/// Time of day at which a window begins.
pub fn start_of(window: WindowId, length: Duration) -> UnixMillis {
    window.saturating_mul(window_ms(length))
}

/// Time of day at which a window ends.
pub fn end_of(window: WindowId, length: Duration) -> UnixMillis {
    start_of(window.saturating_add(1), length)
}
