//! Which endpoint probably holds which part of a prompt in its cache.
//!
//! Cache events come late and with gaps, so they are hints; what this box sent where is known at
//! once. Prompts are cut into blocks, and each block's hash covers all text before it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Blocks of a prompt that are looked at.
const BLOCKS: usize = 256;

/// The leading blocks of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefix(Vec<u64>);

impl Prefix {
    /// Cuts the start of a prompt into blocks.
    pub fn of<'a>(texts: impl IntoIterator<Item = &'a str>) -> Prefix {
        let mut bytes = Vec::with_capacity(BLOCK_BYTES * 8);
        for text in texts {
            let room = (BLOCKS * BLOCK_BYTES).saturating_sub(bytes.len());
            bytes.extend_from_slice(&text.as_bytes()[..text.len().min(room)]);
        }
        let mut seed = 0;
        let hashes = bytes.chunks_exact(BLOCK_BYTES).map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        });
        Prefix(hashes.collect())
    }

    /// Number of whole blocks.
    pub fn blocks(&self) -> usize {
        self.0.len()
    }
}

/// A bounded map from blocks to the endpoints that probably hold them.
#[derive(Debug)]
pub struct Prefixes {
    holders: HashMap<u64, Vec<Arc<str>>>,
    order: VecDeque<u64>,
    capacity: usize,
}

impl Prefixes {
    /// Remembers up to `capacity` blocks.
    pub fn new(capacity: usize) -> Prefixes {
        Prefixes { holders: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// A prompt was sent to an endpoint, which will hold it soon.
    pub fn sent(&mut self, prefix: &Prefix, endpoint: &Arc<str>) {
        for block in &prefix.0 {
            self.add(*block, endpoint);
        }
    }

    /// An endpoint published that it holds a block.
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

    /// An endpoint published that it dropped a block.
    pub fn remove(&mut self, block: u64, endpoint: &str) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|name| &**name != endpoint);
        }
    }

    /// Number of leading blocks that an endpoint probably holds.
    pub fn held(&self, prefix: &Prefix, endpoint: &str) -> usize {
        let holds = |block: &&u64| {
            self.holders.get(*block).is_some_and(|names| names.iter().any(|n| &**n == endpoint))
        };
        prefix.0.iter().take_while(holds).count()
    }

    /// Endpoints that hold the longest known part, longest first, at most `most`.
    pub fn best(&self, prefix: &Prefix, most: usize) -> Vec<Arc<str>> {
        let mut found: Vec<Arc<str>> = Vec::new();
        let known = prefix.0.partition_point(|block| self.holders.contains_key(block));
        for block in prefix.0[..known].iter().rev() {
            for name in self.holders.get(block).into_iter().flatten() {
                match found.contains(name) {
                    true => {}
                    false if found.len() < most => found.push(name.clone()),
                    false => return found,
                }
            }
        }
        found
    }
}
