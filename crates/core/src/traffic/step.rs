//! What the request path asks of its front end, and what it is told back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::FlightKey;
use crate::{
    control::PeerMsg, declaration::KeyDigest, event::Event, host::Incarnation, once::Answer,
    result::Code, time::Instant,
};

/// What to do next for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to a backend server and report the outcome to [`Traffic::finish`].
    Send {
        /// The request in flight.
        flight: FlightKey,
        /// Address of the backend server.
        address: SocketAddr,
        /// Time that is left for the answer.
        timeout: Duration,
    },
    /// Wait until the flight is woken or the time has come, then call [`Traffic::resume`].
    Park {
        /// The request in flight.
        flight: FlightKey,
        /// When to stop waiting.
        until: Instant,
    },
    /// Pass the request to the owner of its id and report the outcome to [`Traffic::passed`].
    ///
    /// [`Traffic::passed`]: super::Traffic::passed
    Pass {
        /// The request in flight.
        flight: FlightKey,
        /// The life that owns the id.
        owner: Incarnation,
        /// Address of its host.
        to: SocketAddr,
        /// Time for this call.
        timeout: Duration,
        /// Time until the answer is due.
        deadline: Duration,
        /// Whether only a new connection will do.
        fresh: bool,
    },
    /// Answer the caller with an answer that was kept.
    Repeat(Arc<Answer>),
    /// Answer the caller with this code; with `Code::Done`, the backend server's answer goes along.
    Reply(Code),
}

/// How one try to reach a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status.
    Answered(u16),
    /// No connection was made: no byte was sent.
    ConnectFailed,
    /// The connection was lost after a byte may have been sent.
    ConnectionLost,
    /// No answer within the time given.
    TimedOut,
    /// The answer was incomplete or did not match.
    BadAnswer,
}

/// How passing a request to the owner of its id ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Passed {
    /// No connection was made: no byte was sent.
    NotReached,
    /// The connection was lost after a byte may have been sent.
    Lost,
    /// No answer within the time given.
    TimedOut,
    /// The host that answered does not own the id.
    NotOwner,
    /// The owner's answer.
    Ended(Code, Option<Arc<Answer>>),
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Origin {
    /// The caller says that it has sent no earlier try of the request id.
    pub first_try: bool,
    /// Another host passed the request on, with the digest of the caller's key.
    pub passed: Option<PassedFrom>,
}

/// What a host that passes a request on says of it.
#[derive(Clone, Copy, Debug)]
pub struct PassedFrom {
    /// The life that it takes for the owner of the id.
    pub owner: Incarnation,
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
}

/// What the request path wants done besides the step that a call returns.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// Parked flights that should be resumed.
    pub wakes: Vec<FlightKey>,
    /// Messages to other hosts.
    pub sends: Vec<(SocketAddr, PeerMsg)>,
    /// Log events.
    pub events: Vec<Event>,
}
