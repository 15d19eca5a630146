//! State of a request and the decisions about it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    steer::{
        catalog::{Route, Workspace},
        cost::Urgency,
        leaving::IncarnationHash,
        refusal::{Refusal, RefusalReason},
        server::{ServerEntry, ServerKey},
        usage::WindowId,
    },
    time::Instant,
};

/// The head of a request, as received by the front end.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Id that the caller assigned to the request.
    pub id: &'a str,
    /// Host name.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// API key of the caller.
    pub key: Option<&'a str>,
    /// Affinity key: identifies the object that the request uses.
    pub object: Option<&'a str>,
    /// Time for which the caller waits for the answer, if the request states it.
    pub caller_timeout: Option<Duration>,
}

/// An attempt in progress to run a request on a server.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerKey,
    /// Incarnation of the server at the time of the choice.
    pub(super) incarnation: IncarnationHash,
    pub(super) sent_at: Instant,
    /// `latency_multiple` of the estimate, by which the measured latency is normalized.
    pub(super) latency_multiple: f64,
    /// `queue_factor` of the estimate, by which the time in the slot is calculated.
    pub(super) queue_factor: f64,
    pub(super) is_warm: bool,
    pub(super) version: String,
    /// Window in which the attempt is counted for the usage reports.
    pub(super) usage_window: Option<WindowId>,
}

/// A request that has been admitted and not answered yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Workspace of the caller's key.
    pub workspace: Option<Arc<Workspace>>,
    /// Service that runs the request.
    pub service: String,
    /// Time by which the request must be answered.
    pub deadline: Instant,
    /// Hash of the request's content, by which requests that crash servers are recognized.
    pub fingerprint: u64,
    /// Hash of the object that the request uses.
    pub(super) object: Option<u64>,
    /// Hash between 0 and 1 by which the region is chosen.
    pub(super) region_position: f64,
    /// Hash between 0 and 1 by which the version is chosen during a rollout.
    pub(super) version_position: f64,
    pub(super) tried_servers: Vec<ServerKey>,
    pub(super) connect_failures: usize,
    /// Reason why it is unknown whether a server ran the request in an earlier attempt.
    pub(super) unknown_outcome: Option<RefusalReason>,
    /// Whether a retry token has already been taken for the next attempt.
    pub(super) has_reserved_retry: bool,
    pub(super) current_attempt: Option<Attempt>,
}

impl PendingRequest {
    /// Makes the request end at `latest`, if its deadline is later.
    pub fn limit_deadline(&mut self, latest: Instant) {
        self.deadline = self.deadline.min(latest);
    }

    /// Urgency of the request among the others of its service.
    pub fn urgency(&self) -> Urgency {
        // Requests without a key come after those of all workspaces.
        (self.workspace.as_ref().map_or(u32::MAX, |w| w.priority), self.route.priority)
    }

    /// Spreads the waits of different requests around `wait`, so that they do not all come back at once.
    pub(super) fn spread(&self, wait: Duration) -> Duration {
        wait.mul_f64(0.5 + self.version_position)
    }

    /// Whether an attempt is in progress.
    pub fn has_attempt_in_progress(&self) -> bool {
        self.current_attempt.is_some()
    }
}

/// An attempt that the front end has to make: the chosen server and the time limits.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The server's announcement.
    pub server: Arc<ServerEntry>,
    /// Address of the server.
    pub address: SocketAddr,
    /// Time after which the attempt times out.
    pub timeout: Duration,
    /// Time after which the request may move to another server, if the retry budget allows it.
    pub failover_after: Duration,
    /// Expected latency.
    pub expected_latency: Duration,
    /// Estimated number of requests that the server runs or queues, at the time of the choice.
    pub load: f64,
    /// Age of the server's last load report.
    pub load_age: Option<Duration>,
}

/// The next action after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Send the server's answer to the caller.
    Deliver,
    /// Choose another server for the request.
    Retry,
    /// Answer the caller with a refusal or with an error which says that the outcome is unknown.
    Refuse(Refusal),
}
