//! Rollouts: what is recorded of them, and what this host should record.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::Control;
use crate::{
    host::Incarnation,
    steer::{
        digest::StoreProgress,
        rollout::{RolloutOrder, RolloutState},
        stable_hash,
    },
    time::{Instant, UnixMillis},
};

/// Time that a version may be announced without an order before it counts as regular.
const UNORDERED_VERSION_DELAY: Duration = Duration::from_secs(4);
/// Time that a host waits for each better placed one to record the state of a rollout.
const WRITER_STAGGER: Duration = Duration::from_millis(800);

/// A rollout state that this host should record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueRecord {
    /// The order.
    pub order: RolloutOrder,
    /// The state to record.
    pub state: RolloutState,
    /// When the rollout started.
    pub started: UnixMillis,
}

impl Control {
    /// Follows what is recorded of a rollout, as far as it belongs to the order.
    pub(super) fn adopt_record(&mut self, now: Instant, unix: UnixMillis, service: &str) {
        let Some(rollout) = Arc::make_mut(&mut self.view.rollouts).get_mut(service) else {
            return;
        };
        let order = &rollout.order;
        if let Some(start) = self.starts.get(service).filter(|s| s.order == order.revision) {
            let elapsed = Duration::from_millis(unix.saturating_sub(start.started));
            rollout.started = rollout.started.min(now - elapsed.min(order.duration * 2));
        }
        let record = self.records.get(service);
        let record = record.filter(|r| r.version == order.version && r.revision > order.revision);
        if let Some(record) = record {
            rollout.advance(record.state);
        }
    }

    /// Counts versions as regular that no rollout concerns.
    pub(super) fn admit_versions(&mut self, now: Instant) {
        let mut present: HashMap<&str, HashSet<&str>> = HashMap::new();
        for entry in self.view.servers.values() {
            present.entry(&entry.service).or_default().insert(&entry.version);
        }
        let mut regular = (*self.view.versions).clone();
        for (service, versions) in present {
            let rollout = self.view.rollouts.get(service);
            let known = regular.entry(service.to_owned()).or_default();
            if let Some(rollout) = rollout {
                if rollout.state == RolloutState::Succeeded {
                    *known = HashSet::from([rollout.order.version.clone()]);
                }
                continue;
            }
            if known.is_empty() || !versions.iter().any(|v| known.contains(*v)) {
                known.extend(versions.iter().map(|v| (*v).to_owned()));
                continue;
            }
            let unknown: Vec<&str> = versions.into_iter().filter(|v| !known.contains(*v)).collect();
            for version in unknown {
                let key = (service.to_owned(), version.to_owned());
                let since = *self.unordered.entry(key).or_insert(now);
                if now.saturating_since(since) > UNORDERED_VERSION_DELAY {
                    known.insert(version.to_owned());
                }
            }
        }
        if regular != *self.view.versions {
            self.view.versions = Arc::new(regular);
        }
    }

    pub(super) fn follow_rollouts(&mut self, progress: &StoreProgress) {
        for (service, order, state) in &progress.rollouts {
            let Some(rollout) = self.view.rollouts.get(service) else { continue };
            if rollout.order.revision == *order && rollout.state != *state {
                let rollouts = Arc::make_mut(&mut self.view.rollouts);
                let changed = rollouts.get_mut(service).is_some_and(|r| r.advance(*state));
                self.is_dirty |= changed;
            }
        }
    }

    /// How far the rollouts are, for the others.
    pub fn rollout_progress(&self) -> Vec<(String, u64, RolloutState)> {
        let rollouts = self.view.rollouts.iter();
        rollouts.map(|(service, r)| (service.clone(), r.order.revision, r.state)).collect()
    }

    /// Rollout states that this host should record now.
    ///
    /// All hosts come to the same state; each waits for the better placed ones, so that one of them
    /// usually writes, and the store's condition decides when two do.
    pub fn due_records(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        is_faulty: impl Fn(&str) -> bool,
    ) -> Vec<DueRecord> {
        let rank = self.writer_rank();
        let mut due = Vec::new();
        for (service, rollout) in self.view.rollouts.iter() {
            if rollout.state != RolloutState::Running {
                continue;
            }
            let recorded = self.records.get(service).is_some_and(|r| {
                r.version == rollout.order.version && r.revision > rollout.order.revision
            });
            let next = match rollout.next_state(now, is_faulty(service)) {
                Some(state) => state,
                None if recorded => continue,
                None => RolloutState::Running,
            };
            let key = (service.clone(), next);
            let since = *self.due.entry(key).or_insert(now);
            if now.saturating_since(since) < WRITER_STAGGER * rank {
                continue;
            }
            let elapsed = now.saturating_since(rollout.started).as_millis() as u64;
            let started = unix.saturating_sub(elapsed);
            due.push(DueRecord { order: rollout.order.clone(), state: next, started });
        }
        let rollouts = &self.view.rollouts;
        self.due.retain(|(service, _), _| {
            rollouts.get(service).is_some_and(|r| r.state == RolloutState::Running)
        });
        due
    }

    /// Hosts that should write before this one.
    fn writer_rank(&self) -> u32 {
        let weight = |life: Incarnation| stable_hash(7, &life.0.to_le_bytes());
        let me = weight(self.view.me.incarnation);
        let heard = self.view.peers.iter().filter(|p| p.is_heard && p.ready);
        heard.filter(|p| weight(p.host.incarnation) > me).count().min(4) as u32
    }
}
