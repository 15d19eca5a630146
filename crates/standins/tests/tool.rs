//! The operators' tool against a running fleet: exit codes, what it says, and what it changes.

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

const KEY: &str = "sample-key-gearbox";
const LIMIT: Duration = Duration::from_secs(10);
const MAX_COLUMNS: usize = 100;

struct Case {
    args: &'static [&'static str],
    exit: i32,
    /// Texts that standard output, or standard error for a failure, must hold.
    says: &'static [&'static str],
}

const fn case(args: &'static [&'static str], exit: i32, says: &'static [&'static str]) -> Case {
    Case { args, exit, says }
}

/// Cases that change nothing. `ADMIN` and `DIR` are replaced.
const READING: &[Case] = &[
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

/// Commands whose JSON a script must be able to read.
const JSON: &[&[&str]] = &[
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

struct Site {
    fleet: Fleet,
    admin: String,
    http: reqwest::Client,
    _folder: tempfile::TempDir,
}

impl Site {
    async fn start() -> Site {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let options = FleetOptions {
            declaration: roomy(include_str!("../../../samples/lagerwerk.ini")),
            hosts: [("z1", "zurich-1"), ("g1", "geneva-1")]
                .map(|(n, d)| (n.to_owned(), d.to_owned()))
                .to_vec(),
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(dir.path(), options).await.expect("the fleet starts");
        let admin: Vec<_> =
            fleet.hosts.iter().map(|h| h.options.admin_address.to_string()).collect();
        Site { fleet, admin: admin.join(","), http: reqwest::Client::new(), _folder: dir }
    }

    fn run(&self, args: &[&str]) -> Output {
        let dir = self.fleet.dir.display().to_string();
        let args = args.iter().map(|a| a.replace("ADMIN", &self.admin).replace("DIR", &dir));
        Command::new(binary_path("jasminestage"))
            .env_remove("JASMINESTAGE_ADMIN")
            .env_remove("JASMINESTAGE_CONFIG")
            .env("JASMINESTAGE_STORE", self.fleet.platform.url())
            .args(args)
            .output()
            .expect("the tool runs")
    }

    fn caller(&self) -> SocketAddr {
        self.fleet.hosts[0].options.caller_address
    }

    async fn ask(&self, route: &str, key: &str) -> u16 {
        let url = format!("http://{}/v1/routes/{route}/x", self.caller());
        let req = self.http.get(url).bearer_auth(key).timeout(LIMIT);
        req.send().await.map_or(0, |a| a.status().as_u16())
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.fleet.dir.join(name), text).expect("the dir takes a file");
    }
}

/// The declaration with rates that no test reaches.
fn roomy(declaration: &str) -> String {
    let line = |l: &str| match l.split_once(" = ") {
        Some((key @ ("rate" | "burst"), _)) => format!("{key} = 100000\n"),
        _ => format!("{l}\n"),
    };
    declaration.lines().map(line).collect()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the tool writes UTF-8")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_command_says_what_it_should_and_ends_with_its_code() {
    let site = Site::start().await;
    for _ in 0..20 {
        assert_eq!(site.ask("katalog", KEY).await, 200);
    }
    site.write("bad.ini", "[nothing]\n");
    site.write("bad-tool.ini", "[tool]\nshop = x\n");
    let tool = format!("[tool]\nstore = {}\nadmin = {}\n", site.fleet.platform.url(), site.admin);
    site.write("tool.ini", &tool);
    for case in READING {
        let out = site.run(case.args);
        let (stdout, stderr) = (text(&out.stdout), text(&out.stderr));
        let shown = format!("{:?}\n{stdout}\n{stderr}", case.args);
        if case.args != ["get"] {
            println!("{shown}");
        }
        assert_eq!(out.status.code(), Some(case.exit), "{shown}");
        let said = if case.exit == 0 { &stdout } else { &stderr };
        for part in case.says {
            assert!(said.contains(part), "{part:?} is missing: {shown}");
        }
        let is_table = stdout.contains('─') || stdout.contains('═');
        let widest = stdout.lines().map(|l| l.chars().count()).max().unwrap_or(0);
        assert!(!is_table || widest <= MAX_COLUMNS, "{widest} columns: {shown}");
        assert!(!stdout.contains('\u{1b}'), "colour without a terminal: {shown}");
        for secret in [KEY, FLEET_SECRET] {
            assert!(!stdout.contains(&format!("{secret}\n")) || case.args == ["get"], "{shown}");
        }
    }
    metrics_are_bounded(&site).await;
    for args in JSON {
        let args = [args, &["--output", "json"][..]].concat();
        let out = site.run(&args);
        let parsed = serde_json::from_slice::<serde_json::Value>(&out.stdout);
        assert!(parsed.is_ok(), "{args:?}: {}", text(&out.stdout));
    }
}

/// Names that are not declared add no series, and the standard names are there.
async fn metrics_are_bounded(site: &Site) {
    for n in 0..30 {
        site.ask(&format!("route-{n}"), &format!("key-{n}")).await;
    }
    let text =
        scrape(site.fleet.hosts[0].options.admin_address).await.expect("the host serves metrics");
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_and_drains_change_the_declaration_and_its_effect() {
    let site = Site::start().await;
    let made = site.run(&["keys", "make", "--output", "json"]);
    let made: serde_json::Value = serde_json::from_slice(&made.stdout).expect("it is JSON");
    let (key, digest) = (made["key"].as_str().expect("a key"), made["digest"].as_str());
    let digest = digest.expect("a digest");
    let section = "[workspace gearbox-design]\n";
    let section = if site.fleet.declaration.contains(section) {
        section.to_owned()
    } else {
        let start = site.fleet.declaration.find("[workspace ").expect("there is a workspace");
        site.fleet.declaration[start..].lines().next().expect("a heading").to_owned() + "\n"
    };
    let workspace = section.trim_start_matches("[workspace ").trim_end_matches("]\n");
    let with_key = site
        .fleet
        .declaration
        .replace(&format!("{section}keys = "), &format!("{section}keys = {digest}, "));
    site.write("more.ini", &with_key);
    assert!(site.run(&["apply", "DIR/more.ini"]).status.success());
    let works = async || site.ask("katalog", key).await == 200;
    assert!(eventually(LIMIT, works).await, "a granted key works");

    let out = site.run(&["keys", "withdraw", workspace, digest]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let refused = async || site.ask("katalog", key).await == 401;
    assert!(eventually(LIMIT, refused).await, "a withdrawn key stops working");
    assert_eq!(site.ask("katalog", KEY).await, 200, "the other key goes on working");

    let server = site.fleet.backends.keys().next().expect("there is a server").clone();
    for (args, state) in [
        (["drain", "server", &server].to_vec(), "state = leaving"),
        (["drain", "server", &server, "--undo"].to_vec(), "state = serving"),
        (["drain", "host", "z1"].to_vec(), "[host z1]\nstate = leaving"),
        (["drain", "host", "z1", "--undo"].to_vec(), "[host z1]\nstate = serving"),
    ] {
        let out = site.run(&args);
        assert!(out.status.success(), "{args:?}: {}", text(&out.stderr));
        let declared = text(&site.run(&["get"]).stdout);
        assert!(declared.contains(state), "{args:?}: {declared}");
        assert!(declared.contains("; The key of this sample"), "comments are kept");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_report_shows_which_route_burns_its_budget() {
    let site = Site::start().await;
    for backend in site.fleet.backends.values() {
        backend.behaviour().fail_every = 4;
    }
    for _ in 0..60 {
        site.ask("katalog", KEY).await;
    }
    for _ in 0..20 {
        assert_eq!(site.ask("katalog", "a wrong key").await, 401);
    }
    let out = site.run(&["report", "--admin", "ADMIN", "--html", "DIR/burn.html"]);
    let shown = text(&out.stdout);
    assert!(shown.contains("page"), "{shown}");
    let json = site.run(&["report", "--admin", "ADMIN", "--output", "json"]);
    let report: serde_json::Value = serde_json::from_slice(&json.stdout).expect("it is JSON");
    let row = &report["rows"][0];
    assert_eq!(row["level"], "page", "{row}");
    let all = &row["counts"]["windows"][5];
    let (good, bad) = (all["good"].as_u64().unwrap_or(0), all["bad"].as_u64().unwrap_or(0));
    assert_eq!(good + bad, 60, "wrong keys do not count");
    assert!((10..=20).contains(&bad), "{bad} of 60 are bad");
    let page = std::fs::read_to_string(site.fleet.dir.join("burn.html")).expect("a page");
    if let Ok(copy) = std::env::var("BURN_PAGE") {
        std::fs::write(copy, &page).expect("the copy can be written");
    }
    assert!(page.contains("<svg") && page.contains("katalog"));
    for foreign in ["http://", "https://", "src=", "<script"] {
        assert!(!page.contains(foreign), "the page stands alone: {foreign}");
    }
}
