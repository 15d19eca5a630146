//! Clocks and outgoing connections, as all programs use them.

pub mod clock;
pub mod connection;

pub use self::connection::Connection;
