//! Backend servers: a server of a plain service, and a model engine.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Request, read_request, write_response};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// The interval of heartbeats, as in the settings of a small deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The number of events of a stream.
pub const EVENTS: u64 = 12;

/// The number of events that a server writes at once.
const EVENTS_AT_ONCE: usize = 3;

/// What a server is.
#[derive(Clone)]
pub struct Spec {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// The mean time that a request takes at a plain service, or the time for a few events of a stream
    /// at an engine.
    pub work: Duration,
    /// The models of an engine; none for a plain service.
    pub models: &'static [&'static str],
}

/// What a server does wrong, with some of its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One byte of the data of this event is wrong: it is no UTF-8.
    SpoilsEvent(u64),
    /// Where the next answer on the connection is expected, it first sends a second answer to the
    /// request before, a failure without the request's id.
    SendsExtraBytes,
    /// It sends `101 Switching Protocols`, which nobody asked for, in place of an answer.
    SwitchesProtocols,
    /// The server crashes when it runs a request with this path.
    CrashesOn(&'static str),
}

/// The path of the request that crashes servers.
pub const DEADLY_PATH: &str = "/stock/deadly";

/// An order that reached an engine.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
}

#[derive(Default)]
struct State {
    address: Option<SocketAddr>,
    /// The time of the start in Unix milliseconds.
    born: u64,
    down_until: Option<Instant>,
    is_listening: bool,
    connections: Vec<TcpStream>,
    /// The requests of a plain service that are being run.
    running: Vec<String>,
    crashes: Vec<Crash>,
    beats: u64,
    /// The ids of the requests that ran here.
    runs: Vec<String>,
    fault: Option<Fault>,
    /// Of so many answers, one shows the fault.
    one_in: usize,
    answers: usize,
    /// The requests whose answers showed the fault.
    faulty_answers: Vec<String>,
    /// Headers that all further successes carry.
    extra_headers: Vec<(&'static str, String)>,
    orders: Vec<Order>,
    accepted_orders: u64,
    adapters: BTreeMap<String, BTreeSet<String>>,
}

#[derive(Clone)]
pub struct Server {
    pub spec: Spec,
    state: Arc<Mutex<State>>,
    record: Record,
}

/// The time for which a server is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(3);

/// The time for which a server runs a request before it crashes at it.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// A request that crashed a server.
#[derive(Debug, Clone)]
pub struct Crash {
    pub at: Instant,
    /// The other requests that the server was running.
    pub lost: Vec<String>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}

impl Server {
    /// Starts a server and registers it.
    pub fn start(record: &Record, store: &Store, spec: Spec) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut state = State { born: unix_ms(), ..State::default() };
        state.address = Some(listener.local_addr()?);
        for model in spec.models {
            state.adapters.insert((*model).to_owned(), BTreeSet::new());
        }
        let server = Self { spec, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            loop {
                beating.beat(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    /// Accepts connections. After a crash, the server is back at another address, under its id.
    fn accept(&self, mut listener: TcpListener) {
        loop {
            let _ = listener.set_nonblocking(true);
            self.lock().is_listening = true;
            while self.lock().down_until.is_none() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let server = self.clone();
                thread::spawn(move || drop(server.serve(stream)));
            }
            drop(listener);
            self.lock().is_listening = false;
            thread::sleep(DOWNTIME);
            let Ok(bound) = TcpListener::bind("127.0.0.1:0") else { return };
            listener = bound;
            let mut state = self.lock();
            state.address = listener.local_addr().ok();
            state.born = unix_ms();
            state.down_until = None;
            state.accepted_orders = 0;
            self.record.line(&format!("server {} is back", self.spec.id));
        }
    }

    /// Ends: the port refuses connections, and those that are open close.
    fn crash(&self, attempt: &str) {
        let at = Instant::now();
        let mut state = self.lock();
        if state.down_until.is_some() {
            return;
        }
        state.down_until = Some(at + DOWNTIME);
        drop(state);
        while self.lock().is_listening {
            thread::sleep(Duration::from_millis(1));
        }
        let mut state = self.lock();
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let mut lost = std::mem::take(&mut state.running);
        lost.retain(|id| id != attempt);
        let id = self.spec.id;
        self.record.line(&format!("server {id} crashes at {attempt}, and with it end {lost:?}"));
        state.crashes.push(Crash { at, lost });
    }

    /// Returns the crashes at requests.
    pub fn crashes(&self) -> Vec<Crash> {
        self.lock().crashes.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    /// Adds a header to all further successes.
    pub fn set_header(&self, name: &'static str, value: &str) {
        self.record
            .line(&format!("server {} answers with {name}: {value} from now on", self.spec.id));
        self.lock().extra_headers = vec![(name, value.to_owned())];
    }

    /// Shows a fault in one of so many of the further answers.
    pub fn set_fault(&self, fault: Fault, one_in: usize) {
        self.record
            .line(&format!("server {} from now on: {fault:?}, one in {one_in}", self.spec.id));
        let mut state = self.lock();
        state.fault = Some(fault);
        state.one_in = one_in;
    }

    /// Returns the requests whose answers showed the fault.
    pub fn faulty_answers(&self) -> Vec<String> {
        self.lock().faulty_answers.clone()
    }

    /// Counts an answer, and returns the fault that it shows.
    fn next_fault(&self, attempt: &str) -> Fault {
        let mut state = self.lock();
        let Some(fault) = state.fault.filter(|fault| *fault != Fault::None) else {
            return Fault::None;
        };
        state.answers += 1;
        if !state.answers.is_multiple_of(state.one_in) {
            return Fault::None;
        }
        state.faulty_answers.push(attempt.to_owned());
        self.record.line(&format!("server {}: {fault:?} with {attempt}", self.spec.id));
        fault
    }

    pub fn runs(&self) -> Vec<String> {
        self.lock().runs.clone()
    }

    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    fn models_json(&self, state: &State) -> String {
        let models = state.adapters.iter().map(|(model, adapters)| {
            let adapters: Vec<String> = adapters.iter().map(|name| format!("\"{name}\"")).collect();
            let adapters = adapters.join(",");
            format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{adapters}]}}")
        });
        models.collect::<Vec<_>>().join(",")
    }

    fn beat(&self, store: &Store) {
        let mut state = self.lock();
        let Some(address) = state.address.filter(|_| state.down_until.is_none()) else { return };
        state.beats += 1;
        let models = self.models_json(&state);
        let Spec { id, service, zone, slots, .. } = &self.spec;
        let (born, beats) = (state.born, state.beats);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"stage\":\"both\",\"models\":[{models}],\"sequence\":{beats},\"born\":{born},\
             \"available\":{{\"resident\":[],\"stored\":[]}}}}"
        );
        drop(state);
        store.put(&format!("servers/{id}"), &entry);
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        self.lock().connections.push(stream.try_clone()?);
        let mut reader = BufReader::new(stream);
        let mut before = None;
        while let Some(req) = read_request(&mut reader)? {
            let expected = req.header("x-expect-instance");
            if expected.is_some_and(|id| id != self.spec.id) {
                self.refuse(&mut out, &req, 421)?;
                continue;
            }
            match (req.method.as_str(), req.path.as_str()) {
                ("GET", "/savoryport/report") => self.report(&mut out)?,
                ("POST", "/savoryport/order") => self.take_order(&mut out, &req)?,
                ("GET", "/health") => {
                    let id = [("X-Instance-Id", self.spec.id.to_owned())];
                    write_response(&mut out, 200, &id, &[])?;
                }
                _ if self.spec.models.is_empty() => {
                    self.run_plain(&mut out, &req, &mut before)?;
                }
                _ => self.run_stream(&mut out, &req)?,
            }
        }
        Ok(())
    }

    fn refuse(&self, out: &mut TcpStream, req: &Request, status: u16) -> std::io::Result<()> {
        let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
        self.record.line(&format!("server {} refuses {attempt} with {status}", self.spec.id));
        let headers = [
            ("X-Attempt-Id", attempt),
            ("X-Not-Executed", "1".to_owned()),
            ("X-Instance-Id", self.spec.id.to_owned()),
        ];
        write_response(out, status, &headers, &[])
    }

    fn begin_run(&self, req: &Request) -> (String, String) {
        let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
        let stamp = format!("{}.{attempt}", self.spec.id);
        self.record.line(&format!("server {} runs {attempt} ({})", self.spec.id, req.path));
        self.lock().runs.push(attempt.clone());
        (attempt, stamp)
    }

    /// Returns the time that a request takes at a plain service: half of the mean to one and a half
    /// times that, by its id.
    fn work_of(&self, attempt: &str) -> Duration {
        let hash = attempt
            .bytes()
            .fold(7_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()));
        self.spec.work.mul_f64(0.5 + f64::from(hash % 101) / 100.0)
    }

    /// Runs a request of a plain service. `before` is the request before on this connection.
    fn run_plain(
        &self,
        out: &mut TcpStream,
        req: &Request,
        before: &mut Option<String>,
    ) -> std::io::Result<()> {
        let (attempt, stamp) = self.begin_run(req);
        if self.lock().fault == Some(Fault::CrashesOn(DEADLY_PATH)) && req.path == DEADLY_PATH {
            thread::sleep(CRASH_DELAY);
            self.crash(&attempt);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        // A new connection has no request before, of which there could be a second answer.
        let may_show = before.is_some();
        let fault = if may_show { self.next_fault(&attempt) } else { Fault::None };
        if fault == Fault::SwitchesProtocols {
            out.write_all(b"HTTP/1.1 101 Switching Protocols\r\n\r\n")?;
            thread::sleep(self.work_of(&attempt));
            return Ok(());
        }
        if let (Fault::SendsExtraBytes, Some(before)) = (fault, &*before) {
            let stamp = ("X-Server-Stamp", format!("{}.{before}", self.spec.id));
            write_response(out, 500, &[stamp], b"{}")?;
        }
        *before = Some(attempt.clone());
        self.lock().running.push(attempt.clone());
        thread::sleep(self.work_of(&attempt));
        self.lock().running.retain(|id| *id != attempt);
        let body = format!("{{\"done\":\"{attempt}\"}}");
        let mut headers = vec![
            ("X-Attempt-Id", attempt.clone()),
            ("X-Server-Stamp", stamp),
            ("Content-Type", "application/json".to_owned()),
        ];
        headers.extend(self.lock().extra_headers.clone());
        write_response(out, 200, &headers, body.as_bytes())?;
        self.record.line(&format!("server {} answered {attempt} with 200", self.spec.id));
        Ok(())
    }

    fn run_stream(&self, out: &mut TcpStream, req: &Request) -> std::io::Result<()> {
        let target = req.header("x-model").unwrap_or_default().to_owned();
        let is_present = {
            let state = self.lock();
            match target.split_once('/') {
                Some((model, adapter)) => {
                    state.adapters.get(model).is_some_and(|known| known.contains(adapter))
                }
                None => state.adapters.contains_key(&target),
            }
        };
        if !is_present {
            return self.refuse(out, req, 421);
        }
        let (attempt, stamp) = self.begin_run(req);
        let after: u64 = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        write!(
            out,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {stamp}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        let fault = self.next_fault(&attempt);
        let events: Vec<u64> = (after + 1..=EVENTS).collect();
        for group in events.chunks(EVENTS_AT_ONCE) {
            thread::sleep(self.spec.work);
            let mut chunk = Vec::new();
            for event in group {
                let start = format!("id: {event}\ndata: {attempt} ").into_bytes();
                let text = if fault == Fault::SpoilsEvent(*event) {
                    b"piece \xff".to_vec()
                } else {
                    format!("piece {event}").into_bytes()
                };
                chunk.extend([&start[..], &text, b"\n\n"].concat());
            }
            let framed = [format!("{:x}\r\n", chunk.len()).as_bytes(), &chunk, b"\r\n"].concat();
            out.write_all(&framed)?;
        }
        write!(out, "0\r\n\r\n")
    }

    fn report(&self, out: &mut TcpStream) -> std::io::Result<()> {
        let state = self.lock();
        let (models, accepted, born) =
            (self.models_json(&state), state.accepted_orders, state.born);
        drop(state);
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"busy\":false,\"sequence\":{accepted},\
             \"born\":{born},\"queuedRequests\":0,\"activeRequests\":0,\"kvCacheUsed\":0,\
             \"kvCacheTotal\":254920,\"handles\":0,\"pending\":[]}}"
        );
        write_response(out, 200, &[("Content-Type", "application/json".into())], body.as_bytes())
    }

    /// Takes an order. Like the servers of the users' deployments, it doesn't check fences.
    fn take_order(&self, out: &mut TcpStream, req: &Request) -> std::io::Result<()> {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let body = Json::parse(&text).unwrap_or(Json::Null);
        let holder = body.get("holder").text().unwrap_or_default().to_owned();
        let fence = body.get("fencingToken").number().unwrap_or(0);
        let mut state = self.lock();
        let status = state.execute(&body);
        let (at, id) = (Instant::now(), self.spec.id);
        self.record.line(&format!("server {id} gets order {text} -> {status}"));
        state.orders.push(Order { at, holder, fence });
        drop(state);
        write_response(out, status, &[], &[])
    }
}

impl State {
    fn execute(&mut self, body: &Json) -> u16 {
        /// The places for adapters of a server.
        const ADAPTER_PLACES: usize = 5;
        let expected = body.get("precondition").number();
        if expected.is_some_and(|expected| expected != self.accepted_orders) {
            return 409;
        }
        let model = body.get("model").text().unwrap_or_default();
        let (Some(adapter), Some(adapters)) =
            (body.get("adapter").text(), self.adapters.get_mut(model))
        else {
            // The cases need no orders for models.
            return 400;
        };
        match body.get("operation").text() {
            Some("load") if adapters.contains(adapter) => 200,
            Some("load") if adapters.len() >= ADAPTER_PLACES => 400,
            Some("load") => {
                adapters.insert(adapter.to_owned());
                self.accepted_orders += 1;
                202
            }
            Some("unload") => {
                adapters.remove(adapter);
                self.accepted_orders += 1;
                200
            }
            _ => 400,
        }
    }
}
