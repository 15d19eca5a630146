//! Key withdrawal, authority and acceptance of declarations on host processes, with failures of the
//! store, of hosts and of the network.

use std::time::{Duration, Instant};

use jasminestage_platform_standin::store::Fault;
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::{HostProcess, eventually},
};
use sha2::{Digest, Sha256};

const DOMAINS: &[&str] = &["a", "b", "c"];
const WITHDRAWN_KEY: &str = "a key that is withdrawn";
const REMAINING_KEY: &str = "a key that remains";
const SECOND: Duration = Duration::from_secs(1);

/// Exit code of `apply` if the declaration has changed in the meantime.
const EXIT_CONFLICT: i32 = 4;

/// Three failure domains with two seats each, a keyed and an open route, and one workspace.
fn declaration(keys: &[&str]) -> String {
    let mut text = "[region r]\n".to_owned();
    for domain in DOMAINS {
        text.push_str(&format!("[domain {domain}]\nregion = r\nseats = 2\n"));
    }
    text.push_str("[route keyed]\naccess = keyed\nrepeat = idempotent\nauthority = 3 s\n");
    text.push_str("[route open]\naccess = open\nrepeat = idempotent\n");
    let digests: Vec<_> =
        keys.iter().map(|k| format!("sha256:{}", hex(&Sha256::digest(k.as_bytes())))).collect();
    let digests = digests.join(", ");
    text.push_str(&format!("[workspace w]\nkeys = {digests}\nrate = 6000\nburst = 6000\n"));
    for (n, domain) in DOMAINS.iter().enumerate() {
        for (m, route) in ["keyed", "open"].iter().enumerate() {
            let port = 10 + 2 * n + m;
            text.push_str(&format!(
                "[server s{port}]\nroute = {route}\nversion = v1\ndomain = {domain}\n\
                 address = 127.0.0.1:{port}\nslots = 50\n"
            ));
        }
    }
    text
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

async fn start_fleet(dir: &tempfile::TempDir, use_forwarders: bool) -> Fleet {
    let hosts = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];
    let options = FleetOptions {
        declaration: declaration(&[WITHDRAWN_KEY, REMAINING_KEY]),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        use_forwarders,
        ..FleetOptions::default()
    };
    Fleet::start(dir.path(), options).await.expect("the fleet starts")
}

/// The last applied declaration, with other keys.
fn with_keys(fleet: &Fleet, keys: &[&str]) -> String {
    let (old, new) = (declaration(&[WITHDRAWN_KEY, REMAINING_KEY]), declaration(keys));
    let line = |text: &str| {
        text.lines()
            .find(|l| l.starts_with("keys = "))
            .expect("the declaration has a line with keys")
            .to_owned()
    };
    fleet.declaration.replace(&line(&old), &line(&new))
}

/// Runs `apply` with more arguments; returns the exit code, standard output and standard error.
fn apply(fleet: &Fleet, file_name: &str, text: &str, args: &[&str]) -> (i32, String, String) {
    let path = fleet.dir.join(file_name);
    std::fs::write(&path, text).expect("the declaration is written");
    let path = path.display().to_string();
    let args: Vec<&str> = ["apply", &path].iter().chain(args).copied().collect();
    let out = tokio::task::block_in_place(|| fleet.run_tool(&args)).expect("the tool is started");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code().unwrap_or(-1), text(&out.stdout), text(&out.stderr))
}

/// Sends a request on a keep-alive connection and returns its result code or the connection error.
async fn request(http: &reqwest::Client, host: &HostProcess, route: &str, key: &str) -> String {
    let url = format!("http://{}/v1/routes/{route}/x", host.options.caller_address);
    let result = http.post(url).bearer_auth(key).timeout(10 * SECOND).body("x").send().await;
    match result {
        Ok(response) => {
            let code = response.headers().get("jasminestage-code").cloned();
            let _ = response.bytes().await;
            code.and_then(|c| c.to_str().ok().map(str::to_owned)).unwrap_or_default()
        }
        Err(e) => e.to_string(),
    }
}

/// Sends a request to each host and returns the result codes in order.
async fn codes(
    http: &reqwest::Client,
    hosts: &[HostProcess],
    route: &str,
    key: &str,
) -> Vec<String> {
    let mut codes = Vec::new();
    for host in hosts {
        codes.push(request(http, host, route, key).await);
    }
    codes
}

/// Guards against a key that still works after its withdrawal was reported as accepted, for example
/// on a connection that was authorized earlier.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_withdrawn_key_is_refused_on_open_connections_after_acceptance() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(&dir, false).await;
    let http = reqwest::Client::new();
    assert_eq!(codes(&http, &fleet.hosts, "keyed", WITHDRAWN_KEY).await, ["0"; 6]);
    let (code, out, err) =
        apply(&fleet, "w.ini", &with_keys(&fleet, &[REMAINING_KEY]), &["--wait"]);
    assert_eq!(code, 0, "{err}");
    assert!(out.contains("is written") && out.contains("is accepted"), "{out}");
    assert_eq!(codes(&http, &fleet.hosts, "keyed", WITHDRAWN_KEY).await, ["105"; 6]);
    assert_eq!(codes(&http, &fleet.hosts, "keyed", REMAINING_KEY).await, ["0"; 6]);
}

struct StoreFaultCase {
    name: &'static str,
    inject: fn(&Fleet),
}

const STORE_FAULT_CASES: &[StoreFaultCase] = &[
    StoreFaultCase { name: "down", inject: |fleet| fleet.platform.set_fault(Fault::Unavailable) },
    StoreFaultCase {
        name: "slow",
        inject: |fleet| fleet.platform.set_fault(Fault::Slow(3 * SECOND)),
    },
];

/// Guards against requests that depend on the store being available.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_succeed_while_the_store_is_down_or_slow() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(&dir, false).await;
    let http = reqwest::Client::new();
    for case in STORE_FAULT_CASES {
        (case.inject)(&fleet);
        let end = Instant::now() + 6 * SECOND;
        while Instant::now() < end {
            assert_eq!(
                codes(&http, &fleet.hosts, "keyed", WITHDRAWN_KEY).await,
                ["0"; 6],
                "{}",
                case.name
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Guards against an error or a second revision when the store executes a write but its response is
/// lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_apply_succeeds_when_the_response_to_its_write_is_lost() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(&dir, false).await;
    let text = with_keys(&fleet, &[REMAINING_KEY]);
    for prefix in ["jasminestage/chunk/", "jasminestage/root"] {
        fleet.platform.drop_responses(prefix, 1);
        let (code, out, err) = apply(&fleet, "w.ini", &text, &[]);
        assert_eq!(code, 0, "{prefix}: {err}");
        assert!(out.contains("is written"), "{prefix}: {out}");
    }
    assert_eq!(fleet.platform.responses_to_drop(), 0, "no response to a write was lost");
    let http = reqwest::Client::new();
    let is_refused = eventually(3 * SECOND, async || {
        codes(&http, &fleet.hosts, "keyed", WITHDRAWN_KEY).await == ["105"; 6]
    });
    assert!(is_refused.await, "the change is in force");
}

/// Guards against an operator's change that overwrites another change made at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_concurrent_applies_succeeds() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(&dir, false).await;
    let output = tokio::task::block_in_place(|| fleet.run_tool(&["--output", "json", "get"]));
    let current: serde_json::Value =
        serde_json::from_slice(&output.expect("the tool is started").stdout)
            .expect("the output is JSON");
    let base_revision = current["revision"].to_string();
    let texts = [with_keys(&fleet, &[REMAINING_KEY]), with_keys(&fleet, &[WITHDRAWN_KEY])];
    fleet.platform.set_fault(Fault::Slow(Duration::from_millis(50)));
    let results = std::thread::scope(|scope| {
        let threads: Vec<_> = texts
            .iter()
            .enumerate()
            .map(|(n, text)| {
                let (fleet, base_revision, name) = (&fleet, &base_revision, format!("{n}.ini"));
                scope.spawn(move || {
                    let path = fleet.dir.join(name);
                    std::fs::write(&path, text).expect("the declaration is written");
                    let path = path.display().to_string();
                    let out = fleet.run_tool(&["apply", &path, "--revision", base_revision]);
                    let out = out.expect("the tool is started");
                    (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
                })
            })
            .collect();
        tokio::task::block_in_place(|| {
            threads.into_iter().map(|t| t.join().expect("the thread completes")).collect::<Vec<_>>()
        })
    });
    let succeeded = results.iter().filter(|(code, _)| *code == Some(0)).count();
    let conflicts: Vec<_> = results.iter().filter(|(code, _)| *code == Some(4)).collect();
    assert_eq!((succeeded, conflicts.len()), (1, 1), "{results:?}");
    let next_revision = base_revision.parse::<u64>().expect("the revision is a number") + 1;
    assert!(conflicts[0].1.contains(&format!("revision {next_revision}")), "{}", conflicts[0].1);
}

/// Guards against hosts that need the store to start, and against a restarted host that serves
/// keyed routes without authority.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hosts_restart_from_a_peer_while_the_store_is_down() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let mut fleet = start_fleet(&dir, false).await;
    let http = reqwest::Client::new();
    fleet.platform.set_fault(Fault::Unavailable);
    for host in &mut fleet.hosts[1..] {
        host.kill();
        *host = HostProcess::start(dir.path(), host.options.clone()).expect("the host starts");
    }
    let is_open =
        eventually(5 * SECOND, async || codes(&http, &fleet.hosts, "open", "").await == ["0"; 6]);
    assert!(
        is_open.await,
        "open routes are served with the revision of the host that kept running"
    );
    let keyed = codes(&http, &fleet.hosts[1..], "keyed", WITHDRAWN_KEY).await;
    assert_eq!(keyed, ["110"; 5], "a restarted host has authority");
    fleet.platform.set_fault(Fault::None);
    let is_recovered = eventually(15 * SECOND, async || {
        codes(&http, &fleet.hosts, "keyed", WITHDRAWN_KEY).await == ["0"; 6]
    });
    assert!(is_recovered.await, "keyed routes are served again");
}

/// Guards against a partitioned failure domain that still accepts a key after its withdrawal was
/// reported as accepted: its authority must end first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_partitioned_domain_ends_keyed_routes_before_a_withdrawal_is_accepted() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(&dir, true).await;
    let http = reqwest::Client::new();
    let partitioned = &fleet.hosts[2..4];
    assert_eq!(codes(&http, &fleet.hosts, "keyed", WITHDRAWN_KEY).await, ["0"; 6]);
    fleet.set_partitioned("b", true);
    let partition_start = Instant::now();
    let text = with_keys(&fleet, &[REMAINING_KEY]);
    let (code, _, err) = apply(&fleet, "w.ini", &text, &["--wait"]);
    let accepted_after = partition_start.elapsed();
    assert_eq!(code, 0, "{err}");
    assert!(err.contains("Outstanding: b"), "{err}");
    assert!(accepted_after > 3 * SECOND, "accepted before the authority ended: {accepted_after:?}");
    assert_eq!(codes(&http, partitioned, "keyed", WITHDRAWN_KEY).await, ["110"; 2]);
    assert_eq!(codes(&http, partitioned, "keyed", REMAINING_KEY).await, ["110"; 2]);
    assert_eq!(codes(&http, partitioned, "open", "").await, ["0"; 2], "open routes are served");
    for host in fleet.hosts[..2].iter().chain(&fleet.hosts[4..]) {
        assert_eq!(request(&http, host, "keyed", WITHDRAWN_KEY).await, "105");
        assert_eq!(request(&http, host, "keyed", REMAINING_KEY).await, "0");
    }
    fleet.set_partitioned("b", false);
    let is_recovered = eventually(10 * SECOND, async || {
        codes(&http, partitioned, "keyed", REMAINING_KEY).await == ["0"; 2]
    });
    assert!(is_recovered.await, "the domain serves keyed routes again after the partition");
    assert_eq!(codes(&http, partitioned, "keyed", WITHDRAWN_KEY).await, ["105"; 2]);
}

/// Guards against a host that is resumed after its authority has ended and handles a waiting
/// request with the revision from before the pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_paused_past_its_authority_does_not_serve_an_old_revision() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(&dir, false).await;
    let http = reqwest::Client::new();
    assert_eq!(request(&http, &fleet.hosts[0], "keyed", WITHDRAWN_KEY).await, "0");
    fleet.hosts[0].signal("STOP").expect("the host is paused");
    let text = with_keys(&fleet, &[REMAINING_KEY]);
    let (code, _, err) = apply(&fleet, "w.ini", &text, &["--wait"]);
    assert_eq!(code, 0, "{err}");
    let request_task = {
        let (http, url) = (
            http.clone(),
            format!("http://{}/v1/routes/keyed/x", fleet.hosts[0].options.caller_address),
        );
        tokio::spawn(
            async move { http.post(url).bearer_auth(WITHDRAWN_KEY).body("x").send().await },
        )
    };
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.hosts[0].signal("CONT").expect("the host is resumed");
    let response =
        request_task.await.expect("the request task completes").expect("the host responds");
    assert!(
        ["105", "110"].contains(
            &response.headers()["jasminestage-code"].to_str().expect("the header is text")
        )
    );
    let is_recovered = eventually(10 * SECOND, async || {
        request(&http, &fleet.hosts[0], "keyed", REMAINING_KEY).await == "0"
    });
    assert!(is_recovered.await, "the host serves again");
}

struct RestoreCase {
    name: &'static str,
    /// Time from the return of the store to the next change.
    pause: Duration,
}

const RESTORE_CASES: &[RestoreCase] = &[
    RestoreCase { name: "a change right after the restore", pause: Duration::ZERO },
    RestoreCase { name: "a change some seconds later", pause: Duration::from_secs(4) },
];

/// Guards against hosts that ignore all changes after the store has come back from an older copy, since
/// they hold a higher revision, and against a return to the older declaration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_take_effect_after_the_store_came_back_older() {
    for case in RESTORE_CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let fleet = start_fleet(&dir, false).await;
        let http = reqwest::Client::new();
        fleet.platform.take_copy();
        let withdrawn = with_keys(&fleet, &[REMAINING_KEY]);
        let (code, _, err) = apply(&fleet, "w.ini", &withdrawn, &["--wait"]);
        assert_eq!(code, 0, "{}: {err}", case.name);
        fleet.platform.set_fault(Fault::ClosesConnections);
        tokio::time::sleep(SECOND / 2).await;
        fleet.platform.restore_copy();
        fleet.platform.set_fault(Fault::None);
        let back_at = Instant::now();
        while back_at.elapsed() < case.pause {
            let codes = codes(&http, &fleet.hosts, "keyed", WITHDRAWN_KEY).await;
            assert_eq!(codes, ["105"; 6], "{}", case.name);
        }
        let added = with_keys(&fleet, &[REMAINING_KEY, "an added key"]);
        let (mut code, _, mut err) = apply(&fleet, "a.ini", &added, &[]);
        if code == EXIT_CONFLICT {
            // The hosts have written the lost declaration again in the meantime.
            (code, _, err) = apply(&fleet, "a.ini", &added, &[]);
        }
        assert_eq!(code, 0, "{}: {err}", case.name);
        let is_in_force = eventually(4 * SECOND, async || {
            codes(&http, &fleet.hosts, "keyed", "an added key").await == ["0"; 6]
        });
        assert!(is_in_force.await, "{}: the added key is not in force", case.name);
        let codes = codes(&http, &fleet.hosts, "keyed", WITHDRAWN_KEY).await;
        assert_eq!(codes, ["105"; 6], "{}", case.name);
    }
}
