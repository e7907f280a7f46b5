//! Replays floods of teams over 100 nodes that learn of each other's requests late, without a network.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::Name;
use savoryport_core::node::team::{QuotaUnit, Team, TeamDirectory, TeamEntry, TeamLimit};
use savoryport_core::node::team_quota::{Recipient, Reporter, TeamQuotas, TeamUse, TeamUseReport};

const NODES: usize = 100;
const DOMAINS: usize = 6;
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 1.1;
const TOLERANCE: f64 = 110_000.0;

/// A team's usual use as a share of its limit.
const USUAL_SHARE: f64 = 1.0 / 1.8;

/// The limits of the teams, in tokens a second.
const RATES: [f64; 8] =
    [29_000.0, 60_000.0, 120_000.0, 200_000.0, 360_000.0, 500_000.0, 750_000.0, 750_000.0];

fn directory(rates: &[f64]) -> TeamDirectory {
    let entry = |(index, rate): (usize, &f64)| {
        let limit = Some(TeamLimit { per_second: *rate, burst: *rate });
        let unit = QuotaUnit::Tokens { default_tokens: 1_000 };
        let team = Team { name: format!("team-{index}").into(), rank: None, unit, limit };
        TeamEntry { team, keys: Vec::new() }
    };
    TeamDirectory::new(rates.iter().enumerate().map(entry).collect()).0
}

/// A team, the multiple of its usual use that it sends, and its beginning and end in milliseconds.
type Flood = (usize, f64, u64, u64);

enum Event {
    Sync(usize),
    Exchange(usize),
    /// A report that arrives, and whether it is answered.
    Arrive {
        from: usize,
        to: usize,
        report: TeamUseReport,
        kind: Kind,
        asked_ms: u64,
    },
    Ask {
        team: usize,
        tokens: u64,
        tries: u32,
    },
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    FollowerRequest,
    FollowerReply,
    LeaderRequest,
    LeaderReply,
}

struct SimNode {
    name: Name,
    domain: usize,
    period_ms: u64,
    quotas: TeamQuotas,
    tenure: u64,
    /// For each other node, the revision that it has of this one's totals.
    acknowledged: HashMap<usize, u64>,
    frozen_until: u64,
    down_until: u64,
}

struct Sim {
    now_ms: u64,
    base: Instant,
    rng: SmallRng,
    rates: Vec<f64>,
    nodes: Vec<SimNode>,
    weights: Vec<f64>,
    leaders: Vec<Option<usize>>,
    /// The events to come, by their time and a number.
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    /// Domains between which no messages pass: a bit for each domain.
    cut_off: u8,
    /// By team, the time and size of admitted requests.
    admitted: Vec<Vec<(u64, u64)>>,
    /// By team, the time of each first attempt, and whether it was admitted.
    first_attempts: Vec<Vec<(u64, bool)>>,
    tenures: u64,
}

impl Sim {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let base = Instant::now();
        let nodes = (0..NODES).map(|index| SimNode {
            name: format!("vm-{index}").into(),
            domain: index % DOMAINS,
            period_ms: rng.random_range(50..=300),
            quotas: TeamQuotas::new(index as u64 + 1, base),
            tenure: index as u64 + 1,
            acknowledged: HashMap::new(),
            frozen_until: 0,
            down_until: 0,
        });
        let nodes: Vec<SimNode> = nodes.collect();
        let weights = (0..NODES).map(|_| rng.random_range(0.2..2.0)).collect();
        let mut sim = Self {
            now_ms: 0,
            base,
            rates: RATES.to_vec(),
            nodes,
            weights,
            leaders: (0..DOMAINS).map(Some).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            cut_off: 0,
            admitted: vec![Vec::new(); RATES.len()],
            first_attempts: vec![Vec::new(); RATES.len()],
            tenures: 1_000,
            rng,
        };
        for node in 0..NODES {
            sim.configure(node);
            let start = sim.rng.random_range(0..300);
            sim.at(start, Event::Sync(node));
            sim.at(start, Event::Exchange(node));
        }
        sim
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((ms, self.event_count), event);
    }

    fn configure(&mut self, node: usize) {
        let (directory, now) = (directory(&self.rates), self.now());
        self.nodes[node].quotas.apply_limits(Some(&directory), now);
    }

    /// Starts a node again that has lost its state.
    fn restart(&mut self, node: usize, down_ms: u64) {
        self.tenures += 1;
        let now = self.now() + Duration::from_millis(down_ms);
        self.nodes[node].quotas = TeamQuotas::new(self.tenures, now);
        self.nodes[node].acknowledged.clear();
        self.nodes[node].tenure = self.tenures;
        for other in &mut self.nodes {
            other.acknowledged.remove(&node);
        }
        self.nodes[node].down_until = self.now_ms + down_ms;
        self.configure(node);
    }

    fn is_up(&self, node: usize) -> bool {
        self.now_ms >= self.nodes[node].down_until
    }

    fn can_pass(&self, from: usize, to: usize) -> bool {
        let side = |node: usize| self.cut_off >> self.nodes[node].domain & 1;
        side(from) == side(to)
    }

    fn run(&mut self, until_ms: u64, floods: &[Flood]) {
        while self.now_ms < until_ms {
            for (team, rate) in RATES.iter().enumerate() {
                let is_now =
                    |flood: &&Flood| flood.0 == team && (flood.2..flood.3).contains(&self.now_ms);
                let factor = floods.iter().find(is_now).map_or(1.0, |flood| flood.1);
                // The mean of a size that is uniform on a logarithmic scale.
                let mean = (10_000.0 - 200.0) / (10_000.0_f64 / 200.0).ln();
                let mut expected = rate * USUAL_SHARE * factor / mean / 1e3;
                while expected > 0.0 {
                    if self.rng.random::<f64>() < expected.min(1.0) {
                        let size: f64 = self.rng.random();
                        let tokens = (200.0 * 50.0_f64.powf(size)) as u64;
                        self.ask(team, tokens, 0);
                    }
                    expected -= 1.0;
                }
            }
            while let Some(next) = self.events.first_entry()
                && next.key().0 <= self.now_ms
            {
                let event = next.remove();
                self.handle(event);
            }
            self.now_ms += 1;
        }
    }

    fn ask(&mut self, team: usize, tokens: u64, tries: u32) {
        let node = loop {
            let node = self.rng.random_range(0..NODES);
            if self.rng.random::<f64>() * 2.0 < self.weights[node] {
                break node;
            }
        };
        if self.nodes[node].frozen_until > self.now_ms || !self.is_up(node) {
            return;
        }
        let (now, random) = (self.now(), self.rng.random());
        let name = format!("team-{team}");
        let result = self.nodes[node].quotas.try_take(&name, tokens, now, random);
        if tries == 0 {
            self.first_attempts[team].push((self.now_ms, result.is_ok()));
        }
        match result {
            Ok(()) => self.admitted[team].push((self.now_ms, tokens)),
            Err(wait) if tries < 1 => {
                let back_at = self.now_ms + wait.as_millis() as u64;
                self.at(back_at, Event::Ask { team, tokens, tries: tries + 1 });
            }
            Err(_) => {}
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let busy = match &event {
            Event::Sync(node) | Event::Exchange(node) => Some(*node),
            Event::Arrive { to, .. } => Some(*to),
            Event::Ask { .. } => None,
        };
        // A frozen node handles what waits for it once it goes on.
        if let Some(node) = busy.filter(|node| self.nodes[*node].frozen_until > now_ms) {
            let until = self.nodes[node].frozen_until;
            return self.at(until, event);
        }
        match event {
            Event::Ask { team, tokens, tries } => self.ask(team, tokens, tries),
            Event::Sync(node) => {
                let next = now_ms + self.nodes[node].period_ms;
                self.at(next, Event::Sync(node));
                if !self.is_up(node) {
                    return;
                }
                self.set_members(node);
                let leader = self.leaders[self.nodes[node].domain];
                if let Some(leader) = leader.filter(|leader| *leader != node) {
                    self.send(node, leader, Kind::FollowerRequest, now_ms, 5);
                }
            }
            Event::Exchange(node) => {
                self.at(now_ms + 100, Event::Exchange(node));
                if self.is_up(node) && self.leaders.contains(&Some(node)) {
                    let others = self.leaders.clone().into_iter().flatten();
                    for other in others.filter(|other| *other != node) {
                        self.send(node, other, Kind::LeaderRequest, now_ms, 10);
                    }
                }
            }
            Event::Arrive { from, to, report, kind, asked_ms } => {
                let is_stale = report.tenure != self.nodes[from].tenure;
                if !self.can_pass(from, to) || !self.is_up(to) || is_stale {
                    return;
                }
                let asked_at = self.base + Duration::from_millis(asked_ms);
                let name = self.nodes[from].name.clone();
                let (reporter, at) = match kind {
                    Kind::FollowerRequest => (Reporter::Follower(name), now),
                    Kind::LeaderRequest => (Reporter::OtherLeader(name), now),
                    Kind::FollowerReply => (Reporter::OwnLeader(name), asked_at),
                    Kind::LeaderReply => (Reporter::OtherLeader(name), asked_at),
                };
                self.nodes[to].quotas.record(&reporter, &report, at, now);
                self.nodes[from].acknowledged.insert(to, report.revision);
                match kind {
                    Kind::FollowerRequest => {
                        self.send(to, from, Kind::FollowerReply, asked_ms, 5);
                    }
                    Kind::LeaderRequest => self.send(to, from, Kind::LeaderReply, asked_ms, 10),
                    Kind::FollowerReply | Kind::LeaderReply => {}
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, kind: Kind, asked_ms: u64, delay_ms: u64) {
        let (now, name) = (self.now(), self.nodes[to].name.clone());
        let recipient = match kind {
            Kind::FollowerRequest => Recipient::OwnLeader,
            Kind::FollowerReply => Recipient::Follower(&name),
            Kind::LeaderRequest | Kind::LeaderReply => Recipient::OtherLeader,
        };
        let node = &mut self.nodes[from];
        let since = node.acknowledged.get(&to).copied().unwrap_or(0);
        let report = node.quotas.report(recipient, since, now);
        let event = Event::Arrive { from, to, report, kind, asked_ms };
        self.at(self.now_ms + delay_ms, event);
    }

    fn set_members(&mut self, node: usize) {
        let visible = (0..NODES).filter(|other| self.is_up(*other) && self.can_pass(node, *other));
        let members: Vec<(Name, Name)> = visible
            .map(|other| {
                let SimNode { name, domain, .. } = &self.nodes[other];
                (name.clone(), format!("domain-{domain}").into())
            })
            .collect();
        // All domains keep their leaders in the store, which both sides reach.
        let is_silent = |domain: &Name| members.iter().all(|(_, seen)| seen != domain);
        let domains = (0..DOMAINS).map(|domain| Name::from(format!("domain-{domain}")));
        let silent: Vec<Name> = domains.filter(is_silent).collect();
        let (leads, now) = (self.leaders.contains(&Some(node)), self.now());
        let members = members.iter().map(|(name, domain)| (name, domain));
        self.nodes[node].quotas.set_members(members, &silent, (NODES / 2) as u32, leads, now);
    }

    /// Returns the largest use of each team within a window that begins at `from_ms` or later, as a
    /// share of what is allowed.
    fn worst_windows(&self, from_ms: u64, rates: &[f64]) -> Vec<f64> {
        let worst = self.admitted.iter().zip(rates).map(|(admitted, rate)| {
            let allowed = (rate * WINDOW_MS as f64 / 1e3 + rate) * OVERAGE + TOLERANCE;
            let (mut sum, mut worst, mut first) = (0, 0, 0);
            let later: Vec<_> = admitted.iter().filter(|(at, _)| *at >= from_ms).collect();
            for (at, tokens) in &later {
                sum += tokens;
                while later[first].0 + WINDOW_MS <= *at {
                    sum -= later[first].1;
                    first += 1;
                }
                worst = worst.max(sum);
            }
            worst as f64 / allowed
        });
        worst.collect()
    }

    /// Returns the share of first attempts of a team that were admitted between two times.
    fn admitted_share(&self, team: usize, from_ms: u64, to_ms: u64) -> f64 {
        let attempts =
            self.first_attempts[team].iter().filter(|(at, _)| (from_ms..to_ms).contains(at));
        let results: Vec<bool> = attempts.map(|(_, is_admitted)| *is_admitted).collect();
        results.iter().filter(|is_admitted| **is_admitted).count() as f64 / results.len() as f64
    }
}

#[test]
fn teams_below_their_limits_are_rarely_refused() {
    // Guards against taking a few large requests of a small team for a flood. A single bucket that
    // knows of every request at once admits 99.3% of those of the smallest team.
    for seed in 10..13 {
        let mut sim = Sim::new(seed);
        sim.run(60_000, &[]);
        for (team, rate) in RATES.iter().enumerate() {
            let share = sim.admitted_share(team, 8_000, 60_000);
            let expected = if *rate < 50_000.0 { 0.97 } else { 0.995 };
            assert!(share >= expected, "seed {seed}: {share:.4} of team {team}");
        }
    }
}

/// Asserts that no team used more than it may in any window that begins at `from_ms` or later.
fn assert_within_limits(sim: &Sim, from_ms: u64, rates: &[f64]) {
    for (team, worst) in sim.worst_windows(from_ms, rates).iter().enumerate() {
        assert!(*worst <= 1.0, "team {team} used {worst:.3} of what it may");
    }
}

#[test]
fn floods_stay_within_the_limits_and_do_not_refuse_other_teams() {
    for seed in 0..3 {
        let mut sim = Sim::new(seed);
        let floods = [
            (6, 7.5, 20_000, 31_000),
            (4, 4.0, 45_000, 50_000),
            (5, 7.5, 45_000, 56_000),
            (0, 7.5, 45_000, 56_000),
        ];
        sim.run(75_000, &floods);
        assert_within_limits(&sim, 0, &RATES);
        for team in [1, 2, 3, 7] {
            let share = sim.admitted_share(team, 10_000, 75_000);
            assert!(share >= 0.985, "seed {seed}: {share:.4} of team {team} were admitted");
        }
        for (team, rate) in RATES.iter().enumerate().filter(|(_, rate)| **rate > 100_000.0) {
            // Refusals that are due to nothing but the estimate.
            let share = sim.admitted_share(team, 8_000, 20_000);
            assert!(share >= 0.99, "seed {seed}: {share:.4} of team {team} ({rate}/s)");
        }
        // A flood gets most of what the team may use, and its end is noticed.
        let in_flood = |at: u64| (22_000..31_000).contains(&at);
        let admitted = sim.admitted[6].iter().filter(|(at, _)| in_flood(*at));
        let used: u64 = admitted.map(|(_, tokens)| tokens).sum();
        assert!(used as f64 >= 0.9 * 9.0 * RATES[6], "seed {seed}: {used} tokens");
        assert!(sim.admitted_share(6, 40_000, 75_000) >= 0.99);
    }
}

#[test]
fn limits_hold_while_nodes_freeze_and_leaders_are_lost() {
    // Guards against use that a dead leader had received and not passed on, and against a node that
    // spends by what it knew before it froze.
    for seed in 0..3 {
        let mut sim = Sim::new(seed);
        let floods = [(6, 7.5, 18_000, 29_000), (4, 5.0, 18_000, 29_000)];
        sim.run(20_000, &floods);
        for node in [6, 13, 20] {
            sim.nodes[node].frozen_until = 22_000;
        }
        sim.leaders[1] = None;
        sim.nodes[1].down_until = 90_000;
        sim.run(21_500, &floods);
        sim.leaders[1] = Some(7);
        sim.run(23_000, &floods);
        // A leader that freezes keeps its followers' reports in its buffers.
        sim.nodes[2].frozen_until = 25_000;
        sim.run(45_000, &floods);
        assert_within_limits(&sim, 0, &RATES);
        assert!(sim.admitted_share(7, 35_000, 45_000) >= 0.99);
    }
}

#[test]
fn both_sides_of_a_divided_system_together_stay_within_the_limits() {
    for seed in 0..3 {
        let mut sim = Sim::new(seed);
        let floods = [(6, 7.5, 18_000, 45_000), (5, 4.0, 25_000, 36_000)];
        sim.run(20_000, &floods);
        sim.cut_off = 0b000_011;
        sim.run(24_000, &floods);
        // A limit that is lowered meanwhile binds four seconds and a window later.
        let mut lowered = RATES;
        lowered[6] /= 2.0;
        sim.rates = lowered.to_vec();
        for node in 0..NODES {
            sim.configure(node);
        }
        sim.run(34_000, &floods);
        sim.cut_off = 0;
        sim.run(55_000, &floods);
        assert_within_limits(&sim, 0, &RATES);
        assert_within_limits(&sim, 28_000, &lowered);
        let share = sim.admitted_share(2, 45_000, 55_000);
        assert!(share >= 0.99, "seed {seed}: {share:.4}");
    }
}

#[test]
fn a_herd_of_starting_nodes_stays_within_the_limits() {
    for seed in 0..3 {
        let mut sim = Sim::new(seed);
        let floods: Vec<Flood> = (4..8).map(|team| (team, 6.0, 15_000, 35_000)).collect();
        sim.run(20_000, &floods);
        for node in 0..NODES {
            let down_ms = sim.rng.random_range(200..1_500);
            sim.restart(node, down_ms);
        }
        sim.run(26_000, &floods);
        // A third of the nodes once more, leaders among them.
        for node in 0..NODES / 3 {
            sim.restart(node, 800);
        }
        sim.run(50_000, &floods);
        assert_within_limits(&sim, 0, &RATES);
        for team in 1..4 {
            let share = sim.admitted_share(team, 30_000, 50_000);
            assert!(share >= 0.98, "seed {seed}: {share:.4} of team {team}");
        }
    }
}

/// Returns a node that hears of 18 others, each of which used something of 1,000 teams.
fn node_with_many_teams(now: Instant) -> TeamQuotas {
    let mut quotas = TeamQuotas::new(1, now);
    quotas.apply_limits(Some(&directory(&[50_000.0; 1_000])), now);
    let names: Vec<Name> = (0..18).map(|index| format!("vm-{index}").into()).collect();
    let members = names.iter().map(|name| (name, name));
    let now = now + Duration::from_secs(2);
    quotas.set_members(members, &[], 1, true, now);
    for (index, name) in names.into_iter().enumerate() {
        let teams = (0..1_000).map(|team| TeamUse {
            team: format!("team-{team}").into(),
            used: 10,
            asked: 12,
        });
        let report = TeamUseReport {
            tenure: index as u64,
            heard: 1,
            is_full: true,
            teams: teams.collect(),
            ..TeamUseReport::default()
        };
        quotas.record(&Reporter::Follower(name), &report, now, now);
    }
    quotas
}

#[test]
fn the_state_of_a_thousand_teams_takes_less_than_a_megabyte() {
    assert!(node_with_many_teams(Instant::now()).heap_bytes() < 1_000_000);
}

#[test]
fn a_request_that_did_not_run_gives_its_tokens_back() {
    let start = Instant::now();
    let mut quotas = TeamQuotas::new(1, start);
    quotas.apply_limits(Some(&directory(&[1_000.0])), start);
    let vm: Name = "vm".into();
    quotas.set_members([(&vm, &vm)], &[], 1, true, start + Duration::from_secs(2));
    let now = start + Duration::from_secs(10);
    assert_eq!(quotas.try_take("team-0", 900, now, 0.0), Ok(()));
    let wait = quotas.try_take("team-0", 900, now, 0.5).expect_err("nothing is left");
    assert!(wait >= Duration::from_millis(800) && wait <= Duration::from_secs(8), "{wait:?}");
    quotas.give_back("team-0", 900, now);
    let report = quotas.report(Recipient::OwnLeader, 0, now);
    assert_eq!((report.teams[0].used, report.teams[0].asked), (0, 1_800));
    assert_eq!(quotas.try_take("team-0", 900, now, 0.0), Ok(()));
    // A request that would use up the limit for hours is refused, however little it takes.
    let later = now + Duration::from_secs(9);
    assert!(quotas.try_take("team-0", u64::from(u32::MAX), later, 0.0).is_err());
    // A request larger than the bucket is admitted at times, and charged whole.
    let later = later + Duration::from_secs(9);
    assert!(quotas.try_take("team-0", 4_000, later, 0.3).is_err());
    assert_eq!(quotas.try_take("team-0", 4_000, later, 0.2), Ok(()));
    assert!(quotas.try_take("team-0", 1, later + Duration::from_secs(2), 0.0).is_err());
    // Teams without a limit are not refused.
    assert_eq!(quotas.try_take("unknown", u64::MAX, now, 0.9), Ok(()));
}
