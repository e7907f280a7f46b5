//! Tests of teams and their keys, without a network.

use std::time::Instant;

use savoryport_core::node::request::Generation;
use savoryport_core::node::team::{
    MAX_KEY_BYTES, QuotaUnit, RejectedTeams, Team, TeamDirectory, TeamEntry, TeamLimit,
};
use smallvec::SmallVec;

fn entry(name: &str, rank: Option<u8>, keys: &[&str]) -> TeamEntry {
    let team = Team { name: name.into(), rank, unit: QuotaUnit::Requests, limit: None };
    TeamEntry { team, keys: keys.iter().map(|key| (*key).to_owned()).collect() }
}

fn team_name(directory: &TeamDirectory, key: &str) -> Option<String> {
    directory.team_of(key).map(|team| team.name.to_string())
}

#[test]
fn a_key_names_its_team_and_no_other() {
    let entries =
        vec![entry("ada", Some(2), &["k-ada", "k-ada-new"]), entry("bob", None, &["k-bob"])];
    let (directory, rejected) = TeamDirectory::new(entries);
    assert_eq!(rejected, RejectedTeams::default());
    assert_eq!(team_name(&directory, "k-ada").as_deref(), Some("ada"));
    assert_eq!(team_name(&directory, "k-ada-new").as_deref(), Some("ada"));
    assert_eq!(team_name(&directory, "k-bob").as_deref(), Some("bob"));
    for unknown in ["", "k", "k-ad", "K-ADA", "k-ada ", "k-ada\0", "ada"] {
        assert_eq!(team_name(&directory, unknown), None, "{unknown:?}");
    }
}

/// Guards against requests that count for a team which did not send them: a key of several teams names
/// none, in whatever order they are listed.
#[test]
fn a_key_of_two_teams_names_neither() {
    let orders: [&[&str]; 4] =
        [&["ada", "bob"], &["ada", "bob", "ada"], &["ada", "ada", "bob"], &["ada", "bob", "cyd"]];
    for names in orders {
        let entries = names.iter().map(|name| entry(name, None, &["shared", name])).collect();
        let (directory, rejected) = TeamDirectory::new(entries);
        assert_eq!(team_name(&directory, "shared"), None, "{names:?}");
        assert_eq!(rejected, RejectedTeams { ambiguous_keys: 1, ..Default::default() });
        for name in names {
            assert_eq!(team_name(&directory, name).as_deref(), Some(*name));
        }
    }
    // The same key twice in one team is not ambiguous.
    let (directory, rejected) = TeamDirectory::new(vec![entry("ada", None, &["k", "k"])]);
    assert_eq!(team_name(&directory, "k").as_deref(), Some("ada"));
    assert_eq!(rejected, RejectedTeams::default());
}

#[test]
fn a_team_that_is_listed_twice_keeps_its_first_rank_and_all_keys() {
    let entries = vec![entry("ada", Some(2), &["first"]), entry("ada", Some(7), &["second"])];
    let (directory, _) = TeamDirectory::new(entries);
    assert_eq!(directory.teams().count(), 1);
    for key in ["first", "second"] {
        assert_eq!(directory.team_of(key).expect("a team").rank, Some(2));
    }
}

/// Guards against a request without a key that is taken for one of a team whose key is empty.
#[test]
fn nameless_teams_and_unusable_keys_are_left_out() {
    let (longest, too_long) = ("x".repeat(MAX_KEY_BYTES), "x".repeat(MAX_KEY_BYTES + 1));
    let entries =
        vec![entry("", None, &["nameless"]), entry("ada", None, &["", &longest, &too_long])];
    let (directory, rejected) = TeamDirectory::new(entries);
    assert_eq!(rejected, RejectedTeams { unnamed: 1, unusable_keys: 2, ambiguous_keys: 0 });
    assert_eq!(directory.key_count(), 1);
    for key in ["", "nameless", &too_long, &"x".repeat(64 * 1024)] {
        assert_eq!(team_name(&directory, key), None);
    }
    assert_eq!(team_name(&directory, &longest).as_deref(), Some("ada"));
}

/// Guards against a look-up whose time grows with the number of teams or the length of a key: a flood
/// of unknown keys of 64 kB would keep a small VM busy.
#[test]
fn ten_thousand_teams_and_keys_of_64_kb_slow_no_look_up() {
    let entries = (0..10_000)
        .map(|number| entry(&format!("team-{number}"), None, &[&format!("key-{number}")]))
        .collect();
    let (directory, _) = TeamDirectory::new(entries);
    assert_eq!(directory.teams().count(), 10_000);
    let long = "k".repeat(64 * 1024);
    let started = Instant::now();
    for number in 0..100_000 {
        assert_eq!(team_name(&directory, &long), None);
        assert!(directory.team_of("key-9999").is_some(), "{number}");
    }
    // A search through all teams takes minutes, hashing the long keys takes seconds.
    assert!(started.elapsed().as_secs_f64() < 2.0, "{:?}", started.elapsed());
}

#[test]
fn debug_output_shows_no_key() {
    let (directory, _) = TeamDirectory::new(vec![entry("ada", None, &["s3cret"])]);
    let shown = format!("{directory:?} {directory:#?} {:?}", directory.team_of("s3cret"));
    assert!(shown.contains("ada") && !shown.contains("s3cret"), "{shown}");
}

#[test]
fn the_cost_of_a_request_is_its_stated_tokens_or_the_default() {
    let limit = Some(TeamLimit { per_second: 1.0, burst: 0.0 });
    let team = |unit| Team { name: "ada".into(), rank: None, unit, limit };
    let generation = |counts: Option<(u32, u32)>| Generation {
        model: "m0".into(),
        adapter: None,
        prompt_tokens: counts.map_or(0, |(prompt, _)| prompt),
        output_tokens: counts.map_or(0, |(_, output)| output),
        states_tokens: counts.is_some(),
        parts: SmallVec::new(),
    };
    let tokens = team(QuotaUnit::Tokens { default_tokens: 700 });
    assert_eq!(tokens.cost(Some(&generation(Some((90, 10))))), 100);
    assert_eq!(tokens.cost(Some(&generation(Some((0, 0))))), 0);
    // The sum of two counts does not wrap around.
    let most = u64::from(u32::MAX) * 2;
    assert_eq!(tokens.cost(Some(&generation(Some((u32::MAX, u32::MAX))))), most);
    assert_eq!(tokens.cost(Some(&generation(None))), 700);
    assert_eq!(tokens.cost(None), 700);
    let requests = team(QuotaUnit::Requests);
    assert_eq!(requests.cost(Some(&generation(Some((90, 10))))), 1);
    assert_eq!(requests.cost(None), 1);
}
