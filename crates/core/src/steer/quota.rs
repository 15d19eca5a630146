//! Workspace quotas, split between hosts by demand.
//!
//! Each host refills a bucket with its share of the rate. Shares follow the demand that hosts tell
//! each other; while a host that may be alive is not heard, this host's share does not grow.

use std::{collections::HashMap, time::Duration};

use super::catalog::Workspace;
use crate::time::Instant;

/// Part of a workspace's rate that is split evenly, whatever the demand.
const EVEN_PART: f64 = 0.2;
/// Weight of the newest period in the mean demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Time between two updates of shares.
pub const SHARE_PERIOD: Duration = Duration::from_millis(200);

/// Demand of a workspace as other hosts tell it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Elsewhere {
    /// Requests per second at the other hosts.
    pub demand: f64,
    /// Hosts that may be alive, this one included.
    pub hosts: usize,
    /// Whether each of them was heard lately.
    pub complete: bool,
}

/// Bucket of one workspace on one host.
#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    at: Instant,
    share: f64,
    asked: u32,
    demand: f64,
}

/// Buckets of all workspaces on one host.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    buckets: HashMap<String, Bucket>,
    updated: Instant,
}

impl Quotas {
    /// Takes a token; the error is the time until there is one.
    pub fn take(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        hosts: usize,
    ) -> Result<(), Duration> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        let even = 1.0 / hosts.max(1) as f64;
        let bucket = self.buckets.entry(workspace.name.clone()).or_insert_with(|| Bucket {
            tokens: workspace.burst * even,
            at: now,
            share: even,
            asked: 0,
            demand: 0.0,
        });
        bucket.asked += 1;
        let rate = workspace.rate * bucket.share;
        let depth = (workspace.burst * bucket.share).max(1.0);
        let earned = now.saturating_since(bucket.at).as_secs_f64() * rate;
        bucket.tokens = (bucket.tokens + earned).min(depth);
        bucket.at = now;
        if bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / rate.max(0.01);
            return Err(Duration::from_secs_f64(wait.min(60.0)));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Updates the demand and, from what other hosts say, the share of each workspace.
    pub fn update(&mut self, now: Instant, elsewhere: impl Fn(&str) -> Elsewhere) {
        let span = now.saturating_since(self.updated).as_secs_f64();
        if span < SHARE_PERIOD.as_secs_f64() {
            return;
        }
        self.updated = now;
        for (name, bucket) in &mut self.buckets {
            let seen = f64::from(std::mem::take(&mut bucket.asked)) / span;
            bucket.demand += DEMAND_WEIGHT * (seen - bucket.demand);
            let others = elsewhere(name);
            let even = 1.0 / others.hosts.max(1) as f64;
            let total = bucket.demand + others.demand;
            let by_demand = if total > 0.0 { bucket.demand / total } else { even };
            let share = EVEN_PART * even + (1.0 - EVEN_PART) * by_demand;
            bucket.share = if others.complete { share } else { share.min(bucket.share) };
        }
    }

    /// Demand of each workspace on this host, in requests per second.
    pub fn demand(&self) -> impl Iterator<Item = (&str, f64)> {
        self.buckets.iter().filter(|(_, b)| b.demand > 0.05).map(|(n, b)| (n.as_str(), b.demand))
    }
}
