//! Messages between hosts on the wire: postcard, sealed with a keyed hash, with replay protection.

pub mod keys;
pub mod links;
pub mod replay;
pub mod seal;

pub use self::{
    keys::{FleetKey, Purpose},
    links::{Datagram, Links},
    replay::ReplayWindow,
    seal::{Header, Nonce, Opened, WireError, open, seal},
};
