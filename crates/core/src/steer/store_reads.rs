//! Course of a host's reads of the store, which shows when the store was unavailable.

use std::time::Duration;

use crate::time::Instant;

/// Time after which a host that has not read the store cannot tell whether it is available: a watch
/// without changes returns before.
const MAX_READ_AGE: Duration = Duration::from_secs(3);

/// Reads of the store by one host.
#[derive(Clone, Debug, Default)]
pub struct StoreReads {
    /// When this host last read the store successfully.
    last_success: Option<Instant>,
    /// Start of the reads that have succeeded one after the other until now.
    steady_since: Option<Instant>,
    outage: Option<Outage>,
}

/// Time without a successful read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Outage {
    /// Last time at which the store was known to be available.
    since: Instant,
    /// When the last call that failed was made.
    last_failed_call: Instant,
}

/// An outage that has ended with a successful read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedOutage {
    /// Time since the store was last known to be available before.
    pub duration: Duration,
    /// When the last call that failed was made.
    pub last_failed_call: Instant,
}

impl StoreReads {
    /// Starts reading after other hosts read the store for this one. The time in which this host did
    /// not read is no outage, unless the others have lost the store: `lost_since` is their last read.
    pub fn begin(&mut self, now: Instant, lost_since: Option<Instant>) {
        self.steady_since = None;
        self.last_success = Some(now);
        self.outage = lost_since.map(|since| Outage { since, last_failed_call: now });
    }

    /// Records that a call made at `called_at` has failed.
    pub fn record_failure(&mut self, called_at: Instant) {
        let since = self.last_success.unwrap_or(called_at);
        let outage = self.outage.get_or_insert(Outage { since, last_failed_call: called_at });
        outage.last_failed_call = called_at;
        self.steady_since = None;
    }

    /// Records a successful read; returns the outage that it ends.
    pub fn record_success(&mut self, now: Instant) -> Option<EndedOutage> {
        self.last_success = Some(now);
        self.steady_since.get_or_insert(now);
        self.outage.take().map(|outage| EndedOutage {
            duration: now.saturating_since(outage.since),
            last_failed_call: outage.last_failed_call,
        })
    }

    /// Whether the last call has not failed.
    pub fn is_reachable(&self) -> bool {
        self.outage.is_none()
    }

    /// Time since the last successful read.
    pub fn read_age(&self, now: Instant) -> Option<Duration> {
        self.last_success.map(|at| now.saturating_since(at))
    }

    /// Time for which all reads have succeeded; `None` if this host does not read the store now.
    pub fn steady_age(&self, now: Instant) -> Option<Duration> {
        let is_reading = self.read_age(now).is_some_and(|age| age <= MAX_READ_AGE);
        self.steady_since.filter(|_| is_reading).map(|at| now.saturating_since(at))
    }
}
