//! Freshness of datagrams: frames recorded for another host, another life or another time do not
//! count, and none counts twice.

use std::{net::SocketAddr, time::Duration};

use jasminestage_core::{host::Incarnation, time::Instant};
use jasminestage_wire::{
    Header, Links, WireError,
    links::{NONCE_PERIOD, Outgoing},
    replay::MAX_SENDERS,
};
use test_case::test_case;

const SENDER: Incarnation = Incarnation(1);

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn frame(sequence: u64, echo: u64) -> Header {
    Header { sender: SENDER, sequence, nonce: 500, echo }
}

struct Case {
    /// Nonces that the receiver drew, the present one last, one period apart.
    nonces: &'static [u64],
    /// Sequence numbers and echoes of the frames that arrive.
    frames: &'static [(u64, u64)],
    /// Which of them count.
    taken: &'static [bool],
}

#[test_case(&Case { nonces: &[5], frames: &[(1, 5), (2, 5)], taken: &[true, true] }; "fresh")]
#[test_case(&Case { nonces: &[5], frames: &[(1, 5), (1, 5)], taken: &[true, false] }; "replayed")]
#[test_case(&Case {
    nonces: &[5], frames: &[(9, 5), (8, 5), (8, 5)], taken: &[true, true, false],
}; "out of order")]
#[test_case(&Case {
    nonces: &[5], frames: &[(500, 5), (300, 5)], taken: &[true, false],
}; "behind the window")]
#[test_case(&Case { nonces: &[5], frames: &[(1, 6)], taken: &[false] }; "for another host or life")]
#[test_case(&Case { nonces: &[5], frames: &[(1, 0)], taken: &[false] }; "for nobody")]
#[test_case(&Case { nonces: &[4, 5], frames: &[(1, 4)], taken: &[true] }; "one period old")]
#[test_case(&Case { nonces: &[3, 4, 5], frames: &[(1, 3)], taken: &[false] }; "two periods old")]
fn a_frame_counts_once_while_it_is_fresh(case: &Case) {
    let mut now = Instant::ZERO;
    let mut links = Links::<()>::new(now, case.nonces[0]);
    for nonce in &case.nonces[1..] {
        now = now + NONCE_PERIOD;
        links.rotate(now, || *nonce);
    }
    for ((sequence, echo), taken) in case.frames.iter().zip(case.taken) {
        let accepted = links.accept(now, address(), &frame(*sequence, *echo));
        assert_eq!(accepted.is_ok(), *taken, "{sequence} with {echo}: {accepted:?}");
    }
}

#[test]
fn after_a_long_pause_no_earlier_nonce_is_good() {
    let mut links = Links::<()>::new(Instant::ZERO, 5);
    let now = Instant::ZERO + NONCE_PERIOD * 2;
    links.rotate(now, || 6);
    let accepted = links.accept(now, address(), &frame(1, 5));
    assert_eq!(accepted, Err(WireError::Stale { sender: SENDER }));
}

#[test]
fn a_full_table_takes_no_further_sender_and_forgets_none() {
    let mut links = Links::<()>::new(Instant::ZERO, 5);
    let of = |sender: u64, sequence| Header { sender: Incarnation(sender), ..frame(sequence, 5) };
    for sender in 0..MAX_SENDERS as u64 {
        assert!(links.accept(Instant::ZERO, address(), &of(sender, 1)).is_ok());
    }
    let further = links.accept(Instant::ZERO, address(), &of(u64::MAX, 1));
    assert_eq!(further, Err(WireError::Senders(MAX_SENDERS)));
    for sender in 0..MAX_SENDERS as u64 {
        let again = links.accept(Instant::ZERO, address(), &of(sender, 1));
        assert!(matches!(again, Err(WireError::Replayed { .. })), "{sender}: {again:?}");
    }
}

#[test]
fn a_message_waits_for_the_nonce_and_a_learned_nonce_is_used_for_less_than_a_period() {
    let mut links = Links::new(Instant::ZERO, 5);
    let to = address();
    assert_eq!(links.send(Instant::ZERO, to, || "a"), Outgoing::Hello);
    assert_eq!(links.send(Instant::ZERO, to, || "b"), Outgoing::Wait);
    assert_eq!(links.accept(Instant::ZERO, to, &frame(1, 5)), Ok(vec!["a", "b"]));
    assert_eq!(links.send(Instant::ZERO, to, || "c"), Outgoing::Now(500));
    let late = Instant::ZERO + NONCE_PERIOD - Duration::from_secs(1);
    assert_eq!(links.send(late, to, || "d"), Outgoing::Hello);
}
