//! Keeps the use of each team within its limit, summed over all nodes.
//!
//! Load pattern: a team sends several times its usual requests for some seconds, through all nodes
//! at once, while nodes learn of each other's requests only every few hundred milliseconds. Each
//! node models the use of the whole system in one token bucket per team. It charges its own requests
//! at once and those of the other nodes as it learns of them, and estimates what it has not learned
//! yet. A node that hears only of some of the others spends only its part of a limit, so that the
//! parts of a divided system add up to the whole.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::node::team::{TeamDirectory, TeamLimit};
use crate::node::team_share::TeamShares;

/// A node whose last report is older than this counts as one that spends on its own.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(600);

/// How long a node that is no longer a member may still be spending its part.
const MEMBER_LINGER: Duration = Duration::from_secs(8);

/// After its start, a leader takes this long to hear of its followers and of the other leaders. Its
/// buckets refill by the part of one node of many before, since all may have started with it.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// The least number of nodes that a node shares limits with until it has heard of any other.
const ASSUMED_NODES: u32 = 100;

/// The time over which rates of use are averaged.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// The age of the news in a report when it arrives: it waits at followers and leaders for the next
/// sync.
const REPORT_LAG: Duration = Duration::from_millis(150);

/// The time in which the surplus or the deficit of a bucket is to be used up or made good. It is
/// several times the age of reports, or the nodes together overshoot in turns.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// The share of a bucket at which demand above the limit is to settle, so that the errors of the
/// estimate stay above zero.
const SETTLING_LEVEL: f64 = 0.3;

/// The share of a bucket above which every request is admitted. Requests that were asked for, but
/// refused for other reasons, use nothing, and must not make a team with units left wait.
const FREE_LEVEL: f64 = 0.35;

/// A limit without a burst still lets a node spend what accrues in this time at once.
const MIN_BURST: Duration = Duration::from_millis(250);

/// A node that hears of less than this share of the nodes that it heard of is in a pause of reports.
const PAUSE_PART: f64 = 0.5;

/// The pause is over once it hears of this share of them again.
const REGAINED_PART: f64 = 0.9;

/// After a longer pause, a bucket goes on from what the node's part left in it.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// The longest time in which one request may use up what accrues.
const MAX_DEBT: Duration = Duration::from_secs(8);

/// The number of standard deviations by which a measured rate may be too high by chance. With one, a
/// replay refused 3.3% of the requests of a team of 29,000 tokens a second below its limit, with this
/// 2.1%.
const CERTAIN_DEVIATIONS: f64 = 1.6;

/// Before this many requests, the size of a request is learned from the reports of other nodes too.
/// These sum up several requests of a large team, but mostly name single ones of a small team.
const SIZE_SAMPLES: u8 = 5;

/// The bounds of the time after which a refused caller is told to retry.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(8));

/// What one side of the system used of a team's quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    /// The team.
    pub team: Name,
    /// The units used since the start of the tenure, less those given back.
    pub used: i64,
    /// The units asked for since then, refused ones included.
    pub asked: i64,
}

/// What the sender knows of the use of teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUseReport {
    /// The revision of the sender's totals, which the receiver has once it has recorded the report.
    pub revision: u64,
    /// The revision of the receiver's totals that the sender has.
    pub have: u64,
    /// The tenure of the sender, in which its totals grow.
    pub tenure: u64,
    /// The number of nodes whose use the report includes, as far as they reported lately: of a
    /// leader to a follower, also the leader itself and the follower.
    pub heard: u32,
    /// Whether all totals other than zero are listed, instead of the changed ones.
    pub is_full: bool,
    /// The teams whose totals changed since the report that the receiver has.
    pub teams: Vec<TeamUse>,
}

/// Another node that reports use.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reporter {
    /// A follower of this node, which reports its own use.
    Follower(Name),
    /// The leader of other failure domains, which reports that of its followers and its own.
    OtherLeader(Name),
    /// The leader that this node follows, which reports that of all nodes but this one.
    OwnLeader(Name),
}

/// Whom a report is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient<'a> {
    /// The leader that this node follows.
    OwnLeader,
    /// The leader of another failure domain.
    OtherLeader,
    /// A follower of this node.
    Follower(&'a str),
}

/// What a node knows of a team, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamState {
    /// The team.
    pub name: Name,
    /// Its limit, over all nodes together.
    pub limit: Option<TeamLimit>,
    /// What this node takes to be left of its bucket, in units.
    pub left: Option<f64>,
    /// What all nodes recently used, in units a second.
    pub recent_use: f64,
    /// That use relative to its limit, divided by that of the average team.
    pub relative_use: f64,
    /// Whether this node recently refused some of its requests.
    pub is_limited: bool,
}

/// The quotas of all teams, as one node knows their use.
#[derive(Debug)]
pub struct TeamQuotas {
    tenure: u64,
    started_at: Instant,
    teams: Vec<TeamBucket>,
    by_name: HashMap<Name, usize>,
    shares: TeamShares,
    peers: Vec<PeerState>,
    by_peer: HashMap<Reporter, usize>,
    /// The failure domain of each member, and when it was last seen.
    members: HashMap<Name, (Name, Instant)>,
    /// The number of nodes that may be there, heard of or not.
    known: u32,
    leads: bool,
    /// Whether a leader that is past its own start has told this node of the others.
    has_followed: bool,
    /// The share of each limit that this node and those it hears of may spend.
    part: f64,
    /// When the reports of some node become too old.
    part_until: Instant,
    last_report_at: Option<Instant>,
    /// A number that grows with each change of totals.
    revision: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    used: i64,
    asked: i64,
}

#[derive(Debug)]
struct PeerState {
    is_follower: bool,
    is_own_leader: bool,
    tenure: u64,
    /// Whether all its totals of this tenure are known.
    is_complete: bool,
    heard: u32,
    reported_at: Instant,
}

/// What a peer reported of a team, and what was charged of it. A leader has one for each team and
/// follower. Of what was asked for, only the increase matters, so that the numbers may wrap around.
#[derive(Debug, Clone, Copy, Default)]
struct PeerTotals {
    used: i64,
    charged: i64,
    asked: u32,
    charged_asked: u32,
    peer: u32,
}

impl PeerTotals {
    /// Takes over reported totals and returns the increase.
    fn advance(&mut self, used: i64, asked: i64) -> Totals {
        let asked = asked as u32;
        let increase = Totals {
            used: used.saturating_sub(self.used),
            asked: i64::from(asked.wrapping_sub(self.asked).cast_signed()),
        };
        (self.used, self.asked) = (used, asked);
        increase
    }

    fn charge(&mut self, increase: Totals) {
        self.charged = self.charged.saturating_add(increase.used);
        self.charged_asked = self.charged_asked.wrapping_add(increase.asked as u32);
    }

    fn charged(&self) -> Totals {
        Totals { used: self.charged, asked: self.charged_asked.into() }
    }
}

#[derive(Debug)]
struct TeamBucket {
    name: Name,
    /// Whether the configuration names the team.
    is_configured: bool,
    limit: Option<TeamLimit>,
    level: f64,
    /// What would be left without a pause of reports, in which this node spends its part only.
    whole: Option<WholeLevel>,
    refilled_at: Instant,
    /// This node's own use.
    own: Totals,
    /// That of its followers, as far as it was charged.
    followers: Totals,
    /// That of all other nodes but followers.
    others: Totals,
    changed_at: u64,
    peers: Vec<PeerTotals>,
    others_used: Rate,
    asked: Rate,
    /// The mean size of this node's requests, in which each counts by its size.
    request_size: f64,
    /// The number of requests in that mean, up to [`SIZE_SAMPLES`].
    size_samples: u8,
    /// When this node last refused a request of the team.
    refused_at: Option<Instant>,
    /// Whether the operators were told that the team is limited, and when.
    is_limited: bool,
    limit_logged_at: Option<Instant>,
}

/// The level of a bucket that refills for the whole system during a pause of reports. It is not
/// capped, since the use of the others in the pause becomes known only at its end.
#[derive(Debug, Clone, Copy)]
struct WholeLevel {
    level: f64,
    /// The part that this node spent before the pause.
    part: f64,
    since: Instant,
}

/// An amount in a second, as an average that forgets exponentially.
#[derive(Debug, Clone, Copy)]
struct Rate {
    per_second: f64,
    at: Instant,
}

impl Rate {
    fn new(at: Instant) -> Self {
        Self { per_second: 0.0, at }
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = self.at(now) + amount / RATE_WINDOW.as_secs_f64();
        self.at = self.at.max(now);
    }

    fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.per_second * (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }
}

impl Totals {
    fn add(&mut self, other: Self) {
        self.used = self.used.saturating_add(other.used);
        self.asked = self.asked.saturating_add(other.asked);
    }

    fn minus(self, other: Self) -> Self {
        Self {
            used: self.used.saturating_sub(other.used),
            asked: self.asked.saturating_sub(other.asked),
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            used: (self.used as f64 * factor) as i64,
            asked: (self.asked as f64 * factor) as i64,
        }
    }
}

impl TeamBucket {
    fn new(name: Name, now: Instant) -> Self {
        Self {
            name,
            is_configured: false,
            refused_at: None,
            is_limited: false,
            limit_logged_at: None,
            limit: None,
            level: 0.0,
            whole: None,
            refilled_at: now,
            own: Totals::default(),
            followers: Totals::default(),
            others: Totals::default(),
            changed_at: 0,
            peers: Vec::new(),
            others_used: Rate::new(now),
            asked: Rate::new(now),
            request_size: 0.0,
            size_samples: 0,
        }
    }

    /// Returns a rate below the measured one that is the true one or less in one case of twenty, if
    /// requests come at random. With few requests in [`RATE_WINDOW`], a higher rate than usual is no
    /// sign of a higher demand.
    fn certain_part(&self, per_second: f64) -> f64 {
        let variance = per_second * self.request_size / (2.0 * RATE_WINDOW.as_secs_f64());
        (per_second - CERTAIN_DEVIATIONS * variance.sqrt()).max(0.0)
    }

    fn record_size(&mut self, units: f64) {
        /// The weight of a request of the mean size.
        const WEIGHT: f64 = 0.05;
        if self.request_size == 0.0 {
            self.request_size = units;
        } else {
            let weight = WEIGHT * (units / self.request_size).min(1.0 / WEIGHT);
            self.request_size += (units - self.request_size) * weight;
        }
    }

    fn capacity(&self) -> f64 {
        self.limit.map_or(0.0, |limit| limit.burst.max(limit.per_second * MIN_BURST.as_secs_f64()))
    }

    /// Returns the largest request that is ever admitted. It would take longer than the operators'
    /// window to make a larger one good.
    fn longest_debt(&self) -> f64 {
        let rate = self.limit.map_or(0.0, |limit| limit.per_second);
        self.capacity() + rate * MAX_DEBT.as_secs_f64()
    }

    /// Adds what accrued since the last call, while this node could spend `part` of the limit.
    fn refill(&mut self, part: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let rate = self.limit.map_or(0.0, |limit| limit.per_second);
        self.level = (self.level + rate * part * elapsed).min(self.capacity() * part);
        if let Some(whole) = &mut self.whole {
            whole.level += rate * whole.part * elapsed;
        }
    }

    /// Takes units from the bucket, or gives back less than none.
    fn charge(&mut self, units: f64) {
        self.level -= units;
        if let Some(whole) = &mut self.whole {
            whole.level -= units;
        }
    }

    /// Changes the part that this node may spend. After a short pause of reports, the bucket is what
    /// it would be without the pause.
    fn set_part(&mut self, former: f64, part: f64, now: Instant) {
        self.refill(part.min(former), now);
        match self.whole {
            None if part < former * PAUSE_PART => {
                self.whole = Some(WholeLevel { level: self.level, part: former, since: now });
            }
            Some(whole) if now.saturating_duration_since(whole.since) > LONGEST_PAUSE => {
                self.whole = None;
            }
            Some(whole) if part >= whole.part * REGAINED_PART => {
                self.whole = None;
                self.level = whole.level.min(self.capacity() * part);
            }
            _ => {}
        }
        self.level = self.level.min(self.capacity() * part);
    }

    fn all(&self) -> Totals {
        let mut all = self.own;
        all.add(self.followers);
        all.add(self.others);
        all
    }
}

impl TeamQuotas {
    /// Creates the state of a node that has just started.
    pub fn new(tenure: u64, now: Instant) -> Self {
        Self {
            tenure,
            started_at: now,
            teams: Vec::new(),
            by_name: HashMap::new(),
            shares: TeamShares::default(),
            peers: Vec::new(),
            by_peer: HashMap::new(),
            members: HashMap::new(),
            known: 1,
            leads: false,
            has_followed: false,
            part: 0.0,
            part_until: now,
            last_report_at: None,
            revision: 0,
        }
    }

    /// Puts the limits of a configuration in force. A lower limit cuts what a team has left. A team
    /// that leaves keeps its totals, which must not fall while other nodes still know them.
    pub fn apply_limits(&mut self, directory: Option<&TeamDirectory>, now: Instant) {
        self.refresh(now);
        let first_share = self.part / f64::from(self.known.max(1));
        for bucket in &mut self.teams {
            bucket.is_configured = false;
        }
        for team in directory.into_iter().flat_map(TeamDirectory::teams) {
            let id = self.id_of(&team.name, now);
            let bucket = &mut self.teams[id];
            bucket.is_configured = true;
            let former = std::mem::replace(&mut bucket.limit, team.limit);
            if let (None, Some(limit)) = (former, team.limit) {
                bucket.level = limit.per_second * first_share;
            }
        }
        for bucket in &mut self.teams {
            bucket.limit = bucket.limit.filter(|_| bucket.is_configured);
            bucket.level = bucket.level.min(bucket.capacity() * self.part);
        }
        let limits = self.teams.iter().map(|bucket| {
            bucket.is_configured.then_some(bucket.limit.map(|limit| limit.per_second))
        });
        self.shares.set_limits(limits, now);
    }

    /// Returns whether any team is configured.
    pub fn has_teams(&self) -> bool {
        self.teams.iter().any(|bucket| bucket.is_configured)
    }

    /// Returns whether a team is to be refused before others where servers are short of capacity.
    pub fn is_over_share(&mut self, team: &str, now: Instant) -> bool {
        self.by_name.get(team).is_some_and(|id| self.shares.is_over_share(*id, now))
    }

    /// Returns the teams that began or ceased to be limited at this node since the last call, and
    /// whether they are limited now; each at most once a second.
    pub fn limit_changes(&mut self, now: Instant) -> Vec<(Name, bool)> {
        /// A team is limited for this long after its last refusal.
        const LIMITED_FOR: Duration = Duration::from_secs(1);
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < LIMITED_FOR)
        };
        let changed = self.teams.iter_mut().filter(|bucket| {
            is_recent(bucket.refused_at) != bucket.is_limited && !is_recent(bucket.limit_logged_at)
        });
        changed
            .map(|bucket| {
                bucket.is_limited = !bucket.is_limited;
                bucket.limit_logged_at = Some(now);
                (bucket.name.clone(), bucket.is_limited)
            })
            .collect()
    }

    /// Returns the state of each configured team, for operators.
    pub fn team_states(&mut self, now: Instant) -> Vec<TeamState> {
        self.refresh(now);
        let (part, shares) = (self.part, &mut self.shares);
        let configured =
            self.teams.iter_mut().enumerate().filter(|(_, bucket)| bucket.is_configured);
        configured
            .map(|(id, bucket)| {
                bucket.refill(part, now);
                TeamState {
                    name: bucket.name.clone(),
                    limit: bucket.limit,
                    left: bucket.limit.map(|_| bucket.level),
                    recent_use: shares.recent_use(id, now),
                    relative_use: shares.relative_use(id, now),
                    is_limited: bucket.is_limited,
                }
            })
            .collect()
    }

    /// Takes the units of a request from a team's quota, or returns the time after which the caller
    /// may retry. `random` is uniform in 0..1.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if the quota does not allow the request now.
    pub fn try_take(
        &mut self,
        team: &str,
        units: u64,
        now: Instant,
        random: f64,
    ) -> Result<(), Duration> {
        let Some(id) = self.configured(team) else { return Ok(()) };
        self.refresh(now);
        self.revision += 1;
        let (part, revision) = (self.part, self.revision);
        let unreported = self.unreported_time(now);
        let bucket = &mut self.teams[id];
        bucket.refill(part, now);
        bucket.changed_at = revision;
        let signed = i64::try_from(units).unwrap_or(i64::MAX);
        let units = units as f64;
        bucket.own.add(Totals { used: 0, asked: signed });
        bucket.asked.add(units, now);
        bucket.record_size(units);
        bucket.size_samples = SIZE_SAMPLES.min(bucket.size_samples + 1);
        let rate = bucket.limit.map_or(0.0, |limit| limit.per_second) * part;
        let capacity = bucket.capacity() * part;
        let others_rate = bucket.others_used.at(self.last_report_at.unwrap_or(now));
        let others_rate = bucket.certain_part(others_rate);
        let available = bucket.level - others_rate * unreported.as_secs_f64();
        let demand = bucket.certain_part(bucket.asked.at(now));
        let surplus = (available - SETTLING_LEVEL * capacity) / SETTLING_TIME.as_secs_f64();
        let chance = if bucket.limit.is_none() {
            f64::INFINITY
        } else if units > bucket.longest_debt() {
            0.0
        } else if units > capacity {
            if available < capacity * 0.95 { 0.0 } else { capacity / units }
        } else if available < units {
            0.0
        } else if available >= FREE_LEVEL * capacity {
            1.0
        } else {
            // Of what is left, small requests serve more callers than large ones.
            let advantage = (bucket.request_size / units.max(1.0)).max(1.0);
            (rate + surplus) / demand.max(1e-9) * advantage
        };
        if random < chance {
            bucket.charge(units);
            bucket.own.add(Totals { used: signed, asked: 0 });
            self.shares.record(id, units, now);
            return Ok(());
        }
        bucket.refused_at = Some(now);
        // Where more is asked for than accrues, the refused callers share what does.
        let missing = (units.min(capacity) - available).max(0.0);
        let crowding = (demand - rate).max(0.0) * RATE_WINDOW.as_secs_f64();
        let wait = (missing + crowding) / rate.max(1e-9);
        let (shortest, longest) = RETRY_BOUNDS;
        let wait = wait.clamp(shortest.as_secs_f64(), longest.as_secs_f64() / 2.0);
        Err(Duration::from_secs_f64(wait * (1.0 + random.clamp(0.0, 1.0))))
    }

    /// Gives back the units of a request that ended without having run.
    pub fn give_back(&mut self, team: &str, units: u64, now: Instant) {
        let Some(id) = self.configured(team) else { return };
        self.refresh(now);
        self.revision += 1;
        let (part, revision) = (self.part, self.revision);
        let bucket = &mut self.teams[id];
        bucket.refill(part, now);
        bucket.changed_at = revision;
        bucket.charge(-(units as f64));
        bucket.level = bucket.level.min(bucket.capacity() * part);
        let signed = i64::try_from(units).unwrap_or(i64::MAX);
        bucket.own = bucket.own.minus(Totals { used: signed, asked: 0 });
    }

    /// Returns the totals that changed after the revision that another node has.
    pub fn report(&mut self, recipient: Recipient<'_>, since: u64, now: Instant) -> TeamUseReport {
        self.refresh(now);
        let follower = match recipient {
            Recipient::Follower(vm) => self.by_peer.get(&Reporter::Follower(vm.into())).copied(),
            _ => None,
        };
        let totals_for = |bucket: &TeamBucket| match recipient {
            Recipient::OwnLeader => bucket.own,
            Recipient::OtherLeader => {
                let mut side = bucket.own;
                side.add(bucket.followers);
                side
            }
            Recipient::Follower(_) => {
                let own = bucket.peers.iter().find(|known| Some(known.peer as usize) == follower);
                bucket.all().minus(own.map_or(Totals::default(), PeerTotals::charged))
            }
        };
        let changed = self.teams.iter().filter(|bucket| bucket.changed_at > since);
        let teams = changed.map(|bucket| {
            let Totals { used, asked } = totals_for(bucket);
            TeamUse { team: bucket.name.clone(), used, asked }
        });
        let heard = match recipient {
            Recipient::OwnLeader => 1,
            Recipient::OtherLeader => self.heard_side(now),
            Recipient::Follower(_) => self.heard(now),
        };
        TeamUseReport {
            revision: self.revision,
            have: 0,
            tenure: self.tenure,
            heard,
            is_full: since == 0,
            teams: teams.collect(),
        }
    }

    /// Charges what another node reports, which was the case at `reported_at`.
    pub fn record(
        &mut self,
        reporter: &Reporter,
        report: &TeamUseReport,
        reported_at: Instant,
        now: Instant,
    ) {
        self.refresh(now);
        let (peer, is_known, share) = self.peer(reporter, report, reported_at);
        self.last_report_at = self.last_report_at.max(Some(reported_at));
        if !is_known {
            // What was used in the pause stays unknown.
            for bucket in &mut self.teams {
                bucket.whole = None;
            }
        }
        self.has_followed |= self.peers[peer].is_own_leader && report.heard > 0;
        for TeamUse { team, used, asked } in &report.teams {
            let id = self.id_of(team, now);
            self.revision += 1;
            let (part, revision) = (self.part, self.revision);
            let is_follower = self.peers[peer].is_follower;
            let bucket = &mut self.teams[id];
            let slot = bucket.peers.iter().position(|known| known.peer as usize == peer);
            let slot = slot.unwrap_or_else(|| {
                bucket.peers.reserve_exact(1);
                bucket.peers.push(PeerTotals { peer: peer as u32, ..PeerTotals::default() });
                bucket.peers.len() - 1
            });
            let known = &mut bucket.peers[slot];
            let mut increase = known.advance(*used, *asked).scaled(share);
            if !is_known {
                // The totals of another tenure are no continuation of those that are known.
                increase = Totals::default();
            }
            known.charge(increase);
            match is_follower {
                true => bucket.followers.add(increase),
                false => bucket.others.add(increase),
            }
            bucket.refill(part, now);
            bucket.charge(increase.used as f64);
            bucket.level = bucket.level.min(bucket.capacity() * part);
            bucket.others_used.add(increase.used.max(0) as f64, now);
            self.shares.record(id, increase.used.max(0) as f64, now);
            bucket.asked.add(increase.asked.max(0) as f64, now);
            if increase.asked > 0 && bucket.size_samples < SIZE_SAMPLES {
                bucket.record_size(increase.asked as f64);
            }
            bucket.changed_at = revision;
        }
        self.update_part(now);
    }

    /// Returns the place of a peer, whether its totals continue known ones, and the share of their
    /// increase that is charged: after a long pause, only that of the time in which this node still
    /// refilled its buckets for both. In the rest of the pause each spent its own part.
    fn peer(
        &mut self,
        reporter: &Reporter,
        report: &TeamUseReport,
        at: Instant,
    ) -> (usize, bool, f64) {
        let state = PeerState {
            is_follower: matches!(reporter, Reporter::Follower(_)),
            is_own_leader: matches!(reporter, Reporter::OwnLeader(_)),
            tenure: report.tenure,
            is_complete: report.is_full,
            heard: report.heard,
            reported_at: at,
        };
        let Some(&index) = self.by_peer.get(reporter) else {
            self.by_peer.insert(reporter.clone(), self.peers.len());
            self.peers.push(state);
            return (self.peers.len() - 1, false, 1.0);
        };
        let former = &self.peers[index];
        let is_same = former.tenure == report.tenure;
        let is_known = is_same && former.is_complete;
        let gap = at.saturating_duration_since(former.reported_at);
        let reported_at = former.reported_at.max(at);
        let is_complete = is_known || report.is_full;
        self.peers[index] = PeerState { reported_at, is_complete, ..state };
        if !is_same {
            let slots = self.teams.iter_mut().flat_map(|bucket| &mut bucket.peers);
            for slot in slots.filter(|slot| slot.peer as usize == index) {
                (slot.used, slot.asked) = (0, 0);
            }
        }
        let share = match gap > LONGEST_PAUSE {
            true => REPORT_LIFETIME.as_secs_f64() / gap.as_secs_f64(),
            false => 1.0,
        };
        (index, is_known, share)
    }

    /// Updates what this node knows of the others: the members with their failure domains, the least
    /// number of nodes to expect shortly after the start, and whether it leads a failure domain. The
    /// members of a `silent` domain, which has a leader that is not heard of, are still there.
    pub fn set_members<'a>(
        &mut self,
        members: impl IntoIterator<Item = (&'a Name, &'a Name)>,
        silent: &[Name],
        expected: u32,
        leads: bool,
        now: Instant,
    ) {
        self.refresh(now);
        for (member, domain) in members {
            match self.members.get_mut(member) {
                Some((known_domain, seen_at)) => {
                    *seen_at = now;
                    if known_domain != domain {
                        known_domain.clone_from(domain);
                    }
                }
                None => drop(self.members.insert(member.clone(), (domain.clone(), now))),
            }
        }
        self.members.retain(|_, (domain, seen_at)| {
            now.saturating_duration_since(*seen_at) < MEMBER_LINGER || silent.contains(domain)
        });
        let is_new = now.saturating_duration_since(self.started_at) < MEMBER_LINGER;
        let expected = if is_new { expected } else { 1 };
        self.known = (self.members.len() as u32).max(expected).max(1);
        self.leads = leads;
        self.update_part(now);
    }

    /// Returns about how many bytes the state of the teams takes.
    pub fn heap_bytes(&self) -> usize {
        let per_team = size_of::<TeamBucket>() + 2 * size_of::<(Name, usize)>();
        let totals = self.teams.iter().map(|bucket| bucket.peers.capacity());
        self.teams.capacity() * per_team + totals.sum::<usize>() * size_of::<PeerTotals>()
    }

    /// Returns the number of nodes that this node hears of, and the number that may be there.
    pub fn coverage(&self, now: Instant) -> (u32, u32) {
        (self.heard(now), self.known)
    }

    fn configured(&self, team: &str) -> Option<usize> {
        let id = *self.by_name.get(team)?;
        self.teams[id].is_configured.then_some(id)
    }

    fn id_of(&mut self, team: &Name, now: Instant) -> usize {
        if let Some(id) = self.by_name.get(team) {
            return *id;
        }
        self.by_name.insert(team.clone(), self.teams.len());
        self.teams.push(TeamBucket::new(team.clone(), now));
        self.teams.len() - 1
    }

    /// Returns the time whose use the other nodes have not reported yet.
    fn unreported_time(&self, now: Instant) -> Duration {
        let age = self.last_report_at.map(|at| now.saturating_duration_since(at));
        match age {
            Some(age) if age < REPORT_LIFETIME => age + REPORT_LAG,
            _ => Duration::ZERO,
        }
    }

    fn is_fresh(peer: &PeerState, now: Instant) -> bool {
        now.saturating_duration_since(peer.reported_at) < REPORT_LIFETIME
    }

    /// Returns the number of nodes that reported to this one directly as followers, and itself.
    fn heard_side(&self, now: Instant) -> u32 {
        let followers =
            self.peers.iter().filter(|peer| peer.is_follower && Self::is_fresh(peer, now));
        1 + followers.count() as u32
    }

    fn heard(&self, now: Instant) -> u32 {
        let fresh = || self.peers.iter().filter(|peer| Self::is_fresh(peer, now));
        let from_leader = fresh().filter(|peer| peer.is_own_leader).map(|peer| peer.heard).max();
        if let Some(heard) = from_leader.filter(|heard| *heard > 0 && !self.leads) {
            return heard;
        }
        let uptime = now.saturating_duration_since(self.started_at);
        if !(self.has_followed || self.leads && uptime >= WARM_UP || uptime >= MEMBER_LINGER) {
            return 0;
        }
        let leaders = fresh().filter(|peer| !peer.is_follower && !peer.is_own_leader);
        self.heard_side(now) + leaders.map(|peer| peer.heard).sum::<u32>()
    }

    fn refresh(&mut self, now: Instant) {
        if now >= self.part_until {
            self.update_part(now);
        }
    }

    /// Recomputes the part of each limit that this node may spend. What accrued until now did so for
    /// the smaller of the former part and the next one.
    fn update_part(&mut self, now: Instant) {
        let heard = self.heard(now);
        let part = match heard {
            // All nodes may have started together, none of which knows how many there are.
            0 => 1.0 / f64::from(self.known.max(ASSUMED_NODES)),
            _ => (f64::from(heard) / f64::from(self.known)).min(1.0),
        };
        let expiries = self.peers.iter().map(|peer| peer.reported_at + REPORT_LIFETIME);
        self.part_until = expiries
            .chain([self.started_at + WARM_UP, self.started_at + MEMBER_LINGER])
            .filter(|at| *at > now)
            .min()
            .unwrap_or(now + MEMBER_LINGER);
        if part.to_bits() == self.part.to_bits() {
            return;
        }
        for bucket in &mut self.teams {
            bucket.set_part(self.part, part, now);
        }
        self.part = part;
    }
}
