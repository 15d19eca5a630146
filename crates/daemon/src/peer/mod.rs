//! Other hosts of the fleet.

pub mod udp;
