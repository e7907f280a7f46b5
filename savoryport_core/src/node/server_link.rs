//! Decides whether this node is cut off from all servers.
//!
//! Load pattern: the links of some nodes to all servers hang, are reset or refuse new connections, while
//! callers, the store and the other nodes still reach these nodes. Seen from such a node, that looks
//! like a failure of each single server. What tells it apart is that servers of all services and
//! failure domains fail at once; so the node asks a few of them before it concludes that.
//!
//! One dead server, a service whose servers are all down, or a slow failure domain is no such cut: one
//! server that accepts a connection speaks against it. If all servers of all services are down, every
//! node takes itself for cut off, which changes nothing for callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::registry::BackendServer;
use super::selection::Distance;
use crate::Name;

/// The servers to which connections fail before the node asks others.
const SUSPICIOUS_FAILURES: usize = 2;

/// How long a failed connection counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);

/// A node that has heard nothing of any server for this long asks after the first failure.
const QUIET_TIME: Duration = Duration::from_millis(800);

/// Requests are in progress at this many servers that all send nothing for [`MAX_SILENCE`].
const SILENT_SERVERS: usize = 2;

/// A prefill of a long prompt takes about half of this.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// The time between the starts of two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// The rounds in which no server accepts a connection before the node takes itself for cut off.
const LOST_ROUNDS: u32 = 2;

/// The servers that one round asks.
const MAX_ASKED: usize = 6;

/// The fewest servers of which a round says something about the node.
const MIN_ASKED: usize = 2;

/// A change of a node's links to the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The node reaches no server any longer.
    Lost,
    /// It reaches servers again.
    Regained,
}

/// What a node knows of its links to the servers.
#[derive(Debug, Clone, Default)]
pub struct ServerLink {
    /// The servers to which connections failed since one was last established.
    failed: BTreeMap<Name, Instant>,
    /// When a server last sent something or accepted a connection.
    heard_at: Option<Instant>,
    /// When a server last accepted a connection.
    accepted_at: Option<Instant>,
    /// When the last round began.
    asked_at: Option<Instant>,
    lost_rounds: u32,
    is_cut: bool,
}

impl ServerLink {
    /// Returns whether the node reaches no server.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Records that a connection to a server failed or was not established.
    pub fn record_failure(&mut self, server: &Name, now: Instant) {
        self.failed.retain(|_, at| now.saturating_duration_since(*at) < FAILURE_LIFETIME);
        self.failed.insert(server.clone(), now);
    }

    /// Records that a server sent something, which it may also do on an old connection while it
    /// accepts no new ones.
    pub fn record_data(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Returns whether a server has accepted a connection after this time. What one has sent may have
    /// waited in a socket for longer.
    pub fn is_reached_after(&self, at: Instant) -> bool {
        self.accepted_at.is_some_and(|accepted_at| accepted_at > at)
    }

    /// Records that a server accepted a connection.
    pub fn record_accepted(&mut self, now: Instant) -> Option<LinkChange> {
        self.failed.clear();
        (self.heard_at, self.accepted_at, self.lost_rounds) = (Some(now), Some(now), 0);
        std::mem::take(&mut self.is_cut).then_some(LinkChange::Regained)
    }

    /// Returns whether the node asks servers now, given the number of servers at which it has requests
    /// in progress.
    pub fn is_round_due(&self, busy_servers: usize, now: Instant) -> bool {
        let is_within = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        if self.asked_at.is_some_and(|at| is_within(at, ROUND_INTERVAL)) {
            return false;
        }
        let heard_within = |time| self.heard_at.is_some_and(|at| is_within(at, time));
        let failures = self.failed.values().filter(|at| is_within(**at, FAILURE_LIFETIME)).count();
        self.is_cut
            || self.lost_rounds > 0
            || failures >= SUSPICIOUS_FAILURES
            || failures > 0 && !heard_within(QUIET_TIME)
            || busy_servers >= SILENT_SERVERS
                && self.heard_at.is_some()
                && !heard_within(MAX_SILENCE)
    }

    /// Records that a round begins.
    pub fn begin_round(&mut self, now: Instant) {
        self.asked_at = Some(now);
    }

    /// Records the end of a round in which so many servers were asked and none accepted a connection.
    pub fn record_lost_round(&mut self, asked: usize) -> Option<LinkChange> {
        if asked < MIN_ASKED {
            self.lost_rounds = 0;
            return None;
        }
        self.lost_rounds += 1;
        let is_lost = !self.is_cut && self.lost_rounds >= LOST_ROUNDS;
        self.is_cut |= is_lost;
        is_lost.then_some(LinkChange::Lost)
    }
}

/// Returns the servers that one round asks: of each service a near one and a far one, drawn anew for each
/// round. `random` returns numbers uniform below 2^64.
pub fn choose_asked<'a>(
    servers: impl Iterator<Item = &'a BackendServer>,
    distance: impl Fn(&BackendServer) -> Distance,
    mut random: impl FnMut() -> u64,
) -> SmallVec<[&'a BackendServer; MAX_ASKED]> {
    let mut drawn: BTreeMap<(&Name, bool), (u64, &BackendServer)> = BTreeMap::new();
    for server in servers.filter(|server| server.is_ready()) {
        let is_far = distance(server) != Distance::SameDomain;
        let candidate = (random(), server);
        drawn
            .entry((&server.service, is_far))
            .and_modify(|drawn| {
                if candidate.0 < drawn.0 {
                    *drawn = candidate;
                }
            })
            .or_insert(candidate);
    }
    let mut asked: SmallVec<[(u64, &BackendServer); MAX_ASKED]> = drawn.into_values().collect();
    asked.sort_by_key(|(number, _)| *number);
    asked.into_iter().map(|(_, server)| server).take(MAX_ASKED).collect()
}
