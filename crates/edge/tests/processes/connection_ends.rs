//! Ends of callers' connections: what a host does with responses that the caller has not taken, and
//! with requests whose caller has left. Both readers of a connection have to do the same: the one that
//! reads ahead, and the HTTP library, which reads requests with a body or with a `Connection` field.

use std::time::Duration;

use jasminestage_platform_standin::{
    backend::Fault,
    fleet::{API_KEY, Host},
};
use rustix::process::Signal;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
};

use crate::{Environment, eventually};

/// Size of the responses: larger than the caller's receive buffer, and small enough for the host to
/// write it at once.
const RESPONSE_BYTES: usize = 128 * 1024;
/// Receive buffer of the caller.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// Limit on a body in the configuration.
const MAX_BODY_BYTES: usize = 1_048_576;
/// Time after which a caller that gets nothing more gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

fn request(method: &str, path: &str, id: &str, fields: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\njasminestage-request-id: {id}\r\n\
         jasminestage-deadline-ms: 4000\r\nauthorization: Token {API_KEY}\r\n{fields}\r\n{body}"
    )
}

fn get(id: &str) -> String {
    request("GET", "/read/x", id, "", "")
}

fn post(id: &str) -> String {
    request("POST", "/book/x", id, "content-length: 4\r\n", "body")
}

async fn connect(host: &Host) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket can be opened");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the size can be set");
    socket.connect(host.caller_address).await.expect("the host listens")
}

struct LastResponseCase {
    /// Whether the host gets a stop signal before the request.
    stops: bool,
    /// The request whose response is the last one of its connection.
    request: fn() -> String,
    /// Status and size of the body of that response.
    expected: (u16, usize),
}

/// Fails if a response is cut because the host drops its connection while the system still holds bytes
/// of it, and further bytes of the caller arrive.
#[test_case(&LastResponseCase { stops: true, request: || get("r"), expected: (200, RESPONSE_BYTES) }; "at a planned stop")]
#[test_case(&LastResponseCase { stops: true, request: || post("r"), expected: (200, RESPONSE_BYTES) }; "at a planned stop, to a request with a body")]
#[test_case(&LastResponseCase { stops: false, request: || request("GET", "/read/x", "r", "connection: close\r\n", ""), expected: (200, RESPONSE_BYTES) }; "to a request that closes the connection")]
#[test_case(&LastResponseCase { stops: false, request: long_post, expected: (413, 0) }; "to a body that is refused before it is read")]
#[test_case(&LastResponseCase { stops: false, request: long_head, expected: (431, 0) }; "to a header section that is too large")]
fn the_last_response_reaches_a_caller_that_goes_on_sending(case: &LastResponseCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let environment = Environment::start(&["a1"]).await;
        for server in &environment.servers {
            server.set_fault(Fault::LargeResponse(RESPONSE_BYTES));
        }
        let mut stream = connect(&environment.hosts[0]).await;
        if case.stops {
            environment.hosts[0].send_signal(Signal::TERM);
            sleep(Duration::from_millis(100)).await;
        }
        // Writes after the host has closed its side may fail; the response was sent before.
        let _ = stream.write_all((case.request)().as_bytes()).await;
        sleep(Duration::from_millis(300)).await;
        for n in 0..3 {
            let _ = stream.write_all(get(&format!("behind-{n}")).as_bytes()).await;
            sleep(Duration::from_millis(50)).await;
        }
        let mut response = Vec::new();
        let end = timeout(READ_TIMEOUT, stream.read_to_end(&mut response)).await;
        let text = String::from_utf8_lossy(&response);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let (status, body_bytes) = case.expected;
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{end:?}: {head}");
        assert!(body.len() >= body_bytes, "{end:?}: {} of {body_bytes} bytes", body.len());
        assert!(matches!(end, Ok(Ok(_))), "{end:?}");
    });
}

fn long_post() -> String {
    let body = "x".repeat(2 * MAX_BODY_BYTES);
    request("POST", "/book/x", "r", &format!("content-length: {}\r\n", body.len()), &body)
}

fn long_head() -> String {
    request("GET", "/read/x", "r", &format!("x-long: {}\r\n", "x".repeat(256 * 1024)), "")
}

/// Time that the servers take for a request.
const WORK: Duration = Duration::from_millis(900);
/// Time after which a caller leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(250);

struct LeaveCase {
    /// Requests that are answered before.
    before: fn() -> Vec<String>,
    /// Requests that are sent at once when the caller leaves.
    requests: fn() -> Vec<String>,
    /// Those of them that servers run when the caller leaves.
    running: &'static [&'static str],
    /// Whether the caller only shuts down its sending side.
    half: bool,
}

const BEFORE_WITH_BODY: fn() -> Vec<String> = || vec![post("before")];
const THREE: fn() -> Vec<String> = || vec![get("r0"), get("r1"), get("r2")];

/// Requests that are together larger than the buffer for header sections.
fn many_large() -> Vec<String> {
    let field = format!("x-long: {}\r\n", "x".repeat(3000));
    (0..14).map(|n| request("GET", "/read/x", &format!("r{n}"), &field, "")).collect()
}

/// Fails if a caller that leaves is not noticed while further requests of it wait: servers then work on
/// for nobody, and get the requests that waited.
#[test_case(&LeaveCase { before: Vec::new, requests: THREE, running: &["r0", "r1", "r2"], half: false }; "requests that are read ahead")]
#[test_case(&LeaveCase { before: BEFORE_WITH_BODY, requests: THREE, running: &["r0", "r1", "r2"], half: false }; "after a request with a body")]
#[test_case(&LeaveCase { before: BEFORE_WITH_BODY, requests: THREE, running: &["r0", "r1", "r2"], half: true }; "half of the connection, after a request with a body")]
#[test_case(&LeaveCase { before: Vec::new, requests: || vec![post("r0"), get("r1"), get("r2")], running: &["r0"], half: false }; "while a request with a body runs")]
#[test_case(&LeaveCase { before: Vec::new, requests: || vec![post("r0"), post("r1"), get("r2")], running: &["r0"], half: true }; "half of the connection, while a request with a body runs")]
#[test_case(&LeaveCase { before: Vec::new, requests: || vec![request("GET", "/read/x", "r0", "connection: keep-alive\r\n", ""), get("r1")], running: &["r0"], half: false }; "while a request with a connection field runs")]
#[test_case(&LeaveCase { before: Vec::new, requests: many_large, running: &["r0"], half: false }; "with more requests than the buffer takes")]
fn a_caller_that_leaves_ends_its_requests(case: &LeaveCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let environment = Environment::start(&["a1"]).await;
        let host = &environment.hosts[0];
        let mut stream = connect(host).await;
        for request in (case.before)() {
            stream.write_all(request.as_bytes()).await.expect("the host reads");
            let mut buf = [0; 4096];
            let len = timeout(READ_TIMEOUT, stream.read(&mut buf)).await;
            assert!(matches!(len, Ok(Ok(1..))), "{len:?}");
        }
        for server in &environment.servers {
            server.set_fault(Fault::Slow(WORK));
        }
        let requests = (case.requests)();
        stream.write_all(requests.concat().as_bytes()).await.expect("the host reads");
        sleep(LEAVES_AFTER).await;
        let executed = |id: &str| environment.runs(id);
        assert!(case.running.iter().all(|id| executed(id) == 1), "they should run");
        let executed_before: Vec<usize> =
            (0..requests.len()).map(|n| executed(&format!("r{n}"))).collect();
        if case.half {
            stream.shutdown().await.expect("the connection is open");
        } else {
            drop(stream);
        }
        let ended = eventually(Duration::from_millis(500), async || {
            let lines = host.log_lines();
            let is_abandoned = |id: &&str| {
                lines.iter().any(|l| l["event"] == 363 && l["request"].as_str() == Some(*id))
            };
            case.running.iter().all(is_abandoned) && lines.iter().any(|l| l["event"] == 367)
        });
        assert!(ended.await, "{:?}", host.log_lines());
        sleep(2 * WORK).await;
        let executed_after: Vec<usize> =
            (0..requests.len()).map(|n| executed(&format!("r{n}"))).collect();
        assert_eq!(executed_after, executed_before, "a server got a request after the close");
    });
}

/// Fails if requests behind one with a body run one after the other: the time of each would begin when
/// the one before has been answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_behind_one_with_a_body_are_read_ahead() {
    let environment = Environment::start(&["a1"]).await;
    let mut stream = connect(&environment.hosts[0]).await;
    let mut buf = [0; 4096];
    stream.write_all(post("before").as_bytes()).await.expect("the host reads");
    let len = timeout(READ_TIMEOUT, stream.read(&mut buf)).await;
    assert!(matches!(len, Ok(Ok(1..))), "{len:?}");
    for server in &environment.servers {
        server.set_fault(Fault::Slow(Duration::from_millis(300)));
    }
    stream.write_all(THREE().concat().as_bytes()).await.expect("the host reads");
    stream.write_all(post("behind").as_bytes()).await.expect("the host reads");
    sleep(Duration::from_millis(150)).await;
    let runs: Vec<usize> =
        ["r0", "r1", "r2", "behind"].iter().map(|id| environment.runs(id)).collect();
    assert_eq!(runs, [1, 1, 1, 0]);
    let mut text = String::new();
    while text.matches("answer to ").count() < 4 {
        match timeout(READ_TIMEOUT, stream.read(&mut buf)).await {
            Ok(Ok(len @ 1..)) => text.push_str(&String::from_utf8_lossy(&buf[..len])),
            end => panic!("{end:?}: {text}"),
        }
    }
    let order: Vec<Option<usize>> = ["r0", "r1", "r2", "behind"]
        .iter()
        .map(|id| text.find(&format!("answer to {id}")))
        .collect();
    assert!(order.is_sorted() && order[0].is_some(), "{text}");
}
