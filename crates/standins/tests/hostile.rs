//! Random and malformed input on every socket of a host, and from its store: the host stays healthy
//! and its memory bounded. Guards against panics and against allocations sized by the input.

use std::{net::SocketAddr, time::Duration};

use jasminestage_standins::process::{HostOptions, HostProcess, eventually};
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of inputs that each socket receives.
const ROUNDS: usize = 60;
/// Limit of the host's peak resident memory.
const MAX_RESIDENT_KIB: u64 = 120 * 1024;

/// Generates random bytes, HTTP requests with malformed heads, and peer frames whose length field
/// exceeds the data.
fn malformed_input() -> impl Strategy<Value = Vec<u8>> {
    let head = "(GET|POST|X) /(v1/routes/katalog/x|v1/lookup\\?.{0,20}|.{0,20}) HTTP/1\\.[01]\r\n\
                (host: x\r\n)?([a-z-]{1,20}: .{0,200}\r\n){0,8}\
                (content-length: [0-9]{1,20}\r\n)?(transfer-encoding: chunked\r\n)?\r\n\
                (f{1,16}\r\n)?.{0,40}";
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..600),
        head.prop_map(String::into_bytes),
        prop::collection::vec(any::<u8>(), 8..40).prop_map(|mut b| {
            // After the peer's nonce, a length field of nearly 64 MiB followed by a few bytes.
            b.splice(8..8, [0x03, 0xff, 0xff, 0xff]);
            b
        }),
    ]
}

/// Sends bytes on a new connection and reads the response for at most 20 ms.
async fn send_bytes(to: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(to).await else { return };
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut response = vec![0; 4096];
    let _ = tokio::time::timeout(Duration::from_millis(20), stream.read(&mut response)).await;
}

/// Starts a store that responds to each call with malformed bytes, with or without an HTTP head.
async fn malformed_store(mut next_input: impl FnMut() -> Vec<u8> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        let mut count = 0_u32;
        while let Ok((mut stream, _)) = listener.accept().await {
            let body = next_input();
            count += 1;
            let head = match count % 3 {
                0 => String::new(),
                1 => format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()),
                _ => "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n{\"kvs\":[".to_owned(),
            };
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 2048]).await;
                let _ = stream.write_all(head.as_bytes()).await;
                let _ = stream.write_all(&body).await;
            });
        }
    });
    address
}

async fn is_healthy(admin: SocketAddr) -> bool {
    let req = reqwest::Client::new().get(format!("http://{admin}/healthz")).timeout(TIMEOUT);
    req.send().await.is_ok_and(|a| a.status().is_success())
}

/// Peak resident memory of a process, in KiB.
fn peak_resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the host runs");
    let line = status
        .lines()
        .find(|l| l.starts_with("VmHWM"))
        .expect("Linux reports the peak resident memory");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_survives_malformed_input() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let mut generate = move || {
        malformed_input().new_tree(&mut runner).expect("the strategy generates a value").current()
    };
    let inputs: Vec<_> = (0..ROUNDS).map(|_| generate()).collect();
    let store = malformed_store(generate).await;

    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = HostOptions::new("z1", "zurich-1", &format!("http://{store}"));
    let mut host = HostProcess::start(dir.path(), options.clone()).expect("the host starts");
    assert!(
        eventually(TIMEOUT, async || is_healthy(options.admin_address).await).await,
        "the host becomes healthy"
    );
    let udp = UdpSocket::bind("127.0.0.1:0").await.expect("a free port is bound");
    for bytes in &inputs {
        let _ = udp.send_to(bytes, options.peer_address).await;
        let sends = [options.caller_address, options.admin_address, options.peer_address]
            .map(|to| send_bytes(to, bytes));
        let [caller, admin, peer] = sends;
        tokio::join!(caller, admin, peer);
    }
    assert!(is_healthy(options.admin_address).await, "the host stays healthy");
    assert!(host.exit_status().is_none(), "the host process runs");
    let log = std::fs::read_to_string(&host.log_path).expect("the host writes a log");
    assert!(!log.contains("panicked"), "{log}");
    let peak = peak_resident_kib(host.pid());
    assert!(peak < MAX_RESIDENT_KIB, "the peak is {peak} KiB");
}
