//! Selection of a server by cost.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    steer::{
        pick::{Criteria, lowest_cost_server},
        server::{AttemptOutcome, LoadReport, Server, ServerKey, ServerReport},
    },
    time::Instant,
};
use slotmap::SlotMap;
use test_case::test_case;

use crate::common::{at, entry};

const NOW: Instant = Instant::from_millis(10_000);

/// Brings one of two servers into a state.
type Prepare = fn(&mut Server);

struct Case {
    first: Prepare,
    second: Prepare,
    /// Index of the server that must be chosen.
    chosen: usize,
}

fn idle(_: &mut Server) {}

fn busy(server: &mut Server) {
    for _ in 0..6 {
        server.start_request(None);
    }
}

fn full_queue(server: &mut Server) {
    server.start_request(None);
    let report = LoadReport { running: 3, waiting: 9, slots: 3 };
    let report = ServerReport { load: Some(report), ..ServerReport::default() };
    server.finish_request(NOW, AttemptOutcome::Shed, Some(report));
}

fn failing(server: &mut Server) {
    for _ in 0..4 {
        server.start_request(None);
        let answered = AttemptOutcome::Answered { status: 500, took: Duration::from_millis(5) };
        server.finish_request(NOW, answered, None);
    }
}

fn slow(server: &mut Server) {
    for _ in 0..4 {
        server.start_request(None);
        let answered = AttemptOutcome::Answered { status: 200, took: Duration::from_secs(1) };
        server.finish_request(NOW, answered, None);
    }
}

fn busy_with_other_hosts(server: &mut Server) {
    server.remote_in_flight = 8;
}

#[test_case(&Case { first: busy, second: idle, chosen: 1 }; "requests of this host in flight")]
#[test_case(&Case { first: idle, second: busy_with_other_hosts, chosen: 0 }; "requests of other hosts in flight")]
#[test_case(&Case { first: full_queue, second: idle, chosen: 1 }; "a full queue")]
#[test_case(&Case { first: idle, second: failing, chosen: 0 }; "a failing server")]
#[test_case(&Case { first: slow, second: idle, chosen: 1 }; "a slow server")]
fn the_server_with_the_lowest_cost_is_chosen(case: &Case) {
    let mut servers: SlotMap<ServerKey, Server> = SlotMap::default();
    for (id, prepare) in [("s1", case.first), ("s2", case.second)] {
        let entry = Arc::new(entry(id, "lookup", "a1"));
        let mut server = Server::new(entry, "a".to_owned(), at(0));
        prepare(&mut server);
        servers.insert(server);
    }
    let list: Vec<(ServerKey, &Server)> = servers.iter().collect();
    let criteria =
        Criteria { zone: "a1", base_latency_s: 0.1, service_latency_s: 0.1, ..Criteria::default() };
    let chosen = lowest_cost_server(NOW, &criteria, &list).map(|e| e.server);
    assert_eq!(chosen, Some(list[case.chosen].0));
}

/// Requests for one object go to one server, so that it is cached only once. The objects are spread
/// over all servers, so that none is overloaded.
#[test]
fn an_object_stays_on_one_server() {
    let mut servers: SlotMap<ServerKey, Server> = SlotMap::default();
    for n in 0..4 {
        let entry = Arc::new(entry(&format!("s{n}"), "lookup", "a1"));
        servers.insert(Server::new(entry, "a".to_owned(), at(0)));
    }
    let list: Vec<(ServerKey, &Server)> = servers.iter().collect();
    let choose = |object: u64| {
        let criteria = Criteria {
            object: Some(object),
            zone: "a1",
            base_latency_s: 0.1,
            service_latency_s: 0.1,
            ..Criteria::default()
        };
        lowest_cost_server(NOW, &criteria, &list).map(|e| e.server)
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
    fetch_cost_factor: f64,
    /// Whether the request goes to the busy server that has its object cached.
    waits_for_cached: bool,
}

#[test_case(&ScarcityCase { fetch_cost_factor: 1.0, waits_for_cached: false }; "many slots are free")]
#[test_case(&ScarcityCase { fetch_cost_factor: 2.0, waits_for_cached: true }; "few slots are free")]
fn requests_wait_for_a_cached_object_when_few_slots_are_free(case: &ScarcityCase) {
    let mut servers: SlotMap<ServerKey, Server> = SlotMap::default();
    for n in 0..4 {
        let entry = Arc::new(entry(&format!("s{n}"), "lookup", "a1"));
        servers.insert(Server::new(entry, "a".to_owned(), at(0)));
    }
    let criteria = Criteria {
        object: Some(1),
        zone: "a1",
        base_latency_s: 0.1,
        service_latency_s: 0.1,
        fetch_cost_factor: case.fetch_cost_factor,
        ..Criteria::default()
    };
    let choose = |servers: &SlotMap<ServerKey, Server>| {
        let list: Vec<(ServerKey, &Server)> = servers.iter().collect();
        lowest_cost_server(NOW, &criteria, &list).map(|e| e.server)
    };
    let preferred = choose(&servers).expect("a server is chosen");
    // Three requests run and six wait.
    servers[preferred].remote_in_flight = 9;
    assert_eq!(choose(&servers) == Some(preferred), case.waits_for_cached);
}

/// A host that avoids a slow server measures no new latency, so the old measurement has to decay.
/// Otherwise the server would never get requests again.
#[test]
fn the_latency_of_a_slow_server_decays() {
    let mut servers: SlotMap<ServerKey, Server> = SlotMap::default();
    let entry = Arc::new(entry("s1", "lookup", "a1"));
    let mut server = Server::new(entry, "a".to_owned(), at(0));
    slow(&mut server);
    servers.insert(server);
    let list: Vec<(ServerKey, &Server)> = servers.iter().collect();
    let criteria =
        Criteria { zone: "a1", base_latency_s: 0.1, service_latency_s: 0.1, ..Criteria::default() };
    let expected_latency_s =
        |millis| lowest_cost_server(at(millis), &criteria, &list).map_or(0.0, |e| e.latency_s);
    assert!(expected_latency_s(10_000) > 0.9, "the slow answer is recent");
    assert!(expected_latency_s(16_000) < 0.2, "the slow answer is six seconds old");
}
