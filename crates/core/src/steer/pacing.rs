//! Rate bounds of single servers, which hold for the requests of all hosts together.
//!
//! A server sustains only a low rate while it is cold, or states in its responses the rate that it
//! takes from all hosts. A few hosts of its region send it requests, and each of them keeps to an
//! equal part of the rate. Without state of each other, hosts agree on the senders by rendezvous
//! hashing over the reachable hosts.

use std::{collections::HashMap, time::Duration};

use super::stable_hash;
use crate::time::Instant;

/// Fraction of a cold server's sustainable rate that is used. The rest covers times in which two
/// hosts are senders, because they reach different hosts.
const USED_COLD_RATE_FRACTION: f64 = 0.6;
/// Smallest rate of requests to a cold server, per second.
const MIN_COLD_RATE: f64 = 0.1;
/// Smallest rate of requests to a limited server, per second, so that hosts notice when the limit has
/// ended.
const MIN_LIMITED_RATE: f64 = 0.4;
/// Part of a limit that is worth a sender of its own, in requests per second.
const LIMIT_PER_SENDER: f64 = 1.0;
/// Largest limit that is calculated with, in requests per second; a host sends far fewer.
const MAX_LIMIT: f64 = 1e6;
/// Requests that all senders of a limited server together may send at once after a pause, and further
/// ones for each request per second of the limit. With the rate of the limit, they stay below one and
/// a half times the limit, plus 5, in any 4 s, also while two sets of senders overlap for a moment.
const LIMITED_BURST: f64 = 3.0;
const LIMITED_BURST_PER_RATE: f64 = 1.2;

/// Rate bound of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    /// Requests per second of all senders together.
    rate: f64,
    /// Number of hosts that send requests to the server.
    senders: usize,
    /// Requests that all senders together may send at once.
    burst: f64,
}

impl RateBound {
    /// Bound of a cold server that sustains `rate` requests per second.
    pub fn of_cold_server(rate: f64) -> Self {
        let rate = (rate * USED_COLD_RATE_FRACTION).max(MIN_COLD_RATE);
        RateBound { rate, senders: 1, burst: 1.0 }
    }

    /// Bound of a server that takes `limit` requests per second from all hosts together.
    pub fn of_limited_server(limit: f64) -> Self {
        let limit = limit.min(MAX_LIMIT);
        let senders = (limit / LIMIT_PER_SENDER).max(1.0) as usize;
        let burst = LIMITED_BURST + LIMITED_BURST_PER_RATE * limit;
        RateBound { rate: limit.max(MIN_LIMITED_RATE), senders, burst }
    }

    /// The bound that satisfies both.
    pub fn stricter(self, other: RateBound) -> Self {
        RateBound {
            rate: self.rate.min(other.rate),
            senders: self.senders.min(other.senders),
            burst: self.burst.min(other.burst),
        }
    }

    /// The same bound if there are only so many hosts that can send.
    pub fn among(self, hosts: usize) -> Self {
        RateBound { senders: self.senders.min(hosts.max(1)), ..self }
    }

    /// Whether `host` is one of the senders, if `others` are the other hosts that can be.
    pub fn is_sender(&self, server: u64, host: u64, others: impl Iterator<Item = u64>) -> bool {
        let weight = |host: u64| stable_hash(server, &host.to_le_bytes());
        let own_weight = weight(host);
        others.filter(|other| weight(*other) > own_weight).take(self.senders).count() < self.senders
    }

    /// Time between two requests of one sender.
    fn interval(&self) -> Duration {
        Duration::from_secs_f64(self.senders as f64 / self.rate)
    }
}

/// Spaces this host's requests to each server with a rate bound.
#[derive(Clone, Debug, Default)]
pub struct ServerPacer {
    /// Time at which a sender without a burst may send its next request, by the hash of the server's
    /// id.
    next_request_at: HashMap<u64, Instant>,
}

impl ServerPacer {
    /// Returns when the next request may be sent to this server.
    pub fn next_request_at(&self, server: u64, bound: &RateBound) -> Instant {
        let next_at = self.next_request_at.get(&server).copied().unwrap_or(Instant::ZERO);
        let own_burst = bound.burst / bound.senders as f64;
        next_at - bound.interval().mul_f64((own_burst - 1.0).max(0.0))
    }

    /// Delays the next requests to this server.
    pub fn record_request(&mut self, now: Instant, server: u64, bound: &RateBound) {
        let next_at = self.next_request_at.entry(server).or_insert(now);
        *next_at = now.max(*next_at) + bound.interval();
    }

    /// Removes the servers that have not been delayed.
    pub fn expire(&mut self, now: Instant) {
        self.next_request_at.retain(|_, at| *at > now);
    }
}
