//! Tests of the steering decisions, without input or output.

mod common;
mod control;
mod crash;
mod deferred_removals;
mod directory;
mod far;
mod mirror;
mod news;
mod pick;
mod quota;
mod regions;
mod retry;
mod rollout;
mod steering;
