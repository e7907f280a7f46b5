//! A stand-in for the key-value service, which speaks the JSON API of etcd v3.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tiny_http::Request;

use crate::http::{ChunkedResponse, HttpServer, drop_response, read_body, respond_json};

/// The maximum interval between two messages of a watch. A watch without events sends empty
/// messages to detect that its client has disconnected.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of past events that are kept for watches with an earlier start revision.
const MAX_PAST_EVENTS: usize = 10_000;

/// Faults that can be changed while the service runs.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Whether calls get no response.
    pub down: bool,
    /// The delay of each call.
    pub delay: Duration,
    /// The number of upcoming writes that take effect but get no response.
    pub write_responses_to_drop: u32,
    /// The maximum number of reads per second; further ones are rejected with status 429. `None`
    /// means no limit.
    pub max_reads_per_second: Option<u32>,
    /// The maximum number of writes per second; further ones are rejected with status 429. `None`
    /// means no limit.
    pub max_writes_per_second: Option<u32>,
}

/// The number of calls that the service has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads and lease renewals.
    pub reads: u64,
    /// Transactions, and leases granted or revoked.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: Option<i64>,
}

#[derive(Debug, Clone)]
struct Event {
    key: String,
    revision: u64,
    json: Value,
}

#[derive(Debug)]
struct LeaseState {
    time_to_live: Duration,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<i64, LeaseState>,
    last_lease_id: i64,
    faults: Faults,
    calls: CallCounts,
    /// The start of the one-second window that the rate limits apply to.
    window_start: Option<Instant>,
    calls_in_window: CallCounts,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running key-value service.
pub struct KvStandin {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl KvStandin {
    /// Starts a service without any keys.
    pub fn start(address: &str) -> Self {
        let shared = Arc::new(Shared { state: Mutex::default(), changed: Condvar::new() });
        let handler_shared = shared.clone();
        let server = HttpServer::start(address, move |req| handle(&handler_shared, req));
        Self { server, shared }
    }

    /// Returns the IP address and port that the service listens on.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Calls `change` to modify the current faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
        self.shared.changed.notify_all();
    }

    /// Returns the number of calls so far.
    pub fn call_counts(&self) -> CallCounts {
        self.shared.lock().calls
    }

    /// Returns the decoded value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.lock();
        let item = state.items.get(&STANDARD.encode(key))?;
        Some(STANDARD.decode(&item.value).expect("clients send values in base64"))
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl State {
    /// Revokes the leases that have expired.
    fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Removes a lease and the keys that are bound to it.
    fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.items.remove(&key);
            let revision = self.revision;
            let kv = json!({ "key": key, "mod_revision": revision.to_string() });
            self.record_event(key, json!({ "type": "DELETE", "kv": kv }));
        }
    }

    fn put(&mut self, key: &str, value: &str, lease: Option<i64>) {
        self.revision += 1;
        let revision = self.revision;
        self.items.insert(key.to_owned(), Item { value: value.to_owned(), revision, lease });
        let kv = json!({ "key": key, "value": value, "mod_revision": revision.to_string() });
        self.record_event(key.to_owned(), json!({ "type": "PUT", "kv": kv }));
    }

    fn record_event(&mut self, key: String, json: Value) {
        self.events.push(Event { key, revision: self.revision, json });
        let excess = self.events.len().saturating_sub(MAX_PAST_EVENTS);
        self.events.drain(..excess);
    }

    /// Counts a call and returns whether it exceeds the rate limit.
    fn is_over_rate(&mut self, now: Instant, is_write: bool) -> bool {
        if self.window_start.is_none_or(|start| now - start >= Duration::from_secs(1)) {
            self.window_start = Some(now);
            self.calls_in_window = CallCounts::default();
        }
        let (count, limit) = if is_write {
            (&mut self.calls_in_window.writes, self.faults.max_writes_per_second)
        } else {
            (&mut self.calls_in_window.reads, self.faults.max_reads_per_second)
        };
        *count += 1;
        limit.is_some_and(|limit| *count > u64::from(limit))
    }
}

fn handle(shared: &Shared, mut req: Request) {
    let body: Value = serde_json::from_slice(&read_body(&mut req)).unwrap_or_default();
    let path = req.url().to_owned();
    let is_write = matches!(path.as_str(), "/v3/kv/txn" | "/v3/lease/grant" | "/v3/lease/revoke");
    let delay = shared.lock().faults.delay;
    if !delay.is_zero() {
        thread::sleep(delay);
    }
    let mut state = shared.lock();
    if state.faults.down {
        return drop_response(req);
    }
    let now = Instant::now();
    state.expire_leases(now);
    if state.is_over_rate(now, is_write) {
        drop(state);
        return respond_json(req, 429, &json!({ "error": "too many requests" }));
    }
    if path == "/v3/watch" {
        state.calls.watches += 1;
        drop(state);
        return watch(shared, req, &body);
    }
    if is_write {
        state.calls.writes += 1;
    } else {
        state.calls.reads += 1;
    }
    let Some(response) = execute_call(&mut state, &path, &body, now) else {
        drop(state);
        return respond_json(req, 404, &json!({ "error": "unknown call" }));
    };
    let is_dropped = is_write && state.faults.write_responses_to_drop > 0;
    if is_dropped {
        state.faults.write_responses_to_drop -= 1;
    }
    drop(state);
    shared.changed.notify_all();
    if is_dropped { drop_response(req) } else { respond_json(req, 200, &response) }
}

fn execute_call(state: &mut State, path: &str, body: &Value, now: Instant) -> Option<Value> {
    Some(match path {
        "/v3/kv/range" => range(state, body),
        "/v3/kv/txn" => transact(state, body),
        "/v3/lease/grant" => grant_lease(state, body, now),
        "/v3/lease/keepalive" => renew_lease(state, body, now),
        "/v3/lease/revoke" => {
            state.revoke(number(&body["ID"]));
            json!({ "header": header(state) })
        }
        _ => return None,
    })
}

fn header(state: &State) -> Value {
    json!({ "revision": state.revision.to_string() })
}

fn range(state: &State, body: &Value) -> Value {
    let key = text(&body["key"]);
    let end = body["range_end"].as_str();
    let kvs: Vec<Value> = state
        .items
        .iter()
        .filter(|(candidate, _)| is_in_range(candidate, key, end))
        .map(|(key, item)| {
            let revision = item.revision.to_string();
            json!({ "key": key, "value": item.value, "mod_revision": revision })
        })
        .collect();
    json!({ "header": header(state), "count": kvs.len().to_string(), "kvs": kvs })
}

fn transact(state: &mut State, body: &Value) -> Value {
    let is_satisfied = |compare: &Value| {
        let revision = state.items.get(text(&compare["key"])).map_or(0, |item| item.revision);
        revision as i64 == number(&compare["mod_revision"])
    };
    let succeeded = body["compare"].as_array().is_none_or(|all| all.iter().all(is_satisfied));
    if succeeded {
        for put in body["success"].as_array().into_iter().flatten() {
            let put = &put["request_put"];
            let lease = Some(number(&put["lease"])).filter(|lease| *lease != 0);
            if lease.is_some_and(|lease| !state.leases.contains_key(&lease)) {
                return json!({ "header": header(state), "succeeded": false });
            }
            state.put(text(&put["key"]), text(&put["value"]), lease);
        }
    }
    json!({ "header": header(state), "succeeded": succeeded })
}

fn grant_lease(state: &mut State, body: &Value, now: Instant) -> Value {
    let time_to_live = Duration::from_secs(number(&body["TTL"]).max(1) as u64);
    state.last_lease_id += 1;
    let id = state.last_lease_id;
    state.leases.insert(id, LeaseState { time_to_live, ends_at: now + time_to_live });
    let seconds = time_to_live.as_secs().to_string();
    json!({ "header": header(state), "ID": id.to_string(), "TTL": seconds })
}

fn renew_lease(state: &mut State, body: &Value, now: Instant) -> Value {
    let id = number(&body["ID"]);
    let seconds = state.leases.get_mut(&id).map_or(0, |lease| {
        lease.ends_at = now + lease.time_to_live;
        lease.time_to_live.as_secs()
    });
    json!({ "result": { "ID": id.to_string(), "TTL": seconds.to_string() } })
}

fn watch(shared: &Shared, req: Request, body: &Value) {
    let create = &body["create_request"];
    let (key, end) = (text(&create["key"]).to_owned(), create["range_end"].as_str());
    let mut next_revision = number(&create["start_revision"]) as u64;
    let mut stream = ChunkedResponse::start(req, "application/json");
    loop {
        let (events, revision, is_down) = wait_for_events(shared, &key, end, next_revision);
        if is_down {
            return;
        }
        next_revision = next_revision.max(revision + 1);
        let result = json!({ "header": { "revision": revision.to_string() }, "events": events });
        // A message without events is sent too, to detect that the client has disconnected.
        if stream.send(&format!("{}\n", json!({ "result": result }))).is_err() {
            return;
        }
    }
}

/// Waits up to [`WATCH_INTERVAL`] for events of a key range from a revision on. Returns the events,
/// the current revision and whether the service is down.
fn wait_for_events(
    shared: &Shared,
    key: &str,
    end: Option<&str>,
    next_revision: u64,
) -> (Vec<Value>, u64, bool) {
    let find_events = |state: &State| -> Vec<Value> {
        let is_new =
            |event: &&Event| event.revision >= next_revision && is_in_range(&event.key, key, end);
        state.events.iter().filter(is_new).map(|event| event.json.clone()).collect()
    };
    let mut state = shared.lock();
    if find_events(&state).is_empty() {
        state = shared
            .changed
            .wait_timeout(state, WATCH_INTERVAL)
            .expect("no thread panics while holding the lock")
            .0;
        state.expire_leases(Instant::now());
    }
    (find_events(&state), state.revision, state.faults.down)
}

/// Returns whether a base64-encoded key lies in a range; keys are compared by their decoded bytes.
fn is_in_range(candidate: &str, key: &str, end: Option<&str>) -> bool {
    let decode = |text: &str| STANDARD.decode(text).unwrap_or_default();
    match end {
        None => candidate == key,
        Some(end) => {
            let candidate = decode(candidate);
            decode(key) <= candidate && candidate < decode(end)
        }
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn number(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}
