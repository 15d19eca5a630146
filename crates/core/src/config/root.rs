//! The root record: the one value whose compare-and-swap decides.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{ChunkHash, Revision, accept::is_majority};
use crate::{
    host::{HostInfo, Incarnation},
    rollout::RolloutRecords,
};

/// Ids of past writes that the root record keeps, so that a lost answer can be resolved when later
/// writes already stand above it.
pub const RECENT_WRITES: usize = 32;

/// Seats by name of the failure domain.
pub type SeatCounts = BTreeMap<String, u16>;

/// Holders of the seats of each failure domain, by name of the domain.
pub type Seats = BTreeMap<String, Vec<Option<SeatHolder>>>;

/// Holder of a seat: one life of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatHolder {
    /// Name of the host.
    pub host: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its address for other hosts.
    pub peer_address: SocketAddr,
    /// The revision by which it took the seat.
    pub since: Revision,
    /// The holder before, which did not release the seat and may still use it. While it stands
    /// here, this holder may not use the seat.
    pub displaced: Option<Incarnation>,
}

impl SeatHolder {
    /// Whether the holder may use the seat.
    pub fn is_confirmed(&self) -> bool {
        self.displaced.is_none()
    }

    /// Whether `host` is a later life of this holder at the same address. An address is bound by
    /// one process at a time, so the life before has ended.
    fn is_restarted_as(&self, host: &HostInfo) -> bool {
        self.host == host.name
            && self.peer_address == host.peer_address
            && self.incarnation != host.incarnation
    }
}

/// A past write of the root record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastWrite {
    /// The revision that it wrote.
    pub revision: Revision,
    /// Its id.
    pub write_id: String,
}

/// What an apply puts into the root record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declared {
    /// Hashes of the index chunks.
    pub index: Vec<ChunkHash>,
    /// Seats of the declared failure domains.
    pub seat_counts: SeatCounts,
    /// Longest authority of a route.
    pub authority: Duration,
    /// Digest of the rates and bursts and of the seats that own them.
    pub limits: ChunkHash,
}

/// The last change of rates and bursts, or of the seats that own them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitsChange {
    /// Digest of what is in force since.
    pub digest: Option<ChunkHash>,
    /// The revision that brought it.
    pub since: Revision,
    /// The revision that brought what was in force before.
    pub before: Revision,
}

/// The root record of the configuration.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Number of this revision.
    pub revision: Revision,
    /// The revision by which the declaration was last applied.
    pub declared: Revision,
    /// Random id of the apply or claim that wrote it, to recognise a write whose answer was lost.
    pub write_id: String,
    /// The writes before it, the latest last.
    pub recent: Vec<PastWrite>,
    /// Hashes of the index chunks, in order; each lists hashes of the declaration's chunks.
    pub index: Vec<ChunkHash>,
    /// Seats of the declared failure domains.
    pub seat_counts: SeatCounts,
    /// Seats of the declaration before, which a host that is cut off may still count by.
    pub seat_counts_before: SeatCounts,
    /// Longest authority of a route of the declaration.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub authority: Duration,
    /// Longest authority that an earlier declaration may still give.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub authority_before: Duration,
    /// The last change of rates and bursts.
    #[serde(default)]
    pub limits: Box<LimitsChange>,
    /// Holders of the seats of each failure domain, by name of the domain.
    pub seats: Seats,
    /// Versions of the routes and steps of the moves between them.
    #[serde(default)]
    pub rollouts: RolloutRecords,
}

impl Root {
    /// The holder of a seat.
    pub fn holder(&self, domain: &str, seat: u16) -> Option<&SeatHolder> {
        self.seats.get(domain)?.get(usize::from(seat))?.as_ref()
    }

    /// The seat that this life of a host holds, whether it may use it or not.
    pub fn seat_of(&self, me: &HostInfo) -> Option<(u16, &SeatHolder)> {
        let row = self.seats.get(&me.domain)?;
        let mut held = row.iter().enumerate().filter_map(|(n, s)| Some((n as u16, s.as_ref()?)));
        held.find(|(_, s)| s.host == me.name && s.incarnation == me.incarnation)
    }

    /// All holders with the name of their failure domain and the number of their seat.
    pub fn holders(&self) -> impl Iterator<Item = (&str, u16, &SeatHolder)> {
        self.seats.iter().flat_map(|(domain, row)| {
            let held = row.iter().enumerate();
            held.filter_map(move |(n, s)| Some((domain.as_str(), n as u16, s.as_ref()?)))
        })
    }

    /// Whether the write with this id stands in this record or below it, and as which revision.
    pub fn find_write(&self, write_id: &str) -> Option<Revision> {
        if self.write_id == write_id {
            return Some(self.revision);
        }
        self.recent.iter().find(|w| w.write_id == write_id).map(|w| w.revision)
    }

    /// Longest time for which a host that is cut off may go on by this record or one before it.
    pub fn longest_authority(&self) -> Duration {
        self.authority.max(self.authority_before)
    }

    /// The next root, in which `host` takes a seat of its failure domain: its own one
    /// from before a restart, a free one, or one whose holder `is_gone`.
    pub fn with_claim(
        &self,
        host: &HostInfo,
        write_id: &str,
        is_gone: impl Fn(&SeatHolder) -> bool,
    ) -> Option<Root> {
        self.next(write_id).and_claim(host, is_gone)
    }

    /// This root, in which another host takes a seat as well.
    pub fn and_claim(
        &self,
        host: &HostInfo,
        is_gone: impl Fn(&SeatHolder) -> bool,
    ) -> Option<Root> {
        let mut next = self.clone();
        let since = next.revision;
        let count = usize::from(*self.seat_counts.get(&host.domain)?);
        let row = next.seats.entry(host.domain.clone()).or_default();
        if row.len() < count {
            row.resize(count, None);
        }
        let rank = |n: usize, s: &Option<SeatHolder>| match s {
            Some(s) if s.is_restarted_as(host) => Some(0),
            None => Some(1),
            Some(s) if s.since < since && is_gone(s) && self.can_lose(&host.domain, n) => Some(2),
            Some(_) => None,
        };
        let ranked = row.iter().take(count).enumerate();
        let (rank, n) = ranked.filter_map(|(n, s)| Some((rank(n, s)?, n))).min()?;
        let displaced = match &row[n] {
            Some(s) if rank == 0 => s.displaced,
            Some(s) => s.displaced.or(Some(s.incarnation)),
            None => None,
        };
        row[n] = Some(SeatHolder {
            host: host.name.clone(),
            incarnation: host.incarnation,
            peer_address: host.peer_address,
            since,
            displaced,
        });
        Some(next)
    }

    /// Whether the confirmed seats are a majority without this one. A takeover that left none
    /// could never be accepted.
    fn can_lose(&self, domain: &str, seat: usize) -> bool {
        is_majority(self, |d, n, s| s.is_confirmed() && (d, usize::from(n)) != (domain, seat))
    }

    /// The next root, in which the seat of `me` may be used.
    pub fn with_confirmed(&self, me: &HostInfo, write_id: &str) -> Option<Root> {
        let (n, _) = self.seat_of(me).filter(|(_, s)| !s.is_confirmed())?;
        let mut next = self.next(write_id);
        let seat = next.seats.get_mut(&me.domain)?.get_mut(usize::from(n))?.as_mut()?;
        seat.displaced = None;
        Some(next)
    }

    /// The next root, in which `me` holds no seat. A seat that was not confirmed stays with `me`:
    /// the holder before it may still use it.
    pub fn with_release(&self, me: &HostInfo, write_id: &str) -> Option<Root> {
        let (n, _) = self.seat_of(me).filter(|(_, s)| s.is_confirmed())?;
        let mut next = self.next(write_id);
        next.seats.get_mut(&me.domain)?[usize::from(n)] = None;
        Some(next)
    }

    /// The next root, with another declaration; `is_settled` says that this one is accepted.
    ///
    /// A host that is cut off may count seats by this record or by one before it, so that a
    /// majority is needed by both tables. With a third one there is no next root. Nor is there one
    /// with other rates and bursts before the last change of them is accepted.
    pub fn with_declaration(
        &self,
        declared: Declared,
        is_settled: bool,
        write_id: &str,
    ) -> Option<Root> {
        let mut next = self.next(write_id);
        let mut tables = vec![&self.seat_counts];
        if !is_settled {
            tables.push(&self.seat_counts_before);
        }
        tables.retain(|t| !t.is_empty() && **t != declared.seat_counts);
        tables.dedup();
        let before = match tables[..] {
            [] => SeatCounts::default(),
            [table] => table.clone(),
            _ => return None,
        };
        if self.limits.digest != Some(declared.limits) {
            if !is_settled && self.limits.digest.is_some() {
                return None;
            }
            let (since, before) = (next.revision, self.limits.since);
            next.limits = Box::new(LimitsChange { digest: Some(declared.limits), since, before });
        }
        next.declared = next.revision;
        next.index = declared.index;
        next.seat_counts = declared.seat_counts;
        next.seat_counts_before = before;
        next.authority = declared.authority;
        next.authority_before = if is_settled { self.authority } else { self.longest_authority() };
        Some(next)
    }

    fn next(&self, write_id: &str) -> Root {
        let mut next = self.clone();
        if self.revision > 0 {
            let (revision, write_id) = (self.revision, self.write_id.clone());
            next.recent.push(PastWrite { revision, write_id });
        }
        let surplus = next.recent.len().saturating_sub(RECENT_WRITES);
        next.recent.drain(..surplus);
        next.revision += 1;
        next.write_id = write_id.to_owned();
        next
    }

    /// The next root, with other records of rollouts.
    pub fn with_rollouts(&self, rollouts: RolloutRecords, write_id: &str) -> Root {
        let mut next = self.next(write_id);
        next.rollouts = rollouts;
        next
    }
}
