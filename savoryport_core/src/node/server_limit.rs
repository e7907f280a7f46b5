//! The request rates that servers in need name, and how all nodes together keep to them.
//!
//! Load pattern: a server answers, but says that it takes only a request a second or so from all
//! nodes. Requests arrive at any of hundreds of nodes, so that an equal part of the rate for each is
//! less than one request, and a bucket of one request for each is far more than the server takes.
//!
//! So one node at a time owns the allowance of a server, and the others ask it for a permit for each
//! request. [`AllowanceLedger`] is the owner's side: it schedules the permits of a server one
//! interval apart. A request that can wait gets the next free time, so that no allowance stays unused
//! while callers are refused.
//!
//! [`LimitBook`] is what a node knows of the limits. Nodes exchange the changes. Each change of a
//! server's limit has a version, and the higher version wins. A node takes a lower limit from any
//! answer at once, and a higher one, or none, only from the answer to a request that it sent after it
//! knew of the limit in force: answers may overtake each other.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::node::registry::BackendServer;

/// The lowest rate that is kept to, in thousandths of a request a second. Only an answer shows that a
/// limit is lifted, so that a server that takes nothing still gets a request now and then.
const MIN_MILLI_RATE: u32 = 100;

/// The part of its rate for which a server with unused allowance catches up, as time.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);

/// The longest time for which a request waits for its turn at a server.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// The shortest time after which a node asks again for a permit that it was denied.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(50);

/// The longest time after which refused callers are asked to retry.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);

/// The part of the rate that an owner hands out that cannot tell whether it was replaced. With its
/// successor, which hands out the whole rate, it stays within one and a half times the rate.
const UNCONFIRMED_SHARE: f64 = 0.5;

/// The time without an answer of a limited server after which it gets a request although servers
/// without a limit could take it.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// The number of nodes that together probe a server once in [`PROBE_AFTER`]; where there are more,
/// each probes it less often.
const PROBING_NODES: u32 = 8;

/// A number of requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    milli: u32,
}

impl RequestRate {
    /// Creates a rate from a number of requests a second; `None` if it is negative or no number.
    /// Very low and very high rates are cut off at bounds that make no difference to a server.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        // The cast is exact or rounds down, and saturates.
        Some(Self { milli: ((rate * 1e3) as u32).max(MIN_MILLI_RATE) })
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.milli) / 1e3
    }

    /// Returns the time from one request to the next one.
    fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.per_second())
    }
}

/// What an answer of a server says of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    /// The server names no limit.
    None,
    /// The server takes this many requests from all nodes together.
    Rate(RequestRate),
    /// The server names something that is no rate. What is in force stays in force.
    Unreadable,
}

value! {
    /// A change of the limit of a server, as nodes tell each other.
    pub struct LimitReport {
        /// The id of the server.
        pub server: Name,
        /// The incarnation of the server. A restarted server has no limit until it names one.
        pub incarnation: u64,
        /// The number of the change. Higher ones are newer.
        pub version: u64,
        /// The limit, or `None` if it was lifted.
        pub limit: Option<RequestRate>,
    }
}

impl LimitReport {
    /// Returns whether this report replaces another one of the same server. Of two changes that
    /// nodes observed independently, the lower limit is kept to.
    fn replaces(&self, other: &Self) -> bool {
        let order = |report: &Self| (report.incarnation, report.version);
        order(self) > order(other)
            || order(self) == order(other) && is_lower(self.limit, other.limit)
    }
}

fn is_lower(limit: Option<RequestRate>, than: Option<RequestRate>) -> bool {
    match (limit, than) {
        (Some(limit), Some(than)) => limit < than,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// The result of an answer of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit changed.
    Changed(LimitReport),
    /// The server named a limit that is no rate, for the first time in this incarnation.
    Unreadable,
}

/// The shortest time between two log lines about the limit of one server.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a node knows of the limits of servers.
#[derive(Debug, Clone, Default)]
pub struct LimitBook {
    entries: BTreeMap<Name, Entry>,
    /// The incarnations of which an unreadable limit was noted, by server.
    unreadable: HashMap<Name, u64>,
    logged_at: HashMap<Name, Instant>,
    revision: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    report: LimitReport,
    /// The value of [`LimitBook::revision`] when the entry last changed.
    revision: u64,
    /// When this node learned of the limit in force.
    learned_at: Instant,
    /// The last denied permit.
    denied: Option<DeniedPermit>,
    /// When this node last got an answer or tried to get one.
    probed_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct DeniedPermit {
    denial: Denial,
    at: Instant,
}

impl LimitBook {
    /// Returns a number that increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records an answer of a server to a request that was sent at `sent_at`.
    pub fn record_answer(
        &mut self,
        (server, incarnation): (&Name, u64),
        named: NamedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let limit = match named {
            NamedLimit::None => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Unreadable => {
                let noted = self.unreadable.insert(server.clone(), incarnation);
                return (noted != Some(incarnation)).then_some(LimitChange::Unreadable);
            }
        };
        let known = self.entries.get_mut(server);
        let known = known.filter(|known| known.report.incarnation >= incarnation);
        let version = match known {
            None if limit.is_none() => return None,
            None => 1,
            Some(known) if known.report.incarnation > incarnation => return None,
            Some(known) => {
                known.probed_at = known.probed_at.max(now);
                let is_newer = sent_at > known.learned_at;
                let changes = limit != known.report.limit
                    && (is_newer || is_lower(limit, known.report.limit));
                if !changes {
                    return None;
                }
                known.report.version + 1
            }
        };
        let report = LimitReport { server: server.clone(), incarnation, version, limit };
        self.insert(report.clone(), now);
        Some(LimitChange::Changed(report))
    }

    /// Takes over what another node knows; returns the changes.
    pub fn merge(&mut self, reports: &[LimitReport], now: Instant) -> Vec<LimitReport> {
        let mut changes = Vec::new();
        for report in reports {
            let known = self.entries.get(&report.server);
            if known.is_none_or(|known| report.replaces(&known.report)) {
                self.insert(report.clone(), now);
                changes.push(report.clone());
            }
        }
        changes
    }

    fn insert(&mut self, report: LimitReport, now: Instant) {
        self.revision += 1;
        let entry = Entry {
            revision: self.revision,
            learned_at: now,
            denied: None,
            probed_at: now,
            report: report.clone(),
        };
        self.entries.insert(report.server, entry);
    }

    /// Returns the changes since a revision.
    pub fn reports_since(&self, revision: u64) -> Vec<LimitReport> {
        let newer = self.entries.values().filter(|entry| entry.revision > revision);
        newer.map(|entry| entry.report.clone()).collect()
    }

    fn entry(&self, server: &BackendServer) -> Option<&Entry> {
        let entry = self.entries.get(&server.id)?;
        let is_in_force =
            entry.report.incarnation == server.incarnation && entry.report.limit.is_some();
        is_in_force.then_some(entry)
    }

    /// Returns the limit that is in force for a server.
    pub fn limit_of(&self, server: &BackendServer) -> Option<RequestRate> {
        self.entry(server)?.report.limit
    }

    /// Returns the report of the limit that is in force for a server.
    pub fn report_of(&self, server: &BackendServer) -> Option<&LimitReport> {
        self.entry(server).map(|entry| &entry.report)
    }

    /// Returns the reports of all limits in force.
    pub fn limits(&self) -> impl Iterator<Item = &LimitReport> {
        self.entries.values().map(|entry| &entry.report).filter(|report| report.limit.is_some())
    }

    /// Returns the part of a server's capacity that its limit leaves, from 0 to 1. A server that
    /// takes as many requests a second as it has slots is not held back by its limit.
    pub fn capacity_share(&self, server: &BackendServer) -> f64 {
        let limit = self.limit_of(server);
        limit.map_or(1.0, |rate| (rate.per_second() / f64::from(server.slots.max(1))).min(1.0))
    }

    /// Records that a permit was denied.
    pub fn record_denial(&mut self, server: &str, denial: Denial, now: Instant) {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.denied = Some(DeniedPermit { denial, at: now });
        }
    }

    /// Returns the time after which a caller may retry, if a permit was denied so recently that a
    /// request which can wait for `max_wait` would get none either.
    pub fn denied_for(
        &self,
        server: &BackendServer,
        max_wait: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let denied = self.entry(server)?.denied?;
        let age = now.saturating_duration_since(denied.at);
        let is_denied =
            age < MIN_ASK_INTERVAL || age + max_wait.min(MAX_WAIT) < denied.denial.free_after;
        is_denied.then(|| denied.denial.return_after.saturating_sub(age).max(MIN_ASK_INTERVAL))
    }

    /// Returns whether a server should get a request only to find out whether its limit is still in
    /// force, where `nodes` nodes probe it.
    pub fn is_probe_due(&self, server: &BackendServer, nodes: u32, now: Instant) -> bool {
        let interval = PROBE_AFTER * (nodes / PROBING_NODES).max(1);
        self.entry(server)
            .is_some_and(|entry| now.saturating_duration_since(entry.probed_at) >= interval)
    }

    /// Records that this node asks for a permit to probe a server.
    pub fn record_probe(&mut self, server: &str, now: Instant) {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.probed_at = now;
        }
    }

    /// Returns whether a change of a server's limit should be logged: a server whose limit changes
    /// with each answer does not fill the log.
    pub fn should_log(&mut self, server: &Name, now: Instant) -> bool {
        let logged_at = self.logged_at.get(server);
        let is_due = logged_at.is_none_or(|at| now.saturating_duration_since(*at) >= LOG_INTERVAL);
        if is_due {
            self.logged_at.insert(server.clone(), now);
        }
        is_due
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.entries.retain(|server, _| keep(server));
        self.logged_at.retain(|server, _| keep(server));
        self.unreadable.retain(|server, _| keep(server));
    }
}

/// Returns the failure domain whose leader owns the allowances of the servers in `domain`: that
/// domain itself, or while it has no leader the first one that has. Of `led`, the domains with
/// leaders in order, all nodes that know the same leaders find the same one.
pub fn owning_domain<'a>(
    domain: &str,
    mut led: impl Iterator<Item = &'a Name> + Clone,
) -> Option<&'a Name> {
    let own = led.clone().find(|led| ***led == *domain);
    own.or_else(|| led.next())
}

/// Returns how long a request of a rank may wait for its turn, of the time that it has to spare.
/// Less urgent requests book less far ahead, so that they do not take the turns of urgent ones.
pub fn longest_wait(rank: u8, spare: Duration) -> Duration {
    spare.min(MAX_WAIT / 2_u32.pow(u32::from(rank).min(4)))
}

/// What an owner knows of its ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ownership {
    /// Whether no other node can have become the owner since.
    pub is_confirmed: bool,
    /// Since when this node owns the allowance, if it knows.
    pub since: Option<Instant>,
}

/// Why a node asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitUse {
    /// No server without a limit takes the request, which may wait for this long.
    Request {
        /// The longest wait, in milliseconds.
        max_wait_ms: u32,
    },
    /// To find out whether the limit is still in force.
    Probe,
}

/// The owner's answer to a node that asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One request may be sent after this time.
    Granted {
        /// The time until then.
        wait: Duration,
    },
    /// No request may be sent.
    Denied(Denial),
}

/// When the server may get another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Denial {
    /// The time until the next permit that nobody has.
    pub free_after: Duration,
    /// The time after which the caller may retry, so that callers return no faster than the server
    /// takes requests.
    pub return_after: Duration,
}

impl Denial {
    /// Creates a denial for `pause`, however long a request could wait.
    pub fn for_any_wait(pause: Duration) -> Self {
        Self { free_after: MAX_WAIT + pause, return_after: pause }
    }
}

/// The permits that the owner of allowances has granted.
#[derive(Debug, Clone, Default)]
pub struct AllowanceLedger {
    servers: HashMap<Name, Allowance>,
}

#[derive(Debug, Clone, Copy)]
struct Allowance {
    /// The time of the next permit.
    next: Instant,
    /// The time at which the next refused caller may retry.
    next_return: Instant,
    granted_at: Instant,
}

impl AllowanceLedger {
    /// Decides whether a node may send a request to a server with this limit.
    pub fn request(
        &mut self,
        server: &Name,
        limit: RequestRate,
        ownership: Ownership,
        usage: PermitUse,
        now: Instant,
    ) -> Permit {
        let share = if ownership.is_confirmed { 1.0 } else { UNCONFIRMED_SHARE };
        let interval = limit.interval().div_f64(share);
        // A former owner may have granted permits for as far ahead as requests wait.
        let first = ownership.since.unwrap_or(now) + MAX_WAIT;
        let allowance = self.servers.entry(server.clone()).or_insert(Allowance {
            next: first,
            next_return: first,
            granted_at: now,
        });
        let earliest = now.checked_sub(CATCH_UP_TIME).unwrap_or(now);
        // The limit may have been lower when the last permits were granted.
        allowance.next = allowance.next.clamp(earliest, now + MAX_WAIT + interval);
        if let Some(since) = ownership.since {
            allowance.next = allowance.next.max(since + MAX_WAIT);
        }
        let wait = allowance.next.saturating_duration_since(now);
        let idle = now.saturating_duration_since(allowance.granted_at);
        let max_wait = match usage {
            PermitUse::Request { max_wait_ms } => {
                Duration::from_millis(max_wait_ms.into()).min(MAX_WAIT)
            }
            PermitUse::Probe if idle < PROBE_AFTER => {
                let free_after = PROBE_AFTER - idle;
                return Permit::Denied(Denial { free_after, return_after: free_after });
            }
            PermitUse::Probe => Duration::ZERO,
        };
        if wait <= max_wait {
            allowance.next += interval;
            allowance.granted_at = now;
            return Permit::Granted { wait };
        }
        let soonest = wait - max_wait;
        allowance.next_return =
            allowance.next_return.clamp(now + soonest, now + MAX_RETURN_TIME.max(soonest));
        let return_after = allowance.next_return.saturating_duration_since(now);
        allowance.next_return += interval;
        Permit::Denied(Denial { free_after: wait, return_after })
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }
}
