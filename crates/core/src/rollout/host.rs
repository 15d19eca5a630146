//! Rollouts on one host: keeps within the recorded share, detects regressions of the new version
//! and stops sending it requests.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use super::{RolloutMsg, RolloutPhase, regression::RegressionDetector, regression::RequestCounts};
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

/// Interval between reports to the hosts that may write the next step.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Number of hosts that reports go to and that may write steps: those with the lowest names.
pub const CONTROLLER_COUNT: usize = 3;
/// An answer counts as slow if it takes this many times the mean latency of the old version.
const SLOW_FACTOR: f64 = 3.0;
/// Requests that the old version must complete before its mean latency is used.
const MIN_OLD_REQUESTS: u64 = 5;
/// Weight of the latest answer in the moving average of the latency.
const MEAN_WEIGHT: f64 = 0.05;

/// A running rollout as recorded.
#[derive(Clone, Debug)]
struct ActiveRollout {
    /// Name of the rollout.
    name: String,
    /// The new version.
    to: String,
    share: PartsPerMillion,
}

/// Versions of one route, with the state of its running rollout.
#[derive(Clone, Debug, Default)]
struct RouteVersions {
    /// The version that serves the route outside of a rollout.
    current: Option<String>,
    active: Option<ActiveRollout>,
    /// Credit of the new version, in parts per million of a request.
    credit_ppm: i64,
    /// Latency objective of the route.
    objective: Duration,
    /// Name of the rollout that the counts below belong to.
    counted_rollout: String,
    detector: RegressionDetector,
    old: RequestCounts,
    new: RequestCounts,
    /// Moving average of the latency of the old version's good answers.
    old_mean_secs: f64,
}

/// A stopped rollout: its new version gets no requests from this host.
#[derive(Clone, Debug)]
struct Stop {
    evidence: String,
    /// Whether this host detected the regression and it is not recorded yet.
    must_send: bool,
}

/// Versions and rollouts of all routes on one host.
#[derive(Clone, Debug, Default)]
pub struct HostRollouts {
    me: Option<Incarnation>,
    routes: HashMap<String, RouteVersions>,
    stopped: BTreeMap<String, Stop>,
    hosts: Vec<SocketAddr>,
    last_report: Instant,
}

impl HostRollouts {
    /// Installs the declared rollouts and their records. A stopped rollout stays stopped, whatever
    /// its record contains.
    pub fn install(&mut self, view: &View) {
        self.me = Some(view.me.incarnation);
        self.hosts = view.hosts.iter().map(|h| h.peer_address).collect();
        let declaration = &view.declaration;
        self.stopped.retain(|name, _| declaration.rollouts.values().any(|r| r.name == *name));
        for rollout in declaration.rollouts.values() {
            let record = view.rollout_records.status_of(declaration, rollout);
            if let Some(record) = record.filter(|r| r.state == RolloutPhase::RolledBack) {
                let evidence = record.evidence.clone();
                self.stopped.insert(rollout.name.clone(), Stop { evidence, must_send: false });
            }
        }
        let routes = declaration.routes.iter().map(|(key, route)| {
            let mut state = self.routes.remove(&route.name).unwrap_or_default();
            state.objective = route.latency;
            state.current = view.rollout_records.current_version(declaration, key);
            state.active = None;
            for rollout in declaration.rollouts.values().filter(|r| r.route == key) {
                let stopped = self.stopped.contains_key(&rollout.name);
                let record = view.rollout_records.status_of(declaration, rollout);
                match record.map(|r| (r.state, r.share)) {
                    Some((RolloutPhase::Running, share)) if !stopped => {
                        state.active = Some(ActiveRollout {
                            name: rollout.name.clone(),
                            to: rollout.to.clone(),
                            share,
                        });
                    }
                    Some((RolloutPhase::Done, _)) if stopped => {
                        state.current = Some(rollout.from.clone())
                    }
                    _ => {}
                }
            }
            state.reset_if_new_rollout();
            (route.name.clone(), state)
        });
        self.routes = routes.collect();
    }

    /// Versions that the next request of a route may go to, in order of preference.
    pub fn candidate_versions(&self, route: &str) -> Vec<String> {
        let Some(state) = self.routes.get(route) else { return Vec::new() };
        let active = state.active.as_ref().filter(|_| state.has_credit());
        active.map(|a| a.to.clone()).into_iter().chain(state.current.clone()).collect()
    }

    /// Whether a version of a route receives any traffic.
    pub fn receives_traffic(&self, route: &str, version: &str) -> bool {
        let Some(state) = self.routes.get(route) else { return false };
        state.current.as_deref() == Some(version)
            || state.active.as_ref().is_some_and(|a| a.to == version && a.share > 0)
    }

    /// Whether the next request of a route may go to a version.
    pub fn may_receive_next(&self, route: &str, version: &str) -> bool {
        let Some(state) = self.routes.get(route) else { return false };
        state.current.as_deref() == Some(version)
            || (state.has_credit() && state.active.as_ref().is_some_and(|a| a.to == version))
    }

    /// Counts a request that is sent to a version.
    ///
    /// Each request adds the recorded share to the credit, and a request to the new version costs a
    /// credit of one request. The new version's fraction of this host's requests therefore never
    /// exceeds the shares that were recorded when they were sent.
    pub fn record_request(&mut self, route: &str, version: &str, out: &mut Outbox) {
        let Some(state) = self.routes.get_mut(route) else { return };
        let Some(active) = &state.active else {
            if state.current.as_deref() != Some(version) {
                let detail =
                    format!("version {version} of {route} got a request without a rollout");
                out.events.push(Event::new(Kind::InvariantBroken, detail));
            }
            return;
        };
        let one_request = i64::from(WHOLE_PPM);
        let share = i64::from(active.share);
        state.credit_ppm = (state.credit_ppm + share).min(one_request + share);
        if active.to != version {
            return;
        }
        state.credit_ppm -= one_request;
        if state.credit_ppm < 0 {
            let detail = format!("version {version} of {route} got more than its share");
            out.events.push(Event::new(Kind::InvariantBroken, detail));
        }
    }

    /// Records a completed request and stops the rollout if the new version has regressed. The
    /// latency of a cold server, which has just started, is not counted.
    pub fn record_outcome(
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
            || (state.old.ended >= MIN_OLD_REQUESTS
                && took.as_secs_f64() > SLOW_FACTOR * state.old_mean_secs);
        let good = sample == Sample::Good;
        let counts = RequestCounts::single(!good, (good && !cold).then_some(slow));
        if version != active.to {
            if sample == Sample::Good {
                let is_first = state.old_mean_secs == 0.0;
                let weight = if is_first { 1.0 } else { MEAN_WEIGHT };
                state.old_mean_secs += weight * (took.as_secs_f64() - state.old_mean_secs);
            }
            state.old.add(&counts);
            state.detector.add_old(&counts);
            return;
        }
        state.new.add(&counts);
        if state.detector.add_new(&counts) {
            let (new, old) = (&state.new, &state.old);
            let evidence = format!(
                "on {version} {} of {} failed and {} of {} were slow, \
                 on the old version {} of {} and {} of {}",
                new.bad, new.ended, new.slow, new.timed, old.bad, old.ended, old.slow, old.timed
            );
            self.stop(&active.name, evidence, true, out);
        }
    }

    /// Stops a rollout that another host has stopped.
    pub fn handle_message(&mut self, msg: &RolloutMsg, out: &mut Outbox) {
        if let RolloutMsg::Stopped { rollout, evidence } = msg
            && !self.stopped.contains_key(rollout)
        {
            self.stop(rollout, evidence.clone(), false, out);
        }
    }

    fn stop(&mut self, rollout: &str, evidence: String, must_send: bool, out: &mut Outbox) {
        for state in self.routes.values_mut() {
            if state.active.as_ref().is_some_and(|a| a.name == rollout) {
                state.active = None;
            }
        }
        let detail = format!("{rollout}: {evidence}");
        out.events.push(Event::new(Kind::RolloutStopped, detail));
        self.stopped.insert(rollout.to_owned(), Stop { evidence, must_send });
        if must_send {
            self.send_stops(out);
        }
    }

    /// Sends the stops detected on this host to every host, including this host's own controller.
    fn send_stops(&self, out: &mut Outbox) {
        for (rollout, stop) in self.stopped.iter().filter(|(_, s)| s.must_send) {
            let msg =
                RolloutMsg::Stopped { rollout: rollout.clone(), evidence: stop.evidence.clone() };
            out.sends.extend(self.hosts.iter().map(|to| (*to, PeerMsg::Rollout(msg.clone()))));
        }
    }

    /// Sends the counts of running rollouts to the controllers, and repeats stops that are not
    /// recorded yet.
    pub fn tick(&mut self, now: Instant, out: &mut Outbox) {
        if self.last_report + REPORT_PERIOD > now {
            return;
        }
        self.last_report = now;
        self.send_stops(out);
        let Some(me) = self.me else { return };
        for state in self.routes.values() {
            let Some(active) = &state.active else { continue };
            let msg = RolloutMsg::Observed {
                rollout: active.name.clone(),
                host: me,
                old: state.old,
                new: state.new,
            };
            let to = self.hosts.iter().take(CONTROLLER_COUNT);
            out.sends.extend(to.map(|to| (*to, PeerMsg::Rollout(msg.clone()))));
        }
    }

    /// Whether this host sends no requests to the new version of a rollout.
    pub fn is_stopped(&self, rollout: &str) -> bool {
        self.stopped.contains_key(rollout)
    }
}

impl RouteVersions {
    /// Whether the new version may receive the next request.
    fn has_credit(&self) -> bool {
        let share = self.active.as_ref().map_or(0, |a| a.share);
        share > 0 && self.credit_ppm + i64::from(share) >= i64::from(WHOLE_PPM)
    }

    /// Resets the credit and the counts when another rollout becomes active.
    fn reset_if_new_rollout(&mut self) {
        let Some(active) = &self.active else { return };
        if self.counted_rollout != active.name {
            self.counted_rollout.clone_from(&active.name);
            self.credit_ppm = 0;
            (self.detector, self.old, self.new) = Default::default();
        }
    }
}
