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

use crate::common::{at, entry, position, servers};

fn removal() -> KeyedChange {
    (position(9), "servers/s".to_owned(), Change::ServerRemoved("s".to_owned()))
}

struct Case {
    outage_ms: u64,
    /// Time for which other hosts have read the store when this host reads it again.
    available_ms: u64,
    draining: bool,
    /// Time until the removal takes effect.
    delay_ms: u64,
}

#[test_case(&Case { outage_ms: 900, available_ms: 0, draining: false, delay_ms: 0 }; "no outage")]
#[test_case(&Case { outage_ms: 9000, available_ms: 9000, draining: false, delay_ms: 0 }; "only this host was cut off")]
#[test_case(&Case { outage_ms: 9000, available_ms: 1300, draining: false, delay_ms: 1000 }; "other hosts reach the store earlier")]
#[test_case(&Case { outage_ms: 9000, available_ms: 0, draining: false, delay_ms: 2300 }; "outage of the store")]
#[test_case(&Case { outage_ms: 9000, available_ms: 0, draining: true, delay_ms: 0 }; "draining server")]
fn removals_are_deferred_after_an_outage_of_the_store(case: &Case) {
    let mut server = entry("s", "lookup", "a1");
    server.draining = case.draining;
    let known = servers(&[server]);
    let mut removals = DeferredRemovals::default();
    let now = at(20_000);
    let outage = Duration::from_millis(case.outage_ms);
    removals.store_recovered(now, outage, Duration::from_millis(case.available_ms));
    let mut changes = vec![removal()];
    removals.defer(now, &known, &mut changes);
    assert_eq!(changes.is_empty(), case.delay_ms > 0);
    let end = now + Duration::from_millis(case.delay_ms);
    assert!(removals.take_due(end - Duration::from_millis(1)).is_empty());
    assert_eq!(removals.take_due(end).len(), usize::from(case.delay_ms > 0));
}

#[test]
fn a_server_that_announces_itself_again_is_not_removed() {
    let known = servers(&[entry("s", "lookup", "a1")]);
    let mut removals = DeferredRemovals::default();
    removals.store_recovered(at(9000), Duration::from_secs(9), Duration::ZERO);
    removals.defer(at(9000), &known, &mut vec![removal()]);
    let announced = Change::ServerAnnounced(entry("s", "lookup", "a1"));
    let mut announcements = vec![(position(12), "servers/s".to_owned(), announced)];
    removals.defer(at(9900), &known, &mut announcements);
    assert_eq!(announcements.len(), 1);
    assert!(removals.take_due(at(20_000)).is_empty());
}
