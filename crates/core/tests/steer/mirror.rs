//! Local copies of the store's items: changes and snapshots that arrive out of order.

use jasminestage_core::steer::{
    mirror::{Item, ItemChange, Mirror, Snapshot},
    position::StorePosition,
};
use test_case::test_case;

use crate::common::{at, position};

fn written(key: &str, revision: u64) -> ItemChange {
    let value = revision.to_string().into_bytes();
    ItemChange::Written(Item { key: key.to_owned(), value, position: position(revision) })
}

fn removed(key: &str, revision: u64) -> ItemChange {
    ItemChange::Removed { key: key.to_owned(), position: position(revision) }
}

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: Vec::new(), position: position(revision) }
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
    mirror.apply(vec![written("a", 5), written("b", 3)], position(5));
    assert_eq!(mirror.apply((case.changes)(), position(9)).len(), case.new_changes);
    let items: Vec<(String, u64)> = mirror.items().map(|i| (i.key, i.position.revision)).collect();
    let expected: Vec<(String, u64)> =
        case.items.iter().map(|(key, revision)| ((*key).to_owned(), *revision)).collect();
    assert_eq!(items, expected);
}

#[test]
fn an_older_snapshot_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5)], position(8));
    let old = Snapshot { position: position(7), items: vec![item("z", 6)], ..Snapshot::default() };
    assert!(mirror.replace(at(0), old).is_empty());
    assert_eq!(mirror.position(), position(8));
}

struct StateCase {
    /// Items of the other copy, which is complete up to revision 12.
    items: &'static [(&'static str, u64)],
    /// Whether this copy, complete up to revision 8, lacks something that the other one includes.
    is_behind: bool,
}

/// Fails if a host does not see that an item was removed which it still has, because the other copy was
/// read from the store after the removal, or if it takes an equal copy for newer.
#[test_case(&StateCase { items: &[("a", 5), ("b", 3)], is_behind: false }; "the same items")]
#[test_case(&StateCase { items: &[("a", 5)], is_behind: true }; "an item was removed")]
#[test_case(&StateCase { items: &[("a", 11), ("b", 3)], is_behind: true }; "an item was written again")]
#[test_case(&StateCase { items: &[("a", 5), ("b", 3), ("c", 9)], is_behind: true }; "an item was added")]
fn the_state_of_a_copy_shows_what_it_lacks(case: &StateCase) {
    let mut own = Mirror::default();
    own.apply(vec![written("a", 5), written("b", 3)], position(8));
    let mut other = Mirror::default();
    let items = case.items.iter().map(|(key, revision)| item(key, *revision)).collect();
    other.replace(at(0), Snapshot { position: position(12), items, ..Snapshot::default() });
    assert_eq!(own.state().is_behind(&other.state()), case.is_behind);
    assert!(!other.state().is_behind(&own.state()), "the older copy is not taken for newer");
    own.replace(at(0), other.snapshot(at(0)));
    assert_eq!(own.state(), other.state());
}

struct ReorderCase {
    /// Batches of changes, each with the revision up to which it is complete.
    batches: fn() -> Vec<(Vec<ItemChange>, StorePosition)>,
    /// Whether the item exists at the end.
    exists: bool,
}

/// A host sends a removal before the store delivers the write that preceded it. If the write were
/// applied, a server that has left would be used again until it is next written.
#[test_case(&ReorderCase { batches: || vec![(vec![removed("a", 7)], position(8)), (vec![written("a", 6)], position(6))], exists: false }; "a write before the removal of a known item")]
#[test_case(&ReorderCase { batches: || vec![(vec![removed("b", 7)], position(8)), (vec![written("b", 6)], position(6))], exists: false }; "a write before the removal of an unknown item")]
#[test_case(&ReorderCase { batches: || vec![(vec![removed("a", 7)], position(8)), (vec![written("a", 9)], position(9))], exists: true }; "a new item under the same key")]
#[test_case(&ReorderCase { batches: || vec![(vec![removed("a", 7)], position(8)), (vec![removed("a", 6)], position(8)), (vec![written("a", 6)], position(8))], exists: false }; "an older removal after the removal")]
fn a_removed_item_is_not_restored_by_an_older_write(case: &ReorderCase) {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5)], position(5));
    let mut last_key = String::new();
    for (changes, position) in (case.batches)() {
        last_key = changes[0].key().to_owned();
        mirror.apply(changes, position);
    }
    assert_eq!(mirror.get(&last_key).is_some(), case.exists);
}

#[test]
fn an_older_write_does_not_return_after_a_snapshot_without_the_item() {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5)], position(5));
    mirror.replace(
        at(0),
        Snapshot { position: position(9), items: vec![item("b", 6)], ..Snapshot::default() },
    );
    assert!(mirror.apply(vec![written("a", 7)], position(7)).is_empty());
    assert!(mirror.get("a").is_none());
}

#[test]
fn the_number_of_remembered_removals_is_bounded() {
    let mut mirror = Mirror::default();
    for revision in 1..20_000 {
        mirror.apply(vec![removed(&format!("k{revision}"), revision)], position(revision));
    }
    let latest = mirror.apply(vec![written("k19999", 19_000)], position(19_999));
    assert!(latest.is_empty(), "the latest removal is remembered");
    let oldest = mirror.apply(vec![written("k1", 1)], position(19_999));
    assert_eq!(oldest.len(), 1, "the oldest removal is forgotten");
}
