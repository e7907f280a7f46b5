//! Tests the decisions of a node against the load patterns that they are made for.

mod node_support;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use node_support::{engine_class, server};
use savoryport_core::Name;
use savoryport_core::node::admission::{AdmissionDecision, AdmissionInput, decide_admission};
use savoryport_core::node::health::{HealthTracker, ServerOutcome};
use savoryport_core::node::leadership::Leadership;
use savoryport_core::node::load::{LoadTracker, ServerLoad};
use savoryport_core::node::placement::{
    DemandAverage, LoadRateLimiter, MissingModel, NeighbourDomain, PlacementInput, PlacementServer,
    WeightSource, next_move, protected_holder, restoring_domain,
};
use savoryport_core::node::prefix::PrefixCacheIndex;
use savoryport_core::node::registry::{BackendServer, Registry, ServerState};
use savoryport_core::node::request::{Generation, PromptPart};
use savoryport_core::node::retry_budget::{RetryBound, RetryBudget};
use savoryport_core::node::selection::{
    Candidate, Distance, SelectionContext, SelectionCosts, SelectionRequest, SpeedEstimates,
    choose_server,
};

/// How long the last copy of a model has to be unused before it may make room for another model.
const MIN_LAST_COPY_IDLE: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a generation with a long prompt: a part that other prompts share and a part of its own.
fn long_prompt(model: &str) -> Generation {
    let parts = [PromptPart { id: 7, tokens: 6_300 }, PromptPart { id: 8, tokens: 2_890 }];
    Generation {
        model: model.into(),
        adapter: None,
        prompt_tokens: 9_190,
        output_tokens: 50,
        states_tokens: true,
        parts: parts.into_iter().collect(),
    }
}

/// The state that the selection of a server depends on.
#[derive(Default)]
struct SelectionState {
    loads: LoadTracker,
    prefixes: PrefixCacheIndex,
    health: HealthTracker,
    speeds: SpeedEstimates,
    copy_ms_per_token: Option<f64>,
}

impl SelectionState {
    fn choose(&self, candidates: &[Candidate<'_>], generation: &Generation, now: Instant) -> Name {
        self.choose_with_source(candidates, generation, now).0
    }

    fn choose_with_source(
        &self,
        candidates: &[Candidate<'_>],
        generation: &Generation,
        now: Instant,
    ) -> (Name, Option<Name>) {
        let cx = SelectionContext {
            loads: &self.loads,
            prefixes: &self.prefixes,
            health: &self.health,
            speeds: &self.speeds,
            costs: SelectionCosts::default(),
            now,
        };
        let keys = generation.prefix_keys();
        let request = SelectionRequest {
            generation: Some(generation),
            keys: &keys,
            service: "drafts",
            rank: 0,
            copy_ms_per_token: self.copy_ms_per_token,
            cache_tokens: None,
        };
        let chosen = choose_server(candidates.iter().copied(), &request, &cx);
        let chosen = chosen.expect("there are candidates");
        let source = chosen.copy_from.map(|source| source.id.clone());
        (chosen.candidate.server.id.clone(), source)
    }
}

fn same_domain(server: &BackendServer) -> Candidate<'_> {
    Candidate { server, distance: Distance::SameDomain, adapter_orders: 0, is_connected: true }
}

#[test]
fn a_burst_of_long_prompts_spreads_over_the_servers() {
    let (a, b) = (server("a", "east", &["m"]), server("b", "east", &["m"]));
    let (mut selection, now) = (SelectionState::default(), Instant::now());
    let mut counts: HashMap<Name, u32> = HashMap::new();
    for _ in 0..20 {
        let chosen = selection.choose(&[same_domain(&a), same_domain(&b)], &long_prompt("m"), now);
        selection.loads.start_request(&chosen, 0, 180.0);
        *counts.entry(chosen).or_default() += 1;
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [10, 10]);
}

#[test]
fn load_from_other_nodes_counts_like_own_load() {
    let (a, b) = (server("a", "east", &["m"]), server("b", "east", &["m"]));
    let (mut selection, now) = (SelectionState::default(), Instant::now());
    let busy = ServerLoad { prefill_ms: [900.0, 0.0, 0.0], running: 5, ..ServerLoad::default() };
    selection.loads.set_other_nodes(HashMap::from([("a".into(), busy)]));
    assert_eq!(
        &*selection.choose(&[same_domain(&a), same_domain(&b)], &long_prompt("m"), now),
        "b"
    );
}

#[test]
fn a_cached_prefix_outweighs_a_short_queue_but_not_a_long_one() {
    let (a, b) = (server("a", "east", &["m"]), server("b", "east", &["m"]));
    let (mut selection, now) = (SelectionState::default(), Instant::now());
    let generation = long_prompt("m");
    selection.prefixes.record(&a.id, a.incarnation, &generation.prefix_keys(), 250_000, now);
    selection.loads.start_request(&a.id, 0, 50.0);
    assert_eq!(&*selection.choose(&[same_domain(&a), same_domain(&b)], &generation, now), "a");
    selection.loads.start_request(&a.id, 0, 400.0);
    assert_eq!(&*selection.choose(&[same_domain(&a), same_domain(&b)], &generation, now), "b");
}

#[test]
fn a_server_without_a_queue_copies_the_cached_prefix() {
    let (a, b) = (server("a", "east", &["m"]), server("b", "east", &["m"]));
    let now = Instant::now();
    let mut selection =
        SelectionState { copy_ms_per_token: Some(0.001), ..SelectionState::default() };
    let generation = long_prompt("m");
    selection.prefixes.record(
        &a.id,
        a.incarnation,
        &generation.prefix_keys()[..1].into(),
        250_000,
        now,
    );
    let choose = |selection: &SelectionState| {
        selection.choose_with_source(&[same_domain(&a), same_domain(&b)], &generation, now)
    };
    assert_eq!(choose(&selection), ("a".into(), None));
    // Without a copy, the prefill of the whole prompt at b takes longer than the queue at a.
    selection.loads.start_request(&a.id, 0, 50.0);
    assert_eq!(choose(&selection), ("b".into(), Some("a".into())));
    selection.copy_ms_per_token = None;
    assert_eq!(choose(&selection), ("a".into(), None));
}

/// Guards against an answer that begins on what another software version has cached.
#[test]
fn a_cached_prefix_is_not_copied_from_a_server_with_other_software() {
    let a = server("a", "east", &["m"]);
    let b = BackendServer { software: "v2".into(), ..server("b", "east", &["m"]) };
    let c = BackendServer { software: "v2".into(), ..server("c", "east", &["m"]) };
    let now = Instant::now();
    let mut selection =
        SelectionState { copy_ms_per_token: Some(0.001), ..SelectionState::default() };
    let generation = long_prompt("m");
    let cached = generation.prefix_keys()[..1].into();
    selection.prefixes.record(&a.id, a.incarnation, &cached, 250_000, now);
    selection.loads.start_request(&a.id, 0, 50.0);
    let choose = |selection: &SelectionState, candidates: &[Candidate<'_>]| {
        selection.choose_with_source(candidates, &generation, now)
    };
    assert_eq!(choose(&selection, &[same_domain(&a), same_domain(&b)]), ("a".into(), None));
    assert_eq!(choose(&selection, &[same_domain(&b)]), ("b".into(), None));
    // A server with the same software has it too.
    selection.prefixes.record(&c.id, c.incarnation, &cached, 250_000, now);
    selection.loads.start_request(&c.id, 0, 50.0);
    let all = [same_domain(&a), same_domain(&b), same_domain(&c)];
    assert_eq!(choose(&selection, &all), ("b".into(), Some("c".into())));
}

#[test]
fn a_short_prefix_is_computed_rather_than_copied() {
    let (a, b) = (server("a", "east", &["m"]), server("b", "east", &["m"]));
    let now = Instant::now();
    let mut selection =
        SelectionState { copy_ms_per_token: Some(0.001), ..SelectionState::default() };
    let parts = [PromptPart { id: 7, tokens: 200 }, PromptPart { id: 8, tokens: 600 }];
    let generation =
        Generation { prompt_tokens: 800, parts: parts.into_iter().collect(), ..long_prompt("m") };
    selection.prefixes.record(
        &a.id,
        a.incarnation,
        &generation.prefix_keys()[..1].into(),
        250_000,
        now,
    );
    selection.loads.start_request(&a.id, 0, 50.0);
    let chosen =
        selection.choose_with_source(&[same_domain(&a), same_domain(&b)], &generation, now);
    assert_eq!(chosen, ("b".into(), None));
}

#[test]
fn a_restarted_server_has_nothing_cached() {
    let (mut index, now) = (PrefixCacheIndex::default(), Instant::now());
    let keys = long_prompt("m").prefix_keys();
    index.record(&"a".into(), 1, &keys, 250_000, now);
    assert_eq!(index.cached_tokens("a", 1, &keys), 9_190);
    assert_eq!(index.cached_tokens("a", 2, &keys), 0);
}

#[test]
fn a_full_cache_evicts_its_least_recently_used_parts() {
    let (mut index, now) = (PrefixCacheIndex::default(), Instant::now());
    let prompt = |id: u64| {
        let mut generation = long_prompt("m");
        generation.parts = [PromptPart { id, tokens: 1_000 }].into_iter().collect();
        generation.prefix_keys()
    };
    for id in 0..11 {
        index.record(&"a".into(), 1, &prompt(id), 10_000, now + ms(id));
    }
    assert_eq!(index.cached_tokens("a", 1, &prompt(0)), 0);
    assert_eq!(index.cached_tokens("a", 1, &prompt(10)), 1_000);
}

#[test]
fn a_server_that_fails_part_of_its_requests_gets_little_work() {
    let (a, b) = (server("a", "east", &["m"]), server("b", "east", &["m"]));
    let (mut selection, now) = (SelectionState::default(), Instant::now());
    for failed in [true, false, true, false, true] {
        let outcome = if failed { ServerOutcome::Failed } else { ServerOutcome::Answered };
        selection.health.record_outcome(&a.id, outcome, now);
    }
    selection.loads.start_request(&b.id, 0, 300.0);
    assert_eq!(
        &*selection.choose(&[same_domain(&a), same_domain(&b)], &long_prompt("m"), now),
        "b"
    );
}

#[test]
fn an_unreachable_server_is_paused_and_then_tried_again() {
    let (mut health, now) = (HealthTracker::default(), Instant::now());
    health.record_outcome(&"a".into(), ServerOutcome::Unreachable, now);
    assert!(health.is_paused("a", now + ms(200)));
    assert!(!health.is_paused("a", now + ms(300)));
    for _ in 0..10 {
        health.record_outcome(&"a".into(), ServerOutcome::Unreachable, now);
    }
    assert!(health.is_paused("a", now + ms(1_900)));
    assert!(!health.is_paused("a", now + ms(2_100)));
}

#[test]
fn a_server_in_another_region_is_chosen_only_when_local_ones_would_take_longer() {
    let (a, far) = (server("a", "east", &["m"]), server("far", "west", &["m"]));
    let (mut selection, now) = (SelectionState::default(), Instant::now());
    let candidates = [
        same_domain(&a),
        Candidate {
            server: &far,
            distance: Distance::OtherRegion,
            adapter_orders: 0,
            is_connected: true,
        },
    ];
    selection.loads.start_request(&a.id, 0, 60.0);
    assert_eq!(&*selection.choose(&candidates, &long_prompt("m"), now), "a");
    selection.loads.start_request(&a.id, 0, 200.0);
    assert_eq!(&*selection.choose(&candidates, &long_prompt("m"), now), "far");
}

#[test]
fn a_request_whose_first_token_would_come_too_late_is_refused_at_once() {
    let input = |expected| AdmissionInput {
        rank: 2,
        expected_latency: ms(expected),
        elapsed: Duration::ZERO,
        queue_time: Duration::ZERO,
        target_latency: ms(800),
        time_left: ms(5_000),
        is_over_share: false,
    };
    assert_matches!(decide_admission(&input(200), 0.5), AdmissionDecision::Admit { priority: 6 });
    assert_matches!(decide_admission(&input(900), 0.5), AdmissionDecision::Admit { priority: 8 });
    let refused = decide_admission(&input(9_000), 0.0);
    assert_matches!(refused, AdmissionDecision::Refuse { retry_after } if retry_after >= ms(8_600));
}

/// Simulates a flood: requests with a prefill of 240 ms each arrive twice as fast as one server can
/// process them. Returns the time to the first token of each admitted request, in milliseconds.
fn simulate_flood_at_one_server() -> Vec<u64> {
    let (mut free_at, mut served) = (0, Vec::new());
    for arrival in (0..6_000).step_by(120) {
        let start = arrival.max(free_at);
        let input = AdmissionInput {
            rank: 0,
            expected_latency: ms(start + 240 - arrival),
            elapsed: Duration::ZERO,
            queue_time: Duration::ZERO,
            target_latency: ms(800),
            time_left: ms(5_000),
            is_over_share: false,
        };
        if matches!(decide_admission(&input, 0.5), AdmissionDecision::Admit { .. }) {
            free_at = start + 240;
            served.push(free_at - arrival);
        }
    }
    served
}

#[test]
fn admitted_requests_of_a_flood_are_served_on_time_or_slightly_late() {
    let served = simulate_flood_at_one_server();
    assert!(served.len() >= 25, "only {} requests were admitted", served.len());
    assert!(served.iter().all(|took| *took <= 1_000), "{served:?}");
}

#[test]
fn a_request_is_not_refused_for_its_wait_for_a_model_load() {
    let input = AdmissionInput {
        rank: 1,
        expected_latency: ms(300),
        elapsed: ms(4_000),
        queue_time: Duration::ZERO,
        target_latency: ms(1_500),
        time_left: ms(11_000),
        is_over_share: false,
    };
    assert_matches!(decide_admission(&input, 0.5), AdmissionDecision::Admit { .. });
    let queued = AdmissionInput { queue_time: ms(1_800), ..input };
    assert_matches!(decide_admission(&queued, 0.5), AdmissionDecision::Refuse { .. });
}

#[test]
fn refused_callers_are_told_different_retry_times() {
    let input = AdmissionInput {
        rank: 0,
        expected_latency: ms(9_000),
        elapsed: Duration::ZERO,
        queue_time: Duration::ZERO,
        target_latency: ms(800),
        time_left: ms(5_000),
        is_over_share: false,
    };
    assert!(decide_admission(&input, 0.1) != decide_admission(&input, 0.9));
}

#[test]
fn late_requests_of_a_rank_come_after_those_on_time_but_before_the_next_rank() {
    let priority_of = |rank, expected| {
        let input = AdmissionInput {
            rank,
            expected_latency: ms(expected),
            elapsed: Duration::ZERO,
            queue_time: Duration::ZERO,
            target_latency: ms(800),
            time_left: ms(5_000),
            is_over_share: false,
        };
        match decide_admission(&input, 0.0) {
            AdmissionDecision::Admit { priority } => priority,
            AdmissionDecision::Refuse { .. } => panic!("the request can be on time"),
        }
    };
    assert!(priority_of(0, 100) < priority_of(0, 1_000));
    assert!(priority_of(0, 1_000) < priority_of(1, 100));
}

#[test]
fn repeats_of_all_nodes_together_stay_within_the_bound_in_every_window() {
    let bound = RetryBound { ratio: 0.2, extra: 58.0 };
    let (service, now): (Name, _) = ("drafts".into(), Instant::now());
    let nodes = 9;
    let mut budgets: Vec<RetryBudget> =
        (0..nodes).map(|_| RetryBudget::new(bound, nodes)).collect();
    // Every request fails, and every node retries as often as its budget allows, for many windows.
    for _ in 0..50 {
        let (mut requests, mut retries) = (0.0, 0.0);
        for budget in &mut budgets {
            for _ in 0..40 {
                requests += 1.0;
                budget.on_request(&service, now);
                while budget.try_take(&service, now) {
                    retries += 1.0;
                }
            }
        }
        assert!(
            retries <= bound.ratio * requests + bound.extra,
            "{retries} retries of {requests} requests"
        );
    }
}

#[test]
fn more_nodes_than_allowed_retries_still_retry_within_the_bound() {
    let bound = RetryBound { ratio: 0.2, extra: 20.0 };
    let (service, start): (Name, _) = ("drafts".into(), Instant::now());
    let mut budgets = vec![RetryBudget::new(bound, 200); 200];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    // Windows with many requests, with few, and with none.
    for (second, per_node) in (0..120_u64).map(|second| (second, [4, 1, 0][second as usize / 40])) {
        let now = start + ms(second * 1_000);
        let mut taken = 0.0;
        for budget in &mut budgets {
            (0..per_node).for_each(|_| budget.on_request(&service, now));
            while budget.try_take(&service, now) {
                taken += 1.0;
            }
        }
        requests.push(200.0 * f64::from(per_node));
        retries.push(taken);
    }
    let sum = |counts: &[f64], from: usize| counts[from..from + 10].iter().sum::<f64>();
    for from in 10..110 {
        let most = [from, from - 5, from - 10].map(|from| sum(&requests, from));
        let allowed = bound.ratio * most.into_iter().fold(0.0, f64::max) + bound.extra;
        let taken = sum(&retries, from);
        assert!(taken <= allowed, "{taken} retries from second {from}, {allowed} allowed");
    }
    assert!(sum(&retries, 20) > 0.2 * bound.ratio * sum(&requests, 20), "none is allowed to retry");
}

/// The first order comes a whole hand-over time after the leadership was acquired, and the last one
/// before the store can give the lease to another node.
#[test]
fn a_holder_waits_a_whole_turn_and_stops_before_its_lease_can_lapse() {
    let (now, time_to_live, hand_over) = (Instant::now(), ms(2_000), ms(3_000));
    let mut leadership = Leadership::new(time_to_live);
    leadership.on_acquired(41, now, now, hand_over);
    assert_eq!(leadership.active_token(now + ms(100)), None);
    for step in 1..=4 {
        leadership.on_renewed(now + ms(700 * step));
    }
    assert_eq!(leadership.active_token(now + ms(3_100)), Some(41));
    // The last renewal was sent at 2,800 ms, so the store may give the lease to another node at
    // 4,800 ms.
    assert_eq!(leadership.active_token(now + ms(4_700)), None);
}

/// Guards against a leader that gives orders after its process was suspended beyond its lease.
#[test]
fn a_thawed_holder_gives_no_order() {
    let (now, time_to_live) = (Instant::now(), ms(2_000));
    let mut leadership = Leadership::new(time_to_live);
    leadership.on_acquired(41, now, now, Duration::ZERO);
    assert_eq!(leadership.active_token(now), Some(41));
    assert_eq!(leadership.active_token(now + Duration::from_secs(6)), None);
}

#[test]
fn entries_lost_in_a_store_outage_are_kept_for_two_seconds() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.put(server("a", "east", &["m"]));
    registry.put(server("b", "east", &["m"]));
    registry.replace(vec![server("a", "east", &["m"])], Some(now));
    assert!(registry.expire(now + ms(1_900)).is_empty());
    assert_eq!(registry.expire(now + ms(2_000)), ["b".into()]);
    assert_eq!(registry.servers().len(), 1);
}

#[test]
fn a_server_that_is_shutting_down_does_not_become_ready_again_by_an_older_entry() {
    let mut registry = Registry::default();
    let draining = ServerState::Draining { gone_after_ms: None };
    registry.put(BackendServer { state: draining.clone(), ..server("a", "east", &["m"]) });
    registry.put(server("a", "east", &["m"]));
    assert_eq!(registry.servers()["a"].state, draining);
    let restarted = BackendServer { incarnation: 2, ..server("a", "east", &["m"]) };
    registry.put(restarted.clone());
    assert!(registry.servers()["a"].is_ready());
    assert!(registry.is_outdated(&server("a", "east", &["m"])), "an entry of before the restart");
    assert!(!registry.is_outdated(&restarted));
    registry.remove("a");
    assert!(registry.is_outdated(&restarted), "an entry of before it left");
    registry.put(restarted.clone());
    assert!(!registry.is_outdated(&restarted), "it has written its entry again");
}

#[test]
fn an_entry_missing_from_a_listing_without_an_outage_is_removed_at_once() {
    let mut registry = Registry::default();
    registry.put(server("a", "east", &["m"]));
    registry.replace(Vec::new(), None);
    assert!(registry.servers().is_empty());
}

/// A failure domain with the input of its placement decisions.
struct Domain {
    name: Name,
    servers: Vec<BackendServer>,
    holders: HashMap<Name, Vec<Name>>,
    missing: BTreeMap<Name, MissingModel>,
    demand: HashMap<Name, f64>,
    neighbours: Vec<NeighbourDomain>,
    loaded_at: HashMap<Name, Instant>,
    used_at: BTreeMap<Name, Instant>,
    demand_is_known: bool,
    capacity_share: HashMap<Name, f64>,
}

impl Domain {
    fn new(servers: &[(&str, &[&str])], elsewhere: &[&str]) -> Self {
        let mut holders: HashMap<Name, Vec<Name>> = HashMap::new();
        for model in elsewhere {
            holders.entry((*model).into()).or_default().push("elsewhere".into());
        }
        for (id, models) in servers {
            for model in *models {
                holders.entry((*model).into()).or_default().push((*id).into());
            }
        }
        Self {
            name: "east".into(),
            servers: servers.iter().map(|(id, models)| server(id, "east", models)).collect(),
            holders,
            missing: BTreeMap::new(),
            demand: HashMap::new(),
            neighbours: Vec::new(),
            loaded_at: HashMap::new(),
            used_at: BTreeMap::new(),
            demand_is_known: true,
            capacity_share: HashMap::new(),
        }
    }

    fn next(&self, store_load_allowed: bool) -> Option<(Name, Name)> {
        self.next_with_requests(store_load_allowed, &BTreeMap::new())
    }

    /// Returns the server and the model of the next load, given the requests in flight.
    fn next_with_requests(
        &self,
        store_load_allowed: bool,
        requests_by_model: &BTreeMap<Name, u32>,
    ) -> Option<(Name, Name)> {
        let class = engine_class();
        let servers: Vec<PlacementServer<'_>> = self
            .servers
            .iter()
            .map(|server| PlacementServer {
                server,
                models: server.models.iter().map(|model| model.name.clone()).collect(),
                requests_by_model: requests_by_model.clone(),
                used_at: self.used_at.clone(),
                adapter_requests: 0,
                free_mb: class.memory_mb - 70_000.0 * server.models.len() as f64,
                accepts_orders: true,
                capacity_share: self.capacity_share.get(&server.id).copied().unwrap_or(1.0),
                loaded_at: &self.loaded_at,
            })
            .collect();
        let input = PlacementInput {
            class: &class,
            servers: &servers,
            holders: &self.holders,
            missing: &self.missing,
            domain: &self.name,
            demand: &self.demand,
            demand_is_known: self.demand_is_known,
            neighbours: &self.neighbours,
            store_load_allowed,
            least_store_value: 0.0,
            now: Instant::now(),
        };
        let chosen = next_move(&input)?;
        let is_requested = self.missing.get(&chosen.load) == Some(&MissingModel::Requested);
        for model in &chosen.unload {
            let is_last = protected_holder(model, &self.holders[model]) == Some(&chosen.server);
            let idle = self.used_at.get(model).map(Instant::elapsed).unwrap_or_default();
            let in_flight = requests_by_model.get(model).copied().unwrap_or(0);
            let is_unused = idle >= MIN_LAST_COPY_IDLE && in_flight == 0;
            assert!(!is_last || is_requested && is_unused, "the last copy of {model} is evicted");
        }
        Some((chosen.server, chosen.load))
    }
}

#[test]
fn demand_for_a_model_held_only_elsewhere_loads_a_copy_in_the_domain() {
    let mut domain = Domain::new(&[("a", &["m0", "m1"])], &["m2"]);
    assert_eq!(domain.next(true), None);
    domain.demand.insert("m2".into(), 0.3);
    assert_eq!(domain.next(true), Some(("a".into(), "m2".into())));
}

#[test]
fn the_domains_of_a_region_together_load_as_many_copies_as_their_demand_needs() {
    // Each of three domains has a demand of 0.25 servers: two copies suffice for all of them.
    let domains: [Name; 3] = ["east".into(), "north".into(), "south".into()];
    let demand = HashMap::from([("m2".into(), 0.25)]);
    let loads = domains.iter().filter(|own| {
        let mut domain = Domain::new(&[("a", &["m0", "m1"])], &["m2"]);
        domain.name = (*own).clone();
        domain.demand.clone_from(&demand);
        let others = domains.iter().filter(|name| name != own).map(|name| NeighbourDomain {
            domain: name.clone(),
            demand: demand.clone(),
            ..NeighbourDomain::default()
        });
        domain.neighbours = others.collect();
        domain.next(true).is_some()
    });
    assert_eq!(loads.count(), 2);
}

#[test]
fn a_copy_in_a_neighbour_domain_is_enough_for_low_demand() {
    let mut domain = Domain::new(&[("a", &["m0", "m1"])], &["m2"]);
    domain.demand.insert("m2".into(), 0.2);
    domain.neighbours = vec![NeighbourDomain {
        domain: "north".into(),
        copies: HashMap::from([("m2".into(), 1.0)]),
        ..NeighbourDomain::default()
    }];
    assert_eq!(domain.next(true), None);
    domain.demand.insert("m2".into(), 0.6);
    assert_eq!(domain.next(true), Some(("a".into(), "m2".into())));
}

#[test]
fn a_model_that_only_a_limited_server_holds_gets_a_copy_at_another_one() {
    let mut domain = Domain::new(&[("a", &["m0", "m2"]), ("b", &["m0", "m1"])], &["m1"]);
    for demand in [0.01, 0.3] {
        domain.demand.insert("m2".into(), demand);
        domain.capacity_share.clear();
        assert_eq!(domain.next(true), None);
        domain.capacity_share.insert("a".into(), 0.015);
        assert_eq!(domain.next(true), Some(("b".into(), "m2".into())));
    }
    domain.demand.insert("m2".into(), 0.001);
    assert_eq!(domain.next(true), None, "the limit leaves enough");
}

#[test]
fn a_limited_server_is_not_given_more_models() {
    let mut domain = Domain::new(&[("a", &["m0", "m1"])], &["m2"]);
    domain.demand.insert("m2".into(), 0.3);
    domain.capacity_share.insert("a".into(), 0.015);
    assert_eq!(domain.next(true), None);
}

#[test]
fn a_copy_without_streams_is_evicted_before_one_with_streams() {
    let three = ["m0", "m1", "m4"];
    let mut domain = Domain::new(&[("a", &three), ("b", &three)], &["m0", "m1", "m2", "m4"]);
    domain.demand.extend([("m2".into(), 0.4), ("m0".into(), 0.02)]);
    // Server a holds a model without demand, but with a stream in flight.
    domain.servers[1].models.retain(|model| &*model.name == "m0");
    domain.servers[1].models.extend(server("b", "east", &["m3", "m5"]).models);
    domain.holders.extend([
        ("m3".into(), vec!["b".into(), "elsewhere".into()]),
        ("m5".into(), vec!["b".into(), "elsewhere".into()]),
    ]);
    domain.demand.extend([("m3".into(), 0.05), ("m5".into(), 0.05)]);
    let streams = BTreeMap::from([("m0".into(), 1), ("m1".into(), 1), ("m4".into(), 1)]);
    assert_eq!(domain.next_with_requests(true, &streams), Some(("b".into(), "m2".into())));
}

#[test]
fn a_single_request_does_not_cause_a_load() {
    let mut average = DemandAverage::default();
    let (now, model) = (Instant::now(), Name::from("m2"));
    average.observe(&HashMap::new(), now);
    average.observe(&HashMap::from([(model.clone(), 180.0)]), now + ms(100));
    let mut domain = Domain::new(&[("a", &["m0", "m1"])], &["m2"]);
    domain.demand = average.demand();
    assert_eq!(domain.next(true), None);
    for step in 2..30 {
        average.observe(&HashMap::from([(model.clone(), 30.0)]), now + ms(100 * step));
    }
    domain.demand = average.demand();
    assert_eq!(domain.next(true), Some(("a".into(), "m2".into())));
}

#[test]
fn a_missing_model_that_requests_wait_for_is_loaded_first() {
    let mut domain = Domain::new(&[("a", &["m0", "m1"])], &[]);
    domain.missing.insert("m2".into(), MissingModel::NotRequested);
    domain.missing.insert("m3".into(), MissingModel::Requested);
    assert_eq!(domain.next(true), Some(("a".into(), "m3".into())));
    domain.missing.remove("m3");
    assert_eq!(domain.next(true), Some(("a".into(), "m2".into())));
}

#[test]
fn the_last_copy_of_a_model_stays_whatever_the_demand() {
    let mut domain = Domain::new(&[("a", &["m0", "m1", "m3"])], &["m2"]);
    domain.demand.insert("m2".into(), 5.0);
    assert_eq!(domain.next(true), None);
}

#[test]
fn models_load_only_from_disk_or_memory_while_store_loads_are_not_allowed() {
    let mut domain = Domain::new(&[("a", &["m0"]), ("b", &["m1"])], &["m2"]);
    domain.demand.insert("m2".into(), 0.3);
    assert_eq!(domain.next(false), None);
    domain.servers[1].on_disk.push("m2".into());
    assert_eq!(domain.next(false), Some(("b".into(), "m2".into())));
}

#[test]
fn loads_of_all_domains_together_stay_within_the_weight_stores_rate() {
    let (rate, window, domains) = (2.1, Duration::from_secs(5), 3);
    let now = Instant::now();
    let mut limiters: Vec<LoadRateLimiter> =
        (0..domains).map(|index| LoadRateLimiter::new(rate, window, index, domains)).collect();
    let mut started: Vec<Instant> = Vec::new();
    for step in 0..400 {
        let at = now + ms(50 * step);
        for limiter in &mut limiters {
            if limiter.may_start_load(at) {
                limiter.record_load(at);
                started.push(at);
            }
        }
    }
    for start in &started {
        let within = started.iter().filter(|at| **at >= *start && **at < *start + window).count();
        assert!(within as f64 <= rate * window.as_secs_f64(), "{within} loads in a window");
    }
}

#[test]
fn a_new_holder_counts_the_window_as_used() {
    let now = Instant::now();
    let mut limiter = LoadRateLimiter::new(2.1, Duration::from_secs(5), 0, 3);
    limiter.assume_exhausted(now);
    assert!(!limiter.may_start_load(now + ms(4_900)));
    assert!(limiter.may_start_load(now + ms(5_000)));
}

#[test]
fn every_node_computes_the_same_restoring_domain_for_a_missing_model() {
    let domains: Vec<Name> = vec!["east".into(), "west".into(), "south".into()];
    let reversed: Vec<Name> = domains.iter().rev().cloned().collect();
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for number in 0..300 {
        let model = format!("m{number}");
        let found = restoring_domain(&model, domains.iter()).expect("there are domains");
        assert_eq!(Some(found), restoring_domain(&model, reversed.iter()));
        *counts.entry(found.clone()).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count > 60), "{counts:?}");
    assert_eq!(WeightSource::Memory.min(WeightSource::Store), WeightSource::Memory);
}

#[test]
fn copies_laid_out_at_the_start_stay_until_demand_is_known() {
    // Load pattern: a small fleet starts with several copies of the models that will be busy, and
    // with none of the others. Nobody has asked for anything yet.
    let laid_out = ["m0", "m1", "m3"];
    let mut domain = Domain::new(&[("a", &laid_out), ("b", &laid_out)], &laid_out);
    domain.demand_is_known = false;
    domain.missing.insert("m2".into(), MissingModel::NotRequested);
    assert_eq!(domain.next(true), None);
    domain.missing.insert("m2".into(), MissingModel::Requested);
    assert!(domain.next(true).is_some(), "a model that requests wait for is loaded all the same");
    domain.missing.insert("m2".into(), MissingModel::NotRequested);
    domain.demand_is_known = true;
    assert!(domain.next(true).is_some());
}

#[test]
fn an_unused_last_copy_makes_room_only_for_a_model_that_requests_wait_for() {
    // Load pattern: requests for rare models, of which the servers cannot hold all at once.
    let mut domain = Domain::new(&[("a", &["m0", "m1", "m3"])], &[]);
    let now = Instant::now();
    let (idle, in_use) = (now - Duration::from_secs(3), now);
    domain.used_at =
        BTreeMap::from([("m0".into(), in_use), ("m1".into(), idle), ("m3".into(), in_use)]);
    domain.missing.insert("m2".into(), MissingModel::NotRequested);
    assert_eq!(domain.next(true), None);
    domain.missing.insert("m2".into(), MissingModel::Requested);
    assert_eq!(domain.next(true), Some(("a".into(), "m2".into())));
    let streams = BTreeMap::from([("m1".into(), 1)]);
    assert_eq!(domain.next_with_requests(true, &streams), None);
    domain.used_at.insert("m1".into(), in_use);
    assert_eq!(domain.next(true), None);
}

#[test]
fn a_store_rate_below_the_number_of_domains_is_kept_and_not_rounded_away() {
    let (window, domains) = (Duration::from_secs(5), 6);
    let now = Instant::now();
    for (rate, expected) in [(0.5, 2), (2.3, 11), (4.4, 22)] {
        let loads: usize = (0..domains)
            .map(|index| {
                let mut limiter = LoadRateLimiter::new(rate, window, index, domains);
                let mut loads = 0;
                while limiter.may_start_load(now) {
                    limiter.record_load(now);
                    loads += 1;
                }
                loads
            })
            .sum();
        assert_eq!(loads, expected, "at {rate} loads a second");
    }
}

#[test]
fn a_domain_tells_how_long_a_load_waits_for_its_turn() {
    let (window, now) = (Duration::from_secs(5), Instant::now());
    let mut limiter = LoadRateLimiter::new(2.0, window, 0, 5);
    limiter.record_load(now - ms(2_000));
    assert_eq!(limiter.wait_for_load(0, now), Some(Duration::ZERO));
    limiter.record_load(now - ms(1_000));
    assert_eq!(limiter.wait_for_load(0, now), Some(ms(3_000)));
    assert_eq!(limiter.wait_for_load(1, now), Some(ms(4_000)));
    assert_eq!(limiter.wait_for_load(2, now), Some(ms(8_000)));
    let mut without_loads = LoadRateLimiter::new(0.4, window, 4, 5);
    assert_eq!(without_loads.wait_for_load(0, now), None);
}

#[test]
fn streams_spread_to_servers_with_small_batches() {
    // Load pattern: many short prompts with long answers. Nothing waits for a prefill, but the
    // streams of a full batch pause.
    let (a, b) = (server("a", "east", &["m"]), server("b", "north", &["m"]));
    let (mut selection, now) = (SelectionState::default(), Instant::now());
    let near = same_domain(&a);
    let far = Candidate {
        server: &b,
        distance: Distance::SameRegion,
        adapter_orders: 0,
        is_connected: true,
    };
    let short = Generation { prompt_tokens: 60, output_tokens: 280, ..long_prompt("m") };
    let running = |count| ServerLoad { running: count, ..ServerLoad::default() };
    selection.loads.set_other_nodes(HashMap::from([("a".into(), running(8))]));
    assert_eq!(&*selection.choose(&[near, far], &short, now), "a");
    let busy = HashMap::from([("a".into(), running(44)), ("b".into(), running(30))]);
    selection.loads.set_other_nodes(busy);
    assert_eq!(&*selection.choose(&[near, far], &short, now), "b");
}

#[test]
fn the_work_of_a_stream_follows_the_time_that_streams_take() {
    let mut speeds = SpeedEstimates::default();
    let model = Name::from("m");
    for _ in 0..200 {
        speeds.record_decode(&model, 200, ms(2_000));
    }
    // A stream of 200 tokens takes 2 s in a batch of 48, which is 42 ms of the server's time.
    let work = speeds.decode_work_ms(&model, 200, 64);
    assert!((40.0..43.0).contains(&work), "{work} ms");
    assert!(speeds.decode_work_ms(&model, 200, 24) > 2.0 * work);
}

#[test]
fn a_node_keeps_to_the_servers_that_it_is_connected_to() {
    // Load pattern: a request every second at each of hundreds of nodes, before a few servers of a
    // service without models.
    let (a, b) = (server("a", "east", &["m"]), server("b", "east", &["m"]));
    let (mut selection, now) = (SelectionState::default(), Instant::now());
    let unconnected = Candidate { is_connected: false, ..same_domain(&a) };
    let short = Generation { prompt_tokens: 60, output_tokens: 10, ..long_prompt("m") };
    assert_eq!(&*selection.choose(&[unconnected, same_domain(&b)], &short, now), "b");
    let waiting = ServerLoad { prefill_ms: [40.0, 0.0, 0.0], running: 4, ..ServerLoad::default() };
    selection.loads.set_other_nodes(HashMap::from([("b".into(), waiting)]));
    assert_eq!(&*selection.choose(&[unconnected, same_domain(&b)], &short, now), "a");
}
