//! What the request path asks of its front end, and what it is told back.

use std::{net::SocketAddr, time::Duration};

use super::FlightKey;
use crate::{control::PeerMsg, event::Event, result::Code, time::Instant};

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
