//! Hashes of prompt prefixes, used to find servers that have a prefix in their cache.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of bytes at the beginning of a prompt that form its prefix.
const PREFIX_BYTES: usize = 64;

/// Returns a hash of a model name and a prompt's prefix.
pub fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    xxh3_64_with_seed(prefix, seed)
}
