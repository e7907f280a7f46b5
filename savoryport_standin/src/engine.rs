//! A stand-in for a model engine.
//!
//! It batches continuously, schedules by priority, caches prompt prefixes, resumes and cancels
//! streams, accepts orders with a fencing number (which it checks or ignores), and keeps its own
//! count of memory in use.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::ledger::{EngineItem, EngineState, ItemState, Order, OrderKind};
use savoryport_platform::wire::{Choice, CompletionRequest, CompletionResponse, LoadReport};
use serde_json::json;
use tiny_http::Request;

use crate::http::{
    ChunkedResponse, HttpServer, drop_response, read_body, reject_draining, respond_json,
};

/// The number of prompt prefixes in the cache; the oldest ones are evicted.
const CACHED_PREFIXES: usize = 64;

/// The length of a cached prefix, in characters of the prompt.
const PREFIX_CHARS: usize = 64;

/// The configuration of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Accelerator memory in MiB.
    pub capacity_mib: u32,
    /// Whether an order with an outdated fencing number is rejected.
    pub checks_fencing: bool,
    /// The number of requests that run in the batch concurrently.
    pub slots: u32,
    /// The prefill time of one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// The time between two generated tokens.
    pub token_time: Duration,
    /// The time to load a model or adapter if there is no weight store.
    pub load_time: Duration,
    /// IP address and port of the weight store that models and adapters are loaded from.
    pub weight_store: Option<String>,
    /// How far the load report lags behind the actual load.
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

/// Faults that can be changed while the engine runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Whether new completions are rejected.
    pub draining: bool,
    /// The number of upcoming orders that are processed but get no response.
    pub order_responses_to_drop: u32,
    /// The number of upcoming streams that break off after two tokens.
    pub streams_to_break: u32,
}

/// The counts that the engine keeps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Completions that were admitted.
    pub started: u64,
    /// Completions that ran to their end.
    pub finished: u64,
    /// Completions that did not run to their end, because the client disconnected or the stream was
    /// broken off.
    pub cancelled: u64,
    /// Completions rejected because the engine drains or has not loaded the model.
    pub refused: u64,
    /// The maximum by which memory in use exceeded the capacity, in MiB.
    pub overcommitted_mib: u32,
    /// Completions whose prompt prefix was cached.
    pub cache_hits: u64,
}

struct ResidentItem {
    memory_mib: u32,
    base: Option<Name>,
    is_ready: bool,
}

#[derive(Default)]
struct State {
    incarnation: u64,
    highest_fence: u64,
    items: HashMap<Name, ResidentItem>,
    running: u32,
    /// The waiting requests by priority and arrival number; the first one runs next.
    waiting: BTreeSet<(u32, u64)>,
    arrivals: u64,
    /// The load at past times: time, waiting requests, running requests.
    load_history: VecDeque<(Instant, u32, u32)>,
    cached_prefixes: VecDeque<String>,
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
    server: HttpServer,
    shared: Arc<Shared>,
}

impl EngineStandin {
    /// Starts an engine with no loaded models or adapters.
    pub fn start(address: &str, cfg: EngineConfig, incarnation: u64) -> Self {
        let state = State { incarnation, ..State::default() };
        let shared = Arc::new(Shared { cfg, state: Mutex::new(state), changed: Condvar::new() });
        let handler_shared = shared.clone();
        let server = HttpServer::start(address, move |req| handle(&handler_shared, req));
        Self { server, shared }
    }

    /// Returns the IP address and port that the engine listens on.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Calls `change` to modify the current faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Clears the memory and the highest fencing number and starts a new incarnation, as a restart
    /// of the process does.
    pub fn restart(&self) {
        let mut state = self.shared.lock();
        state.incarnation += 1;
        state.highest_fence = 0;
        state.items.clear();
    }

    /// Returns the current counts.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Returns the names of the models and adapters that serve requests.
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
        let item = |(name, item): (&Name, &ResidentItem)| EngineItem {
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
            Ok(completion) => handle_completion(shared, req, &completion),
            Err(err) => respond_json(req, 400, &json!({ "error": err.to_string() })),
        },
        "/admin/orders" => match serde_json::from_slice(&body) {
            Ok(order) => handle_order(shared, req, order),
            Err(err) => respond_json(req, 400, &json!({ "error": err.to_string() })),
        },
        "/admin/state" => {
            let state = shared.engine_state(&shared.lock());
            respond_json(req, 200, &state);
        }
        "/admin/load" => {
            let report = load_report(shared);
            respond_json(req, 200, &report);
        }
        _ => respond_json(req, 404, &json!({ "error": "unknown call" })),
    }
}

fn handle_order(shared: &Arc<Shared>, req: Request, order: Order) {
    let mut state = shared.lock();
    let is_stale = shared.cfg.checks_fencing && order.fence < state.highest_fence;
    let mut is_accepted = !is_stale;
    if !is_stale {
        state.highest_fence = order.fence;
        match order.kind {
            OrderKind::Load => is_accepted = start_load(shared, &mut state, &order),
            OrderKind::Unload => unload(&mut state, &order.item),
        }
    }
    let engine_state = shared.engine_state(&state);
    let is_dropped = state.faults.order_responses_to_drop > 0;
    state.faults.order_responses_to_drop -= u32::from(is_dropped);
    drop(state);
    if is_dropped {
        return drop_response(req);
    }
    respond_json(req, if is_accepted { 200 } else { 409 }, &engine_state);
}

/// Starts a load and returns whether the order is accepted.
///
/// The memory is counted as used immediately, even if it exceeds the capacity.
fn start_load(shared: &Arc<Shared>, state: &mut State, order: &Order) -> bool {
    if state.items.contains_key(&order.item) {
        return true;
    }
    if order.base.as_ref().is_some_and(|base| !state.items.contains_key(base)) {
        return false;
    }
    let (memory_mib, base) = (order.memory_mib, order.base.clone());
    state.items.insert(order.item.clone(), ResidentItem { memory_mib, base, is_ready: false });
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

/// Removes an item; removing a model also removes its adapters.
fn unload(state: &mut State, name: &Name) {
    state.items.remove(name);
    state.items.retain(|_, item| item.base.as_ref() != Some(name));
}

fn load_report(shared: &Shared) -> LoadReport {
    let mut state = shared.lock();
    let now = Instant::now();
    record_load(&mut state, now);
    let lag = shared.cfg.report_lag;
    while state.load_history.len() > 1 && now - state.load_history[1].0 >= lag {
        state.load_history.pop_front();
    }
    let (at, waiting, running) = state.load_history[0];
    let age_ms = (now - at).as_millis() as u64;
    LoadReport { waiting, running, age_ms, draining: state.faults.draining }
}

fn record_load(state: &mut State, now: Instant) {
    let (waiting, running) = (state.waiting.len() as u32, state.running);
    state.load_history.push_back((now, waiting, running));
}

fn handle_completion(shared: &Shared, req: Request, completion: &CompletionRequest) {
    let Some(is_cached) = admit(shared, completion) else {
        return reject(shared, req, completion);
    };
    wait_for_slot(shared, completion.priority);
    let prompt_tokens = completion.text().len() as u32 / 4;
    let prefill_tokens = if is_cached { prompt_tokens / 4 } else { prompt_tokens };
    thread::sleep(shared.cfg.prefill_per_token * prefill_tokens);
    let is_finished = if completion.stream {
        stream_tokens(shared, req, completion)
    } else {
        send_whole_completion(shared, req, completion)
    };
    let mut state = shared.lock();
    state.running -= 1;
    if is_finished {
        state.counts.finished += 1;
    } else {
        state.counts.cancelled += 1;
    }
    drop(state);
    shared.changed.notify_all();
}

/// Admits a completion and returns whether its prompt prefix is cached. Returns `None` if the
/// engine drains or has not loaded the model.
fn admit(shared: &Shared, completion: &CompletionRequest) -> Option<bool> {
    let mut state = shared.lock();
    let is_ready = state.items.get(&completion.model).is_some_and(|item| item.is_ready);
    if state.faults.draining || !is_ready {
        state.counts.refused += 1;
        return None;
    }
    state.counts.started += 1;
    let prefix: String = completion.text().chars().take(PREFIX_CHARS).collect();
    let is_cached = state.cached_prefixes.contains(&prefix);
    state.counts.cache_hits += u64::from(is_cached);
    if !is_cached {
        state.cached_prefixes.push_back(prefix);
        let excess = state.cached_prefixes.len().saturating_sub(CACHED_PREFIXES);
        state.cached_prefixes.drain(..excess);
    }
    Some(is_cached)
}

fn reject(shared: &Shared, req: Request, completion: &CompletionRequest) {
    if shared.lock().faults.draining {
        reject_draining(req);
    } else {
        let error = format!("model {} is not loaded", completion.model);
        respond_json(req, 404, &json!({ "error": error }));
    }
}

/// Waits until the request is first in the queue and a batch slot is free, and takes the slot.
fn wait_for_slot(shared: &Shared, priority: u32) {
    let mut state = shared.lock();
    state.arrivals += 1;
    let queue_entry = (priority, state.arrivals);
    state.waiting.insert(queue_entry);
    while state.running >= shared.cfg.slots || state.waiting.first() != Some(&queue_entry) {
        state = shared.changed.wait(state).expect("no thread panics while holding the lock");
    }
    state.waiting.remove(&queue_entry);
    state.running += 1;
    drop(state);
    shared.changed.notify_all();
}

/// Returns the text of the token at a position. It contains the end of the prompt, by which a
/// client can tell which request the token belongs to.
fn token_text(completion: &CompletionRequest, position: u32) -> String {
    let text = completion.text();
    let prompt_end: String =
        text.chars().rev().take(12).collect::<Vec<_>>().into_iter().rev().collect();
    format!(" {prompt_end}/{position}")
}

fn completion_response(
    completion: &CompletionRequest,
    text: String,
    is_last: bool,
) -> CompletionResponse {
    let finish_reason = is_last.then(|| "length".to_owned());
    let choices = vec![Choice { index: 0, text, finish_reason }];
    CompletionResponse { id: "standin".to_owned(), model: completion.model.clone(), choices }
}

/// Streams the tokens that the client does not have yet and returns whether all of them were sent.
fn stream_tokens(shared: &Shared, req: Request, completion: &CompletionRequest) -> bool {
    let mut stream = ChunkedResponse::start(req, "text/event-stream");
    for position in completion.resume_from..completion.max_tokens {
        if position > completion.resume_from {
            thread::sleep(shared.cfg.token_time);
        }
        if position == completion.resume_from + 2 && should_break_stream(shared) {
            return false;
        }
        let is_last = position + 1 == completion.max_tokens;
        let event = completion_response(completion, token_text(completion, position), is_last);
        let event = serde_json::to_string(&event).expect("a completion can be serialized");
        if stream.send(&format!("data: {event}\n\n")).is_err() {
            return false;
        }
    }
    stream.send("data: [DONE]\n\n").and_then(|()| stream.finish()).is_ok()
}

/// Returns whether this stream is to break off, and counts it as broken.
fn should_break_stream(shared: &Shared) -> bool {
    let mut state = shared.lock();
    let is_broken = state.faults.streams_to_break > 0;
    state.faults.streams_to_break -= u32::from(is_broken);
    is_broken
}

fn send_whole_completion(shared: &Shared, req: Request, completion: &CompletionRequest) -> bool {
    let tokens = completion.resume_from..completion.max_tokens;
    thread::sleep(shared.cfg.token_time * tokens.len() as u32);
    let text: String = tokens.map(|position| token_text(completion, position)).collect();
    respond_json(req, 200, &completion_response(completion, text, true));
    true
}
