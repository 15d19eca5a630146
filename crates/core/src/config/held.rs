//! The configuration that a host holds and hands to other hosts.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    ChunkHash, Root,
    chunk::{Chunk, Listed, read_index},
};

/// Bodies of chunks by their hash.
pub type Chunks = BTreeMap<ChunkHash, Arc<str>>;

/// A root record with the chunks that it names.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// The root record.
    pub root: Root,
    /// Index chunks and chunks of the declaration.
    pub chunks: Chunks,
}

impl Held {
    /// The chunks among `wanted` that are here.
    pub fn find(&self, wanted: &[ChunkHash]) -> Vec<Chunk> {
        let found = wanted.iter().filter_map(|hash| {
            let body = self.chunks.get(hash)?;
            Some(Chunk { hash: *hash, body: body.to_string() })
        });
        found.collect()
    }

    /// The text of the declaration, if all of its chunks are here.
    pub fn text(&self) -> Option<String> {
        let listed = resolve(&self.root, &self.chunks).ok()?;
        Some(listed.iter().map(|l| &*self.chunks[&l.hash]).collect())
    }
}

/// The declaration's chunks in order, or the hashes of what must be fetched first.
pub fn resolve(root: &Root, chunks: &Chunks) -> Result<Vec<Listed>, Vec<ChunkHash>> {
    let absent = |hashes: &mut dyn Iterator<Item = ChunkHash>| -> Vec<ChunkHash> {
        hashes.filter(|h| !chunks.contains_key(h)).collect()
    };
    let missing = absent(&mut root.index.iter().copied());
    if !missing.is_empty() {
        return Err(missing);
    }
    let listed: Vec<_> = root.index.iter().flat_map(|h| read_index(&chunks[h])).collect();
    let missing = absent(&mut listed.iter().map(|l| l.hash));
    if missing.is_empty() { Ok(listed) } else { Err(missing) }
}
