//! Versions that a request may run on.

use std::collections::HashSet;

use super::flight::Flight;
use crate::{steer::view::View, time::Instant};

/// Versions that a request may run on.
#[derive(Clone, Debug)]
pub(super) enum Lane {
    Only(String),
    Except(HashSet<String>),
    Among(HashSet<String>),
    Any,
}

impl Lane {
    pub(super) fn takes(&self, version: &str) -> bool {
        match self {
            Lane::Only(only) => only == version,
            Lane::Except(not) => !not.contains(version),
            Lane::Among(among) => among.contains(version),
            Lane::Any => true,
        }
    }
}

/// Lanes of a request in the order in which they are tried.
pub(super) struct Lanes(Vec<Lane>);

impl Lanes {
    pub(super) fn of(view: &View, now: Instant, flight: &Flight, is_faulty: bool) -> Self {
        let Some(rollout) = view.rollouts.get(&flight.service) else {
            let known = view.versions.get(&flight.service).cloned();
            return Lanes(vec![known.map_or(Lane::Any, Lane::Among)]);
        };
        let new = Lane::Only(rollout.order.version.clone());
        // A version of an earlier rollout that was taken back is not regular.
        let regular = view.versions.get(&flight.service).filter(|v| !v.is_empty());
        let old = match regular {
            Some(regular) if !regular.contains(&rollout.order.version) => {
                Lane::Among(regular.clone())
            }
            _ => Lane::Except(HashSet::from([rollout.order.version.clone()])),
        };
        let share = rollout.share(now, is_faulty, view.terms.canary_share);
        Lanes(match () {
            () if share <= 0.0 => vec![old],
            () if share >= 1.0 => vec![new, old],
            // A request is sent again to what is proven.
            () if flight.lane < share && flight.tried.is_empty() => vec![new, old],
            () => vec![old],
        })
    }

    pub(super) fn order(&self) -> impl Iterator<Item = &Lane> {
        self.0.iter()
    }
}
