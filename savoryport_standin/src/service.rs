//! A stand-in for a plain service, which counts every execution by request id.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use savoryport_platform::wire::REQUEST_ID_HEADER;
use serde_json::json;

use crate::http::{HttpServer, drop_response, header, read_body, reject_draining, respond_json};

/// Faults that are switched on and off while the service runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Each execution takes this long.
    pub delay: Duration,
    /// So many executions end without an answer.
    pub responses_to_drop: u32,
    /// Requests are refused with status 503 before they run.
    pub draining: bool,
}

#[derive(Default)]
struct State {
    executions: HashMap<String, u32>,
    faults: Faults,
}

/// A running service.
pub struct ServiceStandin {
    running: HttpServer,
    state: Arc<Mutex<State>>,
}

impl ServiceStandin {
    /// Starts a service that takes any path.
    pub fn start(address: &str) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let handling = state.clone();
        let running = HttpServer::start(address, move |mut req| {
            let body = read_body(&mut req);
            let id = header(&req, REQUEST_ID_HEADER).unwrap_or_default();
            let (delay, is_lost) = {
                let mut state = handling.lock().expect("no thread panics while holding the lock");
                if state.faults.draining {
                    drop(state);
                    return reject_draining(req);
                }
                *state.executions.entry(id.clone()).or_default() += 1;
                let is_lost = state.faults.responses_to_drop > 0;
                state.faults.responses_to_drop -= u32::from(is_lost);
                (state.faults.delay, is_lost)
            };
            thread::sleep(delay);
            if is_lost {
                return drop_response(req);
            }
            respond_json(req, 200, &json!({ "executed": id, "bytes": body.len() }));
        });
        Self { running, state }
    }

    /// Returns the IP address and port.
    pub fn address(&self) -> &str {
        self.running.address()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().expect("no thread panics while holding the lock").faults);
    }

    /// Returns how often each request id ran.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.state.lock().expect("no thread panics while holding the lock").executions.clone()
    }
}
