//! Servers that announced in a response that they are about to stop.
//!
//! The announcement holds for one incarnation of a server. It is kept apart from the copy of the
//! store's entries, because the entry of a leaving server may expire and be written again.

use std::{collections::HashMap, time::Duration};

use super::{server::ServerEntry, stable_hash};
use crate::time::Instant;

/// Time for which a host includes its own observation in its digests.
const REPORT_PERIOD: Duration = Duration::from_secs(10);
/// Time for which a leaving server is remembered after its entry has disappeared from the store.
const RETENTION: Duration = Duration::from_secs(600);

/// Hash of a server's id and start time, identical on all hosts.
pub type IncarnationHash = u64;

/// Computes the hash of the incarnation that an entry announces.
pub fn incarnation_hash(entry: &ServerEntry) -> IncarnationHash {
    let started = entry.started_unix_ms.unwrap_or_default().to_le_bytes();
    stable_hash(stable_hash(10, entry.id.as_bytes()), &started)
}

/// Incarnations of servers that are about to stop, as seen by this host or reported by others.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    /// When each incarnation was last known to be announced.
    known: HashMap<IncarnationHash, Instant>,
    /// When this host itself received the announcement.
    observed_at: HashMap<IncarnationHash, Instant>,
}

impl LeavingServers {
    /// Records an announcement in a response that this host received.
    pub fn observe(&mut self, now: Instant, server: IncarnationHash) {
        self.observed_at.entry(server).or_insert(now);
        self.insert(now, server);
    }

    /// Records an announcement that another host reported; returns whether it is new.
    pub fn insert(&mut self, now: Instant, server: IncarnationHash) -> bool {
        self.known.insert(server, now).is_none()
    }

    /// Whether an incarnation is about to stop.
    pub fn contains(&self, server: IncarnationHash) -> bool {
        self.known.contains_key(&server)
    }

    /// Forgets an incarnation whose server has restarted without a start time in its entry.
    pub fn remove(&mut self, server: IncarnationHash) {
        self.known.remove(&server);
        self.observed_at.remove(&server);
    }

    /// Incarnations that this host reports to the other hosts.
    pub fn to_report(&self) -> impl Iterator<Item = IncarnationHash> {
        self.observed_at.keys().copied()
    }

    /// Removes what is no longer reported or remembered; `is_announced` tells whether the store
    /// still has an entry of the incarnation.
    pub fn expire(&mut self, now: Instant, is_announced: impl Fn(IncarnationHash) -> bool) {
        self.observed_at.retain(|_, at| now.saturating_since(*at) <= REPORT_PERIOD);
        self.known.retain(|server, at| {
            if is_announced(*server) {
                *at = now;
            }
            now.saturating_since(*at) <= RETENTION
        });
    }
}
