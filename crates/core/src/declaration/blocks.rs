//! Client blocks: which region serves the clients of an address block.

use std::{collections::HashMap, net::IpAddr};

use ipnet::IpNet;

use super::RegionKey;
use crate::ini::{self, Entry};

/// A block with the number of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Block<A> {
    start: A,
    len: u8,
    region: u16,
}

/// The client blocks of one part of the declaration; regions are numbered within the part.
#[derive(Clone, Debug, Default)]
pub struct BlockPart {
    regions: Vec<String>,
    v4: Vec<Block<u32>>,
    v6: Vec<Block<u128>>,
}

/// A line that is no client block.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not an address block such as 10.0.0.0/8.")]
pub struct BadBlock(String);

impl BlockPart {
    /// Reads the lines of a chunk that holds client blocks only.
    pub fn parse(body: &str) -> Result<BlockPart, BadBlock> {
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
    pub fn push(&mut self, entry: &Entry<'_>) -> Result<(), BadBlock> {
        let net: IpNet = entry.key.parse().map_err(|_| BadBlock(entry.key.to_owned()))?;
        let region = self.number(entry.value);
        let len = net.prefix_len();
        match net.network() {
            IpAddr::V4(a) => self.v4.push(Block { start: a.to_bits(), len, region }),
            IpAddr::V6(a) => self.v6.push(Block { start: a.to_bits(), len, region }),
        }
        Ok(())
    }

    fn number(&mut self, region: &str) -> u16 {
        let known = self.regions.iter().position(|r| r == region);
        let n = known.unwrap_or_else(|| {
            self.regions.push(region.to_owned());
            self.regions.len() - 1
        });
        n as u16
    }
}

/// Client blocks in flat tables, looked up by the longest prefix.
#[derive(Clone, Debug, Default)]
pub struct ClientBlocks {
    regions: Vec<RegionKey>,
    v4: Table<u32>,
    v6: Table<u128>,
}

impl ClientBlocks {
    /// A table of all parts, or the name of a region that is not declared. Of two equal blocks the
    /// later one counts.
    pub fn build<'p>(
        parts: impl IntoIterator<Item = &'p BlockPart>,
        region_names: &HashMap<String, RegionKey>,
    ) -> Result<ClientBlocks, String> {
        let mut regions: Vec<RegionKey> = region_names.values().copied().collect();
        regions.sort_unstable();
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        for part in parts {
            let numbers = part.regions.iter().map(|name| {
                let key = region_names.get(name).ok_or_else(|| name.clone())?;
                Ok::<_, String>(regions.binary_search(key).unwrap_or_default() as u16)
            });
            let numbers: Vec<u16> = numbers.collect::<Result<_, _>>()?;
            let numbered = |region: u16| numbers[usize::from(region)];
            v4.extend(part.v4.iter().map(|b| Block { region: numbered(b.region), ..*b }));
            v6.extend(part.v6.iter().map(|b| Block { region: numbered(b.region), ..*b }));
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

    /// The region of the narrowest block that contains `client`.
    pub fn region(&self, client: IpAddr) -> Option<RegionKey> {
        let number = match client {
            IpAddr::V4(a) => self.v4.find(a.to_bits()),
            IpAddr::V6(a) => self.v6.find(a.to_bits()),
        };
        number.map(|n| self.regions[usize::from(n)])
    }
}

const NO_PARENT: u32 = u32::MAX;

/// Blocks of one address family.
///
/// The blocks are sorted by first address and, for one first address, by prefix length. Each one
/// knows the narrowest block around it, so a look-up is one binary search and a short climb.
#[derive(Clone, Debug, Default)]
struct Table<A> {
    blocks: Vec<Block<A>>,
    parents: Vec<u32>,
}

impl<A: Copy + Ord + Into<u128>> Table<A> {
    fn new(mut blocks: Vec<Block<A>>) -> Self {
        blocks.sort_by_key(|b| (b.start, b.len));
        blocks.shrink_to_fit();
        let mut parents = Vec::with_capacity(blocks.len());
        let mut open: Vec<u32> = Vec::new();
        for (n, block) in blocks.iter().enumerate() {
            while let Some(&top) = open.last() {
                if contains(&blocks[top as usize], block.start) {
                    break;
                }
                open.pop();
            }
            parents.push(open.last().copied().unwrap_or(NO_PARENT));
            open.push(n as u32);
        }
        Table { blocks, parents }
    }

    fn find(&self, address: A) -> Option<u16> {
        let after = self.blocks.partition_point(|b| b.start <= address);
        let mut at = after.checked_sub(1)? as u32;
        while at != NO_PARENT {
            let block = &self.blocks[at as usize];
            if contains(block, address) {
                return Some(block.region);
            }
            at = self.parents[at as usize];
        }
        None
    }
}

fn contains<A: Copy + Into<u128>>(block: &Block<A>, address: A) -> bool {
    let bits = 8 * size_of::<A>() as u32;
    let difference: u128 = block.start.into() ^ address.into();
    difference.checked_shr(bits - u32::from(block.len)).unwrap_or(0) == 0
}
