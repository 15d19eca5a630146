//! Cold servers: one host of the fleet feeds each of them, at the rate that it bears.

use std::collections::HashMap;

use super::stable_hash;
use crate::time::Instant;

/// Part of the rate that a cold server bears which is used; the rest covers two hosts that both
/// believe to be the feeder.
const USED_RATE: f64 = 0.6;

/// The host that feeds a cold server, by rendezvous hashing over the hosts known to be alive.
pub fn feeder(server: u64, hosts: impl Iterator<Item = u64>) -> Option<u64> {
    hosts.max_by_key(|host| stable_hash(server, &host.to_le_bytes()))
}

/// Requests to cold servers, by the hash of the server.
#[derive(Clone, Debug, Default)]
pub struct ColdFeeds {
    next: HashMap<u64, Instant>,
}

impl ColdFeeds {
    /// Whether a request to this server is due.
    pub fn is_due(&self, now: Instant, server: u64) -> bool {
        self.next.get(&server).is_none_or(|next| *next <= now)
    }

    /// Notes a request to this server.
    pub fn note(&mut self, now: Instant, server: u64, rate: f64) {
        let gap = 1.0 / (rate * USED_RATE).max(0.1);
        self.next.insert(server, now + std::time::Duration::from_secs_f64(gap));
    }

    /// Forgets servers that are due again.
    pub fn expire(&mut self, now: Instant) {
        self.next.retain(|_, next| *next > now);
    }
}
