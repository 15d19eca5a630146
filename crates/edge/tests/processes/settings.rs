//! Checks and reloads of the settings file.

use std::{fs, process::Command};

use jasminestage_platform_standin::{caller::fetch_page, fleet::Host};
use rustix::process::Signal;
use test_case::test_case;

use crate::{BINARY, Environment};

struct Case {
    /// Part of the valid settings that is replaced.
    from: &'static str,
    /// Text that replaces it.
    to: &'static str,
    /// Text that the error must contain; empty if the settings are valid.
    error: &'static str,
}

const VALID_SETTINGS: &str = "[host]\nname = h\ndomain = a1\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n\
    directory = 127.0.0.1:3\npeers = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[domains]\na1 = a\n\
    [store]\naddress = 127.0.0.1:6\n[bounds]\nstop_grace = 2.5s\n";

/// Fails if the host accepts a settings file with a missing, unknown or invalid setting, or if the
/// error does not identify the setting.
#[test_case(&Case { from: "", to: "", error: "" }; "good")]
#[test_case(&Case { from: "name = h\n", to: "", error: "'name' in [host]" }; "a missing name")]
#[test_case(&Case { from: "127.0.0.1:1\n", to: "here\n", error: "an IP address with a port" }; "a bad address")]
#[test_case(&Case { from: "2.5s", to: "soon", error: "'stop_grace' in [bounds]" }; "a bad time")]
#[test_case(&Case { from: "name = h\n", to: "name = h\nmax_pipelined_requests = 0\n", error: "a whole number above 0" }; "no request at a time")]
#[test_case(&Case { from: "name = h\n", to: "name = h\nmemory_mb = -5\n", error: "a number above 0" }; "negative memory")]
#[test_case(&Case { from: "name = h\n", to: "name = h\nmax_descriptors = 100\n", error: "at least 300" }; "too few descriptors")]
#[test_case(&Case { from: "[store]", to: "[answers]\nmax_bytes = much\n[store]", error: "'max_bytes' in [answers]" }; "a bad size")]
#[test_case(&Case { from: "a1 = a\n", to: "b1 = b\n", error: "'domain' in [host]" }; "an unknown domain")]
#[test_case(&Case { from: "stop_grace", to: "stop_mercy", error: "no such setting" }; "an unknown setting")]
#[test_case(&Case { from: "[store]", to: "[store", error: "not closed" }; "invalid syntax")]
fn settings_are_checked(case: &Case) {
    let dir = tempfile::tempdir().expect("a temporary folder can be made");
    let path = dir.path().join("host.ini");
    fs::write(&path, VALID_SETTINGS.replacen(case.from, case.to, 1))
        .expect("the settings can be written");
    let output = Command::new(BINARY).arg("--check").arg("--config").arg(&path).output();
    let output = output.expect("the program runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.success(), case.error.is_empty(), "{errors}");
    assert!(errors.contains(case.error), "{errors}");
}

/// Fails if a reload of an invalid file, such as one that an operator is still editing, stops the
/// host or makes it unready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_settings_at_a_reload_change_nothing() {
    let environment = Environment::start(&["a1"]).await;
    let host: &Host = &environment.hosts[0];
    fs::write(host.settings_path(), "[host]\n").expect("the settings can be written");
    host.send_signal(Signal::HUP);
    let is_logged = crate::eventually(std::time::Duration::from_secs(5), async || {
        host.log_lines().iter().any(|line| line["event"] == 306)
    });
    assert!(is_logged.await, "{:?}", host.log_lines());
    assert!(host.is_ready().await);
}

/// Fails if bounds that changed in the file do not take effect at a reload.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changed_bounds_are_used_after_a_reload() {
    let environment = Environment::start(&["a1"]).await;
    let host: &Host = &environment.hosts[0];
    let text = fs::read_to_string(host.settings_path()).expect("the settings can be read");
    let text = text.replace("[bounds]\n", "[bounds]\nmax_lookup_ttl = 700 ms\n");
    fs::write(host.settings_path(), text).expect("the settings can be written");
    host.send_signal(Signal::HUP);
    let changed = crate::eventually(std::time::Duration::from_secs(5), async || {
        let resolved = fetch_page(host.directory_address, "/resolve?region=a&zone=a1").await;
        resolved.is_some_and(|(_, body)| body.contains("700ms"))
    });
    assert!(changed.await, "{:?}", host.log_lines());
}
