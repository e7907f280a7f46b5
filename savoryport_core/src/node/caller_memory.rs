//! Divides the memory for the bodies of callers' requests.
//!
//! Load pattern: a crowd of clients sends bodies of legal size at once, most of which stop short of
//! their end and stay open, beside ordinary callers with small bodies and a few with large ones. When
//! the memory is used up, a growing body first waits. While bodies wait, the largest unfinished ones
//! that make no progress give way. A body that has waited for too long is refused.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// The interval between two searches for bodies that make no progress.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// The bounds of a memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerMemoryLimits {
    /// The memory for all bodies, in bytes.
    pub limit: usize,
    /// The part of it that only small bodies may use.
    pub small_reserve: usize,
    /// The size up to which a body is small.
    pub small_body: usize,
    /// The share of the memory that the bodies of one address may use when it is short.
    pub address_share: f64,
    /// The number of bodies that may wait at once. Small ones always may.
    pub max_waiting: usize,
    /// How long a body waits for memory.
    pub max_wait: Duration,
    /// The time in which a body has to make progress while others wait.
    pub stall: Duration,
    /// The number of bytes that are progress.
    pub stall_bytes: usize,
}

/// Identifies a body that is being read, or whose request is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(u64);

impl BodyId {
    /// Returns the number, which is unique in the process.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// What becomes of a body that needs more memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reservation {
    /// The memory is reserved.
    Granted,
    /// The body waits. These bodies give way, and free their memory once they are closed.
    Waits(Vec<BodyId>),
    /// There is no memory for it.
    Refused,
}

#[derive(Debug)]
struct Body {
    address: IpAddr,
    reserved: usize,
    is_complete: bool,
    gives_way: bool,
    waiting_since: Option<Instant>,
    /// When it last made progress, and the bytes that arrived since.
    progress_at: Instant,
    arrived_since: usize,
}

/// The memory that callers' bodies take up.
#[derive(Debug)]
pub struct CallerMemory {
    limits: CallerMemoryLimits,
    used: usize,
    used_by_address: BTreeMap<IpAddr, usize>,
    waiting: usize,
    bodies: BTreeMap<BodyId, Body>,
    next_id: u64,
    next_search: Option<Instant>,
}

impl CallerMemory {
    /// Creates the state of a memory.
    pub fn new(limits: CallerMemoryLimits) -> Self {
        Self {
            limits,
            used: 0,
            used_by_address: BTreeMap::new(),
            waiting: 0,
            bodies: BTreeMap::new(),
            next_id: 0,
            next_search: None,
        }
    }

    /// Adds a body of a request from an address; nothing is reserved for it yet.
    pub fn open(&mut self, address: IpAddr, now: Instant) -> BodyId {
        self.next_id += 1;
        let body = Body {
            address,
            reserved: 0,
            is_complete: false,
            gives_way: false,
            waiting_since: None,
            progress_at: now,
            arrived_since: 0,
        };
        self.bodies.insert(BodyId(self.next_id), body);
        BodyId(self.next_id)
    }

    /// Decides whether so many bytes more are reserved for a body. One that waits asks again when
    /// memory was freed, and at least every 100 ms.
    pub fn reserve(&mut self, id: BodyId, bytes: usize, now: Instant) -> Reservation {
        let Some(body) = self.bodies.get(&id) else { return Reservation::Refused };
        let (address, size, waiting_since) =
            (body.address, body.reserved + bytes, body.waiting_since);
        if body.gives_way {
            return Reservation::Refused;
        }
        if self.fits(address, size, bytes) {
            self.used += bytes;
            *self.used_by_address.entry(address).or_default() += bytes;
            self.end_wait(id, now);
            if let Some(body) = self.bodies.get_mut(&id) {
                body.reserved = size;
            }
            return Reservation::Granted;
        }
        match waiting_since {
            Some(since) if now.saturating_duration_since(since) >= self.limits.max_wait => {
                self.end_wait(id, now);
                return Reservation::Refused;
            }
            Some(_) => {}
            None if size > self.limits.small_body && self.waiting >= self.limits.max_waiting => {
                return Reservation::Refused;
            }
            None => {
                self.waiting += 1;
                if let Some(body) = self.bodies.get_mut(&id) {
                    body.waiting_since = Some(now);
                }
            }
        }
        Reservation::Waits(self.make_room(bytes, now))
    }

    /// Records bytes of a body that arrived.
    pub fn record_arrival(&mut self, id: BodyId, bytes: usize, now: Instant) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.arrived_since += bytes;
            if body.arrived_since >= self.limits.stall_bytes {
                (body.arrived_since, body.progress_at) = (0, now);
            }
        }
    }

    /// Records that a body was read to its end; it does not give way any more.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    /// Frees the memory of a body.
    pub fn close(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else { return };
        self.used -= body.reserved;
        self.waiting -= usize::from(body.waiting_since.is_some());
        if let Some(used) = self.used_by_address.get_mut(&body.address) {
            *used -= body.reserved;
            if *used == 0 {
                self.used_by_address.remove(&body.address);
            }
        }
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of bodies that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    fn fits(&self, address: IpAddr, size: usize, bytes: usize) -> bool {
        let limits = &self.limits;
        // The only body is served whatever its size, since the node has nothing else to do.
        if self.used + bytes == size {
            return true;
        }
        let reserve = if size <= limits.small_body { 0 } else { limits.small_reserve };
        if self.used + bytes + reserve > limits.limit {
            return false;
        }
        let share = (limits.limit as f64 * limits.address_share) as usize;
        let used_by_address = self.used_by_address.get(&address).copied().unwrap_or(0);
        let is_short = self.used + bytes > share;
        // Small bodies have a reserve of their own, and many callers may share an address.
        size <= limits.small_body || !is_short || used_by_address + bytes <= share
    }

    fn end_wait(&mut self, id: BodyId, now: Instant) {
        if let Some(body) = self.bodies.get_mut(&id)
            && body.waiting_since.take().is_some()
        {
            self.waiting -= 1;
            // Nothing of it was read while it waited.
            (body.arrived_since, body.progress_at) = (0, now);
        }
    }

    /// Returns the bodies that give way, the largest first, to free so many bytes.
    fn make_room(&mut self, bytes: usize, now: Instant) -> Vec<BodyId> {
        if self.next_search.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_search = Some(now + SEARCH_INTERVAL);
        let mut freed: usize =
            self.bodies.values().filter(|body| body.gives_way).map(|body| body.reserved).sum();
        let mut stalled: Vec<(usize, BodyId)> = self
            .bodies
            .iter()
            .filter(|(_, body)| {
                !body.is_complete
                    && !body.gives_way
                    && body.waiting_since.is_none()
                    && body.reserved > 0
                    && now.saturating_duration_since(body.progress_at) >= self.limits.stall
            })
            .map(|(id, body)| (body.reserved, *id))
            .collect();
        stalled.sort_unstable_by(|one, other| other.cmp(one));
        // One search serves all that wait.
        let wanted = bytes.saturating_mul(self.waiting.max(1));
        let mut giving_way = Vec::new();
        for (reserved, id) in stalled {
            if freed >= wanted {
                break;
            }
            freed += reserved;
            giving_way.push(id);
            if let Some(body) = self.bodies.get_mut(&id) {
                body.gives_way = true;
            }
        }
        giving_way
    }
}
