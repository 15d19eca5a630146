//! Tests of real host processes with stand-ins for the platform's store and servers.

mod connection_ends;
mod crashes;
mod path;
mod pipeline;
mod raw;
mod reports;
mod restored_store;
mod settings;
mod status_lines;
mod stop;
mod store;
mod uploads;
mod usage;

use std::time::Duration;

use jasminestage_platform_standin::{
    backend::Backend,
    fleet::{self, Host},
    store::Store,
};
use serde_json::json;

/// The program under test.
pub const BINARY: &str = env!("CARGO_BIN_EXE_jasminestage-edge");

/// A store with a configuration, two servers per service, and hosts.
pub struct Environment {
    /// The platform's store.
    pub store: Store,
    /// Backend servers.
    pub servers: Vec<Backend>,
    /// Hosts under test.
    pub hosts: Vec<Host>,
}

impl Environment {
    /// Starts one host per given failure domain and waits until all are ready.
    pub async fn start(zones: &[&str]) -> Environment {
        let store = Store::start().await;
        fleet::write_config(&store, 1);
        let mut servers = Vec::new();
        for service in ["lookup", "booking"] {
            for n in 1..=2 {
                let id = format!("{service}-{n}");
                servers.push(Backend::start(&store, &id, service, "a1").await);
            }
        }
        let hosts: Vec<Host> = zones
            .iter()
            .enumerate()
            .map(|(n, zone)| Host::start(BINARY, &format!("host-{n}"), zone, store.address))
            .collect();
        for host in &hosts {
            host.wait_until_ready().await;
        }
        Environment { store, servers, hosts }
    }

    /// Returns how often the servers ran a request.
    pub fn runs(&self, id: &str) -> usize {
        self.servers.iter().map(|s| s.executed_requests().get(id).map_or(0, Vec::len)).sum()
    }

    /// Returns the servers of a service.
    pub fn servers_of(&self, service: &str) -> impl Iterator<Item = &Backend> {
        let prefix = format!("{service}-");
        self.servers.iter().filter(move |s| s.id.starts_with(&prefix))
    }
}

/// Waits for the log line about the response to a request, which is written shortly after the
/// response, and returns it.
pub async fn response_log_line(host: &Host, request: &str) -> serde_json::Value {
    let is_response =
        |line: &serde_json::Value| line["request"] == request && line["status"] != json!(null);
    let find = || host.log_lines().into_iter().find(is_response);
    eventually(Duration::from_secs(5), async || find().is_some()).await;
    find().expect("the response is logged")
}

/// Waits until a condition holds; returns whether it held within the limit.
pub async fn eventually(limit: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
    let end = tokio::time::Instant::now() + limit;
    while tokio::time::Instant::now() < end {
        if holds().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    false
}
