//! The next step of each move, as one host would write it.
//!
//! Any host may write; the compare-and-swap of the root record lets one win. Hosts with higher
//! names wait a little longer, so that as a rule only one tries.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Record, Records, RolloutMsg, State, Tally,
    judge::Judge,
    record::{has_target, next_share},
};
use crate::{
    declaration::{Declaration, Move, fields::WHOLE_PPM},
    event::{Event, Kind},
    host::Incarnation,
    time::UnixMillis,
};

/// Shortest time between two steps.
pub const MIN_STEP: Duration = Duration::from_secs(2);
/// Part of the time from start to end that is kept in reserve, as a divisor.
const RESERVE_DIVISOR: u64 = 10;
/// Requests of the new version, over all hosts, that a step should have seen.
const MIN_SEEN: u64 = 20;
/// Time that each host waits longer than the one before it.
const RANK_DELAY: Duration = Duration::from_millis(500);

/// What this host has heard about one move.
#[derive(Clone, Debug, Default)]
struct Heard {
    stopped: Option<String>,
    hosts: BTreeMap<Incarnation, (Tally, Tally)>,
    judge: Judge,
    /// Requests of the new version seen when the step in force began.
    at_step: (u32, u64),
    late: bool,
}

impl Heard {
    fn seen(&self) -> u64 {
        self.hosts.values().map(|(_, new)| new.ended).sum()
    }
}

/// State of the host that may write the next step.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    moves: BTreeMap<String, Heard>,
}

impl Controller {
    /// Takes in what another host says.
    pub fn hear(&mut self, msg: &RolloutMsg) {
        match msg {
            RolloutMsg::Stopped { movement, evidence } => {
                let heard = self.moves.entry(movement.clone()).or_default();
                heard.stopped.get_or_insert_with(|| evidence.clone());
            }
            RolloutMsg::Seen { movement, host, old, new } => {
                let heard = self.moves.entry(movement.clone()).or_default();
                let before = heard.hosts.insert(*host, (*old, *new)).unwrap_or_default();
                heard.judge.see_old(&old.since(&before.0));
                if heard.judge.see_new(&new.since(&before.1)) {
                    let mut all = Tally::default();
                    heard.hosts.values().for_each(|(_, new)| all.add(new));
                    let evidence = format!(
                        "over all hosts {} of {} failed and {} of {} were slow",
                        all.bad, all.ended, all.slow, all.timed
                    );
                    heard.stopped.get_or_insert(evidence);
                }
            }
        }
    }

    /// Moves that were found bad, with the evidence.
    pub fn stops(&self) -> impl Iterator<Item = (&str, &str)> {
        self.moves.iter().filter_map(|(name, h)| Some((name.as_str(), h.stopped.as_deref()?)))
    }

    /// The records to write next, if anything is due; `rank` is this host's place among the live.
    pub fn next(
        &mut self,
        now: UnixMillis,
        rank: usize,
        declaration: &Declaration,
        records: &Records,
        events: &mut Vec<Event>,
    ) -> Option<Records> {
        let mut next = records.clone();
        self.moves.retain(|name, _| declaration.moves.values().any(|m| m.name == *name));
        next.moves.retain(|name, _| declaration.moves.values().any(|m| m.name == *name));
        for (key, route) in &declaration.routes {
            if let Some(base) = records.base(declaration, key) {
                next.versions.entry(route.name.clone()).or_insert(base);
            }
        }
        next.versions.retain(|route, _| declaration.route_names.contains_key(route));
        let delay = RANK_DELAY.as_millis() as u64 * rank as u64;
        for movement in declaration.moves.values() {
            self.advance(now, delay, declaration, movement, &mut next, events);
        }
        (next != *records).then_some(next)
    }

    fn advance(
        &mut self,
        now: UnixMillis,
        delay: u64,
        declaration: &Declaration,
        movement: &Move,
        next: &mut Records,
        events: &mut Vec<Event>,
    ) {
        let heard = self.moves.entry(movement.name.clone()).or_default();
        let route = &declaration.routes[movement.route].name;
        let record = next.of(declaration, movement).cloned();
        let is_base = next.versions.get(route) == Some(&movement.from);
        match record {
            None if now < movement.start + delay || !is_base || heard.stopped.is_some() => {}
            None if !has_target(declaration, movement) => {}
            None if is_busy(declaration, movement, next) => {}
            None => {
                let record = Record {
                    route: route.clone(),
                    from: movement.from.clone(),
                    to: movement.to.clone(),
                    step: 1,
                    share: next_share(0, movement.cap),
                    state: State::Running,
                    since: now,
                    evidence: String::new(),
                };
                next.moves.insert(movement.name.clone(), record);
            }
            Some(mut record) if record.state != State::TakenBack && heard.stopped.is_some() => {
                record.state = State::TakenBack;
                record.share = 0;
                record.since = now;
                record.evidence = heard.stopped.clone().unwrap_or_default();
                next.versions.insert(route.clone(), movement.from.clone());
                next.moves.insert(movement.name.clone(), record);
            }
            Some(record) if record.state == State::Running => {
                heard.warn_if_late(movement, &record, events);
                if heard.is_due(now.saturating_sub(delay), movement, &record) {
                    let record = step(now, movement, record);
                    if record.state == State::Done {
                        next.versions.insert(route.clone(), movement.to.clone());
                    }
                    next.moves.insert(movement.name.clone(), record);
                }
            }
            Some(_) => {}
        }
    }
}

impl Heard {
    fn is_due(&mut self, now: UnixMillis, movement: &Move, record: &Record) -> bool {
        if self.at_step.0 != record.step {
            self.at_step = (record.step, self.seen());
        }
        let steps = steps_left(movement, record);
        let shortest = MIN_STEP.as_millis() as u64;
        let spent = now.saturating_sub(record.since);
        let target = target(movement);
        let interval = (target.saturating_sub(record.since) / steps).max(shortest);
        let enough = self.seen().saturating_sub(self.at_step.1) >= MIN_SEEN;
        let no_slack = now + shortest * steps >= target;
        spent >= interval && (enough || no_slack)
    }

    fn warn_if_late(&mut self, movement: &Move, record: &Record, events: &mut Vec<Event>) {
        let needed = MIN_STEP.as_millis() as u64 * steps_left(movement, record);
        if !self.late && record.since + needed > movement.finish_by {
            self.late = true;
            let detail =
                format!("{}: {} steps are left", movement.name, steps_left(movement, record));
            events.push(Event::new(Kind::RolloutLate, detail));
        }
    }
}

/// Steps until the move is done; the last one holds the whole share before it is called done.
fn steps_left(movement: &Move, record: &Record) -> u64 {
    let left = WHOLE_PPM.saturating_sub(record.share);
    u64::from(left.div_ceil(movement.cap.max(1))) + 1
}

fn target(movement: &Move) -> UnixMillis {
    movement.finish_by - (movement.finish_by - movement.start) / RESERVE_DIVISOR
}

fn step(now: UnixMillis, movement: &Move, mut record: Record) -> Record {
    record.since = now;
    if record.share >= WHOLE_PPM {
        record.state = State::Done;
        return record;
    }
    record.step += 1;
    record.share = next_share(record.share, movement.cap);
    record
}

/// Whether another move of the same route is running.
fn is_busy(declaration: &Declaration, movement: &Move, records: &Records) -> bool {
    let mut moves = declaration.moves.values().filter(|m| m.route == movement.route);
    moves.any(|m| records.of(declaration, m).is_some_and(|r| r.state == State::Running))
}
