//! Common load-balancing policies as baselines: they choose among all servers of the region and
//! never queue a request.

use std::{net::SocketAddr, time::Duration};

use jasminestage_core::declaration::Declaration;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Policy;

/// A server as one host observes it.
#[derive(Clone, Debug)]
struct ObservedServer {
    address: SocketAddr,
    /// Requests of this host that are in progress.
    in_flight: u32,
    /// Moving average of the latency, in seconds.
    latency_s: f64,
}

/// Load balancer of one host.
#[derive(Clone, Debug)]
pub struct BaselineBalancer {
    servers: Vec<ObservedServer>,
    choice_count: usize,
}

impl BaselineBalancer {
    /// Creates a balancer over the servers of a region.
    pub fn new(declaration: &Declaration, region: usize) -> Self {
        let name = format!("r{region}");
        let regional_servers = declaration
            .servers
            .values()
            .filter(|s| declaration.regions[declaration.domains[s.domain].region].name == name);
        let observed = regional_servers.map(|s| ObservedServer {
            address: s.address,
            in_flight: 0,
            latency_s: 0.0,
        });
        BaselineBalancer { servers: observed.collect(), choice_count: 0 }
    }

    /// Chooses a server other than `excluded` and counts the request as in flight.
    pub fn choose(
        &mut self,
        policy: Policy,
        excluded: Option<SocketAddr>,
        reported_load: impl Fn(&SocketAddr) -> f64,
        rng: &mut ChaCha8Rng,
    ) -> SocketAddr {
        self.choice_count += 1;
        let count = self.servers.len();
        let offset = if policy == Policy::RoundRobin { 0 } else { rng.random_range(0..count) };
        let order = (0..count).map(|n| (n + offset + self.choice_count) % count);
        let order: Vec<_> = order.filter(|n| Some(self.servers[*n].address) != excluded).collect();
        let cost = |n: &usize| {
            let server = &self.servers[*n];
            f64::from(server.in_flight + 1) * server.latency_s.max(0.001)
        };
        let chosen_index = match policy {
            Policy::LeastInFlight => order.into_iter().min_by_key(|n| self.servers[*n].in_flight),
            Policy::LeastReported => order.into_iter().min_by(|a, b| {
                let load = |n: &usize| reported_load(&self.servers[*n].address);
                load(a).total_cmp(&load(b))
            }),
            Policy::TwoChoices => {
                let candidate = order[rng.random_range(0..order.len())];
                let other_candidate = order[rng.random_range(0..order.len())];
                [candidate, other_candidate].into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
            }
            Policy::RoundRobin | Policy::Slots => order.into_iter().next(),
        };
        let server = &mut self.servers[chosen_index.expect("a region has two servers or more")];
        server.in_flight += 1;
        server.address
    }

    /// Removes a request from those in flight and updates the average latency.
    pub fn finish(&mut self, address: SocketAddr, duration: Duration) {
        if let Some(server) = self.servers.iter_mut().find(|s| s.address == address) {
            server.in_flight -= 1;
            server.latency_s += 0.2 * (duration.as_secs_f64() - server.latency_s);
        }
    }
}
