//! Deferred removal of servers after an outage of the store.
//!
//! Announcements of running servers expire during the outage. A host that applied the removals at once
//! would have no servers until they announce themselves again.

use std::time::Duration;

use jasminestage_core::steer::{
    control::Change,
    deferred_removals::{DeferredRemovals, KeyedChange},
};
use test_case::test_case;

use crate::common::{at, entry, servers};

fn removal() -> KeyedChange {
    (9, "servers/s".to_owned(), Change::ServerRemoved("s".to_owned()))
}

struct Case {
    outage_ms: u64,
    others_read: bool,
    draining: bool,
    /// Whether the removal is deferred.
    is_deferred: bool,
}

#[test_case(&Case { outage_ms: 900, others_read: false, draining: false, is_deferred: false }; "no outage")]
#[test_case(&Case { outage_ms: 9000, others_read: true, draining: false, is_deferred: false }; "only this host was cut off")]
#[test_case(&Case { outage_ms: 9000, others_read: false, draining: false, is_deferred: true }; "outage of the store")]
#[test_case(&Case { outage_ms: 9000, others_read: false, draining: true, is_deferred: false }; "draining server")]
fn removals_are_deferred_after_an_outage_of_the_store(case: &Case) {
    let mut server = entry("s", "lookup", "a1");
    server.draining = case.draining;
    let known = servers(&[server]);
    let mut removals = DeferredRemovals::default();
    let now = at(20_000);
    removals.store_recovered(now, Duration::from_millis(case.outage_ms), case.others_read);
    let mut changes = vec![removal()];
    removals.defer(now, &known, &mut changes);
    assert_eq!(changes.is_empty(), case.is_deferred);
    assert!(removals.take_due(now).is_empty());
    let later = now + Duration::from_millis(2400);
    assert_eq!(removals.take_due(later).len(), usize::from(case.is_deferred));
}

#[test]
fn a_server_that_announces_itself_again_is_not_removed() {
    let known = servers(&[entry("s", "lookup", "a1")]);
    let mut removals = DeferredRemovals::default();
    removals.store_recovered(at(9000), Duration::from_secs(9), false);
    removals.defer(at(9000), &known, &mut vec![removal()]);
    let announced = Change::ServerAnnounced(entry("s", "lookup", "a1"));
    let mut announcements = vec![(12, "servers/s".to_owned(), announced)];
    removals.defer(at(9900), &known, &mut announcements);
    assert_eq!(announcements.len(), 1);
    assert!(removals.take_due(at(20_000)).is_empty());
}
