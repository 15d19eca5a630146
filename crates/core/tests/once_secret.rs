//! Request ids while the secret of the fleet is changed.

use jasminestage_core::{
    host::Incarnation,
    once::{IdSecret, RequestId},
};
use test_case::test_case;

const FIRST: [u8; 32] = [1; 32];
const SECOND: [u8; 32] = [2; 32];

struct Case {
    sealed_by: IdSecret,
    opened_by: IdSecret,
    is_opened: bool,
}

const fn both(current: [u8; 32], old: [u8; 32]) -> IdSecret {
    IdSecret::new(current).with_old(Some(old))
}

#[test_case(&Case {
    sealed_by: IdSecret::new(FIRST), opened_by: both(FIRST, SECOND), is_opened: true,
}; "the first step")]
#[test_case(&Case {
    sealed_by: both(SECOND, FIRST), opened_by: both(FIRST, SECOND), is_opened: true,
}; "the second step, a host before it")]
#[test_case(&Case {
    sealed_by: both(FIRST, SECOND), opened_by: both(SECOND, FIRST), is_opened: true,
}; "the second step, a host after it")]
#[test_case(&Case {
    sealed_by: IdSecret::new(SECOND), opened_by: both(SECOND, FIRST), is_opened: true,
}; "the third step")]
#[test_case(&Case {
    sealed_by: IdSecret::new(FIRST), opened_by: IdSecret::new(SECOND), is_opened: false,
}; "another secret")]
fn an_id_is_opened_throughout_a_change_of_the_secret(case: &Case) {
    let id = RequestId { owner: Incarnation(7), nonce: 8, end: 9 };
    let opened = RequestId::open(&id.seal(&case.sealed_by), &case.opened_by);
    assert_eq!(opened.is_ok(), case.is_opened, "{opened:?}");
}
