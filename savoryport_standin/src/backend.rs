//! A stand-in for the platform's backend servers: plain services and model engines.
//!
//! It records what savoryport's guarantees limit: how often each request ran, which leader sent
//! which orders, and how often memory was overcommitted.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response};

use crate::http::{HttpServer, drop_response, header, read_body, respond_json};
use crate::metadata::MetadataStandin;

/// The configuration of a server.
#[derive(Debug, Clone)]
pub struct BackendConfig {
    /// The id in the registry.
    pub id: String,
    /// The service that the server belongs to.
    pub service: String,
    /// The failure domain of the server.
    pub failure_domain: String,
    /// The version of the server's software.
    pub software: String,
    /// The models that an engine has loaded at the start; empty for a plain service.
    pub models: Vec<String>,
    /// The number of adapters that fit into memory, over all models.
    pub adapter_capacity: usize,
    /// The number of models that fit into memory.
    pub model_capacity: usize,
    /// The number of events in each stream.
    pub events_per_stream: u64,
    /// The time after each event of a stream, and the execution time of a plain request.
    pub event_interval: Duration,
}

/// How long a server keeps the connection of a body that it does not send to the end.
const STALL: Duration = Duration::from_secs(5);

/// The fault that a server simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackendFault {
    /// No fault.
    #[default]
    None,
    /// Rejects requests with status 503, as a server at its limit does.
    Full,
    /// Runs requests but sends no response.
    DropsResponses,
    /// Breaks off each stream in the middle of the third event.
    BreaksStreams,
    /// Pauses each stream once.
    Stalls {
        /// The number of the event that the pause comes before, counted from 1.
        before_event: u64,
        /// The length of the pause.
        pause: Duration,
    },
    /// Runs requests and responds with status 500.
    InternalError,
    /// Runs requests and responds with the id of another request.
    WrongRequestId,
    /// Neither executes orders nor responds to them.
    IgnoresOrders,
    /// Refuses everything, as another server does that has taken over the address.
    Replaced,
    /// Sends headers without end, until the client closes the connection.
    EndlessHead,
    /// Sends a body without end, until the client closes the connection.
    EndlessBody,
    /// Sends the beginning of a long body, and then nothing until the client closes the connection.
    StalledBody {
        /// The number of bytes that it sends.
        bytes: usize,
    },
    /// Sends a stream that starts well and goes on with bytes that are no event.
    EndlessEvent,
    /// Sends a second copy of each response a while after the first one, on the same connection.
    RepeatsResponses {
        /// The time from the first copy to the second one.
        after: Duration,
    },
    /// Sends an earlier refusal, which names no request, once more before each response.
    RepeatsRefusals,
    /// Sends a failure of an earlier request, without its id, before each response.
    RepeatsFailures,
    /// Switches to another protocol, for which nobody asked, before each response.
    SwitchesProtocols,
    /// Names a time for which it keeps idle connections that is beyond all bounds.
    KeepsConnectionsForever,
    /// Sends one byte of a response at a time and never completes an event.
    Drips {
        /// The time between two bytes.
        interval: Duration,
    },
}

#[derive(Default)]
struct State {
    fault: BackendFault,
    /// The value of the `Server-Limit` header in responses.
    limit: Option<String>,
    /// The value of the `Server-Brittle` header in responses.
    brittle: Option<String>,
    /// Whether responses announce that the server leaves.
    is_leaving: bool,
    /// The value of the `Retry-After` header in refusals.
    retry_after: Option<String>,
    /// When requests arrived that are no reports or orders.
    arrivals: Vec<Instant>,
    runs_by_request: HashMap<String, u32>,
    /// The headers of the last requests, with the id of each.
    heads: VecDeque<(String, Vec<(String, String)>)>,
    orders: Vec<ReceivedOrder>,
    accepted_orders: u64,
    adapters_by_model: BTreeMap<String, Vec<String>>,
    overcommit_count: u32,
}

/// An order that the server received.
#[derive(Debug, Clone)]
pub struct ReceivedOrder {
    /// The VM of the leader that sent it.
    pub holder: String,
    /// The fencing token of the order.
    pub fencing_token: u64,
    /// When it arrived.
    pub received_at: Instant,
}

/// A running backend server.
pub struct BackendStandin {
    config: BackendConfig,
    state: Arc<Mutex<State>>,
    server: HttpServer,
    store: MetadataStandin,
    incarnation: u64,
}

impl BackendStandin {
    /// Listens on an address and registers the server in the metadata store.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen on the address.
    pub fn start(
        address: &str,
        config: BackendConfig,
        store: &MetadataStandin,
        incarnation: u64,
    ) -> Self {
        let adapters_by_model =
            config.models.iter().map(|model| (model.clone(), Vec::new())).collect();
        let state = Arc::new(Mutex::new(State { adapters_by_model, ..State::default() }));
        let (handler_state, handler_config) = (state.clone(), config.clone());
        let server = HttpServer::start(address, move |req| {
            handle(&handler_state, &handler_config, incarnation, req)
        });
        let standin = Self { config, state, server, store: store.clone(), incarnation };
        standin.register("ready");
        standin
    }

    /// Writes the server's registry entry with the given state.
    pub fn register(&self, state: &str) {
        let models = models_json(&self.lock().adapters_by_model);
        let entry = json!({
            "service": self.config.service,
            "address": self.server.address(),
            "zone": self.config.failure_domain,
            "version": self.config.software,
            "slots": 64,
            "state": state,
            "born": self.incarnation,
            "models": models,
            "sequence": 1,
        });
        self.store.write(&format!("servers/{}", self.config.id), &entry);
    }

    /// Removes the server's registry entry.
    pub fn deregister(&self) {
        self.store.remove(&format!("servers/{}", self.config.id));
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, fault: BackendFault) {
        self.lock().fault = fault;
    }

    /// Sets the value of the `Server-Limit` header in responses to requests, by which a server in
    /// need names the requests a second that it takes.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(str::to_owned);
    }

    /// Sets the value of the `Server-Brittle` header in responses, by which a server names the requests a
    /// second that it can turn away before it falls over.
    pub fn set_brittle(&self, brittle: Option<&str>) {
        self.lock().brittle = brittle.map(str::to_owned);
    }

    /// Announces in all responses to requests from now on that the server leaves.
    pub fn announce_leaving(&self) {
        self.lock().is_leaving = true;
    }

    /// Sets the value of the `Retry-After` header in refusals.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        self.lock().retry_after = retry_after.map(str::to_owned);
    }

    /// Returns when requests arrived, oldest first, those included that the server refused.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Returns how often the request with this id ran.
    pub fn runs_of(&self, request: &str) -> u32 {
        self.lock().runs_by_request.get(request).copied().unwrap_or(0)
    }

    /// Returns how often each request ran, by request id.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.lock().runs_by_request.clone()
    }

    /// Returns the headers of a request, with their names in lower case, if it is one of the last few
    /// thousand that arrived.
    pub fn headers_of(&self, request: &str) -> Option<Vec<(String, String)>> {
        let state = self.lock();
        state.heads.iter().find(|(id, _)| id == request).map(|(_, headers)| headers.clone())
    }

    /// Returns the received orders, oldest first.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.lock().orders.clone()
    }

    /// Returns after how many executed orders the loaded items exceeded a capacity.
    pub fn overcommit_count(&self) -> u32 {
        self.lock().overcommit_count
    }

    /// Returns the IP address and port that the server listens on.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Returns the id in the registry.
    pub fn id(&self) -> &str {
        &self.config.id
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

fn models_json(models: &BTreeMap<String, Vec<String>>) -> Vec<Value> {
    models
        .iter()
        .map(|(name, adapters)| json!({ "name": name, "version": 1, "adapters": adapters }))
        .collect()
}

fn handle(state: &Mutex<State>, cfg: &BackendConfig, incarnation: u64, mut req: Request) {
    let body = read_body(&mut req);
    let fault = state.lock().expect("no thread panics while holding the lock").fault;
    if fault == BackendFault::Replaced {
        let id = header(&req, "x-attempt-id").unwrap_or_default();
        return refuse(req, 421, &id, "");
    }
    match (req.method(), req.url()) {
        (Method::Get, "/savoryport/report") => send_report(state, incarnation, req),
        (Method::Post, "/savoryport/order") => handle_order(state, cfg, &body, req),
        _ => run_request(state, cfg, req),
    }
}

fn send_report(state: &Mutex<State>, incarnation: u64, req: Request) {
    let state = state.lock().expect("no thread panics while holding the lock");
    let report = json!({
        "born": incarnation,
        "stage": "both",
        "models": models_json(&state.adapters_by_model),
        "busy": false,
        "sequence": state.accepted_orders,
        "pending": [],
    });
    drop(state);
    respond_json(req, 200, &report);
}

fn handle_order(state: &Mutex<State>, cfg: &BackendConfig, body: &[u8], req: Request) {
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let mut state = state.lock().expect("no thread panics while holding the lock");
    if state.fault == BackendFault::IgnoresOrders {
        drop(state);
        return drop_response(req);
    }
    state.orders.push(ReceivedOrder {
        holder: order["holder"].as_str().unwrap_or_default().to_owned(),
        fencing_token: order["fencingToken"].as_u64().unwrap_or(0),
        received_at: Instant::now(),
    });
    let status = state.execute_order(cfg, &order);
    drop(state);
    respond_json(req, status, &json!({}));
}

impl State {
    /// Returns the header lines by which the server announces its condition in all responses.
    fn notice_headers(&self) -> String {
        let limit = self.limit.as_ref().map(|limit| format!("Server-Limit: {limit}\r\n"));
        let leaving = if self.is_leaving { "Server-Leaving: 1\r\n" } else { "" };
        let brittle = self.brittle.as_ref().map(|value| format!("Server-Brittle: {value}\r\n"));
        format!("{}{}{leaving}", limit.unwrap_or_default(), brittle.unwrap_or_default())
    }

    fn record_head(&mut self, id: &str, req: &Request) {
        /// The number of requests of which the headers are kept.
        const MAX_HEADS: usize = 4_096;
        if self.heads.len() == MAX_HEADS {
            self.heads.pop_front();
        }
        let headers = req.headers().iter().map(|header| {
            (header.field.to_string().to_ascii_lowercase(), header.value.to_string())
        });
        self.heads.push_back((id.to_owned(), headers.collect()));
    }

    fn execute_order(&mut self, cfg: &BackendConfig, order: &Value) -> u16 {
        if order["precondition"].as_u64().is_some_and(|expected| expected != self.accepted_orders) {
            return 409;
        }
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let adapter = order["adapter"].as_str().map(str::to_owned);
        self.accepted_orders += 1;
        match (order["operation"].as_str(), adapter) {
            (Some("load"), None) => {
                self.adapters_by_model.entry(model).or_default();
            }
            (Some("unload"), None) => {
                self.adapters_by_model.remove(&model);
            }
            (Some("load"), Some(adapter)) => match self.adapters_by_model.get_mut(&model) {
                Some(adapters) => adapters.push(adapter),
                None => return 400,
            },
            (Some("unload"), Some(adapter)) => {
                if let Some(adapters) = self.adapters_by_model.get_mut(&model) {
                    adapters.retain(|name| *name != adapter);
                }
                return 200;
            }
            _ => return 400,
        }
        let adapter_count: usize = self.adapters_by_model.values().map(Vec::len).sum();
        if adapter_count > cfg.adapter_capacity || self.adapters_by_model.len() > cfg.model_capacity
        {
            self.overcommit_count += 1;
        }
        202
    }

    fn has_loaded(&self, target: &str) -> bool {
        match target.split_once('/') {
            Some((model, adapter)) => self
                .adapters_by_model
                .get(model)
                .is_some_and(|adapters| adapters.iter().any(|name| name == adapter)),
            None => self.adapters_by_model.contains_key(target),
        }
    }
}

fn run_request(state: &Mutex<State>, cfg: &BackendConfig, req: Request) {
    let id = header(&req, "x-attempt-id").unwrap_or_default();
    let target = header(&req, "x-model");
    let (fault, proof) = {
        let mut state = state.lock().expect("no thread panics while holding the lock");
        state.arrivals.push(Instant::now());
        state.record_head(&id, &req);
        let notices = state.notice_headers();
        let is_for_other_server =
            header(&req, "x-expect-instance").is_some_and(|expected| expected != cfg.id);
        let is_not_loaded = target.as_deref().is_some_and(|target| !state.has_loaded(target));
        let status = match state.fault {
            _ if is_for_other_server || is_not_loaded => Some(421),
            BackendFault::Full => Some(503),
            _ => None,
        };
        if let Some(status) = status {
            let retry_after = state.retry_after.clone().filter(|_| status == 503);
            let retry_after =
                retry_after.map(|value| format!("Retry-After: {value}\r\n")).unwrap_or_default();
            drop(state);
            return refuse(req, status, &id, &format!("{notices}{retry_after}"));
        }
        *state.runs_by_request.entry(id.clone()).or_default() += 1;
        (state.fault, proof_headers(cfg, &id, &notices))
    };
    match fault {
        BackendFault::DropsResponses => {
            thread::sleep(cfg.event_interval);
            drop_response(req);
        }
        BackendFault::InternalError => respond(req, 500, &proof, "failed"),
        BackendFault::WrongRequestId => {
            respond(req, 200, &proof_headers(cfg, "somebody-else", ""), "not yours");
        }
        BackendFault::EndlessHead => {
            let head = format!("HTTP/1.1 200 OK\r\n{proof}");
            send_endlessly(req, &head, "X-Filler: ");
        }
        BackendFault::EndlessBody => {
            let head = format!("HTTP/1.1 200 OK\r\n{proof}\r\n");
            send_endlessly(req, &head, "");
        }
        BackendFault::StalledBody { bytes } => {
            let head = format!("HTTP/1.1 200 OK\r\n{proof}\r\n");
            let mut writer = req.into_writer();
            let body = vec![b'x'; bytes];
            let _ = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body));
            let _ = writer.flush();
            thread::sleep(STALL);
        }
        BackendFault::EndlessEvent => {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{proof}\r\nid: 1\ndata: "
            );
            send_endlessly(req, &head, "");
        }
        BackendFault::Drips { interval } => drip(req, &proof, interval),
        BackendFault::KeepsConnectionsForever => {
            thread::sleep(cfg.event_interval);
            let headers = format!("{proof}Keep-Alive: timeout={}\r\n", u64::MAX);
            respond(req, 200, &headers, &format!("answer to {id}"));
        }
        BackendFault::RepeatsRefusals
        | BackendFault::RepeatsFailures
        | BackendFault::SwitchesProtocols => {
            let body = format!("answer to {id}");
            let refusal = match fault {
                BackendFault::RepeatsRefusals => "503 x\r\nX-Not-Executed: 1",
                BackendFault::RepeatsFailures => "500 x\r\nX-Server-Stamp: stamp.earlier",
                _ => "101 Switching Protocols\r\nupgrade: other\r\nconnection: upgrade",
            };
            let refusal = format!("HTTP/1.1 {refusal}\r\ncontent-length: 0\r\n\r\n");
            let response =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n{proof}\r\n{body}", body.len());
            let mut writer = req.into_writer();
            let _ = writer.write_all(refusal.as_bytes()).and_then(|()| writer.flush());
            thread::sleep(cfg.event_interval);
            let _ = writer.write_all(response.as_bytes()).and_then(|()| writer.flush());
        }
        BackendFault::RepeatsResponses { after } => {
            thread::sleep(cfg.event_interval);
            respond_twice(req, &proof, &id, after);
        }
        _ if target.is_some() => stream_events(req, cfg, &proof, &id, fault),
        _ => {
            thread::sleep(cfg.event_interval);
            respond(req, 200, &proof, &format!("answer to {id}"));
        }
    }
}

/// Refuses a request without running it.
fn refuse(req: Request, status: u16, id: &str, headers: &str) {
    respond(req, status, &format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n{headers}"), "");
}

/// Sends a response with these header lines.
fn respond(req: Request, status: u16, headers: &str, body: &str) {
    let mut response = Response::from_string(body).with_status_code(status);
    for line in headers.lines() {
        response = response.with_header(line.parse::<Header>().expect("a header line"));
    }
    let _ = req.respond(response);
}

/// Returns the header lines by which a server shows that it ran the request.
fn proof_headers(cfg: &BackendConfig, id: &str, notices: &str) -> String {
    format!("X-Attempt-Id: {id}\r\nX-Server-Stamp: stamp.{}\r\n{notices}", cfg.id)
}

/// Sends `head` and then filler lines, each starting with `line_start`, until the client closes the
/// connection.
fn send_endlessly(req: Request, head: &str, line_start: &str) {
    let line = format!("{line_start}{}\r\n", "x".repeat(1_000));
    // Without a line start the filler contains no line break, so that it ends nothing.
    let filler = if line_start.is_empty() { "x".repeat(64 * 1024) } else { line };
    let mut writer = req.into_writer();
    if writer.write_all(head.as_bytes()).is_err() {
        return;
    }
    while writer.write_all(filler.as_bytes()).and_then(|()| writer.flush()).is_ok() {}
}

/// Sends the head of a stream and then single bytes of an event without end.
fn drip(req: Request, proof: &str, interval: Duration) {
    let mut writer = req.into_writer();
    let head =
        format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{proof}\r\nid: 1\ndata: ");
    let _ = writer.write_all(head.as_bytes());
    while writer.flush().is_ok() {
        thread::sleep(interval);
        if writer.write_all(b"x").is_err() {
            return;
        }
    }
}

/// Sends the same response twice on one connection.
fn respond_twice(req: Request, proof: &str, id: &str, after: Duration) {
    let body = format!("answer to {id}");
    let response =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n{proof}\r\n{body}", body.len());
    let mut writer = req.into_writer();
    let _ = writer.write_all(response.as_bytes()).and_then(|()| writer.flush());
    thread::sleep(after);
    let _ = writer.write_all(response.as_bytes()).and_then(|()| writer.flush());
}

fn stream_events(req: Request, cfg: &BackendConfig, proof: &str, id: &str, fault: BackendFault) {
    /// The event in which [`BackendFault::BreaksStreams`] breaks off, counted from 1.
    const BREAK_EVENT: u64 = 3;
    let first = header(&req, "last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
    let mut writer = req.into_writer();
    let mut head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{proof}\
         transfer-encoding: chunked\r\n\r\n"
    );
    // Only the first version says nothing of itself.
    let version = match &*cfg.software {
        "v1" => String::new(),
        software => format!(" at {software}"),
    };
    for event in first..=cfg.events_per_stream {
        let mut payload = format!("id: {event}\ndata: event {event} of {id}{version}\n\n");
        if let BackendFault::Stalls { before_event, pause } = fault
            && before_event == event
        {
            std::thread::sleep(pause);
        }
        let breaks_off = fault == BackendFault::BreaksStreams && event == BREAK_EVENT;
        if breaks_off {
            payload.truncate(payload.len() / 2);
        }
        let head = std::mem::take(&mut head);
        let chunk = format!("{head}{:x}\r\n{payload}\r\n", payload.len());
        if writer.write_all(chunk.as_bytes()).is_err() || writer.flush().is_err() || breaks_off {
            return;
        }
        thread::sleep(cfg.event_interval);
    }
    let _ = writer.write_all(b"0\r\n\r\n");
    let _ = writer.flush();
}
