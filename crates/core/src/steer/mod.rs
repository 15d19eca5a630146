//! Routing of requests to backend servers: the state and the decisions of one host.
//!
//! [`control`] collects the state from the store and from other hosts and publishes it as a
//! [`view::View`]; [`steering`] decides on single requests by that view and by the host's own
//! measurements.

pub mod admitted;
pub mod bounds;
pub mod catalog;
pub mod control;
pub mod cost;
pub mod deferred_removals;
pub mod digest;
pub mod directory;
pub mod exchange;
pub mod leaving;
pub mod limits;
pub mod mirror;
pub mod pacing;
pub mod pick;
pub mod position;
pub mod quota;
pub mod refusal;
pub mod region_summaries;
pub mod regions;
pub mod retention;
pub mod retry;
pub mod rollout;
pub mod server;
pub mod server_changes;
pub mod server_table;
pub mod steering;
pub mod store_reads;
pub mod usage;
pub mod view;

/// Computes a stable 64-bit hash of a name or key, identical on all hosts.
pub fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed)
}

/// Maps a hash to the half-open interval [0, 1).
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
