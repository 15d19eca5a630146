//! Planning of the share of each region in the requests of this host's region.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{Steering, demand::RegionalDemand};
use crate::{
    steer::regions::{self, RegionLoad},
    time::Instant,
};

/// Period between two updates of demand and shares.
pub(super) const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// Difference between the shares and the plan below which the shares stay unchanged, against noise.
const SHARE_DEADBAND: f64 = 0.06;
/// Fraction of the permitted shift in two seconds that is used.
const USED_SHIFT_FRACTION: f64 = 0.5;
/// Time after the first request from which the measured demand replaces the assumed demand.
const DEMAND_WARM_UP: Duration = Duration::from_secs(4);
/// Slot time that is assumed before the first answer, in seconds.
const ASSUMED_SLOT_TIME_S: f64 = 0.1;
/// Utilization of the slots that is assumed before the demand has been measured.
const ASSUMED_UTILIZATION: f64 = 0.5;

/// Part of the requests that has to move before a change of the shares is logged.
const LOGGED_SHIFT: f64 = 0.1;

/// Changed shares of the regions in the requests of this host's region for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: String,
    /// Shares in the order of the view's regions.
    pub shares: Vec<f64>,
    /// Demand of all regions as a fraction of their slots.
    pub utilization: f64,
}

impl Steering {
    /// Updates the demand and moves the shares of the regions towards the plan for it.
    pub(super) fn plan_regions(&mut self, now: Instant) {
        let elapsed_s = now.saturating_since(self.last_plan_at).as_secs_f64().min(5.0);
        self.last_plan_at = now;
        let view = Arc::clone(&self.view);
        let Some(home_region) = view.region_index(&view.region) else { return };
        let mut slots_by_service: HashMap<String, Vec<f64>> = HashMap::new();
        for server in self.servers.values() {
            let Some(region) = view.region_index(&server.region) else { continue };
            let region_slots = slots_by_service
                .entry(server.entry.service.clone())
                .or_insert_with(|| vec![0.0; view.regions.len()]);
            if self.is_in_service(&view, server) {
                region_slots[region] += f64::from(server.entry.slots);
            }
        }
        let step = view.bounds.max_shift * USED_SHIFT_FRACTION * elapsed_s / 2.0;
        for (name, region_slots) in slots_by_service {
            let state = self.services.entry(name.clone()).or_default();
            state.costs.decay(|route| view.catalog.has_route(route));
            state.demand.end_period(elapsed_s);
            let slot_time_s = state.slot_time_s.unwrap_or(ASSUMED_SLOT_TIME_S);
            let is_measured =
                state.first_request_at.is_some_and(|at| now.saturating_since(at) > DEMAND_WARM_UP);
            let total_slots: f64 = region_slots.iter().sum();
            let demand = if is_measured {
                self.regional_demand(now, &view, &name, &region_slots, slot_time_s)
            } else {
                assumed_demand(&region_slots)
            };
            let state = self.services.entry(name.clone()).or_default();
            state.utilization = demand.total_slots_used / total_slots.max(1.0);
            let plan = regions::plan_shares(&demand.loads, home_region);
            let has_lost_region = state
                .region_shares
                .iter()
                .zip(&region_slots)
                .any(|(share, slots)| *share > 0.0 && *slots <= 0.0);
            if state.first_request_at.is_none() || !state.has_plan || has_lost_region {
                state.region_shares = plan;
                state.has_plan = true;
                state.logged_shares.clone_from(&state.region_shares);
                continue;
            }
            if moved_share(&state.region_shares, &plan) > SHARE_DEADBAND {
                regions::approach_targets(&mut state.region_shares, &plan, step);
            }
            if moved_share(&state.logged_shares, &state.region_shares) >= LOGGED_SHIFT {
                state.logged_shares.clone_from(&state.region_shares);
                self.changes.shares.push(ShareChange {
                    service: name,
                    shares: state.region_shares.clone(),
                    utilization: state.utilization,
                });
            }
        }
    }
}

/// Part of the requests that run in another region by the second shares than by the first.
fn moved_share(first: &[f64], second: &[f64]) -> f64 {
    first.iter().zip(second).map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
}

/// Demand that is assumed until it has been measured: the same from each region.
fn assumed_demand(region_slots: &[f64]) -> RegionalDemand {
    let total_slots_used = region_slots.iter().sum::<f64>() * ASSUMED_UTILIZATION;
    let demand = total_slots_used / region_slots.len().max(1) as f64;
    let loads = region_slots.iter().map(|slots| RegionLoad { demand, slots: *slots }).collect();
    RegionalDemand { loads, total_slots_used }
}
