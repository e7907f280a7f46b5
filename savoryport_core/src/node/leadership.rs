//! The right to give orders to the servers of a failure domain, as its holder sees it.
//!
//! The store's lease decides who holds the duty. An engine that ignores fencing numbers cannot tell
//! a former holder from the present one, so the holder stops before its lease can lapse, and its
//! successor waits until the last order of the former one is a whole lease duration ago.

use std::time::{Duration, Instant};

use crate::lease::Lease;

/// One duty that this node wants or holds.
#[derive(Debug, Clone)]
pub struct Leadership {
    lease: Lease,
    acts_from: Option<Instant>,
    fencing_token: u64,
}

impl Leadership {
    /// Starts without the duty; the store's lease lives for `time_to_live`.
    pub fn new(time_to_live: Duration) -> Self {
        Self { lease: Lease::new(time_to_live), acts_from: None, fencing_token: 0 }
    }

    /// Notes that the duty was won by a write sent at `asked_at`. Orders start after `hand_over`,
    /// which is zero where nobody can have held it before.
    pub fn on_acquired(
        &mut self,
        fencing_token: u64,
        asked_at: Instant,
        now: Instant,
        hand_over: Duration,
    ) {
        self.lease.acquire();
        self.lease.won(asked_at);
        self.fencing_token = fencing_token;
        self.acts_from = Some(now + hand_over);
    }

    /// Notes a renewal that was sent at `asked_at`.
    pub fn on_renewed(&mut self, asked_at: Instant) {
        self.lease.renewed(asked_at);
    }

    /// Notes that the duty is lost or given up.
    pub fn on_lost(&mut self) {
        self.lease.lost();
        self.acts_from = None;
    }

    /// Returns whether the store's lease is, as far as known, this node's.
    pub fn is_held(&self) -> bool {
        self.lease.is_held()
    }

    /// Returns whether the lease ran out without a word from the store.
    pub fn has_lapsed(&self, now: Instant) -> bool {
        self.lease.is_held() && !self.lease.may_act(now)
    }

    /// Returns the fencing token for an order, if orders may be given now.
    pub fn active_token(&self, now: Instant) -> Option<u64> {
        let acts = self.acts_from.is_some_and(|from| now >= from) && self.lease.may_act(now);
        acts.then_some(self.fencing_token)
    }
}
