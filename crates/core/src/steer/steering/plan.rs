//! Shares of the regions in the requests of this one.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::Steering;
use crate::{
    steer::{
        digest::name_hash,
        regions::{self, RegionLoad},
    },
    time::Instant,
};

/// Period between two updates of demand and shares.
pub(super) const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// Weight of the newest period in the mean demand of a service.
const DEMAND_WEIGHT: f64 = 0.15;
/// Difference between shares and plan that is left alone, against noise.
const SHARE_DEADBAND: f64 = 0.06;
/// Part of the permitted shift that shares use in two seconds.
const USED_SHIFT: f64 = 0.5;
/// Time of traffic after which measured demand replaces the assumed one.
const DEMAND_WARM_UP: Duration = Duration::from_secs(4);
/// Time that a request is assumed to fill a slot before the first answer, in seconds.
const ASSUMED_BUSY: f64 = 0.1;
/// Load of the slots that is assumed before there is traffic.
const ASSUMED_UTILIZATION: f64 = 0.5;

impl Steering {
    /// Moves the shares of the regions towards what demand and capacity ask for.
    pub(super) fn plan_regions(&mut self, now: Instant) {
        let span = now.saturating_since(self.planned_at).as_secs_f64().min(5.0);
        self.planned_at = now;
        let view = Arc::clone(&self.view);
        let Some(home) = view.region_index(&view.region) else { return };
        let mut slots: HashMap<String, Vec<f64>> = HashMap::new();
        for server in self.servers.values() {
            let Some(region) = view.region_index(&server.region) else { continue };
            let row = slots
                .entry(server.entry.service.clone())
                .or_insert_with(|| vec![0.0; view.regions.len()]);
            if self.is_in_service(&view, server) {
                row[region] += f64::from(server.entry.slots);
            }
        }
        let step = view.terms.max_shift * USED_SHIFT * span / 2.0;
        for (name, row) in slots {
            let mut loads: Vec<RegionLoad> =
                row.iter().map(|s| RegionLoad { demand: 0.0, slots: *s }).collect();
            let state = self.services.entry(name.clone()).or_default();
            let seen = f64::from(std::mem::take(&mut state.asked)) / span.max(0.1);
            state.demand += DEMAND_WEIGHT * (seen - state.demand);
            let busy = state.busy.unwrap_or(ASSUMED_BUSY);
            let is_warm =
                state.first_request.is_some_and(|at| now.saturating_since(at) > DEMAND_WARM_UP);
            if is_warm {
                loads[home].demand += state.demand * busy;
                let key = name_hash(&name);
                for (_, digest) in self.digests.values() {
                    let rate = digest.stats.request_rates.get(&key).copied().unwrap_or(0.0);
                    loads[home].demand += f64::from(rate) * busy;
                }
                for summary in self.far.all(now) {
                    let Some(region) = view.region_index(&summary.region) else { continue };
                    let rate = summary.stats.request_rates.get(&key).copied().unwrap_or(0.0);
                    loads[region].demand += f64::from(rate) * busy;
                }
            } else {
                let total: f64 = row.iter().sum();
                let each = total * ASSUMED_UTILIZATION / view.regions.len().max(1) as f64;
                loads.iter_mut().for_each(|l| l.demand = each);
            }
            let total_slots: f64 = row.iter().sum();
            state.utilization = loads.iter().map(|l| l.demand).sum::<f64>() / total_slots.max(1.0);
            let plan = regions::plan_shares(&loads, home);
            let has_lost_region =
                state.shares.iter().zip(&row).any(|(share, slots)| *share > 0.0 && *slots <= 0.0);
            if state.first_request.is_none() || !state.planned || has_lost_region {
                state.shares = plan;
                state.planned = true;
                continue;
            }
            let distance: f64 =
                state.shares.iter().zip(&plan).map(|(s, p)| (p - s).abs()).sum::<f64>() / 2.0;
            if distance > SHARE_DEADBAND {
                regions::approach_targets(&mut state.shares, &plan, step);
            }
        }
    }
}
