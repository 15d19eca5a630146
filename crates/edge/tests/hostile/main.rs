//! Tests of a real host process with clients that misbehave. Each test starts its own host, and only
//! one test runs at a time, so that the bounds on memory and descriptors hold on a busy machine.
//!
//! The host's limits are lowered in its settings; the limit on descriptors that the system enforces
//! is not changed. A test takes one kind of input to all ports of the host in turn.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use jasminestage_platform_standin::{
    backend::{Backend, Fault},
    caller::{fetch_page, request_once},
    fleet::{self, API_KEY, Host, HostSetup},
    store::Store,
};
use serde_json::json;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// The program under test.
const BINARY: &str = env!("CARGO_BIN_EXE_jasminestage-edge");
/// Clients that misbehave at the same time, per port.
const CLIENTS: usize = 200;
/// Memory that the host may use, in MB, including the bytes in its sockets.
const MEMORY_MB: u32 = 64;
/// Setting of the host's limit on descriptors.
const MAX_DESCRIPTORS: usize = 360;
/// Bound on its open descriptors: the setting without the 200 that are reserved for files.
const OPEN_DESCRIPTORS: usize = MAX_DESCRIPTORS - 200;
/// Limit on a body in the configuration.
const MAX_BODY_BYTES: usize = 1_048_576;
/// Limit on a header section in the configuration.
const MAX_HEADER_BYTES: usize = 16_384;
/// Size of the parts in which a client sends.
const PART_BYTES: usize = 16_384;
/// Bytes of pipelined requests that a client sends at most.
const PIPELINED_BYTES: usize = 512 * 1024;
/// Size of the responses of the backend servers while clients do not read.
const RESPONSE_BYTES: usize = 256 * 1024;
/// Time for which the host is watched while the clients are connected.
const WATCH_TIME: Duration = Duration::from_millis(1800);
/// Pause between two bytes of a slow client.
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// Time after which an ordinary request counts as not answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Bytes of the bodies that clients send.
static BODY: [u8; MAX_BODY_BYTES] = [b'x'; MAX_BODY_BYTES];
/// Only one test runs at a time.
static ONE_TEST: Mutex<()> = Mutex::new(());

/// Where clients connect and what they ask for.
struct Target {
    name: &'static str,
    address: fn(&Host) -> SocketAddr,
    /// Path of a request; a POST to the path of the route runs at most once.
    path: &'static str,
}

const TARGETS: [Target; 6] = [
    Target { name: "route", address: |h| h.caller_address, path: "/book/x" },
    Target { name: "no route", address: |h| h.caller_address, path: "/none/x" },
    Target { name: "readiness", address: |h| h.readiness_address, path: "/readiness" },
    Target {
        name: "directory",
        address: |h| h.directory_address,
        path: "/resolve?region=a&zone=a1",
    },
    Target { name: "peers", address: |h| h.peer_address, path: "/" },
    Target { name: "metrics", address: |h| h.metrics_address, path: "/metrics" },
];

/// How a client sends a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    /// As fast as the host takes it.
    Whole,
    /// In small pieces.
    Pieces,
    /// In the chunks of a chunked body.
    Chunks,
}

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// Sends a body and reads the response.
    Body(Sending),
    /// Sends a body except for its last byte, and stays.
    CutBody(Sending),
    /// Announces a body over the limit and sends it.
    LongBody,
    /// Sends chunks until the host closes.
    EndlessChunks,
    /// Sends a header section of the greatest size with very many short fields.
    ManyFields,
    /// Sends short fields until the host closes.
    EndlessFields,
    /// Sends requests one behind another and reads no response.
    Pipelined,
    /// Sends a header section byte by byte.
    SlowHead,
    /// Sends a body byte by byte.
    SlowBody,
    /// Sends a request and reads the response byte by byte.
    SlowReader,
    /// Sends a request, closes its direction and reads nothing.
    HalfClosed,
    /// Stops within a header section.
    HalfHead,
    /// Connects and sends nothing.
    Silent,
}

/// A request of a client that got a response.
struct Answered {
    id: String,
    status: u16,
}

fn head(method: &str, path: &str, id: &str, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\njasminestage-request-id: {id}\r\n\
         authorization: Token {API_KEY}\r\n{fields}\r\n"
    )
}

/// Reads the status of a response; `None` if the connection ends before.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut response = Vec::new();
    while !response.windows(2).any(|w| w == b"\r\n") {
        if stream.read_buf(&mut response).await.ok()? == 0 {
            return None;
        }
    }
    String::from_utf8_lossy(&response).split(' ').nth(1)?.parse().ok()
}

/// Sends `len` bytes of a body, of which the last one is left out if `is_cut`.
async fn send_body(
    stream: &mut TcpStream,
    sending: Sending,
    len: usize,
    is_cut: bool,
) -> std::io::Result<()> {
    let part = match sending {
        Sending::Whole => BODY.len(),
        Sending::Pieces => 700,
        Sending::Chunks => PART_BYTES,
    };
    let mut left = if is_cut { len - 1 } else { len };
    while left > 0 {
        let part = &BODY[..left.min(part)];
        if sending == Sending::Chunks {
            stream.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await?;
        }
        stream.write_all(part).await?;
        if sending == Sending::Chunks {
            stream.write_all(b"\r\n").await?;
        }
        left -= part.len();
    }
    if sending == Sending::Chunks && !is_cut {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

fn framing(sending: Sending, len: usize) -> String {
    match sending {
        Sending::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Sending::Whole | Sending::Pieces => format!("content-length: {len}\r\n"),
    }
}

/// Does what the input says and then keeps the connection open. Errors are those of a connection
/// that the host has closed. Adds the response to the list if the input has one.
async fn misbehave(
    stream: &mut TcpStream,
    input: Input,
    path: &str,
    id: &str,
    answered: &Mutex<Vec<Answered>>,
) -> std::io::Result<()> {
    match input {
        Input::Body(sending) | Input::CutBody(sending) => {
            let is_cut = matches!(input, Input::CutBody(_));
            let fields = framing(sending, MAX_BODY_BYTES);
            stream.write_all(head("POST", path, id, &fields).as_bytes()).await?;
            let (is_sent, status) = {
                let sent = send_body(stream, sending, MAX_BODY_BYTES, is_cut).await;
                (sent.is_ok(), read_status(stream).await)
            };
            if let (true, Some(status)) = (is_sent, status) {
                let mut answered = answered.lock().expect("no task panicked");
                answered.push(Answered { id: id.to_owned(), status });
            }
        }
        Input::LongBody => {
            let len = MAX_BODY_BYTES * 8;
            let fields = framing(Sending::Whole, len);
            stream.write_all(head("POST", path, id, &fields).as_bytes()).await?;
            send_body(stream, Sending::Pieces, len, false).await?;
        }
        Input::EndlessChunks => {
            let fields = framing(Sending::Chunks, 0);
            stream.write_all(head("POST", path, id, &fields).as_bytes()).await?;
            send_body(stream, Sending::Chunks, usize::MAX, false).await?;
        }
        Input::ManyFields => {
            let start = head("GET", path, id, "");
            let field_count = (MAX_HEADER_BYTES - start.len()) / "a:b\r\n".len();
            let text = head("GET", path, id, &"a:b\r\n".repeat(field_count));
            stream.write_all(text.as_bytes()).await?;
        }
        Input::EndlessFields => {
            let start = head("GET", path, id, "");
            stream.write_all(start.trim_end().as_bytes()).await?;
            let fields = "\r\na: b".repeat(200);
            loop {
                stream.write_all(fields.as_bytes()).await?;
            }
        }
        Input::Pipelined => {
            // The path of a request that may run at the same time as those before it.
            let path = if path == "/book/x" { "/read/x" } else { path };
            let mut sent = 0;
            for n in 0.. {
                let text = head("GET", path, &format!("{id}-{n}"), "");
                sent += text.len();
                if sent > PIPELINED_BYTES {
                    break;
                }
                stream.write_all(text.as_bytes()).await?;
            }
        }
        Input::SlowHead => {
            for byte in head("GET", path, id, &"a: b\r\n".repeat(100)).into_bytes() {
                stream.write_all(&[byte]).await?;
                sleep(SLOW_PAUSE).await;
            }
        }
        Input::SlowBody => {
            let fields = framing(Sending::Whole, MAX_BODY_BYTES);
            stream.write_all(head("POST", path, id, &fields).as_bytes()).await?;
            loop {
                stream.write_all(b"x").await?;
                sleep(SLOW_PAUSE).await;
            }
        }
        Input::SlowReader => {
            // Several requests, so that the responses do not fit into the buffers of the connection.
            let path = if path == "/book/x" { "/read/x" } else { path };
            let requests: String =
                (0..32).map(|n| head("GET", path, &format!("{id}-{n}"), "")).collect();
            stream.write_all(requests.as_bytes()).await?;
            while stream.read_u8().await.is_ok() {
                sleep(SLOW_PAUSE).await;
            }
        }
        Input::HalfClosed => {
            stream.write_all(head("GET", path, id, "").as_bytes()).await?;
            stream.shutdown().await?;
        }
        Input::HalfHead => stream.write_all(head("GET", path, id, "a: b").as_bytes()).await?,
        Input::Silent => {}
    }
    Ok(())
}

/// Starts a store, two servers per service and a host with lowered limits.
async fn start() -> (Store, Vec<Backend>, Host) {
    let store = Store::start().await;
    let mut config = fleet::sample_config(1, &[API_KEY]);
    let resources = config["resources"].as_array_mut().expect("a list");
    let limits = resources.iter_mut().find(|r| r["resource-kind"] == "limits").expect("limits");
    limits["spec"]["max-header-bytes"] = json!(MAX_HEADER_BYTES);
    limits["spec"]["max-body-bytes"] = json!(MAX_BODY_BYTES);
    limits["spec"]["header-timeout"] = json!("800ms");
    limits["spec"]["idle-timeout"] = json!("6000ms");
    store.put("op/config", &config);
    let mut servers = Vec::new();
    for service in ["lookup", "booking"] {
        for n in 1..=2 {
            let id = format!("{service}-{n}");
            servers.push(Backend::start(&store, &id, service, "a1").await);
        }
    }
    let setup = HostSetup {
        memory_mb: MEMORY_MB,
        max_descriptors: Some(MAX_DESCRIPTORS),
        ..HostSetup::default()
    };
    let host = Host::start_with(BINARY, "host-0", "a1", store.address, &setup);
    host.wait_until_ready().await;
    (store, servers, host)
}

/// Largest use of the host's resources while it was watched.
#[derive(Debug, Default)]
struct Peak {
    memory_bytes: u64,
    /// Part of the memory that was in the sockets at that time.
    socket_bytes: u64,
    descriptors: usize,
}

impl Peak {
    /// Measures the host; `None` if it does not run.
    fn measure(&mut self, host: &Host) -> Option<()> {
        let (resident_bytes, socket_bytes) = (host.resident_bytes()?, host.socket_buffer_bytes());
        if resident_bytes + socket_bytes > self.memory_bytes {
            self.memory_bytes = resident_bytes + socket_bytes;
            self.socket_bytes = socket_bytes;
        }
        self.descriptors = self.descriptors.max(host.open_descriptors()?);
        Some(())
    }
}

/// Repeats an ordinary request until it is answered; returns whether it was within the limit.
async fn is_answered(mut request: impl AsyncFnMut(usize) -> bool) -> bool {
    let attempts = async {
        for n in 0.. {
            if let Ok(true) = timeout(Duration::from_secs(4), request(n)).await {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(ANSWER_LIMIT, attempts).await.is_ok()
}

/// Returns what went wrong while clients sent an input to a target.
async fn faults_at(host: &Host, servers: &[Backend], input: Input, target: &Target) -> Vec<String> {
    let mut faults = Vec::new();
    let process = host.process_id();
    let is_unread = matches!(input, Input::Pipelined | Input::SlowReader);
    for server in servers {
        server.set_fault(if is_unread {
            Fault::LargeResponse(RESPONSE_BYTES)
        } else {
            Fault::None
        });
    }
    let answered: &'static Mutex<Vec<Answered>> = Box::leak(Box::default());
    let address = (target.address)(host);
    let mut clients = JoinSet::new();
    for n in 0..CLIENTS {
        let (path, id) = (target.path, format!("{}-{n}", target.name.replace(' ', "-")));
        clients.spawn(async move {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                // Fails if the host closes the connection, which it may do.
                misbehave(&mut stream, input, path, &id, answered).await.ok();
                // The connection stays open until the test ends it.
                std::future::pending::<()>().await;
            }
        });
    }
    let mut peak = Peak::default();
    let watch = async {
        while peak.measure(host).is_some() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let has_ended = timeout(WATCH_TIME, watch).await.is_ok();
    if has_ended {
        return vec![format!("{}: the process has ended", target.name)];
    }
    for server in servers {
        server.set_fault(Fault::None);
    }
    let requests = is_answered(async |n| {
        let id = format!("ordinary-{}-{n}", target.name.replace(' ', "-"));
        let answer = request_once(host.caller_address, "/read/x", &id, API_KEY).await;
        answer.is_some_and(|a| a.is_complete(&id))
    });
    if !requests.await {
        let is_ordinary = |line: &serde_json::Value| {
            line["request"].as_str().is_some_and(|id| id.starts_with("ordinary"))
        };
        let last = host.log_lines().into_iter().rfind(is_ordinary);
        faults.push(format!("an ordinary request was not answered, last line {last:?}"));
    }
    let pages = [
        ("readiness", host.readiness_address, "/readiness"),
        ("directory", host.directory_address, "/resolve?region=a&zone=a1"),
        ("metrics", host.metrics_address, "/metrics"),
    ];
    for (name, address, path) in pages {
        let page = async |_| fetch_page(address, path).await.is_some_and(|(s, _)| s == 200);
        if !is_answered(page).await {
            faults.push(format!("the page of {name} was not answered"));
        }
    }
    if peak.measure(host).is_none() || host.process_id() != process {
        faults.push("the process has ended".to_owned());
    }
    if peak.memory_bytes > u64::from(MEMORY_MB) * 1_000_000 {
        let Peak { memory_bytes, socket_bytes, .. } = peak;
        faults.push(format!("{memory_bytes} bytes of memory and sockets ({socket_bytes})"));
    }
    if peak.descriptors > OPEN_DESCRIPTORS {
        faults.push(format!("{} open descriptors", peak.descriptors));
    }
    clients.shutdown().await;
    for Answered { id, status } in answered.lock().expect("no task panicked").iter() {
        let runs: usize =
            servers.iter().map(|s| s.executed_requests().get(id).map_or(0, Vec::len)).sum();
        if runs > 1 || (runs == 1 && matches!(status, 408 | 421 | 429 | 503)) {
            faults.push(format!("{id} ran {runs} times and got {status}"));
        }
    }
    faults.iter().map(|fault| format!("{}: {fault}", target.name)).collect()
}

/// Fails if clients that misbehave end the process, exceed its memory or its descriptors, keep
/// ordinary callers or the pages of the host from being answered, or are told "not run" about a
/// request that has run.
#[test_case(Input::Body(Sending::Whole); "bodies in one piece")]
#[test_case(Input::Body(Sending::Pieces); "bodies in small pieces")]
#[test_case(Input::Body(Sending::Chunks); "bodies in chunks")]
#[test_case(Input::CutBody(Sending::Whole); "bodies that stop short")]
#[test_case(Input::CutBody(Sending::Pieces); "bodies in small pieces that stop short")]
#[test_case(Input::CutBody(Sending::Chunks); "bodies in chunks that stop short")]
#[test_case(Input::LongBody; "announced bodies over the limit")]
#[test_case(Input::EndlessChunks; "chunks without an end")]
#[test_case(Input::ManyFields; "very many short fields")]
#[test_case(Input::EndlessFields; "fields without an end")]
#[test_case(Input::Pipelined; "pipelined requests whose responses are not read")]
#[test_case(Input::SlowHead; "heads byte by byte")]
#[test_case(Input::SlowBody; "bodies byte by byte")]
#[test_case(Input::SlowReader; "responses read byte by byte")]
#[test_case(Input::HalfClosed; "half closed connections")]
#[test_case(Input::HalfHead; "heads that stop half way")]
#[test_case(Input::Silent; "connections without a request")]
fn a_host_withstands(input: Input) {
    let _one_test = ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (_store, servers, host) = start().await;
        let mut faults = Vec::new();
        for target in &TARGETS {
            if host.process_id().is_some() {
                faults.extend(faults_at(&host, &servers, input, target).await);
            }
        }
        assert!(faults.is_empty(), "{faults:#?}");
    });
}
