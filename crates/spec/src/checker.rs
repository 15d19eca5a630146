//! Breadth-first search of the reachable states of a state machine.

use std::{cell::Cell, fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration<S> {
    /// Number of states whose successors were computed.
    pub expanded_states: usize,
    /// Shortest path to a state that violates an invariant, and a description of the violation.
    pub counterexample: Option<(Vec<S>, &'static str)>,
}

/// Visits the states that are reachable from `initial`, until `violation` describes one that
/// violates an invariant.
pub fn explore<S: Clone + Debug + Eq + Hash>(
    initial: S,
    successors: impl Fn(&S) -> Vec<S>,
    violation: impl Fn(&S) -> Option<&'static str>,
) -> Exploration<S> {
    let expanded_states = Cell::new(0);
    let expand = |state: &S| {
        expanded_states.set(expanded_states.get() + 1);
        successors(state)
    };
    let path = bfs(&initial, expand, |state| violation(state).is_some());
    let counterexample = path.and_then(|path| {
        let description = path.last().and_then(&violation)?;
        Some((path, description))
    });
    Exploration { expanded_states: expanded_states.get(), counterexample }
}
