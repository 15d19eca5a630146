//! Log lines and metrics of one request.

use jasminestage_core::{
    steer::{
        quota::QuotaState,
        refusal::{Refusal, RefusalReason},
        server::AttemptOutcome,
        steering::{Dispatch, PendingRequest},
    },
    time::Instant,
};
use jasminestage_net::clock;

use crate::{
    log::{self, RequestKind},
    shared::Shared,
};

/// Collects what is logged about one request; the line is written at its answer, or when it is
/// dropped because its caller left.
pub struct Trace<'a> {
    shared: &'a Shared,
    id: &'a str,
    arrived: Instant,
    route: String,
    workspace: String,
    /// The last try.
    to: Option<Dispatch>,
    tries: u32,
    outcome: &'static str,
    refusal: Option<Refusal>,
    quota: QuotaState,
    is_answered: bool,
}

impl<'a> Trace<'a> {
    /// The trace of a request whose head has arrived.
    pub fn new(shared: &'a Shared, id: &'a str, arrived: Instant) -> Self {
        Trace {
            shared,
            id,
            arrived,
            route: String::new(),
            workspace: String::new(),
            to: None,
            tries: 0,
            outcome: "none",
            refusal: None,
            quota: QuotaState::default(),
            is_answered: false,
        }
    }

    /// Notes that the request was taken.
    pub fn admitted(&mut self, flight: &PendingRequest) {
        self.route.clone_from(&flight.route.name);
        self.workspace = flight.workspace.as_ref().map_or_else(String::new, |w| w.name.clone());
    }

    /// Notes that it goes to a server; a further one has its own line.
    pub fn sent(&mut self, to: &Dispatch, flight: &PendingRequest) {
        if self.tries > 0 && log::admits_request_line(RequestKind::Bad) {
            let left = flight.deadline.saturating_since(clock::now());
            tracing::info!(
                event = 361,
                request = self.id,
                route = self.route,
                before = self.server(),
                outcome = self.outcome,
                server = to.server.id,
                expected_ms = to.expected_latency.as_millis() as u64,
                left_ms = left.as_millis() as u64,
                "A request goes to another server."
            );
        }
        self.to = Some(to.clone());
        self.tries += 1;
    }

    /// Notes how a try ended.
    pub fn tried(&mut self, outcome: AttemptOutcome) {
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
        self.shared.metrics.tried(self.outcome);
    }

    /// Notes that the system itself answers.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.refusal = Some(*refusal);
        self.shared.metrics.refused(refusal.reason);
        if refusal.reason == RefusalReason::OverQuota {
            self.quota = self.shared.decide(|steering, _| steering.quota_state(&self.workspace));
        }
    }

    /// Writes the line of a request that gets an answer.
    pub fn answered(mut self, status: u16) {
        self.is_answered = true;
        let took = clock::now().saturating_since(self.arrived);
        self.shared.metrics.answered(status, took);
        let is_good = self.refusal.is_none() && status < 500 && self.tries == 1;
        let kind = if is_good { RequestKind::Good } else { RequestKind::Bad };
        if !log::admits_request_line(kind) {
            return;
        }
        let code = self.refusal.map_or(0, |r| r.reason.number());
        let took_ms = took.as_millis() as u64;
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
                used_elsewhere = self.quota.remote.admitted,
                hosts = self.quota.remote.host_count,
                hosts_unheard = self.quota.remote.unreachable_hosts,
                took_ms,
                "A request was refused for its workspace's quota."
            );
            return;
        }
        let to = self.to.as_ref();
        let expected =
            self.refusal.and_then(|r| r.expected_latency).or(to.map(|to| to.expected_latency));
        tracing::info!(
            event = 360,
            request = self.id,
            route = self.route,
            workspace = self.workspace,
            configuration,
            server = self.server(),
            expected_ms = expected.map_or(0, |e| e.as_millis() as u64),
            load = to.map_or(0.0, |to| to.load),
            load_age_ms = to.and_then(|to| to.load_age).map(|age| age.as_millis() as u64),
            tries = self.tries,
            outcome = self.outcome,
            code,
            status,
            took_ms,
            "A request was answered."
        );
    }

    fn server(&self) -> &str {
        self.to.as_ref().map_or("", |to| to.server.id.as_str())
    }
}

impl Drop for Trace<'_> {
    fn drop(&mut self) {
        if self.is_answered || !log::admits_request_line(RequestKind::Bad) {
            return;
        }
        let took = clock::now().saturating_since(self.arrived);
        tracing::info!(
            event = 363,
            request = self.id,
            route = self.route,
            server = self.server(),
            tries = self.tries,
            took_ms = took.as_millis() as u64,
            "The caller of a request left before its answer."
        );
    }
}
