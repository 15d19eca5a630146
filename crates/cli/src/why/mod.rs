//! From the id of a request to the cause of its outcome, by the log lines of the hosts.

mod cause;
mod line;

pub use self::{
    cause::{Finding, explain},
    line::{Line, read},
};
