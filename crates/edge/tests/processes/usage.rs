//! Usage reports by real host processes.

use std::{collections::BTreeMap, time::Duration};

use jasminestage_edge::Options;
use jasminestage_platform_standin::{
    api::{Fault, UsageApi},
    caller::request_once,
    fleet::{API_KEY, Host, HostSetup},
    store,
};
use serde_json::json;
use test_case::test_case;

use crate::{BINARY, Environment, eventually};

const WINDOW: Duration = Duration::from_secs(2);
/// Time within which the hosts of a new fleet send the first report, or others after the holder ended.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(25);

struct Fleet {
    environment: Environment,
    api: UsageApi,
}

impl Fleet {
    /// Starts hosts that report usage.
    async fn start(zones: &[&str]) -> Fleet {
        let mut environment = Environment::start(&[]).await;
        let api = UsageApi::start().await;
        let setup = HostSetup { usage: Some((api.address, WINDOW)), ..HostSetup::default() };
        for (n, zone) in zones.iter().enumerate() {
            let (name, store) = (format!("host-{n}"), environment.store.address);
            environment.hosts.push(Host::start_with(BINARY, &name, zone, store, &setup));
        }
        for host in &environment.hosts {
            host.wait_until_ready().await;
        }
        Fleet { environment, api }
    }

    /// Number of windows that were accepted.
    fn accepted(&self) -> usize {
        let calls = self.api.calls();
        let windows = calls.iter().filter(|c| c.is_accepted).map(|c| c.window);
        windows.collect::<std::collections::BTreeSet<_>>().len()
    }

    async fn wait_for_reports(&self, count: usize) {
        let is_reported = eventually(TAKEOVER_LIMIT, async || self.accepted() >= count).await;
        let lines: Vec<_> = self.environment.hosts.iter().map(Host::log_lines).collect();
        assert!(is_reported, "{:?}\n{lines:?}", self.api.calls());
    }

    /// Index of the host that made the last call.
    fn holder(&self) -> usize {
        let calls = self.api.calls();
        let name = &calls.last().expect("a call was made").holder;
        self.environment.hosts.iter().position(|h| h.name == *name).expect("a host")
    }

    fn assert_rules(&self) {
        assert_eq!(self.api.violations(), Vec::<String>::new());
    }
}

/// Fails if a request is not reported or reported twice, at whichever host it arrived and whether or
/// not the server ran it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_begun_request_is_reported_once() {
    let fleet = Fleet::start(&["a1", "a1", "a2", "b1"]).await;
    fleet.wait_for_reports(1).await;
    let mut sent = 0;
    for round in 0..20 {
        for host in &fleet.environment.hosts {
            for path in ["/read/x", "/none/x"] {
                let id = format!("{}{path}{round}", host.name);
                let answer = request_once(host.caller_address, path, &id, API_KEY).await;
                sent += u64::from(answer.is_some_and(|a| a.is_complete(&id)));
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(sent, 80);
    let reported = || {
        let calls = fleet.api.calls();
        let by_window: BTreeMap<u64, u64> = calls
            .iter()
            .filter(|c| c.is_accepted)
            .map(|c| (c.window, c.counts().get("w").copied().unwrap_or_default()))
            .collect();
        by_window.values().sum::<u64>()
    };
    let is_reported = eventually(Duration::from_secs(15), async || reported() == sent).await;
    assert!(is_reported, "{} of {sent}: {:?}", reported(), fleet.api.calls());
    let now_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now_ms = now_ms.expect("a time after 1970").as_millis() as u64;
    let last = fleet.api.calls().last().expect("a call").window;
    let age_ms = now_ms - (last + 1) * WINDOW.as_millis() as u64;
    assert!(age_ms < 10_000, "the last report came {age_ms} ms after the end of its window");
    fleet.assert_rules();
}

struct KillCase {
    /// Fault of the platform's API when the holder is killed.
    fault: Fault,
    /// Whether the holder has sent the report of the window when it is killed.
    is_called: bool,
}

/// Fails if the next holder sends other bytes than a killed one, or no report is sent any more.
#[test_case(&KillCase { fault: Fault::None, is_called: false }; "before the call")]
#[test_case(&KillCase { fault: Fault::NeverResponds, is_called: true }; "between call and response")]
#[test_case(&KillCase { fault: Fault::DropsResponses, is_called: true }; "after the call")]
fn another_host_reports_after_the_holder_was_killed(case: &KillCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut fleet = Fleet::start(&["a1", "a2", "b1"]).await;
        fleet.wait_for_reports(2).await;
        let (holder, before) = (fleet.holder(), fleet.api.calls().len());
        fleet.api.set_fault(case.fault);
        if case.is_called {
            let is_called =
                eventually(Duration::from_secs(10), async || fleet.api.calls().len() > before);
            assert!(is_called.await);
        }
        fleet.environment.hosts[holder].kill();
        let last = fleet.api.calls().last().expect("a call").clone();
        fleet.api.set_fault(Fault::None);
        let accepted = fleet.accepted();
        fleet.wait_for_reports(accepted + 2).await;
        let calls = fleet.api.calls();
        let next = calls.iter().find(|c| c.holder != last.holder && c.token > last.token);
        assert!(next.is_some(), "{calls:?}");
        if case.is_called {
            let repeated: Vec<_> = calls.iter().filter(|c| c.window == last.window).collect();
            assert!(repeated.iter().all(|c| c.body == last.body), "{repeated:?}");
        }
        fleet.assert_rules();
    });
}

/// Fails if the holder calls without knowing that it still has the duty, or the reports do not go on
/// after the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_reported_while_the_store_is_down() {
    let fleet = Fleet::start(&["a1", "a2"]).await;
    fleet.wait_for_reports(2).await;
    fleet.environment.store.set_fault(store::Fault::ClosesConnections);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = fleet.api.calls().len();
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.api.calls().len(), before, "a call was made without a valid duty");
    fleet.environment.store.set_fault(store::Fault::None);
    let accepted = fleet.accepted();
    fleet.wait_for_reports(accepted + 2).await;
    fleet.assert_rules();
}

/// Fails if a report whose response was lost or late, or that was refused, is not sent again, or with
/// other bytes.
#[test_case(Fault::DropsResponses; "response lost")]
#[test_case(Fault::Slow(Duration::from_secs(2)); "response late")]
#[test_case(Fault::Refuses(429); "too many calls")]
#[test_case(Fault::Refuses(503); "unavailable")]
fn a_report_without_a_good_response_is_sent_again(fault: Fault) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let fleet = Fleet::start(&["a1", "a2"]).await;
        fleet.wait_for_reports(1).await;
        let before = fleet.api.calls().len();
        fleet.api.set_fault(fault);
        let is_called =
            eventually(Duration::from_secs(10), async || fleet.api.calls().len() > before + 1);
        assert!(is_called.await, "{:?}", fleet.api.calls());
        fleet.api.set_fault(Fault::None);
        let accepted = fleet.accepted();
        fleet.wait_for_reports(accepted + 2).await;
        let calls = fleet.api.calls();
        let first = &calls[before];
        let repeated: Vec<_> = calls.iter().filter(|c| c.window == first.window).collect();
        assert!(repeated.len() > 1 && repeated.iter().all(|c| c.body == first.body), "{calls:?}");
        fleet.assert_rules();
    });
}

/// Fails if a suspended holder goes on calling when it resumes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_holder_does_not_call_under_its_old_duty() {
    use rustix::process::Signal;
    let fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    fleet.wait_for_reports(2).await;
    let holder = &fleet.environment.hosts[fleet.holder()];
    holder.send_signal(Signal::STOP);
    let accepted = fleet.accepted();
    let is_taken_over = eventually(TAKEOVER_LIMIT, async || fleet.accepted() > accepted).await;
    holder.send_signal(Signal::CONT);
    assert!(is_taken_over, "{:?}", fleet.api.calls());
    let is_lost = eventually(Duration::from_secs(5), async || {
        holder.log_lines().iter().any(|line| line["event"] == 371)
    });
    assert!(is_lost.await, "{:?}", holder.log_lines());
    let accepted = fleet.accepted();
    fleet.wait_for_reports(accepted + 2).await;
    fleet.assert_rules();
}

/// Fails if reports go on under the tokens of the store before it was restored, or stop for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tokens_rise_when_the_store_comes_back_older() {
    let fleet = Fleet::start(&["a1", "a2"]).await;
    fleet.environment.store.take_copy();
    fleet.wait_for_reports(2).await;
    fleet.environment.store.restore_copy();
    let accepted = fleet.accepted();
    fleet.wait_for_reports(accepted + 2).await;
    let tokens: Vec<u64> = fleet.api.calls().iter().map(|c| c.token >> 40).collect();
    assert_eq!((tokens.first(), tokens.last()), (Some(&1), Some(&2)));
    fleet.assert_rules();
}

struct SettingsCase {
    section: &'static str,
    is_on: bool,
}

/// Fails if a deployment without an API, the duty or a window, where the platform renders nothing, is
/// refused or reports usage.
#[test_case(&SettingsCase { section: "", is_on: false }; "no section")]
#[test_case(&SettingsCase { section: "[usage]\naddress =\nduties =\nwindow =\ndue_after =\ntolerance =\nlease =\ncalls_per_second =\n", is_on: false }; "nothing rendered")]
#[test_case(&SettingsCase { section: "[usage]\naddress = 127.0.0.1:7\nduties = other\nwindow = 5 s\n", is_on: false }; "another duty")]
#[test_case(&SettingsCase { section: "[usage]\naddress = 127.0.0.1:7\nduties = usage_report\nwindow =\n", is_on: false }; "no window")]
#[test_case(&SettingsCase { section: "[usage]\naddress =\nduties = usage_report\nwindow = 5000ms\n", is_on: false }; "no address")]
#[test_case(&SettingsCase { section: "[usage]\naddress = 127.0.0.1:7\nduties = other,usage_report\nwindow = 5000ms\n", is_on: true }; "all set")]
fn usage_is_reported_only_with_all_settings(case: &SettingsCase) {
    let text = format!(
        "[host]\nname = h\ndomain = a1\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n\
         directory = 127.0.0.1:3\npeers = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[domains]\na1 = a\n\
         [store]\naddress = 127.0.0.1:6\n{}",
        case.section
    );
    let options = Options::parse(&text).expect("the settings are valid");
    assert_eq!(options.usage.duty().is_some(), case.is_on);
}

/// Fails if hosts without the settings make a call for the reports.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_without_the_settings_do_nothing() {
    let environment = Environment::start(&["a1", "a2"]).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(environment.store.get("jasminestage/duty/usage"), None);
    for host in &environment.hosts {
        let lines = host.log_lines();
        let is_usage =
            |line: &serde_json::Value| (370..=379).any(|event| line["event"] == json!(event));
        assert!(!lines.iter().any(is_usage), "{lines:?}");
    }
}
