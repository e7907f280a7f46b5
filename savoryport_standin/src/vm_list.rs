//! A stand-in for the platform's list of VMs, which lags.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use savoryport_core::fleet::VmList;
use serde_json::json;
use tiny_http::Method;

use crate::http::{HttpServer, read_body, respond_json};

struct State {
    shown: VmList,
    coming: VecDeque<(Instant, VmList)>,
    lag: Duration,
}

/// A running list: `GET /vms` shows it, `PUT /vms` replaces it after the lag.
pub struct VmListStandin {
    running: HttpServer,
    state: Arc<Mutex<State>>,
}

impl VmListStandin {
    /// Starts with a list.
    pub fn start(address: &str, list: VmList, lag: Duration) -> Self {
        let state = Arc::new(Mutex::new(State { shown: list, coming: VecDeque::new(), lag }));
        let handling = state.clone();
        let running = HttpServer::start(address, move |mut req| {
            if *req.method() == Method::Put {
                return match serde_json::from_slice(&read_body(&mut req)) {
                    Ok(list) => {
                        replace(&handling, list);
                        respond_json(req, 200, &json!({ "accepted": true }));
                    }
                    Err(err) => respond_json(req, 400, &json!({ "error": err.to_string() })),
                };
            }
            let list = show(&handling);
            respond_json(req, 200, &list);
        });
        Self { running, state }
    }

    /// Returns the IP address and port.
    pub fn address(&self) -> &str {
        self.running.address()
    }

    /// Changes the list; the change shows after the lag.
    pub fn change(&self, edit: impl FnOnce(&mut VmList)) {
        let mut list = {
            let state = self.state.lock().expect("no thread panics while holding the lock");
            state.coming.back().map_or(&state.shown, |(_, list)| list).clone()
        };
        edit(&mut list);
        list.version += 1;
        replace(&self.state, list);
    }
}

fn replace(state: &Mutex<State>, list: VmList) {
    let mut state = state.lock().expect("no thread panics while holding the lock");
    let shows_at = Instant::now() + state.lag;
    state.coming.push_back((shows_at, list));
}

fn show(state: &Mutex<State>) -> VmList {
    let mut state = state.lock().expect("no thread panics while holding the lock");
    let now = Instant::now();
    while state.coming.front().is_some_and(|(shows_at, _)| *shows_at <= now) {
        state.shown = state.coming.pop_front().expect("just seen").1;
    }
    state.shown.clone()
}
