//! Which connections of clients a host keeps when its descriptors or its memory for connections get
//! short, and which ones are too slow.
//!
//! Each port has its own [`Intake`], so that clients of one port cannot use up what another needs.
//! The layer around reports what happens on each connection and closes those that are returned.

mod limits;
mod table;

pub use self::{
    limits::{
        IntakeLimits, OpenConnections, PortShare, ServerConnection, grant_server_connection,
        lent_to_servers,
    },
    table::{Activity, CloseReason, ConnectionKey, Intake, SlowLimits},
};
