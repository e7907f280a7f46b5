//! One run: a trace, a policy, a fleet of fake engines, and virtual time.

mod models;

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

use super::bound;
use super::deployment::{Deployment, SLOTS};
use super::engine::{FakeEngine, prefill_time, token_time};
use super::rules::{Placing, Policy, Routing};
use super::score::{Score, is_flooded_by_other};
use super::workload::{Faults, SECONDS, TraceRequest, Workload};

/// The guaranteed shares, those of the daemons' defaults.
pub const SHARES: [f64; 3] = [0.6, 0.3, 0.1];

/// Seconds between two looks at deadlines.
const TICK: f64 = 0.02;

/// Seconds between two plans.
const PLAN_PERIOD: f64 = 2.0;

/// Seconds between two reports of load.
const REPORT_PERIOD: f64 = 1.0;

/// Seconds of the first placement, whose loads are no moves.
const WARM_UP: f64 = 60.0;

/// Seconds one way between regions.
const REGION_DELAY: f64 = 0.020;

/// The most copies that one plan displaces.
const MOVE_BUDGET: usize = 2;

/// Requests that wait at a server before the least recently used baseline adds a copy.
const LRU_PRESSURE: usize = 8;

#[derive(Debug, Clone, PartialEq)]
enum Event {
    Arrive(usize),
    Reach { request: usize, engine: usize },
    Finish { request: usize, engine: usize },
    Tick,
    Plan,
    Report { engine: usize, waiting: u32, running: u32 },
    SampleLoad,
    Loaded { engine: usize, model: Name },
    Lose(usize),
}

#[derive(Debug, PartialEq)]
struct Scheduled {
    at: f64,
    number: u64,
    event: Event,
}

impl Eq for Scheduled {}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// A request under way.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    entry: usize,
    handed_at: f64,
    first_token_at: f64,
    between_tokens: f64,
    is_over: bool,
}

struct Sim<'a> {
    deployment: &'a Deployment,
    items: Vec<&'a Row>,
    policy: Policy,
    workload: Workload,
    faults: Faults,
    trace: &'a [TraceRequest],
    start: Instant,
    now: f64,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    engines: Vec<FakeEngine>,
    /// Models in each engine's memory, and whether they answer.
    loaded: Vec<HashMap<Name, bool>>,
    last_used: Vec<HashMap<Name, f64>>,
    entries: Vec<Dispatch>,
    entry_regions: Vec<Name>,
    in_flight: Vec<u32>,
    progress: Vec<Progress>,
    turn: HashMap<usize, usize>,
    demand: HashMap<Name, f64>,
    estimator: DemandEstimator,
    plan: Plan,
    loads_waiting: VecDeque<(usize, Name)>,
    loads_under_way: u32,
    next_load_at: f64,
    random: u64,
    score: Score,
}

/// Runs a policy on a trace.
pub fn run(
    deployment: &Deployment,
    workload: Workload,
    policy: Policy,
    trace: &[TraceRequest],
) -> Score {
    let mut sim = Sim::new(deployment, workload, policy, trace);
    sim.run();
    let (bound, bound_urgent) = bound::pooled(deployment, &sim.faults, trace);
    Score { bound, bound_urgent, ..sim.score }
}

impl<'a> Sim<'a> {
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
                shares: SHARES,
                initial_limit: 8.0,
                max_limit: 256.0,
                region_round_trip: Duration::from_secs_f64(REGION_DELAY * 2.0 + faults.slow_link),
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
            scheduled: 0,
            engines: (0..count).map(|_| FakeEngine::default()).collect(),
            loaded: vec![HashMap::new(); count],
            last_used: vec![HashMap::new(); count],
            entries: entry_regions.iter().map(entry).collect(),
            entry_regions,
            in_flight: vec![0; count],
            progress: vec![Progress::default(); trace.len()],
            turn: HashMap::new(),
            demand: HashMap::new(),
            estimator: DemandEstimator::default(),
            plan: Plan::default(),
            loads_waiting: VecDeque::new(),
            loads_under_way: 0,
            next_load_at: 0.0,
            random: 1,
            score: Score::default(),
            faults,
        }
    }

    fn run(&mut self) {
        self.place_first();
        for at in 0..self.trace.len() {
            self.schedule(self.trace[at].at, Event::Arrive(at));
        }
        for (at, engine) in self.faults.lost_engines.clone() {
            self.schedule(at, Event::Lose(engine));
        }
        self.schedule(TICK, Event::Tick);
        self.schedule(PLAN_PERIOD, Event::Plan);
        self.schedule(REPORT_PERIOD, Event::SampleLoad);
        self.note_flood_capacity();
        while let Some(Reverse(next)) = self.events.pop() {
            self.now = next.at;
            self.handle(next.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.on_arrival(request),
            Event::Reach { request, engine } => self.on_reach(request, engine),
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
            Event::Lose(engine) => self.on_lost(engine),
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled { at, number: self.scheduled, event }));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    /// A number in 0 to 1 that depends on the trace only.
    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) as f64 / f64::from(1_u32 << 31)
    }

    fn model_of(&self, item: usize) -> &Name {
        let row = self.items[item];
        row.base.as_ref().unwrap_or(&row.name)
    }

    fn on_arrival(&mut self, request: usize) {
        let req = &self.trace[request];
        self.score.offered[req.rank.index()] += 1;
        if is_flooded_by_other(self.workload, req.rank, req.at) {
            let at = req.rank.index();
            self.score.flood_offered[at] += 1;
            self.score.flood_demand[at] += self.slot_seconds(req);
        }
        let model = self.model_of(req.item).clone();
        let work = self.slot_seconds(req);
        *self.demand.entry(model).or_default() += work;
        match self.policy.routing {
            Routing::Dispatch => self.dispatch(request),
            _ => self.route_simply(request),
        }
    }

    fn slot_seconds(&self, req: &TraceRequest) -> f64 {
        super::engine::service_time(req.prompt, req.tokens, SLOTS, false)
    }

    fn dispatch(&mut self, request: usize) {
        let req = &self.trace[request];
        let row = self.items[req.item];
        let region = self.caller_region(req);
        let live: Vec<&savoryport_core::fleet::Vm> = self.deployment.entries.iter().collect();
        let home = self.plan.home_of(&row.name, &self.deployment.table).unwrap_or(&row.name);
        let chosen = choose_entries(home, &region, &live);
        let chosen = chosen[(req.draw * chosen.len() as f64) as usize].name.clone();
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
                prompt_tokens: req.prompt,
                prefix_hash: req.prefix,
                failed_servers: SmallVec::new(),
                max_in_flight: row.max_in_flight,
            },
            now,
        );
        self.carry_out(entry, actions);
    }

    fn caller_region(&self, req: &TraceRequest) -> Name {
        // Most callers live where most engines stand.
        let vms = &self.deployment.entries;
        vms[(req.draw * 7.919 * vms.len() as f64) as usize % vms.len()].region.clone()
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { id, server } => {
                    let engine = self.engine_named(&server);
                    self.hand_over(id as usize, engine, entry);
                }
                Action::Refuse { .. } => self.score.refused += 1,
            }
        }
    }

    fn engine_named(&self, name: &Name) -> usize {
        self.deployment.engines.iter().position(|vm| vm.name == *name).expect("a listed engine")
    }

    fn hand_over(&mut self, request: usize, engine: usize, entry: usize) {
        let is_far = self.entry_regions[entry] != self.deployment.engines[engine].region;
        self.score.crossed += u64::from(is_far);
        let delay = if is_far { REGION_DELAY + self.faults.slow_link / 2.0 } else { 0.000_5 };
        self.progress[request].handed_at = self.now;
        self.in_flight[engine] += 1;
        self.schedule(self.now + delay, Event::Reach { request, engine });
    }

    fn route_simply(&mut self, request: usize) {
        let item = self.trace[request].item;
        let model = self.model_of(item).clone();
        let hosts: Vec<usize> = (0..self.engines.len())
            .filter(|at| !self.engines[*at].is_lost)
            .filter(|at| self.loaded[*at].get(&model).copied().unwrap_or(false))
            .collect();
        if hosts.is_empty() {
            self.score.refused += 1;
            return;
        }
        let engine = self.choose_simply(item, &hosts);
        self.last_used[engine].insert(model.clone(), self.now);
        if self.policy.placing == Placing::LeastRecentlyUsed {
            self.add_copy_under_pressure(&model, engine);
        }
        let entry = (request + item) % self.entries.len();
        self.progress[request].entry = entry;
        self.hand_over(request, engine, entry);
    }

    fn choose_simply(&mut self, item: usize, hosts: &[usize]) -> usize {
        let least =
            |engines: &[usize]| *engines.iter().min_by_key(|at| self.in_flight[**at]).unwrap_or(&0);
        match self.policy.routing {
            Routing::RoundRobin => {
                let turn = self.turn.entry(item).or_default();
                *turn += 1;
                hosts[*turn % hosts.len()]
            }
            Routing::TwoChoices => {
                let first = hosts[(self.draw() * hosts.len() as f64) as usize];
                let second = hosts[(self.draw() * hosts.len() as f64) as usize];
                if self.in_flight[first] <= self.in_flight[second] { first } else { second }
            }
            Routing::LeastInFlight | Routing::Dispatch => least(hosts),
        }
    }

    fn on_reach(&mut self, request: usize, engine: usize) {
        if self.engines[engine].is_lost {
            return self.on_failure(request, engine);
        }
        let rank = self.trace[request].rank;
        let priority = if self.policy.ranks { rank.index() } else { 0 };
        self.engines[engine].push(request, priority);
        self.start_in(engine);
    }

    fn start_in(&mut self, engine: usize) {
        while let Some(request) = self.engines[engine].start_next() {
            let req = &self.trace[request];
            let is_cached = self.engines[engine].use_prefix(req.prefix);
            let between = token_time(self.engines[engine].running);
            let first = self.now + prefill_time(req.prompt, is_cached) + between;
            self.progress[request].first_token_at = first;
            self.progress[request].between_tokens = between;
            let end = first + between * f64::from(req.tokens.saturating_sub(1));
            self.schedule(end, Event::Finish { request, engine });
        }
    }

    fn on_finish(&mut self, request: usize, engine: usize) {
        if self.progress[request].is_over {
            return;
        }
        self.progress[request].is_over = true;
        self.engines[engine].running -= 1;
        self.in_flight[engine] -= 1;
        self.note_end(request, engine);
        self.start_in(engine);
        if self.policy.routing == Routing::Dispatch {
            self.tell_end(request, engine, RequestEnd::Completed);
        }
    }

    fn note_end(&mut self, request: usize, engine: usize) {
        let (req, progress) = (&self.trace[request], self.progress[request]);
        let row = self.items[req.item];
        let is_far = self.entry_regions[progress.entry] != self.deployment.engines[engine].region;
        let back = if is_far { REGION_DELAY + self.faults.slow_link / 2.0 } else { 0.000_5 };
        let first_token = progress.first_token_at + back - req.at;
        let met = first_token * 1e3 <= f64::from(row.first_token_ms)
            && progress.between_tokens * 1e3 <= f64::from(row.between_tokens_ms);
        let at = req.rank.index();
        self.score.attained[at] += u64::from(met);
        if met && is_flooded_by_other(self.workload, req.rank, req.at) {
            self.score.flood_attained[at] += 1;
            self.score.flood_served[at] += self.slot_seconds(req);
        }
    }

    fn tell_end(&mut self, request: usize, engine: usize, end: RequestEnd) {
        let (req, progress) = (&self.trace[request], self.progress[request]);
        let row = self.items[req.item];
        let seconds = Duration::from_secs_f64;
        let sample = Sample {
            first_token: (end == RequestEnd::Completed)
                .then(|| seconds((progress.first_token_at - progress.handed_at).max(0.0))),
            prompt_tokens: req.prompt,
            between_tokens: (end == RequestEnd::Completed)
                .then(|| seconds(progress.between_tokens)),
            between_tokens_target: Duration::from_millis(row.between_tokens_ms.into()),
            total: seconds((self.now - progress.handed_at).max(0.0)),
            end,
        };
        let (entry, now) = (progress.entry, self.instant());
        let server = self.deployment.engines[engine].name.clone();
        let actions = self.entries[entry].finish(&server, &row.name, req.rank, &sample, now);
        self.carry_out(entry, actions);
    }

    fn on_failure(&mut self, request: usize, engine: usize) {
        if self.progress[request].is_over {
            return;
        }
        self.in_flight[engine] = self.in_flight[engine].saturating_sub(1);
        if self.policy.routing == Routing::Dispatch {
            let entry = self.progress[request].entry;
            let until = self.instant() + Duration::from_secs(1);
            let server = self.deployment.engines[engine].name.clone();
            self.entries[entry].suspend(&server, until);
            self.tell_end(request, engine, RequestEnd::Failed);
            self.dispatch_again(request);
        } else {
            self.route_simply(request);
        }
    }

    /// A completion may repeat; its deadline stays that of its arrival.
    fn dispatch_again(&mut self, request: usize) {
        let req = &self.trace[request];
        let row = self.items[req.item];
        let entry = self.progress[request].entry;
        let target = f64::from(row.first_token_ms) / 1e3;
        let deadline = self.start + Duration::from_secs_f64(req.at + target);
        let now = self.instant();
        let again = Request {
            id: request as u64,
            item: row.name.clone(),
            rank: req.rank,
            deadline,
            prompt_tokens: req.prompt,
            prefix_hash: req.prefix,
            failed_servers: SmallVec::new(),
            max_in_flight: row.max_in_flight,
        };
        let actions = self.entries[entry].submit(again, now);
        self.carry_out(entry, actions);
    }

    fn on_tick(&mut self) {
        if self.policy.routing == Routing::Dispatch {
            let now = self.instant();
            for entry in 0..self.entries.len() {
                let actions = self.entries[entry].tick(now);
                self.carry_out(entry, actions);
            }
        }
        if self.now < SECONDS + 30.0 {
            self.schedule(self.now + TICK, Event::Tick);
        }
    }

    fn on_sample_load(&mut self) {
        for engine in 0..self.engines.len() {
            if self.draw() < self.faults.report_gaps {
                continue;
            }
            let waiting = self.engines[engine].waiting.len() as u32;
            let running = self.engines[engine].running;
            let at = self.now + self.faults.report_lag;
            self.schedule(at, Event::Report { engine, waiting, running });
        }
        if self.now < SECONDS {
            self.schedule(self.now + REPORT_PERIOD, Event::SampleLoad);
        }
    }

    fn on_lost(&mut self, engine: usize) {
        if self.engines[engine].is_lost {
            return;
        }
        self.engines[engine].is_lost = true;
        self.loaded[engine].clear();
        self.tell_servers();
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
                Event::Finish { request, engine: at } if at == engine => Some(request),
                _ => None,
            })
            .collect();
        for request in running {
            // What was streamed is resumed elsewhere; its target counts from its arrival.
            self.progress[request].is_over = true;
        }
    }

    fn note_flood_capacity(&mut self) {
        let seconds: f64 = self.workload.floods().iter().map(|(_, from, to)| to - from).sum();
        let engines = self.deployment.engines.len()
            - self.faults.lost_engines.len().min(self.deployment.engines.len() - 1);
        self.score.flood_capacity = seconds * engines as f64 * f64::from(SLOTS);
    }
}
