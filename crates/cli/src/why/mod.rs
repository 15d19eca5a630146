//! Finds the cause of a request's outcome in the log lines of the hosts.

mod cause;
mod line;

pub use self::{
    cause::{Diagnosis, diagnose},
    line::{LogLine, read_log},
};
