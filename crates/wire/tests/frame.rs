//! Frames: which are decoded, which are rejected, and that no altered frame is accepted.

use jasminestage_core::host::Incarnation;
use jasminestage_wire::{
    FleetKey, Header, Purpose, WireError, decode_frame, encode_frame, frame::VERSION,
};
use proptest::prelude::*;
use test_case::test_case;

type Msg = (Vec<String>, Vec<u8>);

const HEADER: Header = Header { sender: Incarnation(7), sequence: 3, nonce: 11, echo: 13 };
const PREFIX_BYTES: usize = 33;

fn valid_frame(key: &FleetKey, msg: &Msg) -> Vec<u8> {
    encode_frame(key, Purpose::Datagram, &HEADER, msg).expect("the message can be encoded")
}

fn message() -> Msg {
    (vec!["a message".to_owned()], vec![1, 2, 3])
}

struct KeyCase {
    name: &'static str,
    encoding_key: fn() -> FleetKey,
    decoding_key: fn() -> FleetKey,
    purpose: Purpose,
    is_accepted: bool,
}

const KEY_CASES: &[KeyCase] = &[
    KeyCase {
        name: "the same secret",
        encoding_key: || FleetKey::new("one secret of a fleet"),
        decoding_key: || FleetKey::new("one secret of a fleet"),
        purpose: Purpose::Datagram,
        is_accepted: true,
    },
    KeyCase {
        name: "another secret",
        encoding_key: || FleetKey::new("one secret of a fleet"),
        decoding_key: || FleetKey::new("two secrets of fleets"),
        purpose: Purpose::Datagram,
        is_accepted: false,
    },
    KeyCase {
        name: "another purpose",
        encoding_key: || FleetKey::new("one secret of a fleet"),
        decoding_key: || FleetKey::new("one secret of a fleet"),
        purpose: Purpose::StreamCall,
        is_accepted: false,
    },
    KeyCase {
        name: "the next secret, accepted before the rotation",
        encoding_key: || FleetKey::new("two secrets of fleets"),
        decoding_key: || {
            let mut key = FleetKey::new("one secret of a fleet");
            key.set_old_secret("two secrets of fleets");
            key
        },
        purpose: Purpose::Datagram,
        is_accepted: true,
    },
    KeyCase {
        name: "the old secret is not used to encode",
        encoding_key: || {
            let mut key = FleetKey::new("one secret of a fleet");
            key.set_old_secret("two secrets of fleets");
            key
        },
        decoding_key: || FleetKey::new("two secrets of fleets"),
        purpose: Purpose::Datagram,
        is_accepted: false,
    },
];

#[test]
fn a_frame_is_accepted_only_with_its_key_and_purpose() {
    for case in KEY_CASES {
        let frame = valid_frame(&(case.encoding_key)(), &message());
        let decoded = decode_frame::<Msg>(&(case.decoding_key)(), case.purpose, &frame);
        assert_eq!(decoded.is_ok(), case.is_accepted, "{}: {decoded:?}", case.name);
        if let Ok(decoded) = decoded {
            assert_eq!((decoded.header, decoded.msg), (HEADER, message()), "{}", case.name);
        }
    }
}

struct MalformedCase {
    alter: fn(&mut Vec<u8>),
    error: fn(&WireError) -> bool,
}

#[test_case(&MalformedCase {
    alter: |f| f.clear(),
    error: |e| *e == WireError::FrameTooShort(0),
}; "empty")]
#[test_case(&MalformedCase {
    alter: |f| f.truncate(PREFIX_BYTES),
    error: |e| *e == WireError::FrameTooShort(PREFIX_BYTES),
}; "without a body")]
#[test_case(&MalformedCase {
    alter: |f| f[0] = VERSION + 1,
    error: |e| *e == WireError::UnsupportedVersion(VERSION + 1),
}; "a future version")]
#[test_case(&MalformedCase {
    alter: |f| f.push(0),
    error: |e| *e == WireError::MacMismatch,
}; "with an additional byte")]
fn a_malformed_frame_is_rejected_with_its_reason(case: &MalformedCase) {
    let key = FleetKey::new("one secret of a fleet");
    let mut frame = valid_frame(&key, &message());
    (case.alter)(&mut frame);
    let e =
        decode_frame::<Msg>(&key, Purpose::Datagram, &frame).expect_err("the frame is malformed");
    assert!((case.error)(&e), "{e:?}");
}

/// Makes a frame with a valid MAC whose body need not be an encoded message, as a faulty host could.
fn frame_with_body(key: &FleetKey, body: &[u8]) -> Vec<u8> {
    let mac = key.mac(Purpose::Datagram, &[&[VERSION], body]);
    [&[VERSION][..], &mac, body].concat()
}

#[test]
fn a_length_beyond_the_frame_is_rejected_without_allocating_it() {
    let key = FleetKey::new("one secret of a fleet");
    let header = [7, 3, 11, 13];
    // The largest 64-bit length, as a postcard varint.
    let length = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];
    let frame = frame_with_body(&key, &[&header[..], &length].concat());
    let e = decode_frame::<Msg>(&key, Purpose::Datagram, &frame)
        .expect_err("the body ends before the length");
    assert!(matches!(e, WireError::InvalidBody(_)), "{e:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_frame_with_a_flipped_bit_is_rejected(at in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let key = FleetKey::new("one secret of a fleet");
        let mut frame = valid_frame(&key, &message());
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        prop_assert!(decode_frame::<Msg>(&key, Purpose::Datagram, &frame).is_err());
    }

    #[test]
    fn a_truncated_frame_is_rejected(len in any::<prop::sample::Index>()) {
        let key = FleetKey::new("one secret of a fleet");
        let mut frame = valid_frame(&key, &message());
        frame.truncate(len.index(frame.len()));
        prop_assert!(decode_frame::<Msg>(&key, Purpose::Datagram, &frame).is_err());
    }

    #[test]
    fn random_bytes_are_rejected(frame in prop::collection::vec(any::<u8>(), 0..2000)) {
        let key = FleetKey::new("one secret of a fleet");
        prop_assert!(decode_frame::<Msg>(&key, Purpose::Datagram, &frame).is_err());
    }

    #[test]
    fn a_random_body_with_a_valid_mac_does_not_panic(
        body in prop::collection::vec(any::<u8>(), 0..500),
    ) {
        let key = FleetKey::new("one secret of a fleet");
        let _ = decode_frame::<jasminestage_core::control::PeerMsg>(
            &key,
            Purpose::Datagram,
            &frame_with_body(&key, &body),
        );
    }
}
