//! Freshness of datagrams: frames recorded for another host, for another incarnation or more than
//! two nonce periods ago are rejected, and no frame is accepted twice.

use std::{net::SocketAddr, time::Duration};

use jasminestage_core::{host::Incarnation, time::Instant};
use jasminestage_wire::{
    Header, NonceExchange, WireError,
    nonces::{NONCE_PERIOD, SendAction},
    replay::MAX_SENDERS,
};
use test_case::test_case;

const SENDER: Incarnation = Incarnation(1);

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn header(sequence: u64, echo: u64) -> Header {
    Header { sender: SENDER, sequence, nonce: 500, echo }
}

struct Case {
    /// Nonces that the receiver generated one period apart, the current one last.
    nonces: &'static [u64],
    /// Sequence numbers and echoed nonces of the frames that arrive.
    frames: &'static [(u64, u64)],
    /// Which of them are accepted.
    expected: &'static [bool],
}

#[test_case(&Case { nonces: &[5], frames: &[(1, 5), (2, 5)], expected: &[true, true] }; "fresh")]
#[test_case(&Case {
    nonces: &[5], frames: &[(1, 5), (1, 5)], expected: &[true, false],
}; "replayed")]
#[test_case(&Case {
    nonces: &[5], frames: &[(9, 5), (8, 5), (8, 5)], expected: &[true, true, false],
}; "out of order")]
#[test_case(&Case {
    nonces: &[5], frames: &[(500, 5), (300, 5)], expected: &[true, false],
}; "behind the window")]
#[test_case(&Case {
    nonces: &[5], frames: &[(1, 6)], expected: &[false],
}; "for another host or incarnation")]
#[test_case(&Case { nonces: &[5], frames: &[(1, 0)], expected: &[false] }; "without an echoed nonce")]
#[test_case(&Case { nonces: &[4, 5], frames: &[(1, 4)], expected: &[true] }; "one period old")]
#[test_case(&Case { nonces: &[3, 4, 5], frames: &[(1, 3)], expected: &[false] }; "two periods old")]
fn a_fresh_frame_is_accepted_once(case: &Case) {
    let mut now = Instant::ZERO;
    let mut exchange = NonceExchange::<()>::new(now, case.nonces[0]);
    for nonce in &case.nonces[1..] {
        now = now + NONCE_PERIOD;
        exchange.rotate(now, || *nonce);
    }
    for ((sequence, echo), expected) in case.frames.iter().zip(case.expected) {
        let accepted = exchange.accept(now, address(), &header(*sequence, *echo));
        assert_eq!(accepted.is_ok(), *expected, "{sequence} with {echo}: {accepted:?}");
    }
}

#[test]
fn after_a_pause_of_two_periods_no_earlier_nonce_is_valid() {
    let mut exchange = NonceExchange::<()>::new(Instant::ZERO, 5);
    let now = Instant::ZERO + NONCE_PERIOD * 2;
    exchange.rotate(now, || 6);
    let accepted = exchange.accept(now, address(), &header(1, 5));
    assert_eq!(accepted, Err(WireError::StaleNonce { sender: SENDER }));
}

#[test]
fn a_full_replay_window_rejects_new_senders_and_keeps_the_others() {
    let mut exchange = NonceExchange::<()>::new(Instant::ZERO, 5);
    let header_from =
        |sender: u64, sequence| Header { sender: Incarnation(sender), ..header(sequence, 5) };
    for sender in 0..MAX_SENDERS as u64 {
        assert!(exchange.accept(Instant::ZERO, address(), &header_from(sender, 1)).is_ok());
    }
    let rejected = exchange.accept(Instant::ZERO, address(), &header_from(u64::MAX, 1));
    assert_eq!(rejected, Err(WireError::TooManySenders(MAX_SENDERS)));
    for sender in 0..MAX_SENDERS as u64 {
        let again = exchange.accept(Instant::ZERO, address(), &header_from(sender, 1));
        assert!(matches!(again, Err(WireError::Replayed { .. })), "{sender}: {again:?}");
    }
}

#[test]
fn a_message_is_queued_for_the_nonce_and_a_nonce_is_used_for_less_than_a_period() {
    let mut exchange = NonceExchange::new(Instant::ZERO, 5);
    let to = address();
    assert_eq!(exchange.prepare_send(Instant::ZERO, to, || "a"), SendAction::SendHello);
    assert_eq!(exchange.prepare_send(Instant::ZERO, to, || "b"), SendAction::Wait);
    assert_eq!(exchange.accept(Instant::ZERO, to, &header(1, 5)), Ok(vec!["a", "b"]));
    assert_eq!(exchange.prepare_send(Instant::ZERO, to, || "c"), SendAction::SendNow(500));
    let late = Instant::ZERO + NONCE_PERIOD - Duration::from_secs(1);
    assert_eq!(exchange.prepare_send(late, to, || "d"), SendAction::SendHello);
}
