//! State of the control thread after changes in the store and digests of other hosts.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    steer::{
        catalog::{Catalog, Limits},
        control::{Change, ControlState, RolloutRecord},
        digest::RolloutProgress,
        position::StorePosition,
        rollout::{RolloutOrder, RolloutState, Verdict},
        server::ServerEntry,
    },
    time::Instant,
};
use test_case::test_case;

use crate::common::{announcement, at, bounds, digest, entry, position, zone_regions};

fn control() -> ControlState {
    ControlState::new(bounds(), announcement(1, "a1"), zone_regions())
}

fn configured(version: u64) -> Change {
    let limits = Limits::default();
    Change::Configured(Arc::new(Catalog::new(version, vec![], vec![], vec![], limits)))
}

fn order(revision: u64) -> RolloutOrder {
    RolloutOrder {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(10),
        position: position(revision),
    }
}

fn recorded(state: RolloutState, revision: u64) -> Change {
    let (service, version) = ("lookup".to_owned(), "v2".to_owned());
    Change::RolloutRecorded(RolloutRecord { service, version, state, position: position(revision) })
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut control = control();
    for version in [3, 7, 5] {
        control.apply(at(0), vec![configured(version)]);
    }
    assert_eq!(control.view().catalog.version, 7);
}

struct RecordCase {
    changes: fn() -> Vec<Change>,
    /// State of the rollout after all changes.
    state: RolloutState,
}

#[test_case(&RecordCase { changes: || vec![
    Change::RolloutOrdered(order(5)), recorded(RolloutState::Succeeded, 9),
], state: RolloutState::Succeeded }; "a record of this order")]
#[test_case(&RecordCase { changes: || vec![
    recorded(RolloutState::RolledBack, 9), Change::RolloutOrdered(order(5)),
], state: RolloutState::RolledBack }; "a record that arrives before its order")]
#[test_case(&RecordCase { changes: || vec![
    Change::RolloutOrdered(order(5)), recorded(RolloutState::Succeeded, 3),
], state: RolloutState::Running }; "a record of an earlier order")]
#[test_case(&RecordCase { changes: || vec![
    Change::RolloutOrdered(order(5)), recorded(RolloutState::Succeeded, 9), Change::RolloutOrdered(order(12)),
], state: RolloutState::Running }; "a new order for the same version")]
#[test_case(&RecordCase { changes: || vec![
    Change::RolloutOrdered(order(5)), recorded(RolloutState::RolledBack, 9), recorded(RolloutState::Running, 11),
], state: RolloutState::RolledBack }; "a record of an ended rollout as running")]
fn records_set_the_state_of_their_order_only(case: &RecordCase) {
    let mut control = control();
    control.apply(at(0), (case.changes)());
    assert_eq!(control.view().rollouts["lookup"].state, case.state);
}

struct AgeCase {
    /// Revision of the order that the other host reports.
    revision: u64,
    elapsed_ms: u64,
    started: Instant,
}

/// Clocks show different times of day, so the age of a rollout comes from the steady clocks of the
/// hosts: no host takes it for older than the first one that received the order.
#[test_case(&AgeCase { revision: 5, elapsed_ms: 4000, started: at(46_000) }; "a host that starts during the rollout")]
#[test_case(&AgeCase { revision: 5, elapsed_ms: 0, started: at(50_000) }; "a host that received the order later")]
#[test_case(&AgeCase { revision: 4, elapsed_ms: 4000, started: at(50_000) }; "an earlier order")]
#[test_case(&AgeCase { revision: 5, elapsed_ms: u64::MAX, started: at(30_000) }; "an age out of range")]
fn a_rollout_is_as_old_as_the_first_host_that_received_its_order_says(case: &AgeCase) {
    let mut control = control();
    control.apply(at(50_000), vec![Change::RolloutOrdered(order(5))]);
    let mut report = digest(2, "a1");
    report.progress.rollouts = vec![RolloutProgress {
        service: "lookup".to_owned(),
        order: position(case.revision),
        state: RolloutState::Running,
        elapsed: Duration::from_millis(case.elapsed_ms),
    }];
    control.receive_digest(at(50_000), &report);
    assert_eq!(control.view().rollouts["lookup"].started, case.started);
}

#[test]
fn an_order_is_recorded_once_and_rolled_back_when_faulty() {
    let mut control = control();
    control.apply(at(0), vec![Change::RolloutOrdered(order(5))]);
    let due = control.due_records(at(0), |_| Verdict::Sound);
    assert_eq!(due.iter().map(|d| d.state).collect::<Vec<_>>(), [RolloutState::Running]);
    control.apply(at(10), vec![recorded(RolloutState::Running, 6)]);
    assert!(control.due_records(at(20), |_| Verdict::Sound).is_empty());
    let due = control.due_records(at(2000), |_| Verdict::Faulty);
    assert_eq!(due.iter().map(|d| d.state).collect::<Vec<_>>(), [RolloutState::RolledBack]);
}

struct RestoredOrderCase {
    /// Era and revision at which the order comes back after it was rolled back at 9 s, and when.
    returns: (u64, u64, u64),
    /// Version that it asks for.
    version: &'static str,
    /// State that the restored store has recorded after the order.
    recorded: Option<RolloutState>,
    state: RolloutState,
    /// State that the host has to record.
    due: Option<RolloutState>,
}

const ROLLED_BACK: RolloutState = RolloutState::RolledBack;
const RUNNING: RolloutState = RolloutState::Running;

/// Fails if a version that was rolled back gets requests again because the store was restored from a
/// copy, or if the store does not learn the state of a rollout again.
#[test_case(&RestoredOrderCase { returns: (1, 3, 10_000), version: "v2", recorded: None, state: ROLLED_BACK, due: Some(ROLLED_BACK) }; "written again, and the state is lost")]
#[test_case(&RestoredOrderCase { returns: (1, 5, 10_000), version: "v2", recorded: Some(RUNNING), state: ROLLED_BACK, due: Some(ROLLED_BACK) }; "restored with an older state")]
#[test_case(&RestoredOrderCase { returns: (1, 5, 10_000), version: "v2", recorded: Some(ROLLED_BACK), state: ROLLED_BACK, due: None }; "restored with its state")]
#[test_case(&RestoredOrderCase { returns: (1, 3, 10_000), version: "v3", recorded: None, state: RUNNING, due: Some(RUNNING) }; "an order of another version")]
#[test_case(&RestoredOrderCase { returns: (0, 12, 10_000), version: "v2", recorded: None, state: RUNNING, due: Some(RUNNING) }; "a second order in the same era")]
fn a_restored_order_does_not_start_its_rollout_again(case: &RestoredOrderCase) {
    let mut control = control();
    let ordered = Change::RolloutOrdered(order(5));
    control.apply(at(0), vec![ordered, recorded(ROLLED_BACK, 9)]);
    let (era, revision, returned_at) = case.returns;
    let returned = |revision| RolloutOrder {
        version: case.version.to_owned(),
        position: StorePosition::new(era, revision),
        ..order(5)
    };
    control.apply(at(returned_at), vec![Change::RolloutOrdered(returned(revision))]);
    let record = |state| {
        let (service, version) = ("lookup".to_owned(), case.version.to_owned());
        let position = StorePosition::new(era, revision + 4);
        Change::RolloutRecorded(RolloutRecord { service, version, state, position })
    };
    control.apply(at(returned_at), case.recorded.map(record).into_iter().collect());
    assert_eq!(control.view().rollouts["lookup"].state, case.state);
    let due = control.due_records(at(returned_at + 100), |_| Verdict::Sound);
    assert_eq!(due.first().map(|d| d.state), case.due);
    // The operators may write again what has not been lost.
    if era > 0 && case.state == ROLLED_BACK {
        let again = Change::RolloutOrdered(returned(revision + 5));
        control.apply(at(returned_at + 3000), vec![again]);
        assert_eq!(control.view().rollouts["lookup"].state, ROLLED_BACK);
        let later = Change::RolloutOrdered(returned(revision + 90));
        control.apply(at(returned_at + 60_000), vec![later]);
        assert_eq!(control.view().rollouts["lookup"].state, RUNNING, "it is a new order");
    }
}

#[test]
fn an_evacuation_can_be_undone() {
    let mut control = control();
    control.apply(at(0), vec![Change::Evacuated("a2".to_owned())]);
    assert!(control.view().evacuated_zones.contains("a2"));
    control.apply(at(500), vec![Change::Reopened("a2".to_owned())]);
    assert!(!control.view().evacuated_zones.contains("a2"));
    assert_eq!(control.view().reopened_zones["a2"], at(500));
}

struct VersionCase {
    /// Versions that are announced after `v1`, whose first server is removed.
    later: &'static [&'static str],
    /// Time at which the regular versions are checked.
    millis: u64,
    /// Whether a rollout of `v2` is ordered.
    ordered: bool,
    /// Regular versions at that time.
    regular: &'static [&'static str],
}

#[test_case(&VersionCase { later: &["v1", "v2"], millis: 500, ordered: false, regular: &["v1"] }; "a version that is announced before its order")]
#[test_case(&VersionCase { later: &["v1", "v2"], millis: 6000, ordered: false, regular: &["v1", "v2"] }; "a version without an order after the delay")]
#[test_case(&VersionCase { later: &["v2"], millis: 500, ordered: false, regular: &["v1", "v2"] }; "the only announced version")]
#[test_case(&VersionCase { later: &["v1", "v2"], millis: 6000, ordered: true, regular: &["v1"] }; "a version during its rollout")]
fn versions_without_an_order_become_regular_after_a_delay(case: &VersionCase) {
    let mut control = control();
    control.apply(at(0), vec![Change::ServerAnnounced(entry("s0", "lookup", "a1"))]);
    if case.ordered {
        control.apply(at(50), vec![Change::RolloutOrdered(order(5))]);
    }
    let announced = case.later.iter().enumerate().map(|(n, version)| {
        let mut server = entry(&format!("n{n}"), "lookup", "a1");
        server.version = (*version).to_owned();
        Change::ServerAnnounced(server)
    });
    let removed = Change::ServerRemoved("s0".to_owned());
    control.apply(at(100), announced.chain([removed]).collect());
    control.tick(at(case.millis));
    let mut regular: Vec<&str> =
        control.view().regular_versions["lookup"].iter().map(String::as_str).collect();
    regular.sort_unstable();
    assert_eq!(regular, case.regular);
}

#[test]
fn a_host_without_digests_becomes_unreachable_and_is_removed() {
    let mut control = control();
    control.receive_digest(at(0), &digest(2, "a1"));
    assert!(control.view().peers[0].is_reachable);
    control.tick(at(2000));
    assert!(!control.view().peers[0].is_reachable);
    control.tick(at(7000));
    assert!(control.view().peers.is_empty());
}

#[test]
fn a_host_that_the_store_lists_is_kept_without_digests() {
    let mut control = control();
    control.apply(at(0), vec![Change::HostAnnounced(announcement(2, "a1"))]);
    control.tick(at(60_000));
    assert_eq!(control.view().host_count(), 2);
    control.apply(at(60_000), vec![Change::HostRemoved("host-2".to_owned())]);
    control.tick(at(60_001));
    assert_eq!(control.view().host_count(), 1);
}

#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut control = control();
    control.receive_digest(at(0), &digest(2, "a1"));
    let mut restarted = digest(9, "a1");
    restarted.sender.caller_address = announcement(2, "a1").caller_address;
    control.receive_digest(at(100), &restarted);
    let incarnations: Vec<u64> =
        control.view().peers.iter().map(|p| p.host.incarnation.0).collect();
    assert_eq!(incarnations, [9]);
}

/// A version without a rollout order gets requests after a delay. Nothing else may change at that
/// moment, so the new state must be published for it alone.
#[test]
fn a_version_that_becomes_regular_changes_the_view() {
    let mut control = control();
    let old = entry("s1", "lookup", "a1");
    let new = ServerEntry { version: "v2".to_owned(), ..entry("s2", "lookup", "a1") };
    control.apply(at(0), vec![Change::ServerAnnounced(old)]);
    control.apply(at(1000), vec![Change::ServerAnnounced(new)]);
    let before = control.take_view().expect("the servers changed the view");
    assert!(!before.regular_versions["lookup"].contains("v2"));
    control.tick(at(5500));
    let after = control.take_view().expect("the version changed the view");
    assert!(after.regular_versions["lookup"].contains("v2"));
}
