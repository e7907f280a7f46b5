//! Asks for the adapter or the model that a request needs to be loaded, and waits for it.
//!
//! `server_selection` finds out that it is missing; the leaders of failure domains load it.

use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::node::admission::retry_after;
use savoryport_core::node::placement::restoring_domains;
use savoryport_core::node::registry::BackendServer;

use super::planner::domains_with_ready_servers;
use super::proxy::ProxyRequest;
use super::response::{Refusal, RefusalCause};
use super::rpc::Availability;

/// The timeout of a request to another node to load an adapter or a model.
const LOAD_REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a request waits for the load of a model beyond its expected duration.
const LOAD_GRACE: Duration = Duration::from_millis(800);

/// The number of failure domains that are asked in turn to load a model.
const MAX_LOAD_REQUESTS: usize = 3;

/// The share of a request's remaining time that the load of its model may take.
const LOAD_SHARE: f64 = 0.6;

impl ProxyRequest {
    /// Has the adapter of the request loaded at a server; returns whether it can be used.
    pub(super) async fn load_adapter(&self, server: &BackendServer) -> bool {
        let Some(generation) = &self.head.generation else { return false };
        let Some(adapter) = &generation.adapter else { return true };
        let cx = &self.cx;
        let wanted = (server.id.clone(), generation.model.clone(), adapter.clone());
        if cx.controllers.leads(&server.failure_domain) {
            let (server, model, adapter) = &wanted;
            return cx.controllers.ensure_adapter(cx, server, model, adapter).await
                == Availability::Ready;
        }
        let leader = cx.fleet.read(|state| state.leader(&server.failure_domain).cloned());
        let Some(leader) = leader else { return false };
        let load_request = async {
            let connection = cx.peers.get_or_connect(leader.peers).await?;
            connection.want_adapter(wanted, LOAD_REQUEST_TIMEOUT).await
        };
        let timeout = LOAD_REQUEST_TIMEOUT.min(self.remaining_time());
        matches!(tokio::time::timeout(timeout, load_request).await, Ok(Ok(Availability::Ready)))
    }

    /// Has the model of the request loaded, and waits until a server holds it if that is expected
    /// to be soon enough.
    pub(super) async fn await_model(&self) -> Result<(), Refusal> {
        let Some(generation) = &self.head.generation else { return Ok(()) };
        let Some(expected_load) = self.request_model_load(&generation.model).await else {
            return Err(self.retry_later(RefusalCause::NoModel));
        };
        let is_on_time =
            self.cx.now() - self.arrived_at + expected_load < self.route.target_latency;
        if !is_on_time && expected_load > self.remaining_time().mul_f64(LOAD_SHARE) {
            return Err(Refusal::with_retry_after(
                RefusalCause::NoModel,
                retry_after(expected_load, self.cx.random_unit()),
            ));
        }
        let mut views = self.cx.fleet.subscribe();
        let model_held = views.wait_for(|view| {
            self.ready_servers(view).any(|server| server.holds(&generation.model))
        });
        let timeout = (expected_load + LOAD_GRACE).min(self.remaining_time());
        match tokio::time::timeout(timeout, model_held).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(self.retry_later(RefusalCause::NoModel)),
        }
    }

    /// Asks the leaders of failure domains in turn to load the model; returns how long that will
    /// take, or `None` if none of them can load it soon.
    async fn request_model_load(&self, model: &Name) -> Option<Duration> {
        let domains = domains_with_ready_servers(&self.cx.fleet.view(), &self.service);
        for domain in restoring_domains(model, domains.iter()).into_iter().take(MAX_LOAD_REQUESTS) {
            match self.request_load_in_domain(model, domain).await {
                Some(Availability::Ready) => return Some(Duration::ZERO),
                Some(Availability::Loading(ms)) => return Some(Duration::from_millis(ms)),
                Some(Availability::Unavailable) | None => {}
            }
        }
        None
    }

    async fn request_load_in_domain(&self, model: &Name, domain: &Name) -> Option<Availability> {
        let cx = &self.cx;
        if cx.controllers.leads(domain) {
            return Some(cx.controllers.request_model(cx, &self.service, model, domain));
        }
        let leader = cx.fleet.read(|state| state.leader(domain).cloned())?;
        let load_request = async {
            let connection = cx.peers.get_or_connect(leader.peers).await?;
            let wanted = (self.service.clone(), model.clone());
            connection.want_model(wanted, LOAD_REQUEST_TIMEOUT).await
        };
        let timeout = LOAD_REQUEST_TIMEOUT.min(self.remaining_time());
        tokio::time::timeout(timeout, load_request).await.ok()?.ok()
    }
}
