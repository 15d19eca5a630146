//! The records that jasminestage keeps in the platform's store: the declaration and what the failure
//! domains have acknowledged.

pub mod client;
pub mod records;

pub use self::{
    client::{Client, Observer, Options, StoreError, Versioned},
    records::{ACK_PREFIX, ROOT_KEY, ack_key, chunk_key},
};
