//! Local copies of the store's items.

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
    /// Keys and revisions that are left.
    left: &'static [(&'static str, u64)],
    fresh: usize,
}

#[test_case(&Case { changes: || vec![written("a", 6)], left: &[("a", 6), ("b", 3)], fresh: 1 }; "a newer write")]
#[test_case(&Case { changes: || vec![written("a", 4)], left: &[("a", 5), ("b", 3)], fresh: 0 }; "an older write")]
#[test_case(&Case { changes: || vec![removed("a", 9)], left: &[("b", 3)], fresh: 1 }; "a removal")]
#[test_case(&Case { changes: || vec![removed("a", 2)], left: &[("a", 5), ("b", 3)], fresh: 0 }; "an older removal")]
#[test_case(&Case { changes: || vec![removed("c", 9)], left: &[("a", 5), ("b", 3)], fresh: 0 }; "a removal of nothing")]
fn changes_never_take_an_item_back(case: &Case) {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5), written("b", 3)], 5);
    assert_eq!(mirror.apply((case.changes)(), 9).len(), case.fresh);
    let left: Vec<(&str, u64)> = mirror.items().map(|i| (i.key.as_str(), i.revision)).collect();
    assert_eq!(left, case.left);
}

#[test]
fn an_older_snapshot_changes_nothing() {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5)], 8);
    let old = Snapshot { revision: 7, last_change: 7, items: vec![item("z", 6)] };
    assert!(mirror.replace(old).is_empty());
    assert_eq!(mirror.revision(), 8);
}

#[test]
fn a_snapshot_of_another_host_ends_the_difference() {
    let mut mirror = Mirror::default();
    mirror.apply(vec![written("a", 5)], 8);
    let newer = Snapshot { revision: 12, last_change: 11, items: vec![item("a", 5)] };
    assert!(mirror.replace(newer).is_empty());
    assert_eq!(mirror.last_change(), 11);
}
