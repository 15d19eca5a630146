//! Bounds that the deployment sets, as the settings file holds them.

use std::time::Duration;

/// Bounds and the place of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Longest lifetime of a directory answer.
    pub max_lookup_ttl: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Extra arrivals per request that a service may get.
    pub retry_ratio: f64,
    /// Extra arrivals in a window besides the ratio, over all hosts.
    pub retry_extra: f64,
    /// Window over which a workspace's requests are counted.
    pub quota_window: Duration,
    /// Part of a workspace's quota by which a window may exceed it.
    pub quota_overage: f64,
    /// Requests by which a window may exceed a workspace's quota besides.
    pub quota_slack: f64,
    /// Largest share of a service's requests that an unproven version may get.
    pub canary_share: f64,
    /// Largest change of a region's distribution of requests in two seconds.
    pub max_shift: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            max_lookup_ttl: Duration::from_secs(5),
            stop_grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            quota_window: Duration::from_secs(5),
            quota_overage: 0.0,
            quota_slack: 0.0,
            canary_share: 0.1,
            max_shift: 0.15,
        }
    }
}
