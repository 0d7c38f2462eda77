//! Index of which endpoints probably hold which prompt prefixes in their cache.
//!
//! Cache events come late and incomplete, so they are only hints; the prompts that this box sent
//! are recorded at once. Prompts are cut into blocks, and the hash of a block covers all blocks
//! before it. Sizes of blocks are in whatever unit the caller uses: bytes of text, or tokens of a
//! named part.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 64;
/// Maximum number of blocks of a prompt that are considered.
const MAX_BLOCKS: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Block {
    /// Hash of this block and all before it.
    hash: u64,
    /// Size of this block alone.
    size: u32,
}

/// The leading blocks of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefix(Vec<Block>);

impl Prefix {
    /// Cuts the start of a prompt into blocks.
    pub fn of<'a>(texts: impl IntoIterator<Item = &'a str>) -> Prefix {
        let mut bytes = Vec::with_capacity(BLOCK_BYTES * 8);
        for text in texts {
            let remaining = (MAX_BLOCKS * BLOCK_BYTES).saturating_sub(bytes.len());
            bytes.extend_from_slice(&text.as_bytes()[..text.len().min(remaining)]);
        }
        let mut seed = 0;
        let blocks = bytes.chunks_exact(BLOCK_BYTES).map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            Block { hash: seed, size: BLOCK_BYTES as u32 }
        });
        Prefix(blocks.collect())
    }

    /// A prompt made of named parts, given as id and size of each in order.
    pub fn of_parts(parts: impl IntoIterator<Item = (u64, u32)>) -> Prefix {
        let mut seed = 0;
        let blocks = parts.into_iter().map(|(id, size)| {
            seed = xxh3_64_with_seed(&id.to_le_bytes(), seed);
            Block { hash: seed, size }
        });
        Prefix(blocks.collect())
    }

    /// Total size of the blocks.
    pub fn size(&self) -> u64 {
        self.0.iter().map(|block| u64::from(block.size)).sum()
    }

    /// Hashes of the blocks.
    pub fn hashes(&self) -> Arc<[u64]> {
        self.0.iter().map(|block| block.hash).collect()
    }

    /// Hash and size of the part that other prompts may share: all blocks but the last.
    pub fn shared(&self) -> Option<(u64, u64)> {
        let (_, shared) = self.0.split_last()?;
        let size = shared.iter().map(|block| u64::from(block.size)).sum();
        shared.last().map(|block| (block.hash, size))
    }
}

/// A bounded index from blocks to the endpoints that probably hold them.
#[derive(Debug)]
pub struct PrefixIndex {
    /// Names of endpoints by block.
    holders: HashMap<u64, Vec<Arc<str>>>,
    /// All blocks, oldest first.
    order: VecDeque<u64>,
    capacity: usize,
}

impl PrefixIndex {
    /// An empty index for up to `capacity` blocks.
    pub fn new(capacity: usize) -> PrefixIndex {
        PrefixIndex { holders: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Records a prompt that was sent to an endpoint, which will cache its blocks.
    pub fn insert(&mut self, prefix: &Prefix, endpoint: &Arc<str>) {
        for block in &prefix.0 {
            self.add(block.hash, endpoint);
        }
    }

    /// Records that an endpoint holds a block.
    pub fn add(&mut self, block: u64, endpoint: &Arc<str>) {
        let holders = self.holders.entry(block).or_insert_with(|| {
            self.order.push_back(block);
            Vec::new()
        });
        if !holders.contains(endpoint) {
            holders.push(endpoint.clone());
        }
        while self.order.len() > self.capacity {
            let oldest = self.order.pop_front();
            oldest.and_then(|block| self.holders.remove(&block));
        }
    }

    /// Whether some endpoint probably holds a block.
    pub fn is_known(&self, block: u64) -> bool {
        self.holders.get(&block).is_some_and(|holders| !holders.is_empty())
    }

    /// Records that an endpoint dropped a block.
    pub fn remove(&mut self, block: u64, endpoint: &str) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|name| &**name != endpoint);
        }
    }

    /// Size of the leading blocks that an endpoint probably holds.
    pub fn cached_size(&self, prefix: &Prefix, endpoint: &str) -> u64 {
        let holds = |block: &&Block| {
            let holders = self.holders.get(&block.hash);
            holders.is_some_and(|names| names.iter().any(|name| &**name == endpoint))
        };
        prefix.0.iter().take_while(holds).map(|block| u64::from(block.size)).sum()
    }

    /// Up to `limit` endpoints that hold the longest known prefix, longest first.
    pub fn best(&self, prefix: &Prefix, limit: usize) -> Vec<Arc<str>> {
        let mut found: Vec<Arc<str>> = Vec::new();
        let known = prefix.0.partition_point(|block| self.holders.contains_key(&block.hash));
        for block in prefix.0[..known].iter().rev() {
            for name in self.holders.get(&block.hash).into_iter().flatten() {
                match found.contains(name) {
                    true => {}
                    false if found.len() < limit => found.push(name.clone()),
                    false => return found,
                }
            }
        }
        found
    }
}
