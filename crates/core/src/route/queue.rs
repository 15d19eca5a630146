//! Requests of one route that wait for a slot, fair between workspaces.

use std::collections::VecDeque;

use crate::traffic::FlightKey;

/// Requests that wait on one route of one host at most.
pub const MAX_WAITING: usize = 256;

/// A line per workspace, served in turn; each line is first in, first out.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    lines: VecDeque<Line>,
    woken: Vec<FlightKey>,
    len: usize,
}

#[derive(Clone, Debug)]
struct Line {
    workspace: String,
    flights: VecDeque<FlightKey>,
}

impl FairQueue {
    /// Requests that wait and were not woken.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Requests that were woken and have not come back yet.
    pub fn woken(&self) -> usize {
        self.woken.len()
    }

    /// Adds a request, in front of its workspace's line when it had its turn already.
    ///
    /// A workspace may fill at most half of what is left, so that it cannot shut out the others.
    pub fn push(&mut self, workspace: &str, flight: FlightKey, front: bool) -> bool {
        let held = self.lines.iter().find(|l| l.workspace == workspace);
        let held = held.map_or(0, |l| l.flights.len());
        if !front && (self.len >= MAX_WAITING || held > (MAX_WAITING - self.len) / 2) {
            return false;
        }
        let line = match self.lines.iter_mut().find(|l| l.workspace == workspace) {
            Some(line) => line,
            None => {
                let line = Line { workspace: workspace.to_owned(), flights: VecDeque::new() };
                self.lines.push_back(line);
                self.lines.back_mut().expect("a line was pushed just now")
            }
        };
        if front {
            line.flights.push_front(flight);
        } else {
            line.flights.push_back(flight);
        }
        self.len += 1;
        true
    }

    /// Wakes the next request: workspaces take turns.
    pub fn wake(&mut self) -> Option<FlightKey> {
        let mut line = self.lines.pop_front()?;
        let flight = line.flights.pop_front()?;
        if !line.flights.is_empty() {
            self.lines.push_back(line);
        }
        self.len -= 1;
        self.woken.push(flight);
        Some(flight)
    }

    /// Whether a request had been woken; it counts as woken no longer.
    pub fn come_back(&mut self, flight: FlightKey) -> bool {
        let before = self.woken.len();
        self.woken.retain(|f| *f != flight);
        before != self.woken.len()
    }

    /// Whether a request waits.
    pub fn holds(&self, flight: FlightKey) -> bool {
        self.lines.iter().any(|l| l.flights.contains(&flight))
    }

    /// Takes a request out.
    pub fn remove(&mut self, flight: FlightKey) {
        self.come_back(flight);
        for line in &mut self.lines {
            let before = line.flights.len();
            line.flights.retain(|f| *f != flight);
            self.len -= before - line.flights.len();
        }
        self.lines.retain(|l| !l.flights.is_empty());
    }
}
