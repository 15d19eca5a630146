//! Steps that the request path returns to a front end, and the outcomes that it reports back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::FlightKey;
use crate::{
    control::PeerMsg, declaration::KeyDigest, event::Event, host::Incarnation, once::Answer,
    result::Code, time::Instant,
};

/// The next step in handling a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to a backend server and report the outcome to [`Traffic::finish`].
    ///
    /// [`Traffic::finish`]: super::Traffic::finish
    Send {
        /// The request in flight.
        flight: FlightKey,
        /// Address of the backend server.
        address: SocketAddr,
        /// Timeout of this try.
        timeout: Duration,
    },
    /// Wait until the flight is woken or until the given time, then call [`Traffic::resume`].
    ///
    /// [`Traffic::resume`]: super::Traffic::resume
    Park {
        /// The request in flight.
        flight: FlightKey,
        /// When to stop waiting.
        until: Instant,
    },
    /// Forward the request to the owner of its id and report the outcome to [`Traffic::finish_forward`].
    ///
    /// [`Traffic::finish_forward`]: super::Traffic::finish_forward
    Forward {
        /// The request in flight.
        flight: FlightKey,
        /// Incarnation of the owner.
        owner: Incarnation,
        /// Peer address of the owner.
        to: SocketAddr,
        /// Timeout of this call.
        timeout: Duration,
        /// Time until the answer is due.
        deadline: Duration,
        /// Whether a new connection is required.
        new_connection: bool,
    },
    /// Answer the caller with the stored answer to an earlier try.
    ReplayAnswer(Arc<Answer>),
    /// Answer the caller with this code; with `Code::Done`, return the backend server's answer.
    Reply(Code),
}

/// How one try to reach a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with this status.
    Answered(u16),
    /// No connection was made: no byte was sent.
    ConnectFailed,
    /// The connection was lost after a byte may have been sent.
    ConnectionLost,
    /// No answer before the timeout.
    TimedOut,
    /// The answer was incomplete or did not match the request.
    BadAnswer,
}

/// How forwarding a request to the owner of its id ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// No connection was made: no byte was sent.
    NotReached,
    /// The connection was lost after a byte may have been sent.
    Lost,
    /// No answer before the timeout.
    TimedOut,
    /// The host that answered does not own the id.
    NotOwner,
    /// The owner's result code and, if the request succeeded, the answer.
    Ended(Code, Option<Arc<Answer>>),
}

/// Origin of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Origin {
    /// Whether the caller states that this is its first try with the request id.
    pub first_try: bool,
    /// Set if another host forwarded the request.
    pub forwarded_by: Option<ForwardedBy>,
}

/// Data that a host sends along with a request that it forwards.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedBy {
    /// Incarnation of the owner of the id, according to the forwarding host.
    pub owner: Incarnation,
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
}

/// Output of the request path in addition to the step that a call returns.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// Parked flights that should be resumed.
    pub wakes: Vec<FlightKey>,
    /// Messages to other hosts.
    pub sends: Vec<(SocketAddr, PeerMsg)>,
    /// Log events.
    pub events: Vec<Event>,
}
