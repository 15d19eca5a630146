//! Headers of requests and answers.

use jasminestage_core::result::{Code, Execution};

/// Number of the result code.
pub const CODE: &str = "jasminestage-code";
/// What is known of the execution: `done`, `not-run` or `unknown`.
pub const EXECUTION: &str = "jasminestage-execution";
/// Time in milliseconds until the caller needs the answer.
pub const DEADLINE: &str = "jasminestage-deadline-ms";
/// Id of a request that runs at most once.
pub const REQUEST_ID: &str = "idempotency-key";
/// Number of the caller's try of a request id; with `1` the caller says that it has sent no other.
pub const ATTEMPT: &str = "jasminestage-attempt";
/// Id of one try, sent to the backend server.
pub const TRY_ID: &str = "x-request-id";

/// Headers that are never passed on: the caller's key and those of one connection (RFC 9110, 7.6.1).
pub const NOT_PASSED_ON: &[&str] = &[
    "authorization",
    "proxy-authorization",
    "cookie",
    "host",
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    REQUEST_ID,
    DEADLINE,
    ATTEMPT,
    TRY_ID,
];

/// Word for what a code says of the execution.
pub fn execution(code: Code) -> &'static str {
    match code.execution() {
        Execution::Done => "done",
        Execution::NotRun => "not-run",
        Execution::Unknown => "unknown",
    }
}
