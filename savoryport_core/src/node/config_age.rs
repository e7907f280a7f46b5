//! Decides whether a node's configuration is recent enough to accept the keys in it.
//!
//! Load pattern: a key is withdrawn while a node is cut off from the store, suspended, or follows a
//! leader that is. Such a node cannot know of it, so it stops accepting keys before the time is over
//! within which a withdrawn key must stop working. A store that was restored from an older copy still
//! has the key, so a node that restarts then must not take the store's word before other nodes can
//! have told it of a newer configuration.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The share of the time limit after which keys are no longer accepted. The rest covers the
/// inaccuracy of clocks.
const USABLE_SHARE: f64 = 0.9;

/// The era of a store that has never gone back to an older copy.
const FIRST_ERA: u64 = 1;

/// For how long a leader of a store that went back listens to other nodes before it takes the store's
/// configuration for the newest one. Followers that failed to reach the store find a new leader
/// within 2 s and call it every 0.3 s.
pub const PEER_GRACE: Duration = Duration::from_millis(2_500);

/// One reading of the store's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReading {
    /// When the store was asked.
    pub asked_at: Instant,
    /// The version in force after the reading.
    pub version: u64,
    /// The number of the store's history, which rises when it goes back to a copy; 0 if it does not
    /// tell. Such a store says of itself that it loses nothing.
    pub era: u64,
    /// Whether the node leads a failure domain, so that other nodes call it.
    pub is_leader: bool,
}

/// What a node knows of the age of its configuration, for other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAgeReport {
    /// The time since its configuration was known to be the newest one, in milliseconds.
    pub age_ms: u64,
    /// The era of the store that it trusts.
    pub era: Option<u64>,
}

/// The latest moment as of which a node's configuration is known to have been the newest one. All
/// moments are those of a clock that counts suspensions.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigAge {
    current_at: Option<Instant>,
    /// The newest version that another node has said to have.
    newest_version: u64,
    /// The newest era of the store in which other nodes had the time to object.
    trusted_era: Option<u64>,
    /// Since when this node leads in an era that is not trusted yet.
    leading_since: Option<(u64, Instant)>,
}

impl ConfigAge {
    /// Takes over what a reading of the store tells. It tells nothing if another node has a newer
    /// version, or may still report one that the store has lost.
    pub fn confirm_by_store(&mut self, reading: StoreReading) {
        if self.trusts(reading) && reading.version >= self.newest_version {
            self.confirm(reading.asked_at);
        }
    }

    fn trusts(&mut self, StoreReading { asked_at, era, is_leader, .. }: StoreReading) -> bool {
        if era <= FIRST_ERA || self.trusted_era == Some(era) {
            return true;
        }
        if !is_leader {
            self.leading_since = None;
            return false;
        }
        let since = match self.leading_since {
            Some((known, since)) if known == era => since,
            _ => asked_at,
        };
        self.leading_since = Some((era, since));
        let had_time = asked_at.saturating_duration_since(since) >= PEER_GRACE;
        if had_time {
            self.trusted_era = Some(era);
        }
        had_time
    }

    /// Takes over what another node knows, which was asked at `asked_at`, has the version
    /// `their_version` and reports its age. It tells nothing if either node lacks the newest version
    /// that is known.
    pub fn confirm_by_peer(
        &mut self,
        own_version: u64,
        their_version: u64,
        report: Option<ConfigAgeReport>,
        asked_at: Instant,
    ) {
        self.record_caller(own_version, their_version, report.and_then(|report| report.era));
        let newest = self.newest_version.max(own_version);
        let both_newest = own_version >= newest && their_version >= newest;
        let Some(report) = report.filter(|_| both_newest) else { return };
        if let Some(current_at) = asked_at.checked_sub(Duration::from_millis(report.age_ms)) {
            self.confirm(current_at);
        }
    }

    /// Takes over what a calling node has: a version, and the era of the store that it trusts. How old
    /// its knowledge is when it arrives is not known.
    pub fn record_caller(&mut self, own_version: u64, their_version: u64, era: Option<u64>) {
        self.newest_version = self.newest_version.max(their_version);
        if own_version >= self.newest_version {
            self.trusted_era = self.trusted_era.max(era);
        }
    }

    /// Returns the newest era of the store in which other nodes had the time to object to its
    /// configuration.
    pub fn trusted_era(&self) -> Option<u64> {
        self.trusted_era
    }

    fn confirm(&mut self, current_at: Instant) {
        self.current_at = self.current_at.max(Some(current_at));
    }

    /// Returns the time since the configuration in force was known to be the newest one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns what other nodes may take over.
    pub fn report(&self, now: Instant) -> Option<ConfigAgeReport> {
        // Rounded up, so that the other node does not take it for more recent than it is.
        let age_ms = u64::try_from(self.age(now)?.as_millis()).ok()?.saturating_add(1);
        Some(ConfigAgeReport { age_ms, era: self.trusted_era })
    }

    /// Returns whether the keys of the configuration may be accepted, where a withdrawn key must
    /// stop working within `limit`.
    pub fn allows_keys(&self, limit: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < limit.mul_f64(USABLE_SHARE))
    }
}
