//! Local copies of the store's items: changes and snapshots that arrive out of order.

use jasminestage_core::steer::mirror::{Item, ItemChange, Mirror, Snapshot};
use test_case::test_case;

fn written(key: &str, revision: u64) -> ItemChange {
    let value = revision.to_string().into_bytes();
    ItemChange::Written(Item { key: key.to_owned(), value, revision })
}

fn removed(key: &str, revision: u64) -> ItemChange {
    ItemChange::Removed { key: key.to_owned(), revision }
}

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: Vec::new(), revision }
}

struct Case {
    changes: fn() -> Vec<ItemChange>,
    /// Keys and revisions of the items after the changes.
    items: &'static [(&'static str, u64)],
    /// Number of changes that were new.
    new_changes: usize,
}

#[test_case(&Case { changes: || vec![written("a", 6)], items: &[("a", 6), ("b", 3)], new_changes: 1 }; "a newer write")]
#[test_case(&Case { changes: || vec![written("a", 4)], items: &[("a", 5), ("b", 3)], new_changes: 0 }; "an older write")]
#[test_case(&Case { changes: || vec![removed("a", 9)], items: &[("b", 3)], new_changes: 1 }; "a removal")]
#[test_case(&Case { changes: || vec![removed("a", 2)], items: &[("a", 5), ("b", 3)], new_changes: 0 }; "an older removal")]
#[test_case(&Case { changes: || vec![removed("c", 9)], items: &[("a", 5), ("b", 3)], new_changes: 0 }; "a removal of an unknown item")]
fn only_newer_changes_are_applied(case: &Case) {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5), written("b", 3)], 5);
    assert_eq!(mirror.apply((case.changes)(), 9).len(), case.new_changes);
    let items: Vec<(&str, u64)> = mirror.items().map(|i| (i.key.as_str(), i.revision)).collect();
    assert_eq!(items, case.items);
}

#[test]
fn an_older_snapshot_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5)], 8);
    let old = Snapshot { revision: 7, last_change: 7, items: vec![item("z", 6)] };
    assert!(mirror.replace(old).is_empty());
    assert_eq!(mirror.revision(), 8);
}

#[test]
fn a_snapshot_of_another_host_updates_the_last_change() {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5)], 8);
    let newer = Snapshot { revision: 12, last_change: 11, items: vec![item("a", 5)] };
    assert!(mirror.replace(newer).is_empty());
    assert_eq!(mirror.last_change(), 11);
}
