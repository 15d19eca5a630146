//! Load of a simulated fleet: random arrivals of requests at its hosts.

use rand::seq::IndexedRandom;

use super::fleet::{Fleet, poisson};

/// Hosts to which the callers of a workspace send requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    /// Any host.
    Even,
    /// Always the same host.
    OneHost,
    /// One host, chosen anew for each call of [`run`].
    Shifting,
    /// Any host of one region.
    OneRegion,
    /// The hosts that a lookup returns: homes in the caller's region, or any host in it if there are
    /// none.
    Steered,
}

/// Load of one workspace.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub tenant: usize,
    /// Requests per second.
    pub per_second: f64,
    pub callers: Callers,
}

/// Runs the fleet under these loads until an instant.
pub fn run(fleet: &mut Fleet, loads: &[Load], end: u64) {
    let start = fleet.now;
    let mut next_arrivals: Vec<u64> =
        loads.iter().map(|l| start + poisson(&mut fleet.rng, l.per_second)).collect();
    let fixed_hosts: Vec<_> =
        loads.iter().map(|_| fleet.serving().choose(&mut fleet.rng).copied()).collect();
    while let Some((n, &at)) = next_arrivals.iter().enumerate().min_by_key(|(_, at)| **at)
        && at < end
    {
        fleet.run_until(at);
        let is_shifting = loads[n].callers == Callers::Shifting;
        let host = if is_shifting { fixed_hosts[n] } else { choose_host(fleet, &loads[n]) };
        if let Some(host) = host {
            fleet.arrive(host, loads[n].tenant);
        }
        next_arrivals[n] = at + poisson(&mut fleet.rng, loads[n].per_second);
    }
    fleet.run_until(end);
}

fn choose_host(fleet: &mut Fleet, load: &Load) -> Option<usize> {
    let serving = fleet.serving();
    let region = |hosts: &[usize], fleet: &Fleet, r: usize| -> Vec<usize> {
        hosts.iter().copied().filter(|h| fleet.region_of(*h) == r).collect()
    };
    let hosts = match load.callers {
        Callers::Even | Callers::Shifting => serving,
        Callers::OneHost => serving[..1].to_vec(),
        Callers::OneRegion => region(&serving, fleet, 0),
        Callers::Steered => {
            let caller_host = *serving.choose(&mut fleet.rng)?;
            let caller_region = fleet.region_of(caller_host);
            let homes = region(&fleet.home_hosts(load.tenant), fleet, caller_region);
            if homes.is_empty() { region(&serving, fleet, caller_region) } else { homes }
        }
    };
    hosts.choose(&mut fleet.rng).copied()
}
