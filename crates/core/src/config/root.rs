//! The root record: the one value whose compare-and-swap decides.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ChunkHash, Revision};
use crate::{
    host::{HostInfo, Incarnation},
    rollout::Records,
};

/// Holder of a seat: one life of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatHolder {
    /// Name of the host.
    pub host: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// The revision by which it took the seat.
    pub since: Revision,
}

/// The root record of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Number of this revision.
    pub revision: Revision,
    /// Random id of the apply or claim that wrote it, to recognise a write whose answer was lost.
    pub write_id: String,
    /// Hashes of the declaration's chunks, in order.
    pub chunks: Vec<ChunkHash>,
    /// Holders of the seats of each failure domain, by name of the domain.
    pub seats: BTreeMap<String, Vec<Option<SeatHolder>>>,
    /// Versions of the routes and steps of the moves between them.
    #[serde(default)]
    pub rollouts: Records,
}

impl Root {
    /// The seat that this life of a host holds.
    pub fn seat_of(&self, me: &HostInfo) -> Option<u16> {
        let seats = self.seats.get(&me.domain)?;
        let mine = |s: &Option<SeatHolder>| {
            s.as_ref().is_some_and(|s| s.host == me.name && s.incarnation == me.incarnation)
        };
        seats.iter().position(mine).map(|n| n as u16)
    }

    /// The next root, in which `me` holds a free seat of its failure domain with `seats` seats.
    pub fn with_claim(&self, me: &HostInfo, seats: u16, write_id: &str) -> Option<Root> {
        let mut next = self.clone();
        next.revision += 1;
        next.write_id = write_id.to_owned();
        let row = next.seats.entry(me.domain.clone()).or_default();
        row.resize(usize::from(seats), None);
        let free = row.iter().position(|s| s.as_ref().is_none_or(|s| s.host == me.name))?;
        row[free] = Some(SeatHolder {
            host: me.name.clone(),
            incarnation: me.incarnation,
            since: next.revision,
        });
        Some(next)
    }

    /// The next root, with another declaration.
    pub fn with_chunks(&self, chunks: Vec<ChunkHash>, write_id: &str) -> Root {
        Root {
            revision: self.revision + 1,
            write_id: write_id.to_owned(),
            chunks,
            seats: self.seats.clone(),
            rollouts: self.rollouts.clone(),
        }
    }

    /// The next root, with other records of rollouts.
    pub fn with_rollouts(&self, rollouts: Records, write_id: &str) -> Root {
        let mut next = self.clone();
        next.revision += 1;
        next.write_id = write_id.to_owned();
        next.rollouts = rollouts;
        next
    }
}
