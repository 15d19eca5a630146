//! Instants on the clock of one host, passed as values.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// An instant on the boot-time clock of one host, in microseconds.
///
/// Instants of different hosts are not comparable. A host sends them only to have them echoed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The start of the clock.
    pub const ZERO: Instant = Instant(0);

    /// The end of the clock.
    pub const MAX: Instant = Instant(u64::MAX);

    /// An instant `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Instant(micros)
    }

    /// An instant `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Instant(millis * 1000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, zero if `earlier` is later.
    pub fn saturating_since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(saturating_micros(duration)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(saturating_micros(duration)))
    }
}

/// Microseconds of a duration, which may come from a stored value and be longer than the clock.
fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
