//! A stand-in for a plain service, which counts executions by request id.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use savoryport_platform::wire::REQUEST_ID_HEADER;
use serde_json::json;

use crate::http::{HttpServer, drop_response, header, read_body, reject_draining, respond_json};

/// Faults that can be changed while the service runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The duration of each execution.
    pub delay: Duration,
    /// The number of upcoming executions that send no response.
    pub responses_to_drop: u32,
    /// Whether requests are rejected with status 503 before they run.
    pub draining: bool,
}

#[derive(Default)]
struct State {
    executions: HashMap<String, u32>,
    faults: Faults,
}

/// A running service.
pub struct ServiceStandin {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl ServiceStandin {
    /// Starts a service that accepts requests to any path.
    pub fn start(address: &str) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let handler_state = state.clone();
        let server = HttpServer::start(address, move |mut req| {
            let body = read_body(&mut req);
            let id = header(&req, REQUEST_ID_HEADER).unwrap_or_default();
            let (delay, is_dropped) = {
                let mut state =
                    handler_state.lock().expect("no thread panics while holding the lock");
                if state.faults.draining {
                    drop(state);
                    return reject_draining(req);
                }
                *state.executions.entry(id.clone()).or_default() += 1;
                let is_dropped = state.faults.responses_to_drop > 0;
                state.faults.responses_to_drop -= u32::from(is_dropped);
                (state.faults.delay, is_dropped)
            };
            thread::sleep(delay);
            if is_dropped {
                return drop_response(req);
            }
            respond_json(req, 200, &json!({ "executed": id, "bytes": body.len() }));
        });
        Self { server, state }
    }

    /// Returns the IP address and port that the service listens on.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Calls `change` to modify the current faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().expect("no thread panics while holding the lock").faults);
    }

    /// Returns the number of executions by request id.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.state.lock().expect("no thread panics while holding the lock").executions.clone()
    }
}
