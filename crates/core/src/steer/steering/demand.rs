//! Demand of each region for a service, from the requests of this host and the messages of others.
//!
//! Requests that the configuration binds to regions cannot be moved. They take slots there whatever the
//! shares are, so the plan for the others starts from the slots that they leave.

use std::collections::HashMap;

use super::{PendingRequest, Steering};
use crate::{
    steer::{
        digest::{NameHash, TrafficStats, name_hash},
        regions::RegionLoad,
        view::View,
    },
    time::Instant,
};

/// Weight of the newest period in the mean rate.
const RATE_WEIGHT: f64 = 0.15;

/// Rate below which a region has no bound requests, in requests per second.
const MIN_RATE_PER_S: f64 = 0.001;
/// Rate of a service up to which a host does not report it, in requests per second.
const MIN_REPORTED_PER_S: f64 = 0.05;

/// Mean rate of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestRate {
    requests: f64,
    per_s: f64,
}

impl RequestRate {
    pub(super) fn add(&mut self, requests: f64) {
        self.requests += requests;
    }

    /// Ends a period of this length.
    pub(super) fn end_period(&mut self, elapsed_s: f64) {
        let measured = std::mem::take(&mut self.requests) / elapsed_s.max(0.1);
        self.per_s += RATE_WEIGHT * (measured - self.per_s);
    }

    /// Requests per second.
    pub(super) fn per_s(&self) -> f64 {
        self.per_s
    }
}

/// Demand for a service at this host.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    total: RequestRate,
    /// Part of it that is bound to a region, by region.
    bound: HashMap<String, RequestRate>,
}

impl Demand {
    /// Counts a request. It is bound if exactly one of these regions may run it.
    pub(super) fn count(&mut self, request: &PendingRequest, regions: &[String]) {
        self.total.add(1.0);
        let of_route = &request.route.allowed_regions;
        let of_workspace = request.workspace.as_ref().map_or(&[][..], |w| &w.allowed_regions);
        let allows = |allowed: &[String], region| allowed.is_empty() || allowed.contains(region);
        let mut allowed = regions.iter().filter(|r| allows(of_route, r) && allows(of_workspace, r));
        if let (Some(region), None) = (allowed.next(), allowed.next())
            && regions.len() > 1
        {
            self.bound.entry(region.clone()).or_default().add(1.0);
        }
    }

    /// Ends a period of this length.
    pub(super) fn end_period(&mut self, elapsed_s: f64) {
        self.total.end_period(elapsed_s);
        self.bound.values_mut().for_each(|rate| rate.end_period(elapsed_s));
        self.bound.retain(|_, rate| rate.per_s() >= MIN_RATE_PER_S);
    }

    /// Requests per second, bound or not.
    pub(super) fn total_per_s(&self) -> f64 {
        self.total.per_s()
    }

    /// Rates of the service, as they are sent to other hosts; none of a service that is hardly used.
    pub(super) fn to_report(&self, service: &str) -> impl Iterator<Item = (NameHash, f32)> {
        let bound = self.bound.iter().map(move |(r, rate)| (bound_key(service, r), rate.per_s()));
        let all = std::iter::once((name_hash(service), self.total_per_s())).chain(bound);
        let is_used = self.total_per_s() > MIN_REPORTED_PER_S;
        all.filter(move |_| is_used).map(|(key, per_s)| (key, per_s as f32))
    }
}

/// Key of the rate of requests for a service that are bound to a region. Hosts of an earlier release
/// ignore it.
fn bound_key(service: &str, region: &str) -> NameHash {
    name_hash(&format!("{service}\n{region}"))
}

/// Demand for a service by region.
pub(super) struct RegionalDemand {
    /// Demand that can be moved, and the slots that are left for it.
    pub(super) loads: Vec<RegionLoad>,
    /// Slots that all requests would occupy.
    pub(super) total_slots_used: f64,
}

impl Steering {
    /// Returns the demand of each region for a service with these slots.
    pub(super) fn regional_demand(
        &self,
        now: Instant,
        view: &View,
        service: &str,
        region_slots: &[f64],
        slot_time_s: f64,
    ) -> RegionalDemand {
        let mut loads: Vec<RegionLoad> =
            region_slots.iter().map(|s| RegionLoad { demand: 0.0, slots: *s }).collect();
        let mut total_slots_used = 0.0;
        let (total_key, bound_keys) = (
            name_hash(service),
            view.regions.iter().map(|r| bound_key(service, r)).collect::<Vec<NameHash>>(),
        );
        let mut add = |origin: usize, rates: &TrafficStats| {
            let slots = |key| f64::from(rates.request_rates.get(key).copied().unwrap_or(0.0));
            let total = slots(&total_key) * slot_time_s;
            let mut movable = total;
            for (load, key) in loads.iter_mut().zip(&bound_keys) {
                let bound = slots(key) * slot_time_s;
                load.slots = (load.slots - bound).max(0.0);
                movable -= bound;
            }
            loads[origin].demand += movable.max(0.0);
            total_slots_used += total;
        };
        let home = view.region_index(&view.region);
        if let Some(home) = home {
            let local = self.services.get(service).map(|state| state.demand.to_report(service));
            let request_rates = local.into_iter().flatten().collect();
            add(home, &TrafficStats { request_rates, ..TrafficStats::default() });
            for (_, received) in self.received.fresh(now) {
                add(home, &received.sum.stats);
            }
        }
        for summary in self.remote_regions.all(now) {
            if let Some(region) = view.region_index(&summary.region) {
                add(region, &summary.stats);
            }
        }
        RegionalDemand { loads, total_slots_used }
    }
}
