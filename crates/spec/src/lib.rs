//! Formal models of the core protocol, checked exhaustively.
//!
//! Each module models one part of the protocol as a state machine of a few hosts: its transitions
//! and its invariants. `Model` of a module says which protocol mechanisms are enabled. The tests
//! show that each mechanism is needed: without it, the checker finds a counterexample.

pub mod authority;
pub mod checker;
pub mod once;
pub mod rollout;
pub mod tokens;
