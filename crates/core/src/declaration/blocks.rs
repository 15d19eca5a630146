//! Client blocks: map client addresses to regions by the longest matching prefix.

use std::{collections::HashMap, net::IpAddr};

use ipnet::IpNet;

use super::RegionKey;
use crate::ini::{self, Entry};

/// An address block with the index of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Block<A> {
    start: A,
    prefix_len: u8,
    region_index: u16,
}

/// Client blocks of one part of the declaration, with region indexes local to the part.
#[derive(Clone, Debug, Default)]
pub struct BlockPart {
    regions: Vec<String>,
    v4: Vec<Block<u32>>,
    v6: Vec<Block<u128>>,
}

/// A line whose key is not an address block.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not an address block such as 10.0.0.0/8.")]
pub struct InvalidBlock(String);

impl BlockPart {
    /// Parses a chunk that contains only client blocks.
    pub fn parse(body: &str) -> Result<BlockPart, InvalidBlock> {
        let text = format!("[clients]\n{body}");
        let (sections, _) = ini::parse(&text);
        let mut part = BlockPart::default();
        for entry in sections.iter().flat_map(|s| &s.entries) {
            part.push(entry)?;
        }
        part.v4.shrink_to_fit();
        part.v6.shrink_to_fit();
        Ok(part)
    }

    /// Adds a line `block = region`.
    pub fn push(&mut self, entry: &Entry<'_>) -> Result<(), InvalidBlock> {
        let net: IpNet = entry.key.parse().map_err(|_| InvalidBlock(entry.key.to_owned()))?;
        let region_index = self.index_of(entry.value);
        let prefix_len = net.prefix_len();
        match net.network() {
            IpAddr::V4(a) => self.v4.push(Block { start: a.to_bits(), prefix_len, region_index }),
            IpAddr::V6(a) => self.v6.push(Block { start: a.to_bits(), prefix_len, region_index }),
        }
        Ok(())
    }

    /// Index of a region, added if it is new.
    fn index_of(&mut self, region: &str) -> u16 {
        let existing = self.regions.iter().position(|r| r == region);
        let index = existing.unwrap_or_else(|| {
            self.regions.push(region.to_owned());
            self.regions.len() - 1
        });
        index as u16
    }
}

/// Client blocks of all parts, in sorted tables.
#[derive(Clone, Debug, Default)]
pub struct ClientBlocks {
    regions: Vec<RegionKey>,
    v4: Table<u32>,
    v6: Table<u128>,
}

impl ClientBlocks {
    /// Merges all parts. Fails with the name of a region that is not declared. Of two equal blocks,
    /// the later one is used.
    pub fn build<'p>(
        parts: impl IntoIterator<Item = &'p BlockPart>,
        region_names: &HashMap<String, RegionKey>,
    ) -> Result<ClientBlocks, String> {
        let mut regions: Vec<RegionKey> = region_names.values().copied().collect();
        regions.sort_unstable();
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        for part in parts {
            let indexes = part.regions.iter().map(|name| {
                let key = region_names.get(name).ok_or_else(|| name.clone())?;
                Ok::<_, String>(regions.binary_search(key).unwrap_or_default() as u16)
            });
            let indexes: Vec<u16> = indexes.collect::<Result<_, _>>()?;
            let global_index = |local: u16| indexes[usize::from(local)];
            v4.extend(
                part.v4.iter().map(|b| Block { region_index: global_index(b.region_index), ..*b }),
            );
            v6.extend(
                part.v6.iter().map(|b| Block { region_index: global_index(b.region_index), ..*b }),
            );
        }
        Ok(ClientBlocks { regions, v4: Table::new(v4), v6: Table::new(v6) })
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.v4.blocks.len() + self.v6.blocks.len()
    }

    /// Whether no block is declared.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The region of the block with the longest prefix that contains `client`.
    pub fn region(&self, client: IpAddr) -> Option<RegionKey> {
        let index = match client {
            IpAddr::V4(a) => self.v4.find(a.to_bits()),
            IpAddr::V6(a) => self.v6.find(a.to_bits()),
        };
        index.map(|n| self.regions[usize::from(n)])
    }
}

/// Marks a block that is not nested in another one.
const NO_PARENT: u32 = u32::MAX;

/// Blocks of one address family.
///
/// The blocks are sorted by first address, and then by prefix length. Each block has a link to the
/// smallest block that contains it, so that a lookup is a binary search followed by a walk along
/// these links.
#[derive(Clone, Debug, Default)]
struct Table<A> {
    blocks: Vec<Block<A>>,
    /// Index of the smallest enclosing block of each block, or [`NO_PARENT`].
    parents: Vec<u32>,
}

impl<A: Copy + Ord + Into<u128>> Table<A> {
    fn new(mut blocks: Vec<Block<A>>) -> Self {
        blocks.sort_by_key(|b| (b.start, b.prefix_len));
        blocks.shrink_to_fit();
        let mut parents = Vec::with_capacity(blocks.len());
        let mut enclosing: Vec<u32> = Vec::new();
        for (n, block) in blocks.iter().enumerate() {
            while let Some(&top) = enclosing.last() {
                if contains(&blocks[top as usize], block.start) {
                    break;
                }
                enclosing.pop();
            }
            parents.push(enclosing.last().copied().unwrap_or(NO_PARENT));
            enclosing.push(n as u32);
        }
        Table { blocks, parents }
    }

    fn find(&self, address: A) -> Option<u16> {
        let after = self.blocks.partition_point(|b| b.start <= address);
        let mut index = after.checked_sub(1)? as u32;
        while index != NO_PARENT {
            let block = &self.blocks[index as usize];
            if contains(block, address) {
                return Some(block.region_index);
            }
            index = self.parents[index as usize];
        }
        None
    }
}

fn contains<A: Copy + Into<u128>>(block: &Block<A>, address: A) -> bool {
    let bits = 8 * size_of::<A>() as u32;
    let difference: u128 = block.start.into() ^ address.into();
    difference.checked_shr(bits - u32::from(block.prefix_len)).unwrap_or(0) == 0
}
