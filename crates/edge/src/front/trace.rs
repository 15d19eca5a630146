//! Log lines and metrics of a request.

use jasminestage_core::{
    crash::{Fingerprint, evidence::ReportedCrash},
    steer::{
        quota::QuotaState,
        refusal::{Refusal, RefusalReason},
        server::AttemptOutcome,
        steering::{Dispatch, PendingRequest},
    },
    time::Instant,
};
use jasminestage_net::clock;

use crate::{control::describe_crash, log::RequestOutcome, shared::Shared};

/// Collects the data that is logged about a request. The line is written with the response, or when
/// the trace is dropped because the caller disconnected.
pub struct Trace<'a> {
    shared: &'a Shared,
    id: &'a str,
    arrived_at: Instant,
    route: String,
    workspace: String,
    /// Last attempt.
    last_dispatch: Option<Dispatch>,
    attempts: u32,
    outcome: &'static str,
    refusal: Option<Refusal>,
    quota: QuotaState,
    fingerprint: Fingerprint,
    /// Crashes because of which the request was refused.
    crashes: Vec<ReportedCrash>,
    is_finished: bool,
}

impl<'a> Trace<'a> {
    /// Creates the trace of a request whose head has arrived.
    pub fn new(shared: &'a Shared, id: &'a str, arrived_at: Instant) -> Self {
        Trace {
            shared,
            id,
            arrived_at,
            route: String::new(),
            workspace: String::new(),
            last_dispatch: None,
            attempts: 0,
            outcome: "none",
            refusal: None,
            quota: QuotaState::default(),
            fingerprint: 0,
            crashes: Vec::new(),
            is_finished: false,
        }
    }

    /// Records that the request was admitted.
    pub fn record_admission(&mut self, request: &PendingRequest) {
        self.route.clone_from(&request.route.name);
        self.workspace = request.workspace.as_ref().map_or_else(String::new, |w| w.name.clone());
    }

    /// Records the fingerprint of the complete request.
    pub fn record_fingerprint(&mut self, fingerprint: Fingerprint) {
        self.fingerprint = fingerprint;
    }

    /// Records that the request is sent to a server, and logs every attempt after the first.
    pub fn record_dispatch(&mut self, dispatch: &Dispatch, request: &PendingRequest) {
        if self.attempts > 0 && self.shared.request_lines.admits(RequestOutcome::Bad) {
            let time_left = request.deadline.saturating_since(clock::now());
            tracing::info!(
                event = 361,
                request = self.id,
                route = self.route,
                before = self.server(),
                outcome = self.outcome,
                server = dispatch.server.id,
                expected_ms = dispatch.expected_latency.as_millis() as u64,
                left_ms = time_left.as_millis() as u64,
                "A request is retried at another server."
            );
        }
        self.last_dispatch = Some(dispatch.clone());
        self.attempts += 1;
    }

    /// Records the outcome of an attempt.
    pub fn record_attempt(&mut self, outcome: AttemptOutcome) {
        self.outcome = match outcome {
            AttemptOutcome::Answered { .. } => "answered",
            AttemptOutcome::Shed => "shed",
            AttemptOutcome::WrongServer => "wrong server",
            AttemptOutcome::NotSent => "not sent",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::BadAnswer => "bad answer",
            AttemptOutcome::TimedOut => "timed out",
            AttemptOutcome::Abandoned => "abandoned",
        };
        self.shared.metrics.count_attempt(self.outcome);
    }

    /// Records that the host refuses the request.
    pub fn record_refusal(&mut self, refusal: &Refusal) {
        self.refusal = Some(*refusal);
        self.shared.metrics.count_refusal(refusal.reason);
        match refusal.reason {
            RefusalReason::OverQuota => {
                self.quota =
                    self.shared.with_steering(|steering, _| steering.quota_state(&self.workspace));
            }
            RefusalReason::CrashingRequest => {
                self.crashes = self
                    .shared
                    .with_steering(|steering, now| steering.crashes_of(now, self.fingerprint));
            }
            _ => {}
        }
    }

    /// Records the status of the response and logs the request.
    pub fn record_response(mut self, status: u16) {
        self.is_finished = true;
        let duration = clock::now().saturating_since(self.arrived_at);
        self.shared.metrics.record_response(status, duration);
        let is_good = self.refusal.is_none() && status < 500 && self.attempts == 1;
        let outcome = if is_good { RequestOutcome::Good } else { RequestOutcome::Bad };
        if !self.shared.request_lines.admits(outcome) {
            return;
        }
        let code = self.refusal.map_or(0, |r| r.reason.number());
        let took_ms = duration.as_millis() as u64;
        let configuration = self.shared.view.load().catalog.version;
        if self.refusal.is_some_and(|r| r.reason == RefusalReason::OverQuota) {
            tracing::info!(
                event = 362,
                request = self.id,
                route = self.route,
                workspace = self.workspace,
                configuration,
                code,
                status,
                used_here = self.quota.admitted,
                used_elsewhere = self.quota.remote.admitted.total(),
                hosts = self.quota.remote.host_count,
                hosts_unheard = self.quota.remote.unreachable_hosts,
                took_ms,
                "A request was refused because its workspace exceeded its quota."
            );
            return;
        }
        if self.refusal.is_some_and(|r| r.reason == RefusalReason::CrashingRequest) {
            let crashes: Vec<String> = self.crashes.iter().map(describe_crash).collect();
            tracing::info!(
                event = 368,
                request = self.id,
                route = self.route,
                workspace = self.workspace,
                configuration,
                code,
                status,
                fingerprint = format!("{:016x}", self.fingerprint),
                ?crashes,
                took_ms,
                "A request was refused because servers crashed while they ran it."
            );
            return;
        }
        let dispatch = self.last_dispatch.as_ref();
        let expected_latency =
            self.refusal.and_then(|r| r.expected_latency).or(dispatch.map(|d| d.expected_latency));
        tracing::info!(
            event = 360,
            request = self.id,
            route = self.route,
            workspace = self.workspace,
            configuration,
            server = self.server(),
            domain = dispatch.map_or("", |d| d.server.zone.as_str()),
            expected_ms = expected_latency.map_or(0, |e| e.as_millis() as u64),
            load = dispatch.map_or(0.0, |d| d.load),
            load_age_ms = dispatch.and_then(|d| d.load_age).map(|age| age.as_millis() as u64),
            tries = self.attempts,
            outcome = self.outcome,
            code,
            status,
            took_ms,
            "A request was answered."
        );
    }

    fn server(&self) -> &str {
        self.last_dispatch.as_ref().map_or("", |d| d.server.id.as_str())
    }
}

impl Drop for Trace<'_> {
    fn drop(&mut self) {
        if self.is_finished || !self.shared.request_lines.admits(RequestOutcome::Bad) {
            return;
        }
        let duration = clock::now().saturating_since(self.arrived_at);
        tracing::info!(
            event = 363,
            request = self.id,
            route = self.route,
            server = self.server(),
            tries = self.attempts,
            took_ms = duration.as_millis() as u64,
            "The caller of a request disconnected before the response."
        );
    }
}
