//! Queues requests by rank at the entry and routes them to backend servers.
//!
//! Requests wait here and not in the engines, so that they can be ordered by rank until a slot is
//! free; a server has as many slots as its concurrency limit allows requests in progress.
//! `docs/DESIGN.md` describes the alternatives that were considered, `docs/MEASURES.md` the results
//! of measuring them.

mod limit;
mod queue;
mod retry;
mod routing;
mod server;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

pub use self::limit::ConcurrencyLimit;
use self::queue::Queues;
pub use self::retry::RetryBudget;
use self::server::ServerState;
pub use self::server::{RequestEnd, Sample, ServerInfo};
use crate::Name;
use crate::rank::Rank;

/// The shortest delay after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The longest delay after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Identifies a request within one process.
pub type RequestId = u64;

/// The settings of [`Dispatch`]; `docs/OPERATIONS.md` lists their defaults.
#[derive(Debug, Clone)]
pub struct DispatchConfig {
    /// The region of this entry.
    pub region: Name,
    /// The share of the slots that each rank is guaranteed, the most urgent rank first; the shares
    /// add up to 1.
    pub shares: [f64; 3],
    /// The concurrency limit, in requests, of a server without measurements.
    pub initial_limit: f64,
    /// The highest concurrency limit of a server, in requests.
    pub max_limit: f64,
    /// The round-trip time to another region.
    pub region_round_trip: Duration,
    /// The time that an engine takes to process one prompt token that is not cached.
    pub prefill_per_token: Duration,
}

/// A request to be routed to a server.
#[derive(Debug, Clone)]
pub struct Request {
    /// The identifier, unique in this process.
    pub id: RequestId,
    /// The name of the model, adapter or service.
    pub item: Name,
    /// The priority.
    pub rank: Rank,
    /// When the first token is due.
    pub deadline: Instant,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The hash of the beginning of the prompt, used to find servers that have it cached.
    pub prefix_hash: u64,
    /// The servers that have already failed this request.
    pub failed_servers: SmallVec<[Name; 2]>,
    /// The maximum number of requests for the item that this entry has in progress on one server.
    pub max_in_flight: u32,
}

/// The reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No usable server has the item loaded.
    NotResident,
    /// The first token is expected after the deadline.
    WouldBeLate,
    /// The deadline passed, or could no longer be met, while the request waited.
    Expired,
}

impl RefusalCause {
    /// Returns the name used in response bodies and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotResident => "not-resident",
            Self::WouldBeLate => "would-be-late",
            Self::Expired => "expired",
        }
    }
}

/// A decision on a request, to be carried out by the caller of [`Dispatch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a server.
    Start {
        /// The request's identifier.
        id: RequestId,
        /// The name of the server.
        server: Name,
    },
    /// Tell the caller at once that the request was not executed.
    Refuse {
        /// The request's identifier.
        id: RequestId,
        /// The reason.
        cause: RefusalCause,
        /// The delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// The queues of one entry and its view of the servers, from which it makes its decisions.
#[derive(Debug)]
pub struct Dispatch {
    cfg: DispatchConfig,
    servers: Vec<ServerState>,
    server_indices: HashMap<Name, usize>,
    /// The indices of the servers that have each item loaded.
    hosts: HashMap<Name, SmallVec<[usize; 8]>>,
    queues: Queues,
    prefixes: routing::PrefixMap,
}

impl Dispatch {
    /// Creates an instance without servers.
    pub fn new(cfg: DispatchConfig) -> Self {
        Self {
            cfg,
            servers: Vec::new(),
            server_indices: HashMap::new(),
            hosts: HashMap::new(),
            queues: Queues::default(),
            prefixes: routing::PrefixMap::default(),
        }
    }

    /// Replaces the list of servers, keeping the measurements of those already known.
    pub fn set_servers(&mut self, infos: Vec<ServerInfo>) {
        for server in &mut self.servers {
            server.is_listed = false;
        }
        for info in infos {
            match self.server_indices.get(&info.name) {
                Some(&index) => self.servers[index].update(info),
                None => {
                    self.server_indices.insert(info.name.clone(), self.servers.len());
                    self.servers.push(ServerState::new(info, &self.cfg));
                }
            }
        }
        self.hosts.clear();
        for (index, server) in self.servers.iter().enumerate().filter(|(_, s)| s.accepts_requests())
        {
            for item in &server.info.loaded {
                self.hosts.entry(item.clone()).or_default().push(index);
            }
        }
        self.queues.set_hosts(&self.hosts);
    }

    /// Sends no new requests to a server until the given time.
    pub fn suspend(&mut self, server: &str, until: Instant) {
        if let Some(&index) = self.server_indices.get(server) {
            self.servers[index].suspended_until = Some(until);
        }
    }

    /// Records the numbers of waiting and running requests that a server reports of itself.
    pub fn record_load(&mut self, server: &str, waiting: u32, running: u32, now: Instant) {
        if let Some(&index) = self.server_indices.get(server) {
            self.servers[index].record_load(waiting, running, now);
        }
    }

    /// Starts, queues or refuses a new request.
    pub fn submit(&mut self, req: Request, now: Instant) -> Vec<Action> {
        let hosts = self.usable_hosts(&req, now);
        if hosts.is_empty() {
            let cause = RefusalCause::NotResident;
            return vec![Action::Refuse { id: req.id, cause, retry_after: Duration::from_secs(1) }];
        }
        if let Some(index) = self.immediate_server(&req, &hosts, now) {
            return vec![self.start(req, index, now)];
        }
        let wait = self.expected_wait(req.rank, &hosts);
        let slack = req.deadline.saturating_duration_since(now);
        let first_token = wait + self.shortest_first_token(&req, &hosts);
        if first_token > slack {
            let retry_after = (first_token - slack).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            let cause = RefusalCause::WouldBeLate;
            return vec![Action::Refuse { id: req.id, cause, retry_after }];
        }
        self.queues.push(req);
        Vec::new()
    }

    /// Records the end of a request on a server and starts waiting requests in its place.
    pub fn finish(
        &mut self,
        server: &str,
        item: &Name,
        rank: Rank,
        sample: &Sample,
        now: Instant,
    ) -> Vec<Action> {
        let Some(&index) = self.server_indices.get(server) else { return Vec::new() };
        let between_tokens = sample.between_tokens.unwrap_or_default();
        let idle = routing::uncached_idle_first_token(
            &self.cfg,
            &self.servers[index],
            sample.prompt_tokens,
        );
        self.servers[index].finish(item, rank, sample, idle.saturating_add(between_tokens), now);
        self.start_waiting(index, now)
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, id: RequestId) {
        self.queues.remove(id);
    }

    /// Refuses the requests whose deadline has passed and starts waiting requests on every server.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions: Vec<Action> = Vec::new();
        for req in self.queues.remove_expired(now) {
            actions.push(self.refuse_expired(&req, now));
        }
        for index in 0..self.servers.len() {
            actions.extend(self.start_waiting(index, now));
        }
        actions
    }

    /// Returns the number of waiting requests of each rank.
    pub fn queue_lengths(&self) -> [usize; 3] {
        self.queues.lengths()
    }

    /// Returns the number of requests in progress on a server and its concurrency limit.
    pub fn in_flight_and_limit(&self, server: &str) -> Option<(u32, f64)> {
        let server = &self.servers[*self.server_indices.get(server)?];
        Some((server.total_in_flight(), server.limit.value()))
    }

    fn usable_hosts(&self, req: &Request, now: Instant) -> SmallVec<[usize; 8]> {
        let hosts = self.hosts.get(&req.item).map(SmallVec::as_slice).unwrap_or_default();
        let is_usable = |index: &usize| {
            let server = &self.servers[*index];
            server.is_usable(now) && !req.failed_servers.contains(&server.info.name)
        };
        let usable_hosts: SmallVec<[usize; 8]> = hosts.iter().copied().filter(is_usable).collect();
        if usable_hosts.is_empty() && !req.failed_servers.is_empty() {
            // Retrying a server that failed this request is better than refusing the request.
            return hosts
                .iter()
                .copied()
                .filter(|index| self.servers[*index].is_usable(now))
                .collect();
        }
        usable_hosts
    }

    /// Returns the server on which the request may start without overtaking a waiting one.
    fn immediate_server(&self, req: &Request, hosts: &[usize], now: Instant) -> Option<usize> {
        let has_room = |index: &&usize| {
            let server = &self.servers[**index];
            let waiting = self.queues.waiting_for(**index);
            server.is_below_item_limit(req)
                && server.has_room_for(req.rank, waiting, &self.cfg.shares)
        };
        let candidates: SmallVec<[usize; 8]> = hosts.iter().filter(has_room).copied().collect();
        routing::choose_server(&self.cfg, &self.servers, &self.prefixes, req, &candidates, now)
    }

    fn start(&mut self, req: Request, index: usize, now: Instant) -> Action {
        self.prefixes.record(req.prefix_hash, index);
        self.servers[index].start(&req, now);
        Action::Start { id: req.id, server: self.servers[index].info.name.clone() }
    }

    /// Starts requests that wait for a server until it has no free slot for them.
    fn start_waiting(&mut self, index: usize, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut waiting = self.queues.waiting_for(index);
        while self.servers[index].is_usable(now) {
            let Some(rank) = self.servers[index].next_rank(waiting, &self.cfg.shares) else {
                break;
            };
            let server = &self.servers[index];
            let Some(req) = self.queues.pop(rank, index, |req| server.is_below_item_limit(req))
            else {
                // All waiting requests of this rank are held back by the table's `max_in_flight`.
                waiting[rank.index()] = 0;
                continue;
            };
            waiting[rank.index()] -= 1;
            if self.would_miss_deadline(&req, index, now) {
                actions.push(self.refuse_expired(&req, now));
            } else {
                actions.push(self.start(req, index, now));
            }
        }
        actions
    }

    /// Returns whether the first token would miss the deadline even if the request started now;
    /// such a request is not worth a slot.
    fn would_miss_deadline(&self, req: &Request, index: usize, now: Instant) -> bool {
        now + self.shortest_first_token(req, &[index]) > req.deadline
    }

    /// Returns the shortest time to the first token among the servers: for each the larger of its
    /// recent typical time and the time that it would take when idle.
    fn shortest_first_token(&self, req: &Request, hosts: &[usize]) -> Duration {
        let shortest = hosts.iter().map(|index| {
            let server = &self.servers[*index];
            let idle = routing::idle_first_token(&self.cfg, server, &self.prefixes, req, *index);
            idle.max(server.typical_first_token())
        });
        shortest.min().unwrap_or_default()
    }

    fn refuse_expired(&self, req: &Request, now: Instant) -> Action {
        let hosts = self.usable_hosts(req, now);
        let wait = self.expected_wait(req.rank, &hosts);
        let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Action::Refuse { id: req.id, cause: RefusalCause::Expired, retry_after }
    }

    /// Estimates how long a new request of a rank would wait for a slot on one of the servers.
    fn expected_wait(&self, rank: Rank, hosts: &[usize]) -> Duration {
        // The request itself counts as waiting, too.
        let (mut waiting_requests, mut start_rate) = (1.0, 0.0);
        for &index in hosts {
            let server = &self.servers[index];
            let waiting = self.queues.waiting_for(index)[rank.index()];
            waiting_requests += f64::from(waiting) / hosts.len() as f64;
            start_rate += server.start_rate(rank, &self.cfg.shares);
        }
        if start_rate <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        Duration::from_secs_f64((waiting_requests / start_rate).min(MAX_RETRY_AFTER.as_secs_f64()))
    }
}
