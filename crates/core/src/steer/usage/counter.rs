//! Counts of the attempts of this host that servers began.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Counts, HostCounts, WindowCounts, WindowId,
    clock::{ClockChange, WindowClock},
    retained_windows,
};
use crate::{
    host::Incarnation,
    time::{Instant, UnixMillis},
};

/// Number of newest windows that each message contains; older ones only after a change.
const REPEATED_WINDOWS: u64 = 2;

/// Counts of this host by window and workspace.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    clock: WindowClock,
    windows: BTreeMap<WindowId, Counts>,
    /// Windows that have changed since the last message.
    changed: BTreeSet<WindowId>,
    sequence: u64,
}

impl UsageCounter {
    /// Creates the counter of a host that has just started.
    pub fn new(window: Duration) -> Self {
        UsageCounter {
            clock: WindowClock::new(window),
            windows: BTreeMap::new(),
            changed: BTreeSet::new(),
            sequence: 0,
        }
    }

    /// Applies the time of day that the system shows and removes old windows.
    pub fn observe_time(&mut self, now: Instant, unix_ms: UnixMillis) -> ClockChange {
        let change = self.clock.observe(now, unix_ms);
        if let Some(current) = self.clock.window_at(now) {
            let oldest = (current + 1).saturating_sub(retained_windows(self.clock.window()));
            self.windows.retain(|window, _| (oldest..=current + 1).contains(window));
            self.changed.retain(|window| *window >= oldest);
        }
        change
    }

    /// The filtered time of day.
    pub fn clock(&self) -> &WindowClock {
        &self.clock
    }

    /// Counts an attempt that a server begins at an instant; returns its window.
    pub fn count(&mut self, begun_at: Instant, workspace: &str) -> Option<WindowId> {
        let window = self.clock.window_at(begun_at)?;
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counts.insert(workspace.to_owned(), 1);
            }
        }
        self.changed.insert(window);
        Some(window)
    }

    /// Removes an attempt from the count of a window.
    pub fn discount(&mut self, window: WindowId, workspace: &str) {
        let counts = self.windows.get_mut(&window);
        if let Some(count) = counts.and_then(|c| c.get_mut(workspace)) {
            *count = count.saturating_sub(1);
            self.changed.insert(window);
        }
    }

    /// Returns the counts to be sent to the relays: the newest windows, in case an earlier message was
    /// lost, and older ones that have changed.
    pub fn changed_counts(&mut self, now: Instant, incarnation: Incarnation) -> HostCounts {
        let current = self.clock.window_at(now).unwrap_or_default();
        let changed = std::mem::take(&mut self.changed);
        self.message(incarnation, |window| {
            window + REPEATED_WINDOWS > current || changed.contains(&window)
        })
    }

    /// Returns all counts.
    pub fn all_counts(&mut self, incarnation: Incarnation) -> HostCounts {
        self.message(incarnation, |_| true)
    }

    fn message(
        &mut self,
        incarnation: Incarnation,
        is_included: impl Fn(WindowId) -> bool,
    ) -> HostCounts {
        self.sequence += 1;
        let included = self.windows.iter().filter(|(window, _)| is_included(**window));
        let windows = included
            .map(|(window, counts)| WindowCounts { window: *window, counts: counts.clone() })
            .collect();
        HostCounts { incarnation, sequence: self.sequence, windows }
    }
}
