//! A stand-in for the platform's metadata store: keys with revisions, leases, watches and transactions.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::http::{HttpServer, drop_response, read_body, respond_json};

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Up,
    /// It does nothing and says so.
    Busy,
    /// It does nothing and says nothing.
    Silent,
    /// It does what it is asked, and the answers to writes are lost.
    DropsResponses,
}

#[derive(Debug, Clone)]
struct Stored {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Recorded {
    revision: u64,
    key: String,
    stored: Option<Stored>,
}

#[derive(Default)]
struct State {
    mode: StoreMode,
    revision: u64,
    keys: BTreeMap<String, Stored>,
    history: Vec<Recorded>,
    /// History up to here is forgotten.
    compacted: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    calls: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct MetadataStandin {
    shared: Arc<Shared>,
    running: Arc<HttpServer>,
}

impl MetadataStandin {
    /// Listens on an address.
    ///
    /// # Panics
    ///
    /// Panics where the address cannot be listened on.
    pub fn start(address: &str) -> Self {
        let shared = Arc::new(Shared::default());
        shared.lock().revision = 1;
        let serving = shared.clone();
        let running = HttpServer::start(address, move |req| serve(&serving, req));
        Self { shared, running: Arc::new(running) }
    }

    /// Returns the IP address and port.
    pub fn address(&self) -> &str {
        self.running.address()
    }

    /// Changes what the store does with calls.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.lock().mode = mode;
    }

    /// Writes a key, as operators and servers do.
    pub fn write(&self, key: &str, value: &Value) {
        let mut state = self.shared.lock();
        state.put(key, STANDARD.encode(value.to_string()), 0);
        self.shared.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.lock();
        state.remove(key);
        self.shared.changed.notify_all();
    }

    /// Returns the keys below a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        state.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Forgets the history.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Returns how many calls came.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.keys.get(key).map_or(self.revision, |stored| stored.created);
        let stored = Stored { value, revision: self.revision, created, lease };
        self.keys.insert(key.to_owned(), stored.clone());
        self.record(key, Some(stored));
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, stored: Option<Stored>) {
        self.history.push(Recorded { revision: self.revision, key: key.to_owned(), stored });
    }

    /// Ends the leases whose time is over.
    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let bound: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound {
            self.remove(&key);
        }
        known
    }
}

fn item(key: &str, stored: &Stored) -> Value {
    json!({
        "key": key,
        "value": stored.value,
        "revision": stored.revision,
        "created": stored.created,
        "lease": stored.lease,
    })
}

fn serve(shared: &Shared, mut req: Request) {
    let mode = {
        let mut state = shared.lock();
        state.calls += 1;
        state.expire(Instant::now());
        state.mode
    };
    let body: Value = serde_json::from_slice(&read_body(&mut req)).unwrap_or_default();
    let url = req.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let query: HashMap<&str, &str> =
        query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    match mode {
        StoreMode::Busy => return respond_json(req, 503, &json!({})),
        StoreMode::Silent => return drop_response(req),
        StoreMode::Up | StoreMode::DropsResponses => {}
    }
    let (status, answer) = match (req.method(), path) {
        (Method::Get, "/savoryport/kv-range") => range(shared, &query),
        (Method::Get, "/savoryport/kv-watch") => watch(shared, &query),
        (Method::Post, "/savoryport/kv-txn") => transact(shared, &body),
        (Method::Post, "/savoryport/kv-lease") => grant(shared, &body),
        (Method::Post, path) => match lease_of(path, "/savoryport/kv-keep/") {
            Some(lease) => keep(shared, lease),
            None => (404, json!({})),
        },
        (Method::Delete, path) => match lease_of(path, "/savoryport/kv-lease-end/") {
            Some(lease) => {
                let known = shared.lock().end_lease(lease);
                shared.changed.notify_all();
                (if known { 200 } else { 404 }, json!({}))
            }
            None => (404, json!({})),
        },
        _ => (404, json!({})),
    };
    if mode == StoreMode::DropsResponses && *req.method() != Method::Get {
        return drop_response(req);
    }
    respond_json(req, status, &answer);
}

fn lease_of(path: &str, prefix: &str) -> Option<u64> {
    path.strip_prefix(prefix)?.parse().ok()
}

fn range(shared: &Shared, query: &HashMap<&str, &str>) -> (u16, Value) {
    /// Keys on one page, few so that paging is met in tests.
    const PAGE: usize = 5;
    let prefix = query.get("pathPrefix").copied().unwrap_or_default();
    let after = query.get("after").copied().unwrap_or_default();
    let state = shared.lock();
    let below = state.keys.iter().filter(|(key, _)| key.starts_with(prefix));
    let mut rest: Vec<Value> = below
        .filter(|(key, _)| key.as_str() > after)
        .map(|(key, stored)| item(key, stored))
        .collect();
    let has_more = rest.len() > PAGE;
    rest.truncate(PAGE);
    (200, json!({ "items": rest, "hasMore": has_more, "at": state.revision }))
}

fn watch(shared: &Shared, query: &HashMap<&str, &str>) -> (u16, Value) {
    let prefix = query.get("pathPrefix").copied().unwrap_or_default();
    let number = |name| query.get(name).and_then(|value| value.parse().ok()).unwrap_or(0_u64);
    let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
    let ends = Instant::now() + wait;
    let mut state = shared.lock();
    loop {
        state.expire(Instant::now());
        if after < state.compacted {
            return (410, json!({}));
        }
        let events: Vec<Value> = state
            .history
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(prefix))
            .map(|event| match &event.stored {
                Some(stored) => item(&event.key, stored),
                None => json!({ "key": event.key, "revision": event.revision, "deleted": true }),
            })
            .collect();
        let left = ends.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return (200, json!({ "events": events, "at": state.revision }));
        }
        // Leases end while a watch waits, so it looks again from time to time.
        let pause = left.min(Duration::from_millis(50));
        state = shared
            .changed
            .wait_timeout(state, pause)
            .expect("no thread panics while holding the lock")
            .0;
    }
}

fn transact(shared: &Shared, body: &Value) -> (u16, Value) {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let mut state = shared.lock();
    for row in rows("precondition") {
        let key = row["key"].as_str().unwrap_or_default();
        let present = state.keys.get(key).map_or(0, |stored| stored.revision);
        if Some(present) != row["revision"].as_u64() {
            return (412, json!({ "items": [] }));
        }
    }
    for row in rows("write") {
        let lease = row["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, json!({}));
        }
    }
    for row in rows("write") {
        let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
        state.put(&text("key"), text("value"), row["lease"].as_u64().unwrap_or(0));
    }
    for key in rows("remove") {
        state.remove(key.as_str().unwrap_or_default());
    }
    shared.changed.notify_all();
    (200, json!({ "revision": state.revision }))
}

fn grant(shared: &Shared, body: &Value) -> (u16, Value) {
    let time = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1_000));
    let mut state = shared.lock();
    let lease = 70_000 + state.calls;
    state.leases.insert(lease, (time, Instant::now() + time));
    (200, json!({ "lease": lease, "ttlMs": time.as_millis() as u64 }))
}

fn keep(shared: &Shared, lease: u64) -> (u16, Value) {
    let mut state = shared.lock();
    match state.leases.get_mut(&lease) {
        Some((time, until)) => {
            *until = Instant::now() + *time;
            (200, json!({ "ttlMs": time.as_millis() as u64 }))
        }
        None => (404, json!({})),
    }
}
