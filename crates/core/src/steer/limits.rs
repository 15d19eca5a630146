//! Request rates that servers state in their responses, as the highest ones that they take from all
//! hosts together.
//!
//! A limit holds for one incarnation of a server until it responds without one. Only a few hosts send
//! requests to a limited server, so the others learn the changes from their digests. Each change has a
//! revision, since reports arrive late and in any order.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::leaving::IncarnationHash;
use crate::time::Instant;

/// Time for which a host includes its own observation in its digests.
const REPORT_PERIOD: Duration = Duration::from_secs(10);
/// Time for which a limit is remembered after the server's entry has disappeared from the store.
const RETENTION: Duration = Duration::from_secs(600);

/// What a response says about the server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The server has no limit.
    #[default]
    None,
    /// Requests per second that the server takes from all hosts together.
    PerSecond(f64),
    /// The value cannot be read, so that a limit may or may not be in force.
    Unreadable,
}

/// Limit of one incarnation of a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitState {
    /// Number of changes that the host which reports this has known.
    pub revision: u32,
    /// Requests per second; `None` after the limit has ended.
    pub rate: Option<f64>,
}

impl LimitState {
    /// Whether this state replaces `known`. Of two changes that hosts observed at the same time, the
    /// one with the lower limit applies.
    fn replaces(&self, known: &LimitState) -> bool {
        let key = |state: &LimitState| (state.revision, -state.rate.unwrap_or(f64::INFINITY));
        key(self) > key(known)
    }
}

/// Limits by incarnation, as a host reports them.
pub type LimitReport = BTreeMap<IncarnationHash, LimitState>;

/// Adds the limits that another host reports.
pub fn merge_report(report: &mut LimitReport, other: &LimitReport) {
    for (server, state) in other {
        let known = report.entry(*server).or_insert(*state);
        if state.replaces(known) {
            *known = *state;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    state: LimitState,
    /// When the limit was last stated or reported. Responses to requests that were sent before may
    /// be older than the limit.
    stated_at: Instant,
    /// When the incarnation was last known to be announced.
    announced_at: Instant,
}

/// Limits of servers, as seen by this host or reported by others.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    known: HashMap<IncarnationHash, KnownLimit>,
    /// When a response to this host last stated the limit or ended it.
    observed_at: HashMap<IncarnationHash, Instant>,
}

impl ServerLimits {
    /// Records what a response to a request that was sent at `sent_at` says; returns whether the
    /// limit has changed.
    pub fn observe(
        &mut self,
        now: Instant,
        sent_at: Instant,
        server: IncarnationHash,
        stated: StatedLimit,
    ) -> bool {
        let known = self.known.get(&server);
        let known_rate = known.and_then(|k| k.state.rate);
        let rate = match stated {
            StatedLimit::Unreadable => return false,
            StatedLimit::PerSecond(rate) => Some(rate),
            StatedLimit::None if known_rate.is_none() => return false,
            StatedLimit::None if known.is_some_and(|k| sent_at <= k.stated_at) => return false,
            StatedLimit::None => None,
        };
        self.observed_at.insert(server, now);
        let revision = known.map_or(0, |k| k.state.revision);
        let is_changed = rate != known_rate;
        let state = LimitState { revision: revision + u32::from(is_changed), rate };
        self.known.insert(server, KnownLimit { state, stated_at: now, announced_at: now });
        is_changed
    }

    /// Records a limit that another host reported; returns whether it is a change.
    pub fn insert(&mut self, now: Instant, server: IncarnationHash, state: LimitState) -> bool {
        if self.known.get(&server).is_some_and(|known| !state.replaces(&known.state)) {
            return false;
        }
        let known = KnownLimit { state, stated_at: now, announced_at: now };
        let before = self.known.insert(server, known);
        before.and_then(|k| k.state.rate) != state.rate
    }

    /// Limit of an incarnation in requests per second.
    pub fn rate(&self, server: IncarnationHash) -> Option<f64> {
        self.known.get(&server)?.state.rate
    }

    /// Limits that this host reports to the other hosts.
    pub fn to_report(&self) -> LimitReport {
        let known = |server: &IncarnationHash| Some((*server, self.known.get(server)?.state));
        self.observed_at.keys().filter_map(known).collect()
    }

    /// Removes what is no longer reported or remembered; `is_announced` tells whether the store still
    /// has an entry of the incarnation.
    pub fn expire(&mut self, now: Instant, is_announced: impl Fn(IncarnationHash) -> bool) {
        self.observed_at.retain(|_, at| now.saturating_since(*at) <= REPORT_PERIOD);
        self.known.retain(|server, known| {
            if is_announced(*server) {
                known.announced_at = now;
            }
            now.saturating_since(known.announced_at) <= RETENTION
        });
    }
}
