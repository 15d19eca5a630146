//! A request in flight.

use std::sync::Arc;

use slotmap::new_key_type;

use crate::{
    crash::Fingerprint,
    once::RequestId,
    result::Code,
    time::Instant,
    view::View,
    world::{RouteKey, ServerKey, WorkspaceKey},
};

new_key_type! {
    /// Key of a request in flight.
    pub struct FlightKey;
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It needs a token of its workspace.
    Admission,
    /// It needs a backend server.
    Choice,
    /// It was sent to this backend server.
    Sent(ServerKey),
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) view: Arc<View>,
    pub(super) route: RouteKey,
    pub(super) workspace: Option<WorkspaceKey>,
    pub(super) deadline: Instant,
    pub(super) id: Option<RequestId>,
    #[expect(dead_code, reason = "read when backend servers die")]
    pub(super) fingerprint: Fingerprint,
    pub(super) tried: Vec<ServerKey>,
    /// What is answered when no further server can be tried.
    pub(super) otherwise: Code,
    pub(super) stage: Stage,
}
