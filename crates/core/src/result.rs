//! Numbered result codes, which are sent to callers in addition to the answer itself.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request was executed, as far as this system can determine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// A backend server executed the request and answered.
    Done,
    /// No byte of the request was sent to a backend server.
    NotRun,
    /// The request may or may not have been executed.
    Unknown,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $execution:ident, $status:literal;)+) => {
        /// Result code of a request, a lookup or an operator's call.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name,)+];

            /// Number of the code, stable across releases.
            pub const fn number(self) -> u16 {
                match self { $(Code::$name => $number,)+ }
            }

            /// Whether a request with this code was executed.
            pub const fn execution(self) -> Execution {
                match self { $(Code::$name => Execution::$execution,)+ }
            }

            /// HTTP status of the answer with this code.
            pub const fn http_status(self) -> u16 {
                match self { $(Code::$name => $status,)+ }
            }

            /// Human-readable description, one sentence.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => concat!($($doc),+).trim_start(),)+ }
            }
        }
    };
}

codes! {
    /// The request was answered by a backend server.
    Done = 0, Done, 200;
    /// The request could not be parsed.
    Malformed = 101, NotRun, 400;
    /// The header or body is larger than the limit.
    TooLarge = 102, NotRun, 413;
    /// No route of this name is declared.
    UnknownRoute = 103, NotRun, 404;
    /// The route needs a key and the request carries none.
    KeyMissing = 104, NotRun, 401;
    /// The key is not a declared one, or it was withdrawn.
    KeyUnknown = 105, NotRun, 401;
    /// The workspace of the key may not use this route.
    RouteNotAllowed = 106, NotRun, 403;
    /// The workspace is over its rate and burst.
    OverRate = 107, NotRun, 429;
    /// No backend server of the route can take the request now.
    NoServer = 108, NotRun, 503;
    /// This host holds no configuration yet.
    NoConfiguration = 109, NotRun, 503;
    /// This host is cut off and its authority for keyed routes has ended.
    AuthorityEnded = 110, NotRun, 503;
    /// The deadline passed before the request was sent on.
    DeadlineBeforeStart = 111, NotRun, 504;
    /// The route needs a request id and the request carries none that is valid.
    BadRequestId = 112, NotRun, 400;
    /// The request id is past its end; whether an earlier try ran is not known.
    RequestIdExpired = 113, Unknown, 410;
    /// The memory for request ids is full.
    RequestIdsFull = 114, NotRun, 503;
    /// The owner of the request id cannot be reached; this first try has not reached any host that
    /// may run it.
    OwnerUnreachable = 115, NotRun, 503;
    /// The request is suspected to crash backend servers and is held back.
    Quarantined = 116, NotRun, 422;
    /// This host is stopping and takes no new requests.
    Stopping = 117, NotRun, 503;
    /// Too many requests wait for a backend server.
    QueueFull = 118, NotRun, 503;
    /// The request id was used before with another body.
    RequestIdReused = 121, NotRun, 422;
    /// The deadline passed after the request was sent on.
    DeadlineAfterStart = 201, Unknown, 504;
    /// The connection to the backend server was lost after the request was sent on.
    ConnectionLost = 202, Unknown, 502;
    /// The owner of the request id is gone; whether the request ran is not known.
    OwnerGone = 203, Unknown, 502;
    /// The backend server's answer was incomplete or did not match the request.
    BadAnswer = 204, Unknown, 502;
    /// An earlier try of the same request id has not finished.
    StillRunning = 205, Unknown, 409;
    /// The request ran earlier and was answered; the answer is no longer kept.
    AnswerNotKept = 206, Done, 410;
    /// This try was not run; whether an earlier try of the same request id ran is not known.
    EarlierTryUnknown = 207, Unknown, 503;
    /// The owner of the request id has not answered in time.
    OwnerSilent = 208, Unknown, 504;
    /// The declaration has faults and was not applied.
    DeclarationInvalid = 401, NotRun, 400;
    /// Another apply came first.
    RevisionConflict = 402, NotRun, 409;
    /// The platform's store does not answer.
    StoreUnavailable = 403, NotRun, 503;
    /// The change is written but not every failure domain has accepted it yet.
    NotAccepted = 404, Done, 202;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}
