//! Changes of servers that are handed on.

use std::time::Duration;

use jasminestage_core::steer::{
    control::Change,
    mirror::{Item, ItemChange, Mirror},
    server::ServerEntry,
    server_changes::{ServerChangeLog, ServerUpdate},
};
use test_case::test_case;

use crate::common::{entry, servers};

struct Case {
    change: fn(&mut ServerEntry),
    matters: bool,
}

#[test_case(&Case { change: |_| (), matters: false }; "nothing")]
#[test_case(&Case { change: |e| e.sequence += 1, matters: false }; "a renewal")]
#[test_case(&Case { change: |e| e.draining = true, matters: true }; "leaving")]
#[test_case(&Case { change: |e| e.cold_for = Duration::from_secs(1), matters: true }; "cold")]
#[test_case(&Case { change: |e| e.born = Some(5), matters: true }; "a new life")]
#[test_case(&Case { change: |e| e.id = "t".to_owned(), matters: true }; "a new server")]
fn only_changes_that_matter_are_news(case: &Case) {
    let known = servers(&[entry("s", "lookup", "a1")]);
    let mut changed = entry("s", "lookup", "a1");
    (case.change)(&mut changed);
    let mut news = ServerChangeLog::default();
    news.record(&known, &[(9, "servers/s".to_owned(), Change::ServerAnnounced(changed))]);
    assert_eq!(news.last_revision(), if case.matters { 9 } else { 0 });
}

#[test]
fn a_host_gets_what_it_lacks_once() {
    let known = servers(&[entry("old", "lookup", "a1")]);
    let mut items = Mirror::default();
    let written = |key: &str, revision| {
        let value = vec![revision as u8];
        ItemChange::Written(Item { key: key.to_owned(), value, revision })
    };
    items.apply(vec![written("servers/a", 7), written("servers/b", 8)], 20);
    let announced = |id: &str| Change::ServerAnnounced(entry(id, "lookup", "a1"));
    let mut news = ServerChangeLog::default();
    news.record(
        &known,
        &[
            (3, "servers/a".to_owned(), announced("a")),
            (7, "servers/a".to_owned(), announced("a")),
            (8, "servers/b".to_owned(), announced("b")),
            (9, "servers/old".to_owned(), Change::ServerRemoved("old".to_owned())),
        ],
    );
    let removed = ItemChange::Removed { key: "servers/old".to_owned(), revision: 9 };
    let all = vec![written("servers/a", 7), written("servers/b", 8), removed.clone()];
    assert_eq!(news.update_since(2, &items), ServerUpdate::Changes(all));
    assert_eq!(news.update_since(8, &items), ServerUpdate::Changes(vec![removed]));
    assert_eq!(news.update_since(9, &items), ServerUpdate::Changes(vec![]));
    assert_eq!(news.update_since(0, &items), ServerUpdate::SnapshotRequired);
    news.reset(30);
    assert_eq!(news.update_since(9, &items), ServerUpdate::SnapshotRequired);
}
