//! Leadership of a failure domain: the exclusive right to give orders to its servers.
//!
//! A lease in the store decides which node leads. An engine that ignores fencing tokens cannot tell
//! a former leader from the current one. A leader therefore stops before its lease can expire, and
//! its successor waits until a whole lease duration has passed since the former leader's last
//! order.
//!
//! The store may go back to an older copy. What it tells of leaders from then on says nothing about
//! the history that is lost: another node may have led there, and may not know yet that its lease is
//! gone. See docs/DESIGN.md.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::Name;
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

    /// Returns whether another node may have led since the last renewal. The store's copy shows only
    /// that the lease had not run out when the copy was made.
    pub fn may_have_been_succeeded(&self, now: Instant) -> bool {
        self.lease.may_have_expired(now)
    }

    /// Returns the fencing token for orders, if orders may be given now.
    pub fn active_token(&self, now: Instant) -> Option<u64> {
        let is_active = self.active_from.is_some_and(|from| now >= from) && self.lease.may_act(now);
        is_active.then_some(self.fencing_token)
    }
}

/// What this node knows of former leaders, which decides when a new one may send its first order.
#[derive(Debug)]
pub struct Succession {
    /// The shortest time between orders of two leaders to one server.
    order_turn: Duration,
    /// How long a leader acts that cannot renew its lease any more.
    act_time: Duration,
    is_first_start: bool,
    led_before: HashSet<Name>,
    /// The era of the store's history, and when this node learned of it.
    era: Option<(u64, Instant)>,
    /// Whether the store has gone back to a copy since this node started.
    went_back: bool,
}

impl Succession {
    /// Creates the state of a node that knows of no leader. `is_first_start` tells that no node of
    /// the system has run before.
    pub fn new(order_turn: Duration, lease_ttl: Duration, is_first_start: bool) -> Self {
        let act_time = Lease::act_time(lease_ttl);
        let (led_before, era, went_back) = (HashSet::new(), None, false);
        Self { order_turn, act_time, is_first_start, led_before, era, went_back }
    }

    /// Records that a failure domain has or had a leader.
    pub fn record_leader(&mut self, domain: Name) {
        self.led_before.insert(domain);
    }

    /// Records the era of the store's last answer.
    pub fn record_era(&mut self, era: u64, now: Instant) {
        match self.era {
            Some((known, _)) if known == era => {}
            former => {
                self.went_back |= former.is_some();
                self.era = Some((era, now));
            }
        }
    }

    /// Returns how long this node waits before its first order after it was elected.
    ///
    /// A leader of the lost history sends its last order [`Lease::act_time`] after the store went
    /// back at the latest, also if nothing in the store names it any more.
    pub fn hand_over(&self, domain: &str, now: Instant) -> Duration {
        if self.is_first_start && !self.went_back && !self.led_before.contains(domain) {
            return Duration::ZERO;
        }
        let since_era = self.era.map(|(_, since)| now.saturating_duration_since(since));
        let lost_leader_acts_for = self.act_time.saturating_sub(since_era.unwrap_or_default());
        self.order_turn + lost_leader_acts_for
    }
}
