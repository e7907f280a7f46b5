//! Reads servers' responses to their end, within the memory that the node has for them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use savoryport_core::node::response_memory::{Growth, ResponseId, ResponseMemory};
use tokio_util::sync::CancellationToken;

use super::response::Body;

/// The maximum size of a response body that is buffered in memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// The least memory that is reserved at once, in bytes.
const MIN_STEP: usize = 4 * 1024;

/// The memory for servers' responses, shared by the tasks of a node.
#[derive(Debug, Clone)]
pub struct SharedResponseMemory(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    memory: ResponseMemory,
    /// Cancelled when the response is abandoned.
    readers: HashMap<u64, CancellationToken>,
}

/// The memory of one response; dropping it frees the memory.
#[derive(Debug)]
struct Reservation {
    shared: SharedResponseMemory,
    id: ResponseId,
    abandoned: CancellationToken,
}

/// The complete body of a server's response.
#[derive(Debug)]
pub struct CompleteBody {
    bytes: Bytes,
    reservation: Reservation,
}

impl SharedResponseMemory {
    /// Creates a memory of so many bytes.
    pub fn new(limit: usize) -> Self {
        let state = State { memory: ResponseMemory::new(limit), readers: HashMap::new() };
        Self(Arc::new(Mutex::new(state)))
    }

    /// Reads a body to its end; returns `None` if it is incomplete or too large, takes longer than
    /// `timeout`, or has to make room for smaller ones.
    pub async fn read(&self, body: Incoming, timeout: Duration) -> Option<CompleteBody> {
        let reservation = self.reserve();
        let abandoned = reservation.abandoned.clone();
        let read = tokio::time::timeout(timeout, reservation.read(body));
        abandoned.run_until_cancelled(read).await?.ok()?
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.lock().memory.used()
    }

    fn reserve(&self) -> Reservation {
        let abandoned = CancellationToken::new();
        let mut state = self.lock();
        let id = state.memory.open();
        state.readers.insert(id.number(), abandoned.clone());
        drop(state);
        Reservation { shared: self.clone(), id, abandoned }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no thread panics while holding the lock")
    }
}

impl Reservation {
    async fn read(self, body: Incoming) -> Option<CompleteBody> {
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut collected = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            if collected.capacity() - collected.len() < data.len() {
                // A vector that doubles would take up twice the memory that is reserved.
                let step = (collected.len() / 4).max(MIN_STEP).max(data.len());
                if !self.grow(collected.len() + step - collected.capacity()) {
                    return None;
                }
                collected.reserve_exact(step);
            }
            collected.extend_from_slice(&data);
        }
        self.shared.lock().memory.complete(self.id);
        Some(CompleteBody { bytes: collected.into(), reservation: self })
    }

    /// Reserves memory; returns whether the response may take it up.
    fn grow(&self, bytes: usize) -> bool {
        let mut state = self.shared.lock();
        let Growth::Granted(abandoned) = state.memory.grow(self.id, bytes) else { return false };
        for id in abandoned {
            if let Some(reader) = state.readers.get(&id.number()) {
                reader.cancel();
            }
        }
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.memory.close(self.id);
        state.readers.remove(&self.id.number());
    }
}

impl CompleteBody {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns a body for the caller, which keeps the memory reserved until it is written.
    pub fn into_body(self) -> Body {
        let Self { bytes, reservation } = self;
        let body = Full::new(bytes).map_err(|never: std::convert::Infallible| match never {});
        body.map_frame(move |frame| {
            let _ = &reservation;
            frame
        })
        .boxed()
    }
}
