//! Leaders: each leader exchanges state with the leaders of the other failure domains.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::node::load::ServerLoad;
use savoryport_core::node::stream_origins::OriginSource;
use savoryport_core::node::team_quota::{Recipient, Reporter};

use super::config_age::{confirm_config_of_peer, trusted_era};
use super::context::NodeContext;
use super::peer_server::{add_loads, record_prompts};
use super::quarantine::{crash_exchange, merge_crashes};
use super::request_quarantine::{merge_request_crashes, request_crashes_since};
use super::rpc::{Role, SyncPosition, SyncRequest};
use super::server_limits::{limits_since, merge_limits};
use super::stream_origins::origins_since;
use super::sync::fetch_config;
use super::team_quota::{record_team_use, team_use_report};
use super::view::DomainLeader;

/// Timeout for one call to the leader of another failure domain, which may be in another region.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// What the leader of another failure domain last said of its state.
#[derive(Debug, Clone, Copy, Default)]
struct Position {
    sync: SyncPosition,
    /// The digest of the crashes that it knew of.
    crash_digest: Option<u64>,
    /// The revision up to which it knows what this node learned of limits.
    sent_limits: u64,
    /// The revision up to which it knows this node's crashes with the requests that were at them.
    sent_request_crashes: u64,
    /// The revision up to which it knows the use of teams' quotas in this failure domain.
    sent_team_use: u64,
    /// The revision of its totals of that use that this node has.
    have_team_use: u64,
    /// The revision up to which it knows the streams that began in this failure domain.
    sent_origins: u64,
}

/// Exchanges loads and changes with the leaders of other failure domains while this node leads one.
pub async fn exchange(cx: Arc<NodeContext>) {
    let mut positions: HashMap<Name, Position> = HashMap::new();
    loop {
        tokio::time::sleep(exchange_period(&cx)).await;
        if !cx.controllers.leads_any() {
            positions.clear();
            continue;
        }
        let leaders = cx.fleet.read(|state| state.leaders().clone());
        let others = leaders.into_iter().filter(|(domain, leader)| {
            leader.vm != cx.settings.vm && *domain != cx.settings.failure_domain
        });
        let calls = others.map(|(domain, leader)| {
            let have = positions.get(&domain).copied().unwrap_or_default();
            let cx = cx.clone();
            async move {
                let position = exchange_with(&cx, &domain, &leader, have).await;
                (domain, position)
            }
        });
        for (domain, position) in futures::future::join_all(calls).await {
            positions.insert(domain, position.unwrap_or_default());
        }
    }
}

/// Returns the interval between two exchanges. Their messages grow with the fleet, so that a large
/// one exchanges them less often.
fn exchange_period(cx: &NodeContext) -> Duration {
    /// The share of the interval for each node.
    const PERIOD_PER_NODE: Duration = Duration::from_micros(500);
    let nodes = cx.fleet.view().members.len() as u32;
    Duration::from_millis(cx.settings.exchange_period_ms).max(PERIOD_PER_NODE * nodes)
}

async fn exchange_with(
    cx: &Arc<NodeContext>,
    domain: &Name,
    leader: &DomainLeader,
    have: Position,
) -> Option<Position> {
    let (now, asked_at) = (cx.now(), cx.lease_clock.now());
    let mut loads: HashMap<Name, ServerLoad> = cx.peer_reports.other_loads(None, false, now);
    add_loads(&mut loads, cx.routing.lock().loads.own());
    let (revision, limits) = limits_since(cx, have.sent_limits);
    let (crashes_revision, request_crashes) = request_crashes_since(cx, have.sent_request_crashes);
    let (origins_revision, origins) = origins_since(cx, have.sent_origins, OriginSource::Follower);
    let team_use =
        team_use_report(cx, Recipient::OtherLeader, have.sent_team_use, have.have_team_use);
    let team_use_revision = team_use.as_ref().map_or(0, |report| report.revision);
    let req = SyncRequest {
        member: cx.member.clone(),
        role: Role::Holder,
        is_leaving: false,
        have: SyncPosition { config: cx.fleet.view().version(), ..have.sync },
        trusted_era: trusted_era(cx),
        loads: loads.into_iter().collect(),
        work_ms: Vec::new(),
        demand: if cx.settings.is_in_own_region(domain) {
            cx.controllers.demand(cx)
        } else {
            Vec::new()
        },
        copies: cx.copies_in_domain(domain),
        prompts: Vec::new(),
        crashes: crash_exchange(cx, have.crash_digest),
        limits,
        request_crashes,
        team_use,
        origins,
    };
    let exchange = async {
        let connection = cx.peers.get_or_connect(leader.peers).await?;
        connection.sync(req, EXCHANGE_TIMEOUT).await
    };
    let reply = match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => {
            cx.peers.remove(leader.peers);
            cx.fleet.update(|state| state.clear_residency(domain));
            return None;
        }
    };
    fetch_config(cx, leader, &Arc::default(), reply.position.config);
    confirm_config_of_peer(cx, reply.position.config, reply.config_age, asked_at);
    let reporter = Reporter::OtherLeader(leader.vm.clone());
    record_team_use(cx, &reporter, reply.team_use.as_ref(), asked_at);
    cx.peer_reports.record_domain_loads(domain, reply.loads.clone(), cx.now());
    cx.peer_reports.add_domain_prompts(&reply.prompts);
    record_prompts(cx, &reply.prompts, cx.now());
    cx.fleet.update(|state| {
        for server in reply.servers.iter().filter(|server| server.failure_domain == *domain) {
            let residency = super::fleet::Residency {
                incarnation: server.incarnation,
                models: server.models.clone(),
                is_busy: server.is_busy,
            };
            state.set_residency(&server.id, residency);
        }
        state.confirm_members(Some(domain), cx.now());
        if let Some((members, _)) = &reply.members {
            state.set_domain_members(domain, members.clone(), cx.now());
        }
    });
    let crash_digest = Some(merge_crashes(cx, &reply.crashes));
    merge_limits(cx, &reply.limits);
    merge_request_crashes(cx, &reply.request_crashes);
    let is_same_tenure = have.sync.tenure == reply.position.tenure;
    let sent_limits = if is_same_tenure { revision } else { 0 };
    let sent_request_crashes = if is_same_tenure { crashes_revision } else { 0 };
    let sent_team_use = if is_same_tenure { team_use_revision } else { 0 };
    let sent_origins = if is_same_tenure { origins_revision } else { 0 };
    let have_team_use = reply.team_use.as_ref().map_or(0, |report| report.revision);
    Some(Position {
        sync: reply.position,
        crash_digest,
        sent_limits,
        sent_request_crashes,
        sent_team_use,
        have_team_use,
        sent_origins,
    })
}
