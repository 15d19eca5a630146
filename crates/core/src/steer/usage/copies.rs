//! Counts of other hosts, as a relay keeps them and the holder of the duty merges them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::{Counts, HostCounts, WindowCounts, WindowId, retained_windows};
use crate::host::Incarnation;

/// Number of windows for which the queries are remembered.
const REMEMBERED_QUERIES: usize = 256;
/// Number of eras that are remembered for a window; two are enough to tell that it is repeated.
const REMEMBERED_ERAS: usize = 2;
/// Number of incarnations whose counts of a window are kept, above that of any failure domain. Messages
/// at the peer address are not authenticated.
const MAX_INCARNATIONS: usize = 4096;

/// Newest counts of each incarnation. They are kept after the host has ended, so that the counts of a
/// killed host are reported.
#[derive(Clone, Debug, Default)]
pub struct UsageCopies {
    /// Sequence number and counts by window and incarnation.
    windows: BTreeMap<WindowId, HashMap<Incarnation, (u64, Counts)>>,
    /// Eras of the store in which holders queried a window, whatever the clock of this host shows.
    queries: BTreeMap<WindowId, BTreeSet<u64>>,
    /// The window of the time of day.
    current: WindowId,
}

impl UsageCopies {
    /// Merges counts of a host; those with the highest sequence number are kept.
    pub fn receive(&mut self, received: &HostCounts) {
        for WindowCounts { window, counts } in &received.windows {
            let hosts = self.windows.entry(*window).or_default();
            let kept = hosts.get(&received.incarnation).map(|(sequence, _)| *sequence);
            let has_room = kept.is_some() || hosts.len() < MAX_INCARNATIONS;
            if has_room && kept.is_none_or(|sequence| received.sequence > sequence) {
                hosts.insert(received.incarnation, (received.sequence, counts.clone()));
            }
        }
    }

    /// Remembers that a holder is about to record a window in an era of the store; returns whether one
    /// was in another era. The store may have lost that record, which may have been sent.
    pub fn record_query(&mut self, window: WindowId, era: u64) -> bool {
        let eras = self.queries.entry(window).or_default();
        if eras.len() < REMEMBERED_ERAS {
            eras.insert(era);
        }
        let is_repeated = eras.len() > 1;
        if self.queries.len() > REMEMBERED_QUERIES {
            // Queries for windows that are far away must not push out those that can be recorded.
            let distance = |window: &WindowId| window.abs_diff(self.current);
            let farthest = self.queries.keys().copied().max_by_key(distance);
            farthest.map(|window| self.queries.remove(&window));
        }
        is_repeated
    }

    /// Removes windows that can no longer be collected, and those far in the future, which a host with
    /// a wrong clock may have sent.
    pub fn expire(&mut self, current: WindowId, window: Duration) {
        self.current = current;
        let retained = retained_windows(window);
        let oldest = (current + 1).saturating_sub(retained);
        self.windows.retain(|window, _| (oldest..=current + retained).contains(window));
    }

    /// Returns the counts of one window by host.
    pub fn of_window(&self, window: WindowId) -> Vec<HostCounts> {
        let hosts = self.windows.get(&window).into_iter().flatten();
        let message =
            |(incarnation, (sequence, counts)): (&Incarnation, &(u64, Counts))| HostCounts {
                incarnation: *incarnation,
                sequence: *sequence,
                windows: vec![WindowCounts { window, counts: counts.clone() }],
            };
        hosts.map(message).collect()
    }

    /// Adds up the counts of a window.
    pub fn total(&self, window: WindowId) -> Counts {
        let mut total = Counts::new();
        for (_, counts) in self.windows.get(&window).into_iter().flat_map(HashMap::values) {
            for (workspace, count) in counts.iter().filter(|(_, count)| **count > 0) {
                *total.entry(workspace.clone()).or_default() += count;
            }
        }
        total
    }
}
