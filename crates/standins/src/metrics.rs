//! Reading the metrics of a host.

use std::{net::SocketAddr, time::Duration};

/// Longest time for the answer of a host.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The metrics of a host in the text format of Prometheus.
pub async fn scrape(admin: SocketAddr) -> Option<String> {
    let req = reqwest::Client::new().get(format!("http://{admin}/metrics")).timeout(TIMEOUT);
    req.send().await.ok()?.text().await.ok()
}

/// Sum of all series of a metric, 0 when the host has none; `None` when it does not answer.
pub async fn metric(admin: SocketAddr, name: &str) -> Option<f64> {
    let text = scrape(admin).await?;
    let series = text.lines().filter(|l| {
        l.strip_prefix(name).is_some_and(|rest| rest.starts_with('{') || rest.starts_with(' '))
    });
    Some(series.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}
