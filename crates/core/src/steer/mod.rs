//! Steering of requests to backend servers: what one host believes and decides.
//!
//! [`control`] keeps what the store and the other hosts say and publishes a [`view::View`];
//! [`steering`] decides on single requests by that view and by what the host sees itself.

pub mod bounds;
pub mod catalog;
pub mod cold;
pub mod control;
pub mod crash;
pub mod deferred_removals;
pub mod digest;
pub mod directory;
pub mod far;
pub mod mirror;
pub mod news;
pub mod pick;
pub mod quota;
pub mod refusal;
pub mod regions;
pub mod retry;
pub mod rollout;
pub mod server;
pub mod steering;
pub mod view;

/// A stable 64-bit hash of a name or key, the same on all hosts.
pub fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed)
}

/// Maps a hash to the half-open interval from 0 to 1.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
