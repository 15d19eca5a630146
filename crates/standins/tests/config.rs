//! Keys, authority and acceptance on real processes, under failures.

use std::time::{Duration, Instant};

use jasminestage_platform_standin::store::Fault;
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::{HostProcess, eventually},
};
use sha2::{Digest, Sha256};

const DOMAINS: &[&str] = &["a", "b", "c"];
const KEY: &str = "a key that is withdrawn";
const OTHER_KEY: &str = "a key that stays";
const SECOND: Duration = Duration::from_secs(1);

/// Three failure domains with two seats each, a keyed and an open route, and two workspaces.
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

async fn start(folder: &tempfile::TempDir, forwarded: bool) -> Fleet {
    let hosts = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];
    let cfg = FleetOptions {
        declaration: declaration(&[KEY, OTHER_KEY]),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        forwarded,
        ..FleetOptions::default()
    };
    Fleet::start(folder.path(), cfg).await.expect("the fleet starts")
}

/// The declaration in force, with other keys.
fn with_keys(fleet: &Fleet, keys: &[&str]) -> String {
    let (old, new) = (declaration(&[KEY, OTHER_KEY]), declaration(keys));
    let line = |text: &str| {
        text.lines().find(|l| l.starts_with("keys = ")).expect("a line with keys").to_owned()
    };
    fleet.declaration.replace(&line(&old), &line(&new))
}

/// Applies with `--wait`; returns the exit code, standard output and standard error.
fn apply(fleet: &Fleet, name: &str, text: &str, args: &[&str]) -> (i32, String, String) {
    let path = fleet.folder.join(name);
    std::fs::write(&path, text).expect("the declaration is written");
    let path = path.display().to_string();
    let args: Vec<&str> = ["apply", &path].iter().chain(args).copied().collect();
    let out = tokio::task::block_in_place(|| fleet.tool(&args)).expect("the tool runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code().unwrap_or(-1), text(&out.stdout), text(&out.stderr))
}

/// Result code of one request to a host, on a connection that is kept.
async fn request(http: &reqwest::Client, host: &HostProcess, route: &str, key: &str) -> String {
    let url = format!("http://{}/v1/routes/{route}/x", host.cfg.caller);
    let sent = http.post(url).bearer_auth(key).timeout(10 * SECOND).body("x").send().await;
    match sent {
        Ok(answer) => {
            let code = answer.headers().get("jasminestage-code").cloned();
            let _ = answer.bytes().await;
            code.and_then(|c| c.to_str().ok().map(str::to_owned)).unwrap_or_default()
        }
        Err(e) => e.to_string(),
    }
}

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

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_withdrawn_key_is_refused_on_kept_connections_once_it_is_accepted() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let fleet = start(&folder, false).await;
    let http = reqwest::Client::new();
    assert_eq!(codes(&http, &fleet.hosts, "keyed", KEY).await, ["0"; 6]);
    let (code, out, err) = apply(&fleet, "w.ini", &with_keys(&fleet, &[OTHER_KEY]), &["--wait"]);
    assert_eq!(code, 0, "{err}");
    assert!(out.contains("is written") && out.contains("is accepted"), "{out}");
    assert_eq!(codes(&http, &fleet.hosts, "keyed", KEY).await, ["105"; 6]);
    assert_eq!(codes(&http, &fleet.hosts, "keyed", OTHER_KEY).await, ["0"; 6]);
}

/// What happens to the store.
struct StoreCase {
    name: &'static str,
    happens: fn(&Fleet),
}

const STORE_CASES: &[StoreCase] = &[
    StoreCase { name: "down", happens: |fleet| fleet.platform.set_fault(Fault::Unavailable) },
    StoreCase { name: "slow", happens: |fleet| fleet.platform.set_fault(Fault::Slow(3 * SECOND)) },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_that_is_down_or_slow_stops_nothing() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let fleet = start(&folder, false).await;
    let http = reqwest::Client::new();
    for case in STORE_CASES {
        (case.happens)(&fleet);
        let end = Instant::now() + 6 * SECOND;
        while Instant::now() < end {
            assert_eq!(codes(&http, &fleet.hosts, "keyed", KEY).await, ["0"; 6], "{}", case.name);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_write_whose_answer_is_lost_is_found_again() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let fleet = start(&folder, false).await;
    let text = with_keys(&fleet, &[OTHER_KEY]);
    for prefix in ["jasminestage/chunk/", "jasminestage/root"] {
        fleet.platform.drop_responses(prefix, 1);
        let (code, out, err) = apply(&fleet, "w.ini", &text, &[]);
        assert_eq!(code, 0, "{prefix}: {err}");
        assert!(out.contains("is written"), "{prefix}: {out}");
    }
    assert_eq!(fleet.platform.responses_to_drop(), 0, "the answer of a write was lost");
    let http = reqwest::Client::new();
    let refused = eventually(3 * SECOND, async || {
        codes(&http, &fleet.hosts, "keyed", KEY).await == ["105"; 6]
    });
    assert!(refused.await, "the change is in force");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_two_operators_that_race_one_wins() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let fleet = start(&folder, false).await;
    let get = tokio::task::block_in_place(|| fleet.tool(&["--output", "json", "get"]));
    let get: serde_json::Value =
        serde_json::from_slice(&get.expect("the tool runs").stdout).expect("JSON");
    let based = get["revision"].to_string();
    let texts = [with_keys(&fleet, &[OTHER_KEY]), with_keys(&fleet, &[KEY])];
    fleet.platform.set_fault(Fault::Slow(Duration::from_millis(50)));
    let race = std::thread::scope(|scope| {
        let runs: Vec<_> = texts
            .iter()
            .enumerate()
            .map(|(n, text)| {
                let (fleet, based, name) = (&fleet, &based, format!("{n}.ini"));
                scope.spawn(move || {
                    let path = fleet.folder.join(name);
                    std::fs::write(&path, text).expect("the declaration is written");
                    let path = path.display().to_string();
                    let out = fleet.tool(&["apply", &path, "--revision", based]);
                    let out = out.expect("the tool runs");
                    (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
                })
            })
            .collect();
        tokio::task::block_in_place(|| {
            runs.into_iter().map(|r| r.join().expect("the tool ran")).collect::<Vec<_>>()
        })
    });
    let won = race.iter().filter(|(code, _)| *code == Some(0)).count();
    let lost: Vec<_> = race.iter().filter(|(code, _)| *code == Some(4)).collect();
    assert_eq!((won, lost.len()), (1, 1), "{race:?}");
    let next = based.parse::<u64>().expect("a number") + 1;
    assert!(lost[0].1.contains(&format!("revision {next}")), "{}", lost[0].1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_but_one_host_start_again_while_the_store_is_down() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let mut fleet = start(&folder, false).await;
    let http = reqwest::Client::new();
    fleet.platform.set_fault(Fault::Unavailable);
    for host in &mut fleet.hosts[1..] {
        host.kill();
        *host = HostProcess::start(folder.path(), host.cfg.clone()).expect("the host starts");
    }
    let opened =
        eventually(5 * SECOND, async || codes(&http, &fleet.hosts, "open", "").await == ["0"; 6]);
    assert!(opened.await, "open routes are served by the revision that one host kept");
    let keyed = codes(&http, &fleet.hosts[1..], "keyed", KEY).await;
    assert_eq!(keyed, ["110"; 5], "no fresh host has authority");
    fleet.platform.set_fault(Fault::None);
    let back = eventually(15 * SECOND, async || {
        codes(&http, &fleet.hosts, "keyed", KEY).await == ["0"; 6]
    });
    assert!(back.await, "keyed routes are served again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_that_is_cut_off_ends_keyed_routes_before_a_withdrawal_is_accepted() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let fleet = start(&folder, true).await;
    let http = reqwest::Client::new();
    let cut = &fleet.hosts[2..4];
    assert_eq!(codes(&http, &fleet.hosts, "keyed", KEY).await, ["0"; 6]);
    fleet.cut("b", true);
    let cut_at = Instant::now();
    let text = with_keys(&fleet, &[OTHER_KEY]);
    let (code, _, err) = apply(&fleet, "w.ini", &text, &["--wait"]);
    let accepted = cut_at.elapsed();
    assert_eq!(code, 0, "{err}");
    assert!(err.contains("Outstanding: b"), "{err}");
    assert!(accepted > 3 * SECOND, "not accepted before the end: {accepted:?}");
    assert_eq!(codes(&http, cut, "keyed", KEY).await, ["110"; 2]);
    assert_eq!(codes(&http, cut, "keyed", OTHER_KEY).await, ["110"; 2]);
    assert_eq!(codes(&http, cut, "open", "").await, ["0"; 2], "open routes go on");
    for host in fleet.hosts[..2].iter().chain(&fleet.hosts[4..]) {
        assert_eq!(request(&http, host, "keyed", KEY).await, "105");
        assert_eq!(request(&http, host, "keyed", OTHER_KEY).await, "0");
    }
    fleet.cut("b", false);
    let back =
        eventually(10 * SECOND, async || codes(&http, cut, "keyed", OTHER_KEY).await == ["0"; 2]);
    assert!(back.await, "the domain serves again once it is joined");
    assert_eq!(codes(&http, cut, "keyed", KEY).await, ["105"; 2]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_that_was_paused_past_its_end_serves_nothing_by_an_old_revision() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let fleet = start(&folder, false).await;
    let http = reqwest::Client::new();
    assert_eq!(request(&http, &fleet.hosts[0], "keyed", KEY).await, "0");
    fleet.hosts[0].signal("STOP").expect("the host is paused");
    let text = with_keys(&fleet, &[OTHER_KEY]);
    let (code, _, err) = apply(&fleet, "w.ini", &text, &["--wait"]);
    assert_eq!(code, 0, "{err}");
    let waiting = {
        let (http, url) =
            (http.clone(), format!("http://{}/v1/routes/keyed/x", fleet.hosts[0].cfg.caller));
        tokio::spawn(async move { http.post(url).bearer_auth(KEY).body("x").send().await })
    };
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.hosts[0].signal("CONT").expect("the host goes on");
    let answer = waiting.await.expect("the request ran").expect("the host answers");
    assert!(
        ["105", "110"].contains(&answer.headers()["jasminestage-code"].to_str().expect("text"))
    );
    let back = eventually(10 * SECOND, async || {
        request(&http, &fleet.hosts[0], "keyed", OTHER_KEY).await == "0"
    });
    assert!(back.await, "the host serves again");
}
