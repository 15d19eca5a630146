//! Requests that crash servers.

use jasminestage_core::steer::crash::{Crashes, Death};
use test_case::test_case;

use crate::common::at;

enum Step {
    /// A connection was lost in the middle of the request on a server.
    Lost(u64, u64),
    /// A server takes no connection.
    Dead(u64),
}

struct Case {
    /// Milliseconds and what happens then.
    steps: &'static [(u64, Step)],
    is_refused: bool,
}

const REQUEST: u64 = 7;

#[test_case(&Case { steps: &[(0, Step::Lost(REQUEST, 1)), (100, Step::Dead(1))], is_refused: false }; "one death")]
#[test_case(&Case { steps: &[
    (0, Step::Lost(REQUEST, 1)), (100, Step::Dead(1)), (900, Step::Lost(REQUEST, 2)), (999, Step::Dead(2)),
], is_refused: true }; "two deaths")]
#[test_case(&Case { steps: &[
    (0, Step::Lost(REQUEST, 1)), (100, Step::Dead(1)), (900, Step::Lost(REQUEST, 1)), (999, Step::Dead(1)),
], is_refused: false }; "one server twice")]
#[test_case(&Case { steps: &[
    (0, Step::Lost(REQUEST, 1)), (100, Step::Lost(REQUEST, 2)), (200, Step::Lost(REQUEST, 3)),
], is_refused: false }; "lost answers of living servers")]
#[test_case(&Case { steps: &[
    (0, Step::Lost(REQUEST, 1)), (9000, Step::Dead(1)), (9100, Step::Lost(REQUEST, 2)), (20_000, Step::Dead(2)),
], is_refused: false }; "deaths long after")]
#[test_case(&Case { steps: &[
    (0, Step::Lost(8, 1)), (10, Step::Dead(1)), (20, Step::Lost(9, 2)), (30, Step::Dead(2)),
], is_refused: false }; "other requests")]
fn a_request_is_refused_after_deaths_of_two_servers(case: &Case) {
    let mut crashes = Crashes::default();
    let mut last = at(0);
    for (millis, step) in case.steps {
        last = at(*millis);
        match step {
            Step::Lost(fingerprint, server) => {
                let death = Death { fingerprint: *fingerprint, server: *server };
                crashes.note_lost(last, death);
            }
            Step::Dead(server) => crashes.note_dead(last, *server),
        }
        crashes.expire(last);
    }
    assert_eq!(crashes.refuses(last, REQUEST), case.is_refused);
}
