//! State of a request in flight.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slotmap::new_key_type;

use super::MAX_TRIES;
use crate::{
    crash::Fingerprint,
    host::Incarnation,
    once::{Answer, DedupKey},
    result::Code,
    route::BackendKey,
    time::{Instant, UnixMillis},
    view::View,
    world::{RouteKey, WorkspaceKey},
};

new_key_type! {
    /// Key of a request in flight.
    pub struct FlightKey;
}

/// Processing stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for an earlier try with the same id to end.
    AwaitingEarlierTry,
    /// It was forwarded to the owner of its id.
    Forwarded {
        /// Incarnation of the owner.
        owner: Incarnation,
        /// Peer address of the owner.
        to: SocketAddr,
        /// Number of times that it was forwarded.
        attempts: usize,
    },
    /// It needs a rate limit token of its workspace.
    AwaitingToken,
    /// It needs a backend server.
    AwaitingBackend,
    /// It was sent to this backend server.
    Sent(BackendKey),
}

/// State of a request that runs at most once.
#[derive(Clone, Copy, Debug)]
pub(super) struct OnceState {
    pub(super) key: DedupKey,
    /// When the request id expires.
    pub(super) expires_at: UnixMillis,
    /// Whether the caller states that this is its first try with the id.
    pub(super) first_try: bool,
    /// Whether this host allowed the request to run.
    pub(super) may_run: bool,
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) view: Arc<View>,
    pub(super) route: RouteKey,
    pub(super) workspace: Option<WorkspaceKey>,
    pub(super) deadline: Instant,
    /// Set if the request runs at most once.
    pub(super) once: Option<OnceState>,
    /// The complete answer, if it is kept for resends.
    pub(super) answer: Option<Arc<Answer>>,
    pub(super) fingerprint: Fingerprint,
    /// Backend servers that the request was sent to.
    pub(super) tried_servers: Vec<BackendKey>,
    /// Code of the answer if no further server can be tried.
    pub(super) fallback_code: Code,
    pub(super) stage: Stage,
}

impl Flight {
    /// Timeout of the next try, given the time `left` until the deadline.
    ///
    /// An idempotent request reserves time for a second try, so that it can still be answered if the
    /// connection of the first one stops responding.
    pub(super) fn try_timeout(&self, left: Duration) -> Duration {
        if self.once.is_some() || self.tried_servers.len() + 1 >= MAX_TRIES {
            return left;
        }
        let expected = self.view.world.routes[self.route].latency * 2;
        expected.clamp(left / 2, left * 3 / 4)
    }
}
