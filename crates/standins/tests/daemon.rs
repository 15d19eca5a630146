//! The daemon as a process: validation of settings, health, readiness and graceful shutdown.

use std::{
    process::{Command, Output},
    time::Duration,
};

use jasminestage_platform_standin::store::Store;
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::{HostOptions, HostProcess, binary_path, eventually},
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn daemon(args: &[&str]) -> Output {
    Command::new(binary_path("jasminestaged")).args(args).output().expect("the daemon is started")
}

/// Returns the HTTP status of a GET request, or 0 without a response.
async fn status_code(url: &str) -> u16 {
    let req = reqwest::Client::new().get(url).timeout(Duration::from_secs(5));
    req.send().await.map_or(0, |a| a.status().as_u16())
}

/// Guards against invalid settings that are only detected when the host is started.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn check_validates_settings_without_starting() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = HostOptions::new("z1", "zurich-1", "http://127.0.0.1:1");
    // Starting the process writes its settings file; the process itself isn't needed.
    drop(HostProcess::start(dir.path(), options).expect("the host starts"));
    let path = dir.path().join("z1.ini").display().to_string();
    let out = daemon(&["--config", &path, "--check"]);
    assert!(out.status.success());
    assert!(String::from_utf8_lossy(&out.stdout).contains("are valid"));

    std::fs::write(&path, "[host]\nname = z 1\n").expect("the settings file is written");
    let out = daemon(&["--config", &path, "--check"]);
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1));
    assert!(stderr.contains("z1.ini:2: [host] name = 'z 1'"), "{stderr}");
}

/// Guards against a bind error that leaves out the address: an operator could not see which setting
/// collides with another program.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_error_for_a_used_address_names_it() {
    struct Case {
        name: &'static str,
        set_address: fn(&mut HostOptions, std::net::SocketAddr),
    }
    let cases = [
        Case { name: "caller", set_address: |o, a| o.caller_address = a },
        Case { name: "admin", set_address: |o, a| o.admin_address = a },
        Case { name: "peer", set_address: |o, a| o.peer_address = a },
    ];
    let platform = Store::start().await;
    for case in cases {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
        let address = listener.local_addr().expect("the listener is bound");
        let mut options = HostOptions::new("z1", "zurich-1", &platform.url());
        (case.set_address)(&mut options, address);
        let mut host = HostProcess::start(dir.path(), options).expect("the host starts");
        assert!(
            eventually(TIMEOUT, async || host.exit_status().is_some()).await,
            "{}: the host exits",
            case.name
        );
        let status = host.exit_status().expect(case.name);
        let log = std::fs::read_to_string(&host.log_path).expect("the host writes a log");
        assert_eq!(status.code(), Some(1), "{}: {log}", case.name);
        assert!(log.contains(&format!("The address {address} cannot be bound")), "{log}");
    }
}

/// Guards against a shutdown that drops requests in flight, or reports readiness while it stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_completes_requests_and_ends_readiness() {
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
    assert!(
        eventually(TIMEOUT, async || status_code(&health).await == 200).await,
        "the host is healthy"
    );
    assert_eq!(status_code(&ready).await, 503, "a host without a configuration is not ready");
    let declaration = fleet.declaration.clone();
    fleet.apply(&declaration).expect("the declaration is applied");
    assert!(
        eventually(TIMEOUT, async || status_code(&ready).await == 200).await,
        "the host is ready"
    );

    let url = format!("http://{}/v1/routes/status/x", fleet.hosts[0].options.caller_address);
    let request = tokio::spawn(async move { status_code(&url).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.hosts[0].signal("TERM").expect("the signal is sent");
    assert!(
        eventually(TIMEOUT, async || status_code(&ready).await != 200).await,
        "a stopping host is not ready"
    );
    assert_eq!(
        request.await.expect("the request task completes"),
        200,
        "the request in flight completes"
    );
    let host = &mut fleet.hosts[0];
    assert!(
        eventually(TIMEOUT, async || host.exit_status().is_some()).await,
        "the host exits in time"
    );
    assert!(host.exit_status().expect("the host has exited").success());
    let log = std::fs::read_to_string(&host.log_path).expect("the host writes a log");
    for event in ["event=1 ", "event=2 ", "event=3 "] {
        assert!(log.contains(event), "{event}: {log}");
    }
}
