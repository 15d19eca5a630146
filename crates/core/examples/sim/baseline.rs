//! Usual ways of choosing a server, to compare with: every server of the region, no waiting.

use std::{net::SocketAddr, time::Duration};

use jasminestage_core::declaration::Declaration;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Policy;

#[derive(Clone, Debug)]
struct Seen {
    address: SocketAddr,
    in_flight: u32,
    latency: f64,
}

/// One host's choice.
#[derive(Clone, Debug)]
pub struct Baseline {
    servers: Vec<Seen>,
    turn: usize,
}

impl Baseline {
    /// Chooses among the servers of a region.
    pub fn new(declaration: &Declaration, region: usize) -> Self {
        let name = format!("r{region}");
        let mine = declaration
            .servers
            .values()
            .filter(|s| declaration.regions[declaration.domains[s.domain].region].name == name);
        let seen = mine.map(|s| Seen { address: s.address, in_flight: 0, latency: 0.0 });
        Baseline { servers: seen.collect(), turn: 0 }
    }

    /// Chooses a server other than `not` and counts the request.
    pub fn choose(
        &mut self,
        policy: Policy,
        not: Option<SocketAddr>,
        reported: impl Fn(&SocketAddr) -> f64,
        rng: &mut ChaCha8Rng,
    ) -> SocketAddr {
        self.turn += 1;
        let count = self.servers.len();
        let offset = if policy == Policy::RoundRobin { 0 } else { rng.random_range(0..count) };
        let order = (0..count).map(|n| (n + offset + self.turn) % count);
        let order: Vec<_> = order.filter(|n| Some(self.servers[*n].address) != not).collect();
        let cost = |n: &usize| {
            let seen = &self.servers[*n];
            f64::from(seen.in_flight + 1) * seen.latency.max(0.001)
        };
        let chosen = match policy {
            Policy::LeastInFlight => order.into_iter().min_by_key(|n| self.servers[*n].in_flight),
            Policy::LeastReported => order.into_iter().min_by(|a, b| {
                let load = |n: &usize| reported(&self.servers[*n].address);
                load(a).total_cmp(&load(b))
            }),
            Policy::TwoChoices => {
                let first = order[rng.random_range(0..order.len())];
                let second = order[rng.random_range(0..order.len())];
                [first, second].into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
            }
            Policy::RoundRobin | Policy::Slots => order.into_iter().next(),
        };
        let seen = &mut self.servers[chosen.expect("a region has two servers or more")];
        seen.in_flight += 1;
        seen.address
    }

    /// Counts the end of a request.
    pub fn finish(&mut self, address: SocketAddr, took: Duration) {
        if let Some(seen) = self.servers.iter_mut().find(|s| s.address == address) {
            seen.in_flight -= 1;
            seen.latency += 0.2 * (took.as_secs_f64() - seen.latency);
        }
    }
}
