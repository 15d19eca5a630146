//! Decisions of jasminestage, without input or output.
//!
//! Time, randomness and messages come in as values; effects go out as values. The same inputs give
//! the same effects. Nothing here opens a socket, reads a file, asks a clock or starts a thread,
//! and there is no global state, so many hosts can live in one process under one virtual clock.

pub mod burn;
pub mod config;
pub mod control;
pub mod crash;
pub mod declaration;
pub mod event;
pub mod explain;
pub mod host;
pub mod ini;
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
