//! Clocks and outgoing connections for all programs.

pub mod bounded;
pub mod clock;
pub mod connection;

pub use self::connection::Connection;
