//! The rollout part of the control state: writing the next step.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    declaration::Declaration,
    event::{Event, Kind},
    rollout::{RolloutMsg, RolloutPhase, RolloutRecords, host::CONTROLLERS},
    time::{Instant, UnixMillis},
};

/// Time after which a step whose write had no effect is written again.
const WRITE_LIMIT: Duration = Duration::from_secs(1);

impl Control {
    /// Wall-clock time now, once the date was told.
    fn date(&self, now: Instant) -> Option<UnixMillis> {
        let (told, date) = self.date?;
        Some(date + now.saturating_since(told).as_millis() as u64)
    }

    pub(super) fn hear_rollout(&mut self, msg: &RolloutMsg) {
        self.rollouts.handle_message(msg);
    }

    /// Writes the next records of rollouts, if some are due and this host's turn has come.
    pub(super) fn advance_rollouts(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let Some(date) = self.date(now) else { return };
        let root = &self.held.root;
        let written = self.wrote_rollouts.is_some_and(|at| at + WRITE_LIMIT > now);
        let near = self.members.live(now).filter(|m| !m.last.stopping).map(|m| &m.last.host);
        let far = self.fleet.live().filter(|h| !h.stopping).map(|h| &h.info);
        let rank = near.chain(far).filter(|h| h.name < self.me.name).count();
        if root.revision == 0 || rank >= CONTROLLERS || self.stopping || written {
            return;
        }
        let mut events = Vec::new();
        let next =
            self.rollouts.next_records(date, rank, &self.declaration, &root.rollouts, &mut events);
        fx.extend(events.into_iter().map(Effect::Log));
        let Some(next) = next else { return };
        let write_id = format!("{}-{}-rollout", self.me.incarnation, root.revision);
        let root = root.with_rollouts(next, &write_id);
        fx.push(Effect::SwapRoot(Box::new(root)));
        self.wrote_rollouts = Some(now);
    }
}

/// Events of what changed between two records.
pub(super) fn changes(
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
