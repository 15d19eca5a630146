//! Computes the next step of each rollout.
//!
//! Several hosts may write a step, those with the lowest names; the compare-and-swap of the root
//! record accepts only one write. Each host waits longer than the one ranked before it, so that
//! usually only one host tries.

use std::{collections::BTreeMap, time::Duration};

use super::{
    RequestCounts, RolloutMsg, RolloutPhase, RolloutRecords, RolloutStatus,
    record::{has_target_server, next_share},
    regression::RegressionDetector,
};
use crate::{
    declaration::{Declaration, RolloutSpec, fields::WHOLE_PPM},
    event::{Event, Kind},
    host::Incarnation,
    time::UnixMillis,
};

/// Minimum time between two steps.
pub const MIN_STEP_INTERVAL: Duration = Duration::from_secs(2);
/// Fraction of the time from start to deadline that is kept in reserve, as a divisor.
const RESERVE_DIVISOR: u64 = 10;
/// Requests that the new version should complete on all hosts together before the next step.
const MIN_NEW_REQUESTS: u64 = 20;
/// Additional delay of each host over the host ranked before it.
const DELAY_PER_RANK: Duration = Duration::from_millis(500);

/// State of one rollout, from the reports of all hosts.
#[derive(Clone, Debug, Default)]
struct RolloutProgress {
    /// Evidence against the new version, if it was found bad.
    stop_evidence: Option<String>,
    /// Latest counts of the old and the new version from each host.
    hosts: BTreeMap<Incarnation, (RequestCounts, RequestCounts)>,
    detector: RegressionDetector,
    /// Current step and the requests that the new version had completed when it began.
    at_step_start: (u32, u64),
    late_reported: bool,
}

impl RolloutProgress {
    /// Requests of the new version that have ended, over all hosts.
    fn new_requests(&self) -> u64 {
        self.hosts.values().map(|(_, new)| new.ended).sum()
    }
}

/// Decides on the next step of every rollout, from the reports of all hosts.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    rollouts: BTreeMap<String, RolloutProgress>,
}

impl Controller {
    /// Handles a report of a host.
    pub fn handle_message(&mut self, msg: &RolloutMsg) {
        match msg {
            RolloutMsg::Stopped { rollout, evidence } => {
                let progress = self.rollouts.entry(rollout.clone()).or_default();
                progress.stop_evidence.get_or_insert_with(|| evidence.clone());
            }
            RolloutMsg::Observed { rollout, host, old, new } => {
                let progress = self.rollouts.entry(rollout.clone()).or_default();
                let before = progress.hosts.insert(*host, (*old, *new)).unwrap_or_default();
                progress.detector.add_old(&old.since(&before.0));
                if progress.detector.add_new(&new.since(&before.1)) {
                    let mut all = RequestCounts::default();
                    progress.hosts.values().for_each(|(_, new)| all.add(new));
                    let evidence = format!(
                        "over all hosts {} of {} failed and {} of {} were slow",
                        all.bad, all.ended, all.slow, all.timed
                    );
                    progress.stop_evidence.get_or_insert(evidence);
                }
            }
        }
    }

    /// Names of the rollouts whose new version was found bad, with the evidence.
    pub fn stops(&self) -> impl Iterator<Item = (&str, &str)> {
        self.rollouts
            .iter()
            .filter_map(|(name, p)| Some((name.as_str(), p.stop_evidence.as_deref()?)))
    }

    /// Returns the records to write next, if a change is due. `rank` is the position of this host
    /// among the live hosts, in the order of their names.
    pub fn next_records(
        &mut self,
        now: UnixMillis,
        rank: usize,
        declaration: &Declaration,
        records: &RolloutRecords,
        events: &mut Vec<Event>,
    ) -> Option<RolloutRecords> {
        let mut next = records.clone();
        self.rollouts.retain(|name, _| declaration.rollouts.values().any(|r| r.name == *name));
        next.rollouts.retain(|name, _| declaration.rollouts.values().any(|r| r.name == *name));
        for (key, route) in &declaration.routes {
            if let Some(version) = records.current_version(declaration, key) {
                next.versions.entry(route.name.clone()).or_insert(version);
            }
        }
        next.versions.retain(|route, _| declaration.route_names.contains_key(route));
        let delay_ms = DELAY_PER_RANK.as_millis() as u64 * rank as u64;
        for rollout in declaration.rollouts.values() {
            self.advance(now, delay_ms, declaration, rollout, &mut next, events);
        }
        (next != *records).then_some(next)
    }

    fn advance(
        &mut self,
        now: UnixMillis,
        delay_ms: u64,
        declaration: &Declaration,
        rollout: &RolloutSpec,
        next: &mut RolloutRecords,
        events: &mut Vec<Event>,
    ) {
        let progress = self.rollouts.entry(rollout.name.clone()).or_default();
        let route = &declaration.routes[rollout.route].name;
        let record = next.status_of(declaration, rollout).cloned();
        let is_on_old_version = next.versions.get(route) == Some(&rollout.from);
        match record {
            None if now < rollout.start + delay_ms
                || !is_on_old_version
                || progress.stop_evidence.is_some() => {}
            None if !has_target_server(declaration, rollout) => {}
            None if is_route_busy(declaration, rollout, next) => {}
            None => {
                let record = RolloutStatus {
                    route: route.clone(),
                    from: rollout.from.clone(),
                    to: rollout.to.clone(),
                    step: 1,
                    share: next_share(0, rollout.cap),
                    state: RolloutPhase::Running,
                    since: now,
                    evidence: String::new(),
                };
                next.rollouts.insert(rollout.name.clone(), record);
            }
            Some(mut record)
                if record.state != RolloutPhase::RolledBack && progress.stop_evidence.is_some() =>
            {
                record.state = RolloutPhase::RolledBack;
                record.share = 0;
                record.since = now;
                record.evidence = progress.stop_evidence.clone().unwrap_or_default();
                next.versions.insert(route.clone(), rollout.from.clone());
                next.rollouts.insert(rollout.name.clone(), record);
            }
            Some(record) if record.state == RolloutPhase::Running => {
                progress.warn_if_late(rollout, &record, events);
                if progress.is_due(now.saturating_sub(delay_ms), rollout, &record) {
                    let record = next_step(now, rollout, record);
                    if record.state == RolloutPhase::Done {
                        next.versions.insert(route.clone(), rollout.to.clone());
                    }
                    next.rollouts.insert(rollout.name.clone(), record);
                }
            }
            Some(_) => {}
        }
    }
}

impl RolloutProgress {
    /// Whether the next step is due: steps are spread evenly up to the target end, and each waits
    /// for [`MIN_NEW_REQUESTS`] unless that would miss the target end.
    fn is_due(&mut self, now: UnixMillis, rollout: &RolloutSpec, record: &RolloutStatus) -> bool {
        if self.at_step_start.0 != record.step {
            self.at_step_start = (record.step, self.new_requests());
        }
        let steps = steps_left(rollout, record);
        let min_interval_ms = MIN_STEP_INTERVAL.as_millis() as u64;
        let elapsed_ms = now.saturating_sub(record.since);
        let target = target_end(rollout);
        let interval_ms = (target.saturating_sub(record.since) / steps).max(min_interval_ms);
        let has_enough_requests =
            self.new_requests().saturating_sub(self.at_step_start.1) >= MIN_NEW_REQUESTS;
        let has_no_slack = now + min_interval_ms * steps >= target;
        elapsed_ms >= interval_ms && (has_enough_requests || has_no_slack)
    }

    fn warn_if_late(
        &mut self,
        rollout: &RolloutSpec,
        record: &RolloutStatus,
        events: &mut Vec<Event>,
    ) {
        let needed_ms = MIN_STEP_INTERVAL.as_millis() as u64 * steps_left(rollout, record);
        if !self.late_reported && record.since + needed_ms > rollout.finish_by {
            self.late_reported = true;
            let detail =
                format!("{}: {} steps are left", rollout.name, steps_left(rollout, record));
            events.push(Event::new(Kind::RolloutLate, detail));
        }
    }
}

/// Steps until the rollout is done. The last step keeps the share at 100% before the rollout is
/// recorded as done.
fn steps_left(rollout: &RolloutSpec, record: &RolloutStatus) -> u64 {
    let left = WHOLE_PPM.saturating_sub(record.share);
    u64::from(left.div_ceil(rollout.cap.max(1))) + 1
}

/// Time by which the rollout should end: its deadline less the reserve.
fn target_end(rollout: &RolloutSpec) -> UnixMillis {
    rollout.finish_by - (rollout.finish_by - rollout.start) / RESERVE_DIVISOR
}

fn next_step(now: UnixMillis, rollout: &RolloutSpec, mut record: RolloutStatus) -> RolloutStatus {
    record.since = now;
    if record.share >= WHOLE_PPM {
        record.state = RolloutPhase::Done;
        return record;
    }
    record.step += 1;
    record.share = next_share(record.share, rollout.cap);
    record
}

/// Whether another rollout of the same route is running.
fn is_route_busy(
    declaration: &Declaration,
    rollout: &RolloutSpec,
    records: &RolloutRecords,
) -> bool {
    let mut rollouts = declaration.rollouts.values().filter(|r| r.route == rollout.route);
    rollouts.any(|other| {
        records.status_of(declaration, other).is_some_and(|r| r.state == RolloutPhase::Running)
    })
}
