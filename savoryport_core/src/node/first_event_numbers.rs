//! Learns from sound streams which number the streams of each kind of server begin with.
//!
//! Failure pattern: a faulty server spoils the number of a stream's first event. No event precedes it that
//! it would have to follow, so that only other streams tell whether it is right. Holding each first event
//! until the next one would delay all callers by a pause between events.
//!
//! Servers of one service that run the same software count alike. What is learned is not exchanged between
//! nodes: two streams teach it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Name;

/// The streams in a row that have to begin with a number before it is expected. A single one could have
/// been spoiled in two events.
const MIN_STREAMS: u32 = 2;

/// No number is expected for this long after a sound stream has begun with another one than those before.
const DISAGREEMENT_LIFETIME: Duration = Duration::from_secs(60);

/// The number of kinds of servers that are kept. Each release adds one.
const MAX_KINDS: usize = 256;

/// The first numbers of streams, by service and software.
#[derive(Debug, Clone, Default)]
pub struct FirstEventNumbers {
    kinds: HashMap<(Name, Name), Evidence>,
}

/// What the streams of one kind of server have shown.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    number: u64,
    /// The sound streams in a row that began with it, as far as they were counted.
    streams: u32,
    learned_at: Instant,
    disagreed_at: Option<Instant>,
}

impl FirstEventNumbers {
    /// Returns the number that streams of this kind of server begin with, if that is known.
    pub fn expected(&self, service: &Name, software: &Name, now: Instant) -> Option<u64> {
        let evidence = self.kinds.get(&(service.clone(), software.clone()))?;
        let disagrees = evidence
            .disagreed_at
            .is_some_and(|at| now.saturating_duration_since(at) < DISAGREEMENT_LIFETIME);
        (evidence.streams >= MIN_STREAMS && !disagrees).then_some(evidence.number)
    }

    /// Records that a stream began with a number and that its second event followed that.
    pub fn record(&mut self, service: &Name, software: &Name, number: u64, now: Instant) {
        let key = (service.clone(), software.clone());
        if !self.kinds.contains_key(&key) {
            self.make_room();
        }
        let new = Evidence { number, streams: 0, learned_at: now, disagreed_at: None };
        let evidence = self.kinds.entry(key).or_insert(new);
        if evidence.number != number {
            *evidence = Evidence { disagreed_at: Some(now), ..new };
        }
        evidence.streams = evidence.streams.saturating_add(1);
        evidence.learned_at = now;
    }

    /// Forgets the kind of server that was learned of longest ago if there are too many.
    fn make_room(&mut self) {
        if self.kinds.len() < MAX_KINDS {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, evidence)| evidence.learned_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.kinds.remove(&key);
        }
    }
}
