//! Reading what backend servers report of themselves: `GET /load` and `GET /health`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use jasminestage_core::{route::health::ServerReport, world::Duty};
use serde::Deserialize;

use crate::{shared::Shared, timer::Timers};

/// Time between two reads of one server's reports.
const PERIOD: Duration = Duration::from_secs(2);
/// Longest time for one read.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Servers that are read at the same time.
const AT_ONCE: usize = 8;

/// Answer of a server's load endpoint.
#[derive(Debug, Deserialize)]
struct Load {
    in_flight: u32,
    slots: u32,
}

/// Reads the reports of the servers of this host's failure domain, for ever.
pub async fn read(shared: Arc<Shared>, timers: Timers) {
    let Ok(http) = reqwest::Client::builder().timeout(TIMEOUT).no_proxy().build() else { return };
    let mut due = timers.subscribe(PERIOD).await;
    while due.recv().await.is_some() {
        let reads = servers(&shared).into_iter().map(|(name, address)| {
            let http = http.clone();
            async move { (name, report(&http, address).await) }
        });
        let reports: Vec<_> = stream::iter(reads).buffer_unordered(AT_ONCE).collect().await;
        shared.decide(|traffic, _| {
            for (name, report) in &reports {
                traffic.record_report(name, *report);
            }
        });
    }
}

/// Servers that this host holds slots of.
fn servers(shared: &Shared) -> Vec<(String, SocketAddr)> {
    let view = shared.view.load();
    let mine = view.world.domain(&view.me.domain).filter(|_| view.seat.is_some());
    let servers = view.world.servers.values();
    let near = servers.filter(|s| Some(s.domain) == mine && s.duty == Duty::Serving);
    near.map(|s| (s.name.clone(), s.address)).collect()
}

async fn report(http: &reqwest::Client, address: SocketAddr) -> ServerReport {
    let health = http.get(format!("http://{address}/health")).send().await;
    let healthy = health.is_ok_and(|answer| answer.status().is_success());
    let load = async {
        let answer = http.get(format!("http://{address}/load")).send().await.ok()?;
        let load: Load = answer.json().await.ok()?;
        Some(f64::from(load.in_flight) / f64::from(load.slots.max(1)))
    };
    ServerReport { load: load.await.unwrap_or_default(), healthy }
}
