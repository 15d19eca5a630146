//! Decisions of the steering core, driven by plain values.

mod common;
mod control;
mod crash;
mod directory;
mod far;
mod lapse;
mod mirror;
mod news;
mod pick;
mod quota;
mod regions;
mod retry;
mod rollout;
mod steering;
