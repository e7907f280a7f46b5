//! The `key` commands, which make the keys of teams and the digests that the table holds of them.

use std::fmt::Write as _;
use std::io::Read;

use savoryport_core::node::team::MAX_KEY_BYTES;
use savoryport_core::table::KeyDigest;

use super::CliError;

/// Makes a key of 256 random bits. It is kept nowhere.
pub fn new() -> String {
    let bytes: [u8; 32] = rand::random();
    let mut key = String::with_capacity(64);
    for byte in bytes {
        let _ = write!(key, "{byte:02x}");
    }
    format!("key: {key}\ndigest: {}", KeyDigest::of(&key))
}

/// Returns the digest of the key on standard input. Arguments of a process are visible to others.
///
/// # Errors
///
/// Returns an error if there is no key, or one that is too long.
pub fn digest() -> Result<String, CliError> {
    let mut text = String::new();
    let read = std::io::stdin().take(MAX_KEY_BYTES as u64 + 2).read_to_string(&mut text);
    let key = text.trim_end_matches(['\r', '\n']);
    if read.is_err() || key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("give a key of 1 to {MAX_KEY_BYTES} bytes on standard input");
        return Err(CliError::Refused(message));
    }
    Ok(KeyDigest::of(key).to_string())
}
