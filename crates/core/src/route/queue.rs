//! Queue of the requests of one route that wait for a slot, fair between workspaces.

use std::collections::VecDeque;

use crate::traffic::FlightKey;

/// Maximum number of requests that wait for one route on one host.
pub const MAX_QUEUED: usize = 256;

/// One first-in, first-out queue per workspace, served round robin.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    queues: VecDeque<WorkspaceQueue>,
    woken: Vec<FlightKey>,
    len: usize,
}

#[derive(Clone, Debug)]
struct WorkspaceQueue {
    workspace: String,
    flights: VecDeque<FlightKey>,
}

impl FairQueue {
    /// Number of queued requests, without the woken ones.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of requests that were woken and have not been resumed yet.
    pub fn woken(&self) -> usize {
        self.woken.len()
    }

    /// Adds a request at the end of its workspace's queue, or with `front` at its head, for one that
    /// was woken before. Returns false if the queue is full.
    ///
    /// A workspace may use at most half of the remaining room, so that it cannot starve the others.
    pub fn push(&mut self, workspace: &str, flight: FlightKey, front: bool) -> bool {
        let queued = self.queues.iter().find(|q| q.workspace == workspace);
        let queued = queued.map_or(0, |q| q.flights.len());
        if !front && (self.len >= MAX_QUEUED || queued > (MAX_QUEUED - self.len) / 2) {
            return false;
        }
        let queue = match self.queues.iter_mut().find(|q| q.workspace == workspace) {
            Some(queue) => queue,
            None => {
                let queue =
                    WorkspaceQueue { workspace: workspace.to_owned(), flights: VecDeque::new() };
                self.queues.push_back(queue);
                self.queues.back_mut().expect("a queue was pushed just now")
            }
        };
        if front {
            queue.flights.push_front(flight);
        } else {
            queue.flights.push_back(flight);
        }
        self.len += 1;
        true
    }

    /// Removes the next request, marks it as woken and returns it.
    pub fn wake(&mut self) -> Option<FlightKey> {
        let mut queue = self.queues.pop_front()?;
        let flight = queue.flights.pop_front()?;
        if !queue.flights.is_empty() {
            self.queues.push_back(queue);
        }
        self.len -= 1;
        self.woken.push(flight);
        Some(flight)
    }

    /// Clears the woken mark of a request; returns whether it was set.
    pub fn clear_woken(&mut self, flight: FlightKey) -> bool {
        let before = self.woken.len();
        self.woken.retain(|f| *f != flight);
        before != self.woken.len()
    }

    /// Whether a request is queued.
    pub fn contains(&self, flight: FlightKey) -> bool {
        self.queues.iter().any(|q| q.flights.contains(&flight))
    }

    /// Removes a request, queued or woken.
    pub fn remove(&mut self, flight: FlightKey) {
        self.clear_woken(flight);
        for queue in &mut self.queues {
            let before = queue.flights.len();
            queue.flights.retain(|f| *f != flight);
            self.len -= before - queue.flights.len();
        }
        self.queues.retain(|q| !q.flights.is_empty());
    }
}
