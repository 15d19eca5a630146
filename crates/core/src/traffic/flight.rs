//! A request in flight.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slotmap::new_key_type;

use super::MAX_TRIES;
use crate::{
    crash::Fingerprint,
    declaration::{RouteKey, WorkspaceKey},
    host::Incarnation,
    once::{Answer, RunKey},
    result::Code,
    route::BackendKey,
    time::{Instant, UnixMillis},
    view::View,
};

new_key_type! {
    /// Key of a request in flight.
    pub struct FlightKey;
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for the run of an earlier try.
    Waiting,
    /// It was passed to the owner of its id.
    Passed {
        /// The life that owns it.
        owner: Incarnation,
        /// Address of its host.
        to: SocketAddr,
        /// How often.
        times: usize,
    },
    /// It needs a token of its workspace.
    Admission,
    /// It needs a backend server.
    Choice,
    /// It was sent to this backend server.
    Sent(BackendKey),
}

/// The id of a request that runs at most once.
#[derive(Clone, Copy, Debug)]
pub(super) struct Once {
    pub(super) key: RunKey,
    pub(super) end: UnixMillis,
    /// The caller says that it has sent no earlier try of the id.
    pub(super) first_try: bool,
    /// Whether this host has given the request the right to run.
    pub(super) holds: bool,
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) view: Arc<View>,
    pub(super) route: RouteKey,
    pub(super) workspace: Option<WorkspaceKey>,
    pub(super) deadline: Instant,
    /// The right to run at most once that the request needs or holds.
    pub(super) once: Option<Once>,
    /// The whole answer, when it is kept for resends.
    pub(super) answer: Option<Arc<Answer>>,
    pub(super) fingerprint: Fingerprint,
    pub(super) tried: Vec<BackendKey>,
    /// What is answered when no further server can be tried.
    pub(super) otherwise: Code,
    pub(super) stage: Stage,
}

impl Flight {
    /// Time for the next try when `left` is left: an idempotent request keeps some for a second
    /// one, so that a connection gone silent does not cost the answer.
    pub(super) fn try_timeout(&self, left: Duration) -> Duration {
        if self.once.is_some() || self.tried.len() + 1 >= MAX_TRIES {
            return left;
        }
        let expected = self.view.declaration.routes[self.route].latency * 2;
        expected.clamp(left / 2, left * 3 / 4)
    }
}
