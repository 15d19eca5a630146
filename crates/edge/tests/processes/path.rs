//! Requests from the caller to a server and back.

use std::time::Duration;

use http::Method;
use jasminestage_platform_standin::{
    backend::Fault,
    caller::{Caller, fetch_page, request_once},
    fleet::API_KEY,
};
use test_case::test_case;

use crate::{Environment, eventually, response_log_line};

/// Fails if the host changes the method, path, query or body of a request, loses part of the
/// response, forwards the caller's key to a server or sends a wrong workspace or deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_forwarded_unchanged_but_without_the_key() {
    let environment = Environment::start(&["a1"]).await;
    let host = &environment.hosts[0];
    let mut caller = Caller::connect(host.caller_address).await.expect("the host listens");
    for n in 0..5 {
        let id = format!("r{n}");
        let answer = caller
            .send(Method::PUT, "/read/x?y=%2F", &id, API_KEY, "body")
            .await
            .expect("an answer");
        assert!(answer.is_complete(&id), "{answer:?}");
        let runs: Vec<_> = environment
            .servers
            .iter()
            .filter_map(|s| s.executed_requests().get(&id).cloned())
            .collect();
        assert_eq!(runs.len(), 1);
        let run = &runs[0][0];
        assert_eq!((run.request_line.as_str(), &run.body[..]), ("PUT /read/x?y=%2F", &b"body"[..]));
        assert_eq!(run.headers["jasminestage-tenant-id"], "w");
        assert!(!format!("{:?}", run.headers).contains(API_KEY));
        let left: u64 = run.headers["jasminestage-deadline-ms"]
            .to_str()
            .expect("text")
            .parse()
            .expect("a number");
        assert!(left <= 1500);
    }
    let (status, body) =
        fetch_page(host.directory_address, "/resolve?region=a&zone=a1").await.expect("a page");
    assert_eq!(status, 200);
    assert!(body.contains(&host.caller_address.to_string()), "{body}");
    let (_, metrics) = fetch_page(host.metrics_address, "/metrics").await.expect("a page");
    assert!(metrics.contains("http_server_request_duration"), "{metrics}");
}

struct Case {
    path: &'static str,
    key: &'static str,
    /// Fault that is set on all servers.
    fault: Fault,
    status: u16,
    /// Maximum number of runs; unless it is 0, the request must also run at least once.
    max_runs: usize,
}

/// Fails if a status contradicts what happened: 429 and 503 for a request that ran, or a second run
/// of a request that must run at most once after its response was lost or invalid.
#[test_case(&Case { path: "/none/x", key: API_KEY, fault: Fault::None, status: 404, max_runs: 0 }; "no route")]
#[test_case(&Case { path: "/read/x", key: "wrong", fault: Fault::None, status: 401, max_runs: 0 }; "an unknown key")]
#[test_case(&Case { path: "/book/x", key: API_KEY, fault: Fault::ShedsRequests, status: 503, max_runs: 0 }; "not run anywhere")]
#[test_case(&Case { path: "/book/x", key: API_KEY, fault: Fault::DropsResponses, status: 502, max_runs: 1 }; "at most once and lost")]
#[test_case(&Case { path: "/book/x", key: API_KEY, fault: Fault::Unsigned, status: 502, max_runs: 1 }; "at most once and unsigned")]
#[test_case(&Case { path: "/book/x", key: API_KEY, fault: Fault::WrongRequestId, status: 502, max_runs: 1 }; "at most once and another request ID")]
#[test_case(&Case { path: "/book/x", key: API_KEY, fault: Fault::InternalError, status: 500, max_runs: 1 }; "at most once and failed")]
#[test_case(&Case { path: "/read/x", key: API_KEY, fault: Fault::DropsResponses, status: 502, max_runs: 2 }; "idempotent and lost")]
fn statuses_match_the_runs_at_servers(case: &Case) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let environment = Environment::start(&["a1"]).await;
        for server in &environment.servers {
            server.set_fault(case.fault);
        }
        let answer = request_once(environment.hosts[0].caller_address, case.path, "r1", case.key)
            .await
            .expect("an answer");
        assert_eq!(answer.status, case.status, "{answer:?}");
        let runs = environment.runs("r1");
        assert!(runs <= case.max_runs, "it ran {runs} times");
        assert!(case.max_runs == 0 || runs > 0);
        let line = response_log_line(&environment.hosts[0], "r1").await;
        assert_eq!(line["status"], case.status);
    });
}

/// Fails if a retry, or a request whose caller disconnects before the response, is missing from the
/// log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_and_disconnected_callers_are_logged() {
    let environment = Environment::start(&["a1"]).await;
    let host = &environment.hosts[0];
    for server in &environment.servers {
        server.set_fault(Fault::DropsResponses);
    }
    request_once(host.caller_address, "/read/x", "again", API_KEY).await.expect("an answer");
    for server in &environment.servers {
        server.set_fault(Fault::Slow(Duration::from_secs(1)));
    }
    let request = request_once(host.caller_address, "/book/x", "left", API_KEY);
    let response = tokio::time::timeout(Duration::from_millis(200), request).await;
    assert!(response.is_err(), "the server answers too late");
    for (id, event) in [("again", 361), ("left", 363)] {
        let has_line = eventually(Duration::from_secs(5), async || {
            host.log_lines().iter().any(|line| line["request"] == id && line["event"] == event)
        });
        assert!(has_line.await, "{id}: {:?}", host.log_lines());
    }
}
