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
        rollout::{Rollout, RolloutOrder, RolloutState, Verdict},
        stable_hash,
    },
    time::Instant,
};

/// Time for which a version must be announced without a rollout order before it counts as regular,
/// since the order may arrive after the first servers of its version.
const VERSION_WITHOUT_ORDER_DELAY: Duration = Duration::from_secs(4);
/// Time that a host waits for each higher-ranked host to record the state of a rollout.
const WRITER_DELAY_PER_RANK: Duration = Duration::from_millis(800);

/// Number of higher-ranked hosts above which a host does not wait longer.
const MAX_WRITER_RANK: u32 = 4;

/// A rollout state that this host should record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueRecord {
    /// Order of the rollout.
    pub order: RolloutOrder,
    /// The state to record.
    pub state: RolloutState,
}

impl ControlState {
    /// Starts the rollout of an order that is newer than the known one. An order that was written
    /// again after the store had been restored does not start the rollout again.
    pub(super) fn apply_rollout_order(&mut self, now: Instant, order: RolloutOrder) {
        let service = order.service.clone();
        let rollouts = Arc::make_mut(&mut self.view.rollouts);
        match rollouts.get_mut(&service) {
            Some(known) if known.order.position >= order.position => return,
            Some(known) if known.is_written_again(now, &order) => {
                if known.order.position.era < order.position.era {
                    known.restored_at = Some(now);
                }
                known.order = order;
            }
            _ => {
                rollouts.insert(service.clone(), Rollout::new(order, now));
            }
        }
        self.apply_rollout_record(&service);
    }

    /// Whether an order does not start a rollout, because it is the known one or was written again
    /// after the store had been restored.
    pub fn is_repeated_order(&self, now: Instant, order: &RolloutOrder) -> bool {
        self.view.rollouts.get(&order.service).is_some_and(|known| {
            known.order.position >= order.position || known.is_written_again(now, order)
        })
    }

    /// Applies the recorded state of a rollout if it belongs to the current order.
    pub(super) fn apply_rollout_record(&mut self, service: &str) {
        let Some(rollout) = Arc::make_mut(&mut self.view.rollouts).get_mut(service) else {
            return;
        };
        let order = &rollout.order;
        let record = self.rollout_records.get(service);
        if let Some(record) = record.filter(|r| r.is_of(order)) {
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
            if rollout.order.position != reported.order {
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
                order: r.order.position,
                state: r.state,
                elapsed: r.elapsed(now),
            })
            .collect()
    }

    /// Returns the rollout states that this host should record now.
    ///
    /// All hosts compute the same state. Each one waits for the higher-ranked hosts, so that
    /// usually only one writes; if two write, the precondition in the store rejects the second
    /// write. After the store was restored from a copy that lacks the state of a rollout, only the
    /// highest-ranked hosts record it again, since the others have not read what they wrote.
    pub fn due_records(
        &mut self,
        now: Instant,
        verdict: impl Fn(&str) -> Verdict,
    ) -> Vec<DueRecord> {
        let rank = self.writer_rank();
        let mut due = Vec::new();
        for (service, rollout) in self.view.rollouts.iter() {
            let record = self.rollout_records.get(service);
            let recorded = record.filter(|r| r.is_of(&rollout.order)).map(|r| r.state);
            let is_restored = rollout.restored_at.is_some();
            let is_left_to_others = is_restored && rank >= MAX_WRITER_RANK;
            let next = match rollout.next_state(now, verdict(service)) {
                Some(state) => state,
                None if recorded == Some(rollout.state) || is_left_to_others => continue,
                None if rollout.state == RolloutState::Running && recorded.is_some() => continue,
                None if rollout.state != RolloutState::Running && !is_restored => continue,
                None => rollout.state,
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
            rollouts
                .get(service)
                .is_some_and(|r| r.state == RolloutState::Running || r.restored_at.is_some())
        });
        due
    }

    /// Returns the number of reachable hosts that should write before this one, at most
    /// [`MAX_WRITER_RANK`].
    fn writer_rank(&self) -> u32 {
        let rank_hash = |incarnation: Incarnation| stable_hash(7, &incarnation.0.to_le_bytes());
        let own_hash = rank_hash(self.view.local_host.incarnation);
        let reachable = self.view.peers.iter().filter(|p| p.is_reachable && p.ready);
        reachable
            .filter(|p| rank_hash(p.host.incarnation) > own_hash)
            .count()
            .min(MAX_WRITER_RANK as usize) as u32
    }
}
