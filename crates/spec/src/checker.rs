//! Breadth-first exploration of a state machine.

use std::{cell::Cell, fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// What an exploration found.
#[derive(Clone, Debug)]
pub struct Explored<S> {
    /// Number of states whose successors were looked at.
    pub states: usize,
    /// Shortest way to a state that breaks an invariant, with the invariant.
    pub counterexample: Option<(Vec<S>, &'static str)>,
}

/// Visits every state that can be reached from `initial`, until `broken` names an invariant.
pub fn explore<S: Clone + Debug + Eq + Hash>(
    initial: S,
    successors: impl Fn(&S) -> Vec<S>,
    broken: impl Fn(&S) -> Option<&'static str>,
) -> Explored<S> {
    let states = Cell::new(0);
    let next = |state: &S| {
        states.set(states.get() + 1);
        successors(state)
    };
    let path = bfs(&initial, next, |state| broken(state).is_some());
    let counterexample = path.and_then(|path| {
        let name = path.last().and_then(&broken)?;
        Some((path, name))
    });
    Explored { states: states.get(), counterexample }
}
