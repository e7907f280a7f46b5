//! Reads callers' bodies, within the memory that the node has for them.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use savoryport_core::node::caller_memory::{
    BodyId, CallerMemory, CallerMemoryLimits, Reservation as Outcome,
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// The interval at which a body that waits for memory asks again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// The least memory that a body without a length reserves at once, in bytes.
const MIN_STEP: usize = 4 * 1024;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// It is longer than allowed.
    TooLong,
    /// It is incomplete.
    Incomplete,
    /// There is no memory for it.
    NoMemory,
    /// It made no progress while others waited for memory.
    GaveWay,
}

/// The memory for callers' bodies, shared by the tasks of a node.
#[derive(Debug, Clone)]
pub struct SharedCallerMemory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when memory is freed.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    memory: CallerMemory,
    /// Cancelled when a body has to give way.
    readers: HashMap<u64, CancellationToken>,
}

/// The memory of one body; dropping it frees the memory.
#[derive(Debug)]
struct Reservation {
    shared: SharedCallerMemory,
    id: BodyId,
    gives_way: CancellationToken,
}

/// The bytes of a body, whose memory is freed with them.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl SharedCallerMemory {
    /// Creates a memory with these bounds.
    pub fn new(limits: CallerMemoryLimits) -> Self {
        let state = State { memory: CallerMemory::new(limits), readers: HashMap::new() };
        Self(Arc::new(Shared { state: Mutex::new(state), freed: Notify::new() }))
    }

    /// Reads a body of at most `max_bytes` to its end. The memory is freed when the last of the
    /// returned bytes are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long or incomplete, or if there is no memory for it.
    pub async fn read(
        &self,
        body: &mut Incoming,
        address: IpAddr,
        max_bytes: usize,
    ) -> Result<Bytes, Unread> {
        let announced = body.size_hint().exact();
        if announced == Some(0) {
            return Ok(Bytes::new());
        }
        if announced.is_some_and(|length| length > max_bytes as u64) {
            return Err(Unread::TooLong);
        }
        let reservation = self.open(address);
        let gives_way = reservation.gives_way.clone();
        let read = reservation.read(body, announced.map(|length| length as usize), max_bytes);
        gives_way.run_until_cancelled(read).await.unwrap_or(Err(Unread::GaveWay))
    }

    /// Returns the number of bytes that are reserved, and of bodies that wait.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.memory.used(), state.memory.waiting())
    }

    fn open(&self, address: IpAddr) -> Reservation {
        let gives_way = CancellationToken::new();
        let mut state = self.lock();
        let id = state.memory.open(address, Instant::now());
        state.readers.insert(id.number(), gives_way.clone());
        drop(state);
        Reservation { shared: self.clone(), id, gives_way }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("no thread panics while holding the lock")
    }
}

impl Reservation {
    async fn read(
        self,
        body: &mut Incoming,
        announced: Option<usize>,
        max_bytes: usize,
    ) -> Result<Bytes, Unread> {
        let mut bytes = Vec::new();
        if let Some(length) = announced {
            self.reserve(length).await?;
            bytes.reserve_exact(length);
        }
        // The chunks of a body are joined, since each may hold a single byte.
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Unread::Incomplete)?.into_data() else { continue };
            let length = bytes.len() + data.len();
            if length > max_bytes {
                return Err(Unread::TooLong);
            }
            self.shared.lock().memory.record_arrival(self.id, data.len(), Instant::now());
            if length > bytes.capacity() {
                // A quarter more at a time keeps the copies few and the unused part small.
                let step = (bytes.len() / 4).max(MIN_STEP).max(data.len());
                let step = step.min(max_bytes - bytes.len());
                let capacity = bytes.len() + step;
                self.reserve(capacity - bytes.capacity()).await?;
                bytes.reserve_exact(step);
            }
            bytes.extend_from_slice(&data);
        }
        self.shared.lock().memory.complete(self.id);
        Ok(Bytes::from_owner(ReservedBytes { bytes, _reservation: self }))
    }

    /// Reserves memory, for which the body may have to wait. Nothing is read meanwhile.
    async fn reserve(&self, bytes: usize) -> Result<(), Unread> {
        loop {
            let freed = self.shared.0.freed.notified();
            let outcome = {
                let mut state = self.shared.lock();
                let outcome = state.memory.reserve(self.id, bytes, Instant::now());
                if let Outcome::Waits(giving_way) = &outcome {
                    for id in giving_way {
                        if let Some(reader) = state.readers.get(&id.number()) {
                            reader.cancel();
                        }
                    }
                }
                outcome
            };
            match outcome {
                Outcome::Granted => return Ok(()),
                Outcome::Refused => return Err(Unread::NoMemory),
                Outcome::Waits(_) => _ = tokio::time::timeout(ASK_INTERVAL, freed).await,
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.memory.close(self.id);
        state.readers.remove(&self.id.number());
        drop(state);
        self.shared.0.freed.notify_waiters();
    }
}
