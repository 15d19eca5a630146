//! Workspace quotas, enforced over all hosts together.
//!
//! Each host counts the requests that it admits in a sliding window and sends the count to the other
//! hosts. The headroom is the number of requests that the window still permits. Per exchange period a
//! host may use only a small part of the headroom, so that hosts which have not yet received each
//! other's counts stay within the quota together. An unreachable host is assumed to use an even share
//! of the whole window.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{bounds::Bounds, catalog::Workspace};
use crate::time::Instant;

/// Fraction of the requests permitted in a window that is used; the rest covers requests in transit.
const USED_WINDOW_FRACTION: f64 = 0.92;
/// Fraction of the headroom that all hosts together may use within one exchange period.
const PERIOD_FRACTION: f64 = 0.15;
/// Fraction of the requests of a period that is split evenly among hosts; the rest is split by demand.
const EVEN_SPLIT_FRACTION: f64 = 0.3;
/// Tokens above one that a host may hold while the whole window is free, independent of the number of
/// hosts, because requests of a workspace come in bursts.
const MIN_BURST_TOKENS: f64 = 2.0;
/// Largest number of tokens above one that a host may hold when few hosts share a workspace.
const MAX_BURST_TOKENS: f64 = 3.0;
/// Fraction of the headroom that all hosts together may hold for bursts above [`MIN_BURST_TOKENS`].
const BURST_FRACTION: f64 = 0.33;
/// Tokens of a host at the first request of a workspace. With many hosts, most requests of a small
/// workspace reach a host that has not had a request of it before.
const INITIAL_TOKENS: f64 = 1.5;
/// Time within which hosts receive each other's counts.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(200);
/// The same when the counts arrive through relays.
const DELAYED_EXCHANGE_PERIOD: Duration = Duration::from_millis(1000);
/// Number of counting buckets per window.
const BUCKETS_PER_WINDOW: u32 = 10;
/// Longest time until the next token that is reported to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Use of a workspace's quota by the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemoteUsage {
    /// Requests admitted in the last window by the reachable hosts.
    pub admitted: f64,
    /// Hosts that may be running, this one included.
    pub host_count: usize,
    /// Hosts that may be running but whose state does not arrive.
    pub unreachable_hosts: usize,
    /// Whether the counts arrive through relays, which takes longer.
    pub is_delayed: bool,
}

/// Inputs of a quota decision for one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaState {
    /// Requests that this host admitted in the last window.
    pub admitted: f64,
    /// Use by the other hosts.
    pub remote: RemoteUsage,
}

/// Use of one workspace's quota on this host.
#[derive(Clone, Debug, Default)]
struct QuotaUsage {
    /// Start of each counting bucket with the number of admitted requests.
    buckets: VecDeque<(Instant, u32)>,
    tokens: f64,
    first_request_at: Instant,
    refilled_at: Instant,
    remote: RemoteUsage,
}

/// Quotas of all workspaces on one host.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    workspaces: HashMap<String, QuotaUsage>,
}

/// Returns the number of requests that all hosts together may admit in a window.
fn allowance(bounds: &Bounds, workspace: &Workspace) -> f64 {
    let nominal = workspace.rate_per_s * bounds.quota_window.as_secs_f64() + workspace.burst;
    (nominal * (1.0 + bounds.quota_overage) + bounds.quota_slack) * USED_WINDOW_FRACTION
}

impl QuotaUsage {
    fn admitted(&self) -> f64 {
        self.buckets.iter().map(|(_, n)| f64::from(*n)).sum()
    }

    fn expire(&mut self, now: Instant, bounds: &Bounds) {
        // A bucket counts until its last request has left the window.
        let bucket_length = bounds.quota_window / BUCKETS_PER_WINDOW;
        while self
            .buckets
            .front()
            .is_some_and(|(at, _)| *at + bounds.quota_window + bucket_length <= now)
        {
            self.buckets.pop_front();
        }
    }

    fn record_admission(&mut self, now: Instant, bounds: &Bounds) {
        let bucket_length = bounds.quota_window / BUCKETS_PER_WINDOW;
        match self.buckets.back_mut() {
            Some((at, n)) if now < *at + bucket_length => *n += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }

    /// Adds the tokens earned since the last call and returns the current rate in tokens per second.
    fn refill(&mut self, now: Instant, bounds: &Bounds, workspace: &Workspace) -> f64 {
        let host_count = self.remote.host_count.max(1) as f64;
        let allowance = allowance(bounds, workspace);
        let admitted_here = self.admitted();
        let reserved = allowance * self.remote.unreachable_hosts as f64 / host_count;
        let headroom = (allowance - admitted_here - self.remote.admitted - reserved).max(0.0);
        let total = admitted_here + self.remote.admitted;
        // Until the first counts of the other hosts can have arrived, they show no demand elsewhere.
        let is_demand_known = !self.remote.is_delayed
            || now.saturating_since(self.first_request_at) > 2 * DELAYED_EXCHANGE_PERIOD;
        let demand_share = match is_demand_known && total > 0.0 {
            true => admitted_here / total,
            false => 1.0 / host_count,
        };
        let share = EVEN_SPLIT_FRACTION / host_count + (1.0 - EVEN_SPLIT_FRACTION) * demand_share;
        let per_period = headroom * PERIOD_FRACTION * share;
        let period = if self.remote.is_delayed { DELAYED_EXCHANGE_PERIOD } else { EXCHANGE_PERIOD };
        let rate = per_period / period.as_secs_f64();
        let elapsed_s = now.saturating_since(self.refilled_at).as_secs_f64();
        let shared_burst = (BURST_FRACTION * headroom / host_count).min(MAX_BURST_TOKENS);
        let burst = shared_burst.max(MIN_BURST_TOKENS * headroom / allowance);
        let capacity = per_period.max(1.0 + burst);
        self.tokens = (self.tokens + elapsed_s * rate).min(capacity).min(headroom);
        self.refilled_at = now;
        rate
    }
}

impl Quotas {
    /// Takes a token; the error is the time until there is one. `remote` returns the use by the other
    /// hosts and is called at the first request of a workspace.
    pub fn try_admit(
        &mut self,
        now: Instant,
        bounds: &Bounds,
        workspace: &Workspace,
        remote: impl FnOnce() -> RemoteUsage,
    ) -> Result<(), Duration> {
        if workspace.rate_per_s <= 0.0 {
            return Ok(());
        }
        let usage = self.workspaces.entry(workspace.name.clone()).or_insert_with(|| QuotaUsage {
            tokens: INITIAL_TOKENS,
            first_request_at: now,
            refilled_at: now,
            remote: remote(),
            ..QuotaUsage::default()
        });
        usage.expire(now, bounds);
        let rate = usage.refill(now, bounds, workspace);
        if usage.tokens < 1.0 {
            let wait_s = (1.0 - usage.tokens) / rate.max(0.01);
            return Err(Duration::from_secs_f64(wait_s).min(MAX_RETRY_AFTER));
        }
        usage.tokens -= 1.0;
        usage.record_admission(now, bounds);
        Ok(())
    }

    /// State of a workspace's quota; zero when no request of the workspace has arrived.
    pub fn state(&self, workspace: &str) -> QuotaState {
        self.workspaces.get(workspace).map_or_else(QuotaState::default, |usage| QuotaState {
            admitted: usage.admitted(),
            remote: usage.remote,
        })
    }

    /// Removes expired counts and updates the use by the other hosts; `remote` returns it for a
    /// workspace.
    pub fn update_remote_usage(
        &mut self,
        now: Instant,
        bounds: &Bounds,
        remote: impl Fn(&str) -> RemoteUsage,
    ) {
        for (name, usage) in &mut self.workspaces {
            usage.expire(now, bounds);
            usage.remote = remote(name);
        }
    }

    /// Requests of each workspace that this host admitted in the last window.
    pub fn admitted_in_window(&self) -> impl Iterator<Item = (&str, f64)> {
        let counts = self.workspaces.iter().map(|(name, usage)| (name.as_str(), usage.admitted()));
        counts.filter(|(_, admitted)| *admitted > 0.0)
    }
}
