//! The operators' tool with a running fleet: exit codes, output and changes to the declaration.

use std::{
    net::SocketAddr,
    process::{Command, Output},
    time::Duration,
};

use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    metrics::scrape,
    process::{FLEET_SECRET, binary_path, eventually},
};

const API_KEY: &str = "sample-key-gearbox";
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum width of a table, in characters.
const MAX_COLUMNS: usize = 100;

struct Case {
    args: &'static [&'static str],
    exit: i32,
    /// Texts that standard output must contain, or standard error if `exit` is not 0.
    expected: &'static [&'static str],
}

const fn case(args: &'static [&'static str], exit: i32, expected: &'static [&'static str]) -> Case {
    Case { args, exit, expected }
}

/// Commands that change nothing. `ADMIN` stands for the hosts' admin addresses, `DIR` for the
/// temporary directory.
const READ_ONLY_CASES: &[Case] = &[
    case(&["status", "--admin", "ADMIN"], 0, &["The store holds revision", "serving"]),
    case(&["hosts", "--admin", "ADMIN"], 0, &["zurich-1", "2 of 2", "serving"]),
    case(&["hosts"], 2, &["--admin", "JASMINESTAGE_ADMIN"]),
    case(&["hosts", "--admin", "127.0.0.1:1"], 9, &["No answer from 127.0.0.1:1"]),
    case(&["routes"], 0, &["katalog", "at-most-once", "99.9% in 200 ms"]),
    case(&["workspaces"], 0, &["gearbox", "keys"]),
    case(&["workspaces", "--admin", "ADMIN"], 0, &["gearbox", "within rate"]),
    case(&["moves"], 0, &[""]),
    case(&["get"], 0, &["[workspace gearbox"]),
    case(&["wait", "--in-force", "--admin", "ADMIN"], 0, &["is in force on 2 host(s)"]),
    case(
        &["wait", "--in-force", "--admin", "ADMIN", "--revision", "999", "--timeout", "0"],
        6,
        &["Revision 999 is not in force after 0 s"],
    ),
    case(&["explain", "--admin", "ADMIN", "--route", "katalog"], 0, &["refused, 104"]),
    case(
        &["explain", "--admin", "ADMIN", "--route", "status", "--client", "10.2.0.1"],
        0,
        &["g1 (geneva-1), z1 (zurich-1)", "the route is open"],
    ),
    case(&["explain", "--admin", "ADMIN", "--route", "nothing"], 0, &["103", "No route"]),
    case(&["report", "--admin", "ADMIN"], 0, &["katalog", "(all)", "gearbox", "ok"]),
    case(&["keys", "make"], 0, &["Key, shown this once", "sha256:"]),
    case(&["keys", "withdraw", "gearbox", "sha256:00"], 10, &["is not in the declaration"]),
    case(&["drain", "server", "nothing"], 10, &["The server 'nothing'"]),
    case(&["apply", "DIR/none.ini"], 1, &["none.ini' cannot be read"]),
    case(&["apply", "DIR/bad.ini"], 3, &["bad.ini'", "line 1"]),
    case(&["apply", "DIR/world.ini", "--revision", "999"], 4, &["Another change came first"]),
    case(&["get", "--store", "http://127.0.0.1:1"], 5, &["does not answer"]),
    case(&["nothing"], 2, &["unrecognized subcommand"]),
    case(&["completions", "bash"], 0, &["_jasminestage"]),
    case(&["man"], 0, &[".TH jasminestage", "COMMAND EXPLAIN"]),
    case(&["--help"], 0, &["Exit codes", "9  no host answers"]),
    case(&["routes", "--config", "DIR/bad-tool.ini"], 3, &["bad-tool.ini:2", "known are store"]),
    case(&["hosts", "--config", "DIR/tool.ini"], 0, &["zurich-1"]),
];

/// Commands whose output must be valid JSON with `--output json`.
const JSON_COMMANDS: &[&[&str]] = &[
    &["status", "--admin", "ADMIN"],
    &["hosts", "--admin", "ADMIN"],
    &["routes"],
    &["workspaces", "--admin", "ADMIN"],
    &["moves"],
    &["get"],
    &["explain", "--admin", "ADMIN", "--route", "katalog"],
    &["report", "--admin", "ADMIN"],
    &["keys", "make"],
];

/// A running fleet and what the tool needs to reach it.
struct TestFleet {
    fleet: Fleet,
    admin_addresses: String,
    http: reqwest::Client,
    _dir: tempfile::TempDir,
}

impl TestFleet {
    async fn start() -> TestFleet {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let options = FleetOptions {
            declaration: raise_limits(include_str!("../../../samples/lagerwerk.ini")),
            hosts: [("z1", "zurich-1"), ("g1", "geneva-1")]
                .map(|(n, d)| (n.to_owned(), d.to_owned()))
                .to_vec(),
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(dir.path(), options).await.expect("the fleet starts");
        let admin_addresses: Vec<_> =
            fleet.hosts.iter().map(|h| h.options.admin_address.to_string()).collect();
        TestFleet {
            fleet,
            admin_addresses: admin_addresses.join(","),
            http: reqwest::Client::new(),
            _dir: dir,
        }
    }

    /// Runs the tool with the store of the fleet and with the placeholders in `args` replaced.
    fn run_tool(&self, args: &[&str]) -> Output {
        let dir = self.fleet.dir.display().to_string();
        let args =
            args.iter().map(|a| a.replace("ADMIN", &self.admin_addresses).replace("DIR", &dir));
        Command::new(binary_path("jasminestage"))
            .env_remove("JASMINESTAGE_ADMIN")
            .env_remove("JASMINESTAGE_CONFIG")
            .env("JASMINESTAGE_STORE", self.fleet.platform.url())
            .args(args)
            .output()
            .expect("the tool is started")
    }

    fn caller_address(&self) -> SocketAddr {
        self.fleet.hosts[0].options.caller_address
    }

    /// Sends a request to the first host; returns its HTTP status, or 0 without a response.
    async fn request_status(&self, route: &str, key: &str) -> u16 {
        let url = format!("http://{}/v1/routes/{route}/x", self.caller_address());
        let req = self.http.get(url).bearer_auth(key).timeout(TIMEOUT);
        req.send().await.map_or(0, |a| a.status().as_u16())
    }

    fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.fleet.dir.join(name), text).expect("the file is written");
    }
}

/// Returns the declaration with rate limits that no test reaches.
fn raise_limits(declaration: &str) -> String {
    let raise_limit = |l: &str| match l.split_once(" = ") {
        Some((key @ ("rate" | "burst"), _)) => format!("{key} = 100000\n"),
        _ => format!("{l}\n"),
    };
    declaration.lines().map(raise_limit).collect()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the tool writes UTF-8")
}

/// Guards against changes of exit codes and output that scripts and operators rely on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_command_prints_the_expected_text_and_exits_with_its_code() {
    let test_fleet = TestFleet::start().await;
    for _ in 0..20 {
        assert_eq!(test_fleet.request_status("katalog", API_KEY).await, 200);
    }
    test_fleet.write_file("bad.ini", "[nothing]\n");
    test_fleet.write_file("bad-tool.ini", "[tool]\nshop = x\n");
    let settings = format!(
        "[tool]\nstore = {}\nadmin = {}\n",
        test_fleet.fleet.platform.url(),
        test_fleet.admin_addresses
    );
    test_fleet.write_file("tool.ini", &settings);
    for case in READ_ONLY_CASES {
        let out = test_fleet.run_tool(case.args);
        let (stdout, stderr) = (text(&out.stdout), text(&out.stderr));
        let shown = format!("{:?}\n{stdout}\n{stderr}", case.args);
        if case.args != ["get"] {
            println!("{shown}");
        }
        assert_eq!(out.status.code(), Some(case.exit), "{shown}");
        let printed = if case.exit == 0 { &stdout } else { &stderr };
        for part in case.expected {
            assert!(printed.contains(part), "{part:?} is missing: {shown}");
        }
        let is_table = stdout.contains('─') || stdout.contains('═');
        let widest = stdout.lines().map(|l| l.chars().count()).max().unwrap_or(0);
        assert!(!is_table || widest <= MAX_COLUMNS, "{widest} columns: {shown}");
        assert!(!stdout.contains('\u{1b}'), "colour without a terminal: {shown}");
        for secret in [API_KEY, FLEET_SECRET] {
            assert!(!stdout.contains(&format!("{secret}\n")) || case.args == ["get"], "{shown}");
        }
    }
    assert_metrics_are_bounded(&test_fleet).await;
    for args in JSON_COMMANDS {
        let args = [args, &["--output", "json"][..]].concat();
        let out = test_fleet.run_tool(&args);
        let parsed = serde_json::from_slice::<serde_json::Value>(&out.stdout);
        assert!(parsed.is_ok(), "{args:?}: {}", text(&out.stdout));
    }
}

/// Guards against unbounded metric series: names that are not declared must not become labels. Also
/// checks the standard metrics.
async fn assert_metrics_are_bounded(test_fleet: &TestFleet) {
    for n in 0..30 {
        test_fleet.request_status(&format!("route-{n}"), &format!("key-{n}")).await;
    }
    let text = scrape(test_fleet.fleet.hosts[0].options.admin_address)
        .await
        .expect("the host serves metrics");
    for name in [
        "http_server_request_duration_seconds_bucket",
        "http_server_active_requests",
        "db_client_operation_duration_seconds_count",
        "process_resident_memory_bytes",
        "jasminestage_requests_total{jasminestage_code=\"0\",jasminestage_route=\"katalog\",\
         jasminestage_workspace=\"gearbox\"",
        "jasminestage_refusals_total{jasminestage_code=\"103\",jasminestage_route=\"_OTHER\"",
        "http_route=\"/v1/routes/{route}/{**rest}\"",
    ] {
        assert!(text.contains(name), "{name} is missing: {text}");
    }
    assert!(!text.contains("route-1") && !text.contains("key-1"), "{text}");
}

/// Guards against commands that succeed but leave the declaration or the hosts unchanged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_and_drains_change_the_declaration_and_take_effect() {
    let test_fleet = TestFleet::start().await;
    let out = test_fleet.run_tool(&["keys", "make", "--output", "json"]);
    let key_pair: serde_json::Value =
        serde_json::from_slice(&out.stdout).expect("the output is JSON");
    let (key, digest) =
        (key_pair["key"].as_str().expect("the output contains a key"), key_pair["digest"].as_str());
    let digest = digest.expect("the output contains a digest");
    let section = "[workspace gearbox-design]\n";
    let section = if test_fleet.fleet.declaration.contains(section) {
        section.to_owned()
    } else {
        let start = test_fleet
            .fleet
            .declaration
            .find("[workspace ")
            .expect("the declaration has a workspace");
        test_fleet.fleet.declaration[start..]
            .lines()
            .next()
            .expect("the section has a heading")
            .to_owned()
            + "\n"
    };
    let workspace = section.trim_start_matches("[workspace ").trim_end_matches("]\n");
    let with_key = test_fleet
        .fleet
        .declaration
        .replace(&format!("{section}keys = "), &format!("{section}keys = {digest}, "));
    test_fleet.write_file("more.ini", &with_key);
    assert!(test_fleet.run_tool(&["apply", "DIR/more.ini"]).status.success());
    let is_accepted = async || test_fleet.request_status("katalog", key).await == 200;
    assert!(eventually(TIMEOUT, is_accepted).await, "an added key is accepted");

    let out = test_fleet.run_tool(&["keys", "withdraw", workspace, digest]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let is_refused = async || test_fleet.request_status("katalog", key).await == 401;
    assert!(eventually(TIMEOUT, is_refused).await, "a withdrawn key is refused");
    assert_eq!(
        test_fleet.request_status("katalog", API_KEY).await,
        200,
        "the other key is still accepted"
    );

    let server =
        test_fleet.fleet.backends.keys().next().expect("the fleet has a backend server").clone();
    for (args, state) in [
        (["drain", "server", &server].to_vec(), "state = leaving"),
        (["drain", "server", &server, "--undo"].to_vec(), "state = serving"),
        (["drain", "host", "z1"].to_vec(), "[host z1]\nstate = leaving"),
        (["drain", "host", "z1", "--undo"].to_vec(), "[host z1]\nstate = serving"),
    ] {
        let out = test_fleet.run_tool(&args);
        assert!(out.status.success(), "{args:?}: {}", text(&out.stderr));
        let declared = text(&test_fleet.run_tool(&["get"]).stdout);
        assert!(declared.contains(state), "{args:?}: {declared}");
        assert!(declared.contains("; The key of this sample"), "comments are kept");
    }
}

/// Guards against a report that misses a route with a high error rate, or counts requests with
/// wrong keys as failures of the service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_report_shows_which_route_consumes_its_error_budget() {
    let test_fleet = TestFleet::start().await;
    for backend in test_fleet.fleet.backends.values() {
        backend.behaviour().fail_every = 4;
    }
    for _ in 0..60 {
        test_fleet.request_status("katalog", API_KEY).await;
    }
    for _ in 0..20 {
        assert_eq!(test_fleet.request_status("katalog", "a wrong key").await, 401);
    }
    let out = test_fleet.run_tool(&["report", "--admin", "ADMIN", "--html", "DIR/burn.html"]);
    let shown = text(&out.stdout);
    assert!(shown.contains("page"), "{shown}");
    let json = test_fleet.run_tool(&["report", "--admin", "ADMIN", "--output", "json"]);
    let report: serde_json::Value =
        serde_json::from_slice(&json.stdout).expect("the output is JSON");
    let row = &report["rows"][0];
    assert_eq!(row["level"], "page", "{row}");
    let all = &row["counts"]["windows"][5];
    let (good, bad) = (all["good"].as_u64().unwrap_or(0), all["bad"].as_u64().unwrap_or(0));
    assert_eq!(good + bad, 60, "requests with wrong keys are counted");
    assert!((10..=20).contains(&bad), "{bad} of 60 are bad");
    let page = std::fs::read_to_string(test_fleet.fleet.dir.join("burn.html"))
        .expect("the page is written");
    if let Ok(copy) = std::env::var("BURN_PAGE") {
        std::fs::write(copy, &page).expect("the copy is written");
    }
    assert!(page.contains("<svg") && page.contains("katalog"));
    for external_reference in ["http://", "https://", "src=", "<script"] {
        assert!(
            !page.contains(external_reference),
            "the page loads external content: {external_reference}"
        );
    }
}
