//! What this host and the others have seen.

use std::{sync::Arc, time::Duration};

use super::Steering;
use crate::{
    host::Incarnation,
    steer::{
        crash::Death,
        digest::{CanaryStats, Digest, NameHash, RegionSummary, TrafficStats, name_hash},
        quota::Elsewhere,
        rollout,
    },
    time::Instant,
};

/// Time for which the digest of a silent host still counts towards loads.
const DIGEST_LIFETIME: Duration = Duration::from_millis(1500);

impl Steering {
    /// Takes in what another host of the region says.
    pub fn hear(&mut self, now: Instant, digest: Digest) {
        self.hear_deaths(now, &digest.stats);
        for summary in &digest.region_summaries {
            self.hear_region(now, summary);
        }
        self.count_elsewhere(&digest.in_flight, u32::saturating_add);
        let before = self.digests.insert(digest.sender.incarnation, (now, digest));
        if let Some((_, before)) = before {
            self.count_elsewhere(&before.in_flight, u32::saturating_sub);
        }
    }

    /// Adds or takes away requests of another host at servers.
    fn count_elsewhere(&mut self, in_flight: &[(NameHash, u32)], count: fn(u32, u32) -> u32) {
        for (name, requests) in in_flight {
            let key = self.names.get(name);
            if let Some(server) = key.and_then(|key| self.servers.get_mut(*key)) {
                server.in_flight_elsewhere = count(server.in_flight_elsewhere, *requests);
            }
        }
    }

    /// Forgets hosts that are gone, and what silent ones have in flight.
    pub(super) fn expire_digests(&mut self, now: Instant) {
        let peers = Arc::clone(&self.view.peers);
        let is_known = |host: &Incarnation| peers.iter().any(|p| p.host.incarnation == *host);
        let is_fresh = |at: Instant| now.saturating_since(at) <= DIGEST_LIFETIME;
        let mut digests = std::mem::take(&mut self.digests);
        digests.retain(|host, (at, digest)| {
            let is_known = is_known(host);
            if !is_known || !is_fresh(*at) {
                let in_flight = std::mem::take(&mut digest.in_flight);
                self.count_elsewhere(&in_flight, u32::saturating_sub);
            }
            is_known
        });
        self.digests = digests;
    }

    /// Takes in what another region says.
    pub fn hear_region(&mut self, now: Instant, summary: &RegionSummary) {
        self.hear_deaths(now, &summary.stats);
        self.far.insert(now, summary);
    }

    fn hear_deaths(&mut self, now: Instant, seen: &TrafficStats) {
        for (fingerprint, server) in &seen.crashes {
            self.crashes.record(now, Death { fingerprint: *fingerprint, server: *server });
        }
    }

    /// Requests of this host at servers, for the others of the region.
    pub fn in_flight(&self) -> Vec<(NameHash, u32)> {
        let busy = self.servers.values().filter(|s| s.in_flight > 0);
        busy.map(|s| (s.name, s.in_flight)).collect()
    }

    /// What this host has seen.
    pub fn seen(&self) -> TrafficStats {
        let services = self.services.iter().filter(|(_, s)| s.demand > 0.05);
        TrafficStats {
            request_rates: services.map(|(name, s)| (name_hash(name), s.demand as f32)).collect(),
            admitted: self
                .quotas
                .used()
                .map(|(name, used)| (name_hash(name), used as u32))
                .collect(),
            canaries: self.view.rollouts.keys().filter_map(|s| self.trial(s)).collect(),
            crashes: self.crashes.deaths().map(|d| (d.fingerprint, d.server)).collect(),
        }
    }

    /// What the hosts of this region have seen.
    pub fn seen_in_region(&self, now: Instant) -> TrafficStats {
        let mut sum = self.seen();
        for (at, digest) in self.digests.values() {
            if now.saturating_since(*at) <= DIGEST_LIFETIME {
                sum.merge(&digest.stats);
            }
        }
        sum
    }

    fn trial(&self, service: &str) -> Option<CanaryStats> {
        let mut trial = self.services.get(service)?.trial.clone();
        trial.found_faulty = self.is_faulty(service);
        Some(trial)
    }

    /// Whether the version on trial for a service has proven faulty.
    pub fn is_faulty(&self, service: &str) -> bool {
        let Some(own) = self.services.get(service).map(|s| &s.trial) else { return false };
        let near = self.digests.values().flat_map(|(_, d)| &d.stats.canaries);
        let far = self.far.all(self.ticked_at);
        let others = near.chain(far.iter().flat_map(|s| &s.stats.canaries));
        let same = others.filter(|t| t.service == own.service && t.version == own.version);
        rollout::is_faulty(std::iter::once(own).chain(same))
    }

    /// Use of a workspace's quota at the other hosts.
    pub(super) fn used_elsewhere(&self, now: Instant, workspace: &str) -> Elsewhere {
        let key = name_hash(workspace);
        let far = self.far.all(now);
        // A region that is heard knows best which of its hosts are alive: the store still lists hosts
        // that have ended, and lists those that have just started a little later.
        let is_told = |region: &str| far.iter().any(|s| s.region == region);
        let listed = || self.view.peers.iter().filter(|p| !is_told(&p.region));
        let told: usize = far.iter().map(|s| s.hosts.len() + s.unreachable_hosts as usize).sum();
        let silent = listed().filter(|p| !p.is_heard).count();
        let unheard = silent + far.iter().map(|s| s.unreachable_hosts as usize).sum::<usize>();
        let near = self.view.peers.iter().filter(|p| p.is_heard && p.region == self.view.region);
        let digests = near.filter_map(|p| self.digests.get(&p.host.incarnation));
        let seen = digests.map(|(_, d)| &d.stats).chain(far.iter().map(|s| &s.stats));
        let used = seen.filter_map(|s| s.admitted.get(&key)).sum::<u32>();
        Elsewhere { used: f64::from(used), hosts: 1 + listed().count() + told, unheard }
    }
}
