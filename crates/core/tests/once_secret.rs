//! An id issued while the fleet changes its secret must be accepted by hosts before and after each
//! step of the change; otherwise its request is refused as forged.
//!
//! The change has three steps: the hosts also accept ids signed with the second secret, then they
//! sign with it and still accept the first one, then they accept only the second one.

use jasminestage_core::{
    host::Incarnation,
    once::{IdSecret, RequestId},
};
use test_case::test_case;

const FIRST: [u8; 32] = [1; 32];
const SECOND: [u8; 32] = [2; 32];

struct Case {
    signed_with: IdSecret,
    verified_with: IdSecret,
    is_valid: bool,
}

const fn both(current: [u8; 32], old: [u8; 32]) -> IdSecret {
    IdSecret::new(current).with_old(Some(old))
}

#[test_case(&Case {
    signed_with: IdSecret::new(FIRST), verified_with: both(FIRST, SECOND), is_valid: true,
}; "the first step")]
#[test_case(&Case {
    signed_with: both(SECOND, FIRST), verified_with: both(FIRST, SECOND), is_valid: true,
}; "the second step, a host before it")]
#[test_case(&Case {
    signed_with: both(FIRST, SECOND), verified_with: both(SECOND, FIRST), is_valid: true,
}; "the second step, a host after it")]
#[test_case(&Case {
    signed_with: IdSecret::new(SECOND), verified_with: both(SECOND, FIRST), is_valid: true,
}; "the third step")]
#[test_case(&Case {
    signed_with: IdSecret::new(FIRST), verified_with: IdSecret::new(SECOND), is_valid: false,
}; "another secret")]
fn an_id_is_valid_throughout_a_change_of_the_secret(case: &Case) {
    let id = RequestId { owner: Incarnation(7), nonce: 8, expires_at: 9 };
    let verified = RequestId::verify(&id.sign(&case.signed_with), &case.verified_with);
    assert_eq!(verified.is_ok(), case.is_valid, "{verified:?}");
}
