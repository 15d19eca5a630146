//! Which waiting request goes next when backend servers are short: round-robin over workspaces.
//!
//! All requests cost the same, one slot, so deficit round-robin (Shreedhar and Varghese 1995)
//! comes down to plain round-robin.

use std::collections::VecDeque;

use crate::traffic::FlightKey;

/// Requests of one workspace that wait.
#[derive(Clone, Debug)]
struct Lane {
    workspace: String,
    flights: VecDeque<FlightKey>,
}

/// Waiting requests, a queue for each workspace; open routes wait under the empty name.
#[derive(Clone, Debug)]
pub struct FairQueue {
    /// Longest queue of one workspace.
    max_per_workspace: usize,
    /// Lanes that are not empty; the first one goes next.
    lanes: VecDeque<Lane>,
}

impl FairQueue {
    /// An empty queue that takes at most `max_per_workspace` requests of one workspace.
    pub fn new(max_per_workspace: usize) -> Self {
        FairQueue { max_per_workspace, lanes: VecDeque::new() }
    }

    /// Adds a request; returns whether there was room.
    pub fn push(&mut self, workspace: &str, flight: FlightKey) -> bool {
        let Some(lane) = self.lanes.iter_mut().find(|l| l.workspace == workspace) else {
            let flights = VecDeque::from([flight]);
            self.lanes.push_back(Lane { workspace: workspace.to_owned(), flights });
            return true;
        };
        let has_room = lane.flights.len() < self.max_per_workspace;
        if has_room {
            lane.flights.push_back(flight);
        }
        has_room
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<FlightKey> {
        let mut lane = self.lanes.pop_front()?;
        let flight = lane.flights.pop_front();
        if !lane.flights.is_empty() {
            self.lanes.push_back(lane);
        }
        flight
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, flight: FlightKey) {
        for lane in &mut self.lanes {
            lane.flights.retain(|f| *f != flight);
        }
        self.lanes.retain(|lane| !lane.flights.is_empty());
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.flights.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }
}
