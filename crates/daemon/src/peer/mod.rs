//! Communication with the other hosts of the fleet.

pub mod answer;
pub mod stream;
pub mod udp;
