//! Choice of a backend server.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    view::View,
    world::{Duty, RouteKey, ServerKey},
};

/// Messages between hosts about backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteMsg {
    /// A backend server was seen to fail.
    ServerFailed {
        /// Name of the backend server.
        server: String,
    },
}

/// What this host sees of its own requests to one backend server.
#[derive(Clone, Debug, Default)]
struct ServerState {
    in_flight: u32,
}

/// Choice of backend servers by what this host sees.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    servers: HashMap<String, ServerState>,
}

impl Balancer {
    /// Forgets backend servers that are no longer declared.
    pub fn install(&mut self, view: &View) {
        let mut old = std::mem::take(&mut self.servers);
        let states = view.world.servers.values().map(|s| {
            let state = old.remove(&s.name).unwrap_or_default();
            (s.name.clone(), state)
        });
        self.servers = states.collect();
    }

    /// The nearest backend server of a route with a free slot and the fewest requests in flight.
    pub fn choose(&mut self, view: &View, route: RouteKey, not: &[ServerKey]) -> Option<ServerKey> {
        let my_region = view.world.region_of(&view.me.domain);
        let candidates = view.world.servers_of(route).filter(|(key, s)| {
            let region = view.world.domains[s.domain].region;
            s.duty == Duty::Serving && Some(region) == my_region && !not.contains(key)
        });
        let free = candidates.filter_map(|(key, s)| {
            let in_flight = self.servers.get(&s.name)?.in_flight;
            let far = view.world.domains[s.domain].name != view.me.domain;
            (in_flight < u32::from(s.slots)).then_some((far, in_flight, &s.name, key))
        });
        let (_, _, name, key) = free.min()?;
        self.servers.entry(name.clone()).or_default().in_flight += 1;
        Some(key)
    }

    /// Gives back the slot of a request that has ended.
    pub fn release(&mut self, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}
