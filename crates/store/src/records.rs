//! Names of the records that jasminestage keeps in the store.

use jasminestage_core::config::ChunkHash;

/// Key of the root record.
pub const ROOT_KEY: &str = "jasminestage/root";

/// Key of a chunk.
pub fn chunk_key(hash: &ChunkHash) -> String {
    format!("jasminestage/chunk/{hash}")
}
