//! A stand-in for the platform's backend servers: plain services and model engines.
//!
//! It counts by itself what the promises are about: how often each request ran, which orders came from
//! whom, and whether memory was overcommit_count.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response};

use crate::http::{Running, answer_json, header, lose_answer, read_body};
use crate::metadata::MetadataStandin;

/// What a server is.
#[derive(Debug, Clone)]
pub struct BackendConfig {
    /// Its id in the registry.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Models that it holds at first, for an engine.
    pub models: Vec<String>,
    /// Adapters that it holds at most.
    pub adapter_capacity: usize,
    /// Models that it holds at most.
    pub model_capacity: usize,
    /// Events of each stream.
    pub events_per_stream: u64,
    /// The pause between two events, and the work of a plain request.
    pub event_interval: Duration,
}

/// What a server does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackendFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses requests as full.
    Full,
    /// It runs requests and their answers are lost.
    DropsResponses,
    /// It breaks a stream off in the middle of its third event.
    BreaksStreams,
    /// It pauses once before this event of each stream.
    Stalls {
        /// The event, counted from 1.
        before_event: u64,
        /// The pause.
        pause: Duration,
    },
    /// It answers with a failure of its own.
    InternalError,
    /// It answers with the id of another request.
    WrongRequestId,
    /// It leaves orders without an answer and does not carry them out.
    IgnoresOrders,
}

#[derive(Default)]
struct State {
    fault: BackendFault,
    runs: HashMap<String, u32>,
    orders: Vec<ReceivedOrder>,
    accepted: u64,
    models: BTreeMap<String, Vec<String>>,
    overcommit_count: u32,
}

/// An order that came.
#[derive(Debug, Clone)]
pub struct ReceivedOrder {
    /// Who gave it.
    pub holder: String,
    /// Its fencing token.
    pub fencing_token: u64,
    /// When it came.
    pub received_at: Instant,
}

/// A running server.
pub struct BackendStandin {
    config: BackendConfig,
    state: Arc<Mutex<State>>,
    running: Running,
    store: MetadataStandin,
    born: u64,
}

impl BackendStandin {
    /// Listens on an address and registers in the store.
    ///
    /// # Panics
    ///
    /// Panics where the address cannot be listened on.
    pub fn start(address: &str, config: BackendConfig, store: &MetadataStandin, born: u64) -> Self {
        let models = config.models.iter().map(|model| (model.clone(), Vec::new())).collect();
        let state = Arc::new(Mutex::new(State { models, ..State::default() }));
        let (serving, cfg) = (state.clone(), config.clone());
        let running = Running::start(address, move |req| serve(&serving, &cfg, born, req));
        let standin = Self { config, state, running, store: store.clone(), born };
        standin.register("ready");
        standin
    }

    /// Writes the server's entry with this state.
    pub fn register(&self, state: &str) {
        let models = models_of(&self.lock().models);
        let entry = json!({
            "service": self.config.service,
            "address": self.running.address(),
            "zone": self.config.failure_domain,
            "slots": 64,
            "state": state,
            "born": self.born,
            "models": models,
            "sequence": 1,
        });
        self.store.write(&format!("servers/{}", self.config.id), &entry);
    }

    /// Removes the server's entry.
    pub fn deregister(&self) {
        self.store.remove(&format!("servers/{}", self.config.id));
    }

    /// Changes what it does wrong.
    pub fn set_fault(&self, fault: BackendFault) {
        self.lock().fault = fault;
    }

    /// Returns how often the request ran.
    pub fn runs_of(&self, request: &str) -> u32 {
        self.lock().runs.get(request).copied().unwrap_or(0)
    }

    /// Returns how often each request ran.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Returns the orders that came.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.lock().orders.clone()
    }

    /// Returns how often it was told to hold more than fits.
    pub fn overcommit_count(&self) -> u32 {
        self.lock().overcommit_count
    }

    /// Returns its id.
    pub fn id(&self) -> &str {
        &self.config.id
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

fn models_of(models: &BTreeMap<String, Vec<String>>) -> Vec<Value> {
    models
        .iter()
        .map(|(name, adapters)| json!({ "name": name, "version": 1, "adapters": adapters }))
        .collect()
}

fn serve(state: &Mutex<State>, cfg: &BackendConfig, born: u64, mut req: Request) {
    let body = read_body(&mut req);
    match (req.method(), req.url()) {
        (Method::Get, "/savoryport/report") => report(state, born, req),
        (Method::Post, "/savoryport/order") => order(state, cfg, &body, req),
        _ => run(state, cfg, req),
    }
}

fn report(state: &Mutex<State>, born: u64, req: Request) {
    let state = state.lock().expect("no holder panics");
    let answer = json!({
        "born": born,
        "stage": "both",
        "models": models_of(&state.models),
        "busy": false,
        "sequence": state.accepted,
        "pending": [],
    });
    drop(state);
    answer_json(req, 200, &answer);
}

fn order(state: &Mutex<State>, cfg: &BackendConfig, body: &[u8], req: Request) {
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let mut state = state.lock().expect("no holder panics");
    if state.fault == BackendFault::IgnoresOrders {
        drop(state);
        return lose_answer(req);
    }
    state.orders.push(ReceivedOrder {
        holder: order["holder"].as_str().unwrap_or_default().to_owned(),
        fencing_token: order["fencingToken"].as_u64().unwrap_or(0),
        received_at: Instant::now(),
    });
    let status = state.carry_out(cfg, &order);
    drop(state);
    answer_json(req, status, &json!({}));
}

impl State {
    fn carry_out(&mut self, cfg: &BackendConfig, order: &Value) -> u16 {
        if order["precondition"].as_u64().is_some_and(|expected| expected != self.accepted) {
            return 409;
        }
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let adapter = order["adapter"].as_str().map(str::to_owned);
        self.accepted += 1;
        match (order["operation"].as_str(), adapter) {
            (Some("load"), None) => {
                self.models.entry(model).or_default();
            }
            (Some("unload"), None) => {
                self.models.remove(&model);
            }
            (Some("load"), Some(adapter)) => match self.models.get_mut(&model) {
                Some(held) => held.push(adapter),
                None => return 400,
            },
            (Some("unload"), Some(adapter)) => {
                if let Some(held) = self.models.get_mut(&model) {
                    held.retain(|name| *name != adapter);
                }
                return 200;
            }
            _ => return 400,
        }
        let adapters: usize = self.models.values().map(Vec::len).sum();
        if adapters > cfg.adapter_capacity || self.models.len() > cfg.model_capacity {
            self.overcommit_count += 1;
        }
        202
    }

    fn holds(&self, target: &str) -> bool {
        match target.split_once('/') {
            Some((model, adapter)) => {
                self.models.get(model).is_some_and(|held| held.iter().any(|name| name == adapter))
            }
            None => self.models.contains_key(target),
        }
    }
}

fn run(state: &Mutex<State>, cfg: &BackendConfig, req: Request) {
    let id = header(&req, "x-attempt-id").unwrap_or_default();
    let asked = header(&req, "x-model");
    let fault = {
        let mut state = state.lock().expect("no holder panics");
        let other = header(&req, "x-expect-instance").is_some_and(|expected| expected != cfg.id);
        let is_absent = asked.as_deref().is_some_and(|asked| !state.holds(asked));
        let status = match state.fault {
            _ if other || is_absent => Some(421),
            BackendFault::Full => Some(503),
            _ => None,
        };
        if let Some(status) = status {
            drop(state);
            return refuse(req, status);
        }
        *state.runs.entry(id.clone()).or_default() += 1;
        state.fault
    };
    match fault {
        BackendFault::DropsResponses => {
            thread::sleep(cfg.event_interval);
            lose_answer(req);
        }
        BackendFault::InternalError => answer(req, cfg, 500, &id, "failed"),
        BackendFault::WrongRequestId => answer(req, cfg, 200, "somebody-else", "not yours"),
        _ if asked.is_some() => stream(req, cfg, &id, fault),
        _ => {
            thread::sleep(cfg.event_interval);
            answer(req, cfg, 200, &id, &format!("answer to {id}"));
        }
    }
}

fn refuse(req: Request, status: u16) {
    let not_run = Header::from_bytes("X-Not-Executed", "1").expect("plain ASCII");
    let _ = req.respond(Response::from_string("").with_status_code(status).with_header(not_run));
}

fn answer(req: Request, cfg: &BackendConfig, status: u16, id: &str, body: &str) {
    let headers = [("X-Attempt-Id", id), ("X-Server-Stamp", &*format!("stamp.{}", cfg.id))]
        .map(|(name, value)| Header::from_bytes(name, value).expect("plain ASCII"));
    let mut answer = Response::from_string(body).with_status_code(status);
    for header in headers {
        answer = answer.with_header(header);
    }
    let _ = req.respond(answer);
}

fn stream(req: Request, cfg: &BackendConfig, id: &str, fault: BackendFault) {
    /// The event that a server breaks off in.
    const BREAKS_AT: u64 = 3;
    let first = header(&req, "last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
    let mut writer = req.into_writer();
    let mut head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
         X-Server-Stamp: stamp.{}\r\ntransfer-encoding: chunked\r\n\r\n",
        cfg.id
    );
    for event in first..=cfg.events_per_stream {
        let mut piece = format!("id: {event}\ndata: event {event} of {id}\n\n");
        if let BackendFault::Stalls { before_event, pause } = fault
            && before_event == event
        {
            std::thread::sleep(pause);
        }
        let breaks = fault == BackendFault::BreaksStreams && event == BREAKS_AT;
        if breaks {
            piece.truncate(piece.len() / 2);
        }
        let head = std::mem::take(&mut head);
        let chunk = format!("{head}{:x}\r\n{piece}\r\n", piece.len());
        if writer.write_all(chunk.as_bytes()).is_err() || writer.flush().is_err() || breaks {
            return;
        }
        thread::sleep(cfg.event_interval);
    }
    let _ = writer.write_all(b"0\r\n\r\n");
    let _ = writer.flush();
}
