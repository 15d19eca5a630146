//! Wire format of messages between hosts: postcard with an HMAC and replay protection.

pub mod frame;
pub mod keys;
pub mod nonces;
pub mod replay;

pub use self::{
    frame::{DecodedFrame, Header, Nonce, WireError, decode_frame, encode_frame},
    keys::{FleetKey, Purpose},
    nonces::{Datagram, NonceExchange},
    replay::ReplayWindow,
};
