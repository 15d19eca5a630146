//! Connections to backend servers and attempts of requests on them.

mod check;
mod pool;
mod send;

use std::sync::Arc;

use crate::body::BodyMemory;

pub use self::{
    check::check_for_crashes,
    pool::Pool,
    send::{AttemptResult, OutgoingRequest, ServerResponse, send},
};

/// Connections to the servers, and the memory for their responses.
pub struct Upstream {
    /// Idle connections.
    pub pool: Arc<Pool>,
    /// Memory for the bodies of responses.
    pub response_memory: Arc<BodyMemory>,
}
