//! Servers whose responses do not end, end early or come twice.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use jasminestage_platform_standin::{
    caller::{Caller, fetch_page, request_once},
    fleet::{self, API_KEY, Host},
    raw::{CutAfter, RawResponse, RawServer, send_without_end, serve_without_end},
    store::Store,
};
use test_case::test_case;
use tokio::net::TcpListener;

use crate::{BINARY, Environment, eventually};

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
#[test_case(&Case { response: RawResponse::SlowHead, path: "/read/x", statuses: &[502, 504], is_cut: false }; "slow head")]
#[test_case(&Case { response: RawResponse::SlowHead, path: "/book/x", statuses: &[502, 504], is_cut: false }; "slow head, at most once")]
#[test_case(&Case { response: RawResponse::EndlessInformational, path: "/read/x", statuses: &[502, 504], is_cut: false }; "informational responses")]
#[test_case(&Case { response: RawResponse::EndlessInformational, path: "/book/x", statuses: &[502, 504], is_cut: false }; "informational responses, at most once")]
#[test_case(&Case { response: RawResponse::EndlessHeadLine, path: "/read/x", statuses: &[502, 504], is_cut: false }; "one line of the head")]
#[test_case(&Case { response: RawResponse::EndlessTrailers, path: "/read/x", statuses: &[502, 504], is_cut: false }; "trailers")]
#[test_case(&Case { response: RawResponse::EndlessTrailers, path: "/book/x", statuses: &[502, 504], is_cut: false }; "trailers, at most once")]
#[test_case(&Case { response: RawResponse::EndlessChunkExtension, path: "/read/x", statuses: &[502, 504], is_cut: false }; "extension of a chunk")]
#[test_case(&Case { response: RawResponse::BytesOnIdleConnection, path: "/read/x", statuses: &[200, 502], is_cut: false }; "bytes on an idle connection")]
#[test_case(&Case { response: RawResponse::BytesOnIdleConnection, path: "/book/x", statuses: &[200, 502], is_cut: false }; "bytes on an idle connection, at most once")]
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

/// Watches the memory of a host while `load` runs; fails if it exceeds the limit or the process ends.
async fn assert_memory_is_bounded<T>(host: &Host, load: impl Future<Output = T>) -> T {
    let mut load = std::pin::pin!(load);
    loop {
        let resident = host.resident_bytes().expect("the host runs");
        assert!(resident < MAX_RESIDENT_BYTES, "the host used {resident} bytes");
        tokio::select! {
            result = load.as_mut() => return result,
            () = tokio::time::sleep(Duration::from_millis(5)) => {}
        }
    }
}

struct StoreCase {
    head: &'static str,
}

/// Fails if a process that answers at the address of the store exhausts the memory of the host, or if
/// callers get no answer meanwhile.
#[test_case(&StoreCase { head: "HTTP/1.1 200 OK\r\n\r\n" }; "body without a length")]
#[test_case(&StoreCase { head: "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n" }; "body with a huge length")]
#[test_case(&StoreCase { head: "HTTP/1.1 410 Gone\r\n\r\n" }; "body of an error")]
#[test_case(&StoreCase { head: "HTTP/1.1 200 OK\r\nx-more: " }; "head")]
fn a_store_that_answers_without_an_end_stays_within_the_memory(case: &StoreCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback address is free");
        let address = listener.local_addr().expect("a listener has an address");
        let store = tokio::spawn(serve_without_end(listener, case.head));
        let host = Host::start(BINARY, "host-0", "a1", address);
        let callers = host.caller_address;
        let listens = eventually(Duration::from_secs(5), async || {
            request_once(callers, "/read/x", "first", API_KEY).await.is_some()
        });
        assert!(listens.await, "{:?}", host.log_lines());
        let answer = assert_memory_is_bounded(&host, async {
            tokio::time::sleep(Duration::from_secs(6)).await;
            request_once(callers, "/read/x", "last", API_KEY).await
        });
        assert_eq!(answer.await.expect("an answer").status, 503);
        store.abort();
    });
}

/// Connections that send bytes without an end at the same time.
const SENDERS: usize = 60;
/// Time for which they send at most.
const SEND_TIME: Duration = Duration::from_secs(4);

struct SenderCase {
    address: fn(&Host) -> SocketAddr,
    head: fn() -> Vec<u8>,
    part: &'static [u8],
}

/// Fails if callers or processes that connect to the address for other hosts exhaust the memory of the
/// host by bytes without an end, or if other callers get no answer meanwhile.
#[test_case(&SenderCase { address: |h| h.caller_address, head: || b"GET /read/x HTTP/1.1\r\nx-more: ".to_vec(), part: &[b'y'; 16_384] }; "one line of a caller's head")]
#[test_case(&SenderCase { address: |h| h.caller_address, head: || b"POST /book/x HTTP/1.1\r\n".to_vec(), part: b"x-more: yyyyyyyyyyyyyyyyyyyyyyyy\r\n" }; "lines of a caller's head")]
#[test_case(&SenderCase { address: |h| h.caller_address, head: || {
    let head = "POST /book/x HTTP/1.1\r\nhost: shop.example\r\njasminestage-request-id: r\r\n";
    format!("{head}authorization: Token {API_KEY}\r\ntransfer-encoding: chunked\r\n\r\n").into_bytes()
}, part: b"8\r\nyyyyyyyy\r\n" }; "chunks of a caller's body")]
#[test_case(&SenderCase { address: |h| h.caller_address, head: || b"\r\n".to_vec(), part: b"\r\n" }; "empty lines before a caller's head")]
#[test_case(&SenderCase { address: |h| h.readiness_address, head: || b"POST /readiness HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n".to_vec(), part: b"8\r\nyyyyyyyy\r\n" }; "chunks of a readiness check")]
#[test_case(&SenderCase { address: |h| h.peer_address, head: || 16_000_000u32.to_be_bytes().to_vec(), part: &[b'y'; 16_384] }; "a frame of another host")]
fn senders_without_an_end_stay_within_the_memory(case: &SenderCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let environment = Environment::start(&["a1"]).await;
        let host = &environment.hosts[0];
        let address = (case.address)(host);
        for _ in 0..SENDERS {
            let (head, part) = ((case.head)(), case.part);
            let sending = async move { send_without_end(address, &head, part).await };
            tokio::spawn(tokio::time::timeout(SEND_TIME, sending));
        }
        let served = assert_memory_is_bounded(host, async {
            let mut served = 0;
            for n in 0..20 {
                tokio::time::sleep(SEND_TIME / 20).await;
                let id = format!("other-{n}");
                let answer = request_once(host.caller_address, "/read/x", &id, API_KEY).await;
                served += usize::from(answer.is_some_and(|a| a.is_complete(&id)));
            }
            served
        });
        assert_eq!(served.await, 20);
    });
}
