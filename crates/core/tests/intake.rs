//! Replays of what happens on the connections of a port, with the connections that are closed.

use std::{collections::HashMap, net::IpAddr, time::Duration};

use jasminestage_core::{
    intake::{
        Activity, CloseReason, ConnectionKey, Intake, IntakeLimits, OpenConnections, PortShare,
        ServerConnection, SlowLimits, grant_server_connection, lent_to_servers,
    },
    time::Instant,
};
use test_case::test_case;

/// Connections of the port.
const MAX_CONNECTIONS: usize = 3;
/// Memory for the connections of the port.
const MAX_BYTES: usize = 100_000;
/// Buffer of a connection for each direction, of which the system may keep twice as much.
const SOCKET_BUFFER_BYTES: usize = 15_000;

/// What happens to the connection with a name.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It is opened from an address with this last number.
    Opens(u8),
    Receives(usize),
    /// This much of what has arrived belongs to no request yet.
    Keeps(usize),
    RequestStarts,
    RequestEnds,
    /// Its body with this announced length is read.
    BodyStarts(u64),
    BodyEnds,
    /// What is written waits for the client, or no longer does.
    Unread(bool),
    /// A response of this size waits to be sent to it.
    Queues(usize),
    Ends,
    /// The port is checked for slow clients.
    Sweep,
    /// The system has refused a descriptor.
    DescriptorsShort,
    /// The memory for bodies, or for responses, is short.
    BodiesShort,
    ResponsesShort,
}

use Event::*;

struct Replay {
    /// Milliseconds, name of the connection, and event.
    events: &'static [(u64, &'static str, Event)],
    /// Milliseconds, name and reason of each close; a refused connection has no reason.
    closed: &'static [(u64, &'static str, Option<CloseReason>)],
}

fn limits() -> IntakeLimits {
    IntakeLimits {
        max_connections: MAX_CONNECTIONS,
        max_bytes: MAX_BYTES,
        socket_buffer_bytes: SOCKET_BUFFER_BYTES,
    }
}

/// Fails if a connection is closed that should stay, if one stays that should be closed, or if the
/// order differs: idle ones, then the slowest, then one of the address that uses most.
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (10, "b", Opens(1)), (20, "c", Opens(1)), (30, "d", Opens(1))], closed: &[(30, "a", Some(CloseReason::Idle))] }; "the connection that is idle longest goes first")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (5, "a", RequestEnds), (10, "b", Opens(1)), (20, "c", Opens(1)), (1010, "d", Opens(1))], closed: &[(1010, "b", Some(CloseReason::Idle))] }; "one that was never used goes before one that was")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (5, "a", RequestEnds), (10, "b", Opens(1)), (20, "c", Opens(1)), (1009, "d", Opens(1))], closed: &[(1009, "a", Some(CloseReason::Idle))] }; "one that was just accepted stays, as its request may be on the way")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", Receives(9)), (10, "b", Opens(1)), (20, "c", Opens(1)), (2000, "d", Opens(1))], closed: &[(2000, "b", Some(CloseReason::Idle))] }; "an idle one goes before a slow one")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "b", Opens(1)), (0, "c", Opens(1)), (0, "a", RequestStarts), (0, "b", RequestStarts), (0, "c", RequestStarts), (9000, "d", Opens(1))], closed: &[(9000, "d", None)] }; "a new one is refused when all work")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "b", Opens(1)), (0, "c", Opens(1)), (0, "a", RequestStarts), (0, "b", RequestStarts), (0, "c", RequestStarts), (5, "b", Keeps(9000)), (9000, "d", Opens(1))], closed: &[(9000, "b", Some(CloseReason::Expensive))] }; "one that has sent far ahead goes when all work")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "b", Opens(1)), (0, "c", Opens(1)), (0, "a", RequestStarts), (0, "b", RequestStarts), (0, "c", RequestStarts), (5, "b", Keeps(8000)), (9000, "d", Opens(1))], closed: &[(9000, "d", None)] }; "one that has sent a few requests ahead stays")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "b", Opens(1)), (0, "c", Opens(1)), (0, "a", Receives(5000)), (0, "b", RequestStarts), (0, "c", Receives(5)), (1500, "a", Receives(5000)), (1500, "c", Receives(5)), (1600, "d", Opens(1))], closed: &[(1600, "c", Some(CloseReason::Slowest))] }; "the slowest goes if none is idle")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "b", Opens(1)), (0, "c", Opens(1)), (0, "a", RequestStarts), (0, "b", RequestStarts), (0, "a", BodyStarts(99000)), (0, "b", BodyStarts(99000)), (10, "a", Receives(9000)), (0, "c", RequestStarts), (1500, "b", Receives(50)), (1600, "d", Opens(1))], closed: &[(1600, "a", Some(CloseReason::Slowest))] }; "one that stopped half way is slower than a slow one")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "b", Opens(2)), (0, "c", Opens(2)), (10, "a", Receives(5)), (20, "b", Receives(5)), (30, "c", Receives(5)), (100, "d", Opens(3))], closed: &[(100, "b", Some(CloseReason::Expensive))] }; "the address that uses most loses one if none is slow yet")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (5, "b", Opens(1)), (5, "b", RequestStarts), (10, "", DescriptorsShort), (20, "", DescriptorsShort)], closed: &[(10, "a", Some(CloseReason::Idle))] }; "a refused descriptor takes no working one")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", Receives(9)), (3000, "", Sweep), (3001, "", Sweep)], closed: &[(3001, "a", Some(CloseReason::SlowHead))] }; "a head that is not complete in time")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", Receives(9)), (10, "a", RequestStarts), (10, "a", Keeps(5)), (5000, "a", RequestEnds), (7900, "", Sweep), (8001, "", Sweep)], closed: &[(8001, "a", Some(CloseReason::SlowHead))] }; "time before the last response does not count for a head")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (12000, "", Sweep), (60000, "", Sweep)], closed: &[] }; "an idle one stays until its own timeout")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (60000, "", Sweep)], closed: &[] }; "a long request stays")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (0, "a", BodyStarts(100)), (9000, "a", Receives(1)), (10001, "", Sweep)], closed: &[(10001, "a", Some(CloseReason::SlowBody))] }; "a body byte by byte")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (0, "a", BodyStarts(100)), (0, "a", Receives(99)), (9999, "", Sweep), (10001, "", Sweep)], closed: &[(10001, "a", Some(CloseReason::SlowBody))] }; "a body that stops short")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (0, "a", BodyStarts(60000)), (9000, "a", Receives(20000)), (15000, "", Sweep), (16000, "a", Receives(20000)), (25000, "", Sweep)], closed: &[] }; "a body with pauses at a usual rate stays")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (0, "a", BodyStarts(100)), (5, "a", BodyEnds), (60000, "", Sweep)], closed: &[] }; "a request whose body has arrived stays")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", Unread(true)), (15000, "", Sweep), (15001, "", Sweep)], closed: &[(15001, "a", Some(CloseReason::Unread))] }; "a response that is not read")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", Unread(true)), (10000, "a", Unread(false)), (10000, "a", Unread(true)), (20000, "", Sweep)], closed: &[] }; "a response that is read in steps stays")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", Unread(true)), (5, "b", Opens(1)), (5, "b", Unread(true))], closed: &[(5, "a", Some(CloseReason::Expensive))] }; "responses that are not read exceed the memory")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "b", Opens(2)), (0, "a", Unread(true)), (2000, "b", Receives(8000)), (2000, "c", Opens(2)), (2000, "c", RequestStarts), (2000, "c", Queues(30_000))], closed: &[(2000, "a", Some(CloseReason::Slowest))] }; "the slowest gives up its memory")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (0, "a", Keeps(16_000)), (5, "b", Opens(1)), (5, "b", Receives(9000))], closed: &[(5, "b", Some(CloseReason::Expensive))] }; "what a working connection sends ahead counts and it stays")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", Queues(500_000)), (0, "a", Unread(true))], closed: &[] }; "a large response alone stays")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", Queues(90_000)), (0, "a", Ends), (1, "b", Opens(1)), (1, "b", Queues(90_000))], closed: &[] }; "a connection that has ended holds nothing")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (0, "a", BodyStarts(9000)), (100, "a", Receives(8999)), (900, "", BodiesShort), (1200, "", BodiesShort)], closed: &[(1200, "a", Some(CloseReason::Slowest))] }; "a body that has stopped gives up its memory")]
#[test_case(&Replay { events: &[(0, "a", Opens(1)), (0, "a", RequestStarts), (0, "a", RequestEnds), (0, "a", Unread(true)), (1900, "", ResponsesShort), (2000, "", ResponsesShort)], closed: &[(2000, "a", Some(CloseReason::Slowest))] }; "a response that nobody reads gives up its memory")]
fn connections_are_closed_in_order(replay: &Replay) {
    let mut intake = Intake::new(limits());
    let mut names: HashMap<ConnectionKey, &str> = HashMap::new();
    let mut closed = Vec::new();
    for (millis, name, event) in replay.events {
        let now = Instant::from_millis(*millis);
        let key = names.iter().find(|(_, n)| *n == name).map(|(key, _)| *key).unwrap_or_default();
        let mut closings = Vec::new();
        match *event {
            Opens(address) => {
                let (key, closing) = intake.admit(now, IpAddr::from([10, 0, 0, address]), 0);
                closings.extend(closing);
                match key {
                    Some(key) => _ = names.insert(key, name),
                    None => closed.push((*millis, *name, None)),
                }
            }
            Receives(bytes) => intake.received(now, key, bytes),
            Keeps(bytes) => intake.set_head_bytes(now, key, bytes),
            RequestStarts => intake.request_started(now, key),
            RequestEnds => intake.request_ended(now, key),
            BodyStarts(announced) => intake.body_started(now, key, announced),
            BodyEnds => intake.body_ended(now, key),
            Unread(is_unread) => intake.set_unread(now, key, is_unread),
            Queues(bytes) => intake.set_queued_bytes(now, key, bytes),
            Ends => intake.remove(key),
            Sweep => closings = intake.close_slow(now, &SlowLimits::default()),
            DescriptorsShort => closings.extend(intake.free_descriptor(now)),
            BodiesShort => {
                closings = intake.free_stalled(now, Activity::Body, Duration::from_secs(1));
            }
            ResponsesShort => {
                closings = intake.free_stalled(now, Activity::Unread, Duration::from_secs(2));
            }
        }
        closings.extend(intake.free_memory(now));
        for (key, reason) in closings {
            assert_eq!(intake.activity(key), None, "a closed connection still counts");
            closed.push((*millis, names[&key], Some(reason)));
        }
        assert!(intake.len() <= MAX_CONNECTIONS);
    }
    assert_eq!(closed, replay.closed);
}

struct Sizes {
    memory_mb: usize,
    /// Descriptors without those that are reserved for files.
    descriptors: usize,
    share: PortShare,
    min_connections: usize,
}

/// Fails if the defaults on hosts of earlier deployments leave no room for their callers, or for the
/// checks and messages that keep a host ready while callers use all of their part.
#[test_case(&Sizes { memory_mb: 112, descriptors: 2670, share: PortShare::Callers, min_connections: 1900 }; "callers of the smallest host")]
#[test_case(&Sizes { memory_mb: 512, descriptors: 7992, share: PortShare::Callers, min_connections: 5900 }; "callers of the largest host")]
#[test_case(&Sizes { memory_mb: 112, descriptors: 2670, share: PortShare::Directory, min_connections: 130 }; "directory")]
#[test_case(&Sizes { memory_mb: 112, descriptors: 2670, share: PortShare::Readiness, min_connections: 50 }; "readiness")]
#[test_case(&Sizes { memory_mb: 112, descriptors: 2670, share: PortShare::Peers, min_connections: 100 }; "other hosts")]
#[test_case(&Sizes { memory_mb: 112, descriptors: 2670, share: PortShare::Metrics, min_connections: 20 }; "metrics")]
fn parts_suffice(sizes: &Sizes) {
    let memory_bytes = sizes.memory_mb * 1_000_000;
    let limits = IntakeLimits::new(sizes.share, memory_bytes, sizes.descriptors);
    assert!(limits.max_connections >= sizes.min_connections, "{limits:?}");
    let all = [
        PortShare::Callers,
        PortShare::Directory,
        PortShare::Readiness,
        PortShare::Peers,
        PortShare::Metrics,
    ]
    .map(|share| IntakeLimits::new(share, memory_bytes, sizes.descriptors));
    let connections: usize = all.iter().map(|l| l.max_connections).sum();
    assert!(connections < sizes.descriptors, "{connections} connections");
    // Bodies of requests and responses have 0.65 of the memory.
    let bytes: usize = all.iter().map(|l| l.max_bytes).sum();
    assert!(bytes * 100 <= memory_bytes * 22, "{bytes} bytes");
    // A caller that keeps a connection to send requests with bodies holds a buffer of 8 KiB.
    assert!(sizes.share != PortShare::Callers || limits.max_bytes / 8192 >= 1900);
}

struct Grant {
    clients: usize,
    at_servers: usize,
    idle_to_servers: usize,
    expected: ServerConnection,
}

/// Fails if requests at servers and clients together exceed the descriptors, or if callers that use all
/// of their part keep all requests from the servers. 132 descriptors leave 100 for connections.
#[test_case(&Grant { clients: 5, at_servers: 80, idle_to_servers: 1, expected: ServerConnection::Granted }; "what clients leave free is used")]
#[test_case(&Grant { clients: 5, at_servers: 80, idle_to_servers: 2, expected: ServerConnection::CloseIdleServer }; "an eighth is not lent")]
#[test_case(&Grant { clients: 87, at_servers: 10, idle_to_servers: 2, expected: ServerConnection::Granted }; "a part is kept for servers")]
#[test_case(&Grant { clients: 87, at_servers: 10, idle_to_servers: 3, expected: ServerConnection::CloseIdleServer }; "idle connections to servers go first")]
#[test_case(&Grant { clients: 87, at_servers: 13, idle_to_servers: 0, expected: ServerConnection::CloseIdleCaller }; "idle callers go next")]
fn requests_at_servers_stay_within_the_descriptors(grant: &Grant) {
    let Grant { clients, at_servers, idle_to_servers, expected } = *grant;
    let open = OpenConnections { clients, at_servers, idle_to_servers };
    assert_eq!(grant_server_connection(132, &open), expected);
}

/// Fails if callers get the descriptors that connections to servers have borrowed from them.
#[test]
fn callers_do_without_what_servers_use() {
    let open = OpenConnections { clients: 0, at_servers: 20, idle_to_servers: 3 };
    assert_eq!(lent_to_servers(132, &open), 10);
    let limits = IntakeLimits { max_connections: 20, ..limits() };
    let mut intake = Intake::new(limits);
    for n in 0..10 {
        let (key, closing) = intake.admit(Instant::ZERO, IpAddr::from([10, 0, 0, 1]), 10);
        assert!(key.is_some() && closing.is_none(), "connection {n}");
    }
    let (key, closing) = intake.admit(Instant::ZERO, IpAddr::from([10, 0, 0, 1]), 10);
    assert!(key.is_some() && closing.is_some_and(|(_, reason)| reason == CloseReason::Idle));
}
