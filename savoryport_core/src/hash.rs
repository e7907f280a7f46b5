//! Hashes of prompts, by which servers with a cached prefix are found.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The beginning of a prompt in bytes that counts as its prefix.
const PREFIX_BYTES: usize = 64;

/// Returns a hash of a model and the beginning of a prompt.
pub fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    xxh3_64_with_seed(prefix, seed)
}
