//! Servers whose responses do not end, end early or come twice.

use std::time::Duration;

use http::Method;
use jasminestage_platform_standin::{
    caller::{Caller, fetch_page, request_once},
    fleet::{self, API_KEY, Host},
    raw::{CutAfter, RawResponse, RawServer},
    store::Store,
};
use test_case::test_case;

use crate::{BINARY, eventually};

/// Requests that the servers answer at the same time.
const REQUESTS: usize = 60;
/// Memory that the host may use; a quarter of its setting of 256 MB is for responses.
const MAX_RESIDENT_BYTES: u64 = 128_000_000;

/// Starts a store, two servers per service and a host.
async fn start(response: RawResponse) -> (Store, Vec<RawServer>, Host) {
    let store = Store::start().await;
    fleet::write_config(&store, 1);
    let mut servers = Vec::new();
    for service in ["lookup", "booking"] {
        for n in 1..=2 {
            let id = format!("{service}-{n}");
            servers.push(RawServer::start(&store, &id, service, response).await);
        }
    }
    let host = Host::start(BINARY, "host-0", "a1", store.address);
    host.wait_until_ready().await;
    (store, servers, host)
}

struct Case {
    response: RawResponse,
    path: &'static str,
    /// Statuses that callers may get.
    statuses: &'static [u16],
    /// Whether the responses exceed the limit on their size.
    is_cut: bool,
}

/// Fails if responses without an end exhaust the memory of the host, if a caller gets no answer or
/// a success for an incomplete one, or if a refusal claims that the request has not run.
#[test_case(&Case { response: RawResponse::EndlessHead, path: "/read/x", statuses: &[502, 504], is_cut: false }; "head")]
#[test_case(&Case { response: RawResponse::EndlessHead, path: "/book/x", statuses: &[502, 504], is_cut: false }; "head, at most once")]
#[test_case(&Case { response: RawResponse::EndlessChunks, path: "/read/x", statuses: &[502, 504], is_cut: true }; "chunked body")]
#[test_case(&Case { response: RawResponse::EndlessChunks, path: "/book/x", statuses: &[502, 504], is_cut: true }; "chunked body, at most once")]
#[test_case(&Case { response: RawResponse::EndlessBody, path: "/read/x", statuses: &[502, 504], is_cut: true }; "body without a length")]
#[test_case(&Case { response: RawResponse::BytesAfterResponse, path: "/read/x", statuses: &[200], is_cut: false }; "bytes after a complete response")]
#[test_case(&Case { response: RawResponse::SlowBody, path: "/read/x", statuses: &[502, 504], is_cut: false }; "slow body")]
fn responses_without_an_end_stay_within_the_memory(case: &Case) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (_store, _servers, host) = start(case.response).await;
        let (callers, path) = (host.caller_address, case.path);
        let requests: Vec<_> = (0..REQUESTS)
            .map(|n| {
                let id = format!("r{n}");
                tokio::spawn(async move { request_once(callers, path, &id, API_KEY).await })
            })
            .collect();
        let mut peak = 0;
        while !requests.iter().all(tokio::task::JoinHandle::is_finished) {
            peak = peak.max(host.resident_bytes().expect("the host runs"));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(peak < MAX_RESIDENT_BYTES, "the host used {peak} bytes");
        let mut answered = 0;
        for (n, request) in requests.into_iter().enumerate() {
            let answer = request.await.expect("the caller ends").expect("an answer");
            // Some are refused before they are sent once the servers have failed.
            let is_refusal = answer.status == 503;
            assert!(is_refusal || case.statuses.contains(&answer.status), "{answer:?}");
            assert!(answer.status != 200 || answer.is_complete(&format!("r{n}")), "{answer:?}");
            answered += usize::from(!is_refusal);
        }
        assert!(answered > 0, "all requests were refused");
        let counts_cut = eventually(Duration::from_secs(3), async || {
            let page = fetch_page(host.metrics_address, "/metrics").await;
            page.is_some_and(|(_, text)| text.contains("jasminestage_responses_cut_total{"))
        });
        assert!(!case.is_cut || counts_cut.await, "cut responses are counted");
        let line = host.log_lines().into_iter().find(|l| l["event"] == 364);
        assert_eq!(line.is_some(), case.is_cut, "{line:?}");
    });
}

struct EarlyEndCase {
    response: RawResponse,
    path: &'static str,
}

/// Fails if a response that breaks off reaches the caller as a success, or if the caller of a request
/// that must run at most once is told that it has not run.
#[test_case(&EarlyEndCase { response: RawResponse::ShortBody, path: "/read/x" }; "short body")]
#[test_case(&EarlyEndCase { response: RawResponse::ShortBody, path: "/book/x" }; "short body, at most once")]
#[test_case(&EarlyEndCase { response: RawResponse::MissingLastChunk, path: "/read/x" }; "missing last chunk")]
#[test_case(&EarlyEndCase { response: RawResponse::MissingLastChunk, path: "/book/x" }; "missing last chunk, at most once")]
#[test_case(&EarlyEndCase { response: RawResponse::ResetBody, path: "/book/x" }; "reset body, at most once")]
fn a_response_that_breaks_off_is_no_success(case: &EarlyEndCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (_store, _servers, host) = start(case.response).await;
        for n in 0..4 {
            let id = format!("r{n}");
            let answer = request_once(host.caller_address, case.path, &id, API_KEY).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 502, "{answer:?}");
            assert!(!answer.headers.contains_key("jasminestage-response-signature"));
        }
    });
}

/// Fails if the late second copy of a response is taken as the response to the next request on the
/// same connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_copy_of_a_response_does_not_answer_the_next_request() {
    let (_store, _servers, host) = start(RawResponse::LateCopy).await;
    let mut caller = Caller::connect(host.caller_address).await.expect("the host listens");
    let mut served = 0;
    for n in 0..40 {
        let (method, path) =
            if n % 2 == 0 { (Method::GET, "/read/x") } else { (Method::POST, "/book/x") };
        let id = format!("r{n}");
        let answer = caller.send(method, path, &id, API_KEY, "").await.expect("an answer");
        assert!(answer.status != 200 || answer.is_complete(&id), "{answer:?}");
        assert!(matches!(answer.status, 200 | 502 | 503), "{answer:?}");
        served += usize::from(answer.status == 200);
    }
    assert!(served > 10, "{served} of 40 were served");
}

struct LateRefusalCase {
    has_id: bool,
}

/// Fails if the late second copy of a refusal is taken as the response to the next request on the same
/// connection: the caller of a request that has run would be told that it has not, or a second server
/// would run it.
#[test_case(&LateRefusalCase { has_id: true }; "with the id of the earlier request")]
#[test_case(&LateRefusalCase { has_id: false }; "without an id")]
fn a_late_copy_of_a_refusal_does_not_refuse_the_next_request(case: &LateRefusalCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let response = RawResponse::LateRefusal { has_id: case.has_id };
        let (_store, servers, host) = start(response).await;
        let mut has_run = 0;
        for n in 0..40 {
            let id = format!("r{n}");
            let answer = request_once(host.caller_address, "/book/x", &id, API_KEY).await;
            let answer = answer.expect("an answer");
            let runs: usize = servers.iter().map(|s| s.runs(&id)).sum();
            assert!(runs <= 1, "{id} ran {runs} times");
            let is_refused = matches!(answer.status, 408 | 421 | 429 | 503);
            assert!(!is_refused || runs == 0, "{id} has run: {answer:?}");
            has_run += runs;
        }
        assert!(has_run > 0, "no request ran");
    });
}

/// Fails if a response that ends in its head reaches the caller as a success, or if the caller of a
/// request that may have run is told that it has not.
#[test_case(&EarlyEndCase { response: RawResponse::CutHead(CutAfter::HalfStatusLine), path: "/book/x" }; "half of the status line, at most once")]
#[test_case(&EarlyEndCase { response: RawResponse::CutHead(CutAfter::StatusLine), path: "/read/x" }; "only the status line")]
#[test_case(&EarlyEndCase { response: RawResponse::CutHead(CutAfter::StatusLine), path: "/book/x" }; "only the status line, at most once")]
#[test_case(&EarlyEndCase { response: RawResponse::CutHead(CutAfter::HalfField), path: "/read/x" }; "half of a field")]
#[test_case(&EarlyEndCase { response: RawResponse::CutHead(CutAfter::HalfField), path: "/book/x" }; "half of a field, at most once")]
#[test_case(&EarlyEndCase { response: RawResponse::CutHead(CutAfter::Fields), path: "/read/x" }; "head without its end")]
#[test_case(&EarlyEndCase { response: RawResponse::CutHead(CutAfter::Fields), path: "/book/x" }; "head without its end, at most once")]
fn a_response_that_ends_in_its_head_is_no_success(case: &EarlyEndCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (_store, servers, host) = start(case.response).await;
        let mut has_run = 0;
        for n in 0..4 {
            let id = format!("r{n}");
            let answer = request_once(host.caller_address, case.path, &id, API_KEY).await;
            let answer = answer.expect("an answer");
            let runs: usize = servers.iter().map(|s| s.runs(&id)).sum();
            // Servers that lose connections get no requests for a while.
            let expected = if runs > 0 { 502 } else { 503 };
            assert_eq!(answer.status, expected, "{id} ran {runs} times: {answer:?}");
            assert!(!answer.headers.contains_key("jasminestage-response-signature"));
            has_run += runs;
        }
        assert!(has_run > 0, "no request ran");
    });
}
