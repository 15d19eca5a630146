//! The operators' configuration: routes, services, workspaces and limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::declaration::{KeyDigest, Repeat, key_digest};

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// Requests with one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// Host name of its requests.
    pub host: String,
    /// Start of the path of its requests; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer counts as fast.
    pub objective: Duration,
    /// Rank, 0 being the most urgent.
    pub priority: u32,
    /// Services that share its requests; never empty.
    pub services: Vec<WeightedService>,
    /// Most servers that one request may be sent to.
    pub max_attempts: usize,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether requests for one object should go to one server.
    pub affinity: bool,
    /// Regions in which its requests may run; all when empty.
    pub regions: Vec<String>,
}

impl Route {
    /// The service of a request, by a position between 0 and 1 that is spread evenly.
    pub fn service_at(&self, position: f64) -> &str {
        let total: u32 = self.services.iter().map(|s| s.weight).sum();
        let mut left = position * f64::from(total);
        for part in &self.services {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return &part.service;
            }
        }
        self.services.last().map_or("", |part| &part.service)
    }
}

/// A service that backend servers offer.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name in the configuration.
    pub name: String,
    /// Connections that one server accepts from all hosts together.
    pub max_connections: u32,
    /// Time that a server stays cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold server bears.
    pub cold_rate: f64,
}

/// A workspace with its keys and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name in the configuration.
    pub name: String,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank that goes before the rank of the route.
    pub priority: u32,
    /// Requests per second over all hosts; 0 is no limit.
    pub rate: f64,
    /// Requests above the rate at one moment.
    pub burst: f64,
    /// Regions in which its requests may run; all when empty.
    pub regions: Vec<String>,
}

/// What callers may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time until the head of a request is complete.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
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

/// One version of the whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version that the operator gave it; higher is newer.
    pub version: u64,
    /// Limits on requests.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<String, Service>,
    routes: HashMap<String, Vec<Arc<Route>>>,
    workspaces: Vec<Arc<Workspace>>,
    owners: HashMap<KeyDigest, usize>,
}

impl Catalog {
    /// Indexes a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let owners = workspaces
            .iter()
            .enumerate()
            .flat_map(|(n, w)| w.keys.iter().map(move |key| (*key, n)))
            .collect();
        Catalog {
            version,
            limits,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            routes: by_host,
            workspaces: workspaces.into_iter().map(Arc::new).collect(),
            owners,
        }
    }

    /// Whether a configuration has been received.
    pub fn is_known(&self) -> bool {
        self.version > 0
    }

    /// The route with the longest prefix of the path among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whether requests need a key unless their route is open.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// The workspace that holds a key. Only digests are compared.
    pub fn owner(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.owners.get(&key_digest(key.as_bytes())).map(|n| &self.workspaces[*n])
    }
}
