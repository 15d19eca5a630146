//! Outages that the course of a host's reads of the store shows.

use std::time::Duration;

use jasminestage_core::steer::store_reads::{EndedOutage, StoreReads};
use test_case::test_case;

use crate::common::at;

/// What happens at a time in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// A read succeeds.
    Read(u64),
    /// A call that began at this time fails.
    Failure(u64),
    /// The host becomes a reader. Other hosts have lost the store since their read at the second time.
    Begin(u64, Option<u64>),
}

struct Case {
    events: &'static [Event],
    /// Duration of the outage that a read at 20 s ends, and the last call that failed.
    outage: Option<(u64, u64)>,
}

/// Fails if a host that starts or becomes a reader during an outage, or reads again after several
/// failures, takes it for shorter than it was: it would drop servers whose announcements expired.
#[test_case(&Case { events: &[Event::Read(1000)], outage: None }; "no failure")]
#[test_case(&Case { events: &[Event::Read(9000), Event::Failure(10_000)], outage: Some((11_000, 10_000)) }; "one failure")]
#[test_case(&Case { events: &[Event::Read(9000), Event::Failure(10_000), Event::Failure(17_000)], outage: Some((11_000, 17_000)) }; "several failures")]
#[test_case(&Case { events: &[Event::Read(9000), Event::Failure(10_000), Event::Read(12_000)], outage: None }; "an outage that has ended before")]
#[test_case(&Case { events: &[Event::Failure(14_000), Event::Failure(16_000)], outage: Some((6000, 16_000)) }; "a host that starts during the outage")]
#[test_case(&Case { events: &[Event::Read(1000), Event::Begin(19_000, None)], outage: None }; "a host that becomes a reader")]
#[test_case(&Case { events: &[Event::Read(1000), Event::Begin(19_000, None), Event::Failure(19_500)], outage: Some((1000, 19_500)) }; "a failure after the host has become a reader")]
#[test_case(&Case { events: &[Event::Read(1000), Event::Begin(19_000, Some(15_000))], outage: Some((5000, 19_000)) }; "a host that becomes a reader because the others have lost the store")]
#[test_case(&Case { events: &[Event::Begin(19_000, Some(15_000)), Event::Failure(19_500)], outage: Some((5000, 19_500)) }; "the same, and its first call fails")]
fn a_read_shows_the_outage_that_it_ends(case: &Case) {
    let mut reads = StoreReads::default();
    for event in case.events {
        match *event {
            Event::Read(time) => {
                reads.record_success(at(time));
            }
            Event::Failure(called_at) => reads.record_failure(at(called_at)),
            Event::Begin(time, lost_since) => reads.begin(at(time), lost_since.map(at)),
        }
    }
    let expected = case.outage.map(|(duration_ms, last_failed_call)| EndedOutage {
        duration: Duration::from_millis(duration_ms),
        last_failed_call: at(last_failed_call),
    });
    assert_eq!(reads.is_reachable(), expected.is_none());
    assert_eq!(reads.record_success(at(20_000)), expected);
    assert_eq!(reads.record_success(at(20_100)), None);
}

#[test]
fn reads_are_steady_from_the_first_one_after_a_failure() {
    let mut reads = StoreReads::default();
    reads.record_success(at(1000));
    assert_eq!(reads.steady_age(at(3000)), Some(Duration::from_secs(2)));
    reads.record_failure(at(4000));
    assert_eq!(reads.steady_age(at(4000)), None);
    reads.record_success(at(5000));
    reads.record_success(at(6000));
    assert_eq!(reads.steady_age(at(6000)), Some(Duration::from_secs(1)));
    assert_eq!(reads.read_age(at(6500)), Some(Duration::from_millis(500)));
    assert_eq!(reads.steady_age(at(9500)), None, "the host does not read any more");
}
