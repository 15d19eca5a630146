//! Records of backend servers whose entries lapse, return and change while requests run there.

use std::sync::Arc;

use jasminestage_core::{
    steer::{
        server::{AttemptOutcome, ServerEntry},
        server_table::ServerTable,
        steering::{PendingRequest, RequestHead, Steering},
        view::View,
    },
    time::Instant,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use crate::common::{at, entry, view};

const HEAD: RequestHead<'_> = RequestHead {
    id: "r1",
    host: "example",
    path: "/read/x",
    key: Some("key-w"),
    object: None,
    caller_timeout: None,
};

fn server(started: u64, sequence: u64) -> ServerEntry {
    ServerEntry { started_unix_ms: Some(started), sequence, ..entry("s1", "lookup", "a1") }
}

fn install(steering: &mut Steering, now: Instant, list: &[ServerEntry]) {
    steering.install_view(now, Arc::new(view(list)));
}

fn begin(steering: &mut Steering, now: Instant) -> Option<PendingRequest> {
    let mut request = steering.admit(now, &HEAD).expect("the request is admitted");
    steering.choose_server(now, &mut request).ok().map(|_| request)
}

struct LapseCase {
    /// Entries of the server while a request runs there; `None` while it has none.
    entries: &'static [fn() -> Option<ServerEntry>],
    /// Requests that still run at the incarnation which is announced at the end.
    in_flight: usize,
}

/// Fails if a server whose entry lapsed and was written again while a request ran there gets requests
/// after it has reported that it drains: a second, outdated record of the server remained.
#[test_case(&LapseCase { entries: &[|| Some(server(5, 2))], in_flight: 1 }; "the entry is renewed")]
#[test_case(&LapseCase { entries: &[|| None, || Some(server(5, 2))], in_flight: 1 }; "the entry lapses and returns")]
#[test_case(&LapseCase { entries: &[|| None, || Some(server(5, 2)), || None, || Some(server(5, 3))], in_flight: 1 }; "the entry lapses twice")]
#[test_case(&LapseCase { entries: &[|| None, || Some(server(6, 1))], in_flight: 0 }; "the server restarts after the lapse")]
#[test_case(&LapseCase { entries: &[|| Some(server(6, 1))], in_flight: 0 }; "the server restarts")]
fn a_draining_server_gets_no_requests_after_its_entry_lapsed(case: &LapseCase) {
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view(&[]) }));
    install(&mut steering, at(0), &[server(5, 1)]);
    let mut running = begin(&mut steering, at(1000)).expect("the server is available");
    let mut last = None;
    for (n, entry) in (2..).zip(case.entries) {
        last = entry();
        install(&mut steering, at(n * 1000), last.as_slice());
    }
    let in_flight: u32 = steering.in_flight().iter().map(|(_, requests)| requests).sum();
    assert_eq!(in_flight as usize, case.in_flight);
    let last = last.expect("the server is announced at the end");
    install(&mut steering, at(20_000), &[ServerEntry { draining: true, ..last }]);
    assert!(begin(&mut steering, at(20_000)).is_none(), "the server drains");
    steering.finish_attempt(at(21_000), &mut running, AttemptOutcome::Lost, None);
    assert!(begin(&mut steering, at(21_000)).is_none(), "the earlier request has ended");
    assert!(steering.in_flight().is_empty());
}

/// Number of random changes of each seed.
const STEPS: usize = 400;
/// Number of servers that come and go.
const SERVERS: u64 = 6;

/// Fails if random announcements, lapses, restarts and requests ever lead to two records of one id or
/// to a record that does not have the state of the newest announcement.
#[test]
fn each_id_has_one_record_with_the_newest_entry() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = ServerTable::default();
        let mut announced: Vec<Option<ServerEntry>> = vec![None; SERVERS as usize];
        for step in 0..STEPS as u64 {
            let id = rng.random_range(0..SERVERS);
            let known = &mut announced[id as usize];
            *known = match (rng.random_range(0..4), known.take()) {
                (0, _) => None,
                (1, Some(old)) => Some(ServerEntry { draining: !old.draining, ..old }),
                (2, Some(old)) => Some(ServerEntry { sequence: old.sequence + 1, ..old }),
                (_, old) => Some(ServerEntry {
                    id: format!("s{id}"),
                    sequence: 1,
                    started_unix_ms: Some(step),
                    ..old.unwrap_or_else(|| entry("", "lookup", "a1"))
                }),
            };
            for entry in announced.iter().flatten() {
                table.announce(at(step), &Arc::new(entry.clone()), "a");
            }
            table.withdraw_unannounced(at(step), |id| {
                announced.iter().flatten().any(|e| e.id == id)
            });
            for server in table.values_mut() {
                match rng.random_range(0..3) {
                    0 => server.start_request(None),
                    1 => server.finish_request(at(step), AttemptOutcome::Shed, None),
                    _ => {}
                }
            }
            let mut ids: Vec<&str> = table.values().map(|s| s.entry.id.as_str()).collect();
            ids.sort_unstable();
            ids.dedup();
            assert_eq!(ids.len(), table.values().count(), "seed {seed}, step {step}");
            for server in table.values() {
                let newest = announced.iter().flatten().find(|e| e.id == server.entry.id);
                assert_eq!(newest.is_some(), server.is_announced, "seed {seed}, step {step}");
                assert!(newest.is_none_or(|e| *e == *server.entry), "seed {seed}, step {step}");
            }
        }
    }
}
