//! Planned stops.

use std::time::Duration;

use http::Method;
use jasminestage_platform_standin::{
    backend::Fault,
    caller::{Caller, request_once},
    fleet::{self, API_KEY},
};
use rustix::process::Signal;

use crate::{Environment, eventually};

/// Fails if a stopping host aborts requests that a server is running, refuses connections of
/// callers whose cached directory answer still lists it, or stays in the directory of another host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_aborts_no_request() {
    let mut environment = Environment::start(&["a1", "a1"]).await;
    for server in &environment.servers {
        server.set_fault(Fault::Slow(Duration::from_millis(900)));
    }
    let callers = environment.hosts[0].caller_address;
    let slow: Vec<_> = (0..4)
        .map(|n| {
            let path = if n % 2 == 0 { "/read/x" } else { "/book/x" };
            tokio::spawn(
                async move { request_once(callers, path, &format!("slow-{n}"), API_KEY).await },
            )
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    environment.hosts[0].send_signal(Signal::TERM);
    let late = tokio::spawn(async move { request_once(callers, "/read/x", "late", API_KEY).await });
    for (n, task) in slow.into_iter().enumerate() {
        let answer = task.await.expect("the caller ends").expect("an answer");
        assert!(answer.is_complete(&format!("slow-{n}")), "{answer:?}");
    }
    let late = late.await.expect("the caller ends").expect("an answer");
    assert!(late.is_complete("late"), "{late:?}");
    assert!(!environment.hosts[0].is_ready().await);
    assert_eq!(environment.hosts[0].wait_for_exit(Duration::from_secs(6)).await, Some(0));
    let stopped_address = format!("\"{callers}\"");
    let directory = environment.hosts[1].directory_address;
    let is_removed = eventually(Duration::from_secs(3), async || {
        let page = jasminestage_platform_standin::caller::fetch_page(
            directory,
            "/resolve?region=a&zone=a1",
        );
        page.await.is_some_and(|(status, body)| status == 200 && !body.contains(&stopped_address))
    });
    assert!(is_removed.await, "the directory still lists the stopped host");
}

/// Requests that arrive on kept connections late in the grace, and that their servers cannot answer
/// before its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_late_in_the_grace_are_answered_before_its_end() {
    let mut environment = Environment::start(&["a1"]).await;
    let mut config = fleet::sample_config(2, &[API_KEY]);
    for resource in config["resources"].as_array_mut().expect("a list") {
        if resource["resource-kind"] == "routes" {
            resource["spec"]["timeout"] = "9000ms".into();
        }
    }
    environment.store.put("op/config", &config);
    let address = environment.hosts[0].caller_address;
    let mut callers = Vec::new();
    for n in 0..6 {
        let mut caller = Caller::connect(address).await.expect("the host listens");
        caller.timeout = Duration::from_secs(9);
        let id = format!("first-{n}");
        let answer = caller.send(Method::POST, "/book/x", &id, API_KEY, "").await;
        assert!(answer.is_some_and(|a| a.is_complete(&id)));
        callers.push(caller);
    }
    for server in &environment.servers {
        server.set_fault(Fault::Slow(Duration::from_millis(4600)));
    }
    environment.hosts[0].send_signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let late: Vec<_> = (0..)
        .zip(callers)
        .map(|(n, mut caller)| {
            tokio::spawn(async move {
                let id = format!("late-{n}");
                let answer = caller.send(Method::POST, "/book/x", &id, API_KEY, "").await;
                (id, answer)
            })
        })
        .collect();
    for task in late {
        let (id, answer) = task.await.expect("the caller ends");
        let answer = answer.unwrap_or_else(|| panic!("{id} was cut without an answer"));
        let is_refused = matches!(answer.status, 408 | 421 | 429 | 503);
        assert!(!is_refused || environment.runs(&id) == 0, "{id} has run: {answer:?}");
        assert!(is_refused || answer.status == 504 || answer.is_complete(&id), "{answer:?}");
    }
    assert_eq!(environment.hosts[0].wait_for_exit(Duration::from_secs(6)).await, Some(0));
}
