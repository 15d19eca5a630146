//! Homes of a workspace: the seats that its rate and burst are split over, and the share of each.

use sha2::{Digest, Sha256};

use super::{MicroTokens, TOKEN};
use crate::{
    config::ChunkHash,
    world::{DomainKey, Workspace, World},
};

/// Smallest burst of a failure domain's share if a workspace has homes in several; a workspace with
/// a smaller burst uses fewer domains.
const MIN_DOMAIN_BURST: MicroTokens = 2 * TOKEN;
/// A failure domain's share is split over one seat per multiple of this burst, and at least one.
const SEAT_BURST: MicroTokens = 16 * TOKEN;

/// Part of a workspace's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Tokens added per second, in millionths.
    pub rate: MicroTokens,
    /// Capacity of the bucket, in millionths of a token.
    pub burst: MicroTokens,
}

impl Share {
    /// Part `index` of `count` equal parts; the remainder goes to the first parts, so that the sum
    /// is exact.
    pub fn part(self, count: u64, index: u64) -> Share {
        let part = |total: u64| total / count + u64::from(index < total % count);
        Share { rate: part(self.rate), burst: part(self.burst) }
    }

    /// The smaller rate and the smaller burst of two shares, each by itself.
    pub fn min(self, other: Share) -> Share {
        Share { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }
}

/// Seat that has a share of a workspace's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// The failure domain.
    pub domain: DomainKey,
    /// Number of the seat in the failure domain.
    pub seat: u16,
    /// Share of the seat.
    pub share: Share,
}

/// Returns the homes of a workspace, which depend on the declaration only.
///
/// Failure domains and seats are ranked by rendezvous hashing (Thaler and Ravishankar 1998). A
/// small workspace has one home in each of a few failure domains, a large one several in each.
pub fn homes(world: &World, workspace: &Workspace) -> Vec<Home> {
    let declared = Share {
        rate: u64::from(workspace.rate) * TOKEN,
        burst: u64::from(workspace.burst) * TOKEN,
    };
    let mut domains: Vec<_> = world.domains.iter().collect();
    domains.sort_by_cached_key(|(_, d)| (rank(&workspace.name, &d.name, None), d.name.clone()));
    let domain_count = (declared.burst / MIN_DOMAIN_BURST).clamp(1, domains.len().max(1) as u64);
    let mut homes = Vec::new();
    for (index, (domain, d)) in (0..domain_count).zip(domains) {
        let part = declared.part(domain_count, index);
        let mut seats: Vec<u16> = (0..d.seats).collect();
        seats.sort_by_cached_key(|s| rank(&workspace.name, &d.name, Some(*s)));
        let seat_count = (part.burst / SEAT_BURST).clamp(1, u64::from(d.seats.max(1)));
        let shares = (0..seat_count).map(|n| part.part(seat_count, n));
        homes.extend(seats.into_iter().zip(shares).map(|(seat, share)| Home {
            domain,
            seat,
            share,
        }));
    }
    homes
}

/// Digest of the shares of all seats, to detect whether two declarations differ in any.
pub fn digest(world: &World) -> ChunkHash {
    let mut lines: Vec<String> = Vec::new();
    for (key, workspace) in &world.workspaces {
        lines.extend(world.homes_of(key).iter().map(|home| {
            let domain = &world.domains[home.domain].name;
            let Home { seat, share: Share { rate, burst }, .. } = home;
            format!("{} {domain} {seat} {rate} {burst}\n", workspace.name)
        }));
    }
    lines.sort_unstable();
    ChunkHash::of(&lines.concat())
}

/// Rendezvous hash, the same on every host and in every build.
fn rank(workspace: &str, domain: &str, seat: Option<u16>) -> [u8; 32] {
    let mut hash = Sha256::new();
    for text in [workspace, domain] {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text);
    }
    hash.update(seat.map_or(u32::MAX, u32::from).to_be_bytes());
    hash.finalize().into()
}
