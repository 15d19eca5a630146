//! Handling of the outcome of an attempt: the next action and the update of the measurements.

use std::{sync::Arc, time::Duration};

use super::{NextAction, PendingRequest, Steering, request::Attempt};
use crate::{
    declaration::Repeat,
    steer::{
        limits::StatedLimit,
        refusal::{Refusal, RefusalReason},
        server::{AttemptOutcome, ServerReport},
    },
    time::Instant,
};

/// Weight of the newest sample in the mean slot time.
const SLOT_TIME_WEIGHT: f64 = 0.05;
/// Multiple of the base latency above which an answer indicates that the server had to fetch the
/// object.
const CACHE_MISS_RATIO: f64 = 2.0;
/// Mean time after which a request may be sent again that a server with room has shed.
const SHED_WITH_ROOM_WAIT: Duration = Duration::from_millis(40);
/// Number of failed connections after which a request is refused.
const MAX_CONNECT_FAILURES: usize = 4;
/// Multiple of the base latency above which an answer counts as a failure during a rollout. The
/// servers of a new version have no object cached yet, which alone makes them three times slower.
const CANARY_SLOW_RATIO: f64 = 6.0;
/// Fraction of the route's timeout above which an answer counts as a failure during a rollout in any
/// case. When all servers are busy, [`CANARY_SLOW_RATIO`] times the base latency may exceed the
/// timeout.
const CANARY_SLOW_TIMEOUT_FRACTION: f64 = 0.8;

/// Tells the caller of a request that was shed to come back soon if the server had room: another one will
/// most likely run it, and after the usual wait it would miss its objective. The waits of different
/// requests are spread.
fn with_shed_wait(
    request: &PendingRequest,
    report: Option<ServerReport>,
    refusal: Refusal,
) -> Refusal {
    let has_room = report.is_some_and(|r| {
        let is_unlimited = r.pause.is_none() && r.limit == StatedLimit::None;
        is_unlimited && r.load.is_some_and(|l| l.waiting == 0 && l.running < l.slots)
    });
    if !has_room || refusal.retry_after.is_none() {
        return refusal;
    }
    Refusal { retry_after: Some(request.spread(SHED_WITH_ROOM_WAIT)), ..refusal }
}

impl Steering {
    /// Records the outcome of an attempt and decides the next action.
    pub fn finish_attempt(
        &mut self,
        now: Instant,
        request: &mut PendingRequest,
        outcome: AttemptOutcome,
        report: Option<ServerReport>,
    ) -> NextAction {
        let Some(attempt) = request.current_attempt.take() else {
            return NextAction::Refuse(RefusalReason::BadAnswer.into());
        };
        self.correct_usage(request, &attempt, outcome);
        self.record_outcome(now, request, &attempt, outcome, report);
        match outcome {
            AttemptOutcome::Lost => {
                self.record_lost_connection(now, request.fingerprint, &attempt);
            }
            AttemptOutcome::NotSent => {
                self.record_connect_failure(now, attempt.server, attempt.incarnation);
            }
            _ => {}
        }
        let is_idempotent = request.route.repeat == Repeat::Idempotent;
        let unknown_reason = match outcome {
            AttemptOutcome::Answered { status, .. } => {
                let may_retry = status >= 500 && is_idempotent && self.reserve_retry(now, request);
                return if may_retry { NextAction::Retry } else { NextAction::Deliver };
            }
            AttemptOutcome::Abandoned => return NextAction::Refuse(RefusalReason::TimedOut.into()),
            AttemptOutcome::Shed | AttemptOutcome::WrongServer => {
                if self.reserve_retry(now, request) {
                    return NextAction::Retry;
                }
                let refusal = self.final_refusal(request, RefusalReason::Shed);
                // The report of another server at the address says nothing about this one.
                let report = report.filter(|_| outcome == AttemptOutcome::Shed);
                return NextAction::Refuse(with_shed_wait(request, report, refusal));
            }
            AttemptOutcome::NotSent => {
                request.tried_servers.pop();
                request.connect_failures += 1;
                if request.connect_failures < MAX_CONNECT_FAILURES {
                    return NextAction::Retry;
                }
                return NextAction::Refuse(self.final_refusal(request, RefusalReason::NoServer));
            }
            AttemptOutcome::Lost => RefusalReason::ConnectionLost,
            AttemptOutcome::BadAnswer => RefusalReason::BadAnswer,
            AttemptOutcome::TimedOut => RefusalReason::TimedOut,
        };
        request.unknown_outcome = Some(unknown_reason);
        if is_idempotent && self.reserve_retry(now, request) {
            return NextAction::Retry;
        }
        NextAction::Refuse(unknown_reason.into())
    }

    /// Returns the refusal of a request that gets no further attempt. When an earlier attempt may have
    /// run, its outcome takes precedence, because the refusal must not claim that nothing has run.
    pub(super) fn final_refusal(&self, request: &PendingRequest, reason: RefusalReason) -> Refusal {
        if let Some(unknown_reason) = request.unknown_outcome {
            return unknown_reason.into();
        }
        let retry_after = Some(Duration::from_millis(300));
        Refusal { retry_after, ..Refusal::from(reason) }
    }

    /// Whether a request may be sent to a further server; takes a retry token if so.
    pub(super) fn reserve_retry(&mut self, now: Instant, request: &mut PendingRequest) -> bool {
        if request.tried_servers.len() >= request.route.max_attempts || now >= request.deadline {
            return false;
        }
        if std::mem::take(&mut request.has_reserved_retry) {
            return true;
        }
        let Some(state) = self.services.get_mut(&request.service) else { return false };
        state.retry_budget.try_withdraw()
    }

    /// Updates the measurements of the server and the service, and the counts of the rollout.
    fn record_outcome(
        &mut self,
        now: Instant,
        request: &PendingRequest,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        report: Option<ServerReport>,
    ) {
        let view = Arc::clone(&self.view);
        let cold_start =
            view.catalog.services.get(&request.service).map_or(Duration::ZERO, |s| s.cold_start);
        if report.is_some_and(|r| r.is_leaving) {
            self.leaving.observe(now, attempt.incarnation);
        }
        let is_own_report =
            !matches!(outcome, AttemptOutcome::WrongServer | AttemptOutcome::BadAnswer);
        if let Some(report) = report.filter(|_| is_own_report) {
            self.observe_limit(now, attempt.sent_at, attempt.incarnation, report.limit);
        }
        let state = self.services.entry(request.service.clone()).or_default();
        // A server's latency is compared with that of its service, whichever route the request has.
        let route_factor =
            state.costs.service_latency_s(&request.route) / state.costs.latency_s(&request.route);
        let Some(server) = self.servers.get_mut(attempt.server) else { return };
        let normalize = |took: Duration| took.div_f64(attempt.latency_multiple.max(1.0));
        let normalized = match outcome {
            AttemptOutcome::Answered { status, took } => {
                AttemptOutcome::Answered { status, took: normalize(took).mul_f64(route_factor) }
            }
            other => other,
        };
        // After a restart of the server, the outcome tells nothing about its new incarnation.
        if server.incarnation == attempt.incarnation {
            server.finish_request(now, normalized, report);
        }
        let was_cold = now < server.cold_until;
        match outcome {
            AttemptOutcome::NotSent => {
                // A server that accepted no connection may restart under the same id and be cold.
                server.cold_until = server.cold_until.max(now + cold_start);
            }
            AttemptOutcome::Answered { .. } => {
                self.crashes.record_answer(now, attempt.sent_at, request.fingerprint);
            }
            _ => {}
        }
        let objective_s = request.route.latency_objective.as_secs_f64();
        let timeout_s = request.route.timeout.as_secs_f64();
        let base_latency_s = state.costs.latency_s(&request.route);
        let took = now.saturating_since(attempt.sent_at);
        if let AttemptOutcome::Answered { status, took } = outcome
            && status < 500
            && !was_cold
        {
            let slot_time_sample_s = took.div_f64(attempt.queue_factor.max(1.0)).as_secs_f64();
            let mean_slot_time_s = state.slot_time_s.unwrap_or(slot_time_sample_s);
            state.slot_time_s =
                Some(mean_slot_time_s + SLOT_TIME_WEIGHT * (slot_time_sample_s - mean_slot_time_s));
            let latency_sample_s = normalize(took).as_secs_f64();
            state.costs.observe(&request.route, latency_sample_s);
            if let Some(object) =
                request.object.filter(|_| latency_sample_s > base_latency_s * CACHE_MISS_RATIO)
                && attempt.is_warm
            {
                server.remove_cached(object);
            }
        }
        let slow_threshold_s = (base_latency_s * CANARY_SLOW_RATIO).max(objective_s);
        let is_slow =
            took.as_secs_f64() > slow_threshold_s.min(timeout_s * CANARY_SLOW_TIMEOUT_FRACTION);
        let failed = match outcome {
            AttemptOutcome::Answered { status, .. } => status >= 500 || is_slow,
            AttemptOutcome::BadAnswer | AttemptOutcome::Lost => true,
            AttemptOutcome::TimedOut => true,
            AttemptOutcome::Abandoned => is_slow,
            AttemptOutcome::Shed | AttemptOutcome::WrongServer | AttemptOutcome::NotSent => return,
        };
        let is_error = match outcome {
            AttemptOutcome::Answered { status, .. } => status >= 500,
            outcome => outcome == AttemptOutcome::BadAnswer,
        };
        let canary = &mut state.canary;
        if canary.version == attempt.version {
            if !was_cold {
                canary.responses += 1;
                canary.failures += u32::from(failed);
                canary.errors += u32::from(is_error);
            }
        } else if !canary.version.is_empty() {
            canary.baseline_responses += 1;
            canary.baseline_failures += u32::from(failed);
            canary.baseline_errors += u32::from(is_error);
        }
        if failed && view.rollouts.contains_key(&request.service) {
            self.judge_rollout(&request.service);
        }
    }
}
