//! Misbehaving clients at all ports of a host: the process lives, its memory and descriptors stay within
//! its settings, an ordinary caller is answered while they are connected, and nothing that was refused
//! as not run did run.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::eventually,
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
    task::JoinSet,
    time::{sleep, timeout},
};

/// Limit of the host on its memory, in MB. The host may use this much more than when it was idle.
const MEMORY_MB: u64 = 64;
/// Limit of the host on its descriptors.
const MAX_DESCRIPTORS: usize = 192;
/// Limit of the host on one body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Clients that send bodies; all their bodies together are 2.5 times the memory.
const SENDERS: usize = 40;
/// Clients that keep a connection open.
const CONNECTIONS: usize = 300;
/// Time for which the clients misbehave before and while the ordinary caller tries.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Time after which the ordinary caller gives up. It exceeds the timeouts in the settings.
const CALLER_PATIENCE: Duration = Duration::from_secs(10);

const DECLARATION: &str = "\
[region r]
[domain d]
region = r
seats = 1
[route offen]
access = open
repeat = idempotent
deadline = 2 s
authority = 3 s
latency = 100 ms
objective = 99%
[server s1]
route = offen
version = v1
domain = d
address = 127.0.1.1:8080
slots = 8
connections = 360
";

const ROUTE: &str = "/v1/routes/offen/x";

/// A port of the host and a path on it.
#[derive(Clone, Copy, Debug)]
enum Target {
    Caller(&'static str),
    Admin(&'static str),
    Peer,
}

/// What a client does on its connection.
#[derive(Clone, Copy, Debug)]
enum Input {
    /// Sends nothing.
    Nothing,
    /// Sends half of a head.
    HalfHead,
    /// Sends a complete head with as many short fields as fit into its legal size.
    ShortFields,
    /// Sends fields without an end.
    EndlessHead,
    /// Sends a body but for its last byte, in parts of this size.
    Body { part: usize, is_chunked: bool },
    /// Sends whole bodies and reads the responses.
    WholeBody,
    /// Announces a body of a terabyte and sends it.
    HugeBody,
    /// Sends chunks without an end.
    EndlessChunks,
    /// Sends a body with one byte in 50 ms.
    SlowBody,
    /// Sends this many requests and reads no response.
    Unread(usize),
    /// Sends a request and reads one byte of the response in 50 ms.
    SlowReader,
    /// Sends a request and closes its sending side.
    HalfClosed,
    /// Sends a nonce and most of a frame of nearly the largest size.
    Frame,
}

struct Case {
    target: Target,
    input: Input,
    clients: usize,
}

const fn case(target: Target, input: Input, clients: usize) -> Case {
    Case { target, input, clients }
}

/// Sends `part` until `total` bytes are sent; `None` if the connection ends before.
async fn send_parts(stream: &mut TcpStream, part: &[u8], total: usize) -> Option<()> {
    let mut sent = 0;
    while sent < total {
        let len = part.len().min(total - sent);
        stream.write_all(&part[..len]).await.ok()?;
        sent += len;
    }
    Some(())
}

/// Sends what the case says and returns the status of the response to a whole request.
async fn misbehave(stream: &mut TcpStream, path: &str, input: Input, id: usize) -> Option<u16> {
    let method = if path == ROUTE { "POST" } else { "GET" };
    let start = format!("{method} {path} HTTP/1.1\r\nhost: h\r\n");
    let with_length = |len: usize| format!("{start}content-length: {len}\r\n\r\n");
    match input {
        Input::Nothing => {}
        Input::HalfHead => stream.write_all(start.as_bytes()).await.ok()?,
        Input::ShortFields => {
            let fields = "a:b\r\n".repeat(3000);
            stream.write_all(format!("{start}{fields}\r\n").as_bytes()).await.ok()?;
        }
        Input::EndlessHead => {
            stream.write_all(start.as_bytes()).await.ok()?;
            let fields = "x-more: yyyyyyyyyyyyyyyyyyyy\r\n".repeat(100);
            send_parts(stream, fields.as_bytes(), usize::MAX).await?;
        }
        Input::Body { part, is_chunked: false } => {
            stream.write_all(with_length(MAX_BODY_BYTES).as_bytes()).await.ok()?;
            send_parts(stream, &vec![b'x'; part], MAX_BODY_BYTES - 1).await?;
        }
        Input::Body { part, is_chunked: true } => {
            let head = format!("{start}transfer-encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            let chunk = format!("{part:x}\r\n{}\r\n", "x".repeat(part));
            let chunks = (MAX_BODY_BYTES - 1) / part;
            send_parts(stream, chunk.as_bytes(), chunks * chunk.len()).await?;
        }
        Input::WholeBody => {
            let body = format!("whole-{id}-{}", "x".repeat(1024 * 1024));
            stream.write_all(with_length(body.len()).as_bytes()).await.ok()?;
            send_parts(stream, body.as_bytes(), body.len()).await;
            let mut head = [0; 12];
            stream.read_exact(&mut head).await.ok()?;
            let status = std::str::from_utf8(&head[9..]).ok()?.parse().ok();
            return status;
        }
        Input::HugeBody => {
            stream.write_all(with_length(1_000_000_000_000).as_bytes()).await.ok()?;
            send_parts(stream, &[b'x'; 16_384], usize::MAX).await?;
        }
        Input::EndlessChunks => {
            let head = format!("{start}transfer-encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
            send_parts(stream, chunk.as_bytes(), usize::MAX).await?;
        }
        Input::SlowBody => {
            stream.write_all(with_length(MAX_BODY_BYTES).as_bytes()).await.ok()?;
            while stream.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(50)).await;
            }
        }
        Input::Unread(count) => {
            let request = with_length(0).repeat(100);
            for _ in 0..count / 100 {
                stream.write_all(request.as_bytes()).await.ok()?;
            }
        }
        Input::SlowReader => {
            stream.write_all(with_length(0).repeat(100).as_bytes()).await.ok()?;
            let mut byte = [0];
            while stream.read(&mut byte).await.is_ok_and(|len| len > 0) {
                sleep(Duration::from_millis(50)).await;
            }
        }
        Input::HalfClosed => {
            stream.write_all(with_length(0).as_bytes()).await.ok()?;
            stream.shutdown().await.ok()?;
        }
        Input::Frame => {
            let len = 64_000_000u32;
            stream.write_all(&7u64.to_be_bytes()).await.ok()?;
            stream.write_all(&len.to_be_bytes()).await.ok()?;
            send_parts(stream, &[b'x'; 16_384], 8_000_000).await?;
        }
    }
    std::future::pending().await
}

fn resident_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the host runs");
    let line = status.lines().find(|l| l.starts_with("VmRSS")).expect("Linux reports the memory");
    let kib: u64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number");
    kib * 1024
}

fn open_descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).expect("the host runs").count()
}

/// Fails if the host exceeds its memory or descriptors while `load` runs.
async fn watch<T>(pid: u32, idle_bytes: u64, load: impl Future<Output = T>) -> T {
    let mut load = std::pin::pin!(load);
    loop {
        let grown = resident_bytes(pid).saturating_sub(idle_bytes);
        assert!(grown <= MEMORY_MB * 1_000_000, "the host used {grown} bytes more than idle");
        let descriptors = open_descriptors(pid);
        assert!(descriptors <= MAX_DESCRIPTORS, "the host has {descriptors} open descriptors");
        tokio::select! {
            result = load.as_mut() => return result,
            () = sleep(Duration::from_millis(5)) => {}
        }
    }
}

/// Starts a host with lowered limits and one backend server.
async fn start(dir: &std::path::Path) -> Fleet {
    let options = FleetOptions {
        declaration: DECLARATION.to_owned(),
        hosts: vec![("h1".to_owned(), "d".to_owned())],
        extra_settings: format!(
            "[traffic]\nmax_body_bytes = {MAX_BODY_BYTES}\n[limits]\nmemory_mb = {MEMORY_MB}\n\
             max_descriptors = {MAX_DESCRIPTORS}\nheader_timeout = 2 s\ntransfer_grace = 2 s\n\
             min_transfer_rate = 1000\nmax_header_bytes = 16384\n"
        ),
        ..FleetOptions::default()
    };
    Fleet::start(dir, options).await.expect("the fleet starts")
}

async fn is_served(to: SocketAddr, path: &str, body: &str) -> bool {
    let url = format!("http://{to}{path}");
    let http = reqwest::Client::new();
    let req = if body.is_empty() { http.get(url) } else { http.post(url).body(body.to_owned()) };
    let answer = req.timeout(Duration::from_secs(2)).send().await;
    answer.is_ok_and(|a| a.status() == 200)
}

/// One host at a time, so that memory and load of the cases do not add up.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Fails if misbehaving clients end the process, exceed its memory or descriptors, or keep an ordinary
/// caller or the operators out; or if a request ran that was refused as not run.
#[test_case(&case(Target::Caller(ROUTE), Input::Nothing, CONNECTIONS); "callers that send nothing")]
#[test_case(&case(Target::Caller(ROUTE), Input::HalfHead, CONNECTIONS); "half heads of callers")]
#[test_case(&case(Target::Caller(ROUTE), Input::ShortFields, CONNECTIONS); "short fields of callers")]
#[test_case(&case(Target::Caller(ROUTE), Input::EndlessHead, CONNECTIONS); "endless heads of callers")]
#[test_case(&case(Target::Caller(ROUTE), Input::Body { part: MAX_BODY_BYTES, is_chunked: false }, SENDERS); "bodies in one piece")]
#[test_case(&case(Target::Caller(ROUTE), Input::Body { part: 1000, is_chunked: false }, SENDERS); "bodies in small pieces")]
#[test_case(&case(Target::Caller(ROUTE), Input::Body { part: 1000, is_chunked: true }, SENDERS); "bodies in chunks")]
#[test_case(&case(Target::Caller(ROUTE), Input::WholeBody, 2 * SENDERS); "whole bodies")]
#[test_case(&case(Target::Caller(ROUTE), Input::HugeBody, SENDERS); "announced bodies over the limit")]
#[test_case(&case(Target::Caller(ROUTE), Input::EndlessChunks, SENDERS); "chunked bodies over the limit")]
#[test_case(&case(Target::Caller(ROUTE), Input::SlowBody, CONNECTIONS); "slow bodies")]
#[test_case(&case(Target::Caller(ROUTE), Input::Unread(10_000), SENDERS); "unread responses of callers")]
#[test_case(&case(Target::Caller(ROUTE), Input::SlowReader, CONNECTIONS); "slow readers")]
#[test_case(&case(Target::Caller(ROUTE), Input::HalfClosed, CONNECTIONS); "half closed connections")]
#[test_case(&case(Target::Caller("/nowhere"), Input::Body { part: MAX_BODY_BYTES, is_chunked: false }, SENDERS); "bodies without a route")]
#[test_case(&case(Target::Caller("/nowhere"), Input::EndlessChunks, SENDERS); "chunks without a route")]
#[test_case(&case(Target::Caller("/v1/lookup?route=offen"), Input::Unread(10_000), SENDERS); "unread look-ups")]
#[test_case(&case(Target::Admin("/readyz"), Input::Nothing, CONNECTIONS); "operators that send nothing")]
#[test_case(&case(Target::Admin("/readyz"), Input::Body { part: MAX_BODY_BYTES, is_chunked: false }, SENDERS); "bodies at the readiness check")]
#[test_case(&case(Target::Admin("/readyz"), Input::EndlessHead, CONNECTIONS); "endless heads at the readiness check")]
#[test_case(&case(Target::Admin("/metrics"), Input::Unread(10_000), SENDERS); "unread metrics")]
#[test_case(&case(Target::Admin("/nowhere"), Input::SlowBody, CONNECTIONS); "slow bodies without a route of operators")]
#[test_case(&case(Target::Peer, Input::Nothing, CONNECTIONS); "hosts that send nothing")]
#[test_case(&case(Target::Peer, Input::Frame, SENDERS); "frames of hosts")]
#[test_case(&case(Target::Peer, Input::HalfHead, CONNECTIONS); "requests at the address of hosts")]
fn a_crowd_of_misbehaving_clients(case: &Case) {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let mut fleet = start(dir.path()).await;
        let options = fleet.hosts[0].options.clone();
        let (callers, admin) = (options.caller_address, options.admin_address);
        assert!(is_served(callers, ROUTE, "before").await, "the host serves at first");
        let pid = fleet.hosts[0].pid();
        let idle_bytes = resident_bytes(pid);
        let (to, path) = match case.target {
            Target::Caller(path) => (callers, path),
            Target::Admin(path) => (admin, path),
            Target::Peer => (options.peer_address, ""),
        };
        let mut crowd = JoinSet::new();
        for id in 0..case.clients {
            let input = case.input;
            crowd.spawn(async move {
                let Ok(mut stream) = TcpStream::connect(to).await else { return (id, None) };
                (id, misbehave(&mut stream, path, input, id).await)
            });
        }
        watch(pid, idle_bytes, sleep(CROWD_TIME)).await;
        let served = watch(pid, idle_bytes, async {
            let caller = eventually(CALLER_PATIENCE, async || is_served(callers, ROUTE, "x").await);
            let is_caller_served = caller.await;
            let ready = eventually(CALLER_PATIENCE, async || is_served(admin, "/readyz", "").await);
            (is_caller_served, ready.await)
        });
        assert_eq!(served.await, (true, true), "the caller and the operator are served");
        let mut statuses = HashMap::new();
        while let Ok(Some(Ok((id, status)))) =
            timeout(Duration::from_millis(1), crowd.join_next()).await
        {
            statuses.insert(id, status);
        }
        drop(crowd);
        let host = &mut fleet.hosts[0];
        assert!(host.exit_status().is_none(), "the host process runs");
        let log = fs::read_to_string(&host.log_path).expect("the host writes a log");
        assert!(!log.contains("panicked"), "{log}");
        let stats = fleet.backends["s1"].stats();
        for (id, status) in statuses {
            let prefix = format!("whole-{id}-");
            let runs = stats.executions.keys().filter(|body| body.starts_with(&prefix)).count();
            let is_refused = matches!(status, Some(408 | 413 | 421 | 429 | 503));
            assert!(!is_refused || runs == 0, "request {id} ran {runs} times: {status:?}");
        }
    });
}

/// Fails if datagrams that no host has sent end the process, exceed its memory or keep callers out.
#[test]
fn a_flood_of_datagrams() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let mut fleet = start(dir.path()).await;
        let options = fleet.hosts[0].options.clone();
        let pid = fleet.hosts[0].pid();
        let idle_bytes = resident_bytes(pid);
        let flood = async {
            let udp = UdpSocket::bind("127.0.0.1:0").await.expect("a free port is bound");
            for n in 0..20_000 {
                let _ = udp.send_to(&vec![n as u8; n % 60_000], options.peer_address).await;
            }
        };
        watch(pid, idle_bytes, flood).await;
        let is_caller_served = eventually(CALLER_PATIENCE, async || {
            is_served(options.caller_address, ROUTE, "x").await
        });
        assert!(is_caller_served.await, "the caller is served");
        assert!(fleet.hosts[0].exit_status().is_none(), "the host process runs");
    });
}

/// Fails if a limit keeps out a single request that is within the limits of the settings.
#[test_case(&format!("content-length: {MAX_BODY_BYTES}\r\n"), MAX_BODY_BYTES, 65_536, 0; "the largest body")]
#[test_case(&format!("x-long: {}\r\ncontent-length: 10\r\n", "y".repeat(15_900)), 10, 10, 0; "a long head")]
#[test_case(&format!("{}content-length: 10\r\n", "a:b\r\n".repeat(90)), 10, 10, 0; "many fields")]
#[test_case("content-length: 12000\r\n", 12_000, 1000, 400; "a body that takes longer than the grace")]
fn a_single_request_within_the_limits_is_served(fields: &str, len: usize, part: usize, pause: u64) {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let fleet = start(dir.path()).await;
        let to = fleet.hosts[0].options.caller_address;
        let mut stream = TcpStream::connect(to).await.expect("the host listens");
        let head = format!("POST {ROUTE} HTTP/1.1\r\nhost: h\r\n{fields}\r\n");
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        for _ in 0..len / part {
            stream.write_all(&vec![b'x'; part]).await.expect("the body is sent");
            sleep(Duration::from_millis(pause)).await;
        }
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line).await.expect("a response arrives");
        assert_eq!(String::from_utf8_lossy(&status_line), "HTTP/1.1 200");
    });
}

/// Fails if clients that a limit cuts are not counted, or if each of them writes a line to the log.
#[test]
fn limits_are_counted_and_logged_at_a_bounded_rate() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let fleet = start(dir.path()).await;
        let options = fleet.hosts[0].options.clone();
        let mut streams = Vec::new();
        for _ in 0..CONNECTIONS {
            streams.extend(TcpStream::connect(options.caller_address).await.ok());
        }
        let is_counted = eventually(CALLER_PATIENCE, async || {
            let url = format!("http://{}/metrics", options.admin_address);
            let Ok(page) = reqwest::get(url).await else { return false };
            let text = page.text().await.unwrap_or_default();
            text.lines().any(|l| {
                l.starts_with("jasminestage_clients_limited_total")
                    && l.contains("jasminestage_limit=\"connections\"")
                    && l.contains("jasminestage_port=\"callers\"")
            })
        });
        assert!(is_counted.await, "the metric counts the closed connections");
        let log = fs::read_to_string(&fleet.hosts[0].log_path).expect("the host writes a log");
        let lines = log.lines().filter(|l| l.contains("event=55")).count();
        assert!((1..=20).contains(&lines), "{lines} lines:\n{log}");
    });
}
