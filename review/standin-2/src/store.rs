//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, accept_all, listen};
use crate::json::{Json, quote};

/// How an address of the store handles calls.
pub const UP: u8 = 0;
/// It does nothing and answers 503.
pub const BUSY: u8 = 1;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    lease_count: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// One address of the store, whose behaviour can change.
pub struct StoreAddress {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl StoreAddress {
    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }
}

impl Store {
    pub fn start() -> Self {
        let store = Self { shared: Arc::default() };
        store.lock().revision = 100;
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        store
    }

    /// Opens an address of the store.
    pub fn open(&self, ip: &str) -> StoreAddress {
        let listener = listen(ip);
        let address = listener.local_addr().expect("a bound socket");
        let mode = Arc::new(AtomicU8::new(UP));
        let (store, served) = (self.clone(), mode.clone());
        accept_all(listener, move |mut conn| {
            while let Ok(request) = conn.read_request() {
                let (status, body) = match served.load(Ordering::SeqCst) {
                    UP => store.answer(&request),
                    _ => (503, "{}".to_owned()),
                };
                let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
                if conn.respond(status, &headers, body.as_bytes()).is_err() {
                    return;
                }
            }
        });
        StoreAddress { address, mode }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics with the lock")
    }

    /// Writes a key, as the operator and the servers do.
    pub fn write(&self, key: &str, value: &str) {
        self.lock().put(key, encode(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.shared.1.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.lock();
        String::from_utf8(decode(&state.items.get(key)?.value)?).ok()
    }

    fn expire(&self) {
        let (mut state, now) = (self.lock(), Instant::now());
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, ends))| *ends <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path();
        match (request.method(), path) {
            ("GET", "/savoryport/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                let state = self.lock();
                match state.items.get(&key) {
                    Some(item) => (200, encode_item(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/savoryport/kv-range") => {
                let prefix = request.query("pathPrefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let state = self.lock();
                let items = state.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let items: Vec<String> = items.map(|(key, item)| encode_item(key, item)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, body)
            }
            ("GET", "/savoryport/kv-watch") => self.watch(request),
            ("POST", "/savoryport/kv-txn") => self.commit(request),
            ("POST", "/savoryport/kv-lease") => {
                let ttl = Json::parse(&request.body).and_then(|body| body.number("ttlMs"));
                let ttl = Duration::from_millis(ttl.unwrap_or(1_000).clamp(1_000, 600_000));
                let mut state = self.lock();
                state.lease_count += 1;
                let lease = 70_000 + state.lease_count;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/savoryport/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match self.lock().leases.get_mut(&lease) {
                    Some((ttl, ends)) => {
                        *ends = Instant::now() + *ttl;
                        (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/savoryport/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut state = self.lock();
                if !state.leases.contains_key(&lease) {
                    return (404, "{}".to_owned());
                }
                state.end_lease(lease);
                drop(state);
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let wait = request.query("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let new = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => encode_item(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let body =
                    format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                return (200, body);
            }
            let waited = self.shared.1.wait_timeout(state, deadline - now);
            state = waited.expect("no thread panics with the lock").0;
        }
    }

    fn commit(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let mut state = self.lock();
        let is_met = body.list("precondition").iter().all(|row| {
            let key = row.text("key").unwrap_or_default();
            let revision = state.items.get(key).map_or(0, |item| item.revision);
            row.number("revision") == Some(revision)
        });
        if !is_met {
            return (412, "{\"items\":[]}".to_owned());
        }
        let removed = body.list("remove").iter().filter_map(|key| match key {
            Json::Text(key) => Some(key.clone()),
            _ => None,
        });
        let removed: Vec<String> = removed.collect();
        let written = body.list("write");
        let keys = written.iter().filter_map(|row| row.text("key"));
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if keys.chain(removed.iter().map(String::as_str)).any(is_foreign) {
            return (403, "{}".to_owned());
        }
        let lease = |row: &Json| row.number("lease").unwrap_or(0);
        if written.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
            return (404, "{}".to_owned());
        }
        for row in written {
            let value = row.text("value").unwrap_or_default().to_owned();
            state.put(row.text("key").unwrap_or_default(), value, lease(row));
        }
        for key in removed {
            state.remove(&key);
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn encode_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for piece in bytes.chunks(3) {
        let group = piece.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - piece.len()));
        for position in 0..4 {
            if position <= piece.len() {
                let digit = group >> (18 - 6 * position) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = DIGITS.iter().position(|digit| *digit == byte)?;
        group = group << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
        }
    }
    Some(bytes)
}
