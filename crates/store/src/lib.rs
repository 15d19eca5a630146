//! Client of the platform's key-value service.
//!
//! The service is met by the JSON form of the etcd v3 API (`/v3/kv/range`, `/v3/kv/txn`,
//! `/v3/watch`), with keys and values in base64 and 64-bit numbers as strings.

pub mod api;
pub mod client;
pub mod records;

pub use self::{
    client::{Client, Observer, Options, StoreError, Versioned},
    records::{ACK_PREFIX, ROOT_KEY, ack_key, chunk_key},
};
