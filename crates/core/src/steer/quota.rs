//! Workspace quotas over all hosts together.
//!
//! Each host counts what it admits in the sliding window and tells the others. What the window still
//! admits is the headroom; per period each host may use only a small part of it, so that hosts which
//! have not yet heard of each other's requests stay within the bound together. A host that is not
//! heard counts as if it used its even part of the whole window.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{catalog::Workspace, terms::Terms};
use crate::time::Instant;

/// Part of the permitted requests in a window that is used; the rest covers requests in transit.
const USED_PART: f64 = 0.92;
/// Part of the headroom that all hosts together may use before they hear of it.
const PERIOD_PART: f64 = 0.15;
/// Part of that which is split evenly; the rest follows demand.
const EVEN_PART: f64 = 0.3;
/// Tokens above one that a host may hold while the whole window is free, whatever the number of hosts:
/// requests of a workspace come in clumps.
const MIN_CLUMP: f64 = 2.0;
/// Tokens above one that a host may hold where few hosts share a workspace.
const MAX_CLUMP: f64 = 3.0;
/// Part of the headroom that all hosts together may hold for clumps above [`MIN_CLUMP`].
const HELD_PART: f64 = 0.33;
/// Tokens of a host that has not seen the workspace yet: with many hosts, most requests of a small
/// workspace come to such a host.
const FIRST_TOKENS: f64 = 1.5;
/// Time within which hosts hear of each other's requests.
const HEARING_PERIOD: Duration = Duration::from_millis(200);
/// Slots into which the window is cut for counting.
const SLOTS_PER_WINDOW: u32 = 10;
/// Time that a caller waits for a token at most, as told to it.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Use of a workspace's quota at the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Elsewhere {
    /// Requests admitted in the last window by the hosts that are heard.
    pub used: f64,
    /// Hosts that may be alive, this one included.
    pub hosts: usize,
    /// Hosts that may be alive and are not heard.
    pub unheard: usize,
}

/// The inputs of a decision about a workspace's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaState {
    /// Requests that this host admitted in the last window.
    pub used: f64,
    /// Use at the other hosts.
    pub elsewhere: Elsewhere,
}

/// Use of one workspace's quota on this host.
#[derive(Clone, Debug, Default)]
struct Usage {
    admitted: VecDeque<(Instant, u32)>,
    tokens: f64,
    at: Instant,
    elsewhere: Elsewhere,
}

/// Use of all workspaces' quotas on one host.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    workspaces: HashMap<String, Usage>,
}

/// Requests that a window admits over all hosts.
fn allowance(terms: &Terms, workspace: &Workspace) -> f64 {
    let nominal = workspace.rate_per_s * terms.quota_window.as_secs_f64() + workspace.burst;
    (nominal * (1.0 + terms.quota_overage) + terms.quota_slack) * USED_PART
}

impl Usage {
    fn used(&self) -> f64 {
        self.admitted.iter().map(|(_, n)| f64::from(*n)).sum()
    }

    fn expire(&mut self, now: Instant, terms: &Terms) {
        // A slot counts until its last request has left the window.
        let slot = terms.quota_window / SLOTS_PER_WINDOW;
        while self.admitted.front().is_some_and(|(at, _)| *at + terms.quota_window + slot <= now) {
            self.admitted.pop_front();
        }
    }

    fn count(&mut self, now: Instant, terms: &Terms) {
        let slot = terms.quota_window / SLOTS_PER_WINDOW;
        match self.admitted.back_mut() {
            Some((at, n)) if now < *at + slot => *n += 1,
            _ => self.admitted.push_back((now, 1)),
        }
    }

    /// Earns tokens from the headroom and returns the rate at which they come, per second.
    fn earn(&mut self, now: Instant, terms: &Terms, workspace: &Workspace) -> f64 {
        let hosts = self.elsewhere.hosts.max(1) as f64;
        let allowance = allowance(terms, workspace);
        let own = self.used();
        let reserved = allowance * self.elsewhere.unheard as f64 / hosts;
        let headroom = (allowance - own - self.elsewhere.used - reserved).max(0.0);
        let total = own + self.elsewhere.used;
        let by_demand = if total > 0.0 { own / total } else { 1.0 / hosts };
        let part = EVEN_PART / hosts + (1.0 - EVEN_PART) * by_demand;
        let per_period = headroom * PERIOD_PART * part;
        let rate = per_period / HEARING_PERIOD.as_secs_f64();
        let span = now.saturating_since(self.at).as_secs_f64();
        let spread = (HELD_PART * headroom / hosts).min(MAX_CLUMP);
        let clump = spread.max(MIN_CLUMP * headroom / allowance);
        let depth = per_period.max(1.0 + clump);
        self.tokens = (self.tokens + span * rate).min(depth).min(headroom);
        self.at = now;
        rate
    }
}

impl Quotas {
    /// Takes a token; the error is the time until there is one. `elsewhere` says what the other hosts
    /// use when the workspace is new here.
    pub fn take(
        &mut self,
        now: Instant,
        terms: &Terms,
        workspace: &Workspace,
        elsewhere: impl FnOnce() -> Elsewhere,
    ) -> Result<(), Duration> {
        if workspace.rate_per_s <= 0.0 {
            return Ok(());
        }
        let usage = self.workspaces.entry(workspace.name.clone()).or_insert_with(|| Usage {
            tokens: FIRST_TOKENS,
            at: now,
            elsewhere: elsewhere(),
            ..Usage::default()
        });
        usage.expire(now, terms);
        let rate = usage.earn(now, terms, workspace);
        if usage.tokens < 1.0 {
            let wait = (1.0 - usage.tokens) / rate.max(0.01);
            return Err(Duration::from_secs_f64(wait).min(MAX_WAIT));
        }
        usage.tokens -= 1.0;
        usage.count(now, terms);
        Ok(())
    }

    /// Use of a workspace's quota; empty when no request of it has come.
    pub fn state(&self, workspace: &str) -> QuotaState {
        self.workspaces.get(workspace).map_or_else(QuotaState::default, |usage| QuotaState {
            used: usage.used(),
            elsewhere: usage.elsewhere,
        })
    }

    /// Takes over what the other hosts say.
    pub fn update(&mut self, now: Instant, terms: &Terms, of: impl Fn(&str) -> Elsewhere) {
        for (name, usage) in &mut self.workspaces {
            usage.expire(now, terms);
            usage.elsewhere = of(name);
        }
    }

    /// Requests of each workspace that this host admitted in the last window.
    pub fn used(&self) -> impl Iterator<Item = (&str, f64)> {
        let used = self.workspaces.iter().map(|(name, usage)| (name.as_str(), usage.used()));
        used.filter(|(_, used)| *used > 0.0)
    }
}
