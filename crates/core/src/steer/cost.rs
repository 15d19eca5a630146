//! Expected latencies of requests, learned from the answers of servers.
//!
//! Requests of one service may need very different amounts of work: an export takes three times as long
//! as a declaration that runs on the same servers. While the requests of a service come from several
//! routes, each route therefore has an expected latency of its own.

use std::collections::HashMap;

use super::catalog::Route;

/// Step of the base latency towards a sample, as a fraction of the base latency.
const BASE_LATENCY_STEP: f64 = 0.06;
/// The same for the first sample of a route; it falls with the number of samples. A route has fewer than
/// its service, and its first latency is a guess.
const FIRST_ROUTE_STEP: f64 = 1.0;
/// Quantile of the latencies that is the base latency. Most slower answers had to fetch the object.
const BASE_LATENCY_QUANTILE: f64 = 0.4;
/// Smallest base latency, in seconds.
const MIN_BASE_LATENCY_S: f64 = 0.002;
/// Base latency that is assumed before the first answer, as a fraction of the route's objective.
const ASSUMED_LATENCY_FRACTION: f64 = 0.4;
/// Share of a service's requests from which a route counts as one of its sources. Routes that only
/// test which configuration is in force stay below it.
const MIN_ROUTE_SHARE: f64 = 0.05;
/// Smallest weight of a source. One request that tests the configuration is no source, also at a host
/// with little traffic.
const MIN_ROUTE_WEIGHT: f64 = 2.0;
/// Weight below which requests are forgotten.
const MIN_WEIGHT: f64 = 0.01;
/// Factor by which the weight of a request in the shares falls with each planning period.
const SHARE_DECAY: f64 = 0.9;

/// Latency of an idle server that has the object cached.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BaseLatency {
    seconds: Option<f64>,
    samples: u32,
}

impl BaseLatency {
    /// Returns the latency in seconds; before the first answer one that follows from the objective.
    pub fn seconds(&self, objective_s: f64) -> f64 {
        self.seconds.unwrap_or(objective_s * ASSUMED_LATENCY_FRACTION).max(MIN_BASE_LATENCY_S)
    }

    /// Moves the latency towards a quantile of the samples, by this step.
    fn observe(&mut self, objective_s: f64, sample_s: f64, step: f64) {
        let known_s = self.seconds(objective_s);
        let direction =
            if sample_s > known_s { BASE_LATENCY_QUANTILE } else { BASE_LATENCY_QUANTILE - 1.0 };
        let new_s = known_s * (1.0 + step * direction);
        self.samples = self.samples.saturating_add(1);
        self.seconds = Some(new_s);
    }
}

/// Urgency of a request: the priority of its workspace, then that of its route; 0 is the most urgent.
pub type Urgency = (u32, u32);

/// What this host knows of the requests of one route at one service.
#[derive(Clone, Debug, Default)]
struct RouteCost {
    base_latency: BaseLatency,
    objective_s: f64,
    /// Number of recent requests by urgency, with a weight that decays.
    recent_requests: HashMap<Urgency, f64>,
}

impl RouteCost {
    fn total_requests(&self) -> f64 {
        self.recent_requests.values().sum()
    }
}

/// Latencies of a service and of each route whose requests it runs.
#[derive(Clone, Debug, Default)]
pub struct ServiceCosts {
    base_latency: BaseLatency,
    routes: HashMap<String, RouteCost>,
}

impl ServiceCosts {
    /// Counts a request that was admitted.
    pub fn count_request(&mut self, route: &Route, urgency: Urgency) {
        if !self.routes.contains_key(&route.name) {
            self.routes.insert(route.name.clone(), RouteCost::default());
        }
        let Some(cost) = self.routes.get_mut(&route.name) else { return };
        cost.objective_s = route.latency_objective.as_secs_f64();
        *cost.recent_requests.entry(urgency).or_default() += 1.0;
    }

    /// Lets the counts decay and forgets routes that `is_configured` no longer names.
    pub fn decay(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_configured(name));
        for cost in self.routes.values_mut() {
            cost.recent_requests.values_mut().for_each(|requests| *requests *= SHARE_DECAY);
            cost.recent_requests.retain(|_, requests| *requests >= MIN_WEIGHT);
        }
    }

    /// Whether requests of at least two routes make up a part of the service's requests.
    pub fn is_mixed(&self) -> bool {
        let total: f64 = self.routes.values().map(RouteCost::total_requests).sum();
        let is_source = |cost: &&RouteCost| is_source(cost.total_requests(), total);
        self.routes.values().filter(is_source).count() > 1
    }

    /// Base latency over all routes, in seconds.
    pub fn service_latency_s(&self, route: &Route) -> f64 {
        self.base_latency.seconds(route.latency_objective.as_secs_f64())
    }

    /// Base latency of a request of this route, in seconds.
    pub fn latency_s(&self, route: &Route) -> f64 {
        if !self.is_mixed() {
            return self.service_latency_s(route);
        }
        let base_latency = self.routes.get(&route.name).map(|cost| cost.base_latency);
        base_latency.unwrap_or_default().seconds(route.latency_objective.as_secs_f64())
    }

    /// Returns the longest time for which a more urgent request of another route may wait behind a request
    /// of this route and urgency and still meet its objective, in seconds; `None` if none is expected.
    /// Servers run their queues in the order of arrival.
    pub fn wait_limit_s(&self, route: &Route, urgency: Urgency) -> Option<f64> {
        let total: f64 = self.routes.values().map(RouteCost::total_requests).sum();
        let has_more_urgent = |cost: &&RouteCost| {
            let more_urgent = cost.recent_requests.iter().filter(|(other, _)| **other < urgency);
            is_source(more_urgent.map(|(_, requests)| requests).sum(), total)
        };
        let slack_s =
            |cost: &RouteCost| cost.objective_s - cost.base_latency.seconds(cost.objective_s);
        let others = self.routes.iter().filter(|(name, _)| **name != route.name);
        let slacks = others.map(|(_, cost)| cost).filter(has_more_urgent).map(slack_s);
        // A route that misses its objective at an idle server gains nothing from shorter queues.
        slacks.filter(|slack_s| *slack_s > 0.0).min_by(f64::total_cmp)
    }

    /// Records the latency of an answer, without the time that was due to queueing or fetching.
    pub fn observe(&mut self, route: &Route, sample_s: f64) {
        let objective_s = route.latency_objective.as_secs_f64();
        if let Some(cost) = self.routes.get_mut(&route.name) {
            let step = FIRST_ROUTE_STEP / f64::from(cost.base_latency.samples + 1);
            cost.base_latency.observe(objective_s, sample_s, step.max(BASE_LATENCY_STEP));
        }
        self.base_latency.observe(objective_s, sample_s, BASE_LATENCY_STEP);
    }
}

/// Whether requests with this weight are a source of a service's requests.
fn is_source(requests: f64, total: f64) -> bool {
    requests >= MIN_ROUTE_WEIGHT && requests >= MIN_ROUTE_SHARE * total
}
