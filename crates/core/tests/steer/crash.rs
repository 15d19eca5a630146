//! Detection of requests that crash servers.
//!
//! Undetected, such a request crashes one server after another when it is retried. A lost connection
//! alone is no proof: a network fault on a running server must not lead to refusals.

use jasminestage_core::steer::crash::{CrashTracker, ServerCrash};
use test_case::test_case;

use crate::common::at;

enum Step {
    /// The connection was lost while a server ran a request: fingerprint and server.
    ConnectionLost(u64, u64),
    /// A server accepts no connection.
    ConnectFailed(u64),
}

struct Case {
    /// Steps with their times in milliseconds.
    steps: &'static [(u64, Step)],
    is_refused: bool,
}

const REQUEST: u64 = 7;

#[test_case(&Case { steps: &[(0, Step::ConnectionLost(REQUEST, 1)), (100, Step::ConnectFailed(1))], is_refused: false }; "one crash")]
#[test_case(&Case { steps: &[
    (0, Step::ConnectionLost(REQUEST, 1)), (100, Step::ConnectFailed(1)), (900, Step::ConnectionLost(REQUEST, 2)), (999, Step::ConnectFailed(2)),
], is_refused: true }; "two crashes")]
#[test_case(&Case { steps: &[
    (0, Step::ConnectionLost(REQUEST, 1)), (100, Step::ConnectFailed(1)), (900, Step::ConnectionLost(REQUEST, 1)), (999, Step::ConnectFailed(1)),
], is_refused: false }; "one server twice")]
#[test_case(&Case { steps: &[
    (0, Step::ConnectionLost(REQUEST, 1)), (100, Step::ConnectionLost(REQUEST, 2)), (200, Step::ConnectionLost(REQUEST, 3)),
], is_refused: false }; "lost connections to running servers")]
#[test_case(&Case { steps: &[
    (0, Step::ConnectionLost(REQUEST, 1)), (9000, Step::ConnectFailed(1)), (9100, Step::ConnectionLost(REQUEST, 2)), (20_000, Step::ConnectFailed(2)),
], is_refused: false }; "failed connections long after")]
#[test_case(&Case { steps: &[
    (0, Step::ConnectionLost(8, 1)), (10, Step::ConnectFailed(1)), (20, Step::ConnectionLost(9, 2)), (30, Step::ConnectFailed(2)),
], is_refused: false }; "other requests")]
fn a_request_is_refused_after_crashes_of_two_servers(case: &Case) {
    let mut crashes = CrashTracker::default();
    let mut last = at(0);
    for (millis, step) in case.steps {
        last = at(*millis);
        match step {
            Step::ConnectionLost(fingerprint, server) => {
                let crash = ServerCrash { fingerprint: *fingerprint, server: *server };
                crashes.record_lost_connection(last, crash);
            }
            Step::ConnectFailed(server) => crashes.record_connect_failure(last, *server),
        }
        crashes.expire(last);
    }
    assert_eq!(crashes.is_refused(last, REQUEST), case.is_refused);
}
