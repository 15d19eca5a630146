//! Bytes of any kind at every door of a host: it refuses them, keeps its memory and goes on.

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

const LIMIT: Duration = Duration::from_secs(10);
const ROUNDS: usize = 60;
/// Most memory that the host may take, in KiB.
const MAX_RESIDENT_KIB: u64 = 120 * 1024;

/// What is sent to the doors: noise, HTTP with odd heads, and lengths that promise too much.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let head = "(GET|POST|X) /(v1/routes/katalog/x|v1/lookup\\?.{0,20}|.{0,20}) HTTP/1\\.[01]\r\n\
                (host: x\r\n)?([a-z-]{1,20}: .{0,200}\r\n){0,8}\
                (content-length: [0-9]{1,20}\r\n)?(transfer-encoding: chunked\r\n)?\r\n\
                (f{1,16}\r\n)?.{0,40}";
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..600),
        head.prop_map(String::into_bytes),
        prop::collection::vec(any::<u8>(), 8..40).prop_map(|mut b| {
            // The peer's nonce, then a length of nearly 64 MiB with little behind it.
            b.splice(8..8, [0x03, 0xff, 0xff, 0xff]);
            b
        }),
    ]
}

/// Sends bytes and reads what comes back for a moment.
async fn knock(to: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(to).await else { return };
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = vec![0; 4096];
    let _ = tokio::time::timeout(Duration::from_millis(20), stream.read(&mut answer)).await;
}

/// A store that answers every call with other bytes, as HTTP or not.
async fn bad_store(mut noise: impl FnMut() -> Vec<u8> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let mut count = 0_u32;
        while let Ok((mut stream, _)) = listener.accept().await {
            let body = noise();
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
    let req = reqwest::Client::new().get(format!("http://{admin}/healthz")).timeout(LIMIT);
    req.send().await.is_ok_and(|a| a.status().is_success())
}

fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("Linux tells the peak");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_outlives_bytes_of_any_kind() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let mut draw = move || bytes().new_tree(&mut runner).expect("bytes can be drawn").current();
    let noise: Vec<_> = (0..ROUNDS).map(|_| draw()).collect();
    let store = bad_store(draw).await;

    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = HostOptions::new("z1", "zurich-1", &format!("http://{store}"));
    let mut host = HostProcess::start(dir.path(), options.clone()).expect("it starts");
    assert!(eventually(LIMIT, async || is_healthy(options.admin_address).await).await, "it starts");
    let udp = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for bytes in &noise {
        let _ = udp.send_to(bytes, options.peer_address).await;
        let doors = [options.caller_address, options.admin_address, options.peer_address]
            .map(|to| knock(to, bytes));
        let [caller, admin, peer] = doors;
        tokio::join!(caller, admin, peer);
    }
    assert!(is_healthy(options.admin_address).await, "it goes on");
    assert!(host.exit_status().is_none(), "it runs");
    let log = std::fs::read_to_string(&host.log_path).expect("a log");
    assert!(!log.contains("panicked"), "{log}");
    let peak = resident_kib(host.pid());
    assert!(peak < MAX_RESIDENT_KIB, "{peak} KiB");
}
