//! Planned stops.

use std::time::Duration;

use jasminestage_platform_standin::{backend::Fault, caller::ask, fleet::KEY};
use rustix::process::Signal;

use crate::{Site, eventually};

/// Fails if a stopping host aborts requests that a server is running, refuses connections of
/// callers whose cached directory answer still lists it, or stays in the directories of other hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_aborts_no_request() {
    let mut site = Site::start(&["a1", "a1"]).await;
    for server in &site.servers {
        server.set_fault(Fault::Slow(Duration::from_millis(900)));
    }
    let callers = site.hosts[0].callers;
    let slow: Vec<_> = (0..4)
        .map(|n| {
            let path = if n % 2 == 0 { "/read/x" } else { "/book/x" };
            tokio::spawn(async move { ask(callers, path, &format!("slow-{n}"), KEY).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.hosts[0].signal(Signal::TERM);
    let late = tokio::spawn(async move { ask(callers, "/read/x", "late", KEY).await });
    for (n, task) in slow.into_iter().enumerate() {
        let answer = task.await.expect("the caller ends").expect("an answer");
        assert!(answer.is_whole(&format!("slow-{n}")), "{answer:?}");
    }
    let late = late.await.expect("the caller ends").expect("an answer");
    assert!(late.is_whole("late"), "{late:?}");
    assert!(!site.hosts[0].is_ready().await);
    assert_eq!(site.hosts[0].wait(Duration::from_secs(6)).await, Some(0));
    let stopped_address = format!("\"{callers}\"");
    let directory = site.hosts[1].directory;
    let is_removed = eventually(Duration::from_secs(3), async || {
        let page =
            jasminestage_platform_standin::caller::page(directory, "/resolve?region=a&zone=a1");
        page.await.is_some_and(|(status, body)| status == 200 && !body.contains(&stopped_address))
    });
    assert!(is_removed.await, "the directory still lists the stopped host");
}
