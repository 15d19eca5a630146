//! Requests that are sent before earlier ones on the same connection have been answered.

use std::time::{Duration, Instant};

use jasminestage_platform_standin::{backend::Fault, fleet::API_KEY};
use rustix::process::Signal;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{Environment, eventually};

/// Time that the servers take for a request.
const WORK: Duration = Duration::from_millis(300);

fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: shop.example\r\njasminestage-request-id: {id}\r\n\
         jasminestage-deadline-ms: 3000\r\nauthorization: Token {API_KEY}\r\n\r\n"
    )
}

fn post(path: &str, id: &str, framing: &str, body: &str) -> String {
    get(path, id)
        .replace("GET", "POST")
        .replace("\r\n\r\n", &format!("\r\n{framing}\r\n\r\n{body}"))
}

/// Reads until the connection ends or `count` responses have arrived; returns the text.
async fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    let read = async {
        while String::from_utf8_lossy(&text).matches("answer to ").count() < count {
            match stream.read(&mut buf).await {
                Ok(len) if len > 0 => text.extend_from_slice(&buf[..len]),
                _ => break,
            }
        }
    };
    // Without a response in time, the test fails by what has arrived.
    let _ = tokio::time::timeout(Duration::from_secs(5), read).await;
    String::from_utf8_lossy(&text).into_owned()
}

/// Returns the ids of the requests in the order of their responses.
fn answered_ids(text: &str) -> Vec<&str> {
    text.split("answer to ").skip(1).map(|rest| rest.split("HTTP").next().unwrap_or(rest)).collect()
}

async fn slow_environment() -> Environment {
    let environment = Environment::start(&["a1"]).await;
    for server in &environment.servers {
        server.set_fault(Fault::Slow(WORK));
    }
    environment
}

struct Case {
    /// All requests of the connection.
    requests: fn() -> Vec<String>,
    /// Longest time until the last response.
    limit: Duration,
}

const AT_ONCE: Duration = Duration::from_millis(550);
const ONE_BY_ONE: Duration = Duration::from_millis(2500);

/// Fails if requests wait for earlier ones without need, if responses come in another order, or if a
/// request of a form that is not read ahead is lost or answered before its turn.
#[test_case(&Case { requests: || (0..4).map(|n| get("/read/x", &format!("r{n}"))).collect(), limit: AT_ONCE }; "four that may repeat")]
#[test_case(&Case { requests: || vec![get("/read/x", "r0"), get("/book/x", "r1"), get("/read/x", "r2")], limit: ONE_BY_ONE }; "one that must run at most once")]
#[test_case(&Case { requests: || vec![get("/read/x", "r0"), post("/book/x", "r1", "content-length: 4", "body"), get("/read/x", "r2")], limit: ONE_BY_ONE }; "a body with a length")]
#[test_case(&Case { requests: || vec![get("/read/x", "r0"), post("/book/x", "r1", "transfer-encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"), get("/read/x", "r2")], limit: ONE_BY_ONE }; "a chunked body")]
fn responses_come_in_the_order_of_the_requests(case: &Case) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let environment = slow_environment().await;
        let address = environment.hosts[0].caller_address;
        let mut stream = TcpStream::connect(address).await.expect("the host listens");
        let requests = (case.requests)();
        let started = Instant::now();
        stream.write_all(requests.concat().as_bytes()).await.expect("the host reads");
        let text = read_responses(&mut stream, requests.len()).await;
        let took = started.elapsed();
        let expected: Vec<String> = (0..requests.len()).map(|n| format!("r{n}")).collect();
        assert_eq!(answered_ids(&text), expected, "{text}");
        assert!(took < case.limit, "{took:?}");
        for id in &expected {
            assert_eq!(environment.runs(id), 1);
        }
    });
}

/// A request may be split in any place; the rest may arrive while earlier ones run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_arrive_in_parts() {
    let environment = Environment::start(&["a1"]).await;
    let address = environment.hosts[0].caller_address;
    let mut stream = TcpStream::connect(address).await.expect("the host listens");
    let all: String = (0..6).map(|n| get("/read/x", &format!("r{n}"))).collect();
    for part in all.as_bytes().chunks(37) {
        stream.write_all(part).await.expect("the host reads");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let text = read_responses(&mut stream, 6).await;
    assert_eq!(answered_ids(&text), ["r0", "r1", "r2", "r3", "r4", "r5"], "{text}");
}

/// Fails if servers go on working for a caller that has closed its connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closed_connection_ends_all_its_requests() {
    let environment = slow_environment().await;
    let host = &environment.hosts[0];
    let mut stream = TcpStream::connect(host.caller_address).await.expect("the host listens");
    let requests: String = (0..4).map(|n| get("/read/x", &format!("r{n}"))).collect();
    stream.write_all(requests.as_bytes()).await.expect("the host reads");
    tokio::time::sleep(WORK / 3).await;
    drop(stream);
    let all_logged = eventually(Duration::from_secs(3), async || {
        let lines = host.log_lines();
        (0..4).all(|n| lines.iter().any(|l| l["event"] == 363 && l["request"] == format!("r{n}")))
    });
    assert!(all_logged.await, "{:?}", host.log_lines());
}

/// Fails if a planned stop under load cuts a request that the host has accepted: each connection that
/// was opened before the host closed its port gets its response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_under_load_answers_what_was_accepted() {
    let mut environment = Environment::start(&["a1"]).await;
    let address = environment.hosts[0].caller_address;
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            tokio::spawn(async move {
                let (mut answered, mut cut) = (0, Vec::new());
                for n in 0.. {
                    let Ok(mut stream) = TcpStream::connect(address).await else { break };
                    let id = format!("{caller}-{n}");
                    let request = get("/read/x", &id);
                    let is_sent = stream.write_all(request.as_bytes()).await.is_ok();
                    let text = read_responses(&mut stream, 1).await;
                    if text.contains(&format!("answer to {id}")) {
                        answered += 1;
                    } else {
                        cut.push(format!("{id} sent={is_sent} {text}"));
                    }
                    tokio::time::sleep(Duration::from_millis(3)).await;
                }
                (answered, cut)
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    environment.hosts[0].send_signal(Signal::TERM);
    let code = environment.hosts[0].wait_for_exit(Duration::from_secs(6)).await;
    assert_eq!(code, Some(0));
    let mut all_cut = Vec::new();
    for caller in callers {
        let (answered, cut) = caller.await.expect("the caller ends");
        assert!(answered > 0);
        all_cut.extend(cut);
    }
    // The kernel may complete one connection between the last accept and the end of the listener.
    assert!(all_cut.len() <= 1, "{all_cut:?}");
}

struct StopCase {
    /// Time from the requests to the signal.
    signal_after: Duration,
    /// Requests that are sent 50 ms after the signal, behind those in flight.
    sent_after_signal: usize,
}

/// Fails if a planned stop ends a connection while servers run further requests of it: the first
/// response after the signal closed the connection.
#[test_case(&StopCase { signal_after: Duration::from_millis(100), sent_after_signal: 0 }; "before the first response")]
#[test_case(&StopCase { signal_after: Duration::from_millis(450), sent_after_signal: 0 }; "between two responses")]
#[test_case(&StopCase { signal_after: Duration::from_millis(100), sent_after_signal: 3 }; "more requests after the signal")]
fn a_planned_stop_answers_the_requests_that_were_passed_on(case: &StopCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = Environment::start(&["a1"]).await;
        for (server, work_ms) in environment.servers_of("lookup").zip([300, 900]) {
            server.set_fault(Fault::Slow(Duration::from_millis(work_ms)));
        }
        let address = environment.hosts[0].caller_address;
        let mut connections = Vec::new();
        for connection in 0..4 {
            let mut stream = TcpStream::connect(address).await.expect("the host listens");
            let ids: Vec<String> = (0..4).map(|n| format!("c{connection}r{n}")).collect();
            let requests: String = ids.iter().map(|id| get("/read/x", id)).collect();
            stream.write_all(requests.as_bytes()).await.expect("the host reads");
            connections.push((stream, ids));
        }
        tokio::time::sleep(case.signal_after).await;
        environment.hosts[0].send_signal(Signal::TERM);
        tokio::time::sleep(Duration::from_millis(50)).await;
        for (stream, ids) in &mut connections {
            for n in 0..case.sent_after_signal {
                let id = format!("{}late{n}", ids[0]);
                stream.write_all(get("/read/x", &id).as_bytes()).await.expect("the host reads");
                ids.push(id);
            }
        }
        for (mut stream, ids) in connections {
            let text = read_responses(&mut stream, usize::MAX).await;
            let answered = answered_ids(&text);
            let expected: Vec<&String> = ids.iter().filter(|id| environment.runs(id) > 0).collect();
            assert_eq!(answered, expected, "{text}");
            assert!(answered.len() >= 4, "{text}");
            let closing = text.to_lowercase().matches("connection: close").count();
            assert_eq!(closing, 1, "only the last response closes the connection: {text}");
        }
        assert_eq!(environment.hosts[0].wait_for_exit(Duration::from_secs(6)).await, Some(0));
    });
}
