//! The decision logic of jasminestage, without input or output.
//!
//! Time, randomness and messages are passed in as values, and effects are returned as values. The
//! same inputs give the same effects. The crate opens no sockets, reads no files or clocks, starts
//! no threads and has no global state, so that a simulation can run many hosts in one process with
//! one virtual clock.

pub mod burn;
pub mod config;
pub mod connections;
pub mod control;
pub mod crash;
pub mod declaration;
pub mod event;
pub mod explain;
pub mod host;
pub mod ini;
pub mod intake;
pub mod lookup;
pub mod member;
pub mod once;
pub mod peer;
pub mod rate;
pub mod result;
pub mod rollout;
pub mod route;
pub mod steer;
pub mod time;
pub mod traffic;
pub mod usage;
pub mod view;
