//! Test doubles of the platform and the backend servers, for tests and the demo only.

pub mod backend;
pub mod fleet;
pub mod forwarder;
pub mod metrics;
pub mod process;
pub mod serve;
