//! Answers that the host itself gives, each with a code that logs and metrics report.

use std::time::Duration;

/// Reason why the host itself answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The host has no configuration yet.
    NoConfiguration,
    /// No route matches the host name and path.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The request has no id or cannot be parsed.
    BadRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The workspace has exceeded its rate and burst.
    OverQuota,
    /// Every server that may run the request is expected to answer too late.
    Overloaded,
    /// No server may run the request.
    NoServer,
    /// The request has crashed several servers.
    CrashingRequest,
    /// The host is stopping.
    Stopping,
    /// Servers reported that they did not run the request, and no further attempt is allowed.
    Shed,
    /// The connection was lost after the request had been sent.
    ConnectionLost,
    /// The server's answer was invalid or incomplete.
    BadAnswer,
    /// No answer arrived before the deadline of the request or the timeout of the attempt.
    TimedOut,
    /// The deadline passed before the request was sent.
    Expired,
    /// The bodies of other requests use the memory that this one needs.
    MemoryExhausted,
    /// All descriptors are in use for other requests.
    DescriptorsExhausted,
    /// More urgent requests would have to wait too long behind this one.
    LessUrgent,
}

impl RefusalReason {
    /// All reasons, in the order of their codes.
    pub const ALL: [RefusalReason; 18] = [
        RefusalReason::NoConfiguration,
        RefusalReason::NoRoute,
        RefusalReason::BadKey,
        RefusalReason::BadRequest,
        RefusalReason::BodyTooLarge,
        RefusalReason::OverQuota,
        RefusalReason::Overloaded,
        RefusalReason::NoServer,
        RefusalReason::CrashingRequest,
        RefusalReason::Stopping,
        RefusalReason::Shed,
        RefusalReason::ConnectionLost,
        RefusalReason::BadAnswer,
        RefusalReason::TimedOut,
        RefusalReason::Expired,
        RefusalReason::MemoryExhausted,
        RefusalReason::DescriptorsExhausted,
        RefusalReason::LessUrgent,
    ];

    /// Code in the table of result codes.
    pub const fn number(self) -> u16 {
        301 + self as u16
    }

    /// HTTP status. 429 and 503 guarantee that no server has run the request or will run it.
    pub const fn status(self) -> u16 {
        match self {
            RefusalReason::NoRoute => 404,
            RefusalReason::BadKey => 401,
            RefusalReason::BadRequest => 400,
            RefusalReason::BodyTooLarge => 413,
            RefusalReason::OverQuota => 429,
            RefusalReason::ConnectionLost | RefusalReason::BadAnswer => 502,
            RefusalReason::TimedOut => 504,
            RefusalReason::NoConfiguration
            | RefusalReason::Overloaded
            | RefusalReason::NoServer
            | RefusalReason::CrashingRequest
            | RefusalReason::Stopping
            | RefusalReason::Shed
            | RefusalReason::Expired
            | RefusalReason::MemoryExhausted
            | RefusalReason::DescriptorsExhausted
            | RefusalReason::LessUrgent => 503,
        }
    }

    /// Sentence for callers and logs.
    pub const fn text(self) -> &'static str {
        match self {
            RefusalReason::NoConfiguration => "This host has no configuration yet.",
            RefusalReason::NoRoute => "No route has this host and path.",
            RefusalReason::BadKey => "The key is missing or unknown.",
            RefusalReason::BadRequest => "The request cannot be read or lacks its id.",
            RefusalReason::BodyTooLarge => "The body is larger than the limit.",
            RefusalReason::OverQuota => "The workspace is over its rate and burst.",
            RefusalReason::Overloaded => "All servers are too busy to answer in time.",
            RefusalReason::NoServer => "No server may run the request now.",
            RefusalReason::CrashingRequest => "The request has crashed several servers.",
            RefusalReason::Stopping => "This host is stopping.",
            RefusalReason::Shed => "The servers did not run the request.",
            RefusalReason::ConnectionLost => "The connection to the server was lost.",
            RefusalReason::BadAnswer => "The server's answer could not be used.",
            RefusalReason::TimedOut => "No answer came in time.",
            RefusalReason::Expired => "No time was left to send the request.",
            RefusalReason::MemoryExhausted => "This host has no memory left for the body.",
            RefusalReason::DescriptorsExhausted => {
                "This host has no connection left for the request."
            }
            RefusalReason::LessUrgent => "More urgent requests need the room at the servers.",
        }
    }
}

/// A refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
    /// Expected latency of the best server, if the request was refused because of it.
    pub expected_latency: Option<Duration>,
}

impl From<RefusalReason> for Refusal {
    fn from(reason: RefusalReason) -> Self {
        Refusal { reason, retry_after: None, expected_latency: None }
    }
}
