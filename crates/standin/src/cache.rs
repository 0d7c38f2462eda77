//! A bounded prefix cache of prompt blocks; it evicts the least recently used first.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a block, in bytes of the prompt.
pub const BLOCK_BYTES: usize = 64;

/// Hashes of the complete blocks of a prompt; each covers the prompt up to the block's end.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}

/// Cached blocks, by hash.
#[derive(Debug, Default)]
pub struct Cache {
    capacity: usize,
    /// Number of inserts so far.
    inserts: u64,
    /// Blocks, each with the number of the last insert that contained it.
    blocks: BTreeMap<u64, u64>,
}

impl Cache {
    /// A cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Cache {
        Cache { capacity, ..Cache::default() }
    }

    /// Number of leading blocks of a prompt that are cached.
    pub fn hits(&self, prompt: &[u64]) -> usize {
        prompt.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// Adds a prompt's blocks; returns those added and those evicted.
    pub fn insert(&mut self, prompt: &[u64]) -> (Vec<u64>, Vec<u64>) {
        self.inserts += 1;
        let mut added = Vec::new();
        for block in prompt {
            if self.blocks.insert(*block, self.inserts).is_none() {
                added.push(*block);
            }
        }
        let mut evicted = Vec::new();
        if self.blocks.len() > self.capacity {
            let mut by_last_use: Vec<(u64, u64)> =
                self.blocks.iter().map(|(block, last_insert)| (*last_insert, *block)).collect();
            by_last_use.sort_unstable();
            let excess = self.blocks.len() - self.capacity * 9 / 10;
            evicted = by_last_use.into_iter().take(excess).map(|(_, block)| block).collect();
            for block in &evicted {
                self.blocks.remove(block);
            }
        }
        (added, evicted)
    }
}
