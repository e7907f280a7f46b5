//! A stand-in for the weight store: limited in loads a second and in loads at once.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::{HttpServer, respond_json};

/// The limits of the store.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Loads that may begin each second.
    pub loads_per_second: f64,
    /// Loads at once at full speed; beyond it each takes proportionally longer.
    pub full_speed_loads: u32,
    /// How long one load takes at full speed.
    pub load_time: Duration,
}

#[derive(Default)]
struct State {
    in_flight: u32,
    most_in_flight: u32,
    loads: u64,
    next_start: Option<Instant>,
}

/// A running weight store.
pub struct WeightStandin {
    running: HttpServer,
    state: Arc<Mutex<State>>,
}

impl WeightStandin {
    /// Starts a store; `GET /weights/NAME` answers once the load is through.
    pub fn start(address: &str, limits: Limits) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let handling = state.clone();
        let running = HttpServer::start(address, move |req| {
            thread::sleep(begin(
                &mut handling.lock().expect("no thread panics while holding the lock"),
                &limits,
            ));
            handling.lock().expect("no thread panics while holding the lock").in_flight -= 1;
            respond_json(req, 200, &json!({ "loaded": true }));
        });
        Self { running, state }
    }

    /// Returns the IP address and port.
    pub fn address(&self) -> &str {
        self.running.address()
    }

    /// Returns the number of loads so far, and the most at once.
    pub fn loads(&self) -> (u64, u32) {
        let state = self.state.lock().expect("no thread panics while holding the lock");
        (state.loads, state.most_in_flight)
    }
}

/// Notes a load and returns how long it takes.
fn begin(state: &mut State, limits: &Limits) -> Duration {
    let now = Instant::now();
    state.loads += 1;
    state.in_flight += 1;
    state.most_in_flight = state.most_in_flight.max(state.in_flight);
    let start = state.next_start.unwrap_or(now).max(now);
    state.next_start = Some(start + Duration::from_secs_f64(1.0 / limits.loads_per_second));
    let slowdown = f64::from(state.in_flight) / f64::from(limits.full_speed_loads.max(1));
    start - now + limits.load_time.mul_f64(slowdown.max(1.0))
}
