//! Admission of requests and choice of a server.

use std::{sync::Arc, time::Duration};

use super::{
    Dispatch, PendingRequest, RequestHead, Steering,
    request::Attempt,
    version_filter::{VersionFilter, VersionPreference},
};
use crate::{
    declaration::Repeat,
    steer::{
        pick::{self, Criteria},
        quota::QuotaState,
        refusal::{Refusal, RefusalReason},
        regions,
        server::{Server, ServerKey},
        stable_hash, unit_interval,
        view::View,
    },
    time::Instant,
};

/// Expected latency above which a request is refused, as a multiple of the route's objective.
const MAX_OBJECTIVE_MULTIPLE: f64 = 2.5;
/// Expected latency above which a request is refused, as a fraction of the time left.
const MAX_TIME_LEFT_FRACTION: f64 = 0.85;
/// Shortest time before a request may move to another server, as a fraction of the time left.
const MIN_FAILOVER_FRACTION: f64 = 0.6;

impl Steering {
    /// Admits a request by the configuration, or refuses it.
    pub fn admit(
        &mut self,
        now: Instant,
        head: &RequestHead<'_>,
    ) -> Result<PendingRequest, Refusal> {
        let view = Arc::clone(&self.view);
        if !view.catalog.is_loaded() {
            return Err(RefusalReason::NoConfiguration.into());
        }
        let Some(route) = view.catalog.find_route(head.host, head.path) else {
            return Err(RefusalReason::NoRoute.into());
        };
        let workspace = if route.is_public || !view.catalog.has_workspaces() {
            None
        } else {
            match head.key.and_then(|key| view.catalog.workspace_for_key(key)) {
                Some(workspace) => Some(Arc::clone(workspace)),
                None => return Err(RefusalReason::BadKey.into()),
            }
        };
        let timeout = head.caller_timeout.unwrap_or(route.timeout);
        let service_position = unit_interval(stable_hash(1, head.id.as_bytes()));
        let service = route.service_at(service_position).to_owned();
        let fingerprint = stable_hash(3, head.path.as_bytes());
        let object = head.object.filter(|_| route.object_affinity);
        let object = object.map(|o| stable_hash(stable_hash(4, service.as_bytes()), o.as_bytes()));
        let request = PendingRequest {
            route: Arc::clone(route),
            workspace,
            service,
            deadline: now + timeout.min(route.timeout),
            fingerprint,
            object,
            region_position: object.map_or_else(
                || unit_interval(stable_hash(5, head.id.as_bytes())),
                |o| unit_interval(stable_hash(6, &o.to_le_bytes())),
            ),
            version_position: unit_interval(stable_hash(2, head.id.as_bytes())),
            tried_servers: Vec::new(),
            connect_failures: 0,
            unknown_outcome: None,
            has_reserved_retry: false,
            current_attempt: None,
        };
        let state = self.services.entry(request.service.clone()).or_default();
        state.first_request_at.get_or_insert(now);
        state.retry_budget.deposit(&view.bounds, view.host_count());
        Ok(request)
    }

    /// Charges a request to the quota of its workspace.
    pub fn charge_quota(&mut self, now: Instant, request: &PendingRequest) -> Result<(), Refusal> {
        if let Some(workspace) = &request.workspace {
            let view = Arc::clone(&self.view);
            let mut quotas = std::mem::take(&mut self.quotas);
            let remote = || self.remote_usages(now)(&workspace.name);
            let admitted = quotas.try_admit(now, &view.bounds, workspace, remote);
            self.quotas = quotas;
            admitted.map_err(|wait| Refusal {
                retry_after: Some(wait),
                ..Refusal::from(RefusalReason::OverQuota)
            })?;
        }
        self.count_demand(request);
        Ok(())
    }

    /// Counts a request that servers are asked to run. Requests over a quota do not count: a workspace
    /// that sent several times its rate made all regions look overloaded.
    fn count_demand(&mut self, request: &PendingRequest) {
        let state = self.services.entry(request.service.clone()).or_default();
        state.demand.count(request, &self.view.regions);
        state.costs.count_request(&request.route, request.urgency());
    }

    /// State of a workspace's quota on which the last decision was based.
    pub fn quota_state(&self, workspace: &str) -> QuotaState {
        self.quotas.state(workspace)
    }

    /// Sets the fingerprint of a request whose body has been read, and refuses the request if it has
    /// crashed several servers.
    pub fn check_fingerprint(
        &self,
        now: Instant,
        request: &mut PendingRequest,
        fingerprint: u64,
    ) -> Result<(), Refusal> {
        request.fingerprint = fingerprint;
        if self.crashes.is_refused(now, fingerprint) {
            return Err(RefusalReason::CrashingRequest.into());
        }
        Ok(())
    }

    /// Chooses a server for the next attempt of a request.
    pub fn choose_server(
        &mut self,
        now: Instant,
        request: &mut PendingRequest,
    ) -> Result<Dispatch, Refusal> {
        let view = Arc::clone(&self.view);
        let left = request.deadline.saturating_since(now);
        if left.is_zero() {
            return Err(self.final_refusal(request, RefusalReason::Expired));
        }
        if view.evacuated_zones.len() >= view.zone_regions.len() && !view.zone_regions.is_empty() {
            return Err(self.final_refusal(request, RefusalReason::NoServer));
        }
        let new_version_share = self.rollout_share(now, &request.service);
        let version_filters = VersionPreference::for_request(&view, request, new_version_share);
        let objective_s = request.route.latency_objective.as_secs_f64();
        let state = self.services.entry(request.service.clone()).or_default();
        let base_latency_s = state.costs.latency_s(&request.route);
        let wait_limit_s = state.costs.wait_limit_s(&request.route, request.urgency());
        let is_shared = wait_limit_s.is_some() || state.costs.is_mixed();
        let queued_latency_s = is_shared.then_some(state.slot_time_s).flatten();
        let shares = state.region_shares.clone();
        let fetch_cost_factor = state.fetch_cost_factor();
        let criteria = Criteria {
            object: request.object,
            zone: &view.local_host.zone,
            base_latency_s,
            service_latency_s: state.costs.service_latency_s(&request.route),
            queued_latency_s,
            fetch_cost_factor,
        };
        let region = self.region_for(&view, request, &shares);
        let mut best = None;
        for version_filter in version_filters.in_order() {
            best = self.best_server(now, &view, request, version_filter, &criteria, Some(&region));
            if best.is_none() {
                best = self.best_server(now, &view, request, version_filter, &criteria, None);
            }
            if best.is_some() {
                break;
            }
        }
        let Some(best) = best else {
            let refusal = self.final_refusal(request, RefusalReason::NoServer);
            return Err(self.with_end_of_pauses(now, &view, request, refusal));
        };
        let max_latency_s =
            (objective_s * MAX_OBJECTIVE_MULTIPLE).min(left.as_secs_f64() * MAX_TIME_LEFT_FRACTION);
        let late_s = best.latency_s - max_latency_s;
        let is_queued = best.queue_factor > 1.0;
        let crowding_s =
            wait_limit_s.filter(|_| is_queued).map_or(0.0, |limit_s| best.next_wait_s - limit_s);
        if late_s.max(crowding_s) > 0.0 && request.tried_servers.is_empty() {
            let wait = Duration::from_secs_f64(late_s.max(crowding_s).clamp(0.1, 1.0));
            let (reason, wait) = match late_s > 0.0 {
                true => (RefusalReason::Overloaded, wait),
                false => (RefusalReason::LessUrgent, request.spread(wait)),
            };
            return Err(Refusal {
                reason,
                retry_after: Some(wait),
                expected_latency: Some(Duration::from_secs_f64(best.latency_s)),
            });
        }
        let bound = self.servers.get(best.server).and_then(|s| self.rate_bound(now, &view, s));
        let Some(server) = self.servers.get_mut(best.server) else {
            return Err(self.final_refusal(request, RefusalReason::NoServer));
        };
        if let Some(bound) = bound {
            self.pacer.record_request(now, server.hash, &bound);
        }
        let (load, load_age) = (server.load(now), server.load_report_age(now));
        server.start_request(request.object);
        let entry = Arc::clone(&server.entry);
        request.tried_servers.push(best.server);
        request.current_attempt = Some(Attempt {
            server: best.server,
            incarnation: server.incarnation,
            sent_at: now,
            latency_multiple: best.latency_multiple,
            queue_factor: best.queue_factor,
            is_warm: best.is_warm,
            version: entry.version.clone(),
            usage_window: None,
        });
        self.count_usage(now, request);
        self.count_canary_request(&request.service, &entry.version);
        let failover_after = Duration::from_secs_f64((best.latency_s * 4.0).max(objective_s * 1.2));
        Ok(Dispatch {
            address: entry.address,
            server: entry,
            timeout: left,
            failover_after: failover_after.max(left.mul_f64(MIN_FAILOVER_FRACTION)),
            expected_latency: Duration::from_secs_f64(best.latency_s),
            load,
            load_age,
        })
    }

    /// Tells the caller to come back when the first of the service's paused or limited servers takes
    /// requests of this host again, if none can be sent before.
    fn with_end_of_pauses(
        &self,
        now: Instant,
        view: &View,
        request: &PendingRequest,
        refusal: Refusal,
    ) -> Refusal {
        let usable = self
            .servers
            .values()
            .filter(|s| s.entry.service == request.service && self.is_in_service(view, s));
        let end = |s: &Server| {
            s.paused_until(now).max(self.next_request_at(now, view, s).filter(|at| *at > now))
        };
        let ends = usable.map(end).collect::<Option<Vec<Instant>>>();
        let first_end = ends.and_then(|ends| ends.into_iter().min());
        match first_end {
            Some(end) if refusal.retry_after.is_some() => {
                Refusal { retry_after: Some(end.saturating_since(now)), ..refusal }
            }
            _ => refusal,
        }
    }

    /// Whether an overdue request may move to another server; takes a retry token if so. A stopping
    /// host lets servers finish the requests that they run.
    pub fn may_switch_server(&mut self, now: Instant, request: &mut PendingRequest) -> bool {
        let may_retry = request.route.repeat == Repeat::Idempotent && !self.view.stopping;
        request.has_reserved_retry = may_retry && self.reserve_retry(now, request);
        request.has_reserved_retry
    }

    /// Returns the region in which a request should run.
    fn region_for(&self, view: &View, request: &PendingRequest, shares: &[f64]) -> String {
        let home_region = view.region_index(&view.region).unwrap_or(0);
        if shares.len() != view.regions.len() {
            return view.region.clone();
        }
        let region =
            &view.regions[regions::region_for(shares, home_region, request.region_position)];
        region.clone()
    }

    fn best_server(
        &self,
        now: Instant,
        view: &View,
        request: &PendingRequest,
        version_filter: &VersionFilter,
        criteria: &Criteria<'_>,
        region: Option<&str>,
    ) -> Option<pick::Estimate> {
        let candidates: Vec<(ServerKey, &Server)> = self
            .servers
            .iter()
            .filter(|(key, s)| {
                s.entry.service == request.service
                    && region.is_none_or(|r| r == s.region)
                    && version_filter.includes(&s.entry.version)
                    && self.is_candidate(now, view, request, *key, s)
            })
            .collect();
        pick::lowest_cost_server(now, criteria, &candidates)
    }

    fn is_candidate(
        &self,
        now: Instant,
        view: &View,
        request: &PendingRequest,
        key: ServerKey,
        server: &Server,
    ) -> bool {
        let allows_region =
            |regions: &[String]| regions.is_empty() || regions.contains(&server.region);
        self.is_in_service(view, server)
            && allows_region(&request.route.allowed_regions)
            && request.workspace.as_ref().is_none_or(|w| allows_region(&w.allowed_regions))
            && !request.tried_servers.contains(&key)
            && !server.is_backing_off(now)
            && server.paused_until(now).is_none()
            && self.next_request_at(now, view, server).is_some_and(|at| at <= now)
    }
}
