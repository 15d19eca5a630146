//! Splitting a declaration into chunks that fit one value of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Largest chunk in bytes; the platform's service holds values up to a megabyte.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// SHA-256 of a chunk's body.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ChunkHash(pub [u8; 32]);

impl ChunkHash {
    /// Hash of a body.
    pub fn of(body: &str) -> Self {
        ChunkHash(Sha256::digest(body.as_bytes()).into())
    }
}

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkHash({self})")
    }
}

/// A text that is not a chunk's hash.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{0}' is not 64 hexadecimal digits.")]
pub struct BadChunkHash(String);

impl std::str::FromStr for ChunkHash {
    type Err = BadChunkHash;

    fn from_str(text: &str) -> Result<Self, BadChunkHash> {
        let mut out = [0; 32];
        hex::decode_to_slice(text, &mut out).map_err(|_| BadChunkHash(text.to_owned()))?;
        Ok(ChunkHash(out))
    }
}

/// Splits a declaration at line ends.
pub fn split(text: &str) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut rest = text;
    while rest.len() > MAX_CHUNK_BYTES {
        let mut limit = MAX_CHUNK_BYTES;
        while !rest.is_char_boundary(limit) {
            limit -= 1;
        }
        let cut = rest[..limit].rfind('\n').map_or(limit, |at| at + 1);
        let (chunk, tail) = rest.split_at(cut);
        chunks.push(chunk);
        rest = tail;
    }
    if !rest.is_empty() {
        chunks.push(rest);
    }
    chunks
}

/// The declaration that `bodies` were split from.
pub fn join(bodies: &[String]) -> String {
    bodies.concat()
}

/// A root record or chunk as it is sent between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Hash of the body.
    pub hash: ChunkHash,
    /// Part of the declaration's text.
    pub body: String,
}
