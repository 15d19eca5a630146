//! Bounds that the settings file sets for a deployment.

use std::time::Duration;

/// Bounds of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Longest time for which a client may cache an answer of the directory.
    pub max_lookup_ttl: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Retries that a service may get per request.
    pub retry_ratio: f64,
    /// Retries that a service may get in a window besides the ratio, over all hosts.
    pub retry_extra: f64,
    /// Window over which a workspace's requests are counted.
    pub quota_window: Duration,
    /// Fraction by which the requests in a window may exceed a workspace's quota.
    pub quota_overage: f64,
    /// Number of requests by which a window may exceed a workspace's quota besides the fraction.
    pub quota_slack: f64,
    /// Largest share of a service's requests that a faulty new version may get over a whole rollout.
    pub canary_share: f64,
    /// Number of requests that a faulty new version may get besides the share.
    pub canary_extra: f64,
    /// Largest change within two seconds of the shares in which a region distributes its requests.
    pub max_shift: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            max_lookup_ttl: Duration::from_secs(5),
            stop_grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            quota_window: Duration::from_secs(5),
            quota_overage: 0.0,
            quota_slack: 0.0,
            canary_share: 0.1,
            canary_extra: 0.0,
            max_shift: 0.15,
        }
    }
}
