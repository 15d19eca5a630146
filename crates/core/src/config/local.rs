//! The copy of the configuration on one host, from which it also serves other hosts.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    ChunkHash, Root,
    chunk::{Chunk, IndexEntry, read_index},
};

/// Chunk bodies by hash.
pub type Chunks = BTreeMap<ChunkHash, Arc<str>>;

/// A root record with its chunks.
#[derive(Clone, Debug, Default)]
pub struct LocalConfig {
    /// The root record.
    pub root: Root,
    /// Index chunks and chunks of the declaration.
    pub chunks: Chunks,
}

impl LocalConfig {
    /// Returns those of the `wanted` chunks that are available.
    pub fn find(&self, wanted: &[ChunkHash]) -> Vec<Chunk> {
        let found = wanted.iter().filter_map(|hash| {
            let body = self.chunks.get(hash)?;
            Some(Chunk { hash: *hash, body: body.to_string() })
        });
        found.collect()
    }

    /// The declaration's text, if all of its chunks are available.
    pub fn text(&self) -> Option<String> {
        let listed = resolve_chunks(&self.root, &self.chunks).ok()?;
        Some(listed.iter().map(|l| &*self.chunks[&l.hash]).collect())
    }
}

/// The declaration's chunks in order, or the hashes of missing chunks to fetch: those of the
/// index chunks or, once these are available, of the chunks that they list.
pub fn resolve_chunks(root: &Root, chunks: &Chunks) -> Result<Vec<IndexEntry>, Vec<ChunkHash>> {
    let find_missing = |hashes: &mut dyn Iterator<Item = ChunkHash>| -> Vec<ChunkHash> {
        hashes.filter(|h| !chunks.contains_key(h)).collect()
    };
    let missing = find_missing(&mut root.index.iter().copied());
    if !missing.is_empty() {
        return Err(missing);
    }
    let listed: Vec<_> = root.index.iter().flat_map(|h| read_index(&chunks[h])).collect();
    let missing = find_missing(&mut listed.iter().map(|l| l.hash));
    if missing.is_empty() { Ok(listed) } else { Err(missing) }
}
