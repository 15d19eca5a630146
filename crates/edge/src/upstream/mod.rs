//! Connections to backend servers and attempts of requests on them.

mod pool;
mod send;

pub use self::{
    pool::Pool,
    send::{AttemptResult, OutgoingRequest, ServerResponse, send},
};
