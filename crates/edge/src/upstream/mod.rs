//! Connections to backend servers and single tries on them.

mod pool;
mod send;

pub use self::{
    pool::Pool,
    send::{Answer, Outgoing, Tried, send},
};
