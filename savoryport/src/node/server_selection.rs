//! Selects the server for a request.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::admission::{
    AdmissionDecision, AdmissionInput, RefusedRequest, decide_admission, retry_after, spare_wait,
};
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::registry::BackendServer;
use savoryport_core::node::request::Generation;
use savoryport_core::node::selection::{Candidate, SelectionRequest, choose_server};
use savoryport_core::node::server_limit::{PermitUse, longest_wait};

use super::proxy::ProxyRequest;
use super::response::{Refusal, RefusalCause};
use super::team_quota::QuotaCharge;
use super::view::FleetView;

/// The pause between two searches for a server with room for an adapter.
const ADAPTER_ROOM_POLL: Duration = Duration::from_millis(60);

/// The share of a request's total time for which it may wait for room for its adapter.
const ADAPTER_ROOM_SHARE: f64 = 0.2;

/// The number of slots that a server is assumed to have while no server holds the model.
const DEFAULT_SLOTS: u32 = 32;

/// The time after which a caller may retry if servers or the leaders of their failure domains are
/// missing.
const RETRY_AFTER: Duration = Duration::from_millis(600);

/// The number of permits for servers with a limit that a request is denied before it is refused.
const MAX_DENIED_PERMITS: u32 = 2;

/// The server that a request is sent to.
pub struct SelectedServer {
    /// The selected server.
    pub server: Arc<BackendServer>,
    /// The request's priority at the engine, 0 first; `None` if the server is not an engine.
    pub priority: Option<u8>,
    /// The prefill time that the request needs on this server, in milliseconds.
    pub prefill_ms: f32,
    /// The time that the cached prefix is expected to save on this server, in milliseconds.
    pub saving_ms: f32,
    /// The tokens of KV cache memory that the request holds besides the cached prefix.
    pub memory_tokens: u32,
    /// The server from which the cached prefix of the prompt is copied first.
    pub copy_from: Option<SocketAddr>,
    /// The expected time to the first token, or to the response of a server that is not an engine.
    pub expected_latency: Duration,
    /// The permit that the request needs first, if the server names a limit.
    pub permit: Option<PermitUse>,
}

/// A server that could take the request, with its entry in the view.
type KnownCandidate<'a> = (Candidate<'a>, &'a Arc<BackendServer>);

/// A server of the service as a candidate, or with the reason why it is none.
pub(super) type AssessedServer<'a> = (&'a Arc<BackendServer>, Result<Candidate<'a>, &'static str>);

/// The result of one attempt to select a server.
pub(super) enum Selection {
    Selected(SelectedServer, /* needs the adapter loaded */ bool),
    NoModel,
    NoServer,
    Limited { retry_after: Duration },
    Overload { expected_latency: Duration, room_in: Duration },
}

impl ProxyRequest {
    /// Adds the server time that this request needs to the demand for its model.
    pub(super) fn record_demand(&self) {
        let Some(generation) = &self.head.generation else { return };
        let view = self.cx.fleet.view();
        let candidates = self.candidates(&view);
        let mut routing = self.cx.routing.lock();
        let request = self.selection_request();
        let prefill = choose_server(
            candidates.iter().map(|(candidate, _)| *candidate),
            &request,
            &routing.selection_context(self.arrived_at),
        )
        .map_or_else(
            || routing.speeds.prefill_ms(&generation.model, generation.prompt_tokens),
            |choice| f64::from(choice.prefill_ms),
        );
        let slots = candidates.iter().map(|(candidate, _)| candidate.server.slots).max();
        let slots = slots.unwrap_or(DEFAULT_SLOTS);
        let decode =
            routing.speeds.decode_work_ms(&generation.model, generation.output_tokens, slots);
        let work = prefill + decode;
        *routing.work_ms.entry(generation.model.clone()).or_default() += work;
    }

    /// Selects a server; waits for an adapter or a model if it can be loaded in time.
    pub(super) async fn select_server(&mut self) -> Result<SelectedServer, Refusal> {
        let selected = self.await_server().await?;
        if self.attempts() == 0 && !self.ends_before_stop(&selected) {
            return Err(Refusal::stopping(self.cx.random_unit()));
        }
        // The news may have come while the request waited.
        if let Some(cause) = self.quarantine_cause() {
            return Err(Refusal::new(cause));
        }
        Ok(selected)
    }

    /// Returns whether the server is expected to answer completely before the node stops, if it does.
    fn ends_before_stop(&self, selected: &SelectedServer) -> bool {
        let Some(plan) = self.cx.stop_plan.get() else { return true };
        let stream = self.head.generation.as_ref().map_or(Duration::ZERO, |generation| {
            let routing = self.cx.routing.lock();
            routing.speeds.stream_time(&generation.model, generation.output_tokens)
        });
        plan.allows(self.cx.now(), selected.expected_latency + stream)
    }

    async fn await_server(&mut self) -> Result<SelectedServer, Refusal> {
        if !self.reserve_attempt() {
            return Err(Refusal::with_retry_after(
                RefusalCause::NotRun,
                RETRY_AFTER.mul_f64(1.0 + self.cx.random_unit()),
            ));
        }
        if let Some(wait) = self.time_until_turn() {
            return Err(Refusal::with_retry_after(RefusalCause::Overload, wait));
        }
        let mut waited_for_model = false;
        let mut servers_without_room: Vec<Name> = Vec::new();
        let mut denied_permits = 0;
        loop {
            match self.try_select(&servers_without_room, denied_permits < MAX_DENIED_PERMITS) {
                Selection::Selected(selected, _) if !self.acquire_permit(&selected).await => {
                    denied_permits += 1;
                }
                Selection::Selected(selected, false) => return Ok(self.admitted(selected)),
                Selection::Selected(selected, true) => {
                    if self.load_adapter(&selected.server).await {
                        return Ok(self.admitted(selected));
                    }
                    servers_without_room.push(selected.server.id.clone());
                }
                Selection::NoServer if self.may_wait_for_room() => {
                    tokio::time::sleep(ADAPTER_ROOM_POLL).await;
                    servers_without_room.clear();
                }
                Selection::NoModel | Selection::NoServer if self.is_bound_among_versions() => {
                    return Err(self.retry_later(RefusalCause::NoVersion));
                }
                Selection::NoModel if !waited_for_model => {
                    self.await_model().await?;
                    self.queued_since = self.cx.now();
                    waited_for_model = true;
                }
                Selection::NoModel => return Err(self.retry_later(RefusalCause::NoModel)),
                Selection::NoServer if self.names_adapter() => {
                    return Err(self.retry_later(RefusalCause::NoAdapter));
                }
                Selection::NoServer => return Err(self.retry_later(RefusalCause::NoServer)),
                Selection::Limited { retry_after } => {
                    return Err(Refusal::with_retry_after(RefusalCause::Limited, retry_after));
                }
                Selection::Overload { expected_latency, room_in } => {
                    self.expected_latency = expected_latency;
                    let retry_after = self.book_return(room_in);
                    return Err(Refusal::with_retry_after(RefusalCause::Overload, retry_after));
                }
            }
        }
    }

    /// Returns what the request competes for: its model, or the servers of its service.
    fn kind(&self) -> &Name {
        self.head.generation.as_ref().map_or(&self.service, |generation| &generation.model)
    }

    /// Returns a number that the attempts of this request have in common.
    fn number(&self) -> u64 {
        self.identity.content ^ self.identity.caller.rotate_left(1)
    }

    /// Notes that the request is sent for the first time.
    fn admitted(&self, selected: SelectedServer) -> SelectedServer {
        if self.schedules_returns() {
            let (rank, now) = (self.route.rank, self.cx.now());
            let mut routing = self.cx.routing.lock();
            routing.returns.record_admission(self.kind(), rank, self.number(), now);
        }
        selected
    }

    /// Returns whether the request is subject to the schedule of returns: a repeat or the rest of a
    /// stream is not refused for the turn of others.
    fn schedules_returns(&self) -> bool {
        self.cx.settings.schedule_returns && self.attempts() == 0
    }

    fn time_until_turn(&self) -> Option<Duration> {
        if !self.schedules_returns() {
            return None;
        }
        let (rank, now) = (self.route.rank, self.cx.now());
        self.cx.routing.lock().returns.time_until_turn(self.kind(), rank, self.number(), now)
    }

    /// Returns when the caller of a refused request may return; `room_in` is the time until room is
    /// expected.
    fn book_return(&self, room_in: Duration) -> Duration {
        let random = self.cx.random_unit();
        if !self.cx.settings.schedule_returns {
            return retry_after(room_in, random);
        }
        let (rank, now) = (self.route.rank, self.cx.now());
        let mut routing = self.cx.routing.lock();
        let (request, time_left) = (self.number(), self.remaining_time());
        let refused = RefusedRequest { request, room_in, time_left };
        routing.returns.book(self.kind(), rank, &refused, random, now)
    }

    pub(super) fn names_adapter(&self) -> bool {
        self.head.generation.as_ref().is_some_and(|generation| generation.adapter.is_some())
    }

    /// Returns whether a request waits for room for its adapter if no server has any. Room becomes
    /// free within a second or two as streams end.
    pub(super) fn may_wait_for_room(&self) -> bool {
        let elapsed = self.cx.now() - self.arrived_at;
        let total = self.deadline - self.arrived_at;
        self.names_adapter()
            && self.excluded_servers.is_empty()
            && elapsed < total.mul_f64(ADAPTER_ROOM_SHARE)
    }

    pub(super) fn retry_later(&self, cause: RefusalCause) -> Refusal {
        Refusal::with_retry_after(cause, retry_after(RETRY_AFTER, self.cx.random_unit()))
    }

    pub(super) fn selection_request(&self) -> SelectionRequest<'_> {
        SelectionRequest {
            generation: self.head.generation.as_ref(),
            keys: &self.prefix_keys,
            service: &self.service,
            rank: self.route.rank,
            copy_ms_per_token: self.engine_class().and_then(|class| class.copy_ms_per_token),
            cache_tokens: self
                .engine_class()
                .filter(|_| self.cx.settings.weigh_prefix_retention)
                .map(|class| class.cache_tokens),
        }
    }

    /// Returns the properties that the service's engines share; `None` if its servers are not
    /// engines.
    pub(super) fn engine_class(&self) -> Option<&EngineClass> {
        self.deployment.services.get(&self.service)?.engine.as_ref()
    }

    /// Returns whether another server would take the request now. If none would, abandoning a slow
    /// or silent server only ends the request.
    pub(super) fn has_alternative(&self) -> bool {
        let now = self.cx.now();
        let has_retry = self.cx.routing.lock().retry_budget.can_retry(&self.service, now);
        has_retry && matches!(self.try_select(&[], false), Selection::Selected(..))
    }

    /// Selects a server among the current ones, without waiting. Servers that name a limit come
    /// after all others, and only if `with_limited` is set.
    pub(super) fn try_select(
        &self,
        servers_without_room: &[Name],
        with_limited: bool,
    ) -> Selection {
        let view = self.cx.fleet.view();
        let mut candidates = self.candidates(&view);
        candidates.retain(|(candidate, _)| !servers_without_room.contains(&candidate.server.id));
        let (limited, open): (Vec<_>, Vec<_>) = {
            let routing = self.cx.routing.lock();
            let is_limited = |server: &BackendServer| routing.limits.limit_of(server).is_some();
            candidates.into_iter().partition(|(candidate, _)| is_limited(candidate.server))
        };
        if with_limited && let Some(selected) = self.select_probe(&view, &limited) {
            return selected;
        }
        let selection = match open.is_empty() {
            true => self.explain_no_candidates(&view),
            false => self.select_among(&open, |_| None),
        };
        if limited.is_empty() || matches!(selection, Selection::Selected(..)) {
            return selection;
        }
        match (&selection, self.select_limited(&limited, with_limited)) {
            // What is queued at the other servers says more of the time to return.
            (Selection::Overload { .. }, Selection::Limited { .. }) => selection,
            // Another server may soon have room.
            (Selection::NoServer, Selection::Limited { .. })
                if self.holders(&view).count() > limited.len() =>
            {
                selection
            }
            (_, limited) => limited,
        }
    }

    fn explain_no_candidates(&self, view: &FleetView) -> Selection {
        match &self.head.generation {
            Some(_) if self.holders(view).next().is_none() => Selection::NoModel,
            _ => match self.shortest_pause(view) {
                Some(pause) => {
                    Selection::Limited { retry_after: retry_after(pause, self.cx.random_unit()) }
                }
                None => Selection::NoServer,
            },
        }
    }

    /// Returns the time until the first pause of a server ends, if all servers that hold the model and
    /// have not been tried want no requests.
    fn shortest_pause(&self, view: &FleetView) -> Option<Duration> {
        let now = self.cx.now();
        let routing = self.cx.routing.lock();
        let untried = self.holders(view).filter(|server| {
            !self.attempted_servers.contains(&server.id)
                || routing.notices.remaining_pause(&server.id, server.incarnation, now).is_some()
        });
        let mut shortest: Option<Duration> = None;
        for server in untried {
            if routing.notices.allow(&server.id, server.incarnation, now) {
                return None;
            }
            let pause = routing.notices.remaining_pause(&server.id, server.incarnation, now);
            shortest = shortest.into_iter().chain(pause).min();
        }
        shortest
    }

    /// Returns the ready servers that hold the model and fit the stream's software; all of these if no
    /// model is asked for.
    fn holders<'a>(&'a self, view: &'a FleetView) -> impl Iterator<Item = &'a Arc<BackendServer>> {
        let model = self.head.generation.as_ref().map(|generation| &generation.model);
        self.ready_servers(view).filter(move |server| {
            self.fits_software(server) && model.is_none_or(|model| server.holds(model))
        })
    }

    /// Returns whether the stream is bound to a software version and there are servers of another one,
    /// at which the model of the request could be loaded.
    fn is_bound_among_versions(&self) -> bool {
        let view = self.cx.fleet.view();
        self.ready_servers(&view).any(|server| !self.fits_software(server))
    }

    /// Selects a server only to find out whether its limit is still in force, if that is due.
    fn select_probe(&self, view: &FleetView, limited: &[KnownCandidate<'_>]) -> Option<Selection> {
        let (now, nodes) = (self.cx.now(), view.members.len() as u32);
        let due = {
            let routing = self.cx.routing.lock();
            limited
                .iter()
                .find(|(candidate, _)| {
                    candidate.adapter_orders == 0
                        && routing.limits.is_probe_due(candidate.server, nodes, now)
                })
                .copied()
        };
        match self.select_among(&[due?], |_| Some(PermitUse::Probe)) {
            selected @ Selection::Selected(..) => Some(selected),
            _ => None,
        }
    }

    /// Selects one of the servers that name a limit, unless this node knows that there is no permit.
    fn select_limited(&self, limited: &[KnownCandidate<'_>], may_ask: bool) -> Selection {
        let now = self.cx.now();
        let longest = self.longest_wait(&self.admission_input(Duration::ZERO, now));
        let mut denied: Option<Duration> = None;
        let mut free = Vec::new();
        for known in limited {
            match self.cx.routing.lock().limits.denied_for(known.0.server, longest, now) {
                Some(wait) => denied = Some(denied.map_or(wait, |least| least.min(wait))),
                None => free.push(*known),
            }
        }
        if free.is_empty() || !may_ask {
            let wait = retry_after(denied.unwrap_or(RETRY_AFTER), self.cx.random_unit());
            return Selection::Limited { retry_after: wait };
        }
        self.select_among(&free, |max_wait| {
            Some(PermitUse::Request { max_wait_ms: max_wait.as_millis() as u32 })
        })
    }

    /// Returns how long the request may wait for a permit.
    fn longest_wait(&self, input: &AdmissionInput) -> Duration {
        longest_wait(self.route.rank, spare_wait(input))
    }

    fn admission_input(&self, expected_latency: Duration, now: Instant) -> AdmissionInput {
        // The limits on waiting apply to the first event. A caller that has received part of a
        // stream waits for the rest.
        let has_started = self.time_to_first_token.is_some();
        AdmissionInput {
            rank: self.route.rank,
            expected_latency,
            elapsed: if has_started { Duration::ZERO } else { now - self.arrived_at },
            queue_time: if has_started { Duration::ZERO } else { now - self.queued_since },
            target_latency: self.route.target_latency,
            time_left: self.remaining_time(),
            is_over_share: !has_started
                && self.quota_charge.as_ref().is_some_and(QuotaCharge::is_over_share),
        }
    }

    /// Selects one of these candidates. `permit` returns the permit that the request needs, given the
    /// time for which it may wait.
    fn select_among(
        &self,
        candidates: &[KnownCandidate<'_>],
        permit: impl FnOnce(Duration) -> Option<PermitUse>,
    ) -> Selection {
        let now = self.cx.now();
        let routing = self.cx.routing.lock();
        let context = routing.selection_context(now);
        let request = self.selection_request();
        let options = candidates.iter().map(|(candidate, _)| *candidate);
        let Some(choice) = choose_server(options, &request, &context) else {
            return Selection::NoServer;
        };
        let input = self.admission_input(choice.expected_latency, now);
        // The time to return is spread when the refusal is sent.
        let priority = match decide_admission(&input, 0.0) {
            AdmissionDecision::Admit { priority } => priority,
            AdmissionDecision::Refuse { retry_after } => {
                return Selection::Overload {
                    expected_latency: choice.expected_latency,
                    room_in: retry_after,
                };
            }
        };
        let server = candidates
            .iter()
            .find(|(candidate, _)| candidate.server.id == choice.candidate.server.id)
            .map(|(_, server)| (*server).clone());
        let Some(server) = server else { return Selection::NoServer };
        let selected = SelectedServer {
            server,
            priority: self.head.generation.as_ref().map(|_| priority),
            prefill_ms: choice.prefill_ms,
            saving_ms: choice.saving_ms,
            memory_tokens: choice.prefix.memory_tokens,
            copy_from: choice.copy_from.map(|source| source.address),
            expected_latency: choice.expected_latency,
            permit: permit(self.longest_wait(&input)),
        };
        Selection::Selected(selected, choice.candidate.adapter_orders > 0)
    }

    pub(super) fn ready_servers<'a>(
        &'a self,
        view: &'a FleetView,
    ) -> impl Iterator<Item = &'a Arc<BackendServer>> {
        view.servers.values().filter(|server| server.service == self.service && server.is_ready())
    }

    fn candidates<'a>(&'a self, view: &'a FleetView) -> Vec<KnownCandidate<'a>> {
        let assessed = self.assess_servers(view).into_iter();
        assessed.filter_map(|(server, candidate)| Some((candidate.ok()?, server))).collect()
    }

    /// Returns each server of the service as a candidate, or with the reason why it is none.
    pub(super) fn assess_servers<'a>(&'a self, view: &'a FleetView) -> Vec<AssessedServer<'a>> {
        let nodes = view.members.len().max(1) as u32;
        let service = self.deployment.services.get(&self.service);
        let limit = service.map_or(u32::MAX, |service| service.connection_limit);
        let max_running = (limit / nodes).max(1);
        let max_adapters = self.engine_class().map_or(0, |class| class.adapter_capacity);
        let (copy_name, now) = (self.copy_name(), self.cx.now());
        let routing = self.cx.routing.lock();
        let (own_loads, health) = (routing.loads.own(), &routing.health);
        let lacks_copy = |server: &BackendServer| {
            copy_name.as_ref().is_some_and(|copy| {
                health.is_not_resident(&server.id, copy, server.incarnation, now)
            })
        };
        let was_tried = |server: &BackendServer| {
            self.attempted_servers.contains(&server.id)
                || self.excluded_servers.contains(&server.id)
        };
        let max_idle = self.max_idle();
        let mut address = String::new();
        let mut assess = |server: &'a BackendServer| {
            if !server.is_ready() {
                return Err("shuts down");
            }
            if was_tried(server) {
                return Err("was tried");
            }
            if !self.fits_software(server) {
                return Err("has other software than the stream");
            }
            if !routing.notices.allow(&server.id, server.incarnation, now) {
                return Err("wants no requests");
            }
            let running = routing.loads.total(&server.id).running;
            let id = (&*server.id, server.incarnation);
            if !routing.notices.has_room(id, &server.service, server.slots, running) {
                return Err("is brittle and nearly full");
            }
            if lacks_copy(server) {
                return Err("stated not to hold the model or adapter");
            }
            if health.is_full(&server.id, self.route.rank, now) {
                return Err("refused a request because it is full");
            }
            if own_loads.get(&server.id).is_some_and(|load| load.running >= max_running) {
                return Err("takes no more connections of this node");
            }
            let adapter_orders =
                adapter_orders(server, self.head.generation.as_ref(), max_adapters)
                    .ok_or("does not hold the model, or executes an order")?;
            let distance = self.cx.settings.distance_to(&server.failure_domain);
            address.clear();
            let _ = write!(address, "{}", server.address);
            let is_connected = self.cx.request_pool.has_idle(&address, max_idle);
            Ok(Candidate { server, distance, adapter_orders, is_connected })
        };
        let servers = view.servers.values().filter(|server| server.service == self.service);
        servers.map(|server| (server, assess(server))).collect()
    }
}

/// Returns how many orders load the adapter at the server: none, a load, or an unload and a load.
/// Returns `None` if the server does not hold the model, or is busy and takes no orders.
fn adapter_orders(
    server: &BackendServer,
    generation: Option<&Generation>,
    max_adapters: usize,
) -> Option<u8> {
    let Some(generation) = generation else { return Some(0) };
    if !server.holds(&generation.model) {
        return None;
    }
    match generation.adapter.as_deref() {
        Some(adapter) if !server.holds_adapter(&generation.model, adapter) => {
            let loaded: usize = server.models.iter().map(|model| model.adapters.len()).sum();
            (!server.is_busy).then_some(if loaded < max_adapters { 1 } else { 2 })
        }
        _ => Some(0),
    }
}
