//! What follows after a try, and what is learned from it.

use std::{sync::Arc, time::Duration};

use super::{ASSUMED_PART, Flight, Next, Steering, flight::Try};
use crate::{
    declaration::Repeat,
    steer::{
        crash::Death,
        refusal::{Reason, Refusal},
        server::{LoadReport, Outcome},
    },
    time::Instant,
};

/// Step by which a service's latency follows a sample, as a part of it.
const BASE_STEP: f64 = 0.06;
/// Weight of the newest sample in the mean time that a request fills a slot.
const BUSY_WEIGHT: f64 = 0.05;
/// The quantile of latencies that it follows: slower answers mostly had to fetch the object.
const BASE_QUANTILE: f64 = 0.4;
/// An answer slower than this multiple of the expectation shows that the object was not there.
const MISS_RATIO: f64 = 2.0;
/// Smallest latency of a service, in seconds.
const MIN_BASE: f64 = 0.002;
/// Connections that may fail before a request is given up.
const MAX_CONNECT_FAILURES: usize = 4;
/// An answer of a version on trial counts as bad beyond this multiple of the usual latency; its
/// servers know no object yet, which alone makes them three times slower.
const TRIAL_SLOW_RATIO: f64 = 6.0;
/// Part of the route's timeout from which on an answer is bad in any case: where all servers are busy,
/// the usual latency may rise so far that nothing is beyond its multiple.
const TRIAL_SLOW_PART: f64 = 0.8;

impl Steering {
    /// Decides what follows after a try.
    pub fn finish(
        &mut self,
        now: Instant,
        flight: &mut Flight,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Next {
        let Some(current) = flight.current.take() else {
            return Next::Refuse(Reason::BadAnswer.into());
        };
        self.observe(now, flight, &current, outcome, report);
        let idempotent = flight.route.repeat == Repeat::Idempotent;
        let refusal = match outcome {
            Outcome::Answered { status, .. } => {
                let again = status >= 500 && idempotent && self.may_go_again(now, flight);
                return if again { Next::Again } else { Next::Deliver };
            }
            Outcome::Abandoned => return Next::Refuse(Reason::TimedOut.into()),
            Outcome::Shed | Outcome::WrongServer => {
                if self.may_go_again(now, flight) {
                    return Next::Again;
                }
                return Next::Refuse(self.give_up(flight, Reason::Shed));
            }
            Outcome::NotSent => {
                flight.tried.pop();
                flight.connect_failures += 1;
                if flight.connect_failures < MAX_CONNECT_FAILURES {
                    return Next::Again;
                }
                return Next::Refuse(self.give_up(flight, Reason::NoServer));
            }
            Outcome::Lost => Reason::ConnectionLost,
            Outcome::BadAnswer => Reason::BadAnswer,
            Outcome::TimedOut => Reason::TimedOut,
        };
        flight.unknown = Some(refusal);
        if idempotent && self.may_go_again(now, flight) {
            return Next::Again;
        }
        Next::Refuse(refusal.into())
    }

    pub(super) fn give_up(&self, flight: &Flight, reason: Reason) -> Refusal {
        if let Some(unknown) = flight.unknown {
            return unknown.into();
        }
        let retry_after = Some(Duration::from_millis(300));
        Refusal { retry_after, ..Refusal::from(reason) }
    }

    /// Whether a request may be sent to one more server; takes a token of the budget.
    pub(super) fn may_go_again(&mut self, now: Instant, flight: &mut Flight) -> bool {
        if flight.tried.len() >= flight.route.max_attempts || now >= flight.deadline {
            return false;
        }
        if std::mem::take(&mut flight.is_prepaid) {
            return true;
        }
        let Some(state) = self.services.get_mut(&flight.service) else { return false };
        state.budget.withdraw()
    }

    /// Learns from the end of a try.
    fn observe(
        &mut self,
        now: Instant,
        flight: &Flight,
        current: &Try,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let view = Arc::clone(&self.view);
        let cold_start =
            view.catalog.services.get(&flight.service).map_or(Duration::ZERO, |s| s.cold_start);
        let Some(server) = self.servers.get_mut(current.server) else { return };
        let normal = |took: Duration| took.div_f64(current.multiple.max(1.0));
        let noted = match outcome {
            Outcome::Answered { status, took } => Outcome::Answered { status, took: normal(took) },
            other => other,
        };
        server.finish(now, noted, report);
        let (hash, was_cold) = (server.hash, now < server.cold_until);
        match outcome {
            Outcome::NotSent => {
                // A server that took no connection may come back cold under the same id.
                server.cold_until = server.cold_until.max(now + cold_start);
                self.crashes.note_dead(now, hash);
            }
            Outcome::Lost => {
                let death = Death { fingerprint: flight.fingerprint, server: hash };
                self.crashes.note_lost(now, death);
            }
            _ => {}
        }
        let objective = flight.route.objective.as_secs_f64();
        let timeout = flight.route.timeout.as_secs_f64();
        let state = self.services.entry(flight.service.clone()).or_default();
        let base = state.base.unwrap_or(objective * ASSUMED_PART);
        let took = now.saturating_since(current.sent);
        if let Outcome::Answered { status, took } = outcome
            && status < 500
            && !was_cold
        {
            let filled = took.div_f64(current.queueing.max(1.0)).as_secs_f64();
            let busy = state.busy.unwrap_or(filled);
            state.busy = Some(busy + BUSY_WEIGHT * (filled - busy));
            let sample = normal(took).as_secs_f64();
            let step = if sample > base { BASE_QUANTILE } else { BASE_QUANTILE - 1.0 };
            state.base = Some((base * (1.0 + BASE_STEP * step)).max(MIN_BASE));
            if let Some(object) = flight.object.filter(|_| sample > base * MISS_RATIO)
                && current.is_warm
            {
                server.forget(object);
            }
        }
        let slow_from = (base * TRIAL_SLOW_RATIO).max(objective);
        let slow = took.as_secs_f64() > slow_from.min(timeout * TRIAL_SLOW_PART);
        let failed = match outcome {
            Outcome::Answered { status, .. } => status >= 500 || slow,
            Outcome::BadAnswer | Outcome::Lost => true,
            Outcome::TimedOut => true,
            Outcome::Abandoned => slow,
            Outcome::Shed | Outcome::WrongServer | Outcome::NotSent => return,
        };
        let trial = &mut state.trial;
        if trial.version == current.version {
            if !was_cold {
                trial.answers += 1;
                trial.failures += u32::from(failed);
            }
        } else if !trial.version.is_empty() {
            trial.other_answers += 1;
            trial.other_failures += u32::from(failed);
        }
    }
}
