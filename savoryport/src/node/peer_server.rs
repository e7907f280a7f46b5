//! What a duty holder collects from its failure domain and passes on.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures::StreamExt;
use savoryport_core::Name;
use savoryport_core::node::load::ServerLoad;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

use super::NodeError;
use super::context::NodeContext;
use super::prompt_log::PromptLog;
use super::rpc::{
    CopyUse, MAX_MESSAGE_BYTES, Peer, Position, PromptRecord, Role, SyncReply, SyncRequest,
    WishReply,
};

/// What another node told counts for this long.
const TOLD_LIFETIME: Duration = Duration::from_millis(1_000);

/// Loads by server.
type Loads = HashMap<Name, ServerLoad>;

/// What other nodes told.
#[derive(Debug, Default)]
pub struct PeerReports(Mutex<ReportState>);

#[derive(Debug, Default)]
struct ReportState {
    followers: HashMap<Name, Told>,
    domains: HashMap<Name, Told>,
    work_ms: HashMap<Name, f64>,
    prompts: PromptLog,
}

#[derive(Debug)]
struct Told {
    loads: Loads,
    copies: Vec<CopyUse>,
    demand: HashMap<Name, f64>,
    at: Instant,
}

impl Told {
    fn new(at: Instant) -> Self {
        Self { loads: Loads::new(), copies: Vec::new(), demand: HashMap::new(), at }
    }
}

impl PeerReports {
    fn lock(&self) -> MutexGuard<'_, ReportState> {
        self.0.lock().expect("no holder panics")
    }

    /// Takes what a follower told.
    fn note_follower(&self, req: &SyncRequest, now: Instant) {
        let mut state = self.lock();
        let vm = &req.member.vm;
        if req.is_leaving {
            state.followers.remove(vm);
        } else {
            let loads = req.loads.iter().cloned().collect();
            let told = Told { loads, copies: req.copies.clone(), ..Told::new(now) };
            state.followers.insert(vm.clone(), told);
        }
        state.add_work(&req.work_ms);
        state.prompts.add_local(vm, &req.prompts, now);
    }

    /// Takes the sums of another failure domain.
    pub fn note_domain(&self, domain: &Name, loads: Vec<(Name, ServerLoad)>, now: Instant) {
        let mut state = self.lock();
        let told = state.domains.entry(domain.clone()).or_insert_with(|| Told::new(now));
        told.loads = loads.into_iter().collect();
        told.at = now;
    }

    /// Takes the copies at this domain's servers that another failure domain uses, and its demand.
    fn note_domain_needs(&self, req: &SyncRequest, now: Instant) {
        let mut state = self.lock();
        let domain = req.member.failure_domain.clone();
        let told = state.domains.entry(domain).or_insert_with(|| Told::new(now));
        told.copies.clone_from(&req.copies);
        told.demand = req.demand.iter().cloned().collect();
    }

    /// Returns the demand that another failure domain told lately.
    pub fn demand_of(&self, domain: &str, now: Instant) -> HashMap<Name, f64> {
        let state = self.lock();
        let told = state.domains.get(domain);
        let fresh = told.filter(|told| now.saturating_duration_since(told.at) < TOLD_LIFETIME);
        fresh.map(|told| told.demand.clone()).unwrap_or_default()
    }

    /// Takes this node's own work and prompts.
    pub fn note_own(
        &self,
        vm: &Name,
        work_ms: &[(Name, f64)],
        prompts: &[PromptRecord],
        now: Instant,
    ) {
        let mut state = self.lock();
        state.add_work(work_ms);
        state.prompts.add_local(vm, prompts, now);
    }

    /// Takes prompts that nodes of another failure domain sent, for the followers.
    pub fn note_domain_prompts(&self, prompts: &[PromptRecord]) {
        self.lock().prompts.add_remote(prompts);
    }

    /// Returns the work by model that arrived since the last call, in milliseconds.
    pub fn take_work(&self) -> HashMap<Name, f64> {
        std::mem::take(&mut self.lock().work_ms)
    }

    /// Returns the copies that followers use.
    pub fn follower_copies(&self) -> Vec<CopyUse> {
        let state = self.lock();
        state.followers.values().flat_map(|told| told.copies.iter().cloned()).collect()
    }

    /// Returns the copies that followers and other failure domains use.
    pub fn copies_in_use(&self) -> Vec<CopyUse> {
        let state = self.lock();
        let told = state.followers.values().chain(state.domains.values());
        told.flat_map(|told| told.copies.iter().cloned()).collect()
    }

    /// Returns what followers and other failure domains have under way, without one follower.
    pub fn loads_but(&self, vm: Option<&str>, with_domains: bool, now: Instant) -> Loads {
        let mut state = self.lock();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < TOLD_LIFETIME;
        state.followers.retain(|_, told| is_fresh(told.at));
        let mut sum = Loads::new();
        for (name, told) in &state.followers {
            if Some(&**name) != vm {
                add_loads(&mut sum, &told.loads);
            }
        }
        for told in state.domains.values().filter(|told| with_domains && is_fresh(told.at)) {
            add_loads(&mut sum, &told.loads);
        }
        sum
    }
}

impl ReportState {
    fn add_work(&mut self, work_ms: &[(Name, f64)]) {
        for (model, ms) in work_ms {
            *self.work_ms.entry(model.clone()).or_default() += ms;
        }
    }
}

/// Adds loads to a sum.
pub fn add_loads(sum: &mut Loads, loads: &Loads) {
    for (server, load) in loads {
        sum.entry(server.clone()).or_default().add(load);
    }
}

#[derive(Clone)]
struct PeerServer {
    cx: Arc<NodeContext>,
}

impl Peer for PeerServer {
    async fn sync(self, _: Context, req: SyncRequest) -> SyncReply {
        let (cx, now) = (&self.cx, self.cx.now());
        let domain = match req.role {
            Role::Follower => None,
            Role::Holder => Some(&*cx.settings.failure_domain),
        };
        let mut loads = match req.role {
            Role::Follower => {
                cx.peer_reports.note_follower(&req, now);
                note_prompts(cx, &req.prompts, now);
                cx.peer_reports.loads_but(Some(&req.member.vm), true, now)
            }
            Role::Holder => {
                let loads = req.loads.clone();
                let asking = &req.member.failure_domain;
                cx.peer_reports.note_domain(asking, loads, now);
                cx.peer_reports.note_domain_needs(&req, now);
                cx.peer_reports.loads_but(None, false, now)
            }
        };
        add_loads(&mut loads, cx.routing.lock().loads.own());
        let (prompt_count, prompts) = match req.role {
            Role::Follower => {
                cx.peer_reports.lock().prompts.records_since(req.have.prompts, &req.member.vm)
            }
            Role::Holder if req.have.tenure == cx.tenure => {
                cx.peer_reports.lock().prompts.shared_prefixes_since(req.have.prompts)
            }
            Role::Holder => cx.peer_reports.lock().prompts.shared_prefixes_since(0),
        };
        let mut reply = SyncReply {
            position: Position::default(),
            is_holder: cx.controllers.leads(&cx.settings.failure_domain)
                && cx.store_health.is_available(now),
            is_full: false,
            servers: Vec::new(),
            removed: Vec::new(),
            members: None,
            loads: loads.into_iter().collect(),
            prompts,
        };
        cx.fleet.update(|state| {
            if req.role == Role::Follower {
                if req.is_leaving {
                    state.remove_member(&req.member.vm);
                } else {
                    state.record_member(req.member.clone(), now);
                }
                state.expire_members(now);
            }
        });
        cx.fleet.read(|state| state.fill(req.have, cx.tenure, domain, &mut reply));
        reply.position.prompts = prompt_count;
        reply
    }

    async fn config(self, _: Context, have: u64) -> Option<Vec<u8>> {
        let view = self.cx.fleet.view();
        let config = view.config.as_ref().filter(|config| config.deployment.version > have)?;
        Some(config.packed().to_vec())
    }

    async fn want_adapter(self, _: Context, server: Name, model: Name, adapter: Name) -> WishReply {
        self.cx.controllers.ensure_adapter(&self.cx, &server, &model, &adapter).await
    }

    async fn want_model(self, _: Context, service: Name, model: Name) -> WishReply {
        let domain = &self.cx.settings.failure_domain;
        self.cx.controllers.request_model(&self.cx, &service, &model, domain)
    }
}

/// Takes prompts that other nodes sent.
pub fn note_prompts(cx: &NodeContext, prompts: &[PromptRecord], now: Instant) {
    let view = cx.fleet.view();
    let Some(deployment) = view.deployment() else { return };
    let mut routing = cx.routing.lock();
    for PromptRecord { server, incarnation, keys } in prompts {
        let service = view
            .servers
            .get(server)
            .and_then(|known| deployment.services.get(&known.service)?.engine.as_ref());
        if let Some(class) = service {
            routing.prefixes.record(server, *incarnation, keys, class.cache_tokens, now);
        }
    }
}

/// Starts answering other nodes.
///
/// # Errors
///
/// Returns an error where the address cannot be listened on.
pub async fn start(cx: &Arc<NodeContext>) -> Result<(), NodeError> {
    let address = cx.settings.peers_listen();
    let listening = tarpc::serde_transport::tcp::listen(address, Bincode::default).await;
    let mut listener = listening.map_err(|err| NodeError::Listen { address, err })?;
    listener.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    let server = PeerServer { cx: cx.clone() };
    tokio::spawn(async move {
        while let Some(connection) = listener.next().await {
            let Ok(transport) = connection else { continue };
            let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            tokio::spawn(requests.for_each_concurrent(None, |answer| answer));
        }
    });
    Ok(())
}
