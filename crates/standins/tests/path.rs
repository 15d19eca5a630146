//! A request from end to end through separate processes: apply, look-up, request, backend server
//! and response. Guards against parts that work alone but disagree on a message or a header.

use std::time::Duration;

use jasminestage_standins::fleet::{Fleet, FleetOptions};

struct Case {
    name: &'static str,
    route: &'static str,
    key: Option<&'static str>,
    status: u16,
    code: &'static str,
    execution: &'static str,
}

const API_KEY: Option<&str> = Some("sample-key-gearbox");

const CASES: &[Case] = &[
    Case {
        name: "idempotent",
        route: "katalog",
        key: API_KEY,
        status: 200,
        code: "0",
        execution: "done",
    },
    Case {
        name: "at most once",
        route: "lizenz",
        key: API_KEY,
        status: 200,
        code: "0",
        execution: "done",
    },
    Case { name: "open", route: "status", key: None, status: 200, code: "0", execution: "done" },
    Case {
        name: "wrong key",
        route: "katalog",
        key: Some("x"),
        status: 401,
        code: "105",
        execution: "not-run",
    },
    Case {
        name: "no key",
        route: "katalog",
        key: None,
        status: 401,
        code: "104",
        execution: "not-run",
    },
    Case {
        name: "route not allowed",
        route: "lizenz",
        key: Some("sample-key-archiv"),
        status: 403,
        code: "106",
        execution: "not-run",
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_served_end_to_end() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let hosts = [("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1")];
    let options = FleetOptions {
        declaration: include_str!("../../../samples/lagerwerk.ini").to_owned(),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(dir.path(), options).await.expect("the fleet starts");
    let http = reqwest::Client::new();
    for case in CASES {
        let lookup_host = fleet.hosts[1].options.caller_address;
        let url = format!("http://{lookup_host}/v1/lookup?route={}&client=10.2.0.1", case.route);
        let lookup: serde_json::Value =
            http.get(url).send().await.expect(case.name).json().await.expect(case.name);
        assert_eq!(
            lookup["hosts"][0]["name"], "g1",
            "{}: the nearest host is listed first",
            case.name
        );
        let host = lookup["hosts"][0]["address"].as_str().expect(case.name);
        let mut req = http
            .post(format!("http://{host}/v1/routes/{}/a/b?c=d", case.route))
            .timeout(Duration::from_secs(5))
            .body(case.name);
        if let Some(key) = case.key {
            req = req.bearer_auth(key);
        }
        if let Some(id) = lookup["request_id"].as_str() {
            req = req.header("idempotency-key", id);
        }
        let response = req.send().await.expect(case.name);
        let header = |name: &str| response.headers()[name].to_str().expect(case.name).to_owned();
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        assert_eq!(header("jasminestage-code"), case.code, "{}", case.name);
        assert_eq!(header("jasminestage-execution"), case.execution, "{}", case.name);
        if case.code == "0" {
            let body: serde_json::Value = response.json().await.expect(case.name);
            assert_eq!(body["echo"], case.name);
            assert_eq!(body["path"], "/a/b");
        }
    }
    assert!(
        !fleet.backends.values().any(|b| b.stats().received_authorization),
        "a backend server received a key"
    );
}
