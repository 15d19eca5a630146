//! Announcements that lapsed while the store was away.

use std::time::Duration;

use jasminestage_core::steer::{
    control::Change,
    lapse::{KeyedChange, Lapses},
};
use test_case::test_case;

use crate::common::{at, entry, servers};

fn removed() -> KeyedChange {
    (9, "servers/s".to_owned(), Change::ServerRemoved("s".to_owned()))
}

struct Case {
    silence_ms: u64,
    others_read: bool,
    draining: bool,
    /// Whether the removal is held back.
    is_held: bool,
}

#[test_case(&Case { silence_ms: 900, others_read: false, draining: false, is_held: false }; "no outage")]
#[test_case(&Case { silence_ms: 9000, others_read: true, draining: false, is_held: false }; "only this host was cut off")]
#[test_case(&Case { silence_ms: 9000, others_read: false, draining: false, is_held: true }; "the store was away")]
#[test_case(&Case { silence_ms: 9000, others_read: false, draining: true, is_held: false }; "the server had announced its leaving")]
fn removals_are_held_back_after_an_outage_of_the_store(case: &Case) {
    let mut leaving = entry("s", "lookup", "a1");
    leaving.draining = case.draining;
    let known = servers(&[leaving]);
    let mut lapses = Lapses::default();
    let now = at(20_000);
    lapses.store_is_back(now, Duration::from_millis(case.silence_ms), case.others_read);
    let mut changes = vec![removed()];
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
    lapses.store_is_back(at(9000), Duration::from_secs(9), false);
    lapses.hold_back(at(9000), &known, &mut vec![removed()]);
    let announced = Change::ServerAnnounced(entry("s", "lookup", "a1"));
    let mut back = vec![(12, "servers/s".to_owned(), announced)];
    lapses.hold_back(at(9900), &known, &mut back);
    assert_eq!(back.len(), 1);
    assert!(lapses.release(at(20_000)).is_empty());
}
