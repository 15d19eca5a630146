//! Homes of a workspace: which seats own its rate and burst, and how much each.

use sha2::{Digest, Sha256};

use super::{MicroTokens, TOKEN};
use crate::{
    config::ChunkHash,
    declaration::{Declaration, DomainKey, Workspace},
};

/// Smallest burst that a failure domain gets when there is a choice.
const MIN_DOMAIN_BURST: MicroTokens = 2 * TOKEN;
/// Burst from which a failure domain's part is split over a further seat.
const SEAT_BURST: MicroTokens = 16 * TOKEN;

/// Part of a workspace's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Tokens in millionths added per second.
    pub rate: MicroTokens,
    /// Most tokens in millionths at one moment.
    pub burst: MicroTokens,
}

impl Share {
    /// Part `index` of `count` equal parts; the parts add up to the whole.
    pub fn part(self, count: u64, index: u64) -> Share {
        let part = |whole: u64| whole / count + u64::from(index < whole % count);
        Share { rate: part(self.rate), burst: part(self.burst) }
    }

    /// The smaller rate and the smaller burst of two shares.
    pub fn min(self, other: Share) -> Share {
        Share { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }
}

/// A seat that owns a part of a workspace's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// The failure domain.
    pub domain: DomainKey,
    /// The seat in it.
    pub seat: u16,
    /// What it owns.
    pub share: Share,
}

/// The homes of a workspace, which follow from the declaration alone.
///
/// Failure domains and seats are ranked by rendezvous hashing (Thaler and Ravishankar 1998). A
/// small workspace has one home in each of a few failure domains, a large one several in each.
pub fn homes(declaration: &Declaration, workspace: &Workspace) -> Vec<Home> {
    let whole = Share {
        rate: u64::from(workspace.rate) * TOKEN,
        burst: u64::from(workspace.burst) * TOKEN,
    };
    let mut domains: Vec<_> = declaration.domains.iter().collect();
    domains.sort_by_cached_key(|(_, d)| (rank(&workspace.name, &d.name, None), d.name.clone()));
    let count = (whole.burst / MIN_DOMAIN_BURST).clamp(1, domains.len().max(1) as u64);
    let mut homes = Vec::new();
    for (index, (domain, d)) in (0..count).zip(domains) {
        let part = whole.part(count, index);
        let mut seats: Vec<u16> = (0..d.seats).collect();
        seats.sort_by_cached_key(|s| rank(&workspace.name, &d.name, Some(*s)));
        let used = (part.burst / SEAT_BURST).clamp(1, u64::from(d.seats.max(1)));
        let shares = (0..used).map(|n| part.part(used, n));
        homes.extend(seats.into_iter().zip(shares).map(|(seat, share)| Home {
            domain,
            seat,
            share,
        }));
    }
    homes
}

/// Digest of all shares: equal when no seat's share of any workspace differs.
pub fn digest(declaration: &Declaration) -> ChunkHash {
    let mut lines: Vec<String> = Vec::new();
    for (key, workspace) in &declaration.workspaces {
        lines.extend(declaration.homes_of(key).iter().map(|home| {
            let domain = &declaration.domains[home.domain].name;
            let Home { seat, share: Share { rate, burst }, .. } = home;
            format!("{} {domain} {seat} {rate} {burst}\n", workspace.name)
        }));
    }
    lines.sort_unstable();
    ChunkHash::of(&lines.concat())
}

/// Rendezvous rank, the same on every host and in every build.
fn rank(workspace: &str, domain: &str, seat: Option<u16>) -> [u8; 32] {
    let mut hash = Sha256::new();
    for text in [workspace, domain] {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text);
    }
    hash.update(seat.map_or(u32::MAX, u32::from).to_be_bytes());
    hash.finalize().into()
}
