//! Headers of requests and responses.

use jasminestage_core::result::{Code, Execution};

/// Numeric result code.
pub const RESULT_CODE: &str = "jasminestage-code";
/// Whether the request was executed: `done`, `not-run` or `unknown`.
pub const EXECUTION: &str = "jasminestage-execution";
/// Time in milliseconds until the caller needs the response.
pub const DEADLINE: &str = "jasminestage-deadline-ms";
/// Id of a request that runs at most once.
pub const REQUEST_ID: &str = "idempotency-key";
/// Number of the caller's attempt with a request id; `1` states that there was no earlier attempt.
pub const ATTEMPT_NUMBER: &str = "jasminestage-attempt";
/// Id of one attempt, sent to the backend server.
pub const ATTEMPT_ID: &str = "x-request-id";

/// Headers that are not forwarded: credentials of the caller, headers of a single connection
/// (RFC 9110, 7.6.1), and headers that are evaluated or set here.
pub const NOT_FORWARDED: &[&str] = &[
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
    ATTEMPT_NUMBER,
    ATTEMPT_ID,
];

/// Header value for the execution state of a result code.
pub fn execution(code: Code) -> &'static str {
    match code.execution() {
        Execution::Done => "done",
        Execution::NotRun => "not-run",
        Execution::Unknown => "unknown",
    }
}
