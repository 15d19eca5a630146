//! Splits a declaration into content-defined chunks, each small enough for one value of the store.
//!
//! The concatenated chunks are the text, byte for byte. Chunk boundaries depend on the content of
//! single lines, as in the low-bandwidth file system (Muthitacharoen, Chen and Mazières 2001), so
//! that a changed line changes only its own chunk. Client blocks have chunks of their own.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Maximum chunk size; only a chunk of one longer line exceeds it.
pub const MAX_CHUNK_BYTES: usize = 32 * 1024;
/// Mean number of sections in a chunk.
const MEAN_SECTIONS_PER_CHUNK: u32 = 16;
/// Mean number of client blocks in a chunk.
const MEAN_BLOCKS_PER_CHUNK: u32 = 128;
/// Mean number of chunks that an index chunk lists.
const MEAN_CHUNKS_PER_INDEX: u32 = 64;
/// Heading of the section with the client blocks.
const CLIENTS_HEADING: &str = "clients";

/// SHA-256 of a chunk's body.
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ChunkHash(pub [u8; 32]);

impl ChunkHash {
    /// Hash of a body.
    pub fn of(body: &str) -> Self {
        ChunkHash(Sha256::digest(body.as_bytes()).into())
    }

    /// Whether this hash marks a chunk boundary, as one in `mean` hashes does.
    fn is_boundary(&self, mean: u32) -> bool {
        let [a, b, c, d, ..] = self.0;
        u32::from_be_bytes([a, b, c, d]).is_multiple_of(mean)
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

/// A chunk hash that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{0}' is not a chunk hash: 64 hexadecimal digits are expected.")]
pub struct ParseChunkHashError(String);

impl std::str::FromStr for ChunkHash {
    type Err = ParseChunkHashError;

    fn from_str(text: &str) -> Result<Self, ParseChunkHashError> {
        let mut out = [0; 32];
        hex::decode_to_slice(text, &mut out).map_err(|_| ParseChunkHashError(text.to_owned()))?;
        Ok(ChunkHash(out))
    }
}

/// A chunk as it is sent between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Hash of the body.
    pub hash: ChunkHash,
    /// Part of the declaration's text, or the lines of an index chunk.
    pub body: String,
}

/// Kind of the content of a declaration chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkKind {
    /// Sections other than client blocks.
    Sections,
    /// Client blocks only.
    Blocks,
}

impl ChunkKind {
    const fn letter(self) -> char {
        match self {
            ChunkKind::Sections => 's',
            ChunkKind::Blocks => 'b',
        }
    }
}

/// One line of an index chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    /// Kind of the chunk's content.
    pub kind: ChunkKind,
    /// Hash of the chunk.
    pub hash: ChunkHash,
}

/// A declaration split into chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SplitDeclaration<'a> {
    /// Bodies of the chunks, in order.
    pub bodies: Vec<&'a str>,
    /// Bodies of the index chunks, in order.
    pub index: Vec<String>,
}

/// Splits a declaration; the concatenated bodies are its text.
pub fn split(text: &str) -> SplitDeclaration<'_> {
    let parts = split_chunks(text);
    let mut index = Vec::new();
    let mut lines = String::new();
    for (kind, body) in &parts {
        let hash = ChunkHash::of(body);
        lines.push_str(&format!("{} {hash}\n", kind.letter()));
        if hash.is_boundary(MEAN_CHUNKS_PER_INDEX) || lines.len() > MAX_CHUNK_BYTES {
            index.push(std::mem::take(&mut lines));
        }
    }
    if !lines.is_empty() {
        index.push(lines);
    }
    SplitDeclaration { bodies: parts.into_iter().map(|(_, body)| body).collect(), index }
}

/// Parses an index chunk, skipping invalid lines.
pub fn read_index(body: &str) -> Vec<IndexEntry> {
    let parse_line = |line: &str| {
        let (letter, hash) = line.split_once(' ')?;
        let kind = match letter {
            "s" => ChunkKind::Sections,
            "b" => ChunkKind::Blocks,
            _ => return None,
        };
        Some(IndexEntry { kind, hash: hash.parse().ok()? })
    };
    body.lines().filter_map(parse_line).collect()
}

fn split_chunks(text: &str) -> Vec<(ChunkKind, &str)> {
    let mut parts = Vec::new();
    let (mut start, mut at) = (0, 0);
    let mut kind = ChunkKind::Sections;
    for line in text.split_inclusive('\n') {
        let next_kind = kind_at_line(kind, line);
        let is_full = at - start + line.len() > MAX_CHUNK_BYTES;
        if at > start && (next_kind != kind || is_full || is_boundary(kind, line)) {
            parts.push((kind, &text[start..at]));
            start = at;
        }
        kind = next_kind;
        at += line.len();
    }
    if at > start {
        parts.push((kind, &text[start..at]));
    }
    parts
}

fn kind_at_line(kind: ChunkKind, line: &str) -> ChunkKind {
    let Some(heading) = line.trim().strip_prefix('[') else { return kind };
    match heading.trim_end_matches(']').trim() {
        CLIENTS_HEADING => ChunkKind::Blocks,
        _ => ChunkKind::Sections,
    }
}

fn is_boundary(kind: ChunkKind, line: &str) -> bool {
    match kind {
        ChunkKind::Blocks => ChunkHash::of(line).is_boundary(MEAN_BLOCKS_PER_CHUNK),
        ChunkKind::Sections => {
            line.starts_with('[') && ChunkHash::of(line).is_boundary(MEAN_SECTIONS_PER_CHUNK)
        }
    }
}
