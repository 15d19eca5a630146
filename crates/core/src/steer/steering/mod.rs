//! The request path: all decisions between the arrival of a request and its answer.

mod choose;
mod crashes;
mod demand;
mod limits;
mod outcome;
mod peers;
mod plan;
mod received;
mod request;
mod rollouts;
mod usage;
mod version_filter;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

pub use self::{
    crashes::{CrashChange, CrashCheck},
    limits::LimitChange,
    plan::ShareChange,
    request::{Dispatch, NextAction, PendingRequest, RequestHead},
    rollouts::RolloutStatus,
};
use self::{demand::Demand, received::ReceivedStates};
use super::{
    cost::ServiceCosts,
    digest::CanaryStats,
    leaving::{LeavingServers, incarnation_hash},
    limits::ServerLimits,
    pacing::ServerPacer,
    quota::Quotas,
    region_summaries::RegionSummaries,
    retry::RetryBudget,
    rollout::{RolloutOrder, VersionComparison},
    server::Server,
    server_table::ServerTable,
    usage::counter::UsageCounter,
    view::View,
};
use crate::{
    crash::{
        Fingerprint,
        evidence::{CrashEvidence, CrashReport},
    },
    time::Instant,
};

/// Utilization of a service's slots up to which a fetch has no extra cost.
const FREE_FETCH_UTILIZATION: f64 = 0.35;
/// Increase of the fetch cost factor per unit of utilization above [`FREE_FETCH_UTILIZATION`].
const FETCH_COST_SLOPE: f64 = 8.0;

/// Measurements of this host for one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Latencies of idle servers that have the object cached.
    costs: ServiceCosts,
    /// Mean time for which a request occupies a slot, in seconds.
    slot_time_s: Option<f64>,
    retry_budget: RetryBudget,
    demand: Demand,
    first_request_at: Option<Instant>,
    /// Share of each region in the requests of this host's region.
    region_shares: Vec<f64>,
    /// The shares that were logged last.
    logged_shares: Vec<f64>,
    /// Demand of all regions as a fraction of their slots.
    utilization: f64,
    has_plan: bool,
    /// Responses during the current or last rollout of the service.
    canary: CanaryStats,
    /// Comparison of the versions during that rollout.
    comparison: VersionComparison,
}

impl ServiceState {
    /// Cost factor of a server that has to fetch the object. A fetch occupies a slot several times as
    /// long, so at high utilization a request waits for a server that has the object cached. Otherwise
    /// the fetches would keep the utilization high.
    fn fetch_cost_factor(&self) -> f64 {
        1.0 + (self.utilization - FREE_FETCH_UTILIZATION).max(0.0) * FETCH_COST_SLOPE
    }
}

/// Changes of the state of the request path that the host has to log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnloggedChanges {
    /// Changes of limits.
    pub limits: Vec<LimitChange>,
    /// Changes of shares.
    pub shares: Vec<ShareChange>,
    /// Changes in what is known about crashes.
    pub crashes: Vec<CrashChange>,
}

/// State of the request path on one host.
#[derive(Debug)]
pub struct Steering {
    view: Arc<View>,
    servers: ServerTable,
    services: HashMap<String, ServiceState>,
    received: ReceivedStates,
    remote_regions: RegionSummaries,
    quotas: Quotas,
    pacer: ServerPacer,
    crashes: CrashEvidence,
    /// Requests that are refused because they crash servers.
    refused_requests: BTreeSet<Fingerprint>,
    /// What this host reports about crashes.
    crash_report: CrashReport,
    /// Servers that have to be checked for a crash.
    crash_checks: Vec<CrashCheck>,
    leaving: LeavingServers,
    limits: ServerLimits,
    /// Changes that have not been logged yet.
    changes: UnloggedChanges,
    /// Counts for the usage reports; `None` if there are none.
    usage: Option<UsageCounter>,
    last_plan_at: Instant,
    last_tick_at: Instant,
}

impl Steering {
    /// Creates the state of a host that has just started.
    pub fn new(view: Arc<View>) -> Self {
        Steering {
            view,
            servers: ServerTable::default(),
            services: HashMap::new(),
            received: ReceivedStates::default(),
            remote_regions: RegionSummaries::default(),
            quotas: Quotas::default(),
            pacer: ServerPacer::default(),
            crashes: CrashEvidence::default(),
            refused_requests: BTreeSet::new(),
            crash_report: CrashReport::default(),
            crash_checks: Vec::new(),
            leaving: LeavingServers::default(),
            limits: ServerLimits::default(),
            changes: UnloggedChanges::default(),
            usage: None,
            last_plan_at: Instant::ZERO,
            last_tick_at: Instant::ZERO,
        }
    }

    /// The same for a host that has run for less than a quota window.
    pub fn starting_at(now: Instant, view: Arc<View>) -> Self {
        Steering { quotas: Quotas::starting_at(now), ..Steering::new(view) }
    }

    /// The current view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> UnloggedChanges {
        std::mem::take(&mut self.changes)
    }

    /// Number of records of servers, also of those that are not announced and finish requests.
    pub fn server_record_count(&self) -> usize {
        self.servers.len()
    }

    /// Replaces the view and updates the servers to match it. Resets the counts of a service at a
    /// new rollout order.
    pub fn install_view(&mut self, now: Instant, view: Arc<View>) {
        let servers_changed = !Arc::ptr_eq(&view.servers, &self.view.servers);
        let peers_changed =
            !Arc::ptr_eq(&view.peers, &self.view.peers) || view.stopping != self.view.stopping;
        let reopened_changed = !Arc::ptr_eq(&view.reopened_zones, &self.view.reopened_zones);
        self.view = Arc::clone(&view);
        if servers_changed {
            self.update_servers(now, &view);
        }
        if servers_changed || peers_changed {
            self.update_limit_bounds(|_| true);
        }
        if reopened_changed {
            self.mark_reopened_cold(&view);
        }
        for (service, rollout) in view.rollouts.iter() {
            let state = self.services.entry(service.clone()).or_default();
            let RolloutOrder { version, position, .. } = &rollout.order;
            if rollout.restored_at.is_some() && state.canary.version == *version {
                state.canary.order = *position;
            }
            if state.canary.order != *position {
                state.comparison = VersionComparison::default();
                state.canary = CanaryStats {
                    service: service.clone(),
                    version: version.clone(),
                    order: *position,
                    ..CanaryStats::default()
                };
            }
        }
    }

    fn update_servers(&mut self, now: Instant, view: &View) {
        for entry in view.servers.values() {
            let region = view.zone_regions.get(&entry.zone).map_or("", String::as_str);
            let is_restarted = self.servers.announce(now, entry, region);
            if is_restarted && entry.started_unix_ms.is_none() {
                self.leaving.remove(incarnation_hash(entry));
            }
        }
        self.servers.withdraw_unannounced(now, |id| view.servers.contains_key(id));
        for server in self.servers.values_mut() {
            server.is_leaving |= self.leaving.contains(server.incarnation);
        }
    }

    /// Treats the servers of a reopened failure domain as cold, because they may have become cold during
    /// the evacuation.
    fn mark_reopened_cold(&mut self, view: &View) {
        for server in self.servers.values_mut() {
            let Some(at) = view.reopened_zones.get(&server.entry.zone) else { continue };
            let service = view.catalog.services.get(&server.entry.service);
            let cold_start = service.map_or(Duration::ZERO, |s| s.cold_start);
            server.cold_until = server.cold_until.max(*at + cold_start);
        }
    }

    /// Removes expired state and updates the plan; called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.last_tick_at = now;
        self.pacer.expire(now);
        self.crashes.expire(now);
        self.update_refused_requests(now);
        let announced: HashSet<_> = self.servers.values().map(|s| s.incarnation).collect();
        self.leaving.expire(now, |server| announced.contains(&server));
        self.limits.expire(now, |server| announced.contains(&server));
        self.remote_regions.expire(now);
        self.judge_rollouts();
        self.expire_received_states(now);
        let remote = self.remote_usages(now);
        self.quotas.update_remote_usage(now, &self.view.bounds, remote);
        if now.saturating_since(self.last_plan_at) >= plan::PLAN_PERIOD {
            self.plan_regions(now);
        }
    }

    /// Whether a server's announcements and the operators' orders allow requests to it.
    fn is_in_service(&self, view: &View, server: &Server) -> bool {
        server.is_announced
            && !server.entry.draining
            && !server.is_leaving
            && !view.evacuated_zones.contains(&server.entry.zone)
    }
}
