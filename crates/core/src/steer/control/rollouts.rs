//! Recorded states of rollouts, and the states that this host should record.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::ControlState;
use crate::{
    host::Incarnation,
    steer::{
        digest::{RolloutProgress, StoreProgress},
        rollout::{RolloutOrder, RolloutState, Verdict},
        stable_hash,
    },
    time::Instant,
};

/// Time for which a version must be announced without a rollout order before it counts as regular,
/// since the order may arrive after the first servers of its version.
const VERSION_WITHOUT_ORDER_DELAY: Duration = Duration::from_secs(4);
/// Time that a host waits for each higher-ranked host to record the state of a rollout.
const WRITER_DELAY_PER_RANK: Duration = Duration::from_millis(800);

/// A rollout state that this host should record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueRecord {
    /// Order of the rollout.
    pub order: RolloutOrder,
    /// The state to record.
    pub state: RolloutState,
}

impl ControlState {
    /// Applies the recorded state of a rollout if it belongs to the current order.
    pub(super) fn apply_rollout_record(&mut self, service: &str) {
        let Some(rollout) = Arc::make_mut(&mut self.view.rollouts).get_mut(service) else {
            return;
        };
        let order = &rollout.order;
        let record = self.rollout_records.get(service);
        let record = record.filter(|r| r.version == order.version && r.revision > order.revision);
        if let Some(record) = record {
            rollout.advance(record.state);
        }
    }

    /// Updates the regular versions of each service: those that get requests without a rollout.
    pub(super) fn update_regular_versions(&mut self, now: Instant) {
        let mut announced: HashMap<&str, HashSet<&str>> = HashMap::new();
        for entry in self.view.servers.values() {
            announced.entry(&entry.service).or_default().insert(&entry.version);
        }
        let mut versions_by_service = (*self.view.regular_versions).clone();
        for (service, versions) in announced {
            let rollout = self.view.rollouts.get(service);
            let regular = versions_by_service.entry(service.to_owned()).or_default();
            if let Some(rollout) = rollout {
                if rollout.state == RolloutState::Succeeded {
                    *regular = HashSet::from([rollout.order.version.clone()]);
                }
                continue;
            }
            if regular.is_empty() || !versions.iter().any(|v| regular.contains(*v)) {
                regular.extend(versions.iter().map(|v| (*v).to_owned()));
                continue;
            }
            let new_versions: Vec<&str> =
                versions.into_iter().filter(|v| !regular.contains(*v)).collect();
            for version in new_versions {
                let key = (service.to_owned(), version.to_owned());
                let first_seen = *self.versions_without_order.entry(key).or_insert(now);
                if now.saturating_since(first_seen) > VERSION_WITHOUT_ORDER_DELAY {
                    regular.insert(version.to_owned());
                }
            }
        }
        if versions_by_service != *self.view.regular_versions {
            self.is_view_changed = true;
            self.view.regular_versions = Arc::new(versions_by_service);
        }
    }

    /// Applies state and age of the rollouts that another host reports. The age is the longest one
    /// that any host has measured on its own steady clock, since the time of day may differ between
    /// hosts and may change during a rollout.
    pub(super) fn merge_rollout_progress(&mut self, now: Instant, progress: &StoreProgress) {
        for reported in &progress.rollouts {
            let Some(rollout) = self.view.rollouts.get(&reported.service) else { continue };
            if rollout.order.revision != reported.order_revision {
                continue;
            }
            let started = now - reported.elapsed.min(rollout.order.duration.saturating_mul(2));
            if rollout.state == reported.state && started >= rollout.started {
                continue;
            }
            let rollouts = Arc::make_mut(&mut self.view.rollouts);
            let Some(rollout) = rollouts.get_mut(&reported.service) else { continue };
            rollout.started = rollout.started.min(started);
            rollout.advance(reported.state);
            self.is_view_changed = true;
        }
    }

    /// Returns the progress of each rollout, for the digests to other hosts.
    pub fn rollout_progress(&self, now: Instant) -> Vec<RolloutProgress> {
        let rollouts = self.view.rollouts.iter();
        rollouts
            .map(|(service, r)| RolloutProgress {
                service: service.clone(),
                order_revision: r.order.revision,
                state: r.state,
                elapsed: r.elapsed(now),
            })
            .collect()
    }

    /// Returns the rollout states that this host should record now.
    ///
    /// All hosts compute the same state. Each one waits for the higher-ranked hosts, so that
    /// usually only one writes; if two write, the precondition in the store rejects the second
    /// write.
    pub fn due_records(
        &mut self,
        now: Instant,
        verdict: impl Fn(&str) -> Verdict,
    ) -> Vec<DueRecord> {
        let rank = self.writer_rank();
        let mut due = Vec::new();
        for (service, rollout) in self.view.rollouts.iter() {
            if rollout.state != RolloutState::Running {
                continue;
            }
            let is_recorded = self.rollout_records.get(service).is_some_and(|r| {
                r.version == rollout.order.version && r.revision > rollout.order.revision
            });
            let next = match rollout.next_state(now, verdict(service)) {
                Some(state) => state,
                None if is_recorded => continue,
                None => RolloutState::Running,
            };
            let key = (service.clone(), next);
            let since = *self.due_since.entry(key).or_insert(now);
            if now.saturating_since(since) < WRITER_DELAY_PER_RANK * rank {
                continue;
            }
            due.push(DueRecord { order: rollout.order.clone(), state: next });
        }
        let rollouts = &self.view.rollouts;
        self.due_since.retain(|(service, _), _| {
            rollouts.get(service).is_some_and(|r| r.state == RolloutState::Running)
        });
        due
    }

    /// Returns the number of reachable hosts that should write before this one, at most 4.
    fn writer_rank(&self) -> u32 {
        let rank_hash = |incarnation: Incarnation| stable_hash(7, &incarnation.0.to_le_bytes());
        let own_hash = rank_hash(self.view.local_host.incarnation);
        let reachable = self.view.peers.iter().filter(|p| p.is_reachable && p.ready);
        reachable.filter(|p| rank_hash(p.host.incarnation) > own_hash).count().min(4) as u32
    }
}
