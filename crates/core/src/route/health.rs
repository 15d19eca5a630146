//! What this host sees of one backend server: latency, failures, ejection and slow start.

use std::time::Duration;

use crate::time::Instant;

/// Weight of the newest sample in the moving averages.
const WEIGHT: f64 = 0.2;
/// Samples before a server is judged.
const MIN_SAMPLES: u32 = 5;
/// Share of failures above which a server is ejected.
const FAILURE_LIMIT: f64 = 0.5;
/// Failed connections in a row after which a server is ejected.
const CONNECT_LIMIT: u32 = 3;
/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Doublings of an ejection at most.
const MAX_DOUBLINGS: u32 = 5;
/// Good answers on trial before a server is readmitted.
const TRIAL_SAMPLES: u32 = 3;
/// Time in which a new or returning server gets all of its slots.
pub const RAMP: Duration = Duration::from_secs(5);
/// Requests of this host after which a server's caches count as warm.
const WARM_SAMPLES: u32 = 3;
/// Time for which what was seen outranks what the server reports.
const FRESH: Duration = Duration::from_secs(2);

/// How one request to a server ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// An answer that is no failure.
    Good,
    /// An answer that says the server is full.
    Shed,
    /// A failed answer, a lost connection or no answer in time.
    Failed,
    /// No connection could be made.
    NoConnection,
}

/// What a server's load and health endpoints said last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share of its slots that it says are taken.
    pub load: f64,
    /// Whether it says that it is healthy.
    pub healthy: bool,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Admitted,
    Ejected { until: Instant },
    Trial { good: u32 },
}

/// What this host sees of one backend server.
#[derive(Clone, Debug)]
pub struct Health {
    latency: f64,
    failures: f64,
    samples: u32,
    no_connection: u32,
    sampled: Option<Instant>,
    standing: Standing,
    ejections: u32,
    ramp_from: Option<Instant>,
    report: Option<Report>,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            latency: 0.0,
            failures: 0.0,
            samples: 0,
            no_connection: 0,
            sampled: None,
            standing: Standing::Admitted,
            ejections: 0,
            ramp_from: None,
            report: None,
        }
    }
}

impl Health {
    /// A server that has just been declared: its caches are cold.
    pub fn cold(now: Instant) -> Self {
        Health { ramp_from: Some(now), ..Health::default() }
    }

    /// Takes in how a request ended; returns whether the server should be ejected.
    pub fn see(&mut self, now: Instant, sample: Sample, took: Duration) -> bool {
        self.sampled = Some(now);
        self.samples = self.samples.saturating_add(1);
        let failed = sample != Sample::Good;
        let blend = |old: f64, new: f64| old + WEIGHT * (new - old);
        self.failures = blend(self.failures, f64::from(u8::from(failed)));
        self.no_connection =
            if sample == Sample::NoConnection { self.no_connection + 1 } else { 0 };
        if matches!(sample, Sample::Good | Sample::Failed) {
            let took = took.as_secs_f64();
            self.latency = if self.latency == 0.0 { took } else { blend(self.latency, took) };
        }
        match self.standing {
            Standing::Admitted => self.is_unreachable() || self.is_failing(),
            Standing::Ejected { .. } => false,
            Standing::Trial { .. } if failed => true,
            Standing::Trial { good } if good + 1 >= TRIAL_SAMPLES => {
                self.readmit(now);
                false
            }
            Standing::Trial { good } => {
                self.standing = Standing::Trial { good: good + 1 };
                false
            }
        }
    }

    /// Whether connections to the server fail: no bound on ejection counts for such servers.
    pub fn is_unreachable(&self) -> bool {
        self.no_connection >= CONNECT_LIMIT
    }

    fn is_failing(&self) -> bool {
        self.samples >= MIN_SAMPLES && self.failures > FAILURE_LIMIT
    }

    /// Gives the server no requests for a while.
    pub fn eject(&mut self, now: Instant) {
        let span = FIRST_EJECTION * 2u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.standing = Standing::Ejected { until: now + span };
    }

    fn readmit(&mut self, now: Instant) {
        let ejections = self.ejections.saturating_sub(1);
        let latency = self.latency;
        *self = Health { latency, ejections, report: self.report, ..Health::cold(now) };
    }

    /// Moves a server whose ejection is over to its trial.
    pub fn refresh(&mut self, now: Instant) {
        if matches!(self.standing, Standing::Ejected { until } if until <= now) {
            self.standing = Standing::Trial { good: 0 };
        }
    }

    /// Whether the server is ejected or on trial.
    pub fn is_held_out(&self) -> bool {
        self.standing != Standing::Admitted
    }

    /// Requests that this host may have in flight on the server, of `slots` that it could use.
    pub fn limit(&self, now: Instant, slots: u16) -> u16 {
        match self.standing {
            Standing::Ejected { .. } => return 0,
            Standing::Trial { .. } => return slots.min(1),
            Standing::Admitted => {}
        }
        let Some(from) = self.ramp_from else { return slots };
        let part = now.saturating_since(from).as_secs_f64() / RAMP.as_secs_f64();
        let ramped = (f64::from(slots) * part.min(1.0)).ceil() as u16;
        ramped.max(1).min(slots)
    }

    /// Whether the server's caches may still be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.samples < WARM_SAMPLES
            || self.ramp_from.is_some_and(|from| now.saturating_since(from) < RAMP)
    }

    /// Starts the ramp of a cold server at its first request rather than at its declaration.
    pub fn note_start(&mut self, now: Instant, alone: bool) {
        if alone && self.samples == 0 && self.ramp_from.is_some() {
            self.ramp_from = Some(now);
        }
    }

    /// Mean time of an answer in seconds, if any was seen.
    pub fn latency(&self) -> Option<f64> {
        (self.latency > 0.0).then_some(self.latency)
    }

    /// Whether enough answers were seen to compare latencies.
    pub fn is_measured(&self) -> bool {
        self.samples >= MIN_SAMPLES && self.latency > 0.0
    }

    /// Takes in what the server reports of itself.
    pub fn hear_report(&mut self, report: Report) {
        self.report = Some(report);
    }

    /// Factor on the expected wait from the server's report; 1 while own samples are fresh.
    pub fn report_factor(&self, now: Instant) -> f64 {
        let fresh = self.sampled.is_some_and(|at| now.saturating_since(at) <= FRESH);
        match self.report {
            Some(report) if !fresh => {
                let sick = if report.healthy { 1.0 } else { 4.0 };
                sick * (1.0 + report.load.clamp(0.0, 1.0))
            }
            _ => 1.0,
        }
    }
}
