//! Replays of connections of one port: guards against a port on which clients that do nothing or are
//! slow keep out others, and against closing a connection on which a request runs.

use std::{net::SocketAddr, time::Duration};

use jasminestage_core::{
    connections::{Admission, ConnectionLimits, Connections, TransferRate},
    time::Instant,
};
use test_case::test_case;

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 3,
    max_head_bytes: 100_000,
    max_unsent_bytes: 1_000_000,
    rate: TransferRate { window: Duration::from_secs(2), min_bytes_per_s: 1000 },
};

/// An event on a connection, which is named by the last number of its address and its port.
#[derive(Clone, Copy, Debug)]
enum Event {
    Open(u8, u16),
    Close(u8, u16),
    Received(u8, u16, u64),
    Request(u8, u16),
    Work(u8, u16),
    Response(u8, u16, u64),
    Sent(u8, u16, u64),
    Trust(u8, u16),
}

use Event::{Close, Open, Received, Request, Response, Sent, Trust, Work};

fn client(address: u8, port: u16) -> SocketAddr {
    ([10, 0, 0, address], port).into()
}

/// Replays events, each 100 ms after the one before; returns the connections that were closed or
/// refused.
fn replay(connections: &mut Connections, events: &[Event]) -> Vec<SocketAddr> {
    let mut ended = Vec::new();
    for (n, event) in events.iter().enumerate() {
        let now = Instant::from_millis(1000 + 100 * n as u64);
        match *event {
            Open(a, p) => match connections.open(now, client(a, p)) {
                Admission::Admitted(_) => {}
                Admission::Replaces(_, replaced) => ended.push(replaced),
                Admission::Refused => ended.push(client(a, p)),
            },
            Close(a, p) => connections.close(client(a, p), u64::from(p)),
            Received(a, p, bytes) => {
                ended.extend(connections.record_received(now, client(a, p), bytes));
            }
            Request(a, p) => connections.begin_request(now, client(a, p)),
            Work(a, p) => connections.begin_work(client(a, p)),
            Response(a, p, bytes) => {
                ended.extend(connections.begin_response(now, client(a, p), bytes));
            }
            Sent(a, p, bytes) => connections.record_sent(now, client(a, p), bytes),
            Trust(a, p) => connections.trust(client(a, p)),
        }
    }
    ended
}

struct Case {
    events: &'static [Event],
    /// Connections that are closed or refused, by address and port.
    ended: &'static [(u8, u16)],
}

#[test_case(&Case { events: &[Open(1, 1), Open(1, 2), Open(1, 3)], ended: &[] }; "as many as are allowed")]
#[test_case(&Case { events: &[Open(1, 1), Open(2, 2), Open(3, 3), Open(4, 4)], ended: &[(1, 1)] }; "the longest idle one")]
#[test_case(&Case { events: &[Open(1, 1), Open(2, 2), Open(2, 3), Open(4, 4)], ended: &[(2, 2)] }; "one of the address with the most connections")]
#[test_case(&Case { events: &[Open(1, 1), Open(2, 2), Open(3, 3), Received(1, 1, 5), Open(4, 4)], ended: &[(2, 2)] }; "not one that sends")]
#[test_case(&Case { events: &[Open(1, 1), Request(1, 1), Open(2, 2), Open(3, 3), Open(4, 4)], ended: &[(2, 2)] }; "an idle one before a slow one")]
#[test_case(&Case { events: &[
    Open(1, 1), Request(1, 1), Received(1, 1, 90_000), Open(2, 2), Request(2, 2), Received(2, 2, 10),
    Open(3, 3), Request(3, 3), Received(3, 3, 90_000), Open(4, 4),
], ended: &[(2, 2)] }; "the slowest one")]
#[test_case(&Case { events: &[
    Open(1, 1), Work(1, 1), Open(2, 2), Work(2, 2), Open(3, 3), Work(3, 3), Open(4, 4),
], ended: &[(4, 4)] }; "none on which a request runs")]
#[test_case(&Case { events: &[Open(1, 1), Trust(1, 1), Open(2, 2), Open(3, 3), Open(4, 4)], ended: &[(2, 2)] }; "not one that is authenticated")]
#[test_case(&Case { events: &[
    Open(1, 1), Open(2, 2), Received(2, 2, 60_000), Received(1, 1, 60_000), Received(2, 2, 100),
], ended: &[(2, 2)] }; "the slowest head when heads need too much memory")]
#[test_case(&Case { events: &[
    Open(1, 1), Received(1, 1, 60_000), Open(1, 1), Received(1, 1, 60_000), Close(1, 1),
], ended: &[] }; "a client that reuses its port")]
#[test_case(&Case { events: &[
    Open(1, 1), Received(1, 1, 60_000), Request(1, 1), Open(2, 2), Received(2, 2, 60_000), Close(2, 2),
    Open(3, 3), Received(3, 3, 60_000),
], ended: &[] }; "complete heads and ended connections need no memory")]
#[test_case(&Case { events: &[Open(1, 1), Open(2, 2), Open(3, 3), Close(2, 2), Open(4, 4)], ended: &[] }; "none after one has ended")]
#[test_case(&Case { events: &[Open(1, 1), Open(2, 2), Open(3, 3), Close(2, 9), Open(4, 4)], ended: &[(1, 1)] }; "the end of an earlier connection of the same address")]
#[test_case(&Case { events: &[
    Open(1, 1), Work(1, 1), Response(1, 1, 600_000), Open(2, 2), Work(2, 2), Sent(1, 1, 1000),
    Received(9, 9, 0), Received(9, 9, 0), Received(9, 9, 0), Received(9, 9, 0), Received(9, 9, 0),
    Received(9, 9, 0), Received(9, 9, 0), Response(2, 2, 600_000),
], ended: &[(1, 1)] }; "the slowest reader when responses need too much memory")]
#[test_case(&Case { events: &[
    Open(1, 1), Work(1, 1), Response(1, 1, 600_000), Sent(1, 1, 600_200), Open(2, 2), Work(2, 2),
    Response(2, 2, 600_000),
], ended: &[] }; "responses that are sent need no memory")]
fn a_connection_makes_room(case: &Case) {
    let mut connections = Connections::new(LIMITS);
    let ended = replay(&mut connections, case.events);
    let expected: Vec<_> = case.ended.iter().map(|(a, p)| client(*a, *p)).collect();
    assert_eq!(ended, expected);
}

struct SlowCase {
    events: &'static [Event],
    /// Time after the events until the connection is closed, if it is.
    closed_after: Option<Duration>,
}

#[test_case(&SlowCase { events: &[Open(1, 1)], closed_after: None }; "idle")]
#[test_case(&SlowCase { events: &[Open(1, 1), Work(1, 1)], closed_after: None }; "a request runs")]
#[test_case(&SlowCase { events: &[Open(1, 1), Response(1, 1, 8000)], closed_after: Some(Duration::from_secs(2)) }; "nothing is read")]
#[test_case(&SlowCase { events: &[Open(1, 1), Response(1, 1, 8000), Sent(1, 1, 7000)], closed_after: Some(Duration::from_secs(4)) }; "a part is read and no more")]
#[test_case(&SlowCase { events: &[Open(1, 1), Response(1, 1, 8000), Sent(1, 1, 8200)], closed_after: None }; "all is read")]
fn a_slow_reader_is_closed(case: &SlowCase) {
    let mut connections = Connections::new(LIMITS);
    replay(&mut connections, case.events);
    let response_started = Instant::from_millis(1100);
    let closed_after = (0..600)
        .map(|n| Duration::from_millis(100 * n))
        .find(|after| !connections.remove_overdue(response_started + *after).is_empty());
    assert_eq!(closed_after, case.closed_after);
}

/// Fails if a body that stalls keeps its memory when others need it, or if one that arrives loses it.
#[test]
fn a_stalled_body_makes_room() {
    let mut connections = Connections::new(LIMITS);
    replay(&mut connections, &[Open(1, 1), Request(1, 1), Open(2, 2), Request(2, 2), Open(3, 3)]);
    let later = Instant::from_millis(2400);
    assert_eq!(connections.record_received(later, client(2, 2), 100), None);
    assert_eq!(connections.remove_stalled(later), Some(client(1, 1)));
    assert_eq!(connections.remove_stalled(later), None);
}
