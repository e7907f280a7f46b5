//! The server side of the calls between nodes, and the reports that other nodes make in them.
//!
//! A leader collects the reports of the followers in its failure domain and of the leaders of other
//! domains, and passes the sums on to both.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures::StreamExt;
use savoryport_core::Name;
use savoryport_core::node::load::ServerLoad;
use savoryport_core::node::request_quarantine::RequestCrashReport;
use savoryport_core::node::server_limit::{LimitReport, Permit, PermitUse};
use savoryport_core::node::stream_origins::{OriginReport, OriginSource};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

use super::NodeError;
use super::config_age::{config_age_report, record_caller};
use super::context::NodeContext;
use super::message_stream::MessageStream;
use super::prompt_log::PromptLog;
use super::quarantine::{crash_exchange, merge_crashes};
use super::request_quarantine::{merge_request_crashes, request_crashes_since};
use super::rpc::{
    Availability, CopyUse, MAX_MESSAGE_BYTES, Peer, PromptRecord, Role, SyncPosition, SyncReply,
    SyncRequest,
};
use super::server_limits::{decide_permit, limits_since, merge_limits};
use super::store_reader::accept_config;
use super::stream_origins::{self, merge_origins};
use super::team_quota::answer_team_use;
use super::view::AcceptedConfig;
use crate::connection_limit::{ConnectionLimits, Connections};

/// The time in which a message of another node must be complete. Calls end earlier.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(4);

/// The time after which a connection is closed whose other side reads nothing.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The delay after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a report of another node is used.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);

/// Loads by server.
type Loads = HashMap<Name, ServerLoad>;

/// The latest reports of other nodes.
#[derive(Debug, Default)]
pub struct PeerReports(Mutex<ReportState>);

#[derive(Debug, Default)]
struct ReportState {
    followers: HashMap<Name, NodeReport>,
    domains: HashMap<Name, NodeReport>,
    work_ms: HashMap<Name, f64>,
    prompts: PromptLog,
}

#[derive(Debug)]
struct NodeReport {
    loads: Loads,
    copies: Vec<CopyUse>,
    demand: HashMap<Name, f64>,
    received_at: Instant,
}

impl NodeReport {
    fn new(received_at: Instant) -> Self {
        Self { loads: Loads::new(), copies: Vec::new(), demand: HashMap::new(), received_at }
    }
}

impl PeerReports {
    fn lock(&self) -> MutexGuard<'_, ReportState> {
        self.0.lock().expect("no thread panics while holding the lock")
    }

    /// Stores the report of a follower.
    fn record_follower(&self, req: &SyncRequest, now: Instant) {
        let mut state = self.lock();
        let vm = &req.member.vm;
        if req.is_leaving {
            state.followers.remove(vm);
        } else {
            let loads = req.loads.iter().cloned().collect();
            let report = NodeReport { loads, copies: req.copies.clone(), ..NodeReport::new(now) };
            state.followers.insert(vm.clone(), report);
        }
        state.add_work(&req.work_ms);
        state.prompts.add_local(vm, &req.prompts, now);
    }

    /// Stores the summed loads of another failure domain.
    pub fn record_domain_loads(&self, domain: &Name, loads: Vec<(Name, ServerLoad)>, now: Instant) {
        let mut state = self.lock();
        let report = state.domains.entry(domain.clone()).or_insert_with(|| NodeReport::new(now));
        report.loads = loads.into_iter().collect();
        report.received_at = now;
    }

    /// Stores the demand of another failure domain, and the copies at this domain's servers that it
    /// uses.
    fn record_domain_demand(&self, req: &SyncRequest, now: Instant) {
        let mut state = self.lock();
        let domain = req.member.failure_domain.clone();
        let report = state.domains.entry(domain).or_insert_with(|| NodeReport::new(now));
        report.copies.clone_from(&req.copies);
        report.demand = req.demand.iter().cloned().collect();
    }

    /// Returns the demand of another failure domain, or nothing if its last report is too old.
    pub fn demand_of(&self, domain: &str, now: Instant) -> HashMap<Name, f64> {
        let state = self.lock();
        let report = state.domains.get(domain);
        let fresh = report
            .filter(|report| now.saturating_duration_since(report.received_at) < REPORT_LIFETIME);
        fresh.map(|report| report.demand.clone()).unwrap_or_default()
    }

    /// Adds this node's own work and prompts.
    pub fn add_own(
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

    /// Adds prompts of another failure domain, to be passed on to the followers.
    pub fn add_domain_prompts(&self, prompts: &[PromptRecord]) {
        self.lock().prompts.add_remote(prompts);
    }

    /// Returns the work by model that arrived since the last call, in milliseconds.
    pub fn take_work(&self) -> HashMap<Name, f64> {
        std::mem::take(&mut self.lock().work_ms)
    }

    /// Returns the copies that followers use.
    pub fn follower_copies(&self) -> Vec<CopyUse> {
        let state = self.lock();
        state.followers.values().flat_map(|report| report.copies.iter().cloned()).collect()
    }

    /// Returns the copies that followers and other failure domains use.
    pub fn copies_in_use(&self) -> Vec<CopyUse> {
        let state = self.lock();
        let reports = state.followers.values().chain(state.domains.values());
        reports.flat_map(|report| report.copies.iter().cloned()).collect()
    }

    /// Returns the number of requests in flight at the followers.
    fn follower_requests(&self, now: Instant) -> u32 {
        let state = self.lock();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REPORT_LIFETIME;
        let fresh = state.followers.values().filter(|report| is_fresh(report.received_at));
        fresh.flat_map(|report| report.loads.values()).map(|load| load.running).sum()
    }

    /// Returns the summed loads of the followers other than `vm` and, if `with_domains` is set, of
    /// the other failure domains.
    pub fn other_loads(&self, vm: Option<&str>, with_domains: bool, now: Instant) -> Loads {
        let mut state = self.lock();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REPORT_LIFETIME;
        state.followers.retain(|_, report| is_fresh(report.received_at));
        let mut total = Loads::new();
        for (name, report) in &state.followers {
            if Some(&**name) != vm {
                add_loads(&mut total, &report.loads);
            }
        }
        for report in
            state.domains.values().filter(|report| with_domains && is_fresh(report.received_at))
        {
            add_loads(&mut total, &report.loads);
        }
        total
    }
}

impl ReportState {
    fn add_work(&mut self, work_ms: &[(Name, f64)]) {
        for (model, ms) in work_ms {
            *self.work_ms.entry(model.clone()).or_default() += ms;
        }
    }
}

/// Adds loads by server to a total.
pub fn add_loads(total: &mut Loads, loads: &Loads) {
    for (server, load) in loads {
        total.entry(server.clone()).or_default().add(load);
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
                cx.peer_reports.record_follower(&req, now);
                record_prompts(cx, &req.prompts, now);
                cx.peer_reports.other_loads(Some(&req.member.vm), true, now)
            }
            Role::Holder => {
                let loads = req.loads.clone();
                let asking_domain = &req.member.failure_domain;
                cx.peer_reports.record_domain_loads(asking_domain, loads, now);
                cx.peer_reports.record_domain_demand(&req, now);
                cx.peer_reports.other_loads(None, false, now)
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
        record_caller(cx, req.have.config, req.trusted_era);
        let their_digest = merge_crashes(cx, &req.crashes);
        merge_limits(cx, &req.limits);
        let known_limits = if req.have.tenure == cx.tenure { req.have.limits } else { 0 };
        let (limits_revision, limits) = limits_since(cx, known_limits);
        merge_request_crashes(cx, &req.request_crashes);
        let source = match req.role {
            Role::Follower => OriginSource::Follower,
            Role::Holder => OriginSource::Elsewhere,
        };
        merge_origins(cx, &req.origins, source);
        let known_crashes = if req.have.tenure == cx.tenure { req.have.request_crashes } else { 0 };
        let (crashes_revision, request_crashes) = request_crashes_since(cx, known_crashes);
        let team_use = answer_team_use(cx, &req);
        let mut reply = SyncReply {
            position: SyncPosition::default(),
            is_holder: cx.controllers.leads(&cx.settings.failure_domain)
                && cx.store_health.is_available(now),
            is_full: false,
            servers: Vec::new(),
            removed: Vec::new(),
            members: None,
            // Before the version below, which may only be newer then.
            config_age: config_age_report(cx),
            loads: loads.into_iter().collect(),
            domain_in_flight: domain_in_flight(cx, now),
            prompts,
            crashes: crash_exchange(cx, Some(their_digest)),
            limits,
            request_crashes,
            team_use,
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
        cx.fleet.read(|state| state.fill_reply(req.have, cx.tenure, domain, &mut reply));
        reply.position.prompts = prompt_count;
        reply.position.limits = limits_revision;
        reply.position.request_crashes = crashes_revision;
        reply
    }

    async fn config(self, _: Context, have: u64) -> Option<Vec<u8>> {
        let view = self.cx.fleet.view();
        let config = view.config.as_ref().filter(|config| config.deployment.version > have)?;
        Some(config.packed().to_vec())
    }

    async fn offer_config(self, _: Context, packed: Vec<u8>) {
        match AcceptedConfig::unpack(&packed) {
            Ok(raw) => self.cx.fleet.update(|state| accept_config(state, &raw, "follower")),
            Err(err) => log::warn!(err:% = err; "cannot unpack the config of a follower"),
        }
    }

    async fn want_adapter(
        self,
        _: Context,
        server: Name,
        model: Name,
        adapter: Name,
    ) -> Availability {
        self.cx.controllers.ensure_adapter(&self.cx, &server, &model, &adapter).await
    }

    async fn want_model(self, _: Context, service: Name, model: Name) -> Availability {
        let domain = &self.cx.settings.failure_domain;
        self.cx.controllers.request_model(&self.cx, &service, &model, domain)
    }

    async fn want_permit(
        self,
        _: Context,
        report: LimitReport,
        usage: PermitUse,
    ) -> Option<Permit> {
        decide_permit(&self.cx, &report, usage)
    }

    async fn swap_request_crashes(
        self,
        _: Context,
        reports: Vec<RequestCrashReport>,
    ) -> Vec<RequestCrashReport> {
        merge_request_crashes(&self.cx, &reports);
        request_crashes_since(&self.cx, 0).1
    }

    async fn find_streams(self, _: Context, streams: Vec<u64>) -> Vec<OriginReport> {
        stream_origins::find_streams(&self.cx, &streams)
    }
}

/// Returns the number of requests in flight at this node and its followers.
pub fn domain_in_flight(cx: &NodeContext, now: Instant) -> u32 {
    let own: u32 = cx.routing.lock().loads.own().values().map(|load| load.running).sum();
    own.saturating_add(cx.peer_reports.follower_requests(now))
}

/// Records in the prefix index the prompts that other nodes sent to servers.
pub fn record_prompts(cx: &NodeContext, prompts: &[PromptRecord], now: Instant) {
    let view = cx.fleet.view();
    let Some(deployment) = view.deployment() else { return };
    let mut routing = cx.routing.lock();
    for PromptRecord { server, incarnation, keys } in prompts {
        let class = view
            .servers
            .get(server)
            .and_then(|known| deployment.services.get(&known.service)?.engine.as_ref());
        if let Some(class) = class {
            routing.prefixes.record(server, *incarnation, keys, class.cache_tokens, now);
        }
    }
}

/// Starts the server for calls of other nodes.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
pub async fn start(cx: &Arc<NodeContext>) -> Result<(), NodeError> {
    let address = cx.settings.peers_listen();
    let listener = super::callers::listen(address).await?;
    let server = PeerServer { cx: cx.clone() };
    let limits = ConnectionLimits {
        listener: "peers",
        connections: cx.settings.max_other_connections(),
        // A message of the largest size beside those of the other nodes.
        head_bytes: MAX_MESSAGE_BYTES * 2,
        unread: UNREAD_TIMEOUT,
    };
    let connections = Connections::new(limits, cx.metrics.closed_connections.clone());
    tokio::spawn(watch(connections.clone()));
    tokio::spawn(async move {
        loop {
            let (stream, address) = match listener.accept().await {
                Ok((stream, address)) => (stream, address.ip()),
                Err(err) => {
                    log::warn!(err:% = err; "cannot accept a connection of a node");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Some(stream) = connections.admit(stream, address).await else { continue };
            let handle = stream.handle();
            let framed = LengthDelimitedCodec::builder()
                .max_frame_length(MAX_MESSAGE_BYTES)
                .new_framed(MessageStream::new(stream));
            let transport = tarpc::serde_transport::new(framed, Bincode::default());
            let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            let serving = requests.for_each_concurrent(None, |response| response);
            tokio::spawn(async move { handle.closed.run_until_cancelled(serving).await });
        }
    });
    Ok(())
}

/// Closes the connections of nodes whose messages stay incomplete.
async fn watch(connections: Connections) {
    loop {
        tokio::time::sleep(MESSAGE_TIMEOUT / 4).await;
        connections.close_overdue(MESSAGE_TIMEOUT);
    }
}
