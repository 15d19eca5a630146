//! Frames: what is opened, what is rejected, and that no damage gets through.

use jasminestage_core::host::Incarnation;
use jasminestage_wire::{FleetKey, Header, Purpose, WireError, open, seal, seal::VERSION};
use proptest::prelude::*;
use test_case::test_case;

type Msg = (Vec<String>, Vec<u8>);

const HEADER: Header = Header { sender: Incarnation(7), sequence: 3, nonce: 11, echo: 13 };
const KEY_START: usize = 33;

fn sealed(key: &FleetKey, msg: &Msg) -> Vec<u8> {
    seal(key, Purpose::Datagram, &HEADER, msg).expect("the message can be sealed")
}

fn message() -> Msg {
    (vec!["a message".to_owned()], vec![1, 2, 3])
}

struct KeyCase {
    name: &'static str,
    sealed_with: fn() -> FleetKey,
    opened_with: fn() -> FleetKey,
    purpose: Purpose,
    is_taken: bool,
}

const KEY_CASES: &[KeyCase] = &[
    KeyCase {
        name: "the same secret",
        sealed_with: || FleetKey::new("one secret of a fleet"),
        opened_with: || FleetKey::new("one secret of a fleet"),
        purpose: Purpose::Datagram,
        is_taken: true,
    },
    KeyCase {
        name: "another secret",
        sealed_with: || FleetKey::new("one secret of a fleet"),
        opened_with: || FleetKey::new("two secrets of fleets"),
        purpose: Purpose::Datagram,
        is_taken: false,
    },
    KeyCase {
        name: "another purpose",
        sealed_with: || FleetKey::new("one secret of a fleet"),
        opened_with: || FleetKey::new("one secret of a fleet"),
        purpose: Purpose::StreamCall,
        is_taken: false,
    },
    KeyCase {
        name: "the secret that comes next, before the change",
        sealed_with: || FleetKey::new("two secrets of fleets"),
        opened_with: || {
            let mut key = FleetKey::new("one secret of a fleet");
            key.set_old_secret("two secrets of fleets");
            key
        },
        purpose: Purpose::Datagram,
        is_taken: true,
    },
    KeyCase {
        name: "a secret that is only accepted does not seal",
        sealed_with: || {
            let mut key = FleetKey::new("one secret of a fleet");
            key.set_old_secret("two secrets of fleets");
            key
        },
        opened_with: || FleetKey::new("two secrets of fleets"),
        purpose: Purpose::Datagram,
        is_taken: false,
    },
];

#[test]
fn a_frame_opens_with_the_key_that_it_was_sealed_with() {
    for case in KEY_CASES {
        let frame = sealed(&(case.sealed_with)(), &message());
        let opened = open::<Msg>(&(case.opened_with)(), case.purpose, &frame);
        assert_eq!(opened.is_ok(), case.is_taken, "{}: {opened:?}", case.name);
        if let Ok(opened) = opened {
            assert_eq!((opened.header, opened.msg), (HEADER, message()), "{}", case.name);
        }
    }
}

struct DamageCase {
    damage: fn(&mut Vec<u8>),
    error: fn(&WireError) -> bool,
}

#[test_case(&DamageCase { damage: |f| f.clear(), error: |e| *e == WireError::Short(0) }; "empty")]
#[test_case(&DamageCase {
    damage: |f| f.truncate(KEY_START),
    error: |e| *e == WireError::Short(KEY_START),
}; "header only")]
#[test_case(&DamageCase {
    damage: |f| f[0] = VERSION + 1,
    error: |e| *e == WireError::Version(VERSION + 1),
}; "a future version")]
#[test_case(&DamageCase {
    damage: |f| f.push(0),
    error: |e| *e == WireError::Mac,
}; "a byte more")]
fn a_damaged_frame_is_rejected_with_its_reason(case: &DamageCase) {
    let key = FleetKey::new("one secret of a fleet");
    let mut frame = sealed(&key, &message());
    (case.damage)(&mut frame);
    let e = open::<Msg>(&key, Purpose::Datagram, &frame).expect_err("it is damaged");
    assert!((case.error)(&e), "{e:?}");
}

/// Seals bytes that are not an encoded message, as a host with a fault could.
fn seal_raw(key: &FleetKey, body: &[u8]) -> Vec<u8> {
    let mac = key.mac(Purpose::Datagram, &[&[VERSION], body]);
    [&[VERSION][..], &mac, body].concat()
}

#[test]
fn a_length_beyond_the_frame_costs_no_memory() {
    let key = FleetKey::new("one secret of a fleet");
    let header = [7, 3, 11, 13];
    // The greatest length that a 64-bit number can tell, in postcard's variable form.
    let length = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];
    let frame = seal_raw(&key, &[&header[..], &length].concat());
    let e = open::<Msg>(&key, Purpose::Datagram, &frame).expect_err("nothing follows");
    assert!(matches!(e, WireError::Body(_)), "{e:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_flipped_bit_gets_through(at in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let key = FleetKey::new("one secret of a fleet");
        let mut frame = sealed(&key, &message());
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        prop_assert!(open::<Msg>(&key, Purpose::Datagram, &frame).is_err());
    }

    #[test]
    fn no_part_of_a_frame_gets_through(len in any::<prop::sample::Index>()) {
        let key = FleetKey::new("one secret of a fleet");
        let mut frame = sealed(&key, &message());
        frame.truncate(len.index(frame.len()));
        prop_assert!(open::<Msg>(&key, Purpose::Datagram, &frame).is_err());
    }

    #[test]
    fn bytes_of_any_kind_are_rejected(frame in prop::collection::vec(any::<u8>(), 0..2000)) {
        let key = FleetKey::new("one secret of a fleet");
        prop_assert!(open::<Msg>(&key, Purpose::Datagram, &frame).is_err());
    }

    #[test]
    fn a_sealed_body_of_any_kind_does_not_panic(
        body in prop::collection::vec(any::<u8>(), 0..500),
    ) {
        let key = FleetKey::new("one secret of a fleet");
        let _ = open::<jasminestage_core::control::PeerMsg>(
            &key,
            Purpose::Datagram,
            &seal_raw(&key, &body),
        );
    }
}
