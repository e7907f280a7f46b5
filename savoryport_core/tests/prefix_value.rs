//! Replays the loads that the weighing of a cached prefix answers: prompts that return to servers
//! whose memory is shared by running streams and cached prefixes.

mod node_support;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use node_support::server;
use savoryport_core::Name;
use savoryport_core::node::health::HealthTracker;
use savoryport_core::node::load::{LoadTracker, ServerLoad};
use savoryport_core::node::prefix::PrefixCacheIndex;
use savoryport_core::node::prefix_value::{PrefixOutcome, judge_prefix};
use savoryport_core::node::registry::BackendServer;
use savoryport_core::node::request::{Generation, PromptPart};
use savoryport_core::node::selection::{
    Candidate, Choice, Distance, SelectionContext, SelectionCosts, SelectionRequest,
    SpeedEstimates, choose_server,
};

/// The capacity of each server's KV cache, in tokens.
const CACHE_TOKENS: u64 = 100_000;

/// Servers `a` and `b` with what a node knows of them.
struct Replay {
    servers: [BackendServer; 2],
    loads: HashMap<Name, ServerLoad>,
    prefixes: PrefixCacheIndex,
    copy_ms_per_token: Option<f64>,
    rank: u8,
    start: Instant,
}

impl Replay {
    fn new() -> Self {
        Self {
            servers: [server("a", "east", &["m"]), server("b", "east", &["m"])],
            loads: HashMap::new(),
            prefixes: PrefixCacheIndex::weighing(),
            copy_ms_per_token: None,
            rank: 0,
            start: Instant::now(),
        }
    }

    fn at(&self, s: f64) -> Instant {
        self.start + Duration::from_secs_f64(s)
    }

    fn record(&mut self, server: &str, prompt: &Generation, s: f64) {
        let now = self.at(s);
        self.prefixes.record(&server.into(), 1, &prompt.prefix_keys(), CACHE_TOKENS, now);
    }

    fn set_load(&mut self, server: &str, prefill_ms: f32, running: u32, tokens: u32) {
        let load =
            ServerLoad { prefill_ms: [prefill_ms, 0.0, 0.0], running, tokens: [0, tokens, 0] };
        self.loads.insert(server.into(), load);
    }

    /// Calls `check` with the choice among the servers for which `is_candidate` returns true.
    fn choose<T>(
        &self,
        prompt: &Generation,
        s: f64,
        cache_tokens: Option<u64>,
        is_candidate: impl Fn(&str) -> bool,
        check: impl FnOnce(&Choice<'_>) -> T,
    ) -> T {
        let mut loads = LoadTracker::default();
        loads.set_other_nodes(self.loads.clone());
        let cx = SelectionContext {
            loads: &loads,
            prefixes: &self.prefixes,
            health: &HealthTracker::default(),
            speeds: &SpeedEstimates::default(),
            costs: SelectionCosts::default(),
            now: self.at(s),
        };
        let request = SelectionRequest {
            generation: Some(prompt),
            keys: &prompt.prefix_keys(),
            service: "drafts",
            rank: self.rank,
            copy_ms_per_token: self.copy_ms_per_token,
            cache_tokens,
        };
        let candidates: Vec<Candidate<'_>> = self
            .servers
            .iter()
            .filter(|server| is_candidate(&server.id))
            .map(|server| Candidate {
                server,
                distance: Distance::SameDomain,
                adapter_orders: 0,
                is_connected: true,
            })
            .collect();
        check(&choose_server(candidates.into_iter(), &request, &cx).expect("there are candidates"))
    }

    fn chosen(&self, prompt: &Generation, s: f64) -> Name {
        let server = |choice: &Choice<'_>| choice.candidate.server.id.clone();
        self.choose(prompt, s, Some(CACHE_TOKENS), |_| true, server)
    }

    fn chosen_without_weighing(&self, prompt: &Generation, s: f64) -> Name {
        let server = |choice: &Choice<'_>| choice.candidate.server.id.clone();
        self.choose(prompt, s, None, |_| true, server)
    }

    fn held_at_a(&self, prompt: &Generation, s: f64) -> u32 {
        let held = |choice: &Choice<'_>| choice.prefix.held_tokens;
        self.choose(prompt, s, Some(CACHE_TOKENS), |id| id == "a", held)
    }
}

/// Returns a prompt whose first 8,000 tokens are common to all prompts with this id.
fn prompt(common: u64, own: u64) -> Generation {
    let parts = [PromptPart { id: common, tokens: 8_000 }, PromptPart { id: own, tokens: 1_000 }];
    Generation {
        model: "m".into(),
        adapter: None,
        prompt_tokens: 9_000,
        output_tokens: 100,
        states_tokens: true,
        parts: parts.into_iter().collect(),
    }
}

/// Guards against waiting for a prefix that running streams have evicted.
#[test]
fn a_server_full_of_running_streams_does_not_attract_by_an_old_prefix() {
    let mut replay = Replay::new();
    replay.record("a", &prompt(1, 2), 0.0);
    assert_eq!(replay.held_at_a(&prompt(1, 3), 1.0), 8_000);
    replay.set_load("a", 40.0, 40, 105_000);
    replay.set_load("b", 60.0, 40, 10_000);
    assert_eq!(&*replay.chosen_without_weighing(&prompt(1, 3), 1.0), "a");
    assert_eq!(&*replay.chosen(&prompt(1, 3), 1.0), "b");
}

/// Guards against following a prefix that a burst of other prompts has evicted.
#[test]
fn a_burst_of_other_prompts_lowers_the_expected_saving_step_by_step() {
    let mut replay = Replay::new();
    replay.record("a", &prompt(1, 2), 0.0);
    let mut held = Vec::new();
    for burst in 0..13_u64 {
        held.push(replay.held_at_a(&prompt(1, 3), 1.0 + burst as f64 * 0.01));
        replay.record("a", &prompt(100 + burst, burst), 1.0 + burst as f64 * 0.01);
    }
    assert_eq!((held[0], held[12]), (8_000, 0), "{held:?}");
    assert!(held.is_sorted_by(|a, b| a >= b), "{held:?}");
    assert!(held.iter().any(|held| (1_000..7_000).contains(held)), "{held:?}");
}

/// Guards against a saving that is expected of a cache which a restart has emptied.
#[test]
fn a_restart_loses_the_prefix_and_an_unreachable_server_perhaps() {
    let mut replay = Replay::new();
    replay.record("a", &prompt(1, 2), 0.0);
    replay.prefixes.record_unreachable("a", replay.at(0.5));
    assert_eq!(replay.held_at_a(&prompt(1, 3), 1.0), 4_000);
    replay.record("a", &prompt(1, 4), 1.1);
    assert_eq!(replay.held_at_a(&prompt(1, 3), 1.2), 8_000);
    replay.servers[0].incarnation = 2;
    assert_eq!(replay.held_at_a(&prompt(1, 3), 1.3), 0);
}

/// Guards against a saving that is expected where a full server refused the only such prompt.
#[test]
fn a_refused_prompt_is_forgotten_unless_its_parts_were_known() {
    let mut replay = Replay::new();
    let forget = |replay: &mut Replay, own, s| {
        let at = replay.at(s);
        replay.prefixes.forget("a", 1, &prompt(1, own).prefix_keys(), at);
    };
    replay.record("a", &prompt(1, 2), 0.0);
    forget(&mut replay, 2, 0.0);
    assert_eq!(replay.held_at_a(&prompt(1, 3), 0.1), 0);
    replay.record("a", &prompt(1, 2), 0.2);
    replay.record("a", &prompt(1, 3), 0.3);
    forget(&mut replay, 3, 0.3);
    assert_eq!(replay.held_at_a(&prompt(1, 3), 0.4), 8_000);
}

/// Guards against losing the affinity of a session while memory is free, and against keeping it
/// when the records of other nodes are missing although streams use most of the memory.
#[test]
fn a_session_returns_to_its_server_while_the_memory_allows_it() {
    let mut replay = Replay::new();
    let turn = prompt(1, 2);
    replay.record("a", &turn, 0.0);
    replay.set_load("a", 30.0, 8, 20_000);
    replay.set_load("b", 0.0, 8, 20_000);
    assert_eq!(&*replay.chosen(&turn, 0.5), "a");
    replay.set_load("a", 30.0, 8, 60_000);
    assert_eq!(replay.held_at_a(&turn, 0.1), 9_000);
    assert!(replay.held_at_a(&turn, 30.0) < 1_000);
    assert_eq!(&*replay.chosen(&turn, 30.0), "b");
}

/// Guards against both extremes: a busy server that attracts by any prefix, and an idle one that
/// reads a long prefix anew where the queue is short.
#[test]
fn the_wait_at_a_busy_server_is_weighed_against_an_idle_one() {
    let mut replay = Replay::new();
    replay.record("a", &prompt(1, 2), 0.0);
    for (queued_ms, expected) in [(50.0, "a"), (140.0, "a"), (190.0, "b"), (600.0, "b")] {
        replay.set_load("a", queued_ms, 4, 20_000);
        assert_eq!(&*replay.chosen(&prompt(1, 3), 0.2), expected, "{queued_ms} ms");
    }
    // An idle server copies the prefix instead, as long as it is probably there.
    replay.copy_ms_per_token = Some(0.001);
    let source = |choice: &Choice<'_>| choice.copy_from.map(|source| source.id.clone());
    let copied =
        |replay: &Replay, s| replay.choose(&prompt(1, 3), s, Some(CACHE_TOKENS), |_| true, source);
    assert_eq!(copied(&replay, 0.2).as_deref(), Some("a"));
    replay.set_load("a", 600.0, 40, 110_000);
    assert_eq!(copied(&replay, 0.2), None);
}

/// Guards against a request that waits for memory, or has others preempted, while there is room
/// elsewhere.
#[test]
fn a_request_that_does_not_fit_counts_the_wait_or_the_preemption() {
    let mut replay = Replay::new();
    replay.set_load("a", 0.0, 10, 96_000);
    let costs = |choice: &Choice<'_>| (choice.prefix.memory_wait_ms, choice.prefix.preemption_ms);
    let urgent = replay.choose(&prompt(1, 3), 0.1, Some(CACHE_TOKENS), |id| id == "a", costs);
    assert!(urgent.0 == 0.0 && urgent.1 > 0.0, "{urgent:?}");
    replay.rank = 1;
    let equal = replay.choose(&prompt(1, 3), 0.1, Some(CACHE_TOKENS), |id| id == "a", costs);
    assert!(equal.0 > 0.0 && equal.1 == 0.0, "{equal:?}");
    assert_eq!(&*replay.chosen(&prompt(1, 3), 0.1), "b");
}

/// Guards against a caller that states far too many tokens, and makes its server look full for ever.
#[test]
fn a_request_counts_for_at_most_the_whole_memory() {
    let mut replay = Replay::new();
    let huge = Generation { prompt_tokens: u32::MAX, output_tokens: u32::MAX, ..prompt(1, 3) };
    let held = |choice: &Choice<'_>| choice.prefix.memory_tokens;
    let tokens = replay.choose(&huge, 0.1, Some(CACHE_TOKENS), |id| id == "a", held);
    assert_eq!(u64::from(tokens), CACHE_TOKENS);
    let mut long = prompt(2, 5);
    long.parts[1].tokens = u32::MAX;
    replay.record("a", &prompt(1, 2), 0.0);
    replay.record("a", &long, 0.1);
    assert_eq!(replay.held_at_a(&prompt(1, 3), 0.2), 8_000);
    let mut loads = LoadTracker::default();
    loads.start_request(&"a".into(), 0, 1.0);
    loads.start_request(&"a".into(), 0, 1.0);
    loads.hold_tokens("a", 0, 500);
    loads.hold_tokens("a", 0, tokens);
    loads.release_tokens("a", 0, tokens);
    assert_eq!(loads.total("a").tokens, [500, 0, 0]);
}

/// Guards against a new copy of a prefix that evicts prefixes in use, where another server has only
/// ones that nobody uses any more.
#[test]
fn a_new_copy_is_placed_where_it_displaces_prefixes_out_of_use() {
    let mut replay = Replay::new();
    for id in 0..11 {
        replay.record("a", &prompt(10 + id, id), 10.0 + id as f64 * 0.1);
        replay.record("b", &prompt(30 + id, id), 10.0 + id as f64 * 0.1);
        replay.record("a", &prompt(10 + id, id), 12.0 + id as f64 * 0.1);
    }
    let displaced = |choice: &Choice<'_>| choice.prefix.displaced_ms;
    let cost = |server: &str| {
        replay.choose(&prompt(1, 3), 14.0, Some(CACHE_TOKENS), |id| id == server, displaced)
    };
    assert!(cost("a") > 20.0 && cost("b") == 0.0, "{} {}", cost("a"), cost("b"));
    assert_eq!(&*replay.chosen_without_weighing(&prompt(1, 3), 14.0), "a");
    assert_eq!(&*replay.chosen(&prompt(1, 3), 14.0), "b");
}

/// Guards against counting waits of another kind as lost prefixes.
#[test]
fn only_a_delay_of_about_the_saving_counts_as_a_miss() {
    let ms = Duration::from_millis;
    let judge = |took| judge_prefix(ms(60), ms(160), ms(took));
    assert_eq!(judge(120), Some(PrefixOutcome::Found));
    assert_eq!(judge(215), Some(PrefixOutcome::Missed));
    assert_eq!(judge(900), None);
    assert_eq!(judge_prefix(ms(800), ms(160), ms(960)), None);
}
