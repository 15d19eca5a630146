//! Distribution of each region's requests over all regions.
//!
//! Requests stay in the region of their callers while it has spare capacity. The shares approach
//! the planned ones in small steps, so that no region gets a burst of requests for objects that its
//! servers have not cached.

/// Utilization of a region's slots up to which the region keeps all its own requests.
const TARGET_UTILIZATION: f64 = 0.45;

/// Demand and capacity of one region for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionLoad {
    /// Slots that the requests of the region's callers would occupy.
    pub demand: f64,
    /// Slots of the servers that are in service.
    pub slots: f64,
}

/// Computes the share of each region in the requests of region `home`. When the total demand
/// exceeds the target utilization of all regions, every region is planned for the same utilization.
pub fn plan_shares(regions: &[RegionLoad], home: usize) -> Vec<f64> {
    let total_slots: f64 = regions.iter().map(|r| r.slots).sum();
    if total_slots <= 0.0 {
        return regions.iter().enumerate().map(|(n, _)| f64::from(u8::from(n == home))).collect();
    }
    let total_demand: f64 = regions.iter().map(|r| r.demand).sum();
    let utilization = TARGET_UTILIZATION.max(total_demand / total_slots);
    let capacity = |r: &RegionLoad| r.slots * utilization;
    let spare: Vec<f64> = regions.iter().map(|r| (capacity(r) - r.demand).max(0.0)).collect();
    let total_spare: f64 = spare.iter().sum();
    let excess: Vec<f64> = regions.iter().map(|r| (r.demand - capacity(r)).max(0.0)).collect();
    let home_load = regions[home];
    let mut shares = vec![0.0; regions.len()];
    if home_load.demand <= 0.0 || (home_load.slots > 0.0 && excess[home] <= 0.0) {
        shares[home] = 1.0;
        return shares;
    }
    if total_spare <= 0.0 {
        return regions.iter().map(|r| r.slots / total_slots).collect();
    }
    let offloaded = excess[home] / home_load.demand;
    for (share, spare) in shares.iter_mut().zip(&spare) {
        *share = offloaded * spare / total_spare;
    }
    shares[home] += 1.0 - offloaded;
    shares
}

/// Moves `shares` towards `targets`, shifting at most `max_shift` of the requests.
pub fn approach_targets(shares: &mut [f64], targets: &[f64], max_shift: f64) {
    let distance: f64 =
        shares.iter().zip(targets).map(|(share, target)| (target - share).max(0.0)).sum();
    let fraction = if distance > max_shift { max_shift / distance } else { 1.0 };
    for (share, target) in shares.iter_mut().zip(targets) {
        *share += (target - *share) * fraction;
    }
}

/// Selects the region of a request by `position`, a hash in [0, 1). The home region gets the lowest
/// positions, so that it keeps the objects that it already serves when its share grows.
pub fn region_for(shares: &[f64], home: usize, position: f64) -> usize {
    let mut remaining = position;
    let order = std::iter::once(home).chain((0..shares.len()).filter(|n| *n != home));
    for n in order {
        remaining -= shares[n];
        if remaining < 0.0 {
            return n;
        }
    }
    home
}
