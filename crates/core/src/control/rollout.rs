//! Rollouts: writing the next step to the root record.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    declaration::Declaration,
    event::{Event, Kind},
    rollout::{RolloutMsg, RolloutPhase, RolloutRecords, host::CONTROLLER_COUNT},
    time::{Instant, UnixMillis},
};

/// Time after which a step that did not come into force is written again.
const ROLLOUT_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

impl Control {
    /// The current wall-clock time, once it was given to this host.
    fn wall_clock_time(&self, now: Instant) -> Option<UnixMillis> {
        let (set_at, unix_ms) = self.wall_clock?;
        Some(unix_ms + now.saturating_since(set_at).as_millis() as u64)
    }

    pub(super) fn handle_rollout_msg(&mut self, msg: &RolloutMsg) {
        self.rollouts.handle_message(msg);
    }

    /// Writes the next rollout records, if any are due and this host ranks among the controllers.
    pub(super) fn advance_rollouts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(unix_ms) = self.wall_clock_time(now) else { return };
        let root = &self.config.root;
        let is_write_pending =
            self.rollouts_written_at.is_some_and(|at| at + ROLLOUT_WRITE_TIMEOUT > now);
        let own_domain = self
            .members
            .live_members(now)
            .filter(|m| !m.last_heartbeat.stopping)
            .map(|m| &m.last_heartbeat.host);
        let remote = self.remote_domains.live_hosts().filter(|h| !h.stopping).map(|h| &h.info);
        let rank = own_domain.chain(remote).filter(|h| h.name < self.me.name).count();
        if root.revision == 0 || rank >= CONTROLLER_COUNT || self.stopping || is_write_pending {
            return;
        }
        let mut events = Vec::new();
        let next = self.rollouts.next_records(
            unix_ms,
            rank,
            &self.declaration,
            &root.rollouts,
            &mut events,
        );
        effects.extend(events.into_iter().map(Effect::Log));
        let Some(next) = next else { return };
        let write_id = format!("{}-{}-rollout", self.me.incarnation, root.revision);
        let root = root.with_rollouts(next, &write_id);
        effects.push(Effect::SwapRoot(Box::new(root)));
        self.rollouts_written_at = Some(now);
    }
}

/// Log events for the differences between two sets of rollout records.
pub(super) fn change_events(
    declaration: &Declaration,
    old: &RolloutRecords,
    new: &RolloutRecords,
) -> Vec<Event> {
    let mut events = Vec::new();
    for rollout in declaration.rollouts.values() {
        let name = &rollout.name;
        let Some(record) = new.rollouts.get(name).filter(|r| old.rollouts.get(name) != Some(*r))
        else {
            continue;
        };
        let (kind, detail) = match record.state {
            RolloutPhase::Running => {
                let percent = f64::from(record.share) / 10_000.0;
                (Kind::RolloutStep, format!("{name}: step {}, {percent}%", record.step))
            }
            RolloutPhase::Done => (Kind::RolloutDone, name.clone()),
            RolloutPhase::RolledBack => {
                (Kind::RolloutTakenBack, format!("{name}: {}", record.evidence))
            }
        };
        events.push(Event::new(kind, detail));
    }
    events
}
