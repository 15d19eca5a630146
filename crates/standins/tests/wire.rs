//! Frames between real hosts, recorded and sent again: none counts, all are counted.

use std::{net::SocketAddr, time::Duration};

use jasminestage_platform_standin::store::Store;
use jasminestage_standins::{
    fleet::fetch_status,
    metrics::metric_sum,
    process::{HostOptions, HostProcess, eventually},
};
use tokio::net::UdpSocket;

const LIMIT: Duration = Duration::from_secs(10);
/// Shorter than the life of a nonce.
const RECORDING: Duration = Duration::from_secs(2);
const REJECTED: &str = "jasminestage_peer_rejected_total";

/// Passes datagrams between two hosts for a while; returns those towards `to`.
async fn record(near: &UdpSocket, far: &UdpSocket, to: SocketAddr) -> Vec<Vec<u8>> {
    let (mut frames, mut from) = (Vec::new(), None);
    let (mut here, mut there) = (vec![0; 65_536], vec![0; 65_536]);
    let end = tokio::time::Instant::now() + RECORDING;
    loop {
        tokio::select! {
            Ok((len, address)) = near.recv_from(&mut here) => {
                from = Some(address);
                frames.push(here[..len].to_vec());
                let _ = far.send_to(&here[..len], to).await;
            }
            Ok((len, _)) = far.recv_from(&mut there) => {
                if let Some(from) = from {
                    let _ = near.send_to(&there[..len], from).await;
                }
            }
            () = tokio::time::sleep_until(end) => return frames,
        }
    }
}

async fn replay(socket: &UdpSocket, frames: &[Vec<u8>], to: SocketAddr) {
    for frame in frames {
        socket.send_to(frame, to).await.expect("loopback takes a datagram");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn recorded_frames_do_not_count_again_nor_after_a_restart() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let platform = Store::start().await;
    let near = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let far = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let b = HostOptions::new("b", "two", &platform.url());
    let mut a = HostOptions::new("a", "one", &platform.url());
    a.seeds = vec![near.local_addr().expect("it is bound")];
    let mut host_b = HostProcess::start(dir.path(), b.clone()).expect("it starts");
    let _host_a = HostProcess::start(dir.path(), a).expect("it starts");
    let ready = async || metric_sum(b.admin_address, REJECTED).await.is_some();
    assert!(eventually(LIMIT, ready).await, "the host serves metrics");

    let frames = record(&near, &far, b.peer_address).await;
    assert!(frames.len() > 2, "{} frames were recorded", frames.len());
    assert_eq!(metric_sum(b.admin_address, REJECTED).await, Some(0.0), "the first time all count");

    // The first frame is a greeting, which is answered and not counted as rejected.
    let replayed = (frames.len() - 1) as f64;
    replay(&far, &frames, b.peer_address).await;
    let counted = async || metric_sum(b.admin_address, REJECTED).await >= Some(replayed);
    assert!(
        eventually(LIMIT, counted).await,
        "{replayed}: {:?}",
        metric_sum(b.admin_address, REJECTED).await
    );

    host_b.kill();
    let _host_b = HostProcess::start(dir.path(), b.clone()).expect("it starts again");
    assert!(eventually(LIMIT, ready).await, "the host serves metrics again");
    let before = metric_sum(b.admin_address, REJECTED).await.unwrap_or_default();
    replay(&far, &frames, b.peer_address).await;
    let counted = async || metric_sum(b.admin_address, REJECTED).await >= Some(before + replayed);
    assert!(eventually(LIMIT, counted).await, "{:?}", metric_sum(b.admin_address, REJECTED).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_of_foreign_datagrams_is_counted_and_fills_no_log() {
    const FLOOD: usize = 500;
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let platform = Store::start().await;
    let host = HostOptions::new("a", "one", &platform.url());
    let process = HostProcess::start(dir.path(), host.clone()).expect("it starts");
    let ready = async || metric_sum(host.admin_address, REJECTED).await.is_some();
    assert!(eventually(LIMIT, ready).await, "the host serves metrics");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for frame in 0..FLOOD {
        replay(&socket, &[vec![2; 60 + frame % 40]], host.peer_address).await;
        if frame % 50 == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    // The system may drop some of a burst.
    let counted =
        async || metric_sum(host.admin_address, REJECTED).await >= Some(FLOOD as f64 / 2.0);
    assert!(
        eventually(LIMIT, counted).await,
        "{:?}",
        metric_sum(host.admin_address, REJECTED).await
    );
    let log = std::fs::read_to_string(&process.log_path).expect("the host writes a log");
    let lines = log.lines().filter(|l| l.contains("event=50")).count();
    assert!((1..20).contains(&lines), "{lines} lines for {FLOOD} datagrams:\n{log}");
}

struct SecretCase {
    name: &'static str,
    /// The secret of each host and the one that it accepts besides.
    hosts: [(&'static str, Option<&'static str>); 2],
    hear_each_other: bool,
}

const FIRST: &str = "the first secret of a fleet";
const SECOND: &str = "the second secret of a fleet";

const SECRET_CASES: &[SecretCase] = &[
    SecretCase {
        name: "the first step",
        hosts: [(FIRST, None), (FIRST, Some(SECOND))],
        hear_each_other: true,
    },
    SecretCase {
        name: "the second step",
        hosts: [(FIRST, Some(SECOND)), (SECOND, Some(FIRST))],
        hear_each_other: true,
    },
    SecretCase {
        name: "the third step",
        hosts: [(SECOND, Some(FIRST)), (SECOND, None)],
        hear_each_other: true,
    },
    SecretCase {
        name: "other secrets",
        hosts: [(FIRST, None), (SECOND, None)],
        hear_each_other: false,
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_hear_each_other_throughout_a_change_of_the_secret() {
    const SILENCE: Duration = Duration::from_secs(2);
    let platform = Store::start().await;
    let http = reqwest::Client::new();
    for case in SECRET_CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let mut all =
            [("a", "one"), ("b", "two")].map(|(n, d)| HostOptions::new(n, d, &platform.url()));
        let seeds: Vec<_> = all.iter().map(|h| h.peer_address).collect();
        for (host, (secret, old)) in all.iter_mut().zip(case.hosts) {
            host.seeds.clone_from(&seeds);
            host.secret = secret.to_owned();
            host.extra_settings =
                old.map_or(String::new(), |old| format!("[fleet]\nold_secret = {old}\n"));
        }
        let admin = all.clone().map(|h| h.admin_address);
        let start = |h| HostProcess::start(dir.path(), h).expect("it starts");
        let _hosts = all.map(start);
        let count = async |address| {
            let found = fetch_status(&http, address).await.unwrap_or_default();
            found["hosts"].as_array().map_or(0, Vec::len)
        };
        let hear = async || count(admin[0]).await == 2 && count(admin[1]).await == 2;
        let limit = if case.hear_each_other { LIMIT } else { SILENCE };
        assert_eq!(eventually(limit, hear).await, case.hear_each_other, "{}", case.name);
    }
}
