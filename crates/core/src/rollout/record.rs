//! What the root record says of rollouts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    declaration::{Declaration, Duty, Move, PartsPerMillion, RouteKey, fields::WHOLE_PPM},
    time::UnixMillis,
};

/// State of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Steps are being taken.
    Running,
    /// The new version has all traffic and is the route's version.
    Done,
    /// The new version was found bad and gets no traffic.
    TakenBack,
}

/// Record of one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the route.
    pub route: String,
    /// The version that served before.
    pub from: String,
    /// The version that takes over.
    pub to: String,
    /// Number of the step, from 1.
    pub step: u32,
    /// Share of the new version in parts per million.
    pub share: PartsPerMillion,
    /// State of the move.
    pub state: State,
    /// When the step was recorded.
    pub since: UnixMillis,
    /// Why it was taken back, empty otherwise.
    pub evidence: String,
}

/// All that the root record says of versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Version of each route, by name of the route, when no move is running.
    #[serde(default)]
    pub versions: BTreeMap<String, String>,
    /// Moves by name.
    #[serde(default)]
    pub moves: BTreeMap<String, Record>,
}

impl Records {
    /// The version that serves a route without a move: the recorded one, if a server runs it.
    ///
    /// Without a record it is the one that a declared move starts from, else the one with the most
    /// declared slots, of equal ones the lowest name.
    pub fn base(&self, declaration: &Declaration, route: RouteKey) -> Option<String> {
        let name = &declaration.routes[route].name;
        let runs = |v: &String| declaration.servers_of(route).any(|(_, s)| s.version == *v);
        if let Some(version) = self.versions.get(name).filter(|v| runs(v)) {
            return Some(version.clone());
        }
        let starts = declaration.moves.values().find(|m| m.route == route && runs(&m.from));
        if let Some(movement) = starts {
            return Some(movement.from.clone());
        }
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, server) in declaration.servers_of(route) {
            *slots.entry(&server.version).or_default() += u32::from(server.slots);
        }
        let best = slots.into_iter().rev().max_by_key(|(_, slots)| *slots)?;
        Some(best.0.to_owned())
    }

    /// The record of a declared move, if it speaks of the same versions.
    pub fn of<'r>(&'r self, declaration: &Declaration, movement: &Move) -> Option<&'r Record> {
        let record = self.moves.get(&movement.name)?;
        let same = record.route == declaration.routes[movement.route].name
            && record.from == movement.from
            && record.to == movement.to;
        same.then_some(record)
    }
}

/// The share after `share`, at most one cap further.
pub fn next_share(share: PartsPerMillion, cap: PartsPerMillion) -> PartsPerMillion {
    share.saturating_add(cap).min(WHOLE_PPM)
}

/// Whether a serving server runs the version that a move leads to.
pub fn has_target(declaration: &Declaration, movement: &Move) -> bool {
    let mut servers = declaration.servers_of(movement.route);
    servers.any(|(_, s)| s.version == movement.to && s.duty == Duty::Serving)
}
