//! Messages between hosts on the wire: postcard, sealed with a keyed hash, with replay protection.

pub mod replay;
pub mod seal;

pub use self::{
    replay::ReplayWindow,
    seal::{FleetKey, Opened, WireError, open, seal},
};
