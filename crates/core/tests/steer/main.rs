//! Decisions of the steering core, driven by plain values.

mod common;
mod control;
mod crash;
mod directory;
mod lapse;
mod mirror;
mod pick;
mod quota;
mod region_summaries;
mod regions;
mod retry;
mod rollout;
mod server_changes;
mod steering;
