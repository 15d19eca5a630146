//! Keys of the records that jasminestage keeps in the store.

use jasminestage_core::config::ChunkHash;

/// Key of the root record.
pub const ROOT_KEY: &str = "jasminestage/root";

/// Key of a chunk.
pub fn chunk_key(hash: &ChunkHash) -> String {
    format!("jasminestage/chunk/{hash}")
}

/// Prefix of the keys of the failure domains' acknowledgements.
pub const ACK_PREFIX: &str = "jasminestage/ack/";

/// Key of the acknowledgement of one failure domain.
pub fn ack_key(domain: &str) -> String {
    format!("{ACK_PREFIX}{domain}")
}
