//! A stand-in for the platform's list of VMs, in which changes become visible after a lag.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use savoryport_core::fleet::VmList;
use serde_json::json;
use tiny_http::Method;

use crate::http::{HttpServer, read_body, respond_json};

struct State {
    published: VmList,
    /// Later versions, each with the time from which it is published.
    pending: VecDeque<(Instant, VmList)>,
    lag: Duration,
}

/// A running VM list service: `GET /vms` returns the list, `PUT /vms` replaces it after the lag.
pub struct VmListStandin {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl VmListStandin {
    /// Starts the service with an initial list.
    pub fn start(address: &str, list: VmList, lag: Duration) -> Self {
        let state = Arc::new(Mutex::new(State { published: list, pending: VecDeque::new(), lag }));
        let handler_state = state.clone();
        let server = HttpServer::start(address, move |mut req| {
            if *req.method() == Method::Put {
                return match serde_json::from_slice(&read_body(&mut req)) {
                    Ok(list) => {
                        replace_after_lag(&handler_state, list);
                        respond_json(req, 200, &json!({ "accepted": true }));
                    }
                    Err(err) => respond_json(req, 400, &json!({ "error": err.to_string() })),
                };
            }
            let list = published_list(&handler_state);
            respond_json(req, 200, &list);
        });
        Self { server, state }
    }

    /// Returns the IP address and port that the service listens on.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Applies `edit` to the latest list, including changes that are not published yet, and
    /// publishes the result under the next version number after the lag.
    pub fn change(&self, edit: impl FnOnce(&mut VmList)) {
        let mut list = {
            let state = self.state.lock().expect("no thread panics while holding the lock");
            state.pending.back().map_or(&state.published, |(_, list)| list).clone()
        };
        edit(&mut list);
        list.version += 1;
        replace_after_lag(&self.state, list);
    }
}

fn replace_after_lag(state: &Mutex<State>, list: VmList) {
    let mut state = state.lock().expect("no thread panics while holding the lock");
    let published_at = Instant::now() + state.lag;
    state.pending.push_back((published_at, list));
}

fn published_list(state: &Mutex<State>) -> VmList {
    let mut state = state.lock().expect("no thread panics while holding the lock");
    let now = Instant::now();
    while state.pending.front().is_some_and(|(published_at, _)| *published_at <= now) {
        state.published = state.pending.pop_front().expect("the queue is not empty").1;
    }
    state.published.clone()
}
