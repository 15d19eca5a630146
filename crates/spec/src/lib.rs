//! A small specification of the core protocol, explored exhaustively.
//!
//! Each module is one part of the protocol as a state machine of a few hosts: what may happen next,
//! and what must never be seen. `Rules` of a module says which of its mechanisms are in place; the
//! tests show that every one of them is needed, by the shortest counterexample without it.

pub mod authority;
pub mod checker;
pub mod once;
pub mod rollout;
pub mod tokens;
