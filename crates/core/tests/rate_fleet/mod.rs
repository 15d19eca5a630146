//! Simulated fleet of rate limiters in one process with virtual time, for tests and examples.

#![allow(dead_code, reason = "each test and example uses a part of it")]

pub mod bound;
pub mod fleet;
pub mod layout;
pub mod load;
pub mod policy;
