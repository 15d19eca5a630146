//! Exchange of measurements with the other hosts.

use std::{sync::Arc, time::Duration};

use super::Steering;
use crate::{
    host::Incarnation,
    steer::{
        crash::ServerCrash,
        digest::{CanaryStats, Digest, NameHash, RegionSummary, TrafficStats, name_hash},
        quota::RemoteUsage,
        rollout,
    },
    time::Instant,
};

/// Time for which the last digest of a host counts towards the load of servers and the region's summary.
const DIGEST_LIFETIME: Duration = Duration::from_millis(1500);

impl Steering {
    /// Applies the digest of another host of the region.
    pub fn receive_digest(&mut self, now: Instant, digest: Digest) {
        self.receive_crashes(now, &digest.stats);
        for summary in &digest.region_summaries {
            self.receive_region_summary(now, summary);
        }
        self.adjust_remote_in_flight(&digest.in_flight, u32::saturating_add);
        let previous = self.digests.insert(digest.sender.incarnation, (now, digest));
        if let Some((_, previous)) = previous {
            self.adjust_remote_in_flight(&previous.in_flight, u32::saturating_sub);
        }
    }

    /// Adds or subtracts another host's requests in flight at each server.
    fn adjust_remote_in_flight(
        &mut self,
        in_flight: &[(NameHash, u32)],
        adjust: fn(u32, u32) -> u32,
    ) {
        for (short_hash, requests) in in_flight {
            let key = self.keys_by_short_hash.get(short_hash);
            if let Some(server) = key.and_then(|key| self.servers.get_mut(*key)) {
                server.remote_in_flight = adjust(server.remote_in_flight, *requests);
            }
        }
    }

    /// Removes the digests of hosts that are no longer in the view, and the requests in flight of hosts
    /// that have stopped sending digests.
    pub(super) fn expire_digests(&mut self, now: Instant) {
        let peers = Arc::clone(&self.view.peers);
        let is_known = |host: &Incarnation| peers.iter().any(|p| p.host.incarnation == *host);
        let is_fresh = |at: Instant| now.saturating_since(at) <= DIGEST_LIFETIME;
        let mut digests = std::mem::take(&mut self.digests);
        digests.retain(|host, (at, digest)| {
            let is_known = is_known(host);
            if !is_known || !is_fresh(*at) {
                let in_flight = std::mem::take(&mut digest.in_flight);
                self.adjust_remote_in_flight(&in_flight, u32::saturating_sub);
            }
            is_known
        });
        self.digests = digests;
    }

    /// Applies the summary of another region.
    pub fn receive_region_summary(&mut self, now: Instant, summary: &RegionSummary) {
        self.receive_crashes(now, &summary.stats);
        self.remote_regions.insert(now, summary);
    }

    fn receive_crashes(&mut self, now: Instant, stats: &TrafficStats) {
        for (fingerprint, server) in &stats.crashes {
            self.crashes
                .record_crash(now, ServerCrash { fingerprint: *fingerprint, server: *server });
        }
    }

    /// Returns this host's requests in flight at each server, which it sends to the hosts of its region.
    pub fn in_flight(&self) -> Vec<(NameHash, u32)> {
        let active = self.servers.values().filter(|s| s.in_flight > 0);
        active.map(|s| (s.short_hash, s.in_flight)).collect()
    }

    /// Returns the traffic statistics of this host.
    pub fn local_traffic_stats(&self) -> TrafficStats {
        let services = self.services.iter().filter(|(_, s)| s.request_rate > 0.05);
        TrafficStats {
            request_rates: services
                .map(|(name, s)| (name_hash(name), s.request_rate as f32))
                .collect(),
            admitted: self
                .quotas
                .admitted_in_window()
                .map(|(name, admitted)| (name_hash(name), admitted as u32))
                .collect(),
            canaries: self.view.rollouts.keys().filter_map(|s| self.canary_stats(s)).collect(),
            crashes: self
                .crashes
                .confirmed_crashes()
                .map(|crash| (crash.fingerprint, crash.server))
                .collect(),
        }
    }

    /// Returns the sum of the traffic statistics of all hosts of this region.
    pub fn regional_traffic_stats(&self, now: Instant) -> TrafficStats {
        let mut sum = self.local_traffic_stats();
        for (at, digest) in self.digests.values() {
            if now.saturating_since(*at) <= DIGEST_LIFETIME {
                sum.merge(&digest.stats);
            }
        }
        sum
    }

    fn canary_stats(&self, service: &str) -> Option<CanaryStats> {
        let mut canary = self.services.get(service)?.canary.clone();
        canary.found_faulty = self.is_faulty(service);
        Some(canary)
    }

    /// Whether the version that is rolled out for a service is faulty.
    pub fn is_faulty(&self, service: &str) -> bool {
        let Some(own) = self.services.get(service).map(|s| &s.canary) else { return false };
        let same_region = self.digests.values().flat_map(|(_, d)| &d.stats.canaries);
        let summaries = self.remote_regions.all(self.last_tick_at);
        let others = same_region.chain(summaries.iter().flat_map(|s| &s.stats.canaries));
        let same_version = others.filter(|t| t.service == own.service && t.version == own.version);
        rollout::is_faulty(std::iter::once(own).chain(same_version))
    }

    /// Returns the use of a workspace's quota by the other hosts.
    pub(super) fn remote_usage(&self, now: Instant, workspace: &str) -> RemoteUsage {
        let key = name_hash(workspace);
        let summaries = self.remote_regions.all(now);
        // The summary of a region is more accurate than the store's list of its hosts: the store still
        // lists hosts that have stopped, and lists hosts that have just started only after a delay.
        let has_summary = |region: &str| summaries.iter().any(|s| s.region == region);
        let listed = || self.view.peers.iter().filter(|p| !has_summary(&p.region));
        let summarized: usize =
            summaries.iter().map(|s| s.hosts.len() + s.unreachable_hosts as usize).sum();
        let unreachable_listed = listed().filter(|p| !p.is_reachable).count();
        let unreachable_hosts = unreachable_listed
            + summaries.iter().map(|s| s.unreachable_hosts as usize).sum::<usize>();
        let same_region =
            self.view.peers.iter().filter(|p| p.is_reachable && p.region == self.view.region);
        let digests = same_region.filter_map(|p| self.digests.get(&p.host.incarnation));
        let stats = digests.map(|(_, d)| &d.stats).chain(summaries.iter().map(|s| &s.stats));
        let admitted = stats.filter_map(|s| s.admitted.get(&key)).sum::<u32>();
        RemoteUsage {
            admitted: f64::from(admitted),
            host_count: 1 + listed().count() + summarized,
            unreachable_hosts,
        }
    }
}
