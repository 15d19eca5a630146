//! The root record: the single store value through which every change of the configuration is made,
//! by compare-and-swap.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{ChunkHash, Revision, accept::is_majority};
use crate::{
    host::{HostInfo, Incarnation},
    rollout::RolloutRecords,
};

/// Past writes listed in the root record. A writer that lost the store's reply finds its write here
/// even after later writes.
pub const MAX_RECENT_WRITES: usize = 32;

/// Number of seats by failure domain name.
pub type SeatCounts = BTreeMap<String, u16>;

/// Holders of the seats of each failure domain, by domain name.
pub type Seats = BTreeMap<String, Vec<Option<SeatHolder>>>;

/// Holder of a seat: one incarnation of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatHolder {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Address of the host for other hosts.
    pub peer_address: SocketAddr,
    /// The revision in which it took the seat.
    pub since: Revision,
    /// The previous holder, if it did not release the seat and may still use it. While it is set,
    /// this holder may not use the seat.
    pub displaced: Option<Incarnation>,
}

impl SeatHolder {
    /// Whether the holder may use the seat.
    pub fn is_confirmed(&self) -> bool {
        self.displaced.is_none()
    }

    /// Whether `host` is another incarnation of this holder at the same address. One process at a
    /// time can bind an address, so the earlier incarnation has exited.
    fn was_restarted_as(&self, host: &HostInfo) -> bool {
        self.host == host.name
            && self.peer_address == host.peer_address
            && self.incarnation != host.incarnation
    }
}

/// A past write of the root record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastWrite {
    /// The revision that the write created.
    pub revision: Revision,
    /// Id of the write.
    pub write_id: String,
}

/// The fields of the root record that applying a declaration sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedDeclaration {
    /// Hashes of the index chunks.
    pub index: Vec<ChunkHash>,
    /// Number of seats of each declared failure domain.
    pub seat_counts: SeatCounts,
    /// Longest authority of any route.
    pub authority: Duration,
    /// Digest of the rates and bursts and of the seats that own them.
    pub limits: ChunkHash,
}

/// The last change of rates and bursts, or of the seats that own them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitsChange {
    /// Digest of the rates, bursts and owning seats after the change.
    pub digest: Option<ChunkHash>,
    /// The revision of the change.
    pub since: Revision,
    /// The revision of the change before it.
    pub before: Revision,
}

/// The root record of the configuration.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Number of this revision.
    pub revision: Revision,
    /// The revision in which the declaration was last applied.
    pub declared: Revision,
    /// Id of the write that created this revision, to recognise a write whose reply was lost.
    pub write_id: String,
    /// Earlier writes, the latest last.
    pub recent: Vec<PastWrite>,
    /// Hashes of the index chunks, in order; each lists hashes of the declaration's chunks.
    pub index: Vec<ChunkHash>,
    /// Number of seats of each declared failure domain.
    pub seat_counts: SeatCounts,
    /// Seat counts of the previous declaration, which a partitioned host may still use.
    pub seat_counts_before: SeatCounts,
    /// Longest authority of any route of the declaration.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub authority: Duration,
    /// Longest authority that a host may still have from an earlier declaration.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub authority_before: Duration,
    /// The last change of rates and bursts.
    #[serde(default)]
    pub limits: Box<LimitsChange>,
    /// Holders of the seats of each failure domain, by domain name.
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

    /// The seat that this incarnation of a host holds, confirmed or not.
    pub fn seat_of(&self, me: &HostInfo) -> Option<(u16, &SeatHolder)> {
        let domain_seats = self.seats.get(&me.domain)?;
        let mut numbered_holders =
            domain_seats.iter().enumerate().filter_map(|(n, s)| Some((n as u16, s.as_ref()?)));
        numbered_holders.find(|(_, s)| s.host == me.name && s.incarnation == me.incarnation)
    }

    /// All holders with their failure domain and seat number.
    pub fn holders(&self) -> impl Iterator<Item = (&str, u16, &SeatHolder)> {
        self.seats.iter().flat_map(|(domain, domain_seats)| {
            let numbered_holders = domain_seats.iter().enumerate();
            numbered_holders
                .filter_map(move |(n, s)| Some((domain.as_str(), n as u16, s.as_ref()?)))
        })
    }

    /// The revision created by the write with this id, if it is this revision or a recent one.
    pub fn find_write(&self, write_id: &str) -> Option<Revision> {
        if self.write_id == write_id {
            return Some(self.revision);
        }
        self.recent.iter().find(|w| w.write_id == write_id).map(|w| w.revision)
    }

    /// Whether this record is `other` or was derived from it; `None` if that was too long ago to tell.
    pub fn includes(&self, other: &Root) -> Option<bool> {
        if self.find_write(&other.write_id) == Some(other.revision) {
            return Some(true);
        }
        let oldest_known = self.recent.first().map_or(self.revision, |w| w.revision);
        (other.revision >= oldest_known).then_some(false)
    }

    /// The next root record after this one, with a revision above the one of `lost`. The store has
    /// lost that record before this one was written, but hosts still use it.
    pub fn raised_above(&self, lost: &Root, write_id: &str) -> Root {
        let mut next = self.next(write_id);
        next.revision = lost.revision + 1;
        next.declared = next.revision;
        if lost.seat_counts != self.seat_counts {
            next.seat_counts_before = lost.seat_counts.clone();
        }
        next.authority_before = self.longest_authority().max(lost.longest_authority());
        if lost.limits.digest != self.limits.digest {
            next.limits.since = next.revision;
            next.limits.before = lost.limits.since;
        }
        next
    }

    /// Longest time for which a partitioned host may serve by this record or an earlier one.
    pub fn longest_authority(&self) -> Duration {
        self.authority.max(self.authority_before)
    }

    /// The next root record, in which `host` takes a seat of its failure domain: the one it had
    /// before a restart, else a free one, else one whose holder satisfies `may_displace`.
    pub fn with_claim(
        &self,
        host: &HostInfo,
        write_id: &str,
        may_displace: impl Fn(&SeatHolder) -> bool,
    ) -> Option<Root> {
        self.next(write_id).with_additional_claim(host, may_displace)
    }

    /// This root record with a seat taken by one more host, without a new revision.
    pub fn with_additional_claim(
        &self,
        host: &HostInfo,
        may_displace: impl Fn(&SeatHolder) -> bool,
    ) -> Option<Root> {
        let mut next = self.clone();
        let since = next.revision;
        let count = usize::from(*self.seat_counts.get(&host.domain)?);
        let domain_seats = next.seats.entry(host.domain.clone()).or_default();
        if domain_seats.len() < count {
            domain_seats.resize(count, None);
        }
        let rank = |n: usize, s: &Option<SeatHolder>| match s {
            Some(s) if s.was_restarted_as(host) => Some(0),
            None => Some(1),
            Some(s)
                if s.since < since
                    && may_displace(s)
                    && self.has_majority_without(&host.domain, n) =>
            {
                Some(2)
            }
            Some(_) => None,
        };
        let candidates = domain_seats.iter().take(count).enumerate();
        let (rank, n) = candidates.filter_map(|(n, s)| Some((rank(n, s)?, n))).min()?;
        let displaced = match &domain_seats[n] {
            Some(s) if rank == 0 => s.displaced,
            Some(s) => s.displaced.or(Some(s.incarnation)),
            None => None,
        };
        domain_seats[n] = Some(SeatHolder {
            host: host.name.clone(),
            incarnation: host.incarnation,
            peer_address: host.peer_address,
            since,
            displaced,
        });
        Some(next)
    }

    /// Whether the confirmed seats are a majority without this one. A takeover without such a
    /// majority could never be accepted.
    fn has_majority_without(&self, domain: &str, seat: usize) -> bool {
        is_majority(self, |d, n, s| s.is_confirmed() && (d, usize::from(n)) != (domain, seat))
    }

    /// The next root record, in which the seat of `me` is confirmed.
    pub fn with_confirmed_seat(&self, me: &HostInfo, write_id: &str) -> Option<Root> {
        let (n, _) = self.seat_of(me).filter(|(_, s)| !s.is_confirmed())?;
        let mut next = self.next(write_id);
        let seat = next.seats.get_mut(&me.domain)?.get_mut(usize::from(n))?.as_mut()?;
        seat.displaced = None;
        Some(next)
    }

    /// The next root record, in which `me` has released its seat. An unconfirmed seat is not
    /// released, as the previous holder may still use it.
    pub fn with_released_seat(&self, me: &HostInfo, write_id: &str) -> Option<Root> {
        let (n, _) = self.seat_of(me).filter(|(_, s)| s.is_confirmed())?;
        let mut next = self.next(write_id);
        next.seats.get_mut(&me.domain)?[usize::from(n)] = None;
        Some(next)
    }

    /// The next root record, with another declaration; `is_accepted` is true if this record is
    /// accepted.
    ///
    /// A partitioned host may count seats by this record or an earlier one, so a majority is needed
    /// by both tables of seat counts. Returns `None` if a third table would be needed, or if the
    /// limits change while their last change is not accepted.
    pub fn with_declaration(
        &self,
        declared: AppliedDeclaration,
        is_accepted: bool,
        write_id: &str,
    ) -> Option<Root> {
        let mut next = self.next(write_id);
        let mut seat_tables = vec![&self.seat_counts];
        if !is_accepted {
            seat_tables.push(&self.seat_counts_before);
        }
        seat_tables.retain(|t| !t.is_empty() && **t != declared.seat_counts);
        seat_tables.dedup();
        let before = match seat_tables[..] {
            [] => SeatCounts::default(),
            [table] => table.clone(),
            _ => return None,
        };
        if self.limits.digest != Some(declared.limits) {
            if !is_accepted && self.limits.digest.is_some() {
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
        next.authority_before = if is_accepted { self.authority } else { self.longest_authority() };
        Some(next)
    }

    fn next(&self, write_id: &str) -> Root {
        let mut next = self.clone();
        if self.revision > 0 {
            let (revision, write_id) = (self.revision, self.write_id.clone());
            next.recent.push(PastWrite { revision, write_id });
        }
        let surplus = next.recent.len().saturating_sub(MAX_RECENT_WRITES);
        next.recent.drain(..surplus);
        next.revision += 1;
        next.write_id = write_id.to_owned();
        next
    }

    /// The next root record, with other rollout records.
    pub fn with_rollouts(&self, rollouts: RolloutRecords, write_id: &str) -> Root {
        let mut next = self.next(write_id);
        next.rollouts = rollouts;
        next
    }
}
