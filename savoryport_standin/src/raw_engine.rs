//! A stand-in for a model engine or a server of a plain service that controls its connections
//! itself: its streams end with their connection, it can break one off without a reset, and it can
//! crash with all of them.
//!
//! The HTTP library of the other stand-ins keeps connections open and frames every response.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::sockopt::{set_socket_linger, socket_linger};
use serde_json::json;

use crate::metadata::MetadataStandin;

/// The pause between two attempts to accept a connection.
const ACCEPT_POLL: Duration = Duration::from_millis(2);

/// The configuration of an engine.
#[derive(Debug, Clone)]
pub struct RawEngineConfig {
    /// The id in the registry.
    pub id: String,
    /// The service that the engine belongs to.
    pub service: String,
    /// The failure domain of the engine.
    pub failure_domain: String,
    /// The version of the engine's software.
    pub software: String,
    /// The models that it holds; none if it is a server of a plain service.
    pub models: Vec<String>,
    /// The number of events in each stream.
    pub events_per_stream: u64,
    /// The time before each event of a stream.
    pub event_interval: Duration,
    /// The fault that it simulates.
    pub fault: RawEngineFault,
}

/// The fault that an engine simulates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RawEngineFault {
    /// No fault.
    None,
    /// Closes the connection of each stream inside an event, without a reset.
    EndsInsideEvent {
        /// The number of the event, counted from 1.
        event: u64,
    },
    /// Sends a wrong byte in the line with the id of an event, and several events in each write.
    SpoilsEvent {
        /// The number of the event, counted from 1.
        event: u64,
        /// The number of events in a write.
        events_per_write: u64,
    },
    /// Counts the events of a stream from 0.
    CountsFromZero {
        /// Whether the number of the first event is sent as 1.
        is_spoiled: bool,
    },
    /// Closes the connection inside each answer. The last part of the path, `cut-BYTES-FRAMING`, tells
    /// after how many bytes of the answer, and how its body is framed: `length`, `chunked`, `close` or
    /// `reset`, which is like `close` but resets the connection.
    CutsAnswers,
    /// Answers before it has read the body. The last part of the path, `early-BYTES-MS`, tells how much of
    /// an answer without a length it sends, and after what time it resets the connection.
    AnswersEarly,
    /// Answers with the status line that the last part of the path names: `status-CODE`. An interim
    /// status is followed by a reset.
    AnswersStatus,
    /// Closes the connection of each stream before its first event, without a reset.
    EndsBeforeFirstEvent,
    /// Crashes when it answers a request whose prompt has this part, and starts again after a while.
    CrashesOnPart {
        /// The part's id, as the request's header has it.
        part: String,
        /// The number of events that it sends before that, or all that remain but the last one. It
        /// crashes inside the next event then; if the number is 0, every second time.
        after_events: u64,
    },
    /// Crashes a while after it began to run a request with this path, and starts again under
    /// another id.
    CrashesOnPath {
        /// The path of the request.
        path: String,
        /// The time from a crash to the restart.
        downtime: Duration,
    },
    /// Closes the connection a while after it began to run a request with this path.
    ClosesOnPath {
        /// The path of the request.
        path: String,
    },
    /// Never answers a request with this path.
    HangsOnPath {
        /// The path of the request.
        path: String,
    },
}

/// The time from a crash to the restart, if the fault does not name another one.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// The time for which a server runs a request before it crashes on its path.
const CRASH_DELAY: Duration = Duration::from_millis(40);

#[derive(Debug, Default)]
struct State {
    /// The id in the registry, which differs from the configured one after some restarts.
    id: String,
    incarnation: u64,
    runs_by_request: HashMap<String, u32>,
    accepted_orders: u64,
    /// When requests that trigger the fault arrived.
    deadly_arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
    /// The end of the downtime after a crash, and whether the listener has to be replaced.
    down_until: Option<Instant>,
    /// Whether the listener is open.
    is_listening: bool,
    connections: Vec<TcpStream>,
}

/// A running engine.
pub struct RawEngine {
    shared: Arc<Shared>,
}

struct Shared {
    cfg: RawEngineConfig,
    address: String,
    store: MetadataStandin,
    state: Mutex<State>,
}

/// The head of a request, with lowercase header names.
struct RequestHead {
    method: String,
    path: String,
    headers: HashMap<String, String>,
}

impl RawEngine {
    /// Listens on a free local port and registers the engine in the metadata store.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen.
    pub fn start(cfg: RawEngineConfig, store: &MetadataStandin, incarnation: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free local port");
        let address = listener.local_addr().expect("a bound socket").to_string();
        let state = Mutex::new(State {
            id: cfg.id.clone(),
            incarnation,
            is_listening: true,
            ..State::default()
        });
        let shared = Arc::new(Shared { cfg, address, store: store.clone(), state });
        shared.register();
        // The thread ends with the last handle of the engine.
        let weak = Arc::downgrade(&shared);
        thread::spawn(move || accept(&weak, listener));
        Self { shared }
    }

    /// Crashes now, whatever it serves.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns when requests that trigger the fault arrived, oldest first.
    pub fn deadly_arrivals(&self) -> Vec<Instant> {
        self.shared.lock().deadly_arrivals.clone()
    }

    /// Returns when the engine crashed, oldest first.
    pub fn crashes(&self) -> Vec<Instant> {
        self.shared.lock().crashes.clone()
    }

    /// Returns how often the request with this id ran.
    pub fn runs_of(&self, request: &str) -> u32 {
        self.shared.lock().runs_by_request.get(request).copied().unwrap_or(0)
    }
}

/// Accepts connections while the engine is up.
fn accept(engine: &Weak<Shared>, listener: TcpListener) {
    let mut listener = Some(listener);
    while let Some(shared) = engine.upgrade() {
        let down_until = shared.lock().down_until;
        match (down_until, &listener) {
            (Some(until), _) if Instant::now() < until => {
                listener = None;
                shared.lock().is_listening = false;
            }
            (Some(_), _) => {
                listener = TcpListener::bind(&shared.address).ok();
                if listener.is_some() {
                    shared.restart();
                }
            }
            (None, Some(open)) => {
                let _ = open.set_nonblocking(true);
                if let Ok((stream, _)) = open.accept() {
                    let shared = shared.clone();
                    thread::spawn(move || shared.serve_connection(stream));
                    continue;
                }
            }
            (None, None) => return,
        }
        drop(shared);
        thread::sleep(ACCEPT_POLL);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    /// Writes the engine's registry entry.
    fn register(&self) {
        let Self { cfg, address, .. } = self;
        let (id, incarnation) = {
            let state = self.lock();
            (state.id.clone(), state.incarnation)
        };
        let entry = json!({
            "service": cfg.service, "address": address, "zone": cfg.failure_domain,
            "version": cfg.software, "slots": 64,
            "state": "ready", "born": incarnation, "models": models_json(&cfg.models),
            "sequence": 1,
        });
        self.store.write(&format!("servers/{id}"), &entry);
    }

    /// Closes all connections and refuses new ones until the restart.
    fn crash(&self) {
        let mut state = self.lock();
        if state.down_until.is_some() {
            return;
        }
        let now = Instant::now();
        let downtime = match &self.cfg.fault {
            RawEngineFault::CrashesOnPath { downtime, .. } => *downtime,
            _ => RESTART_TIME,
        };
        state.down_until = Some(now + downtime);
        state.crashes.push(now);
        drop(state);
        // The accepting thread closes the listener first, since a crash leaves none behind.
        while self.lock().is_listening {
            thread::sleep(ACCEPT_POLL);
        }
        for connection in self.lock().connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn restart(&self) {
        let mut state = self.lock();
        state.down_until = None;
        state.is_listening = true;
        state.incarnation += 1_000_000;
        state.accepted_orders = 0;
        let former_id = match self.cfg.fault {
            RawEngineFault::CrashesOnPath { .. } => {
                let id = format!("{}-restart-{}", self.cfg.id, state.crashes.len());
                Some(std::mem::replace(&mut state.id, id))
            }
            _ => None,
        };
        drop(state);
        if let Some(former_id) = former_id {
            self.store.remove(&format!("servers/{former_id}"));
        }
        self.register();
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(reader), Ok(handle)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.lock().connections.push(handle);
        let mut reader = BufReader::new(reader);
        let skips_body = self.cfg.fault != RawEngineFault::AnswersEarly;
        while let Some(head) = read_request(&mut reader, skips_body) {
            let keeps_open = match (&*head.method, &*head.path) {
                ("GET", "/savoryport/report") => self.send_report(&mut stream),
                ("POST", "/savoryport/order") => {
                    self.lock().accepted_orders += 1;
                    send_json(&mut stream, 202, "{}")
                }
                _ => self.run_request(&head, &mut stream),
            };
            if !keeps_open {
                break;
            }
        }
        if matches!(socket_linger(&stream), Ok(Some(Duration::ZERO))) {
            // The connection is reset when its last handle is closed.
            let caller = stream.peer_addr().ok();
            self.lock().connections.retain(|handle| handle.peer_addr().ok() != caller);
            return;
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn send_report(&self, stream: &mut TcpStream) -> bool {
        let (incarnation, accepted_orders) = {
            let state = self.lock();
            (state.incarnation, state.accepted_orders)
        };
        let report = json!({
            "born": incarnation, "stage": "both", "models": models_json(&self.cfg.models),
            "busy": false, "sequence": accepted_orders, "pending": [],
        });
        send_json(stream, 200, &report.to_string())
    }

    /// Runs a request; returns whether the connection stays open.
    fn run_request(&self, head: &RequestHead, stream: &mut TcpStream) -> bool {
        let header = |name: &str| head.headers.get(name).map_or("", String::as_str);
        let id = header("x-attempt-id");
        let server = self.lock().id.clone();
        if header("x-expect-instance") != server {
            return send(
                stream,
                &format!(
                    "HTTP/1.1 421 x\r\nX-Attempt-Id: {id}\r\nx-not-executed: 1\r\n\
                     content-length: 0\r\n\r\n"
                ),
            );
        }
        *self.lock().runs_by_request.entry(id.to_owned()).or_default() += 1;
        let is_deadly = match &self.cfg.fault {
            RawEngineFault::CrashesOnPart { part, .. } => {
                let mut parts = header("x-prompt-prefix").split(',');
                parts.any(|listed| listed.split(':').next() == Some(part))
            }
            RawEngineFault::CrashesOnPath { path, .. }
            | RawEngineFault::ClosesOnPath { path }
            | RawEngineFault::HangsOnPath { path } => head.path == *path,
            _ => false,
        };
        if is_deadly {
            self.lock().deadly_arrivals.push(Instant::now());
        }
        if self.cfg.fault == RawEngineFault::CutsAnswers
            && let Some((bytes, framing)) = parse_cut(&head.path)
        {
            let answer = framed_answer(id, &server, framing, &self.answer_body(id));
            let _ = stream.write_all(&answer.as_bytes()[..bytes.min(answer.len())]);
            if framing == "reset" {
                thread::sleep(self.cfg.event_interval);
                let _ = set_socket_linger(&*stream, Some(Duration::ZERO));
            }
            return false;
        }
        if self.cfg.fault == RawEngineFault::AnswersEarly
            && let Some((bytes, ms)) = parse_early(&head.path)
        {
            let answer = framed_answer(id, &server, "close", &self.answer_body(id));
            let _ = stream.write_all(&answer.as_bytes()[..bytes.min(answer.len())]);
            thread::sleep(Duration::from_millis(ms));
            let _ = set_socket_linger(&*stream, Some(Duration::ZERO));
            return false;
        }
        if self.cfg.fault == RawEngineFault::AnswersStatus
            && let Some((_, code)) = head.path.rsplit_once("/status-")
        {
            let answer = framed_answer(id, &server, "length", &self.answer_body(id));
            send(stream, &answer.replacen("200 OK", &format!("{code} x"), 1));
            let _ = set_socket_linger(&*stream, Some(Duration::ZERO));
            return false;
        }
        if self.cfg.models.is_empty() {
            return self.run_plain_request(id, &server, is_deadly, stream);
        }
        let response_head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
             X-Server-Stamp: stamp.{server}\r\n\r\n"
        );
        if !send(stream, &response_head) || self.cfg.fault == RawEngineFault::EndsBeforeFirstEvent {
            return false;
        }
        let first_number =
            if matches!(self.cfg.fault, RawEngineFault::CountsFromZero { .. }) { 0 } else { 1 };
        let resumed_after = header("last-event-id").parse::<u64>().ok();
        let first = resumed_after.map_or(first_number, |after| after + 1);
        if is_deadly {
            self.crash_inside_stream(id, first, stream);
            return false;
        }
        let mut unsent = Vec::new();
        for number in first..self.cfg.events_per_stream + first_number {
            thread::sleep(self.cfg.event_interval);
            let mut event = format!("id: {number}\ndata: event {number} of {id}\n\n");
            if number == 0
                && self.cfg.fault == (RawEngineFault::CountsFromZero { is_spoiled: true })
            {
                event = event.replacen("id: 0", "id: 1", 1);
            }
            if let RawEngineFault::SpoilsEvent { event: spoiled, events_per_write } = self.cfg.fault
            {
                let start = unsent.len();
                unsent.extend_from_slice(event.as_bytes());
                if number == spoiled {
                    unsent[start] = b'x';
                }
                let is_last = number == self.cfg.events_per_stream;
                if (number % events_per_write == 0 || is_last)
                    && stream.write_all(&std::mem::take(&mut unsent)).is_err()
                {
                    return false;
                }
                continue;
            }
            if self.cfg.fault == (RawEngineFault::EndsInsideEvent { event: number }) {
                send(stream, &event[..event.len() / 2]);
                return false;
            }
            if !send(stream, &event) {
                return false;
            }
        }
        false
    }

    /// Sends the events of a deadly request from this one on that come before the crash, and crashes.
    fn crash_inside_stream(&self, id: &str, first: u64, stream: &mut TcpStream) {
        let RawEngineFault::CrashesOnPart { after_events, .. } = self.cfg.fault else { return };
        let crashes_at = (first + after_events).min(self.cfg.events_per_stream);
        for number in first..crashes_at {
            thread::sleep(self.cfg.event_interval);
            send(stream, &format!("id: {number}\ndata: event {number} of {id}\n\n"));
        }
        thread::sleep(self.cfg.event_interval);
        if after_events > 0 || self.lock().deadly_arrivals.len().is_multiple_of(2) {
            send(stream, &format!("id: {crashes_at}\nda"));
        }
        self.crash();
    }

    /// Returns the whole body of the answer to a request.
    fn answer_body(&self, id: &str) -> String {
        match self.cfg.events_per_stream {
            0 => format!("answer to {id}"),
            events => (1..=events)
                .map(|event| format!("id: {event}\ndata: event {event} of {id}\n\n"))
                .collect(),
        }
    }

    /// Runs a request of a plain service; returns whether the connection stays open.
    fn run_plain_request(
        &self,
        id: &str,
        server: &str,
        is_deadly: bool,
        stream: &mut TcpStream,
    ) -> bool {
        if is_deadly {
            match self.cfg.fault {
                // Returns when the client closes the connection.
                RawEngineFault::HangsOnPath { .. } => _ = stream.read(&mut [0]),
                RawEngineFault::ClosesOnPath { .. } => thread::sleep(CRASH_DELAY),
                _ => {
                    thread::sleep(CRASH_DELAY);
                    self.crash();
                }
            }
            return false;
        }
        thread::sleep(self.cfg.event_interval);
        let body = format!("answer to {id}");
        let length = body.len();
        send(
            stream,
            &format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp.{server}\r\n\
                 content-length: {length}\r\n\r\n{body}"
            ),
        )
    }
}

/// Parses the path of a request whose answer is cut.
fn parse_cut(path: &str) -> Option<(usize, &str)> {
    let (_, cut) = path.rsplit_once("/cut-")?;
    let (bytes, framing) = cut.split_once('-')?;
    Some((bytes.parse().ok()?, framing))
}

/// Parses the path of a request that is answered early: the bytes of the answer, and the milliseconds
/// until the reset.
fn parse_early(path: &str) -> Option<(usize, u64)> {
    let (_, early) = path.rsplit_once("/early-")?;
    let (bytes, ms) = early.split_once('-')?;
    Some((bytes.parse().ok()?, ms.parse().ok()?))
}

/// Returns a whole answer, of which the body is framed as asked.
fn framed_answer(id: &str, server: &str, framing: &str, body: &str) -> String {
    let (header, body) = match framing {
        "length" => (format!("content-length: {}\r\n", body.len()), body.to_owned()),
        "chunked" => {
            let (first, second) = body.split_at(body.len() / 2);
            let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
            let body = format!("{}{}0\r\n\r\n", chunk(first), chunk(second));
            ("transfer-encoding: chunked\r\n".to_owned(), body)
        }
        _ => (String::new(), body.to_owned()),
    };
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp.{server}\r\n{header}\r\n{body}"
    )
}

/// Reads a request, and skips its body with `skips_body`; returns `None` if the client has closed the
/// connection.
fn read_request(reader: &mut BufReader<TcpStream>, skips_body: bool) -> Option<RequestHead> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let skipped = if skips_body { length } else { 0 };
    std::io::copy(&mut reader.by_ref().take(skipped), &mut std::io::sink()).ok()?;
    Some(RequestHead { method, path, headers })
}

fn models_json(models: &[String]) -> Vec<serde_json::Value> {
    models.iter().map(|name| json!({ "name": name, "version": 1, "adapters": [] })).collect()
}

fn send_json(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    send(stream, &format!("{head}{body}"))
}

/// Sends text; returns whether that succeeded.
fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
