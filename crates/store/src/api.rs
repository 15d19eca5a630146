//! Bodies of the etcd v3 JSON API, as far as they are used.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, base64::Base64, serde_as};

/// A key with its value and version.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// Revision of the store at which the value was written.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
}

/// Body of `/v3/kv/range`.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty for one key.
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
}

/// Answer of `/v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The keys found.
    pub kvs: Vec<KeyValue>,
}

/// A comparison of a transaction; only the version of a key is compared.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// `EQUAL`.
    pub result: String,
    /// `MOD`.
    pub target: String,
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// The version it must have; 0 when it must not exist.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
}

/// A write inside a transaction.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// Lease that the key hangs on; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// An operation inside a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RequestOp {
    /// A write.
    #[serde(rename = "requestPut", skip_serializing_if = "Option::is_none")]
    pub put: Option<PutRequest>,
}

/// Body of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// What is done when they hold.
    pub success: Vec<RequestOp>,
}

/// Answer of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Whether the conditions held.
    pub succeeded: bool,
}

/// Body of `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreate,
}

/// A watch on a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty for one key.
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    /// Store revision from which changes are wanted; 0 for now.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: u64,
}

/// One line of the answer of `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    /// What happened.
    pub result: WatchResult,
}

/// Changes reported by a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// The changes in order.
    pub events: Vec<WatchEvent>,
}

/// One change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// The key after the change.
    pub kv: KeyValue,
}
