//! Followers: each node exchanges state with the leader of its failure domain.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::request_quarantine::RequestCrashReport;
use savoryport_core::node::server_limit::LimitReport;
use savoryport_core::node::stream_origins::{OriginReport, OriginSource};
use savoryport_core::node::team_quota::{Recipient, Reporter, TeamUseReport};
use tokio::sync::watch;

use super::config_age::{confirm_config_of_peer, has_teams, trusted_era};
use super::context::NodeContext;
use super::peer_server::{domain_in_flight, record_prompts};
use super::quarantine::{crash_exchange, expire_crashes, merge_crashes};
use super::request_quarantine::{
    expire_request_crashes, merge_request_crashes, request_crashes_since, swap_with_another_domain,
};
use super::rpc::{NO_SERVERS_WANTED, PeerError, Role, SyncPosition, SyncReply, SyncRequest};
use super::server_limits::{limits_since, merge_limits};
use super::store_reader::{accept_config, expire_servers};
use super::stream_origins::{MIXED_SYNC_PERIOD, confirm_servers, origins_since, versions_mix};
use super::team_quota::{record_team_use, team_use_report, update_quotas};
use super::view::{AcceptedConfig, DomainLeader};

/// Timeout for one call to the leader of this failure domain.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(300);

/// The time that a call to the leader which returns all servers has in addition, for each node of
/// the failure domain: at the start all followers ask for them at once.
const FULL_REPLY_TIME_PER_NODE: Duration = Duration::from_millis(20);

/// The number of followers that may ask for all servers at the same time.
const MAX_FULL_REPLIES_AT_ONCE: u32 = 12;

/// Timeout for fetching a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval at which the routing state of servers that are gone is removed.
const CLEANUP_PERIOD: Duration = Duration::from_secs(5);

/// A leader that has not answered for this long, and for [`LOST_AFTER_PER_NODE`] for each node of the
/// failure domain, counts as lost. Its followers then read the store, which many nodes should not do
/// for a short pause. Until then they do not learn of servers that leave.
const LOST_AFTER: Duration = Duration::from_millis(600);

/// The part of that time for each node.
const LOST_AFTER_PER_NODE: Duration = Duration::from_millis(12);

/// The share of the sync period for each node of the failure domain, where requests are in flight.
const PERIOD_PER_NODE: Duration = Duration::from_micros(1_200);

/// That share for a node without requests in flight.
const IDLE_PERIOD_PER_NODE: Duration = Duration::from_micros(6_000);

/// The longest sync period, well below the time after which a silent follower is forgotten.
const MAX_SYNC_PERIOD: Duration = Duration::from_millis(300);

/// The state of a follower's syncs with its leader.
#[derive(Debug, Default)]
struct Following {
    leader: Option<DomainLeader>,
    have: SyncPosition,
    /// Whether the leader's servers up to that position were applied.
    has_servers: bool,
    /// The servers known when this node began to read the store itself, after a pause of the
    /// leader.
    known_before: Option<HashSet<Name>>,
    /// Before this time, the node does not ask for all servers.
    full_reply_after: Option<Instant>,
    /// The digest of the crashes that the leader knew of.
    crash_digest: Option<u64>,
    /// The revision up to which the leader knows what this node learned of limits.
    sent_limits: u64,
    /// The revision up to which the leader knows this node's crashes with the requests that were at
    /// them.
    sent_request_crashes: u64,
    /// The revision up to which the leader knows this node's use of teams' quotas.
    sent_team_use: u64,
    /// The revision of the leader's totals of that use that this node has.
    have_team_use: u64,
    /// The revision up to which the leader knows the streams that this node began.
    sent_origins: u64,
    /// Since when calls have failed.
    failing_since: Option<Instant>,
    /// Whether the leader counts as lost.
    is_lost: bool,
    /// Whether a newer configuration is being fetched.
    fetching: Arc<AtomicBool>,
}

impl Following {
    /// Notes the servers that are known before this node reads the store itself.
    fn start_reading(&mut self, cx: &NodeContext) {
        let known = || cx.fleet.read(|state| state.registry.servers().keys().cloned().collect());
        self.known_before.get_or_insert_with(known);
    }

    /// Advances to the position of a reply, of which the servers may not have been applied.
    fn advance(&mut self, cx: &NodeContext, position: SyncPosition, applied_servers: bool) {
        let former = std::mem::replace(&mut self.have, position);
        if former.tenure != position.tenure {
            self.sent_limits = 0;
            self.sent_request_crashes = 0;
            self.sent_team_use = 0;
            self.sent_origins = 0;
        }
        if applied_servers {
            self.has_servers = true;
            return;
        }
        // The servers since the last reply that was applied are still to come.
        self.have.servers = former.servers;
        self.has_servers &= former.tenure == position.tenure;
        self.full_reply_after.get_or_insert_with(|| cx.now() + full_reply_delay(cx));
    }

    /// Returns whether the node still waits before it asks for all servers.
    fn delays_full_reply(&self, now: Instant) -> bool {
        !self.has_servers && self.full_reply_after.is_some_and(|at| now < at)
    }
}

/// What this node has learned since its last call, to be sent to the leader.
struct OwnNews {
    limits: Vec<LimitReport>,
    request_crashes: Vec<RequestCrashReport>,
    team_use: Option<TeamUseReport>,
    origins: Vec<OriginReport>,
}

/// Follows the leader of this node's failure domain. `read_store` tells the store reader whether
/// this node has to read the store itself.
pub async fn follow(cx: Arc<NodeContext>, read_store: watch::Sender<bool>) {
    let mut following = Following::default();
    let mut cleaned_at = cx.now();
    loop {
        let applies_servers = !*read_store.borrow();
        let must_read_store = follow_once(&cx, &mut following, applies_servers).await;
        cx.fleet.update(|state| {
            state.expire_members(cx.now());
            expire_servers(state, cx.now());
        });
        update_quotas(&cx);
        if cx.now() - cleaned_at >= CLEANUP_PERIOD {
            cleaned_at = cx.now();
            let view = cx.fleet.view();
            let services = view.servers.values();
            let services =
                services.map(|server| (server.id.clone(), server.service.clone())).collect();
            let mut routing = cx.routing.lock();
            routing.retain_servers(|server| view.servers.contains_key(server));
            routing.health.set_services(services, cx.now());
            routing.returns.expire(cx.now());
            drop(routing);
            expire_crashes(&cx);
            expire_request_crashes(&cx);
        }
        read_store
            .send_if_modified(|reads| std::mem::replace(reads, must_read_store) != must_read_store);
        tokio::select! {
            () = tokio::time::sleep(sync_period(&cx)) => {}
            () = cx.crash_seen.notified() => {}
        }
    }
}

/// Returns the interval between two syncs. The more nodes a domain has, the less often each one
/// calls the leader, whose link and processor are those of a small VM.
fn sync_period(cx: &NodeContext) -> Duration {
    let is_idle = cx.routing.lock().loads.own().is_empty();
    let per_node = if is_idle { IDLE_PERIOD_PER_NODE } else { PERIOD_PER_NODE };
    let shortest = Duration::from_millis(cx.settings.sync_period_ms);
    let longest = if versions_mix(cx) { MIXED_SYNC_PERIOD } else { MAX_SYNC_PERIOD };
    (per_node * nodes_in_domain(cx)).min(longest).max(shortest)
}

fn nodes_in_domain(cx: &NodeContext) -> u32 {
    cx.fleet.read(|state| state.domain_members(&cx.settings.failure_domain).len() as u32)
}

/// Calls the leader once, unless this node is a leader itself; returns whether this node has to
/// read the store.
async fn follow_once(
    cx: &Arc<NodeContext>,
    following: &mut Following,
    applies_servers: bool,
) -> bool {
    let domain = &cx.settings.failure_domain;
    let own = &cx.settings.vm;
    // A leader reads the store for its followers, even if it leads only another failure domain.
    if cx.controllers.leads_any() {
        share_own_state(cx);
        return true;
    }
    let leader = cx.fleet.read(|state| state.leader(domain).cloned());
    let Some(leader) = leader.filter(|leader| leader.vm != *own) else {
        swap_with_another_domain(cx);
        return true;
    };
    if following.leader.as_ref() != Some(&leader) {
        *following = Following { leader: Some(leader.clone()), ..Following::default() };
        cx.is_leader_lost.store(false, Ordering::Relaxed);
    }
    let (called_at, asked_at) = (cx.now(), cx.lease_clock.now());
    let (revision, limits) = limits_since(cx, following.sent_limits);
    let (crashes_revision, request_crashes) =
        request_crashes_since(cx, following.sent_request_crashes);
    let have_team_use = following.have_team_use;
    let team_use =
        team_use_report(cx, Recipient::OwnLeader, following.sent_team_use, have_team_use);
    let team_use_revision = team_use.as_ref().map_or(0, |report| report.revision);
    let (origins_revision, origins) = origins_since(cx, following.sent_origins, OriginSource::Own);
    let news = OwnNews { limits, request_crashes, team_use, origins };
    match call_leader(cx, following, &leader, applies_servers, news).await {
        Ok(reply) => {
            following.sent_limits = revision;
            following.sent_request_crashes = crashes_revision;
            following.sent_team_use = team_use_revision;
            following.sent_origins = origins_revision;
            following.have_team_use = reply.team_use.as_ref().map_or(0, |report| report.revision);
            let reporter = Reporter::OwnLeader(leader.vm.clone());
            record_team_use(cx, &reporter, reply.team_use.as_ref(), asked_at);
            if following.is_lost {
                log::info!(holder = &*leader.vm; "holder regained");
            }
            (following.failing_since, following.is_lost) = (None, false);
            cx.is_leader_lost.store(false, Ordering::Relaxed);
            fetch_config(cx, &leader, &following.fetching, reply.position.config);
            confirm_config_of_peer(cx, reply.position.config, reply.config_age, asked_at);
            offer_config(cx, &leader, &following.fetching, reply.position.config);
            apply_reply(cx, following, reply, (applies_servers, called_at))
        }
        Err(err) => {
            let now = cx.now();
            let since = *following.failing_since.get_or_insert(called_at);
            let lost_after = LOST_AFTER + LOST_AFTER_PER_NODE * nodes_in_domain(cx);
            if now - since >= lost_after && !std::mem::replace(&mut following.is_lost, true) {
                log::warn!(holder = &*leader.vm, err:% = err; "holder lost");
                following.start_reading(cx);
            }
            cx.is_leader_lost.store(following.is_lost, Ordering::Relaxed);
            cx.peers.remove(leader.peers);
            if following.is_lost {
                swap_with_another_domain(cx);
            }
            following.is_lost || !applies_servers
        }
    }
}

async fn call_leader(
    cx: &NodeContext,
    following: &Following,
    leader: &DomainLeader,
    applies_servers: bool,
    news: OwnNews,
) -> Result<SyncReply, PeerError> {
    let mut req = follower_request(cx, following, news);
    let mut call_timeout = FOLLOW_TIMEOUT;
    if !applies_servers {
        req.have.servers = NO_SERVERS_WANTED;
    } else if !following.has_servers {
        // Tenure 0 asks for a full reply.
        req.have.tenure = 0;
        call_timeout += FULL_REPLY_TIME_PER_NODE * nodes_in_domain(cx);
    }
    let exchange = async {
        let connection = cx.peers.get_or_connect(leader.peers).await?;
        connection.sync(req, call_timeout).await
    };
    let timed_out = || PeerError { address: leader.peers, problem: "call timed out".to_owned() };
    tokio::time::timeout(call_timeout, exchange).await.unwrap_or_else(|_| Err(timed_out()))
}

fn follower_request(cx: &NodeContext, following: &Following, news: OwnNews) -> SyncRequest {
    let crashes = crash_exchange(cx, following.crash_digest);
    let member = cx.fleet.read(|state| state.own().clone());
    let mut routing = cx.routing.lock();
    SyncRequest {
        member,
        role: Role::Follower,
        is_leaving: cx.stopping.is_cancelled(),
        have: SyncPosition { config: cx.fleet.view().version(), ..following.have },
        trusted_era: trusted_era(cx),
        loads: routing.loads.own().iter().map(|(server, load)| (server.clone(), *load)).collect(),
        work_ms: routing.work_ms.drain().collect(),
        demand: Vec::new(),
        copies: routing.copies_in_use(),
        prompts: std::mem::take(&mut routing.new_prompts),
        crashes,
        limits: news.limits,
        request_crashes: news.request_crashes,
        team_use: news.team_use,
        origins: news.origins,
    }
}

fn apply_reply(
    cx: &NodeContext,
    following: &mut Following,
    reply: SyncReply,
    (applies_servers, called_at): (bool, Instant),
) -> bool {
    let now = cx.now();
    // A node that cannot reach the store, or has just started, may know less than this one.
    let applies_servers = applies_servers && reply.is_holder;
    let known_before = following.known_before.take_if(|_| applies_servers);
    cx.routing.lock().set_other_loads(reply.loads.iter().cloned().collect(), now);
    cx.entry_subset().record_domain_in_flight(reply.domain_in_flight as usize, now);
    record_prompts(cx, &reply.prompts, now);
    following.crash_digest = Some(merge_crashes(cx, &reply.crashes));
    merge_limits(cx, &reply.limits);
    merge_request_crashes(cx, &reply.request_crashes);
    cx.fleet.update(|state| {
        if applies_servers {
            state.apply_servers(&reply);
            if let Some(known_before) = known_before {
                // Servers that this node read from the store meanwhile are kept only if the leader
                // reports them too: it reports no removal of a server that it has never seen.
                state.retain_servers(|id| {
                    known_before.contains(id) || reply.servers.iter().any(|server| server.id == *id)
                });
            }
        }
        state.confirm_members(None, now);
        if let Some((members, leaders)) = &reply.members {
            state.set_members(members.clone(), now);
            if applies_servers {
                for (domain, leader) in leaders {
                    state.set_leader(domain, Some(leader.clone()));
                }
            }
        }
    });
    if applies_servers {
        confirm_servers(cx, called_at);
    }
    following.advance(cx, reply.position, applies_servers);
    let nodes = cx.fleet.view().members.len();
    cx.routing.lock().retry_budget.set_nodes(nodes);
    let must_read_store = !reply.is_holder || following.delays_full_reply(now);
    if must_read_store {
        following.start_reading(cx);
    }
    must_read_store
}

/// Returns how long this node waits before it asks its leader for all servers, so that the followers
/// of a large domain do not all ask at once. Until then it reads the store.
fn full_reply_delay(cx: &NodeContext) -> Duration {
    let nodes = nodes_in_domain(cx);
    if nodes <= MAX_FULL_REPLIES_AT_ONCE {
        return Duration::ZERO;
    }
    (FULL_REPLY_TIME_PER_NODE * nodes).mul_f64(cx.random_unit())
}

/// Adds this leader's own work and prompts to the collected reports, and copies the loads of all
/// other nodes to its routing state.
fn share_own_state(cx: &NodeContext) {
    let now = cx.now();
    let (work_ms, prompts) = {
        let mut routing = cx.routing.lock();
        let work_ms: Vec<(Name, f64)> = routing.work_ms.drain().collect();
        (work_ms, std::mem::take(&mut routing.new_prompts))
    };
    cx.peer_reports.add_own(&cx.settings.vm, &work_ms, &prompts, now);
    let others = cx.peer_reports.other_loads(None, true, now);
    cx.entry_subset().record_domain_in_flight(domain_in_flight(cx, now) as usize, now);
    let nodes = cx.fleet.view().members.len();
    let mut routing = cx.routing.lock();
    routing.set_other_loads(others, now);
    routing.retry_budget.set_nodes(nodes);
}

/// Fetches a newer configuration from another node in a task of its own: a configuration with many
/// routes takes longer than the exchange of other state may be delayed.
pub(super) fn fetch_config(
    cx: &Arc<NodeContext>,
    leader: &DomainLeader,
    fetching: &Arc<AtomicBool>,
    offered_version: u64,
) {
    if offered_version <= cx.fleet.view().version() || fetching.swap(true, Ordering::Relaxed) {
        return;
    }
    let (cx, address, fetching) = (cx.clone(), leader.peers, fetching.clone());
    tokio::spawn(async move {
        if let Err(err) = try_fetch_config(&cx, address).await {
            log::warn!(err:% = err; "cannot fetch the config");
        }
        fetching.store(false, Ordering::Relaxed);
    });
}

/// Sends the configuration in force to a leader that has an older one with keys that may have been
/// withdrawn. That is so after the leader restarted and read a restored copy of the store.
fn offer_config(
    cx: &Arc<NodeContext>,
    leader: &DomainLeader,
    fetching: &Arc<AtomicBool>,
    their_version: u64,
) {
    let is_wanted = has_teams(cx) && their_version < cx.fleet.view().version();
    if !is_wanted || fetching.swap(true, Ordering::Relaxed) {
        return;
    }
    let (cx, address, fetching) = (cx.clone(), leader.peers, fetching.clone());
    tokio::spawn(async move {
        if let Err(err) = try_offer_config(&cx, address).await {
            log::warn!(err:% = err; "cannot send the config to the holder");
        }
        fetching.store(false, Ordering::Relaxed);
    });
}

async fn try_offer_config(cx: &NodeContext, address: SocketAddr) -> Result<(), PeerError> {
    let Some(packed) = cx.fleet.view().config.as_ref().map(|config| config.packed().to_vec())
    else {
        return Ok(());
    };
    let connection = cx.peers.get_or_connect(address).await?;
    connection.offer_config(packed, CONFIG_TIMEOUT).await
}

async fn try_fetch_config(cx: &NodeContext, address: SocketAddr) -> Result<(), PeerError> {
    let failed = |problem: String| PeerError { address, problem };
    let connection = cx.peers.get_or_connect(address).await?;
    let have = cx.fleet.view().version();
    let Some(packed) = connection.config(have, CONFIG_TIMEOUT).await? else { return Ok(()) };
    let raw = AcceptedConfig::unpack(&packed).map_err(|err| failed(err.to_string()))?;
    cx.fleet.update(|state| accept_config(state, &raw, "node"));
    Ok(())
}
