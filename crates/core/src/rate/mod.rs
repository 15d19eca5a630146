//! Rate and burst of workspaces: token buckets whose shares never add up to more than declared.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{time::Instant, view::View};

/// Tokens in millionths.
pub type MicroTokens = u64;
/// One token: the right to send one request.
pub const TOKEN: MicroTokens = 1_000_000;

/// Messages between hosts about rates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateMsg {
    /// Asks for tokens of a workspace.
    Want {
        /// Name of the workspace.
        workspace: String,
        /// How many tokens, in millionths.
        tokens: MicroTokens,
    },
}

/// Token bucket of one workspace on one host.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens at the moment `filled`.
    tokens: MicroTokens,
    /// Most tokens that the bucket holds.
    cap: MicroTokens,
    /// Tokens in millionths added per second.
    per_second: MicroTokens,
    filled: Instant,
}

impl Bucket {
    fn fill(&mut self, now: Instant) {
        let micros = now.saturating_since(self.filled).as_micros() as u64;
        let added = u128::from(micros) * u128::from(self.per_second) / 1_000_000;
        if added > 0 {
            self.tokens = self.tokens.saturating_add(added as u64).min(self.cap);
            self.filled = now;
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        self.fill(now);
        let enough = self.tokens >= TOKEN;
        if enough {
            self.tokens -= TOKEN;
        }
        enough
    }
}

/// Buckets of all workspaces on one host.
#[derive(Clone, Debug, Default)]
pub struct Buckets {
    by_workspace: HashMap<String, Bucket>,
}

impl Buckets {
    /// Sets the shares of this host from a new view. A new bucket starts empty.
    pub fn install(&mut self, now: Instant, view: &View) {
        let seats = u64::from(view.world.seats().max(1));
        let part = u64::from(view.seat.is_some());
        for workspace in view.world.workspaces.values() {
            let cap = u64::from(workspace.burst) * TOKEN * part / seats;
            let per_second = u64::from(workspace.rate) * TOKEN * part / seats;
            let bucket = self.by_workspace.entry(workspace.name.clone()).or_insert(Bucket {
                tokens: 0,
                cap,
                per_second,
                filled: now,
            });
            bucket.fill(now);
            bucket.cap = cap;
            bucket.per_second = per_second;
            bucket.tokens = bucket.tokens.min(cap);
        }
        self.by_workspace.retain(|name, _| view.world.workspace_names.contains_key(name));
    }

    /// Takes one token of a workspace.
    pub fn take(&mut self, now: Instant, workspace: &str) -> bool {
        self.by_workspace.get_mut(workspace).is_some_and(|b| b.take(now))
    }
}
