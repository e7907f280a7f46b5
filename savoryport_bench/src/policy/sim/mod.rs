//! Simulates one run of a policy: replays a trace on a fleet of simulated engines in virtual time.

mod placement;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::demand::DemandEstimator;
use savoryport_core::dispatch::{Action, Dispatch, DispatchConfig, Request, RequestEnd, Sample};
use savoryport_core::entry_selection::choose_entries;
use savoryport_core::placement::Plan;
use savoryport_core::table::Row;
use smallvec::SmallVec;

use super::deployment::{Deployment, SLOTS};
use super::engine::{FakeEngine, prefill_time, token_time};
use super::policies::{Placement, Policy, Routing};
use super::score::{Score, is_flooded_by_other};
use super::upper_bound;
use super::workload::{Faults, TRACE_SECONDS, TraceRequest, Workload};

/// The guaranteed share of the slots for each rank, which equals the default of the daemons.
pub const GUARANTEED_SHARES: [f64; 3] = [0.6, 0.3, 0.1];

/// The interval between checks of the deadlines, in seconds.
const TICK_PERIOD: f64 = 0.02;

/// The interval between plans, in seconds.
const PLAN_PERIOD: f64 = 2.0;

/// The interval between load reports, in seconds.
const REPORT_PERIOD: f64 = 1.0;

/// The duration of the initial placement, in seconds; its loads do not count as moves.
const WARM_UP: f64 = 60.0;

/// The one-way delay between regions, in seconds.
const REGION_DELAY: f64 = 0.020;

/// The maximum number of new copies that may displace others in one plan.
const MOVE_BUDGET: usize = 2;

/// The queue length at a server from which the least-recently-used baseline adds a copy.
const LRU_COPY_THRESHOLD: usize = 8;

#[derive(Debug, Clone, PartialEq)]
enum Event {
    Arrive(usize),
    ReachEngine { request: usize, engine: usize },
    Finish { request: usize, engine: usize },
    Tick,
    Plan,
    Report { engine: usize, waiting: u32, running: u32 },
    SampleLoad,
    Loaded { engine: usize, model: Name },
    LoseEngine(usize),
}

#[derive(Debug, PartialEq)]
struct ScheduledEvent {
    at: f64,
    sequence: u64,
    event: Event,
}

impl Eq for ScheduledEvent {}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// The progress of one request, in seconds. `sent_at` and `first_token_at` count from the start of
/// the trace.
#[derive(Debug, Clone, Copy, Default)]
struct RequestProgress {
    entry: usize,
    sent_at: f64,
    first_token_at: f64,
    between_tokens: f64,
    is_finished: bool,
}

struct Simulation<'a> {
    deployment: &'a Deployment,
    items: Vec<&'a Row>,
    policy: Policy,
    workload: Workload,
    faults: Faults,
    trace: &'a [TraceRequest],
    start: Instant,
    now: f64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled_count: u64,
    engines: Vec<FakeEngine>,
    /// The models in each engine's memory, and whether each has finished loading.
    loaded: Vec<HashMap<Name, bool>>,
    last_used: Vec<HashMap<Name, f64>>,
    entries: Vec<Dispatch>,
    entry_regions: Vec<Name>,
    in_flight: Vec<u32>,
    progress: Vec<RequestProgress>,
    round_robin_turns: HashMap<usize, usize>,
    demand: HashMap<Name, f64>,
    estimator: DemandEstimator,
    plan: Plan,
    loads_waiting: VecDeque<(usize, Name)>,
    loads_in_progress: u32,
    next_load_at: f64,
    random_state: u64,
    score: Score,
}

/// Simulates a policy on a trace and returns its score.
pub fn run(
    deployment: &Deployment,
    workload: Workload,
    policy: Policy,
    trace: &[TraceRequest],
) -> Score {
    let mut sim = Simulation::new(deployment, workload, policy, trace);
    sim.run();
    let (bound, bound_urgent) = upper_bound::compute_upper_bounds(deployment, &sim.faults, trace);
    Score { bound, bound_urgent, ..sim.score }
}

impl<'a> Simulation<'a> {
    fn new(
        deployment: &'a Deployment,
        workload: Workload,
        policy: Policy,
        trace: &'a [TraceRequest],
    ) -> Self {
        let faults = workload.faults(deployment);
        let count = deployment.engines.len();
        let entry = |region: &Name| {
            Dispatch::new(DispatchConfig {
                region: region.clone(),
                shares: GUARANTEED_SHARES,
                initial_limit: 8.0,
                max_limit: 256.0,
                region_round_trip: Duration::from_secs_f64(
                    REGION_DELAY * 2.0 + faults.added_round_trip,
                ),
                prefill_per_token: Duration::from_micros(150),
            })
        };
        let entry_regions: Vec<Name> =
            deployment.entries.iter().map(|vm| vm.region.clone()).collect();
        Self {
            deployment,
            items: deployment.items(),
            policy,
            workload,
            trace,
            start: Instant::now(),
            now: 0.0,
            events: BinaryHeap::new(),
            scheduled_count: 0,
            engines: (0..count).map(|_| FakeEngine::default()).collect(),
            loaded: vec![HashMap::new(); count],
            last_used: vec![HashMap::new(); count],
            entries: entry_regions.iter().map(entry).collect(),
            entry_regions,
            in_flight: vec![0; count],
            progress: vec![RequestProgress::default(); trace.len()],
            round_robin_turns: HashMap::new(),
            demand: HashMap::new(),
            estimator: DemandEstimator::default(),
            plan: Plan::default(),
            loads_waiting: VecDeque::new(),
            loads_in_progress: 0,
            next_load_at: 0.0,
            random_state: 1,
            score: Score::default(),
            faults,
        }
    }

    fn run(&mut self) {
        self.place_initially();
        for request in 0..self.trace.len() {
            self.schedule(self.trace[request].arrival, Event::Arrive(request));
        }
        for (at, engine) in self.faults.lost_engines.clone() {
            self.schedule(at, Event::LoseEngine(engine));
        }
        self.schedule(TICK_PERIOD, Event::Tick);
        self.schedule(PLAN_PERIOD, Event::Plan);
        self.schedule(REPORT_PERIOD, Event::SampleLoad);
        self.record_flood_capacity();
        while let Some(Reverse(next)) = self.events.pop() {
            self.now = next.at;
            self.handle(next.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.on_arrival(request),
            Event::ReachEngine { request, engine } => self.on_reach_engine(request, engine),
            Event::Finish { request, engine } => self.on_finish(request, engine),
            Event::Tick => self.on_tick(),
            Event::Plan => self.on_plan(),
            Event::SampleLoad => self.on_sample_load(),
            Event::Report { engine, waiting, running } => {
                let (name, now) = (self.deployment.engines[engine].name.clone(), self.instant());
                for entry in &mut self.entries {
                    entry.record_load(&name, waiting, running, now);
                }
            }
            Event::Loaded { engine, model } => self.on_loaded(engine, &model),
            Event::LoseEngine(engine) => self.on_engine_lost(engine),
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled_count += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.scheduled_count, event }));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    /// Returns a pseudorandom number from 0 to 1, which depends only on the calls before it.
    fn random_unit(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random_state >> 33) as f64 / f64::from(1_u32 << 31)
    }

    fn model_of_item(&self, item: usize) -> &Name {
        let row = self.items[item];
        row.base.as_ref().unwrap_or(&row.name)
    }

    fn on_arrival(&mut self, request: usize) {
        let req = &self.trace[request];
        self.score.offered[req.rank.index()] += 1;
        if is_flooded_by_other(self.workload, req.rank, req.arrival) {
            let rank = req.rank.index();
            self.score.flood_offered[rank] += 1;
            self.score.flood_demand[rank] += self.slot_seconds(req);
        }
        let model = self.model_of_item(req.item).clone();
        let work = self.slot_seconds(req);
        *self.demand.entry(model).or_default() += work;
        match self.policy.routing {
            Routing::Dispatch => self.dispatch(request),
            _ => self.route_by_baseline(request),
        }
    }

    fn slot_seconds(&self, req: &TraceRequest) -> f64 {
        super::engine::service_time(req.prompt_tokens, req.generated_tokens, SLOTS, false)
    }

    fn dispatch(&mut self, request: usize) {
        let req = &self.trace[request];
        let row = self.items[req.item];
        let region = self.caller_region(req);
        let live: Vec<&savoryport_core::fleet::Vm> = self.deployment.entries.iter().collect();
        let home = self.plan.home_of(&row.name, &self.deployment.table).unwrap_or(&row.name);
        let chosen = choose_entries(home, &region, &live);
        let chosen = chosen[(req.random_unit * chosen.len() as f64) as usize].name.clone();
        let entry = self.deployment.entries.iter().position(|vm| vm.name == chosen).unwrap_or(0);
        self.progress[request].entry = entry;
        let target = Duration::from_millis(row.first_token_ms.into());
        let now = self.instant();
        let actions = self.entries[entry].submit(
            Request {
                id: request as u64,
                item: row.name.clone(),
                rank: req.rank,
                deadline: now + target,
                prompt_tokens: req.prompt_tokens,
                prefix_hash: req.prefix,
                failed_servers: SmallVec::new(),
                max_in_flight: row.max_in_flight,
            },
            now,
        );
        self.execute_actions(entry, actions);
    }

    fn caller_region(&self, req: &TraceRequest) -> Name {
        // Callers are spread over the regions in proportion to the entries. The regions with the
        // most entries also have the most engines.
        let vms = &self.deployment.entries;
        vms[(req.random_unit * 7.919 * vms.len() as f64) as usize % vms.len()].region.clone()
    }

    fn execute_actions(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { id, server } => {
                    let engine = self.engine_index(&server);
                    self.send_to_engine(id as usize, engine, entry);
                }
                Action::Refuse { .. } => self.score.refused += 1,
            }
        }
    }

    fn engine_index(&self, name: &Name) -> usize {
        self.deployment
            .engines
            .iter()
            .position(|vm| vm.name == *name)
            .expect("the engine is in the VM list")
    }

    fn send_to_engine(&mut self, request: usize, engine: usize, entry: usize) {
        let is_cross_region = self.entry_regions[entry] != self.deployment.engines[engine].region;
        self.score.crossed += u64::from(is_cross_region);
        let delay = if is_cross_region {
            REGION_DELAY + self.faults.added_round_trip / 2.0
        } else {
            0.000_5
        };
        self.progress[request].sent_at = self.now;
        self.in_flight[engine] += 1;
        self.schedule(self.now + delay, Event::ReachEngine { request, engine });
    }

    fn route_by_baseline(&mut self, request: usize) {
        let item = self.trace[request].item;
        let model = self.model_of_item(item).clone();
        let hosts: Vec<usize> = (0..self.engines.len())
            .filter(|index| !self.engines[*index].is_lost)
            .filter(|index| self.loaded[*index].get(&model).copied().unwrap_or(false))
            .collect();
        if hosts.is_empty() {
            self.score.refused += 1;
            return;
        }
        let engine = self.choose_by_baseline(item, &hosts);
        self.last_used[engine].insert(model.clone(), self.now);
        if self.policy.placement == Placement::LeastRecentlyUsed {
            self.add_copy_if_overloaded(&model, engine);
        }
        let entry = (request + item) % self.entries.len();
        self.progress[request].entry = entry;
        self.send_to_engine(request, engine, entry);
    }

    fn choose_by_baseline(&mut self, item: usize, hosts: &[usize]) -> usize {
        let least = |engines: &[usize]| {
            *engines.iter().min_by_key(|index| self.in_flight[**index]).unwrap_or(&0)
        };
        match self.policy.routing {
            Routing::RoundRobin => {
                let turn = self.round_robin_turns.entry(item).or_default();
                *turn += 1;
                hosts[*turn % hosts.len()]
            }
            Routing::TwoChoices => {
                let first = hosts[(self.random_unit() * hosts.len() as f64) as usize];
                let second = hosts[(self.random_unit() * hosts.len() as f64) as usize];
                if self.in_flight[first] <= self.in_flight[second] { first } else { second }
            }
            Routing::LeastInFlight | Routing::Dispatch => least(hosts),
        }
    }

    fn on_reach_engine(&mut self, request: usize, engine: usize) {
        if self.engines[engine].is_lost {
            return self.on_failure(request, engine);
        }
        let rank = self.trace[request].rank;
        let priority = if self.policy.uses_ranks { rank.index() } else { 0 };
        self.engines[engine].enqueue(request, priority);
        self.start_requests(engine);
    }

    fn start_requests(&mut self, engine: usize) {
        while let Some(request) = self.engines[engine].start_next() {
            let req = &self.trace[request];
            let is_cached = self.engines[engine].use_prefix(req.prefix);
            let between = token_time(self.engines[engine].running);
            let first = self.now + prefill_time(req.prompt_tokens, is_cached) + between;
            self.progress[request].first_token_at = first;
            self.progress[request].between_tokens = between;
            let end = first + between * f64::from(req.generated_tokens.saturating_sub(1));
            self.schedule(end, Event::Finish { request, engine });
        }
    }

    fn on_finish(&mut self, request: usize, engine: usize) {
        if self.progress[request].is_finished {
            return;
        }
        self.progress[request].is_finished = true;
        self.engines[engine].running -= 1;
        self.in_flight[engine] -= 1;
        self.record_end(request, engine);
        self.start_requests(engine);
        if self.policy.routing == Routing::Dispatch {
            self.report_end(request, engine, RequestEnd::Completed);
        }
    }

    fn record_end(&mut self, request: usize, engine: usize) {
        let (req, progress) = (&self.trace[request], self.progress[request]);
        let row = self.items[req.item];
        let is_cross_region =
            self.entry_regions[progress.entry] != self.deployment.engines[engine].region;
        let return_delay = if is_cross_region {
            REGION_DELAY + self.faults.added_round_trip / 2.0
        } else {
            0.000_5
        };
        let first_token = progress.first_token_at + return_delay - req.arrival;
        let met = first_token * 1e3 <= f64::from(row.first_token_ms)
            && progress.between_tokens * 1e3 <= f64::from(row.between_tokens_ms);
        let rank = req.rank.index();
        self.score.attained[rank] += u64::from(met);
        if met && is_flooded_by_other(self.workload, req.rank, req.arrival) {
            self.score.flood_attained[rank] += 1;
            self.score.flood_served[rank] += self.slot_seconds(req);
        }
    }

    fn report_end(&mut self, request: usize, engine: usize, end: RequestEnd) {
        let (req, progress) = (&self.trace[request], self.progress[request]);
        let row = self.items[req.item];
        let seconds = Duration::from_secs_f64;
        let sample = Sample {
            first_token: (end == RequestEnd::Completed)
                .then(|| seconds((progress.first_token_at - progress.sent_at).max(0.0))),
            prompt_tokens: req.prompt_tokens,
            between_tokens: (end == RequestEnd::Completed)
                .then(|| seconds(progress.between_tokens)),
            between_tokens_target: Duration::from_millis(row.between_tokens_ms.into()),
            total: seconds((self.now - progress.sent_at).max(0.0)),
            end,
        };
        let (entry, now) = (progress.entry, self.instant());
        let server = self.deployment.engines[engine].name.clone();
        let actions = self.entries[entry].finish(&server, &row.name, req.rank, &sample, now);
        self.execute_actions(entry, actions);
    }

    fn on_failure(&mut self, request: usize, engine: usize) {
        if self.progress[request].is_finished {
            return;
        }
        self.in_flight[engine] = self.in_flight[engine].saturating_sub(1);
        if self.policy.routing == Routing::Dispatch {
            let entry = self.progress[request].entry;
            let until = self.instant() + Duration::from_secs(1);
            let server = self.deployment.engines[engine].name.clone();
            self.entries[entry].suspend(&server, until);
            self.report_end(request, engine, RequestEnd::Failed);
            self.resubmit(request);
        } else {
            self.route_by_baseline(request);
        }
    }

    /// Submits a request again, as completions may be executed more than once. The deadline still
    /// counts from the arrival.
    fn resubmit(&mut self, request: usize) {
        let req = &self.trace[request];
        let row = self.items[req.item];
        let entry = self.progress[request].entry;
        let target = f64::from(row.first_token_ms) / 1e3;
        let deadline = self.start + Duration::from_secs_f64(req.arrival + target);
        let now = self.instant();
        let retry = Request {
            id: request as u64,
            item: row.name.clone(),
            rank: req.rank,
            deadline,
            prompt_tokens: req.prompt_tokens,
            prefix_hash: req.prefix,
            failed_servers: SmallVec::new(),
            max_in_flight: row.max_in_flight,
        };
        let actions = self.entries[entry].submit(retry, now);
        self.execute_actions(entry, actions);
    }

    fn on_tick(&mut self) {
        if self.policy.routing == Routing::Dispatch {
            let now = self.instant();
            for entry in 0..self.entries.len() {
                let actions = self.entries[entry].tick(now);
                self.execute_actions(entry, actions);
            }
        }
        if self.now < TRACE_SECONDS + 30.0 {
            self.schedule(self.now + TICK_PERIOD, Event::Tick);
        }
    }

    fn on_sample_load(&mut self) {
        for engine in 0..self.engines.len() {
            if self.random_unit() < self.faults.report_loss {
                continue;
            }
            let waiting = self.engines[engine].waiting.len() as u32;
            let running = self.engines[engine].running;
            let at = self.now + self.faults.report_lag;
            self.schedule(at, Event::Report { engine, waiting, running });
        }
        if self.now < TRACE_SECONDS {
            self.schedule(self.now + REPORT_PERIOD, Event::SampleLoad);
        }
    }

    fn on_engine_lost(&mut self, engine: usize) {
        if self.engines[engine].is_lost {
            return;
        }
        self.engines[engine].is_lost = true;
        self.loaded[engine].clear();
        self.update_entries();
        let waiting: Vec<usize> =
            self.engines[engine].waiting.iter().map(|queued| queued.request).collect();
        self.engines[engine].waiting.clear();
        for request in waiting {
            self.on_failure(request, engine);
        }
        let running: Vec<usize> = self
            .events
            .iter()
            .filter_map(|Reverse(scheduled)| match scheduled.event {
                Event::Finish { request, engine: other } if other == engine => Some(request),
                _ => None,
            })
            .collect();
        for request in running {
            // The daemons resume a stream at another server, and its target still counts from the
            // request's arrival. The simulation ends it here and does not count it as attained.
            self.progress[request].is_finished = true;
        }
    }

    fn record_flood_capacity(&mut self) {
        let seconds: f64 = self.workload.floods().iter().map(|(_, from, to)| to - from).sum();
        let engines = self.deployment.engines.len()
            - self.faults.lost_engines.len().min(self.deployment.engines.len() - 1);
        self.score.flood_capacity = seconds * engines as f64 * f64::from(SLOTS);
    }
}
