//! Announcements that lapsed while the store was away.

use std::time::Duration;

use jasminestage_core::steer::{control::Change, lapse::Lapses};
use test_case::test_case;

use crate::common::{at, entry, servers};

struct Case {
    /// Milliseconds and revision of the news before and after the silence.
    news: [(u64, u64); 2],
    draining: bool,
    /// Whether the removal is held back.
    is_held: bool,
}

#[test_case(&Case { news: [(0, 100), (900, 130)], draining: false, is_held: false }; "no silence")]
#[test_case(&Case { news: [(0, 100), (9000, 340)], draining: false, is_held: false }; "only this host was cut off")]
#[test_case(&Case { news: [(0, 100), (9000, 104)], draining: false, is_held: true }; "the store was away")]
#[test_case(&Case { news: [(0, 100), (9000, 104)], draining: true, is_held: false }; "the server had announced its leaving")]
fn removals_are_held_back_after_an_outage_of_the_store(case: &Case) {
    let mut leaving = entry("s", "lookup", "a1");
    leaving.draining = case.draining;
    let known = servers(&[leaving]);
    let mut lapses = Lapses::default();
    for (millis, revision) in case.news {
        lapses.observe(at(millis), revision, 40, Duration::from_millis(1500));
    }
    let now = at(case.news[1].0);
    let mut changes = vec![Change::ServerRemoved("s".to_owned())];
    lapses.hold_back(now, &known, &mut changes);
    assert_eq!(changes.is_empty(), case.is_held);
    assert!(lapses.release(now).is_empty());
    let later = now + Duration::from_millis(2400);
    assert_eq!(lapses.release(later).len(), usize::from(case.is_held));
}

#[test]
fn a_server_that_comes_back_is_not_removed() {
    let known = servers(&[entry("s", "lookup", "a1")]);
    let mut lapses = Lapses::default();
    lapses.observe(at(0), 100, 40, Duration::from_millis(1500));
    lapses.observe(at(9000), 104, 40, Duration::from_millis(1500));
    lapses.hold_back(at(9000), &known, &mut vec![Change::ServerRemoved("s".to_owned())]);
    let mut back = vec![Change::ServerAnnounced(entry("s", "lookup", "a1"))];
    lapses.hold_back(at(9900), &known, &mut back);
    assert_eq!(back.len(), 1);
    assert!(lapses.release(at(20_000)).is_empty());
}
