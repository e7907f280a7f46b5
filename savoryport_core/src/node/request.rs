//! A caller's request, once its head is decoded.

use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request asks of a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// The model.
    pub model: Name,
    /// The adapter, if the request names one.
    pub adapter: Option<Name>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that it generates.
    pub output_tokens: u32,
    /// The prompt's parts in order; the last belongs to the request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
}

/// A prompt's beginning up to one of its parts, as one number for each part.
pub type PrefixKeys = SmallVec<[(u64, u32); 4]>;

impl Generation {
    /// Returns a key and the tokens up to there for each part. Caches keep a part for one model and
    /// adapter, and only with all parts before it, so the keys are chained from both.
    pub fn prefix_keys(&self) -> PrefixKeys {
        let adapter = self.adapter.as_deref().unwrap_or_default();
        let seed = xxh3_64_with_seed(self.model.as_bytes(), 0);
        let mut key = xxh3_64_with_seed(adapter.as_bytes(), seed);
        let mut tokens = 0;
        self.parts
            .iter()
            .map(|part| {
                key = xxh3_64_with_seed(&part.id.to_le_bytes(), key);
                tokens += part.tokens;
                (key, tokens)
            })
            .collect()
    }
}

/// What the head of a caller's request says, apart from its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of this attempt of the caller.
    pub id: Name,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Set where a model is asked.
    pub generation: Option<Generation>,
    /// The last event that the caller has of an earlier stream.
    pub last_event_id: Option<u64>,
}
