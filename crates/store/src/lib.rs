//! Client for the records that jasminestage keeps in the platform's key-value store: the declaration
//! and the acknowledgements of the failure domains.

pub mod client;
pub mod records;

pub use self::{
    client::{Client, ClientOptions, Observer, StoreError, Versioned},
    records::{ACK_PREFIX, ROOT_KEY, ack_key, chunk_key},
};
