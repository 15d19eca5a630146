//! Servers that announce in a response that they stop, or that ask for a pause.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    steer::{
        digest::{Digest, TrafficStats},
        leaving::incarnation_hash,
        limits::StatedLimit,
        refusal::RefusalReason,
        server::{AttemptOutcome, ServerEntry, ServerReport},
        steering::{RequestHead, Steering},
        view::View,
    },
    time::Instant,
};
use test_case::test_case;

use crate::common::{at, digest, entry, region_summary, view};

const LEAVING: ServerReport =
    ServerReport { load: None, is_leaving: true, pause: None, limit: StatedLimit::None };

fn server(started: Option<u64>, sequence: u64) -> ServerEntry {
    ServerEntry { started_unix_ms: started, sequence, ..entry("s1", "lookup", "a1") }
}

fn install(steering: &mut Steering, now: Instant, list: &[ServerEntry]) {
    steering.install_view(now, Arc::new(view(list)));
}

fn steering_with(list: &[ServerEntry]) -> Steering {
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view(list) }));
    install(&mut steering, at(0), list);
    steering
}

const HEAD: RequestHead<'_> = RequestHead {
    id: "r1",
    host: "example",
    path: "/read/x",
    key: Some("key-w"),
    object: None,
    caller_timeout: Some(Duration::from_secs(3)),
};

/// Sends a request; the server answers with this report.
fn exchange(steering: &mut Steering, now: Instant, report: ServerReport) {
    let mut request = steering.admit(now, &HEAD).expect("the request is admitted");
    steering.choose_server(now, &mut request).expect("the server is available");
    let answered = AttemptOutcome::Answered { status: 200, took: Duration::from_millis(20) };
    steering.finish_attempt(now, &mut request, answered, Some(report));
}

fn is_usable(steering: &mut Steering, now: Instant) -> bool {
    let mut request = steering.admit(now, &HEAD).expect("the request is admitted");
    steering.choose_server(now, &mut request).is_ok()
}

fn digest_with(stats: TrafficStats) -> Digest {
    Digest { stats, ..digest(2, "a2") }
}

struct LeavingCase {
    /// What happens after the announcement.
    then: fn(&mut Steering),
    is_usable: bool,
}

#[test_case(&LeavingCase { then: |_| (), is_usable: false }; "at once")]
#[test_case(&LeavingCase { then: |s| install(s, at(2000), &[server(Some(5), 2)]), is_usable: false }; "its entry is renewed as ready")]
#[test_case(&LeavingCase { then: |s| { install(s, at(2000), &[]); install(s, at(4000), &[server(Some(5), 3)]); }, is_usable: false }; "its entry expires and is written again")]
#[test_case(&LeavingCase { then: |s| { for n in 0..400 { s.tick(at(2000 + n * 1000)); } }, is_usable: false }; "minutes later while it is still announced")]
#[test_case(&LeavingCase { then: |s| install(s, at(2000), &[server(Some(6), 1)]), is_usable: true }; "it restarts under the same id")]
fn a_server_that_announced_its_stop_gets_no_requests(case: &LeavingCase) {
    let mut steering = steering_with(&[server(Some(5), 1)]);
    exchange(&mut steering, at(1000), LEAVING);
    (case.then)(&mut steering);
    assert_eq!(is_usable(&mut steering, at(500_000)), case.is_usable);
}

#[test]
fn a_restart_without_a_start_time_is_recognized_by_its_sequence() {
    let mut steering = steering_with(&[server(None, 7)]);
    exchange(&mut steering, at(1000), LEAVING);
    install(&mut steering, at(2000), &[server(None, 8)]);
    assert!(!is_usable(&mut steering, at(2000)));
    install(&mut steering, at(3000), &[server(None, 1)]);
    assert!(is_usable(&mut steering, at(3000)));
}

/// The response of the earlier incarnation arrives after its successor has announced itself.
#[test]
fn a_late_announcement_does_not_affect_the_next_incarnation() {
    let mut steering = steering_with(&[server(Some(5), 1)]);
    let mut request = steering.admit(at(1000), &HEAD).expect("the request is admitted");
    steering.choose_server(at(1000), &mut request).expect("the server is available");
    install(&mut steering, at(1100), &[server(Some(6), 1)]);
    let answered = AttemptOutcome::Answered { status: 200, took: Duration::from_millis(200) };
    steering.finish_attempt(at(1200), &mut request, answered, Some(LEAVING));
    assert!(is_usable(&mut steering, at(1300)));
}

struct ReportCase {
    /// Passes the statistics of the observing host to another host.
    pass_on: fn(&mut Steering, TrafficStats),
}

#[test_case(&ReportCase { pass_on: |s, stats| s.receive_digest(at(1200), digest_with(stats)) }; "by a digest")]
#[test_case(&ReportCase { pass_on: |s, stats| {
    let mut summary = region_summary("b", 20, 1);
    summary.stats = stats;
    s.receive_region_summary(at(1200), &summary);
} }; "by the summary of a region")]
fn other_hosts_learn_that_a_server_leaves(case: &ReportCase) {
    let list = [server(Some(5), 1)];
    let mut observer = steering_with(&list);
    exchange(&mut observer, at(1000), LEAVING);
    let stats = observer.regional_traffic_stats(at(1100));
    assert!(stats.leaving.contains(&incarnation_hash(&list[0])));
    let mut other = steering_with(&list);
    assert!(is_usable(&mut other, at(1100)));
    (case.pass_on)(&mut other, stats);
    assert!(!is_usable(&mut other, at(1300)));
    observer.tick(at(20_000));
    assert!(observer.local_traffic_stats().leaving.is_empty(), "reported for a limited time");
}

struct PauseCase {
    pause_ms: u64,
    /// Milliseconds after the response.
    after_ms: u64,
    is_usable: bool,
}

#[test_case(&PauseCase { pause_ms: 1500, after_ms: 10, is_usable: false }; "at its start")]
#[test_case(&PauseCase { pause_ms: 1500, after_ms: 1499, is_usable: false }; "shortly before its end")]
#[test_case(&PauseCase { pause_ms: 1500, after_ms: 1500, is_usable: true }; "at its end")]
#[test_case(&PauseCase { pause_ms: 86_400_000, after_ms: 299_000, is_usable: false }; "a day, within the longest pause")]
#[test_case(&PauseCase { pause_ms: 86_400_000, after_ms: 301_000, is_usable: true }; "a day, after the longest pause")]
#[test_case(&PauseCase { pause_ms: u64::MAX, after_ms: 301_000, is_usable: true }; "the longest duration")]
fn a_server_gets_no_requests_during_its_pause(case: &PauseCase) {
    let mut steering = steering_with(&[server(Some(5), 1)]);
    let pause = Some(Duration::from_millis(case.pause_ms));
    exchange(&mut steering, at(1000), ServerReport { pause, ..ServerReport::default() });
    assert_eq!(is_usable(&mut steering, at(1000 + case.after_ms)), case.is_usable);
}

/// Fails if a server whose entry lapses and returns during the pause that it asked for gets requests
/// before the end of the pause.
#[test]
fn a_pause_outlasts_a_lapse_of_the_entry() {
    let mut steering = steering_with(&[server(Some(5), 1)]);
    let pause = Some(Duration::from_secs(20));
    exchange(&mut steering, at(1000), ServerReport { pause, ..ServerReport::default() });
    install(&mut steering, at(2000), &[]);
    install(&mut steering, at(4000), &[server(Some(5), 2)]);
    assert!(!is_usable(&mut steering, at(5000)));
    assert!(is_usable(&mut steering, at(21_500)));
}

/// A request that no server can take for a known time is refused at once with that time.
#[test]
fn callers_come_back_when_the_first_pause_ends() {
    let list = [server(Some(5), 1), entry("s2", "lookup", "a1"), entry("s3", "lookup", "a1")];
    let mut draining = list.clone();
    draining[2].draining = true;
    let mut steering = steering_with(&draining);
    for pause_ms in [4000, 2500] {
        let pause = Some(Duration::from_millis(pause_ms));
        exchange(&mut steering, at(1000), ServerReport { pause, ..ServerReport::default() });
    }
    let mut request = steering.admit(at(1500), &HEAD).expect("the request is admitted");
    let refusal = steering.choose_server(at(1500), &mut request).expect_err("all are paused");
    assert_eq!(refusal.reason, RefusalReason::NoServer);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(2000)));
    install(&mut steering, at(1600), &list);
    assert!(is_usable(&mut steering, at(1600)), "the third server is not paused");
}
