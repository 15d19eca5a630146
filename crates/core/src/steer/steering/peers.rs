//! Exchange of measurements with the other hosts.

use super::{
    Steering,
    received::{self, ReceivedState, Source},
};
use crate::{
    host::Incarnation,
    steer::{
        admitted::AdmittedCounts,
        digest::{
            AggregateScope, Digest, NameHash, RegionSummary, StateSum, TrafficStats, add_admitted,
            name_hash,
        },
        quota::{RemoteUsage, slot_length},
    },
    time::Instant,
};

impl Steering {
    /// Applies the digest of another host of the region. Its aggregate must cover hosts that this
    /// host does not count otherwise.
    pub fn receive_digest(&mut self, now: Instant, digest: Digest) {
        let Digest { sender, is_relay, in_flight, stats, aggregate, region_summaries, .. } = digest;
        self.receive_crashes(now, &stats);
        self.receive_leaving(now, &stats);
        self.receive_limits(now, &stats);
        for summary in &region_summaries {
            self.receive_region_summary(now, summary);
        }
        let received = |sum| ReceivedState::new(now, sender.incarnation, sum);
        let host_state = received(StateSum { host_count: 1, in_flight, stats });
        let scope = aggregate.as_ref().map(|a| a.scope);
        // The sum of the region includes the sender.
        if scope != Some(AggregateScope::Region) {
            let host_state = match is_relay {
                true => host_state,
                false => host_state.of_follower(sender.zone.clone()),
            };
            self.receive_state(Source::Host(sender.incarnation), host_state);
        }
        if let Some(aggregate) = aggregate {
            self.receive_crashes(now, &aggregate.sum.stats);
            self.receive_leaving(now, &aggregate.sum.stats);
            self.receive_limits(now, &aggregate.sum.stats);
            let source = match aggregate.scope {
                AggregateScope::Followers => Source::Followers(sender.zone),
                AggregateScope::Region => Source::Region,
            };
            self.receive_state(source, received(aggregate.sum));
        }
        self.judge_rollouts();
    }

    fn receive_state(&mut self, source: Source, state: ReceivedState) {
        self.adjust_remote_in_flight(&state.sum.in_flight, u32::saturating_add);
        let ended = self.received.insert(source, state);
        self.adjust_remote_in_flight(&ended, u32::saturating_sub);
    }

    /// Returns the sum of the states of these hosts.
    pub fn sum_of_hosts(&self, now: Instant, hosts: &[Incarnation]) -> StateSum {
        let is_included = |source: &Source| matches!(source, Source::Host(h) if hosts.contains(h));
        let states = self.received.fresh(now).filter(|(source, _)| is_included(source));
        let mut sum = received::add_up(states.map(|(_, state)| &state.sum));
        let zone = &self.view.local_host.zone;
        let slot = slot_length(&self.view.bounds);
        let is_listed = |host| self.is_listed(host);
        let ended = self.received.admitted_by_ended_followers(now, slot, is_listed, zone);
        add_admitted(&mut sum.stats.admitted, &ended, 0);
        sum
    }

    /// Returns the sum of the states of all hosts of the region, this one included, without that of
    /// `receiver`.
    pub fn sum_of_region(&self, now: Instant, receiver: Option<Incarnation>) -> StateSum {
        let is_receiver = |source: &Source| receiver.is_some_and(|r| *source == Source::Host(r));
        let others = self.received.without_region_sum(now);
        let others = others.filter(|(source, _)| !is_receiver(source));
        let (in_flight, stats) = (self.in_flight(), self.local_traffic_stats());
        let mut admitted = stats.admitted.clone();
        let local = StateSum { host_count: 1, in_flight, stats };
        let mut sum = received::add_up(others.map(|(_, state)| &state.sum).chain([&local]));
        let slot = slot_length(&self.view.bounds);
        let is_listed = |host| self.is_listed(host);
        let others = self.received.admitted_without_region_sum(now, slot, is_listed, receiver);
        add_admitted(&mut admitted, &others, 0);
        sum.stats.admitted = admitted;
        sum
    }

    /// Whether another host has had requests recently, according to its digests.
    pub fn has_traffic(&self, now: Instant, host: Incarnation) -> bool {
        self.received.has_traffic(now, host)
    }

    /// Adds or subtracts another host's requests in flight at each server.
    fn adjust_remote_in_flight(
        &mut self,
        in_flight: &[(NameHash, u32)],
        adjust: fn(u32, u32) -> u32,
    ) {
        for (short_hash, requests) in in_flight {
            if let Some(server) = self.servers.get_mut_by_short_hash(*short_hash) {
                server.remote_in_flight = adjust(server.remote_in_flight, *requests);
            }
        }
    }

    /// Removes the states of hosts that have stopped sending digests.
    pub(super) fn expire_received_states(&mut self, now: Instant) {
        let ended = self.received.expire(now);
        self.adjust_remote_in_flight(&ended, u32::saturating_sub);
    }

    /// Applies the summary of another region.
    pub fn receive_region_summary(&mut self, now: Instant, summary: &RegionSummary) {
        self.receive_crashes(now, &summary.stats);
        self.receive_leaving(now, &summary.stats);
        self.receive_limits(now, &summary.stats);
        self.remote_regions.insert(now, summary);
        self.judge_rollouts();
    }

    fn receive_leaving(&mut self, now: Instant, stats: &TrafficStats) {
        for incarnation in &stats.leaving {
            if self.leaving.insert(now, *incarnation) {
                let servers = self.servers.values_mut();
                servers.filter(|s| s.incarnation == *incarnation).for_each(|s| s.is_leaving = true);
            }
        }
    }

    /// Returns this host's requests in flight at each server, which it sends to the hosts of its region.
    pub fn in_flight(&self) -> Vec<(NameHash, u32)> {
        let active = self.servers.values().filter(|s| s.in_flight > 0);
        active.map(|s| (s.short_hash, s.in_flight)).collect()
    }

    /// Returns the traffic statistics of this host.
    pub fn local_traffic_stats(&self) -> TrafficStats {
        let rates = self.services.iter().flat_map(|(name, s)| s.demand.to_report(name));
        TrafficStats {
            request_rates: rates.collect(),
            admitted: self
                .quotas
                .admitted_in_window()
                .map(|(name, admitted)| (name_hash(name), admitted))
                .collect(),
            canaries: self.view.rollouts.keys().filter_map(|s| self.local_canary(s)).collect(),
            crashes: self.crash_report.clone(),
            leaving: self.leaving.to_report().collect(),
            limits: self.limits.to_report(),
        }
    }

    /// Returns the sum of the traffic statistics of all hosts of this region.
    pub fn regional_traffic_stats(&self, now: Instant) -> TrafficStats {
        let mut sum = self.local_traffic_stats();
        let mut admitted = sum.admitted.clone();
        for (_, state) in self.received.fresh(now) {
            sum.merge(&state.sum.stats);
        }
        let slot = slot_length(&self.view.bounds);
        let others = self.received.admitted(now, slot, |host| self.is_listed(host));
        add_admitted(&mut admitted, &others, 0);
        sum.admitted = admitted;
        sum
    }

    /// Whether a host is among those that may be running.
    fn is_listed(&self, host: Incarnation) -> bool {
        self.view.peers.iter().any(|p| p.host.incarnation == host)
    }

    /// Returns the use of the workspaces' quotas by the other hosts. A host whose state is in no sum
    /// counts as unreachable, also if a relay reports it as running.
    pub(super) fn remote_usages(&self, now: Instant) -> impl Fn(&str) -> RemoteUsage + use<> {
        let summaries = self.remote_regions.all(now);
        // The summary of a region is more accurate than the store's list of its hosts: the store still
        // lists hosts that have stopped, and lists hosts that have just started only after a delay.
        let has_summary = |region: &str| summaries.iter().any(|s| s.region == region);
        let listed = || self.view.peers.iter().filter(|p| !has_summary(&p.region));
        let summarized: usize =
            summaries.iter().map(|s| s.hosts.len() + s.unreachable_hosts as usize).sum();
        let (in_region, elsewhere): (Vec<_>, Vec<_>) =
            listed().partition(|p| p.region == self.view.region);
        let counted: usize = self.received.fresh(now).map(|(_, state)| state.sum.host_count).sum();
        let unreachable_hosts = in_region.len().saturating_sub(counted)
            + elsewhere.iter().filter(|p| !p.is_reachable).count()
            + summaries.iter().map(|s| s.unreachable_hosts as usize).sum::<usize>();
        let slot = slot_length(&self.view.bounds);
        let mut admitted = self.received.admitted(now, slot, |host| self.is_listed(host));
        let is_listed = |region: &str| elsewhere.iter().any(|p| p.region == region);
        add_admitted(&mut admitted, &self.remote_regions.admitted(now, slot, is_listed), 0);
        let fleet = RemoteUsage {
            admitted: AdmittedCounts::default(),
            host_count: 1 + in_region.len() + elsewhere.len() + summarized,
            unreachable_hosts,
            is_delayed: self.received.has_region_sum(now),
        };
        move |workspace| {
            let admitted = admitted.get(&name_hash(workspace)).copied().unwrap_or_default();
            RemoteUsage { admitted, ..fleet }
        }
    }
}
