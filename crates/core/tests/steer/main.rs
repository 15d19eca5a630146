//! Tests of the steering decisions, without input or output.

mod common;
mod control;
mod cost;
mod crash;
mod deferred_removals;
mod directory;
mod exchange;
mod leaving;
mod limits;
mod mirror;
mod pick;
mod quota;
mod region_summaries;
mod regions;
mod restored_store;
mod retry;
mod rollout;
mod server_changes;
mod server_table;
mod steering;
mod store_reads;
mod usage;
mod verdict;
