//! The operators' configuration, indexed for lookups: routes, services, workspaces and limits.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::declaration::{KeyDigest, Repeat, key_digest};

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Rules for requests with a given host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// HTTP host name that the route matches.
    pub host_name: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may be executed more than once.
    pub repeat: Repeat,
    /// Maximum time until the final response.
    pub timeout: Duration,
    /// Latency up to which a response meets the objective.
    pub latency_objective: Duration,
    /// Priority, 0 being the highest.
    pub priority: u32,
    /// Services among which requests are split; never empty.
    pub services: Vec<WeightedService>,
    /// Maximum number of servers that one request may be sent to.
    pub max_attempts: usize,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Whether requests for the same object should go to the same server.
    pub object_affinity: bool,
    /// Regions in which requests may be executed; all when empty.
    pub allowed_regions: Vec<String>,
}

impl Route {
    /// Selects the service of a request by `position`, a uniformly distributed hash in [0, 1).
    pub fn service_at(&self, position: f64) -> &str {
        let total: u32 = self.services.iter().map(|s| s.weight).sum();
        let mut remaining = position * f64::from(total);
        for weighted in &self.services {
            remaining -= f64::from(weighted.weight);
            if remaining < 0.0 {
                return &weighted.service;
            }
        }
        self.services.last().map_or("", |weighted| &weighted.service)
    }
}

/// A service that backend servers offer.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name in the configuration.
    pub name: String,
    /// Maximum number of connections that one server accepts from all hosts together.
    pub max_connections: u32,
    /// Warm-up time of a server after its start.
    pub cold_start: Duration,
    /// Requests per second that a server can take during its warm-up.
    pub cold_rate_per_s: f64,
}

/// A workspace with its API keys and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name in the configuration.
    pub name: String,
    /// Digests of its API keys.
    pub key_digests: Vec<KeyDigest>,
    /// Priority that is compared before that of the route.
    pub priority: u32,
    /// Permitted requests per second over all hosts; 0 means no limit.
    pub rate_per_s: f64,
    /// Number of requests that may exceed the rate at once.
    pub burst: f64,
    /// Regions in which requests may be executed; all when empty.
    pub allowed_regions: Vec<String>,
}

/// Size and time limits on the requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request line and headers.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time until the headers of a request are complete.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A version of the whole configuration with the indexes for lookups by request.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version that the operator assigned; a higher version is newer.
    pub version: u64,
    /// Size and time limits on requests.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<String, Service>,
    routes_by_host_name: HashMap<String, Vec<Arc<Route>>>,
    route_names: HashSet<String>,
    workspaces: Vec<Arc<Workspace>>,
    workspace_by_key: HashMap<KeyDigest, usize>,
}

impl Catalog {
    /// Builds the indexes of a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
        limits: Limits,
    ) -> Self {
        let route_names = routes.iter().map(|r| r.name.clone()).collect();
        let mut by_host_name: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host_name.entry(route.host_name.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host_name.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let workspace_by_key = workspaces
            .iter()
            .enumerate()
            .flat_map(|(index, w)| w.key_digests.iter().map(move |digest| (*digest, index)))
            .collect();
        Catalog {
            version,
            limits,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            routes_by_host_name: by_host_name,
            route_names,
            workspaces: workspaces.into_iter().map(Arc::new).collect(),
            workspace_by_key,
        }
    }

    /// Whether a configuration has been received.
    pub fn is_loaded(&self) -> bool {
        self.version > 0
    }

    /// Finds the route of a host name with the longest matching path prefix.
    pub fn find_route(&self, host_name: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes_by_host_name
            .get(host_name)?
            .iter()
            .find(|r| path.starts_with(r.path_prefix.as_str()))
    }

    /// Whether a route with this name is configured.
    pub fn has_route(&self, name: &str) -> bool {
        self.route_names.contains(name)
    }

    /// Whether any workspace is configured; if so, requests on routes that are not public need a
    /// key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Finds the workspace of an API key. Only digests of keys are compared.
    pub fn workspace_for_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspace_by_key.get(&key_digest(key.as_bytes())).map(|index| &self.workspaces[*index])
    }
}
