//! Rate bounds of servers on the request path, and the limits that follow from responses.

use std::collections::HashSet;

use super::Steering;
use crate::{
    steer::{
        digest::TrafficStats, leaving::IncarnationHash, limits::StatedLimit, pacing::RateBound,
        server::Server, view::View,
    },
    time::Instant,
};

/// A limit that this host did not know before.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Id of the server.
    pub server: String,
    /// Requests per second that the server takes from all hosts together; `None` if its limit has
    /// ended.
    pub limit: Option<f64>,
    /// Whether a response to this host stated it, instead of a report of another host.
    pub is_own_observation: bool,
}

impl Steering {
    /// Records what a response to a request that was sent at `sent_at` says about a limit.
    pub(super) fn observe_limit(
        &mut self,
        now: Instant,
        sent_at: Instant,
        incarnation: IncarnationHash,
        stated: StatedLimit,
    ) {
        if self.limits.observe(now, sent_at, incarnation, stated) {
            self.apply_limits(&HashSet::from([incarnation]), true);
        }
    }

    /// Records limits that another host reports.
    pub(super) fn receive_limits(&mut self, now: Instant, stats: &TrafficStats) {
        let reported = stats.limits.iter();
        let changed: HashSet<IncarnationHash> = reported
            .filter(|(incarnation, state)| self.limits.insert(now, **incarnation, **state))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        if !changed.is_empty() {
            self.apply_limits(&changed, false);
        }
    }

    fn apply_limits(&mut self, changed: &HashSet<IncarnationHash>, is_own_observation: bool) {
        let servers = self.servers.values().filter(|s| changed.contains(&s.incarnation));
        let changes = servers.map(|s| LimitChange {
            server: s.entry.id.clone(),
            limit: self.limits.rate(s.incarnation),
            is_own_observation,
        });
        self.changes.limits.extend(changes);
        self.update_limit_bounds(|incarnation| changed.contains(&incarnation));
    }

    /// Recomputes the bounds of those servers that `is_affected` selects, and which of them this host
    /// sends requests to.
    pub(super) fn update_limit_bounds(&mut self, is_affected: impl Fn(IncarnationHash) -> bool) {
        let peers = self.view.peers.iter().filter(|p| p.is_reachable);
        let peers_in_region = peers.filter(|p| p.region == self.view.region).count();
        for server in self.servers.values_mut().filter(|s| is_affected(s.incarnation)) {
            let limit = self.limits.rate(server.incarnation);
            let bound = limit.map(RateBound::of_limited_server);
            server.limit_bound = bound.map(|b| b.among(peers_in_region + 1));
            server.is_limit_sender =
                server.limit_bound.is_some_and(|bound| is_sender(&self.view, server, &bound));
        }
    }

    /// Bound that the server's state and its limit put on the requests of all hosts.
    pub(super) fn rate_bound(
        &self,
        now: Instant,
        view: &View,
        server: &Server,
    ) -> Option<RateBound> {
        if now >= server.cold_until {
            return server.limit_bound;
        }
        let service = view.catalog.services.get(&server.entry.service);
        let cold = RateBound::of_cold_server(service.map_or(1.0, |s| s.cold_rate_per_s));
        Some(server.limit_bound.map_or(cold, |limit| limit.stricter(cold)))
    }

    /// Returns when this host may send the next request to the server; `None` if only other hosts may.
    pub(super) fn next_request_at(
        &self,
        now: Instant,
        view: &View,
        server: &Server,
    ) -> Option<Instant> {
        let Some(bound) = self.rate_bound(now, view, server) else { return Some(now) };
        let may_send = match now < server.cold_until {
            true => is_sender(view, server, &bound),
            false => server.is_limit_sender,
        };
        may_send.then(|| self.pacer.next_request_at(server.hash, &bound))
    }
}

/// Whether this host is one of those that send requests to a server with a rate bound: hosts of the
/// server's region that accept callers.
fn is_sender(view: &View, server: &Server, bound: &RateBound) -> bool {
    if view.region != server.region || view.stopping {
        return false;
    }
    let others = view.peers.iter().filter(|p| p.is_reachable && p.region == server.region);
    let others = others.map(|p| p.host.incarnation.0);
    bound.is_sender(server.hash, view.local_host.incarnation.0, others)
}
