//! Workspace quotas, enforced over all hosts together.
//!
//! Each host counts the requests that it admits in a sliding window and sends the counts to the other
//! hosts. Windows of all lengths up to the quota window permit the rate for their length, and the burst
//! once. The headroom is the number of requests that the fullest of them still permits. Per exchange
//! period a host may use only a small part of the headroom, so that hosts which have not yet received
//! each other's counts stay within the quota together. An unreachable host is assumed to use an even
//! share of each window.
//!
//! A host that has just started does not know what hosts that have ended had admitted before. For one
//! window it therefore admits requests only while all that were admitted since its start stay within the
//! rate, without the burst: what was admitted before and the rate afterwards add up to the quota, also if
//! all hosts have restarted.

use std::{collections::HashMap, time::Duration};

use super::{
    admitted::{AdmittedCounts, SLOTS_PER_WINDOW},
    bounds::Bounds,
    catalog::Workspace,
};
use crate::time::Instant;

/// Fraction of the requests permitted in a window that is used; the rest covers requests in transit.
const USED_WINDOW_FRACTION: f64 = 0.92;
/// Fraction of the requests permitted in a window that hosts may admit at once when they have started.
/// It comes out of the rest, twice if all hosts start twice in a window.
const START_FRACTION: f64 = 0.04;
/// Fraction of the headroom that all hosts together may use within one exchange period.
const PERIOD_FRACTION: f64 = 0.15;
/// Time from the first request of a workspace after which the counts show which hosts it uses.
const DEMAND_TIME: Duration = Duration::from_millis(1000);
/// The same when the counts arrive through relays.
const DELAYED_DEMAND_TIME: Duration = Duration::from_millis(2000);
/// Headroom, as a time at the rate of the workspace, below which hosts admit less than the rate. It keeps
/// them within the quota although the counts of the others are old.
const RATE_HEADROOM_TIME: Duration = Duration::from_millis(500);
/// The same when the counts arrive through relays.
const DELAYED_RATE_HEADROOM_TIME: Duration = Duration::from_millis(2000);
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
const INITIAL_TOKENS: f64 = 1.8;
/// Time within which hosts receive each other's counts.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(200);
/// The same when the counts arrive through relays.
const DELAYED_EXCHANGE_PERIOD: Duration = Duration::from_millis(1000);
/// Longest time until the next token that is reported to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Use of a workspace's quota by the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemoteUsage {
    /// Requests admitted in the last window by the other hosts, also by those that have ended since.
    pub admitted: AdmittedCounts,
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
    /// Requests that this host has admitted.
    admitted: AdmittedCounts,
    /// Number of the newest slot of `admitted`, counted from the start of the clock.
    newest_slot: u64,
    tokens: f64,
    first_request_at: Instant,
    refilled_at: Instant,
    remote: RemoteUsage,
}

/// Quotas of all workspaces on one host.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    workspaces: HashMap<String, QuotaUsage>,
    /// Start of the host; `None` if it has run for a window.
    started_at: Option<Instant>,
}

/// Length of a counting slot.
pub fn slot_length(bounds: &Bounds) -> Duration {
    bounds.quota_window / SLOTS_PER_WINDOW as u32
}

/// Returns the number of requests per second that all hosts together may admit all the time.
fn permitted_rate(bounds: &Bounds, workspace: &Workspace) -> f64 {
    workspace.rate_per_s * (1.0 + bounds.quota_overage) * USED_WINDOW_FRACTION
}

/// Returns the number of requests that all hosts together may admit in a window of this length.
fn allowance(bounds: &Bounds, workspace: &Workspace, length: Duration) -> f64 {
    let once = workspace.burst * (1.0 + bounds.quota_overage) + bounds.quota_slack;
    permitted_rate(bounds, workspace) * length.as_secs_f64() + once * USED_WINDOW_FRACTION
}

/// Tokens of a host that has just started at the first request of a workspace: none if each host earns
/// one within an exchange period. If all hosts have restarted, they cannot know yet how many of them use
/// their first tokens.
fn initial_tokens_after_start(bounds: &Bounds, workspace: &Workspace, remote: &RemoteUsage) -> f64 {
    let earned = permitted_rate(bounds, workspace) * EXCHANGE_PERIOD.as_secs_f64();
    (INITIAL_TOKENS - earned / remote.host_count.max(1) as f64).max(0.0)
}

impl QuotaUsage {
    fn expire(&mut self, now: Instant, bounds: &Bounds) {
        let slot_micros = slot_length(bounds).as_micros().max(1) as u64;
        let slot = now.as_micros() / slot_micros;
        self.admitted = self.admitted.aged(slot.saturating_sub(self.newest_slot));
        self.newest_slot = slot;
    }

    /// Number of requests that all hosts together may still admit now. `age` is the time since the start
    /// of this host if it is younger than a window.
    fn headroom(&self, bounds: &Bounds, workspace: &Workspace, age: Option<Duration>) -> f64 {
        let mut admitted = self.admitted;
        admitted.add(&self.remote.admitted);
        let slot = slot_length(bounds);
        let shorter_windows = (1..SLOTS_PER_WINDOW).map(|complete| {
            // The slots of the hosts begin at different times, so the newest one is half complete.
            let length = slot * complete as u32 + slot / 2;
            (allowance(bounds, workspace, length), admitted.in_newest(complete))
        });
        let whole_window = (
            allowance(bounds, workspace, bounds.quota_window),
            admitted.in_newest(SLOTS_PER_WINDOW),
        );
        let since_start = age.map(|age| {
            let at_once = allowance(bounds, workspace, bounds.quota_window) * START_FRACTION;
            let permitted = at_once + permitted_rate(bounds, workspace) * age.as_secs_f64();
            // The slots of the hosts begin at different times, so the newest one is half complete.
            let slots = age.as_secs_f64() / slot.as_secs_f64().max(f64::EPSILON) + 0.5;
            (permitted, admitted.in_newest_slots(slots))
        });
        let reachable_fraction =
            1.0 - self.remote.unreachable_hosts as f64 / self.remote.host_count.max(1) as f64;
        shorter_windows
            .chain([whole_window])
            .chain(since_start)
            .map(|(permitted, admitted)| permitted * reachable_fraction - admitted)
            .fold(f64::INFINITY, f64::min)
            .max(0.0)
    }

    /// Adds the tokens earned since the last call and returns the current rate in tokens per second.
    fn refill(
        &mut self,
        now: Instant,
        bounds: &Bounds,
        workspace: &Workspace,
        age: Option<Duration>,
    ) -> f64 {
        let host_count = self.remote.host_count.max(1) as f64;
        let headroom = self.headroom(bounds, workspace, age);
        let (period, headroom_time, demand_time) = match self.remote.is_delayed {
            true => (DELAYED_EXCHANGE_PERIOD, DELAYED_RATE_HEADROOM_TIME, DELAYED_DEMAND_TIME),
            false => (EXCHANGE_PERIOD, RATE_HEADROOM_TIME, DEMAND_TIME),
        };
        // The counts of the other hosts are older than those of this host, whose share would be too large
        // while all counts grow.
        let admitted_here = self.admitted.total();
        let total = admitted_here + self.remote.admitted.total();
        let is_demand_known = now.saturating_since(self.first_request_at) > demand_time;
        let demand_share = match is_demand_known && total > 0.0 {
            true => admitted_here / total,
            false => 1.0 / host_count,
        };
        let share = EVEN_SPLIT_FRACTION / host_count + (1.0 - EVEN_SPLIT_FRACTION) * demand_share;
        // Requests at the rate leave the headroom as it is, so they need no reserve for counts that
        // have not arrived yet.
        let at_rate = permitted_rate(bounds, workspace).min(headroom / headroom_time.as_secs_f64());
        let rate = share * (headroom * PERIOD_FRACTION / period.as_secs_f64() + at_rate);
        let elapsed_s = now.saturating_since(self.refilled_at).as_secs_f64();
        let shared_burst = (BURST_FRACTION * headroom / host_count).min(MAX_BURST_TOKENS);
        let largest_headroom = allowance(bounds, workspace, slot_length(bounds));
        let burst = shared_burst.max(MIN_BURST_TOKENS * headroom / largest_headroom);
        let capacity = (rate * period.as_secs_f64()).max(1.0 + burst);
        self.tokens = (self.tokens + elapsed_s * rate).min(capacity).min(headroom);
        self.refilled_at = now;
        rate
    }
}

impl Quotas {
    /// Quotas of a host that has just started.
    pub fn starting_at(now: Instant) -> Self {
        Quotas { started_at: Some(now), ..Quotas::default() }
    }

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
        let age = self.started_at.map(|at| now.saturating_since(at));
        let age = age.filter(|age| *age < bounds.quota_window);
        let usage = self.workspaces.entry(workspace.name.clone()).or_insert_with(|| {
            let remote = remote();
            let tokens = match age {
                Some(_) => initial_tokens_after_start(bounds, workspace, &remote),
                None => INITIAL_TOKENS,
            };
            let (first_request_at, refilled_at) = (now, now);
            QuotaUsage { tokens, first_request_at, refilled_at, remote, ..QuotaUsage::default() }
        });
        usage.expire(now, bounds);
        let rate = usage.refill(now, bounds, workspace, age);
        if usage.tokens < 1.0 {
            let wait_s = (1.0 - usage.tokens) / rate.max(0.01);
            return Err(Duration::from_secs_f64(wait_s).min(MAX_RETRY_AFTER));
        }
        usage.tokens -= 1.0;
        usage.admitted.count();
        Ok(())
    }

    /// State of a workspace's quota; zero when no request of the workspace has arrived.
    pub fn state(&self, workspace: &str) -> QuotaState {
        self.workspaces.get(workspace).map_or_else(QuotaState::default, |usage| QuotaState {
            admitted: usage.admitted.total(),
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
    pub fn admitted_in_window(&self) -> impl Iterator<Item = (&str, AdmittedCounts)> {
        let counts = self.workspaces.iter().map(|(name, usage)| (name.as_str(), usage.admitted));
        counts.filter(|(_, admitted)| *admitted != AdmittedCounts::default())
    }
}
