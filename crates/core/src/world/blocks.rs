//! Client blocks: which region serves the clients of an address block.

use std::net::IpAddr;

use ipnet::IpNet;

use super::RegionKey;

/// Client blocks in a flat table, looked up by the longest prefix.
///
/// The blocks are sorted by first address and, for one first address, by prefix length. Each
/// entry knows the narrowest block around it, so a look-up is one binary search and a short climb.
#[derive(Clone, Debug, Default)]
pub struct ClientBlocks {
    entries: Vec<BlockEntry>,
}

#[derive(Clone, Debug)]
struct BlockEntry {
    net: IpNet,
    region: RegionKey,
    parent: u32,
}

const NO_PARENT: u32 = u32::MAX;

impl ClientBlocks {
    /// A table of `blocks`; of two equal blocks the later one counts.
    pub fn new(mut blocks: Vec<(IpNet, RegionKey)>) -> Self {
        blocks.sort_by_key(|(net, _)| (net.network(), net.prefix_len()));
        let mut entries: Vec<BlockEntry> = Vec::with_capacity(blocks.len());
        let mut open: Vec<u32> = Vec::new();
        for (net, region) in blocks {
            while let Some(&top) = open.last() {
                if entries[top as usize].net.contains(&net) {
                    break;
                }
                open.pop();
            }
            let parent = open.last().copied().unwrap_or(NO_PARENT);
            open.push(entries.len() as u32);
            entries.push(BlockEntry { net: net.trunc(), region, parent });
        }
        ClientBlocks { entries }
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no block is declared.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The region of the narrowest block that contains `client`.
    pub fn region(&self, client: IpAddr) -> Option<RegionKey> {
        let after = self.entries.partition_point(|e| e.net.network() <= client);
        let mut at = after.checked_sub(1)? as u32;
        while at != NO_PARENT {
            let entry = &self.entries[at as usize];
            if entry.net.contains(&client) {
                return Some(entry.region);
            }
            at = entry.parent;
        }
        None
    }
}
