//! Picks the server for a request, and has adapters and models brought where they are needed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::node::admission::{Prospect, Verdict, judge, retry_after};
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::placement::owner;
use savoryport_core::node::registry::BackendServer;
use savoryport_core::node::request::Generation;
use savoryport_core::node::selection::{Candidate, Demanded, Distance, choose};

use super::planner::engine_domains;
use super::proxy::ProxyRequest;
use super::response::{Refusal, RefusalCause};
use super::rpc::WishReply;
use super::view::View;

/// The pause between two looks for a server with a place for an adapter.
const PLACE_PAUSE: Duration = Duration::from_millis(60);

/// The share of a request's time that it may wait for a place for its adapter.
const PLACE_SHARE: f64 = 0.2;

/// The time for a wish to another node.
const WISH_TIMEOUT: Duration = Duration::from_millis(600);

/// How much longer than announced a load of a model is waited for.
const LOAD_GRACE: Duration = Duration::from_millis(800);

/// The share of the time left that a load of a model may take.
const LOAD_SHARE: f64 = 0.6;

/// Milliseconds of a server's time for one generated token, which it shares with its whole batch.
const MS_PER_OUTPUT_TOKEN: f64 = 0.05;

/// A caller comes back after this time where servers or their order givers are missing.
const COME_BACK: Duration = Duration::from_millis(600);

/// The server that a request goes to.
pub struct Picked {
    /// The server.
    pub server: Arc<BackendServer>,
    /// The engine's priority, where the server is one.
    pub priority: Option<u8>,
    /// Milliseconds of prefill that the request needs there.
    pub prefill_ms: f32,
    /// The server from which the beginning of the prompt is copied first.
    pub copy_from: Option<SocketAddr>,
    /// The expected time to the first token, or to the answer.
    pub expected: Duration,
}

/// What one look at the servers brought.
enum Look {
    Picked(Picked, /* lacks the adapter */ bool),
    NoModel,
    NoServer,
    Overload { expected: Duration, retry_after: Duration },
}

impl ProxyRequest {
    /// Counts the work that this request asks for.
    pub(super) fn note_work(&self) {
        let Some(asked) = &self.head.generation else { return };
        let view = self.cx.fleet.view();
        let candidates = self.candidates(&view);
        let mut routing = self.cx.routing.lock();
        let demanded = self.demanded();
        let prefill = choose(
            candidates.iter().map(|(candidate, _)| *candidate),
            &demanded,
            &routing.selection_context(self.arrived),
        )
        .map_or_else(
            || routing.speeds.prefill_ms(&asked.model, asked.prompt_tokens),
            |choice| f64::from(choice.prefill_ms),
        );
        let work = prefill + MS_PER_OUTPUT_TOKEN * f64::from(asked.output_tokens);
        *routing.work_ms.entry(asked.model.clone()).or_default() += work;
    }

    /// Picks a server; waits for an adapter or a model if it will come in time.
    pub(super) async fn pick(&mut self) -> Result<Picked, Refusal> {
        if !self.may_send() {
            return Err(Refusal::with_retry_after(
                RefusalCause::NotRun,
                COME_BACK.mul_f64(1.0 + self.cx.random_unit()),
            ));
        }
        let mut waited_for_model = false;
        let mut without_place: Vec<Name> = Vec::new();
        loop {
            match self.look(&without_place) {
                Look::Picked(picked, false) => return Ok(picked),
                Look::Picked(picked, true) => {
                    if self.bring_adapter(&picked.server).await {
                        return Ok(picked);
                    }
                    without_place.push(picked.server.id.clone());
                }
                Look::NoServer if self.may_wait_for_place() => {
                    tokio::time::sleep(PLACE_PAUSE).await;
                    without_place.clear();
                }
                Look::NoModel if !waited_for_model => {
                    self.await_model().await?;
                    self.queued_since = self.cx.now();
                    waited_for_model = true;
                }
                Look::NoModel => return Err(self.later(RefusalCause::NoModel)),
                Look::NoServer if self.asks_adapter() => {
                    return Err(self.later(RefusalCause::NoAdapter));
                }
                Look::NoServer => return Err(self.later(RefusalCause::NoServer)),
                Look::Overload { expected, retry_after } => {
                    self.expected = expected;
                    return Err(Refusal::with_retry_after(RefusalCause::Overload, retry_after));
                }
            }
        }
    }

    fn asks_adapter(&self) -> bool {
        self.head.generation.as_ref().is_some_and(|asked| asked.adapter.is_some())
    }

    /// Returns whether a request whose adapter has no place at present waits for one. Places become
    /// free within a second or two as streams end.
    fn may_wait_for_place(&self) -> bool {
        let elapsed = self.cx.now() - self.arrived;
        let whole = self.ends - self.arrived;
        self.asks_adapter() && self.avoided.is_empty() && elapsed < whole.mul_f64(PLACE_SHARE)
    }

    fn later(&self, cause: RefusalCause) -> Refusal {
        Refusal::with_retry_after(cause, retry_after(COME_BACK, self.cx.random_unit()))
    }

    fn demanded(&self) -> Demanded<'_> {
        Demanded {
            generation: self.head.generation.as_ref(),
            keys: &self.keys,
            service: &self.service,
            rank: self.route.rank,
            copy_ms_per_token: self.engine_class().and_then(|class| class.copy_ms_per_token),
        }
    }

    /// Returns the class of the service's engines, if its servers are engines.
    pub(super) fn engine_class(&self) -> Option<&EngineClass> {
        self.deployment.services.get(&self.service)?.engine.as_ref()
    }

    /// Returns whether another server would take the request now. Without one, leaving a server that is
    /// slow or silent only ends the request.
    pub(super) fn has_alternative(&self) -> bool {
        let has_repeat = self.cx.routing.lock().retry_budget.has_repeat(&self.service);
        has_repeat && matches!(self.look(&[]), Look::Picked(..))
    }

    fn look(&self, without_place: &[Name]) -> Look {
        let view = self.cx.fleet.view();
        let mut candidates = self.candidates(&view);
        candidates.retain(|(candidate, _)| !without_place.contains(&candidate.server.id));
        if candidates.is_empty() {
            let holds = |server: &&Arc<BackendServer>| {
                self.head.generation.as_ref().is_some_and(|asked| server.holds(&asked.model))
            };
            let mut ready = self.ready(&view);
            return match &self.head.generation {
                Some(_) if ready.any(|server| holds(&server)) => Look::NoServer,
                Some(_) => Look::NoModel,
                None => Look::NoServer,
            };
        }
        let now = self.cx.now();
        let routing = self.cx.routing.lock();
        let selection = routing.selection_context(now);
        let demanded = self.demanded();
        let options = candidates.iter().map(|(candidate, _)| *candidate);
        let Some(choice) = choose(options, &demanded, &selection) else { return Look::NoServer };
        // The bounds on waiting are for a first event; who has a part of a stream waits for the rest.
        let has_begun = self.first_token.is_some();
        let prospect = Prospect {
            rank: self.route.rank,
            expected: choice.expected,
            elapsed: if has_begun { Duration::ZERO } else { now - self.arrived },
            queued: if has_begun { Duration::ZERO } else { now - self.queued_since },
            target: self.route.target,
            left: self.left(),
        };
        let priority = match judge(&prospect, self.cx.random_unit()) {
            Verdict::Serve { priority } => priority,
            Verdict::Refuse { retry_after } => {
                return Look::Overload { expected: choice.expected, retry_after };
            }
        };
        let chosen = candidates
            .iter()
            .find(|(candidate, _)| candidate.server.id == choice.candidate.server.id)
            .map(|(_, server)| (*server).clone());
        let Some(server) = chosen else { return Look::NoServer };
        let picked = Picked {
            server,
            priority: self.head.generation.as_ref().map(|_| priority),
            prefill_ms: choice.prefill_ms,
            copy_from: choice.copy_from.map(|source| source.address),
            expected: choice.expected,
        };
        Look::Picked(picked, choice.candidate.adapter_orders > 0)
    }

    fn ready<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a Arc<BackendServer>> {
        view.servers.values().filter(|server| server.service == self.service && server.is_ready())
    }

    fn candidates<'a>(&'a self, view: &'a View) -> Vec<(Candidate<'a>, &'a Arc<BackendServer>)> {
        let nodes = view.members.len().max(1) as u32;
        let service = self.deployment.services.get(&self.service);
        let limit = service.map_or(u32::MAX, |service| service.connection_limit);
        let share = (limit / nodes).max(1);
        let adapter_places = self.engine_class().map_or(0, |class| class.adapter_places);
        let (copy, now) = (self.copy_name(), self.cx.now());
        let routing = self.cx.routing.lock();
        let (own, health) = (routing.loads.own(), &routing.health);
        let is_denied = |server: &BackendServer| {
            copy.as_ref()
                .is_some_and(|copy| health.is_denied(&server.id, copy, server.incarnation, now))
        };
        self.ready(view)
            .filter(|server| !self.tried.contains(&server.id) && !self.avoided.contains(&server.id))
            .filter(|server| !is_denied(server))
            .filter(|server| !health.is_full(&server.id, self.route.rank, now))
            .filter(|server| own.get(&server.id).is_none_or(|load| load.running < share))
            .filter_map(|server| {
                let adapter_orders =
                    adapter_orders(server, self.head.generation.as_ref(), adapter_places)?;
                let distance = self.distance(server);
                Some((Candidate { server, distance, adapter_orders }, server))
            })
            .collect()
    }

    fn distance(&self, server: &BackendServer) -> Distance {
        let settings = &self.cx.settings;
        if server.failure_domain == settings.failure_domain {
            return Distance::Near;
        }
        match settings.region_of(&server.failure_domain) {
            Some(region) if *region == settings.region => Distance::Region,
            _ => Distance::Far,
        }
    }

    /// Has an adapter loaded at a server; returns whether it can be used.
    async fn bring_adapter(&self, server: &BackendServer) -> bool {
        let Some(asked) = &self.head.generation else { return false };
        let Some(adapter) = &asked.adapter else { return true };
        let cx = &self.cx;
        let wanted = (server.id.clone(), asked.model.clone(), adapter.clone());
        if cx.desks.holds(&server.failure_domain) {
            let (server, model, adapter) = &wanted;
            return cx.desks.want_adapter(cx, server, model, adapter).await == WishReply::Ready;
        }
        let holder = cx.fleet.read(|state| state.holder(&server.failure_domain).cloned());
        let Some(holder) = holder else { return false };
        let wish = async {
            let connection = cx.peers.get(holder.peers).await?;
            connection.want_adapter(wanted, WISH_TIMEOUT).await
        };
        let within = WISH_TIMEOUT.min(self.left());
        matches!(tokio::time::timeout(within, wish).await, Ok(Ok(WishReply::Ready)))
    }

    /// Waits until some server holds the model, if that is soon enough.
    async fn await_model(&self) -> Result<(), Refusal> {
        let Some(asked) = &self.head.generation else { return Ok(()) };
        let Some(expected) = self.wish_for_model(&asked.model).await else {
            return Err(self.later(RefusalCause::NoModel));
        };
        let is_on_time = self.cx.now() - self.arrived + expected < self.route.target;
        if !is_on_time && expected > self.left().mul_f64(LOAD_SHARE) {
            return Err(Refusal::with_retry_after(
                RefusalCause::NoModel,
                retry_after(expected, self.cx.random_unit()),
            ));
        }
        let mut views = self.cx.fleet.subscribe();
        let held = views.wait_for(|view| self.ready(view).any(|server| server.holds(&asked.model)));
        let within = (expected + LOAD_GRACE).min(self.left());
        match tokio::time::timeout(within, held).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(self.later(RefusalCause::NoModel)),
        }
    }

    /// Tells the order giver that a model is missing; returns when it will be there.
    async fn wish_for_model(&self, model: &Name) -> Option<Duration> {
        let cx = &self.cx;
        let domains = engine_domains(&cx.fleet.view(), &self.service);
        let domain = owner(model, domains.iter()).unwrap_or(&cx.settings.failure_domain);
        let reply = if cx.desks.holds(domain) {
            cx.desks.want_model(cx, &self.service, model, domain)
        } else {
            let holder = cx.fleet.read(|state| state.holder(domain).cloned())?;
            let wish = async {
                let connection = cx.peers.get(holder.peers).await?;
                connection.want_model((self.service.clone(), model.clone()), WISH_TIMEOUT).await
            };
            let within = WISH_TIMEOUT.min(self.left());
            tokio::time::timeout(within, wish).await.ok()?.ok()?
        };
        match reply {
            WishReply::Ready => Some(Duration::ZERO),
            WishReply::Loading(ms) => Some(Duration::from_millis(ms)),
            WishReply::Unavailable => None,
        }
    }
}

/// Returns how many orders bring the adapter to the server, and nothing where the model is not there
/// or the server takes no orders.
fn adapter_orders(server: &BackendServer, asked: Option<&Generation>, places: usize) -> Option<u8> {
    let Some(asked) = asked else { return Some(0) };
    if !server.holds(&asked.model) {
        return None;
    }
    match asked.adapter.as_deref() {
        Some(adapter) if !server.holds_adapter(&asked.model, adapter) => {
            let taken: usize = server.models.iter().map(|model| model.adapters.len()).sum();
            (!server.is_busy).then_some(if taken < places { 1 } else { 2 })
        }
        _ => Some(0),
    }
}
