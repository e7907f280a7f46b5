//! Decides whether a node's configuration is recent enough to accept the keys in it.
//!
//! Load pattern: a key is withdrawn while a node is cut off from the store, suspended, or follows a
//! leader that is. Such a node cannot know of it, so it stops accepting keys before the time is over
//! within which a withdrawn key must stop working.

use std::time::{Duration, Instant};

/// The share of the time limit after which keys are no longer accepted. The rest covers the
/// inaccuracy of clocks.
const USABLE_SHARE: f64 = 0.9;

/// The latest moment as of which a node's configuration is known to have been the newest one. All
/// moments are those of a clock that counts suspensions.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigAge {
    current_at: Option<Instant>,
}

impl ConfigAge {
    /// Records that the configuration in force was the newest one at a moment.
    pub fn confirm(&mut self, current_at: Instant) {
        self.current_at = self.current_at.max(Some(current_at));
    }

    /// Returns the time since the configuration in force was known to be the newest one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether the keys of the configuration may be accepted, where a withdrawn key must
    /// stop working within `limit`.
    pub fn allows_keys(&self, limit: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < limit.mul_f64(USABLE_SHARE))
    }
}
