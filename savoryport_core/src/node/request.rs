//! The decoded head of a caller's request.

use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// A part of a prompt, which other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The id that equal parts have in common.
    pub id: u64,
    /// The length of the part, in tokens.
    pub tokens: u32,
}

/// A request to a model engine to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// The model's name.
    pub model: Name,
    /// The adapter's name, if the request uses one.
    pub adapter: Option<Name>,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The largest number of tokens to generate.
    pub output_tokens: u32,
    /// Whether the request states these numbers.
    pub states_tokens: bool,
    /// The prompt's parts in order; the last one is specific to the request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
}

/// For each part of a prompt, the key of the prefix that ends with it and the prefix's length in
/// tokens.
pub type PrefixKeys = SmallVec<[(u64, u32); 4]>;

impl Generation {
    /// Returns the sum of the tokens that the request states, if it does.
    pub fn stated_tokens(&self) -> Option<u64> {
        self.states_tokens.then(|| u64::from(self.prompt_tokens) + u64::from(self.output_tokens))
    }

    /// Returns the key and the length of each prefix. A cached part is only of use to the same
    /// model and adapter, and only after the same preceding parts, so each key is a hash of all of
    /// these.
    pub fn prefix_keys(&self) -> PrefixKeys {
        let adapter = self.adapter.as_deref().unwrap_or_default();
        let seed = xxh3_64_with_seed(self.model.as_bytes(), 0);
        let mut key = xxh3_64_with_seed(adapter.as_bytes(), seed);
        let mut tokens = 0;
        self.parts
            .iter()
            .map(|part| {
                key = xxh3_64_with_seed(&part.id.to_le_bytes(), key);
                tokens = u32::saturating_add(tokens, part.tokens);
                (key, tokens)
            })
            .collect()
    }
}

/// The head of a caller's request, apart from what determines its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of the caller's attempt.
    pub id: Name,
    /// The time for which the caller waits for the response, if it said so.
    pub deadline: Option<Duration>,
    /// The generation that is asked for, where the request is for a model.
    pub generation: Option<Generation>,
    /// The id of the last event that the caller received of an earlier stream.
    pub last_event_id: Option<u64>,
    /// The id of the caller's attempt that brought the first event of that stream, if the caller
    /// names it.
    pub resumes: Option<Name>,
}
