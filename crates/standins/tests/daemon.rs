//! The daemon as a process: checks, health, readiness and the graceful stop.

use std::{
    process::{Command, Output},
    time::Duration,
};

use jasminestage_platform_standin::store::Store;
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::{HostOptions, HostProcess, binary_path, eventually},
};

const LIMIT: Duration = Duration::from_secs(20);

fn daemon(args: &[&str]) -> Output {
    Command::new(binary_path("jasminestaged")).args(args).output().expect("the daemon runs")
}

async fn code(url: &str) -> u16 {
    let req = reqwest::Client::new().get(url).timeout(Duration::from_secs(5));
    req.send().await.map_or(0, |a| a.status().as_u16())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_are_checked_without_serving() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = HostOptions::new("z1", "zurich-1", "http://127.0.0.1:1");
    // A process that is started and ended only to have its settings written.
    drop(HostProcess::start(dir.path(), options).expect("it starts"));
    let path = dir.path().join("z1.ini").display().to_string();
    let out = daemon(&["--config", &path, "--check"]);
    assert!(out.status.success());
    assert!(String::from_utf8_lossy(&out.stdout).contains("are valid"));

    std::fs::write(&path, "[host]\nname = z 1\n").expect("the file can be written");
    let out = daemon(&["--config", &path, "--check"]);
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1));
    assert!(stderr.contains("z1.ini:2: [host] name = 'z 1'"), "{stderr}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_address_in_use_is_named() {
    struct Case {
        name: &'static str,
        take: fn(&mut HostOptions, std::net::SocketAddr),
    }
    let cases = [
        Case { name: "caller", take: |o, a| o.caller_address = a },
        Case { name: "admin", take: |o, a| o.admin_address = a },
        Case { name: "peer", take: |o, a| o.peer_address = a },
    ];
    let platform = Store::start().await;
    for case in cases {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = taken.local_addr().expect("it is bound");
        let mut options = HostOptions::new("z1", "zurich-1", &platform.url());
        (case.take)(&mut options, address);
        let mut host = HostProcess::start(dir.path(), options).expect("it starts");
        assert!(
            eventually(LIMIT, async || host.exit_status().is_some()).await,
            "{} ends",
            case.name
        );
        let status = host.exit_status().expect(case.name);
        let log = std::fs::read_to_string(&host.log_path).expect("a log");
        assert_eq!(status.code(), Some(1), "{}: {log}", case.name);
        assert!(log.contains(&format!("The address {address} cannot be bound")), "{log}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_lets_answers_finish_and_readiness_tells() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = FleetOptions {
        declaration: include_str!("../../../samples/lagerwerk.ini").to_owned(),
        hosts: vec![("z1".to_owned(), "zurich-1".to_owned())],
        service_time: Duration::from_millis(200),
        ..FleetOptions::default()
    };
    let mut fleet =
        Fleet::start_without_declaration(dir.path(), options).await.expect("the fleet starts");
    let admin = fleet.hosts[0].options.admin_address;
    let (health, ready) = (format!("http://{admin}/healthz"), format!("http://{admin}/readyz"));
    assert!(eventually(LIMIT, async || code(&health).await == 200).await, "it is healthy");
    assert_eq!(code(&ready).await, 503, "without a configuration it is not ready");
    let declaration = fleet.declaration.clone();
    fleet.apply(&declaration).expect("the declaration is applied");
    assert!(eventually(LIMIT, async || code(&ready).await == 200).await, "it is ready");

    let request = format!("http://{}/v1/routes/status/x", fleet.hosts[0].options.caller_address);
    let running = tokio::spawn(async move { code(&request).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.hosts[0].signal("TERM").expect("the signal is sent");
    assert!(eventually(LIMIT, async || code(&ready).await != 200).await, "it is not ready");
    assert_eq!(running.await.expect("the request ends"), 200, "no answer is cut");
    let host = &mut fleet.hosts[0];
    assert!(eventually(LIMIT, async || host.exit_status().is_some()).await, "it ends in time");
    assert!(host.exit_status().expect("it has ended").success());
    let log = std::fs::read_to_string(&host.log_path).expect("a log");
    for event in ["event=1 ", "event=2 ", "event=3 "] {
        assert!(log.contains(event), "{event}: {log}");
    }
}
