//! Authentication of the frames between host processes: replayed and foreign frames are rejected
//! and counted, and hosts stay connected while the fleet secret is rotated.

use std::{net::SocketAddr, time::Duration};

use jasminestage_platform_standin::store::Store;
use jasminestage_standins::{
    fleet::fetch_status,
    metrics::metric_sum,
    process::{HostOptions, HostProcess, eventually},
};
use tokio::net::UdpSocket;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Shorter than the lifetime of a nonce, so that a replay is rejected by the sliding window.
const RECORDING_TIME: Duration = Duration::from_secs(2);
const REJECTED_METRIC: &str = "jasminestage_peer_rejected_total";

/// Forwards datagrams between two hosts for `RECORDING_TIME`; returns those that were sent to
/// `target`.
async fn record(inbound: &UdpSocket, outbound: &UdpSocket, target: SocketAddr) -> Vec<Vec<u8>> {
    let (mut frames, mut source) = (Vec::new(), None);
    let (mut inbound_buf, mut outbound_buf) = (vec![0; 65_536], vec![0; 65_536]);
    let end = tokio::time::Instant::now() + RECORDING_TIME;
    loop {
        tokio::select! {
            Ok((len, address)) = inbound.recv_from(&mut inbound_buf) => {
                source = Some(address);
                frames.push(inbound_buf[..len].to_vec());
                let _ = outbound.send_to(&inbound_buf[..len], target).await;
            }
            Ok((len, _)) = outbound.recv_from(&mut outbound_buf) => {
                if let Some(source) = source {
                    let _ = inbound.send_to(&outbound_buf[..len], source).await;
                }
            }
            () = tokio::time::sleep_until(end) => return frames,
        }
    }
}

async fn replay(socket: &UdpSocket, frames: &[Vec<u8>], target: SocketAddr) {
    for frame in frames {
        socket.send_to(frame, target).await.expect("the datagram is sent");
    }
}

/// Guards against a host that accepts a recorded frame a second time, or after a restart, which
/// clears its record of accepted frames.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replayed_frames_are_rejected_also_after_a_restart() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let platform = Store::start().await;
    let inbound = UdpSocket::bind("127.0.0.1:0").await.expect("a free port is bound");
    let outbound = UdpSocket::bind("127.0.0.1:0").await.expect("a free port is bound");
    let options_b = HostOptions::new("b", "two", &platform.url());
    let mut options_a = HostOptions::new("a", "one", &platform.url());
    options_a.seeds = vec![inbound.local_addr().expect("the socket is bound")];
    let mut host_b = HostProcess::start(dir.path(), options_b.clone()).expect("the host starts");
    let _host_a = HostProcess::start(dir.path(), options_a).expect("the host starts");
    let serves_metrics =
        async || metric_sum(options_b.admin_address, REJECTED_METRIC).await.is_some();
    assert!(eventually(TIMEOUT, serves_metrics).await, "the host serves metrics");

    let frames = record(&inbound, &outbound, options_b.peer_address).await;
    assert!(frames.len() > 2, "{} frames were recorded", frames.len());
    assert_eq!(
        metric_sum(options_b.admin_address, REJECTED_METRIC).await,
        Some(0.0),
        "no frame is rejected at first"
    );

    // The first frame is a handshake, which is answered and not counted as rejected.
    let replayed = (frames.len() - 1) as f64;
    replay(&outbound, &frames, options_b.peer_address).await;
    let are_counted =
        async || metric_sum(options_b.admin_address, REJECTED_METRIC).await >= Some(replayed);
    assert!(
        eventually(TIMEOUT, are_counted).await,
        "{replayed}: {:?}",
        metric_sum(options_b.admin_address, REJECTED_METRIC).await
    );

    host_b.kill();
    let _host_b = HostProcess::start(dir.path(), options_b.clone()).expect("the host restarts");
    assert!(eventually(TIMEOUT, serves_metrics).await, "the host serves metrics again");
    let before = metric_sum(options_b.admin_address, REJECTED_METRIC).await.unwrap_or_default();
    replay(&outbound, &frames, options_b.peer_address).await;
    let are_counted = async || {
        metric_sum(options_b.admin_address, REJECTED_METRIC).await >= Some(before + replayed)
    };
    assert!(
        eventually(TIMEOUT, are_counted).await,
        "{:?}",
        metric_sum(options_b.admin_address, REJECTED_METRIC).await
    );
}

/// Guards against a log line for each datagram, which lets any sender fill the disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_of_unauthenticated_datagrams_is_counted_with_few_log_lines() {
    const DATAGRAMS: usize = 500;
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let platform = Store::start().await;
    let options = HostOptions::new("a", "one", &platform.url());
    let process = HostProcess::start(dir.path(), options.clone()).expect("the host starts");
    let serves_metrics =
        async || metric_sum(options.admin_address, REJECTED_METRIC).await.is_some();
    assert!(eventually(TIMEOUT, serves_metrics).await, "the host serves metrics");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port is bound");
    for frame in 0..DATAGRAMS {
        replay(&socket, &[vec![2; 60 + frame % 40]], options.peer_address).await;
        if frame % 50 == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    // The operating system may drop some datagrams of a burst.
    let are_counted = async || {
        metric_sum(options.admin_address, REJECTED_METRIC).await >= Some(DATAGRAMS as f64 / 2.0)
    };
    assert!(
        eventually(TIMEOUT, are_counted).await,
        "{:?}",
        metric_sum(options.admin_address, REJECTED_METRIC).await
    );
    let log = std::fs::read_to_string(&process.log_path).expect("the host writes a log");
    let lines = log.lines().filter(|l| l.contains("event=50")).count();
    assert!((1..20).contains(&lines), "{lines} lines for {DATAGRAMS} datagrams:\n{log}");
}

struct SecretCase {
    name: &'static str,
    /// Secret of each host, and the old secret that it also accepts.
    hosts: [(&'static str, Option<&'static str>); 2],
    is_connected: bool,
}

const FIRST_SECRET: &str = "the first secret of a fleet";
const SECOND_SECRET: &str = "the second secret of a fleet";

const SECRET_CASES: &[SecretCase] = &[
    SecretCase {
        name: "the first step",
        hosts: [(FIRST_SECRET, None), (FIRST_SECRET, Some(SECOND_SECRET))],
        is_connected: true,
    },
    SecretCase {
        name: "the second step",
        hosts: [(FIRST_SECRET, Some(SECOND_SECRET)), (SECOND_SECRET, Some(FIRST_SECRET))],
        is_connected: true,
    },
    SecretCase {
        name: "the third step",
        hosts: [(SECOND_SECRET, Some(FIRST_SECRET)), (SECOND_SECRET, None)],
        is_connected: true,
    },
    SecretCase {
        name: "different secrets",
        hosts: [(FIRST_SECRET, None), (SECOND_SECRET, None)],
        is_connected: false,
    },
];

/// Guards against a rotation of the secret in which hosts at different steps reject each other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_stay_connected_throughout_a_rotation_of_the_secret() {
    /// Time for which hosts with different secrets must not connect.
    const DISCONNECTED_TIME: Duration = Duration::from_secs(2);
    let platform = Store::start().await;
    let http = reqwest::Client::new();
    for case in SECRET_CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let mut host_options =
            [("a", "one"), ("b", "two")].map(|(n, d)| HostOptions::new(n, d, &platform.url()));
        let seeds: Vec<_> = host_options.iter().map(|h| h.peer_address).collect();
        for (host, (secret, old)) in host_options.iter_mut().zip(case.hosts) {
            host.seeds.clone_from(&seeds);
            host.secret = secret.to_owned();
            host.extra_settings =
                old.map_or(String::new(), |old| format!("[fleet]\nold_secret = {old}\n"));
        }
        let admin_addresses = host_options.clone().map(|h| h.admin_address);
        let start = |h| HostProcess::start(dir.path(), h).expect("the host starts");
        let _hosts = host_options.map(start);
        let count_hosts = async |address| {
            let status = fetch_status(&http, address).await.unwrap_or_default();
            status["hosts"].as_array().map_or(0, Vec::len)
        };
        let are_connected = async || {
            count_hosts(admin_addresses[0]).await == 2 && count_hosts(admin_addresses[1]).await == 2
        };
        let timeout = if case.is_connected { TIMEOUT } else { DISCONNECTED_TIME };
        assert_eq!(eventually(timeout, are_connected).await, case.is_connected, "{}", case.name);
    }
}
