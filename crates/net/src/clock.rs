//! The boot-time clock, which runs on while the machine is suspended.

use jasminestage_core::time::{Instant, UnixMillis};
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since the machine was booted.
pub fn now() -> Instant {
    let t = clock_gettime(ClockId::Boottime);
    Instant::from_micros(t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1000)
}

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> UnixMillis {
    let t = clock_gettime(ClockId::Realtime);
    t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000
}
