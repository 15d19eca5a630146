//! How the requests of each region are shared between regions.
//!
//! Requests stay in the region of their callers while it has room. The shares move towards the plan
//! in small steps, so that no region meets a wave of requests for objects that it has not cached.

/// Load of a region, as part of its slots, up to which it keeps its own requests.
const TARGET_UTILIZATION: f64 = 0.45;

/// Demand and capacity of one region for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionLoad {
    /// Slots that the requests of the region's callers would fill.
    pub demand: f64,
    /// Slots of the servers that may be used.
    pub slots: f64,
}

/// The share of each region in the requests of region `home`. When the demand of all regions is more
/// than their room, they are loaded alike.
pub fn plan(regions: &[RegionLoad], home: usize) -> Vec<f64> {
    let total_slots: f64 = regions.iter().map(|r| r.slots).sum();
    if total_slots <= 0.0 {
        return regions.iter().enumerate().map(|(n, _)| f64::from(u8::from(n == home))).collect();
    }
    let total_demand: f64 = regions.iter().map(|r| r.demand).sum();
    let level = TARGET_UTILIZATION.max(total_demand / total_slots);
    let room = |r: &RegionLoad| r.slots * level;
    let spare: Vec<f64> = regions.iter().map(|r| (room(r) - r.demand).max(0.0)).collect();
    let total_spare: f64 = spare.iter().sum();
    let excess: Vec<f64> = regions.iter().map(|r| (r.demand - room(r)).max(0.0)).collect();
    let own = regions[home];
    let mut shares = vec![0.0; regions.len()];
    if own.demand <= 0.0 || (own.slots > 0.0 && excess[home] <= 0.0) {
        shares[home] = 1.0;
        return shares;
    }
    if total_spare <= 0.0 {
        return regions.iter().map(|r| r.slots / total_slots).collect();
    }
    let moved = excess[home] / own.demand;
    for (share, spare) in shares.iter_mut().zip(&spare) {
        *share = moved * spare / total_spare;
    }
    shares[home] += 1.0 - moved;
    shares
}

/// Moves shares towards the plan by at most `step` in total.
pub fn approach(shares: &mut [f64], plan: &[f64], step: f64) {
    let moved: f64 = shares.iter().zip(plan).map(|(s, p)| (p - s).max(0.0)).sum();
    let part = if moved > step { step / moved } else { 1.0 };
    for (share, target) in shares.iter_mut().zip(plan) {
        *share += (target - *share) * part;
    }
}

/// The region of a request by a position between 0 and 1; the home region comes first, so that a
/// growing share of it keeps the objects that it has.
pub fn region_at(shares: &[f64], home: usize, position: f64) -> usize {
    let mut left = position;
    let order = std::iter::once(home).chain((0..shares.len()).filter(|n| *n != home));
    for n in order {
        left -= shares[n];
        if left < 0.0 {
            return n;
        }
    }
    home
}
