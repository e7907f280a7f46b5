//! Counts what is open for callers, so that a stopping node can name what delays it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What is open for callers.
#[derive(Debug, Default)]
pub struct OpenWork {
    /// Connections of callers.
    pub connections: Arc<AtomicUsize>,
    /// Requests that are received, or whose response has not been handed over for writing.
    pub requests: Arc<AtomicUsize>,
    /// Streams from servers that are being forwarded.
    pub streams: Arc<AtomicUsize>,
}

/// One counted piece of work; dropping it ends the count.
#[derive(Debug)]
pub struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    /// Counts one more.
    pub fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl OpenWork {
    /// Logs what delays the stop. `step` names what the node does next.
    pub fn log_delay(&self, step: &str, late_ms: u64) {
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        log::warn!(
            connections = count(&self.connections), requests = count(&self.requests),
            streams = count(&self.streams), step = step, late_ms = late_ms;
            "stop waits for callers"
        );
    }
}
