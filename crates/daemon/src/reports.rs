//! Polls the load and health endpoints of backend servers: `GET /load` and `GET /health`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use jasminestage_core::{declaration::DeclaredState, route::health::ServerReport};
use serde::Deserialize;

use crate::{shared::Shared, timer::Timers};

/// Time between two polls of a server.
const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Timeout of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of servers polled at the same time.
const MAX_CONCURRENT_POLLS: usize = 8;

/// Response of a server's load endpoint.
#[derive(Debug, Deserialize)]
struct LoadReport {
    in_flight: u32,
    slots: u32,
}

/// Polls the servers of this host's failure domain until the timer service ends.
pub async fn poll(shared: Arc<Shared>, timers: Timers) {
    let Ok(http) = reqwest::Client::builder().timeout(REQUEST_TIMEOUT).no_proxy().build() else {
        return;
    };
    let mut due = timers.subscribe(POLL_PERIOD).await;
    while due.recv().await.is_some() {
        let reads = polled_servers(&shared).into_iter().map(|(name, address)| {
            let http = http.clone();
            async move { (name, fetch_report(&http, address).await) }
        });
        let reports: Vec<_> =
            stream::iter(reads).buffer_unordered(MAX_CONCURRENT_POLLS).collect().await;
        shared.with_traffic(|traffic, _| {
            for (name, report) in &reports {
                traffic.record_report(name, *report);
            }
        });
    }
}

/// Serving servers of this host's failure domain; none while the host has no seat, since it then has
/// no slots of them.
fn polled_servers(shared: &Shared) -> Vec<(String, SocketAddr)> {
    let view = shared.view.load();
    let own_domain = view.declaration.domain(&view.me.domain).filter(|_| view.seat.is_some());
    let servers = view.declaration.servers.values();
    let own_servers =
        servers.filter(|s| Some(s.domain) == own_domain && s.state == DeclaredState::Serving);
    own_servers.map(|s| (s.name.clone(), s.address)).collect()
}

async fn fetch_report(http: &reqwest::Client, address: SocketAddr) -> ServerReport {
    let health = http.get(format!("http://{address}/health")).send().await;
    let healthy = health.is_ok_and(|answer| answer.status().is_success());
    let load = async {
        let answer = http.get(format!("http://{address}/load")).send().await.ok()?;
        let load: LoadReport = answer.json().await.ok()?;
        Some(f64::from(load.in_flight) / f64::from(load.slots.max(1)))
    };
    ServerReport { load: load.await.unwrap_or_default(), healthy }
}
