//! Which changes of servers matter for the choice, so that hosts hand on only those.

use std::collections::VecDeque;

use super::{
    control::Change,
    mirror::{ItemChange, Mirror},
    server::{ServerEntries, ServerEntry},
};

/// Changes that are remembered; a host that is further behind takes a whole copy.
const REMEMBERED: usize = 4096;

/// Changes of server entries in the order of their revisions.
#[derive(Clone, Debug, Default)]
pub struct ServerNews {
    log: VecDeque<(u64, String)>,
    at: u64,
    /// Revision from which on the log is complete.
    since: u64,
}

/// What a host hands to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// Changes since the revision that the other host had.
    Changes(Vec<ItemChange>),
    /// The other host needs a whole copy.
    Copy,
}

impl ServerNews {
    /// Revision of the newest change that matters.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Notes changes as they are decoded, before they are applied to the known entries.
    pub fn note(&mut self, known: &ServerEntries, changes: &[(u64, String, Change)]) {
        for (revision, key, change) in changes {
            let matters = match change {
                Change::ServerAnnounced(entry) => {
                    known.get(&entry.id).is_none_or(|old| differs(old, entry))
                }
                Change::ServerRemoved(id) => known.contains_key(id),
                _ => false,
            };
            if matters {
                self.log.push_back((*revision, key.clone()));
                self.at = self.at.max(*revision);
            }
        }
        while self.log.len() > REMEMBERED {
            self.since = self.log.pop_front().map_or(self.since, |(revision, _)| revision);
        }
    }

    /// Notes that a whole copy was taken whose sender knows the news up to a revision.
    pub fn restart(&mut self, at: u64) {
        self.log.clear();
        self.since = self.since.max(at);
        self.at = self.at.max(at);
    }

    /// Notes that all news up to a revision were taken from another host.
    pub fn follow(&mut self, at: u64) {
        self.at = self.at.max(at);
    }

    /// What another host lacks that knows the news up to a revision.
    pub fn since(&self, revision: u64, items: &Mirror) -> Update {
        if revision < self.since || revision == 0 {
            return Update::Copy;
        }
        let mut keys: Vec<&(u64, String)> =
            self.log.iter().filter(|(changed, _)| *changed > revision).collect();
        keys.sort_unstable_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
        keys.dedup_by(|a, b| a.1 == b.1);
        let current = |(changed, key): &(u64, String)| match items.get(key) {
            Some(item) => ItemChange::Written(item.clone()),
            None => ItemChange::Removed { key: key.clone(), revision: *changed },
        };
        Update::Changes(keys.into_iter().map(current).collect())
    }
}

fn differs(old: &ServerEntry, new: &ServerEntry) -> bool {
    let steady = |e: &ServerEntry| ServerEntry { sequence: 0, ..e.clone() };
    steady(old) != steady(new)
}
