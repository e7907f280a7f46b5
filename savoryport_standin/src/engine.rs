//! A stand-in for a model engine.
//!
//! It batches continuously, honours priorities, caches prefixes, resumes and cancels streams, takes
//! orders with a fencing number (checked or ignored), and keeps its own count of memory.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::ledger::{EngineItem, EngineState, ItemState, Order, OrderKind};
use savoryport_platform::wire::{Choice, CompletionAnswer, CompletionRequest, LoadReport};
use serde_json::json;
use tiny_http::Request;

use crate::http::{
    ChunkedResponse, HttpServer, drop_response, read_body, reject_draining, respond_json,
};

/// The prefixes that the cache holds.
const CACHED_PREFIXES: usize = 64;

/// The characters of a prompt that make up its cached prefix.
const PREFIX_CHARS: usize = 64;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Accelerator memory in MiB.
    pub capacity_mib: u32,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Requests in the batch at once.
    pub slots: u32,
    /// The time for one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// The time between two tokens.
    pub token_time: Duration,
    /// The time to load a model or adapter without a weight store.
    pub load_time: Duration,
    /// IP address and port of the weight store.
    pub weight_store: Option<String>,
    /// How far the report of load lags behind.
    pub report_lag: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            capacity_mib: 80_000,
            checks_fencing: true,
            slots: 16,
            prefill_per_token: Duration::from_micros(50),
            token_time: Duration::from_millis(2),
            load_time: Duration::from_millis(20),
            weight_store: None,
            report_lag: Duration::from_millis(200),
        }
    }
}

/// Faults that are switched on and off while the engine runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// New work is refused.
    pub draining: bool,
    /// So many orders are carried out without an answer.
    pub order_responses_to_drop: u32,
    /// So many streams break after their second token.
    pub streams_to_break: u32,
}

/// What the engine counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Completions that were started.
    pub started: u64,
    /// Completions that ran to their end.
    pub finished: u64,
    /// Completions whose caller left.
    pub cancelled: u64,
    /// Completions refused while draining.
    pub refused: u64,
    /// The most memory ever in use above the capacity, in MiB.
    pub overcommitted_mib: u32,
    /// Prompts whose prefix was cached.
    pub cache_hits: u64,
}

struct Loaded {
    memory_mib: u32,
    base: Option<Name>,
    is_ready: bool,
}

#[derive(Default)]
struct State {
    incarnation: u64,
    highest_fence: u64,
    items: HashMap<Name, Loaded>,
    running: u32,
    waiting: BTreeSet<(u32, u64)>,
    arrivals: u64,
    history: VecDeque<(Instant, u32, u32)>,
    prefixes: VecDeque<String>,
    faults: Faults,
    counts: Counts,
}

struct Shared {
    cfg: EngineConfig,
    state: Mutex<State>,
    changed: Condvar,
}

/// A running engine.
pub struct EngineStandin {
    running: HttpServer,
    shared: Arc<Shared>,
}

impl EngineStandin {
    /// Starts an engine with empty memory.
    pub fn start(address: &str, cfg: EngineConfig, incarnation: u64) -> Self {
        let state = State { incarnation, ..State::default() };
        let shared = Arc::new(Shared { cfg, state: Mutex::new(state), changed: Condvar::new() });
        let handling = shared.clone();
        let running = HttpServer::start(address, move |req| handle(&handling, req));
        Self { running, shared }
    }

    /// Returns the IP address and port.
    pub fn address(&self) -> &str {
        self.running.address()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Empties the memory under a new incarnation, as a restart does.
    pub fn restart(&self) {
        let mut state = self.shared.lock();
        state.incarnation += 1;
        state.highest_fence = 0;
        state.items.clear();
    }

    /// Returns what the engine counted.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Returns the names of what answers.
    pub fn loaded_items(&self) -> BTreeSet<Name> {
        let state = self.shared.lock();
        let ready = state.items.iter().filter(|(_, item)| item.is_ready);
        ready.map(|(name, _)| name.clone()).collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    fn engine_state(&self, state: &State) -> EngineState {
        let item = |(name, item): (&Name, &Loaded)| EngineItem {
            name: name.clone(),
            memory_mib: item.memory_mib,
            state: if item.is_ready { ItemState::Loaded } else { ItemState::Loading },
        };
        EngineState {
            incarnation: state.incarnation,
            highest_fence: if self.cfg.checks_fencing { state.highest_fence } else { 0 },
            items: state.items.iter().map(item).collect(),
            draining: state.faults.draining,
        }
    }
}

fn handle(shared: &Arc<Shared>, mut req: Request) {
    let body = read_body(&mut req);
    match req.url() {
        "/v1/completions" | "/v1/chat/completions" => match serde_json::from_slice(&body) {
            Ok(completion) => complete(shared, req, &completion),
            Err(err) => respond_json(req, 400, &json!({ "error": err.to_string() })),
        },
        "/admin/orders" => match serde_json::from_slice(&body) {
            Ok(order) => take_order(shared, req, order),
            Err(err) => respond_json(req, 400, &json!({ "error": err.to_string() })),
        },
        "/admin/state" => {
            let answer = shared.engine_state(&shared.lock());
            respond_json(req, 200, &answer);
        }
        "/admin/load" => {
            let answer = load_report(shared);
            respond_json(req, 200, &answer);
        }
        _ => respond_json(req, 404, &json!({ "error": "unknown call" })),
    }
}

fn take_order(shared: &Arc<Shared>, req: Request, order: Order) {
    let mut state = shared.lock();
    let is_stale = shared.cfg.checks_fencing && order.fence < state.highest_fence;
    let mut was_taken = !is_stale;
    if !is_stale {
        state.highest_fence = order.fence;
        match order.kind {
            OrderKind::Load => was_taken = load(shared, &mut state, &order),
            OrderKind::Unload => unload(&mut state, &order.item),
        }
    }
    let answer = shared.engine_state(&state);
    let is_lost = state.faults.order_responses_to_drop > 0;
    state.faults.order_responses_to_drop -= u32::from(is_lost);
    drop(state);
    if is_lost {
        return drop_response(req);
    }
    respond_json(req, if was_taken { 200 } else { 409 }, &answer);
}

/// Begins a load; the memory is taken at once, whether or not there is room.
fn load(shared: &Arc<Shared>, state: &mut State, order: &Order) -> bool {
    if state.items.contains_key(&order.item) {
        return true;
    }
    if order.base.as_ref().is_some_and(|base| !state.items.contains_key(base)) {
        return false;
    }
    let (memory_mib, base) = (order.memory_mib, order.base.clone());
    state.items.insert(order.item.clone(), Loaded { memory_mib, base, is_ready: false });
    let used: u32 = state.items.values().map(|item| item.memory_mib).sum();
    let excess = used.saturating_sub(shared.cfg.capacity_mib);
    state.counts.overcommitted_mib = state.counts.overcommitted_mib.max(excess);
    let (shared, item, incarnation) = (shared.clone(), order.item.clone(), state.incarnation);
    thread::spawn(move || finish_load(&shared, &item, incarnation));
    true
}

fn finish_load(shared: &Shared, item: &Name, incarnation: u64) {
    match &shared.cfg.weight_store {
        Some(store) => {
            let _ = ureq::get(format!("http://{store}/weights/{item}")).call();
        }
        None => thread::sleep(shared.cfg.load_time),
    }
    let mut state = shared.lock();
    if state.incarnation != incarnation {
        return;
    }
    if let Some(item) = state.items.get_mut(item) {
        item.is_ready = true;
    }
}

/// Removes an item, and with a model its adapters.
fn unload(state: &mut State, name: &Name) {
    state.items.remove(name);
    state.items.retain(|_, item| item.base.as_ref() != Some(name));
}

fn load_report(shared: &Shared) -> LoadReport {
    let mut state = shared.lock();
    let now = Instant::now();
    note_load(&mut state, now);
    let lag = shared.cfg.report_lag;
    while state.history.len() > 1 && now - state.history[1].0 >= lag {
        state.history.pop_front();
    }
    let (at, waiting, running) = state.history[0];
    let age_ms = (now - at).as_millis() as u64;
    LoadReport { waiting, running, age_ms, draining: state.faults.draining }
}

fn note_load(state: &mut State, now: Instant) {
    let (waiting, running) = (state.waiting.len() as u32, state.running);
    state.history.push_back((now, waiting, running));
}

fn complete(shared: &Shared, req: Request, completion: &CompletionRequest) {
    let Some(is_cached) = admit(shared, completion) else {
        return refuse(shared, req, completion);
    };
    wait_for_slot(shared, completion.priority);
    let prompt_tokens = completion.text().len() as u32 / 4;
    let prefill_tokens = if is_cached { prompt_tokens / 4 } else { prompt_tokens };
    thread::sleep(shared.cfg.prefill_per_token * prefill_tokens);
    let is_whole = if completion.stream {
        stream_tokens(shared, req, completion)
    } else {
        answer_whole(shared, req, completion)
    };
    let mut state = shared.lock();
    state.running -= 1;
    if is_whole {
        state.counts.finished += 1;
    } else {
        state.counts.cancelled += 1;
    }
    drop(state);
    shared.changed.notify_all();
}

/// Takes a completion, unless the engine drains or lacks the model, and tells whether its prefix
/// is cached.
fn admit(shared: &Shared, completion: &CompletionRequest) -> Option<bool> {
    let mut state = shared.lock();
    let is_ready = state.items.get(&completion.model).is_some_and(|item| item.is_ready);
    if state.faults.draining || !is_ready {
        state.counts.refused += 1;
        return None;
    }
    state.counts.started += 1;
    let prefix: String = completion.text().chars().take(PREFIX_CHARS).collect();
    let is_cached = state.prefixes.contains(&prefix);
    state.counts.cache_hits += u64::from(is_cached);
    if !is_cached {
        state.prefixes.push_back(prefix);
        let excess = state.prefixes.len().saturating_sub(CACHED_PREFIXES);
        state.prefixes.drain(..excess);
    }
    Some(is_cached)
}

fn refuse(shared: &Shared, req: Request, completion: &CompletionRequest) {
    if shared.lock().faults.draining {
        reject_draining(req);
    } else {
        let error = format!("model {} is not loaded", completion.model);
        respond_json(req, 404, &json!({ "error": error }));
    }
}

fn wait_for_slot(shared: &Shared, priority: u32) {
    let mut state = shared.lock();
    state.arrivals += 1;
    let ticket = (priority, state.arrivals);
    state.waiting.insert(ticket);
    while state.running >= shared.cfg.slots || state.waiting.first() != Some(&ticket) {
        state = shared.changed.wait(state).expect("no thread panics while holding the lock");
    }
    state.waiting.remove(&ticket);
    state.running += 1;
    drop(state);
    shared.changed.notify_all();
}

/// Returns the text of one token, from which a caller can tell whose answer it is.
fn token(completion: &CompletionRequest, at: u32) -> String {
    let text = completion.text();
    let tag: String = text.chars().rev().take(12).collect::<Vec<_>>().into_iter().rev().collect();
    format!(" {tag}/{at}")
}

fn answer(completion: &CompletionRequest, text: String, is_last: bool) -> CompletionAnswer {
    let finish_reason = is_last.then(|| "length".to_owned());
    let choices = vec![Choice { index: 0, text, finish_reason }];
    CompletionAnswer { id: "standin".to_owned(), model: completion.model.clone(), choices }
}

fn stream_tokens(shared: &Shared, req: Request, completion: &CompletionRequest) -> bool {
    let mut stream = ChunkedResponse::start(req, "text/event-stream");
    for at in completion.resume_from..completion.max_tokens {
        if at > completion.resume_from {
            thread::sleep(shared.cfg.token_time);
        }
        if at == completion.resume_from + 2 && take_broken_stream(shared) {
            return false;
        }
        let is_last = at + 1 == completion.max_tokens;
        let event = answer(completion, token(completion, at), is_last);
        let event = serde_json::to_string(&event).expect("a plain value");
        if stream.send(&format!("data: {event}\n\n")).is_err() {
            return false;
        }
    }
    stream.send("data: [DONE]\n\n").and_then(|()| stream.finish()).is_ok()
}

fn take_broken_stream(shared: &Shared) -> bool {
    let mut state = shared.lock();
    let is_broken = state.faults.streams_to_break > 0;
    state.faults.streams_to_break -= u32::from(is_broken);
    is_broken
}

fn answer_whole(shared: &Shared, req: Request, completion: &CompletionRequest) -> bool {
    let tokens = completion.resume_from..completion.max_tokens;
    thread::sleep(shared.cfg.token_time * tokens.len() as u32);
    let text: String = tokens.map(|at| token(completion, at)).collect();
    respond_json(req, 200, &answer(completion, text, true));
    true
}
