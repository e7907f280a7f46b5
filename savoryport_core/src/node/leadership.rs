//! Leadership of a failure domain: the exclusive right to give orders to its servers.
//!
//! A lease in the store decides which node leads. An engine that ignores fencing tokens cannot tell
//! a former leader from the current one. A leader therefore stops before its lease can expire, and
//! its successor waits until a whole lease duration has passed since the former leader's last
//! order.

use std::time::{Duration, Instant};

use crate::lease::Lease;

/// The leadership of one failure domain that this node wants or holds.
#[derive(Debug, Clone)]
pub struct Leadership {
    lease: Lease,
    active_from: Option<Instant>,
    fencing_token: u64,
}

impl Leadership {
    /// Creates a leadership that is not held; the store's lease expires after `time_to_live`.
    pub fn new(time_to_live: Duration) -> Self {
        Self { lease: Lease::new(time_to_live), active_from: None, fencing_token: 0 }
    }

    /// Records that the leadership was acquired by a write sent at `sent_at`. Orders are allowed
    /// after `hand_over`, which is zero where no other node can have led before.
    pub fn on_acquired(
        &mut self,
        fencing_token: u64,
        sent_at: Instant,
        now: Instant,
        hand_over: Duration,
    ) {
        self.lease.on_acquire_sent();
        self.lease.on_acquired(sent_at);
        self.fencing_token = fencing_token;
        self.active_from = Some(now + hand_over);
    }

    /// Records a lease renewal that was sent at `sent_at`.
    pub fn on_renewed(&mut self, sent_at: Instant) {
        self.lease.on_renewed(sent_at);
    }

    /// Records that the leadership was lost or given up.
    pub fn on_lost(&mut self) {
        self.lease.on_lost();
        self.active_from = None;
    }

    /// Returns whether this node holds the store's lease, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.lease.is_held()
    }

    /// Returns whether the lease is held but the time in which its holder may act has passed.
    pub fn has_lapsed(&self, now: Instant) -> bool {
        self.lease.is_held() && !self.lease.may_act(now)
    }

    /// Returns the fencing token for orders, if orders may be given now.
    pub fn active_token(&self, now: Instant) -> Option<u64> {
        let is_active = self.active_from.is_some_and(|from| now >= from) && self.lease.may_act(now);
        is_active.then_some(self.fencing_token)
    }
}
