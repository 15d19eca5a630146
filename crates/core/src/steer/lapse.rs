//! Announcements that lapsed while the store was away.
//!
//! While the store is down, servers cannot renew their entries, and the entries of living servers may
//! lapse. They come back soon after the store does, so a removal that is learned then is held back
//! for a while. An outage that only this host has seen is told apart by the store's revision: it goes
//! on growing with the renewals of the servers.

use std::{collections::HashSet, time::Duration};

use super::{control::Change, server::ServerEntries};
use crate::time::Instant;

/// Time after the store's return during which a missing announcement may still come back.
const RETURN_DELAY: Duration = Duration::from_millis(2300);
/// Time without news of the store's revision after which it may have been away.
const SILENCE: Duration = Duration::from_millis(2000);
/// Part of the expected renewals below which the store has been away.
const RENEWED_PART: f64 = 0.3;

/// Removals that are held back.
#[derive(Clone, Debug, Default)]
pub struct Lapses {
    last: Option<(Instant, u64)>,
    hold_until: Instant,
    held: HashSet<String>,
}

impl Lapses {
    /// Notes the store's revision as it was learned now.
    pub fn observe(&mut self, now: Instant, at: u64, servers: usize, heartbeat: Duration) {
        if let Some((last, before)) = self.last {
            let silence = now.saturating_since(last);
            let renewals = silence.as_secs_f64() / heartbeat.as_secs_f64().max(0.001);
            let expected = servers as f64 * renewals;
            let grown = at.saturating_sub(before) as f64;
            if silence > SILENCE && grown < expected * RENEWED_PART {
                self.hold_until = now + RETURN_DELAY;
            }
        }
        self.last = Some((now, at.max(self.last.map_or(0, |l| l.1))));
    }

    /// Takes out removals that may be lapses. A server that has announced its leaving is gone.
    pub fn hold_back(&mut self, now: Instant, known: &ServerEntries, changes: &mut Vec<Change>) {
        let is_holding = now < self.hold_until;
        changes.retain(|change| match change {
            Change::ServerAnnounced(entry) => {
                self.held.remove(&entry.id);
                true
            }
            Change::ServerRemoved(id) if is_holding => {
                let is_draining = known.get(id).is_some_and(|s| s.draining);
                if !is_draining {
                    self.held.insert(id.clone());
                }
                is_draining
            }
            _ => true,
        });
    }

    /// Removals that have been held long enough.
    pub fn release(&mut self, now: Instant) -> Vec<Change> {
        if now < self.hold_until {
            return Vec::new();
        }
        self.held.drain().map(Change::ServerRemoved).collect()
    }
}
