//! Rollouts: writing the next step to the root record.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    event::{Event, Kind},
    rollout::{Records, RolloutMsg, State, host::CONTROLLERS},
    time::{Instant, UnixMillis},
    world::World,
};

/// Time after which a step that did not come into force is written again.
const ROLLOUT_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

impl Control {
    /// The current wall-clock time, once it was given to this host.
    fn wall_clock_time(&self, now: Instant) -> Option<UnixMillis> {
        let (set_at, date) = self.wall_clock?;
        Some(date + now.saturating_since(set_at).as_millis() as u64)
    }

    pub(super) fn handle_rollout_msg(&mut self, msg: &RolloutMsg) {
        self.rollouts.hear(msg);
    }

    /// Writes the next rollout records, if any are due and this host ranks among the controllers.
    pub(super) fn advance_rollouts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(date) = self.wall_clock_time(now) else { return };
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
        if root.revision == 0 || rank >= CONTROLLERS || self.stopping || is_write_pending {
            return;
        }
        let mut events = Vec::new();
        let next = self.rollouts.next(date, rank, &self.world, &root.rollouts, &mut events);
        effects.extend(events.into_iter().map(Effect::Log));
        let Some(next) = next else { return };
        let write_id = format!("{}-{}-rollout", self.me.incarnation, root.revision);
        let root = root.with_rollouts(next, &write_id);
        effects.push(Effect::SwapRoot(Box::new(root)));
        self.rollouts_written_at = Some(now);
    }
}

/// Log events for the differences between two sets of rollout records.
pub(super) fn changes(world: &World, old: &Records, new: &Records) -> Vec<Event> {
    let mut events = Vec::new();
    for movement in world.moves.values() {
        let name = &movement.name;
        let Some(record) = new.moves.get(name).filter(|r| old.moves.get(name) != Some(*r)) else {
            continue;
        };
        let (kind, detail) = match record.state {
            State::Running => {
                let percent = f64::from(record.share) / 10_000.0;
                (Kind::RolloutStep, format!("{name}: step {}, {percent}%", record.step))
            }
            State::Done => (Kind::RolloutDone, name.clone()),
            State::TakenBack => (Kind::RolloutTakenBack, format!("{name}: {}", record.evidence)),
        };
        events.push(Event::new(kind, detail));
    }
    events
}
