//! Measures the time to look up a key and to charge a request to its team's quota, with many teams.

use std::error::Error;
use std::hint::black_box;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::Name;
use savoryport_core::node::team::{QuotaUnit, Team, TeamDirectory, TeamEntry, TeamLimit};
use savoryport_core::node::team_quota::{Reporter, TeamQuotas, TeamUse, TeamUseReport};

/// The number of teams.
const TEAMS: usize = 1_000;

/// The number of nodes that report use of all teams.
const PEERS: u64 = 18;

/// The number of requests.
const REQUESTS: u64 = 1_000_000;

/// The time between two requests. Reports age meanwhile, so that part of the requests is refused.
const PERIOD: Duration = Duration::from_micros(25);

/// Prints the times and the memory for the teams.
///
/// # Errors
///
/// Returns an error if a key names no team.
pub fn run() -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let directory = directory();
    let mut quotas = TeamQuotas::new(1, start);
    quotas.apply_limits(Some(&directory), start);
    let warm = start + Duration::from_secs(2);
    record_reports(&mut quotas, warm);
    let keys: Vec<String> = (0..TEAMS).map(|team| format!("key-of-team-{team}")).collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut times, mut admitted) = (Vec::with_capacity(REQUESTS as usize), 0);
    for number in 0..REQUESTS {
        let now = warm + PERIOD * number as u32;
        let key = &keys[rng.random_range(0..TEAMS)];
        let random = rng.random();
        let began = Instant::now();
        let team = directory.team_of(black_box(key)).ok_or("a key names no team")?;
        admitted += u64::from(quotas.try_take(&team.name, 1_000, now, random).is_ok());
        black_box(quotas.is_over_share(&team.name, now));
        times.push(began.elapsed());
    }
    times.sort_unstable();
    let at = |share: f64| times[(times.len() as f64 * share) as usize];
    println!("{TEAMS} teams, {PEERS} peers, {admitted} of {REQUESTS} requests admitted");
    println!(
        "key, quota and share: median {:?}, p99 {:?}, p99.9 {:?}",
        at(0.5),
        at(0.99),
        at(0.999)
    );
    println!("memory of the quotas: {} bytes", quotas.heap_bytes());
    Ok(())
}

fn directory() -> TeamDirectory {
    let entry = |team: usize| TeamEntry {
        team: Team {
            name: format!("team-{team}").into(),
            rank: None,
            unit: QuotaUnit::Tokens { default_tokens: 1_000 },
            limit: Some(TeamLimit { per_second: 100_000.0, burst: 100_000.0 }),
        },
        keys: vec![format!("key-of-team-{team}")],
    };
    TeamDirectory::new((0..TEAMS).map(entry).collect()).0
}

fn record_reports(quotas: &mut TeamQuotas, now: Instant) {
    let names: Vec<Name> = (0..PEERS).map(|peer| format!("vm-{peer}").into()).collect();
    quotas.set_members(names.iter().map(|name| (name, name)), &[], 1, true, now);
    for (tenure, name) in (1..).zip(names) {
        let team_use =
            |team: usize| TeamUse { team: format!("team-{team}").into(), used: 10, asked: 10 };
        let report = TeamUseReport {
            tenure,
            heard: 1,
            is_full: true,
            teams: (0..TEAMS).map(team_use).collect(),
            ..TeamUseReport::default()
        };
        quotas.record(&Reporter::Follower(name), &report, now, now);
    }
}
