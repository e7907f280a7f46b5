//! The platform's store. Each machine reaches it at an address of its own, so that it can be turned
//! away alone.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_response};
use crate::json::{Json, base64};
use crate::record::Record;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    time_to_live: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Each change with its revision; `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    era: u64,
    /// Whether the store is away, for everybody.
    is_away: bool,
    /// The machines that are turned away.
    turned_away: Vec<String>,
    connections: Vec<(String, TcpStream)>,
}

/// What the store held at one time.
pub struct Copy {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<(u64, String, Option<Item>)>,
    /// The time to live of each lease and what was left of it.
    leases: HashMap<u64, (Duration, Duration)>,
    last_lease: u64,
    pub taken_at: Instant,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let state = State { era: 1, revision: 1, ..State::default() };
        let store =
            Self { shared: Arc::new((Mutex::new(state), Condvar::new())), record: record.clone() };
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.expire_leases();
            }
        });
        store
    }

    /// Listens for the calls of one machine.
    pub fn listen_for(&self, machine: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (store, machine) = (self.clone(), machine.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, machine) = (store.clone(), machine.clone());
                thread::spawn(move || store.serve(&machine, stream));
            }
        });
        Ok(address)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics while holding the lock")
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        if !state.is_away {
            state.put(key, base64(value.as_bytes()), 0);
            self.shared.1.notify_all();
        }
    }

    /// Returns the value of a key, if it is text.
    pub fn value(&self, key: &str) -> Option<String> {
        let value = self.lock().items.get(key)?.value.clone();
        decode_base64(&value)
    }

    /// Turns a machine away with 503, or lets it in again.
    pub fn turn_away(&self, machine: &str, is_away: bool) {
        let mut state = self.lock();
        state.turned_away.retain(|known| known != machine);
        if is_away {
            state.turned_away.push(machine.to_owned());
        }
        self.record.line(&format!("store: {machine} turned away: {is_away}"));
        self.shared.1.notify_all();
    }

    /// Takes a copy, as the platform does from time to time.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        let now = Instant::now();
        let left =
            |lease: &Lease| (lease.time_to_live, lease.ends_at.saturating_duration_since(now));
        self.record.line(&format!("store: copy taken at revision {}", state.revision));
        Copy {
            items: state.items.clone(),
            revision: state.revision,
            history: state.history.clone(),
            leases: state.leases.iter().map(|(id, lease)| (*id, left(lease))).collect(),
            last_lease: state.last_lease,
            taken_at: now,
        }
    }

    /// Takes the store away for everybody.
    pub fn go_away(&self) {
        let mut state = self.lock();
        state.is_away = true;
        for (_, stream) in state.connections.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.line("store: away");
        self.shared.1.notify_all();
    }

    /// Brings the store back from a copy.
    pub fn come_back_from(&self, copy: &Copy) {
        let mut state = self.lock();
        let now = Instant::now();
        state.items = copy.items.clone();
        state.revision = copy.revision;
        state.history = copy.history.clone();
        state.last_lease = copy.last_lease;
        state.leases = copy
            .leases
            .iter()
            .map(|(id, (time_to_live, left))| {
                (*id, Lease { time_to_live: *time_to_live, ends_at: now + *left })
            })
            .collect();
        state.era += 1;
        state.is_away = false;
        let (age, era) = (copy.taken_at.elapsed().as_secs_f64(), state.era);
        self.record.line(&format!("store: back from a copy {age:.1} s old, era {era}"));
        self.shared.1.notify_all();
    }

    fn expire_leases(&self) {
        let mut state = self.lock();
        if state.is_away {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.ends_at)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, machine: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        if let Ok(kept) = stream.try_clone() {
            let mut state = self.lock();
            if state.is_away {
                return;
            }
            state.connections.push((machine.to_owned(), kept));
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = read_request(&mut reader) {
            let (status, body) = self.answer(machine, &req);
            let (is_away, era) = {
                let state = self.lock();
                (state.is_away, state.era)
            };
            if is_away {
                return;
            }
            if !req.path.ends_with("kv-watch") && !req.path.contains("kv-keep") {
                let text = String::from_utf8_lossy(&req.body);
                self.record.line(&format!(
                    "store: {machine} {} {}?{} {text} -> {status}",
                    req.method, req.path, req.query
                ));
            }
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", era.to_string())];
            if write_response(&mut out, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, machine: &str, req: &Request) -> (u16, String) {
        let mut state = self.lock();
        if state.turned_away.iter().any(|known| known == machine) {
            return (503, "{}".to_owned());
        }
        let path = req.path.strip_prefix("/savoryport/").unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let lease_of = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
        match (req.method.as_str(), path) {
            ("GET", "kv-key") => state.get(req.query_value("key").unwrap_or_default()),
            ("GET", "kv-range") => state.range(req),
            ("GET", "kv-watch") => {
                drop(state);
                self.watch(machine, req)
            }
            ("POST", "kv-txn") => {
                let answer = state.transact(&body);
                self.shared.1.notify_all();
                answer
            }
            ("POST", "kv-lease") => {
                let ttl_ms = body.get("ttlMs").number().unwrap_or(0).clamp(1_000, 600_000);
                let time_to_live = Duration::from_millis(ttl_ms);
                state.last_lease += 1;
                let id = state.last_lease;
                let ends_at = Instant::now() + time_to_live;
                state.leases.insert(id, Lease { time_to_live, ends_at });
                (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", _) => {
                let lease = lease_of("kv-keep/").and_then(|id: u64| state.leases.get_mut(&id));
                match lease {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.time_to_live;
                        (200, format!("{{\"ttlMs\":{}}}", lease.time_to_live.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _) => match lease_of("kv-lease-end/") {
                Some(id) if state.leases.contains_key(&id) => {
                    state.end_lease(id);
                    self.shared.1.notify_all();
                    (200, "{}".to_owned())
                }
                _ => (404, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, machine: &str, req: &Request) -> (u16, String) {
        let prefix = req.query_value("pathPrefix").unwrap_or_default();
        let number = |name| req.query_value(name).and_then(|text: &str| text.parse::<u64>().ok());
        let (after, wait_ms) = (number("after").unwrap_or(0), number("waitMs").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            if state.is_away || state.turned_away.iter().any(|known| known == machine) {
                return (503, "{}".to_owned());
            }
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item.encode(key),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no thread panics while holding the lock").0;
        }
    }
}

impl Item {
    fn encode(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created\":{created},\"lease\":{lease}}}"
        )
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let bound = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => (200, item.encode(key)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, req: &Request) -> (u16, String) {
        let prefix = req.query_value("pathPrefix").unwrap_or_default();
        let after = req.query_value("after").unwrap_or_default();
        let items = self.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<String> = items.map(|(key, item)| item.encode(key)).collect();
        let (items, at) = (items.join(","), self.revision);
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"at\":{at}}}"))
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let text = |json: &Json, name: &str| json.get(name).text().unwrap_or_default().to_owned();
        let number = |json: &Json, name: &str| json.get(name).number().unwrap_or(0);
        let met = body.get("precondition").list().iter().all(|row| {
            let present = self.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            present == number(row, "revision")
        });
        if !met {
            let keys = body.get("precondition").list().iter().map(|row| text(row, "key"));
            let items = keys.filter_map(|key| self.items.get(&key).map(|item| item.encode(&key)));
            return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
        }
        let has_lease = |row: &Json| {
            let lease = number(row, "lease");
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !body.get("write").list().iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        for row in body.get("write").list() {
            self.put(&text(row, "key"), text(row, "value"), number(row, "lease"));
        }
        for key in body.get("remove").list() {
            self.remove(key.text().unwrap_or_default());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn decode_base64(text: &str) -> Option<String> {
    let digit = |byte: u8| -> Option<u32> {
        let value = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => return None,
        };
        Some(value.into())
    };
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes().take_while(|byte| *byte != b'=') {
        bits = bits << 6 | digit(byte)?;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 255) as u8);
        }
    }
    String::from_utf8(out).ok()
}
