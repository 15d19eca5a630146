//! Health of one backend server as measured by this host: latency, failures, ejection, slow start.

use std::time::Duration;

use crate::time::Instant;

/// Weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.2;
/// Minimum number of samples before the failure rate and the mean latency are used.
const MIN_SAMPLES: u32 = 5;
/// Failure rate above which a server is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Consecutive failed connections after which a server is ejected.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Duration of the first ejection; each further one is twice as long.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Maximum number of times that the duration of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Good answers on probation after which a server is readmitted.
const PROBATION_SUCCESSES: u32 = 3;
/// Time over which a new or returning server is given all of its slots.
pub const SLOW_START_DURATION: Duration = Duration::from_secs(5);
/// Requests from this host after which a server's caches count as warm.
const WARM_SAMPLES: u32 = 3;
/// Time for which a sample takes precedence over the server's own report.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);

/// How one request to a server ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// An answer that is not a failure.
    Good,
    /// A refusal because the server has no capacity left.
    Shed,
    /// A failed answer, a lost connection or no answer in time.
    Failed,
    /// No connection could be made.
    NoConnection,
}

/// The latest answers of a server's load and health endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerReport {
    /// Fraction of the server's slots in use.
    pub load: f64,
    /// Whether the server reports itself healthy.
    pub healthy: bool,
}

/// State of the ejection of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EjectionState {
    /// It receives requests.
    Admitted,
    /// It receives no requests.
    Ejected { until: Instant },
    /// It receives one request at a time.
    Probation { good: u32 },
}

/// Health of one backend server as measured by this host.
#[derive(Clone, Debug)]
pub struct Health {
    mean_latency_secs: f64,
    failure_rate: f64,
    sample_count: u32,
    consecutive_connect_failures: u32,
    last_sample_at: Option<Instant>,
    ejection_state: EjectionState,
    ejection_count: u32,
    slow_start_from: Option<Instant>,
    report: Option<ServerReport>,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            mean_latency_secs: 0.0,
            failure_rate: 0.0,
            sample_count: 0,
            consecutive_connect_failures: 0,
            last_sample_at: None,
            ejection_state: EjectionState::Admitted,
            ejection_count: 0,
            slow_start_from: None,
            report: None,
        }
    }
}

impl Health {
    /// The health of a server that starts with cold caches.
    pub fn slow_start(now: Instant) -> Self {
        Health { slow_start_from: Some(now), ..Health::default() }
    }

    /// Records how a request ended; returns whether the server should be ejected.
    pub fn record_sample(&mut self, now: Instant, sample: Sample, took: Duration) -> bool {
        self.last_sample_at = Some(now);
        self.sample_count = self.sample_count.saturating_add(1);
        let failed = sample != Sample::Good;
        let blend = |old: f64, new: f64| old + EWMA_WEIGHT * (new - old);
        self.failure_rate = blend(self.failure_rate, f64::from(u8::from(failed)));
        self.consecutive_connect_failures =
            if sample == Sample::NoConnection { self.consecutive_connect_failures + 1 } else { 0 };
        if matches!(sample, Sample::Good | Sample::Failed) {
            let took = took.as_secs_f64();
            self.mean_latency_secs = if self.mean_latency_secs == 0.0 {
                took
            } else {
                blend(self.mean_latency_secs, took)
            };
        }
        match self.ejection_state {
            EjectionState::Admitted => self.is_unreachable() || self.is_failing(),
            EjectionState::Ejected { .. } => false,
            EjectionState::Probation { .. } if failed => true,
            EjectionState::Probation { good } if good + 1 >= PROBATION_SUCCESSES => {
                self.readmit(now);
                false
            }
            EjectionState::Probation { good } => {
                self.ejection_state = EjectionState::Probation { good: good + 1 };
                false
            }
        }
    }

    /// Whether the server accepts no connections. The limit on the number of ejected servers does not
    /// apply to it.
    pub fn is_unreachable(&self) -> bool {
        self.consecutive_connect_failures >= MAX_CONNECT_FAILURES
    }

    fn is_failing(&self) -> bool {
        self.sample_count >= MIN_SAMPLES && self.failure_rate > MAX_FAILURE_RATE
    }

    /// Ejects the server for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Instant) {
        let duration =
            BASE_EJECTION_TIME * 2u32.pow(self.ejection_count.min(MAX_EJECTION_DOUBLINGS));
        self.ejection_count += 1;
        self.ejection_state = EjectionState::Ejected { until: now + duration };
    }

    fn readmit(&mut self, now: Instant) {
        let ejection_count = self.ejection_count.saturating_sub(1);
        let mean_latency_secs = self.mean_latency_secs;
        *self = Health {
            mean_latency_secs,
            ejection_count,
            report: self.report,
            ..Health::slow_start(now)
        };
    }

    /// Puts the server on probation if its ejection has expired.
    pub fn end_ejection(&mut self, now: Instant) {
        if matches!(self.ejection_state, EjectionState::Ejected { until } if until <= now) {
            self.ejection_state = EjectionState::Probation { good: 0 };
        }
    }

    /// Whether the server is ejected or on probation.
    pub fn is_ejected_or_on_probation(&self) -> bool {
        self.ejection_state != EjectionState::Admitted
    }

    /// Maximum number of requests that this host may have in flight on the server, given that it may
    /// use `slots` slots.
    pub fn concurrency_limit(&self, now: Instant, slots: u16) -> u16 {
        match self.ejection_state {
            EjectionState::Ejected { .. } => return 0,
            EjectionState::Probation { .. } => return slots.min(1),
            EjectionState::Admitted => {}
        }
        let Some(from) = self.slow_start_from else { return slots };
        let fraction = now.saturating_since(from).as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
        let ramped = (f64::from(slots) * fraction.min(1.0)).ceil() as u16;
        ramped.max(1).min(slots)
    }

    /// Whether the server's caches may still be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.sample_count < WARM_SAMPLES
            || self
                .slow_start_from
                .is_some_and(|from| now.saturating_since(from) < SLOW_START_DURATION)
    }

    /// Restarts the slow start of an unused server at its first request, so that it does not pass
    /// while the server gets no requests. `alone` means that no other request is in flight on it.
    pub fn record_start(&mut self, now: Instant, alone: bool) {
        if alone && self.sample_count == 0 && self.slow_start_from.is_some() {
            self.slow_start_from = Some(now);
        }
    }

    /// Moving average of the time to an answer, if there was any.
    pub fn mean_latency_secs(&self) -> Option<f64> {
        (self.mean_latency_secs > 0.0).then_some(self.mean_latency_secs)
    }

    /// Whether there are enough samples to compare latencies.
    pub fn is_measured(&self) -> bool {
        self.sample_count >= MIN_SAMPLES && self.mean_latency_secs > 0.0
    }

    /// Stores the latest load and health report of the server.
    pub fn record_report(&mut self, report: ServerReport) {
        self.report = Some(report);
    }

    /// Factor on the expected latency from the server's report; 1 while there is a recent sample.
    pub fn report_penalty(&self, now: Instant) -> f64 {
        let has_recent_sample =
            self.last_sample_at.is_some_and(|at| now.saturating_since(at) <= SAMPLE_LIFETIME);
        match self.report {
            Some(report) if !has_recent_sample => {
                let penalty = if report.healthy { 1.0 } else { 4.0 };
                penalty * (1.0 + report.load.clamp(0.0, 1.0))
            }
            _ => 1.0,
        }
    }
}
