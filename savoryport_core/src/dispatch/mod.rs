//! Queues requests by rank at the entry and routes them to servers.
//!
//! Requests wait here, not in the engines, so that rank decides until the last moment. The ways
//! that were weighed are in `docs/DESIGN.md`, their figures in `docs/MEASURES.md`.

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
use self::server::ServerView;
pub use self::server::{RequestEnd, Sample, ServerInfo};
use crate::Name;
use crate::rank::Rank;

/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Tells requests of one process apart.
pub type RequestId = u64;

/// Settings of the decisions; the defaults stand in `docs/OPERATIONS.md`.
#[derive(Debug, Clone)]
pub struct DispatchConfig {
    /// The region of this entry.
    pub region: Name,
    /// The guaranteed share of each rank, the most urgent first; they add up to 1.
    pub shares: [f64; 3],
    /// The limit of a server before anything is known of it.
    pub initial_limit: f64,
    /// The highest limit of a server.
    pub max_limit: f64,
    /// The round trip to another region.
    pub region_round_trip: Duration,
    /// The time that the engine takes for one prompt token that is not cached.
    pub prefill_per_token: Duration,
}

/// One request that wants a server.
#[derive(Debug, Clone)]
pub struct Request {
    /// Unique in this process.
    pub id: RequestId,
    /// The model or adapter.
    pub item: Name,
    /// How urgent it is.
    pub rank: Rank,
    /// When the first token is due.
    pub deadline: Instant,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// A hash of the beginning of the prompt, by which cached prefixes are found.
    pub prefix_hash: u64,
    /// Servers that have failed it already.
    pub failed_servers: SmallVec<[Name; 2]>,
    /// The most requests of the model or adapter that this entry has under way on one server.
    pub max_in_flight: u32,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No server has the model or adapter in memory.
    NotResident,
    /// The first token would come after its deadline.
    WouldBeLate,
    /// The deadline passed while the request waited.
    Expired,
}

impl RefusalCause {
    /// Returns the word used in bodies and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotResident => "not-resident",
            Self::WouldBeLate => "would-be-late",
            Self::Expired => "expired",
        }
    }
}

/// What is to be done with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send it to a server.
    Start {
        /// The request.
        id: RequestId,
        /// The server's name.
        server: Name,
    },
    /// Tell the caller at once that it did not run.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        cause: RefusalCause,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// The state of one entry's decisions.
#[derive(Debug)]
pub struct Dispatch {
    cfg: DispatchConfig,
    servers: Vec<ServerView>,
    by_name: HashMap<Name, usize>,
    hosts: HashMap<Name, SmallVec<[usize; 8]>>,
    queues: Queues,
    prefixes: routing::PrefixMap,
}

impl Dispatch {
    /// Starts without servers.
    pub fn new(cfg: DispatchConfig) -> Self {
        Self {
            cfg,
            servers: Vec::new(),
            by_name: HashMap::new(),
            hosts: HashMap::new(),
            queues: Queues::default(),
            prefixes: routing::PrefixMap::default(),
        }
    }

    /// Replaces the list of servers; what is known of those that stay is kept.
    pub fn set_servers(&mut self, infos: Vec<ServerInfo>) {
        for server in &mut self.servers {
            server.is_listed = false;
        }
        for info in infos {
            match self.by_name.get(&info.name) {
                Some(&at) => self.servers[at].update(info),
                None => {
                    self.by_name.insert(info.name.clone(), self.servers.len());
                    self.servers.push(ServerView::new(info, &self.cfg));
                }
            }
        }
        self.hosts.clear();
        for (at, server) in self.servers.iter().enumerate().filter(|(_, s)| s.takes_work()) {
            for item in &server.info.loaded {
                self.hosts.entry(item.clone()).or_default().push(at);
            }
        }
        self.queues.set_hosts(&self.hosts);
    }

    /// Notes that a server takes no new work, or none for a while.
    pub fn suspend(&mut self, server: &str, until: Instant) {
        if let Some(&at) = self.by_name.get(server) {
            self.servers[at].suspended_until = Some(until);
        }
    }

    /// Takes the server's own report of its load.
    pub fn record_load(&mut self, server: &str, waiting: u32, running: u32, now: Instant) {
        if let Some(&at) = self.by_name.get(server) {
            self.servers[at].report(waiting, running, now);
        }
    }

    /// Takes a new request and starts whatever may start now.
    pub fn submit(&mut self, req: Request, now: Instant) -> Vec<Action> {
        let hosts = self.usable_hosts(&req, now);
        if hosts.is_empty() {
            let cause = RefusalCause::NotResident;
            return vec![Action::Refuse { id: req.id, cause, retry_after: Duration::from_secs(1) }];
        }
        if let Some(at) = self.immediate_server(&req, &hosts, now) {
            return vec![self.start(req, at, now)];
        }
        let wait = self.expected_wait(req.rank, &hosts);
        let slack = req.deadline.saturating_duration_since(now);
        let wait = wait + self.shortest_first_token(&req, &hosts);
        if wait > slack {
            let retry_after = (wait - slack).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            let cause = RefusalCause::WouldBeLate;
            return vec![Action::Refuse { id: req.id, cause, retry_after }];
        }
        self.queues.push(req);
        Vec::new()
    }

    /// Takes the end of a request on a server and starts what may start now.
    pub fn finish(
        &mut self,
        server: &str,
        item: &Name,
        rank: Rank,
        sample: &Sample,
        now: Instant,
    ) -> Vec<Action> {
        let Some(&at) = self.by_name.get(server) else { return Vec::new() };
        let token = sample.between_tokens.unwrap_or_default();
        let idle = routing::idle_first_token(&self.cfg, &self.servers[at], sample.prompt_tokens);
        self.servers[at].finish(item, rank, sample, idle.saturating_add(token), now);
        self.pump(at, now)
    }

    /// Removes a request that waits, for a caller that has left.
    pub fn cancel(&mut self, id: RequestId) {
        self.queues.remove(id);
    }

    /// Refuses what has waited past its deadline and starts what may start now.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions: Vec<Action> = Vec::new();
        for req in self.queues.take_expired(now) {
            actions.push(self.refuse_expired(&req, now));
        }
        for at in 0..self.servers.len() {
            actions.extend(self.pump(at, now));
        }
        actions
    }

    /// Returns the number of requests that wait, by rank.
    pub fn queue_lengths(&self) -> [usize; 3] {
        self.queues.waiting()
    }

    /// Returns the number of requests under way on a server and its present limit.
    pub fn in_flight_and_limit(&self, server: &str) -> Option<(u32, f64)> {
        let server = &self.servers[*self.by_name.get(server)?];
        Some((server.total(), server.limit.value()))
    }

    fn usable_hosts(&self, req: &Request, now: Instant) -> SmallVec<[usize; 8]> {
        let hosts = self.hosts.get(&req.item).map(SmallVec::as_slice).unwrap_or_default();
        let usable = |at: &usize| {
            let server = &self.servers[*at];
            server.is_usable(now) && !req.failed_servers.contains(&server.info.name)
        };
        let found: SmallVec<[usize; 8]> = hosts.iter().copied().filter(usable).collect();
        if found.is_empty() && !req.failed_servers.is_empty() {
            // A server that failed it once is better than none.
            return hosts.iter().copied().filter(|at| self.servers[*at].is_usable(now)).collect();
        }
        found
    }

    /// Returns the server where the request may start without overtaking anybody.
    fn immediate_server(&self, req: &Request, hosts: &[usize], now: Instant) -> Option<usize> {
        let has_room = |at: &&usize| {
            let server = &self.servers[**at];
            let claims = self.queues.claims(**at);
            server.may_take(req) && server.has_room_for(req.rank, claims, &self.cfg.shares)
        };
        let open: SmallVec<[usize; 8]> = hosts.iter().filter(has_room).copied().collect();
        routing::choose(&self.cfg, &self.servers, &self.prefixes, req, &open, now)
    }

    fn start(&mut self, req: Request, at: usize, now: Instant) -> Action {
        self.prefixes.note(req.prefix_hash, at);
        self.servers[at].start(&req, now);
        Action::Start { id: req.id, server: self.servers[at].info.name.clone() }
    }

    /// Starts what waits for a server as long as it has room.
    fn pump(&mut self, at: usize, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut claims = self.queues.claims(at);
        while self.servers[at].is_usable(now) {
            let Some(rank) = self.servers[at].next_rank(claims, &self.cfg.shares) else { break };
            let server = &self.servers[at];
            let Some(req) = self.queues.pop(rank, at, |req| server.may_take(req)) else {
                // What waits in this rank is held back by the table's own limits.
                claims[rank.index()] = 0;
                continue;
            };
            claims[rank.index()] -= 1;
            if self.is_hopeless(&req, at, now) {
                actions.push(self.refuse_expired(&req, now));
            } else {
                actions.push(self.start(req, at, now));
            }
        }
        actions
    }

    /// A first token that comes too late even if the engine starts now is not worth a slot.
    fn is_hopeless(&self, req: &Request, at: usize, now: Instant) -> bool {
        now + self.shortest_first_token(req, &[at]) > req.deadline
    }

    /// Returns what the first token takes on the best of the servers: what they usually take, and
    /// no less than an idle one would.
    fn shortest_first_token(&self, req: &Request, hosts: &[usize]) -> Duration {
        let shortest = hosts.iter().map(|at| {
            let server = &self.servers[*at];
            let idle = routing::unhindered(&self.cfg, server, &self.prefixes, req, *at);
            idle.max(server.usual_first_token())
        });
        shortest.min().unwrap_or_default()
    }

    fn refuse_expired(&self, req: &Request, now: Instant) -> Action {
        let hosts = self.usable_hosts(req, now);
        let wait = self.expected_wait(req.rank, &hosts);
        let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Action::Refuse { id: req.id, cause: RefusalCause::Expired, retry_after }
    }

    /// Estimates how long a new request of a rank would wait for one of the servers.
    fn expected_wait(&self, rank: Rank, hosts: &[usize]) -> Duration {
        // The request itself waits, too.
        let (mut ahead, mut drained) = (1.0, 0.0);
        for &at in hosts {
            let server = &self.servers[at];
            let waiting = self.queues.claims(at)[rank.index()];
            ahead += f64::from(waiting) / hosts.len() as f64;
            drained += server.drain_rate(rank, &self.cfg.shares);
        }
        if drained <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        Duration::from_secs_f64((ahead / drained).min(MAX_RETRY_AFTER.as_secs_f64()))
    }
}
