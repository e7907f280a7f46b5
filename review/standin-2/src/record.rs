//! What was sent, answered and run.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An order that a server received.
#[derive(Debug, Clone)]
pub struct OrderSeen {
    pub at: f64,
    pub server: String,
    pub holder: String,
}

/// A part of a request's life at a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub server: String,
    /// The value of X-Attempt-Id.
    pub id: String,
    pub step: Step,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The request reached the server.
    Arrived,
    /// The first token was made.
    Began,
    /// The server works on it no more.
    Ended,
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    lines: Vec<(f64, String)>,
    orders: Vec<OrderSeen>,
    runs: Vec<Run>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), shared: Arc::default() }
    }

    /// Returns the seconds since the start of the script.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: String) {
        let at = self.now();
        self.lock().lines.push((at, text));
    }

    pub fn order(&self, server: &str, holder: &str, fence: u64, what: &str, status: u16) {
        let at = self.now();
        let seen = OrderSeen { at, server: server.into(), holder: holder.into() };
        let mut shared = self.lock();
        shared.orders.push(seen);
        let text =
            format!("order server={server} holder={holder} fence={fence} {what} -> {status}");
        shared.lines.push((at, text));
    }

    pub fn run(&self, server: &str, id: &str, step: Step, what: &str) {
        let at = self.now();
        let mut shared = self.lock();
        shared.runs.push(Run { at, server: server.into(), id: id.into(), step });
        let step = format!("{step:?}").to_lowercase();
        shared.lines.push((at, format!("run {step} server={server} id={id} {what}")));
    }

    pub fn orders(&self) -> Vec<OrderSeen> {
        self.lock().orders.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Writes all lines to a file.
    pub fn save(&self, path: &Path) {
        let mut lines = self.lock().lines.clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = std::fs::File::create(path).expect("the record can be written");
        for (at, text) in lines {
            writeln!(file, "{at:8.3} {text}").expect("the record can be written");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().expect("no thread panics with the lock")
    }
}
