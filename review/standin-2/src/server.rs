//! Stand-ins for the servers of a plain service and for model engines.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Conn, Message, listen};
use crate::json::{Json, quote};
use crate::record::{Record, Step};
use crate::store::Store;

/// The interval between two entries of a server in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The tokens in an event of a stream.
const TOKENS_PER_EVENT: u64 = 5;

/// The prompt tokens that an engine reads in a millisecond.
const PROMPT_TOKENS_PER_MS: f64 = 38.1;

/// The time in which an engine loads an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(8);

#[derive(Clone)]
pub struct ServerConfig {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub ip: String,
    /// The models that an engine holds at first; none for a plain server.
    pub models: Vec<String>,
    pub slots: u32,
    /// The time that a plain server takes.
    pub work: Duration,
    /// The time in which an engine makes a token, in microseconds.
    pub token_us: u64,
    /// The time in which an engine loads a model.
    pub load: Duration,
    /// The models of which it has copies on its disk.
    pub on_disk: Vec<String>,
    /// The part of a prompt on which the engine crashes.
    pub deadly_part: Option<String>,
    /// The events that it has written of the answer by then.
    pub deadly_events: u64,
}

struct State {
    id: String,
    born: u64,
    starts: u64,
    models: BTreeMap<String, BTreeSet<String>>,
    pending: Vec<(String, String, Instant)>,
    /// The load in progress and its end.
    loading: Option<(String, Instant)>,
    sequence: u64,
    beats: u64,
    connections: Vec<TcpStream>,
    is_up: bool,
}

pub struct Server {
    cfg: ServerConfig,
    pub address: SocketAddr,
    store: Store,
    record: Record,
    state: Mutex<State>,
    /// Closed before the connections when the process ends.
    listener: Mutex<Option<TcpListener>>,
    pub token_us: AtomicU64,
    /// Whether the server leaves, as its answers say then.
    is_leaving: AtomicBool,
    /// Whether the events of streams are counted from 0.
    pub counts_from_zero: AtomicBool,
    /// Of so many answers one is spoilt; 0 for none.
    pub spoils_one_of: AtomicU64,
    answers: AtomicU64,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Server {
    pub fn start(cfg: ServerConfig, store: &Store, record: &Record) -> Arc<Self> {
        let listener = listen(&cfg.ip);
        let address = listener.local_addr().expect("a bound socket");
        let models = cfg.models.iter().map(|model| (model.clone(), BTreeSet::new())).collect();
        let state = State {
            id: cfg.id.clone(),
            born: unix_ms(),
            starts: 1,
            models,
            pending: Vec::new(),
            loading: None,
            sequence: 0,
            beats: 0,
            connections: Vec::new(),
            is_up: true,
        };
        let server = Arc::new(Self {
            address,
            store: store.clone(),
            record: record.clone(),
            token_us: AtomicU64::new(cfg.token_us),
            is_leaving: AtomicBool::new(false),
            counts_from_zero: AtomicBool::new(false),
            spoils_one_of: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            cfg,
            state: Mutex::new(state),
            listener: Mutex::default(),
        });
        server.clone().accept(listener);
        let beating = server.clone();
        std::thread::spawn(move || {
            loop {
                beating.beat();
                sleep(HEARTBEAT);
            }
        });
        server
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        *self.listener.lock().expect("no thread panics with the lock") = Some(listener);
        std::thread::spawn(move || {
            loop {
                let accepted = match &*self.listener.lock().expect("no thread panics with the lock")
                {
                    Some(listener) => listener.accept(),
                    None => return,
                };
                let Ok((stream, _)) = accepted else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let copy = stream.try_clone();
                let mut state = self.lock();
                if !state.is_up {
                    return;
                }
                state.connections.extend(copy);
                drop(state);
                let server = self.clone();
                std::thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
    }

    /// Closes the listener and then all connections, as the end of a process does. What was written is
    /// delivered.
    fn close_sockets(&self, state: &mut State) {
        state.is_up = false;
        *self.listener.lock().expect("no thread panics with the lock") = None;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Begins to leave: the answers say so, and no further entry is written.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.record.line(format!("server {} leaves, its answers say so", self.lock().id));
    }

    /// Removes the entry in the store, and returns the call that was the last to write it.
    pub fn remove_entry(&self) -> (String, String) {
        let state = self.lock();
        let (key, entry) = (format!("servers/{}", state.id), self.entry(&state));
        drop(state);
        self.store.remove(&key);
        self.record.line(format!("entry {key} removed"));
        (key, entry)
    }

    /// Ends the process for good.
    pub fn exit(&self) {
        let mut state = self.lock();
        self.close_sockets(&mut state);
        self.record.line(format!("server {} exits", state.id));
    }

    fn beat(&self) {
        let mut state = self.lock();
        if !state.is_up || self.is_leaving.load(Ordering::SeqCst) {
            return;
        }
        state.beats += 1;
        let (key, entry) = (format!("servers/{}", state.id), self.entry(&state));
        drop(state);
        self.store.write(&key, &entry);
    }

    fn on_disk(&self) -> String {
        let models: Vec<String> = self.cfg.on_disk.iter().map(|model| quote(model)).collect();
        models.join(",")
    }

    fn entry(&self, state: &State) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"born\":{},\
             \"models\":[{}],\"available\":{{\"resident\":[],\"stored\":[{}]}},\"sequence\":{}}}",
            quote(&self.cfg.service),
            self.address,
            quote(&self.cfg.zone),
            self.cfg.slots,
            state.born,
            encode_models(state),
            self.on_disk(),
            state.beats
        )
    }

    /// Ends the process of the server, which is back after `downtime` as a new one. What it had
    /// written is delivered, as by a process that is killed.
    pub fn crash(self: &Arc<Self>, downtime: Duration, why: &str) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        let former = state.id.clone();
        self.close_sockets(&mut state);
        drop(state);
        self.record.line(format!("server {former} crashes: {why}"));
        let server = self.clone();
        std::thread::spawn(move || {
            // Three heartbeats of silence remove the entry.
            let lapses = HEARTBEAT * 3;
            sleep(downtime.min(lapses));
            if downtime >= lapses {
                server.store.remove(&format!("servers/{former}"));
                sleep(downtime - lapses);
            }
            let listener = loop {
                match TcpListener::bind(server.address) {
                    Ok(listener) => break listener,
                    Err(_) => sleep(Duration::from_millis(20)),
                }
            };
            let mut state = server.lock();
            state.starts += 1;
            state.id = format!("{}-boot{}", server.cfg.id, state.starts);
            state.born = unix_ms();
            // It finds the weights on its disk; the time of that load is part of the downtime.
            state.models =
                server.cfg.models.iter().map(|model| (model.clone(), BTreeSet::new())).collect();
            (state.sequence, state.beats, state.loading) = (0, 0, None);
            state.pending.clear();
            state.is_up = true;
            let id = state.id.clone();
            drop(state);
            server.record.line(format!("server {id} starts"));
            server.clone().accept(listener);
            server.beat();
            let lapsing = server.clone();
            std::thread::spawn(move || {
                sleep(lapses.saturating_sub(downtime));
                lapsing.store.remove(&format!("servers/{former}"));
            });
        });
    }

    fn serve(self: Arc<Self>, mut conn: Conn) {
        while let Ok(request) = conn.read_request() {
            let path = request.path().to_owned();
            let answered = match (request.method(), path.as_str()) {
                ("GET", "/health") => {
                    let id = self.lock().id.clone();
                    conn.respond(200, &[("X-Instance-Id", &id)], b"")
                }
                ("GET", "/savoryport/report") => {
                    let body = self.report();
                    conn.respond(200, &[("Content-Type", "application/json")], body.as_bytes())
                }
                ("POST", "/savoryport/order") => {
                    let status = self.order(&request);
                    conn.respond(status, &[("Content-Type", "application/json")], b"{}")
                }
                _ => self.run(&mut conn, &request),
            };
            if answered.is_err() {
                break;
            }
        }
        let _ = conn.stream.shutdown(Shutdown::Both);
    }

    fn report(&self) -> String {
        let mut state = self.lock();
        state.settle();
        let pending = state.pending.iter().map(|(m, a, _)| quote(&format!("{m}/{a}@1")));
        format!(
            "{{\"stage\":\"both\",\"born\":{},\"models\":[{}],\"busy\":{},\"sequence\":{},\
             \"queuedRequests\":0,\"activeRequests\":0,\"kvCacheUsed\":0,\"kvCacheTotal\":259204,\
             \"handles\":0,\"available\":{{\"resident\":[],\"stored\":[{}]}},\"pending\":[{}]}}",
            state.born,
            encode_models(&state),
            state.loading.is_some(),
            state.sequence,
            self.on_disk(),
            pending.collect::<Vec<_>>().join(",")
        )
    }

    fn order(&self, request: &Message) -> u16 {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let text = |key: &str| body.text(key).unwrap_or_default().to_owned();
        let (operation, model) = (text("operation"), text("model"));
        let (holder, adapter) = (text("holder"), body.text("adapter").map(str::to_owned));
        let fence = body.number("fencingToken").unwrap_or(0);
        let mut state = self.lock();
        state.settle();
        let expected = request.header("x-expect-instance");
        let status = if expected.is_some_and(|expected| expected != state.id) {
            421
        } else if holder.is_empty() || fence == 0 {
            400
        } else {
            state.carry_out(&operation, &model, adapter.clone(), body.number("precondition"), self)
        };
        let id = state.id.clone();
        drop(state);
        let what = format!("{operation} {model} {}", adapter.unwrap_or_default());
        self.record.order(&id, &holder, fence, what.trim_end(), status);
        status
    }

    fn run(self: &Arc<Self>, conn: &mut Conn, request: &Message) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let id = self.lock().id.clone();
        let stamp = format!("3e1b.{id}.{attempt}");
        let echo = [("X-Attempt-Id", attempt.as_str()), ("X-Server-Stamp", stamp.as_str())];
        let not_run = [("X-Attempt-Id", attempt.as_str()), ("X-Not-Executed", "1")];
        if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
            return conn.respond(421, &not_run, b"");
        }
        let Some(target) = request.header("x-model") else {
            self.record.run(&id, &attempt, Step::Arrived, request.target());
            self.record.run(&id, &attempt, Step::Began, "");
            sleep(self.cfg.work);
            self.record.run(&id, &attempt, Step::Ended, "");
            let body = format!("answer of {id} to {attempt}\n");
            if self.is_leaving.load(Ordering::SeqCst) {
                let leaving = [echo[0], echo[1], ("Server-Leaving", "1"), ("Connection", "close")];
                conn.respond(200, &leaving, body.as_bytes())?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            return conn.respond(200, &echo, body.as_bytes());
        };
        let (model, adapter) = target.split_once('/').unwrap_or((target, ""));
        let holds = {
            let mut state = self.lock();
            state.settle();
            let held = state.models.get(model);
            held.is_some_and(|held| adapter.is_empty() || held.contains(adapter))
        };
        if !holds {
            self.record.line(format!("server {id} does not hold {target} for {attempt}"));
            return conn.respond(421, &not_run, b"");
        }
        let parts = request.header("x-prompt-prefix").unwrap_or_default().to_owned();
        self.record.run(&id, &attempt, Step::Arrived, &format!("{target} parts={parts}"));
        let counts = request.header("x-token-counts").unwrap_or("0,50");
        let (prompt, output) = counts.split_once(',').unwrap_or(("0", "50"));
        let prompt: f64 = prompt.parse().unwrap_or(0.0);
        let output: u64 = output.parse().unwrap_or(50);
        let base = u64::from(!self.counts_from_zero.load(Ordering::Relaxed));
        let after: Option<u64> = request.header("last-event-id").and_then(|id| id.parse().ok());
        let next = after.map_or(base, |after| after + 1);
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let spoils_one_of = self.spoils_one_of.load(Ordering::Relaxed);
        let is_spoilt = spoils_one_of > 0 && number.is_multiple_of(spoils_one_of) && next == 0;
        let ended = |server: &Self| server.record.run(&id, &attempt, Step::Ended, "");
        if self.wait(conn, Duration::from_secs_f64(prompt / PROMPT_TOKENS_PER_MS / 1e3)) {
            ended(self);
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let token = || Duration::from_micros(self.token_us.load(Ordering::Relaxed));
        let is_deadly = self.cfg.deadly_part.as_ref().is_some_and(|deadly| {
            parts.split(',').any(|part| part.split(':').next() == Some(deadly.as_str()))
        });
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        for (name, value) in echo {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            head.push_str("Server-Leaving: 1\r\nConnection: close\r\n");
        }
        head.push_str("\r\n");
        let events = output.div_ceil(TOKENS_PER_EVENT);
        for event in next..events + base {
            for number in 0..TOKENS_PER_EVENT {
                if self.wait(conn, token()) {
                    ended(self);
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                if event == next && number == 0 {
                    self.record.run(&id, &attempt, Step::Began, &format!("from event {next}"));
                }
            }
            if is_deadly && self.cfg.deadly_events == 0 {
                ended(self);
                self.crash(Duration::from_secs(4), &format!("it answers {attempt}"));
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let mut text = format!("id: {event}\ndata: piece {event} of {attempt}\n\n");
            if is_spoilt && event == 0 {
                text.replace_range(4..5, "1");
                self.record.line(format!(
                    "server {id} spoils one byte of {attempt}: the id of event 0 is 1"
                ));
            }
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let bytes = if event == next { head.clone() + &chunk } else { chunk };
            if conn.write(bytes.as_bytes()).is_err() {
                ended(self);
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            if is_deadly && event + 1 >= next + self.cfg.deadly_events {
                ended(self);
                self.crash(Duration::from_secs(4), &format!("it answers {attempt}"));
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
        ended(self);
        conn.write(b"0\r\n\r\n")
    }

    /// Works for this time; returns whether the caller has closed the connection meanwhile, or the
    /// server is down.
    fn wait(&self, conn: &Conn, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            if conn.is_closed() || !self.lock().is_up {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            sleep(left.min(Duration::from_millis(5)));
        }
    }
}

impl State {
    /// Applies what is done by now.
    fn settle(&mut self) {
        let now = Instant::now();
        if let Some((model, ends)) = self.loading.clone()
            && ends <= now
        {
            self.models.entry(model).or_default();
            self.loading = None;
        }
        let (done, pending) = self.pending.drain(..).partition(|(_, _, ends)| *ends <= now);
        self.pending = pending;
        let done: Vec<(String, String, Instant)> = done;
        for (model, adapter, _) in done {
            self.models.entry(model).or_default().insert(adapter);
        }
    }

    fn carry_out(
        &mut self,
        operation: &str,
        model: &str,
        adapter: Option<String>,
        expected: Option<u64>,
        server: &Server,
    ) -> u16 {
        if self.loading.is_some() || expected.is_some_and(|expected| expected != self.sequence) {
            return 409;
        }
        let now = Instant::now();
        match (operation, adapter) {
            ("load", None) if self.models.contains_key(model) => return 200,
            ("load", None) => self.loading = Some((model.to_owned(), now + server.cfg.load)),
            ("load", Some(adapter)) => {
                let Some(held) = self.models.get(model) else { return 409 };
                let pending = self.pending.iter().any(|(m, a, _)| m == model && *a == adapter);
                if pending || held.contains(&adapter) {
                    return 200;
                }
                self.pending.push((model.to_owned(), adapter, now + ADAPTER_LOAD));
            }
            ("unload", None) => {
                self.models.remove(model);
            }
            ("unload", Some(adapter)) => {
                if let Some(held) = self.models.get_mut(model) {
                    held.remove(&adapter);
                }
                self.sequence += 1;
                return 200;
            }
            _ => return 400,
        }
        self.sequence += 1;
        202
    }
}

fn encode_models(state: &State) -> String {
    let models = state.models.iter().map(|(name, adapters)| {
        let adapters: Vec<String> = adapters.iter().map(|adapter| quote(adapter)).collect();
        format!("{{\"name\":{},\"version\":1,\"adapters\":[{}]}}", quote(name), adapters.join(","))
    });
    models.collect::<Vec<_>>().join(",")
}
