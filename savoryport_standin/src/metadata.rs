//! A stand-in for the platform's metadata store: keys with revisions, leases, watches and
//! transactions.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::http::{HttpServer, drop_response, read_body, respond_json_with};

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Executes calls and responds.
    #[default]
    Up,
    /// Executes no calls and responds with status 503.
    Busy,
    /// Neither executes calls nor responds.
    Silent,
    /// Executes calls, but sends no responses to writes.
    DropsResponses,
    /// Executes calls, but responds to writes only after this time.
    DelaysResponses(Duration),
}

#[derive(Debug, Clone)]
struct StoredValue {
    value: String,
    revision: u64,
    created_revision: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct HistoryEvent {
    revision: u64,
    key: String,
    /// The new value; `None` if the key was removed.
    stored: Option<StoredValue>,
}

#[derive(Default)]
struct State {
    mode: StoreMode,
    /// The number of times that the store went back to a copy, plus 1.
    era: u64,
    contents: Contents,
    call_count: u64,
}

/// What a copy of the store contains.
#[derive(Debug, Clone, Default)]
struct Contents {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    history: Vec<HistoryEvent>,
    /// The revision up to which the history was discarded.
    compacted_revision: u64,
    /// The time to live and the expiry of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    lease_count: u64,
}

/// A copy of a store, to which it can go back.
#[derive(Debug, Clone)]
pub struct StoreCopy(Contents);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Changes the value of a key before it is sent to a client.
type Rewrite = dyn Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync;

/// A running metadata store.
#[derive(Clone)]
pub struct MetadataStandin {
    shared: Arc<Shared>,
    server: Arc<HttpServer>,
}

impl MetadataStandin {
    /// Starts an empty store that listens on an address.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen on the address.
    pub fn start(address: &str) -> Self {
        let shared = Arc::new(Shared::default());
        let state = State {
            era: 1,
            contents: Contents { revision: 1, ..Contents::default() },
            ..State::default()
        };
        *shared.lock() = state;
        let handler_shared = shared.clone();
        let server = HttpServer::start(address, move |req| handle(&handler_shared, req, None));
        Self { shared, server: Arc::new(server) }
    }

    /// Returns the same store at another address, where it sends other values of some keys: those that
    /// `rewrite` returns.
    ///
    /// # Panics
    ///
    /// Panics if there is no free local port.
    pub fn view(
        &self,
        rewrite: impl Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> Self {
        let shared = self.shared.clone();
        let handle = move |req| handle(&shared, req, Some(&rewrite));
        let server = HttpServer::start("127.0.0.1:0", handle);
        Self { shared: self.shared.clone(), server: Arc::new(server) }
    }

    /// Returns the IP address and port that the store listens on.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Changes how the store handles calls.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.lock().mode = mode;
    }

    /// Writes a key directly, as operators and backend servers do.
    pub fn write(&self, key: &str, value: &Value) {
        self.write_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a key directly, with any bytes.
    pub fn write_bytes(&self, key: &str, value: &[u8]) {
        let mut state = self.shared.lock();
        state.contents.put(key, STANDARD.encode(value), 0);
        self.shared.changed.notify_all();
    }

    /// Removes a key directly.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.lock();
        state.contents.remove(key);
        self.shared.changed.notify_all();
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.lock();
        STANDARD.decode(&state.contents.keys.get(key)?.value).ok()
    }

    /// Returns the keys that start with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        state.contents.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Discards the history, so that watches from an earlier revision fail with status 410.
    pub fn compact(&self) {
        let contents = &mut self.shared.lock().contents;
        contents.compacted_revision = contents.revision;
        contents.history.clear();
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.lock().contents.clone())
    }

    /// Goes back to a copy: all that was written since is lost, and the revisions and the ids of
    /// leases since then are given out again. The leases of the copy start anew.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.shared.lock();
        state.era += 1;
        state.contents = copy.0.clone();
        let now = Instant::now();
        for (time_to_live, expires_at) in state.contents.leases.values_mut() {
            *expires_at = now + *time_to_live;
        }
        self.shared.changed.notify_all();
    }

    /// Returns the present revision.
    pub fn revision(&self) -> u64 {
        self.shared.lock().contents.revision
    }

    /// Returns the number of calls received.
    pub fn call_count(&self) -> u64 {
        self.shared.lock().call_count
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created_revision =
            self.keys.get(key).map_or(self.revision, |stored| stored.created_revision);
        let stored = StoredValue { value, revision: self.revision, created_revision, lease };
        self.keys.insert(key.to_owned(), stored.clone());
        self.record_event(key, Some(stored));
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.record_event(key, None);
        }
    }

    fn record_event(&mut self, key: &str, stored: Option<StoredValue>) {
        self.history.push(HistoryEvent { revision: self.revision, key: key.to_owned(), stored });
    }

    /// Ends the leases that have expired.
    fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Ends a lease and removes the keys that are bound to it. Returns whether the lease existed.
    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let bound_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound_keys {
            self.remove(&key);
        }
        existed
    }
}

fn item_json(key: &str, stored: &StoredValue) -> Value {
    json!({
        "key": key,
        "value": stored.value,
        "revision": stored.revision,
        "created": stored.created_revision,
        "lease": stored.lease,
    })
}

/// Replaces the values of the items in a response.
fn rewrite_items(response: &mut Value, rewrite: &Rewrite) {
    rewrite_item(response, rewrite);
    for list in ["items", "events"] {
        let items = response.get_mut(list).and_then(Value::as_array_mut);
        items.into_iter().flatten().for_each(|item| rewrite_item(item, rewrite));
    }
}

fn rewrite_item(item: &mut Value, rewrite: &Rewrite) {
    let (Some(key), Some(value)) = (item["key"].as_str(), item["value"].as_str()) else { return };
    let value = STANDARD.decode(value).unwrap_or_default();
    if let Some(value) = rewrite(key, &value) {
        item["value"] = STANDARD.encode(value).into();
    }
}

fn handle(shared: &Shared, mut req: Request, rewrite: Option<&Rewrite>) {
    let mode = {
        let mut state = shared.lock();
        state.call_count += 1;
        state.contents.expire_leases(Instant::now());
        state.mode
    };
    let era = |era: u64| [("Store-Era", era.to_string())];
    let body: Value = serde_json::from_slice(&read_body(&mut req)).unwrap_or_default();
    let url = req.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let query: HashMap<&str, &str> =
        query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    match mode {
        StoreMode::Busy => {
            return respond_json_with(req, 503, &era(shared.lock().era), &json!({}));
        }
        StoreMode::Silent => return drop_response(req),
        StoreMode::Up | StoreMode::DropsResponses | StoreMode::DelaysResponses(_) => {}
    }
    let (status, mut response) = match (req.method(), path) {
        (Method::Get, "/savoryport/kv-range") => range(shared, &query),
        (Method::Get, "/savoryport/kv-watch") => watch(shared, &query),
        (Method::Get, "/savoryport/kv-key") => get(shared, &query),
        (Method::Post, "/savoryport/kv-txn") => transact(shared, &body),
        (Method::Post, "/savoryport/kv-lease") => grant_lease(shared, &body),
        (Method::Post, path) => match parse_lease(path, "/savoryport/kv-keep/") {
            Some(lease) => renew_lease(shared, lease),
            None => (404, json!({})),
        },
        (Method::Delete, path) => match parse_lease(path, "/savoryport/kv-lease-end/") {
            Some(lease) => {
                let existed = shared.lock().contents.end_lease(lease);
                shared.changed.notify_all();
                (if existed { 200 } else { 404 }, json!({}))
            }
            None => (404, json!({})),
        },
        _ => (404, json!({})),
    };
    if let Some(rewrite) = rewrite {
        rewrite_items(&mut response, rewrite);
    }
    match mode {
        StoreMode::DropsResponses if *req.method() != Method::Get => return drop_response(req),
        StoreMode::DelaysResponses(delay) if *req.method() != Method::Get => thread::sleep(delay),
        _ => {}
    }
    respond_json_with(req, status, &era(shared.lock().era), &response);
}

/// Parses the lease id that follows `prefix` in a path.
fn parse_lease(path: &str, prefix: &str) -> Option<u64> {
    path.strip_prefix(prefix)?.parse().ok()
}

fn range(shared: &Shared, query: &HashMap<&str, &str>) -> (u16, Value) {
    /// The number of keys in a page, small enough that tests need more than one page.
    const PAGE_SIZE: usize = 5;
    let prefix = query.get("pathPrefix").copied().unwrap_or_default();
    let after = query.get("after").copied().unwrap_or_default();
    let state = &shared.lock().contents;
    let matching = state.keys.iter().filter(|(key, _)| key.starts_with(prefix));
    let mut page: Vec<Value> = matching
        .filter(|(key, _)| key.as_str() > after)
        .map(|(key, stored)| item_json(key, stored))
        .collect();
    let has_more = page.len() > PAGE_SIZE;
    page.truncate(PAGE_SIZE);
    (200, json!({ "items": page, "hasMore": has_more, "at": state.revision }))
}

fn get(shared: &Shared, query: &HashMap<&str, &str>) -> (u16, Value) {
    let key = query.get("key").copied().unwrap_or_default();
    let contents = &shared.lock().contents;
    match contents.keys.get(key) {
        Some(stored) => (200, item_json(key, stored)),
        None => (404, json!({})),
    }
}

fn watch(shared: &Shared, query: &HashMap<&str, &str>) -> (u16, Value) {
    let prefix = query.get("pathPrefix").copied().unwrap_or_default();
    let number = |name| query.get(name).and_then(|value| value.parse().ok()).unwrap_or(0_u64);
    let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
    let deadline = Instant::now() + wait;
    let mut state = shared.lock();
    loop {
        state.contents.expire_leases(Instant::now());
        let contents = &state.contents;
        if after < contents.compacted_revision || after > contents.revision {
            return (410, json!({}));
        }
        let events: Vec<Value> = contents
            .history
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(prefix))
            .map(|event| match &event.stored {
                Some(stored) => item_json(&event.key, stored),
                None => json!({ "key": event.key, "revision": event.revision, "deleted": true }),
            })
            .collect();
        let time_left = deadline.saturating_duration_since(Instant::now());
        if !events.is_empty() || time_left.is_zero() {
            return (200, json!({ "events": events, "at": contents.revision }));
        }
        // Nothing signals the expiry of a lease, so the watch polls for it.
        let timeout = time_left.min(Duration::from_millis(50));
        state = shared
            .changed
            .wait_timeout(state, timeout)
            .expect("no thread panics while holding the lock")
            .0;
    }
}

fn transact(shared: &Shared, body: &Value) -> (u16, Value) {
    let elements = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let state = &mut shared.lock().contents;
    for element in elements("precondition") {
        let key = element["key"].as_str().unwrap_or_default();
        let current_revision = state.keys.get(key).map_or(0, |stored| stored.revision);
        if Some(current_revision) != element["revision"].as_u64() {
            return (412, json!({ "items": [] }));
        }
    }
    for element in elements("write") {
        let lease = element["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, json!({}));
        }
    }
    for element in elements("write") {
        let text = |name: &str| element[name].as_str().unwrap_or_default().to_owned();
        state.put(&text("key"), text("value"), element["lease"].as_u64().unwrap_or(0));
    }
    for key in elements("remove") {
        state.remove(key.as_str().unwrap_or_default());
    }
    shared.changed.notify_all();
    (200, json!({ "revision": state.revision }))
}

fn grant_lease(shared: &Shared, body: &Value) -> (u16, Value) {
    let time_to_live = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1_000));
    let state = &mut shared.lock().contents;
    state.lease_count += 1;
    let lease = 70_000 + state.lease_count;
    state.leases.insert(lease, (time_to_live, Instant::now() + time_to_live));
    (200, json!({ "lease": lease, "ttlMs": time_to_live.as_millis() as u64 }))
}

fn renew_lease(shared: &Shared, lease: u64) -> (u16, Value) {
    let state = &mut shared.lock().contents;
    match state.leases.get_mut(&lease) {
        Some((time_to_live, expires_at)) => {
            *expires_at = Instant::now() + *time_to_live;
            (200, json!({ "ttlMs": time_to_live.as_millis() as u64 }))
        }
        None => (404, json!({})),
    }
}
