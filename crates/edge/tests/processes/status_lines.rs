//! Responses of servers with invalid status lines and with statuses outside of 200 to 599.

use std::time::Duration;

use jasminestage_platform_standin::{
    caller::{fetch_page, request_once},
    fleet::{self, API_KEY, Host},
    raw::{RawResponse, RawServer, StatusLine},
    store::Store,
};
use test_case::test_case;

use crate::{BINARY, eventually};

/// Requests per path, one after the other.
const REQUESTS: usize = 4;

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

const fn line(text: &'static str) -> RawResponse {
    RawResponse::Status(StatusLine { text, is_refusal: false })
}

const fn refusal(text: &'static str) -> RawResponse {
    RawResponse::Status(StatusLine { text, is_refusal: true })
}

struct InvalidCase {
    response: RawResponse,
}

/// Fails if a response with an invalid status reaches the caller, as a success, as another status of
/// the server or as a refusal which claims that the request has not run. Or if it does not count as a
/// bad response.
#[test_case(&InvalidCase { response: line("HTTP/1.1 000 Zero") }; "000")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 00 Zero") }; "00")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 099 Low") }; "099")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 101 Switching Protocols") }; "101")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other") }; "101 with an upgrade")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 199 Interim") }; "199 and no final response")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 600 High") }; "600")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 999 High") }; "999")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 2000 OK") }; "2000")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 abc OK") }; "letters")]
#[test_case(&InvalidCase { response: line("HTTP/1.1 -20 OK") }; "negative")]
#[test_case(&InvalidCase { response: line("HTTP/1.1") }; "no status")]
#[test_case(&InvalidCase { response: line("HTTP/2.0 200 OK") }; "HTTP 2")]
#[test_case(&InvalidCase { response: RawResponse::BodyOnly }; "HTTP 0.9")]
#[test_case(&InvalidCase { response: refusal("HTTP/1.1 000 Zero") }; "000 and not executed")]
#[test_case(&InvalidCase { response: refusal("HTTP/1.1 101 Switching Protocols") }; "101 and not executed")]
#[test_case(&InvalidCase { response: refusal("HTTP/1.1 600 High") }; "600 and not executed")]
#[test_case(&InvalidCase { response: refusal("HTTP/1.1 999 High") }; "999 and not executed")]
fn an_invalid_status_does_not_reach_the_caller(case: &InvalidCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (_store, servers, host) = start(case.response).await;
        let mut has_run = 0;
        for (n, path) in ["/read/x", "/book/x"].repeat(REQUESTS).into_iter().enumerate() {
            let id = format!("r{n}");
            let answer = request_once(host.caller_address, path, &id, API_KEY).await;
            let answer = answer.expect("an answer");
            let runs: usize = servers.iter().map(|s| s.runs(&id)).sum();
            // Servers with bad responses get no requests for a while.
            let expected = if runs > 0 { 502 } else { 503 };
            assert_eq!(answer.status, expected, "{path} ran {runs} times: {answer:?}");
            assert!(!answer.headers.contains_key("jasminestage-response-signature"), "{answer:?}");
            assert!(path == "/read/x" || runs <= 1, "{path} ran {runs} times");
            has_run += runs;
        }
        assert!(has_run > 1, "only {has_run} requests were sent");
        let label = "jasminestage_tries_total{outcome=\"bad answer\"";
        let is_counted = eventually(Duration::from_secs(3), async || {
            let page = fetch_page(host.metrics_address, "/metrics").await;
            page.is_some_and(|(_, text)| text.contains(label))
        });
        assert!(is_counted.await, "{:?}", fetch_page(host.metrics_address, "/metrics").await);
    });
}

struct ValidCase {
    response: RawResponse,
    status: u16,
}

/// Fails if a valid status of a server does not reach the caller unchanged.
#[test_case(&ValidCase { response: line("HTTP/1.1 200 OK"), status: 200 }; "200")]
#[test_case(&ValidCase { response: line("HTTP/1.1 200"), status: 200 }; "200 without a reason")]
#[test_case(&ValidCase { response: line("HTTP/1.1 200 "), status: 200 }; "200 with an empty reason")]
#[test_case(&ValidCase { response: line("HTTP/1.0 200 OK"), status: 200 }; "HTTP 1.0")]
#[test_case(&ValidCase { response: line("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK"), status: 200 }; "an informational response first")]
#[test_case(&ValidCase { response: line("HTTP/1.1 299 Other"), status: 299 }; "299")]
#[test_case(&ValidCase { response: line("HTTP/1.1 399 Other"), status: 399 }; "399")]
#[test_case(&ValidCase { response: line("HTTP/1.1 499 Other"), status: 499 }; "499")]
#[test_case(&ValidCase { response: line("HTTP/1.1 503 Busy"), status: 503 }; "a signed 503")]
#[test_case(&ValidCase { response: line("HTTP/1.1 599 Other"), status: 599 }; "599")]
fn a_valid_status_reaches_the_caller(case: &ValidCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (_store, servers, host) = start(case.response).await;
        for (n, path) in ["/read/x", "/book/x"].into_iter().enumerate() {
            let id = format!("r{n}");
            let answer = request_once(host.caller_address, path, &id, API_KEY).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, case.status, "{path}: {answer:?}");
            assert!(answer.headers.contains_key("jasminestage-response-signature"), "{answer:?}");
            assert_eq!(answer.body, format!("answer to {id}"));
            assert!(servers.iter().any(|s| s.runs(&id) > 0));
        }
    });
}
