//! Asking hosts at their operators' addresses.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// Longest time for the answer of one host.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What a host says of itself.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HostStatus {
    /// Its name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// The revision in force on it.
    pub revision: u64,
    /// The seat that it holds.
    pub seat: Option<u16>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Requests in flight.
    pub in_flight: u64,
}

/// Asks one host; `None` when it does not answer.
pub async fn status(http: &reqwest::Client, address: SocketAddr) -> Option<HostStatus> {
    let url = format!("http://{address}/status");
    let answer = http.get(url).timeout(TIMEOUT).send().await.ok()?;
    answer.json().await.ok()
}
