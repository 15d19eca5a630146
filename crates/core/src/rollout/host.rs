//! Rollouts on one host: following the recorded share, judging, stopping.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use super::{RolloutMsg, State, judge::Judge, judge::Tally};
use crate::{
    control::PeerMsg,
    declaration::{PartsPerMillion, fields::WHOLE_PPM},
    event::{Event, Kind},
    host::Incarnation,
    route::health::Sample,
    time::Instant,
    traffic::Outbox,
    view::View,
};

/// Time between two reports to the hosts that may write the next step.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Hosts that a report goes to: those with the lowest names.
pub const CONTROLLERS: usize = 3;
/// An answer this many times slower than the old version's mean counts as bad.
const SLOW_FACTOR: f64 = 3.0;
/// Answers of the old version before its mean counts.
const MIN_OLD: u64 = 5;
/// Weight of the newest answer in the mean.
const WEIGHT: f64 = 0.05;

/// A running move as this host follows it.
#[derive(Clone, Debug)]
struct Active {
    movement: String,
    to: String,
    share: PartsPerMillion,
}

/// What one host knows of one route's versions.
#[derive(Clone, Debug, Default)]
struct RouteVersions {
    base: Option<String>,
    active: Option<Active>,
    /// Share of a request that the new version may still take, in parts per million.
    credit: i64,
    objective: Duration,
    judged: String,
    judge: Judge,
    old: Tally,
    new: Tally,
    old_mean: f64,
}

/// A stop that this host has found or heard of.
#[derive(Clone, Debug)]
struct Stop {
    evidence: String,
    /// Whether this host found it and the record does not say so yet.
    spread: bool,
}

/// Versions and moves of all routes on one host.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    me: Option<Incarnation>,
    routes: HashMap<String, RouteVersions>,
    stopped: BTreeMap<String, Stop>,
    hosts: Vec<SocketAddr>,
    reported: Instant,
}

impl Rollouts {
    /// Takes over the declared moves and their records. A stop is kept whatever a record says.
    pub fn install(&mut self, view: &View) {
        self.me = Some(view.me.incarnation);
        self.hosts = view.hosts.iter().map(|h| h.peer_address).collect();
        let declaration = &view.declaration;
        self.stopped.retain(|name, _| declaration.moves.values().any(|m| m.name == *name));
        for movement in declaration.moves.values() {
            let record = view.rollouts.of(declaration, movement);
            if let Some(record) = record.filter(|r| r.state == State::TakenBack) {
                let evidence = record.evidence.clone();
                self.stopped.insert(movement.name.clone(), Stop { evidence, spread: false });
            }
        }
        let declared = declaration.routes.iter().map(|(key, route)| {
            let mut state = self.routes.remove(&route.name).unwrap_or_default();
            state.objective = route.latency;
            state.base = view.rollouts.base(declaration, key);
            state.active = None;
            for movement in declaration.moves.values().filter(|m| m.route == key) {
                let stopped = self.stopped.contains_key(&movement.name);
                let record = view.rollouts.of(declaration, movement);
                match record.map(|r| (r.state, r.share)) {
                    Some((State::Running, share)) if !stopped => {
                        state.active = Some(Active {
                            movement: movement.name.clone(),
                            to: movement.to.clone(),
                            share,
                        });
                    }
                    Some((State::Done, _)) if stopped => state.base = Some(movement.from.clone()),
                    _ => {}
                }
            }
            state.start_judging();
            (route.name.clone(), state)
        });
        self.routes = declared.collect();
    }

    /// Versions that the next request of a route may go to, the preferred one first.
    pub fn versions(&self, route: &str) -> Vec<String> {
        let Some(state) = self.routes.get(route) else { return Vec::new() };
        let active = state.active.as_ref().filter(|_| state.has_credit());
        active.map(|a| a.to.clone()).into_iter().chain(state.base.clone()).collect()
    }

    /// Whether a version of a route takes traffic at all.
    pub fn takes_traffic(&self, route: &str, version: &str) -> bool {
        let Some(state) = self.routes.get(route) else { return false };
        state.base.as_deref() == Some(version)
            || state.active.as_ref().is_some_and(|a| a.to == version && a.share > 0)
    }

    /// Whether the next request of a route may go to a version.
    pub fn has_turn(&self, route: &str, version: &str) -> bool {
        let Some(state) = self.routes.get(route) else { return false };
        state.base.as_deref() == Some(version)
            || (state.has_credit() && state.active.as_ref().is_some_and(|a| a.to == version))
    }

    /// Counts a request that is sent to a version.
    ///
    /// The credit grows by the share with each request and a request to the new version takes a
    /// whole one, so the new version's part of this host's requests never exceeds the share that
    /// was recorded when each was sent.
    pub fn note_start(&mut self, route: &str, version: &str, out: &mut Outbox) {
        let Some(state) = self.routes.get_mut(route) else { return };
        let Some(active) = &state.active else {
            if state.base.as_deref() != Some(version) {
                let detail = format!("version {version} of {route} got a request without a move");
                out.events.push(Event::new(Kind::InvariantBroken, detail));
            }
            return;
        };
        let whole = i64::from(WHOLE_PPM);
        let share = i64::from(active.share);
        state.credit = (state.credit + share).min(whole + share);
        if active.to != version {
            return;
        }
        state.credit -= whole;
        if state.credit < 0 {
            let detail = format!("version {version} of {route} got more than its share");
            out.events.push(Event::new(Kind::InvariantBroken, detail));
        }
    }

    /// Judges a version by a request that has ended; `cold` says that its server was just started.
    pub fn judge(
        &mut self,
        route: &str,
        version: &str,
        sample: Sample,
        took: Duration,
        cold: bool,
        out: &mut Outbox,
    ) {
        let Some(state) = self.routes.get_mut(route) else { return };
        let Some(active) = state.active.clone() else { return };
        let slow = took > state.objective
            || (state.old.ended >= MIN_OLD && took.as_secs_f64() > SLOW_FACTOR * state.old_mean);
        let good = sample == Sample::Good;
        let one = Tally::one(!good, (good && !cold).then_some(slow));
        if version != active.to {
            if sample == Sample::Good {
                let first = state.old_mean == 0.0;
                let weight = if first { 1.0 } else { WEIGHT };
                state.old_mean += weight * (took.as_secs_f64() - state.old_mean);
            }
            state.old.add(&one);
            state.judge.see_old(&one);
            return;
        }
        state.new.add(&one);
        if state.judge.see_new(&one) {
            let (new, old) = (&state.new, &state.old);
            let evidence = format!(
                "on {version} {} of {} failed and {} of {} were slow, \
                 on the old version {} of {} and {} of {}",
                new.bad, new.ended, new.slow, new.timed, old.bad, old.ended, old.slow, old.timed
            );
            self.stop(&active.movement, evidence, true, out);
        }
    }

    /// Takes in that another host has stopped a move.
    pub fn hear(&mut self, msg: &RolloutMsg, out: &mut Outbox) {
        if let RolloutMsg::Stopped { movement, evidence } = msg
            && !self.stopped.contains_key(movement)
        {
            self.stop(movement, evidence.clone(), false, out);
        }
    }

    fn stop(&mut self, movement: &str, evidence: String, spread: bool, out: &mut Outbox) {
        for state in self.routes.values_mut() {
            if state.active.as_ref().is_some_and(|a| a.movement == movement) {
                state.active = None;
            }
        }
        let detail = format!("{movement}: {evidence}");
        out.events.push(Event::new(Kind::RolloutStopped, detail));
        self.stopped.insert(movement.to_owned(), Stop { evidence, spread });
        if spread {
            self.tell_stops(out);
        }
    }

    /// Tells every host, this one's control state included, of the stops found here.
    fn tell_stops(&self, out: &mut Outbox) {
        for (movement, stop) in self.stopped.iter().filter(|(_, s)| s.spread) {
            let msg =
                RolloutMsg::Stopped { movement: movement.clone(), evidence: stop.evidence.clone() };
            out.sends.extend(self.hosts.iter().map(|to| (*to, PeerMsg::Rollout(msg.clone()))));
        }
    }

    /// Reports what was seen, and repeats stops that the record does not show yet.
    pub fn tick(&mut self, now: Instant, out: &mut Outbox) {
        if self.reported + REPORT_PERIOD > now {
            return;
        }
        self.reported = now;
        self.tell_stops(out);
        let Some(me) = self.me else { return };
        for state in self.routes.values() {
            let Some(active) = &state.active else { continue };
            let msg = RolloutMsg::Seen {
                movement: active.movement.clone(),
                host: me,
                old: state.old,
                new: state.new,
            };
            let to = self.hosts.iter().take(CONTROLLERS);
            out.sends.extend(to.map(|to| (*to, PeerMsg::Rollout(msg.clone()))));
        }
    }

    /// Whether this host gives the target version of a move no work.
    pub fn is_stopped(&self, movement: &str) -> bool {
        self.stopped.contains_key(movement)
    }
}

impl RouteVersions {
    fn has_credit(&self) -> bool {
        let share = self.active.as_ref().map_or(0, |a| a.share);
        share > 0 && self.credit + i64::from(share) >= i64::from(WHOLE_PPM)
    }

    /// Begins to count when another move becomes active.
    fn start_judging(&mut self) {
        let Some(active) = &self.active else { return };
        if self.judged != active.movement {
            self.judged.clone_from(&active.movement);
            self.credit = 0;
            (self.judge, self.old, self.new) = Default::default();
        }
    }
}
