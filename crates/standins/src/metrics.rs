//! Reads the metrics of a host.

use std::{net::SocketAddr, time::Duration};

/// Timeout of a scrape.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns all metrics of a host in the Prometheus text format, or `None` without a response.
pub async fn scrape(admin_address: SocketAddr) -> Option<String> {
    let req = reqwest::Client::new()
        .get(format!("http://{admin_address}/metrics"))
        .timeout(SCRAPE_TIMEOUT);
    req.send().await.ok()?.text().await.ok()
}

/// Returns the sum of all series of a metric: 0 if the host has none, `None` without a response.
pub async fn metric_sum(admin_address: SocketAddr, name: &str) -> Option<f64> {
    let text = scrape(admin_address).await?;
    let series = text.lines().filter(|l| {
        l.strip_prefix(name).is_some_and(|rest| rest.starts_with('{') || rest.starts_with(' '))
    });
    Some(series.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}
