//! A stand-in for the weight store, with limited load rate and bandwidth.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::{HttpServer, respond_json};

/// The limits of the store.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum number of loads that start per second; further ones wait.
    pub loads_per_second: f64,
    /// The maximum number of concurrent loads at full speed; with more, a new load takes
    /// proportionally longer.
    pub full_speed_loads: u32,
    /// The duration of one load at full speed.
    pub load_time: Duration,
}

#[derive(Default)]
struct State {
    in_flight: u32,
    max_in_flight: u32,
    loads: u64,
    next_start: Option<Instant>,
}

/// A running weight store.
pub struct WeightStandin {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl WeightStandin {
    /// Starts a store. `GET /weights/NAME` responds when the load is complete.
    pub fn start(address: &str, limits: Limits) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let handler_state = state.clone();
        let server = HttpServer::start(address, move |req| {
            thread::sleep(start_load(
                &mut handler_state.lock().expect("no thread panics while holding the lock"),
                &limits,
            ));
            handler_state.lock().expect("no thread panics while holding the lock").in_flight -= 1;
            respond_json(req, 200, &json!({ "loaded": true }));
        });
        Self { server, state }
    }

    /// Returns the IP address and port that the store listens on.
    pub fn address(&self) -> &str {
        self.server.address()
    }

    /// Returns the number of loads so far and the maximum number of concurrent ones.
    pub fn loads(&self) -> (u64, u32) {
        let state = self.state.lock().expect("no thread panics while holding the lock");
        (state.loads, state.max_in_flight)
    }
}

/// Counts a new load and returns the time until it is complete, including the wait for its start.
fn start_load(state: &mut State, limits: &Limits) -> Duration {
    let now = Instant::now();
    state.loads += 1;
    state.in_flight += 1;
    state.max_in_flight = state.max_in_flight.max(state.in_flight);
    let start = state.next_start.unwrap_or(now).max(now);
    state.next_start = Some(start + Duration::from_secs_f64(1.0 / limits.loads_per_second));
    let slowdown = f64::from(state.in_flight) / f64::from(limits.full_speed_loads.max(1));
    start - now + limits.load_time.mul_f64(slowdown.max(1.0))
}
