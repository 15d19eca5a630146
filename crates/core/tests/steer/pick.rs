//! Choice among the servers of a region.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    steer::{
        pick::{Want, best},
        server::{LoadReport, Outcome, Server, ServerKey},
    },
    time::Instant,
};
use slotmap::SlotMap;
use test_case::test_case;

use crate::common::{at, entry};

const NOW: Instant = Instant::from_millis(10_000);

/// Prepares one of two servers.
type Prepare = fn(&mut Server);

struct Case {
    first: Prepare,
    second: Prepare,
    /// Index of the server that must be chosen.
    chosen: usize,
}

fn as_new(_: &mut Server) {}

fn busy(server: &mut Server) {
    for _ in 0..6 {
        server.start(None);
    }
}

fn reports_full(server: &mut Server) {
    server.start(None);
    let report = LoadReport { running: 3, waiting: 9, slots: 3 };
    server.finish(NOW, Outcome::Shed, Some(report));
}

fn fails(server: &mut Server) {
    for _ in 0..4 {
        server.start(None);
        let answered = Outcome::Answered { status: 500, took: Duration::from_millis(5) };
        server.finish(NOW, answered, None);
    }
}

fn slow(server: &mut Server) {
    for _ in 0..4 {
        server.start(None);
        let answered = Outcome::Answered { status: 200, took: Duration::from_secs(1) };
        server.finish(NOW, answered, None);
    }
}

fn used_elsewhere(server: &mut Server) {
    server.in_flight_elsewhere = 8;
}

#[test_case(&Case { first: busy, second: as_new, chosen: 1 }; "own requests in flight")]
#[test_case(&Case { first: as_new, second: used_elsewhere, chosen: 0 }; "requests of other hosts")]
#[test_case(&Case { first: reports_full, second: as_new, chosen: 1 }; "a full queue")]
#[test_case(&Case { first: as_new, second: fails, chosen: 0 }; "a server that fails")]
#[test_case(&Case { first: slow, second: as_new, chosen: 1 }; "a slow server")]
fn the_server_with_the_lowest_cost_is_chosen(case: &Case) {
    let mut servers: SlotMap<ServerKey, Server> = SlotMap::default();
    for (id, prepare) in [("s1", case.first), ("s2", case.second)] {
        let entry = Arc::new(entry(id, "lookup", "a1"));
        let mut server = Server::new(entry, "a".to_owned(), at(0));
        prepare(&mut server);
        servers.insert(server);
    }
    let list: Vec<(ServerKey, &Server)> = servers.iter().collect();
    let want = Want { object: None, zone: "a1", base: 0.1, fetch_cost: 1.0 };
    let chosen = best(NOW, &want, &list).map(|e| e.server);
    assert_eq!(chosen, Some(list[case.chosen].0));
}

/// Idle servers keep one object on one server, and spread the objects.
#[test]
fn an_object_stays_on_one_server() {
    let mut servers: SlotMap<ServerKey, Server> = SlotMap::default();
    for n in 0..4 {
        let entry = Arc::new(entry(&format!("s{n}"), "lookup", "a1"));
        servers.insert(Server::new(entry, "a".to_owned(), at(0)));
    }
    let list: Vec<(ServerKey, &Server)> = servers.iter().collect();
    let choose = |object: u64| {
        let want = Want { object: Some(object), zone: "a1", base: 0.1, fetch_cost: 1.0 };
        best(NOW, &want, &list).map(|e| e.server)
    };
    let mut used = std::collections::HashSet::new();
    for object in 0..40 {
        let chosen = choose(object);
        assert_eq!(chosen, choose(object));
        used.extend(chosen);
    }
    assert_eq!(used.len(), 4);
}

struct ScarcityCase {
    /// Cost of a fetch.
    fetch_cost: f64,
    /// Whether the request waits for the busy server that knows its object.
    waits: bool,
}

#[test_case(&ScarcityCase { fetch_cost: 1.0, waits: false }; "slots are ample")]
#[test_case(&ScarcityCase { fetch_cost: 2.0, waits: true }; "slots are scarce")]
fn requests_wait_for_the_object_where_slots_are_scarce(case: &ScarcityCase) {
    let mut servers: SlotMap<ServerKey, Server> = SlotMap::default();
    for n in 0..4 {
        let entry = Arc::new(entry(&format!("s{n}"), "lookup", "a1"));
        servers.insert(Server::new(entry, "a".to_owned(), at(0)));
    }
    let want = Want { object: Some(1), zone: "a1", base: 0.1, fetch_cost: case.fetch_cost };
    let choose = |servers: &SlotMap<ServerKey, Server>| {
        let list: Vec<(ServerKey, &Server)> = servers.iter().collect();
        best(NOW, &want, &list).map(|e| e.server)
    };
    let home = choose(&servers).expect("a server is chosen");
    // Three run and six wait.
    servers[home].in_flight_elsewhere = 9;
    assert_eq!(choose(&servers) == Some(home), case.waits);
}

/// A host that no longer sends a slow server anything must not believe in its slowness for ever.
#[test]
fn a_server_that_was_slow_is_tried_again() {
    let mut servers: SlotMap<ServerKey, Server> = SlotMap::default();
    let entry = Arc::new(entry("s1", "lookup", "a1"));
    let mut server = Server::new(entry, "a".to_owned(), at(0));
    slow(&mut server);
    servers.insert(server);
    let list: Vec<(ServerKey, &Server)> = servers.iter().collect();
    let want = Want { object: None, zone: "a1", base: 0.1, fetch_cost: 1.0 };
    let expected = |millis| best(at(millis), &want, &list).map_or(0.0, |e| e.latency);
    assert!(expected(10_000) > 0.9, "it was slow a moment ago");
    assert!(expected(16_000) < 0.2, "nothing was seen of it for six seconds");
}
