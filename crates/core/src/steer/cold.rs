//! Rate limiting of requests to cold servers, which sustain only a low rate until they are warm.
//!
//! Only one host sends requests to a cold server, at a rate that the server can sustain.

use std::collections::HashMap;

use super::stable_hash;
use crate::time::Instant;

/// Fraction of a cold server's sustainable rate that is used. The rest covers times in which two
/// hosts are responsible for the server, because they reach different hosts.
const USED_RATE_FRACTION: f64 = 0.6;

/// Returns the host that sends requests to a cold server, by rendezvous hashing over the reachable
/// hosts.
pub fn responsible_host(server: u64, hosts: impl Iterator<Item = u64>) -> Option<u64> {
    hosts.max_by_key(|host| stable_hash(server, &host.to_le_bytes()))
}

/// Limits the rate of this host's requests to each cold server.
#[derive(Clone, Debug, Default)]
pub struct ColdServerPacer {
    /// Earliest time of the next request, by the hash of the server's id.
    next_request_at: HashMap<u64, Instant>,
}

impl ColdServerPacer {
    /// Whether a request may be sent to this server now.
    pub fn is_due(&self, now: Instant, server: u64) -> bool {
        self.next_request_at.get(&server).is_none_or(|at| *at <= now)
    }

    /// Delays the next request to this server; `rate` is its sustainable rate in requests per second.
    pub fn record_request(&mut self, now: Instant, server: u64, rate: f64) {
        let interval = 1.0 / (rate * USED_RATE_FRACTION).max(0.1);
        self.next_request_at.insert(server, now + std::time::Duration::from_secs_f64(interval));
    }

    /// Removes the servers to which a request may be sent.
    pub fn expire(&mut self, now: Instant) {
        self.next_request_at.retain(|_, at| *at > now);
    }
}
