//! Changes of servers that hosts send each other.

use std::{collections::BTreeSet, time::Duration};

use jasminestage_core::steer::{
    control::Change,
    deferred_removals::KeyedChange,
    mirror::{CopyState, Item, ItemChange, Mirror},
    server::ServerEntry,
    server_changes::{ServerChangeLog, ServerUpdate},
};
use test_case::test_case;

use crate::common::{entry, position};

fn announced(revision: u64, id: &str) -> KeyedChange {
    let entry = entry(id, "lookup", "a1");
    (position(revision), format!("servers/{id}"), Change::ServerAnnounced(entry))
}

fn removed(revision: u64, id: &str) -> KeyedChange {
    (position(revision), format!("servers/{id}"), Change::ServerRemoved(id.to_owned()))
}

struct Case {
    change: fn(&mut ServerEntry),
    /// Whether the change is added to the log.
    is_logged: bool,
}

#[test_case(&Case { change: |_| (), is_logged: false }; "no change")]
#[test_case(&Case { change: |e| e.sequence += 1, is_logged: false }; "a renewal")]
#[test_case(&Case { change: |e| e.draining = true, is_logged: true }; "draining")]
#[test_case(&Case { change: |e| e.cold_duration = Duration::from_secs(1), is_logged: true }; "a longer warm-up")]
#[test_case(&Case { change: |e| e.started_unix_ms = Some(5), is_logged: true }; "a restart")]
#[test_case(&Case { change: |e| e.id = "t".to_owned(), is_logged: true }; "a new server")]
#[test_case(&Case { change: |e| e.service = "booking".to_owned(), is_logged: true }; "another service")]
#[test_case(&Case { change: |e| e.address.set_port(8081), is_logged: true }; "another address")]
#[test_case(&Case { change: |e| e.zone = "a2".to_owned(), is_logged: true }; "another failure domain")]
#[test_case(&Case { change: |e| e.version = "v2".to_owned(), is_logged: true }; "another version")]
#[test_case(&Case { change: |e| e.slots = 4, is_logged: true }; "more slots")]
fn only_changes_that_affect_the_selection_are_logged(case: &Case) {
    let mut changed = entry("s", "lookup", "a1");
    (case.change)(&mut changed);
    let key = format!("servers/{}", changed.id);
    let mut log = ServerChangeLog::default();
    log.record(&[announced(5, "s")], &BTreeSet::new());
    let before = log.fingerprint();
    log.record(&[(position(9), key, Change::ServerAnnounced(changed))], &BTreeSet::new());
    let mut items = Mirror::default();
    items.apply(vec![], position(10));
    let ServerUpdate::Changes(changes) = log.update_since(position(6), &items) else {
        panic!("the log is complete")
    };
    assert_eq!(changes.len(), usize::from(case.is_logged));
    assert_eq!(log.fingerprint() != before, case.is_logged);
}

#[test]
fn a_host_gets_each_missing_change_once() {
    let mut items = Mirror::default();
    let written = |key: &str, revision| {
        let value = vec![revision as u8];
        ItemChange::Written(Item { key: key.to_owned(), value, position: position(revision) })
    };
    items.apply(vec![written("servers/a", 7), written("servers/b", 8)], position(20));
    let mut log = ServerChangeLog::default();
    let draining = ServerEntry { draining: true, ..entry("a", "lookup", "a1") };
    log.record(
        &[
            announced(2, "old"),
            announced(3, "a"),
            (position(7), "servers/a".to_owned(), Change::ServerAnnounced(draining)),
            announced(8, "b"),
            removed(9, "old"),
        ],
        &BTreeSet::new(),
    );
    let removal = ItemChange::Removed { key: "servers/old".to_owned(), position: position(9) };
    let all = vec![written("servers/a", 7), written("servers/b", 8), removal.clone()];
    assert_eq!(log.update_since(position(2), &items), ServerUpdate::Changes(all));
    assert_eq!(log.update_since(position(8), &items), ServerUpdate::Changes(vec![removal]));
    assert_eq!(log.update_since(position(9), &items), ServerUpdate::Changes(vec![]));
    assert_eq!(log.update_since(position(0), &items), ServerUpdate::SnapshotRequired);
    log.restart(position(30));
    assert_eq!(log.update_since(position(9), &items), ServerUpdate::SnapshotRequired);
}

/// A host reads the entries from the store after a server was removed at revision 15, so it knows of
/// no removal. A host with the state of revision 10 must not get changes from it without that one.
#[test]
fn a_first_copy_from_the_store_does_not_hide_removals() {
    let mut items = Mirror::default();
    let item = Item { key: "servers/a".to_owned(), value: vec![1], position: position(19) };
    items.apply(vec![ItemChange::Written(item)], position(20));
    let mut log = ServerChangeLog::default();
    log.record(&[announced(19, "a")], &BTreeSet::new());
    log.restart(position(20));
    assert_eq!(log.update_since(position(10), &items), ServerUpdate::SnapshotRequired);
    log.record(&[removed(22, "a")], &BTreeSet::new());
    items.apply(
        vec![ItemChange::Removed { key: "servers/a".to_owned(), position: position(22) }],
        position(22),
    );
    assert!(
        matches!(log.update_since(position(20), &items), ServerUpdate::Changes(c) if c.len() == 1)
    );
    assert_eq!(log.update_since(position(10), &items), ServerUpdate::SnapshotRequired);
}

struct CopyCase {
    /// What the other host has recorded, and the revision up to which its copy is complete.
    other: (fn() -> Vec<KeyedChange>, u64),
    /// Whether the host with the state of revision 10 needs the copy of the other one.
    is_behind: bool,
}

/// Fails if a host does not notice that its copy lacks changes which no running host has logged,
/// because all that read the store have started after them, or if it fetches a copy that equals its own
/// each time that another host starts.
#[test_case(&CopyCase { other: (|| vec![announced(3, "a"), announced(4, "b")], 20), is_behind: false }; "the same servers in a newer copy")]
#[test_case(&CopyCase { other: (|| vec![announced(12, "b"), announced(19, "a")], 20), is_behind: false }; "the same servers with later renewals")]
#[test_case(&CopyCase { other: (|| vec![announced(4, "b")], 20), is_behind: true }; "a server was removed before the first copy")]
#[test_case(&CopyCase { other: (|| vec![announced(3, "a"), announced(4, "b"), announced(15, "c")], 20), is_behind: true }; "a server was added before the first copy")]
#[test_case(&CopyCase { other: (|| vec![announced(3, "a"), announced(4, "b"), removed(5, "b")], 9), is_behind: false }; "an older copy with other servers")]
fn a_host_notices_that_its_copy_is_behind(case: &CopyCase) {
    let state = |changes: &[KeyedChange], revision| {
        let mut log = ServerChangeLog::default();
        log.record(changes, &BTreeSet::new());
        CopyState { position: position(revision), fingerprint: log.fingerprint(), retained: 0 }
    };
    let own = state(&[announced(3, "a"), announced(4, "b")], 10);
    let (changes, revision) = case.other;
    assert_eq!(own.is_behind(&state(&changes(), revision)), case.is_behind);
}

/// Fails if a host does not pass on that an entry returned which had lapsed, because its own removal of the
/// server was still deferred. The hosts that copy from it would lose the server, and with it all that
/// they would pass on about it, such as its removal.
#[test]
fn the_return_of_a_lapsed_entry_is_logged() {
    let mut items = Mirror::default();
    let item = Item { key: "servers/a".to_owned(), value: vec![1], position: position(15) };
    items.apply(vec![ItemChange::Written(item.clone())], position(20));
    let mut log = ServerChangeLog::default();
    for change in [announced(5, "a"), removed(10, "a"), announced(15, "a")] {
        log.record(&[change], &BTreeSet::new());
    }
    let expected = ServerUpdate::Changes(vec![ItemChange::Written(item)]);
    assert_eq!(log.update_since(position(10), &items), expected);
}
