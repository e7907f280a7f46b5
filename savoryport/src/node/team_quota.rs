//! Charges requests to the quotas of their teams, and exchanges the use of teams with other nodes.
//!
//! `savoryport_core::node::team_quota` decides whether a request is within its team's quota.

use std::collections::HashSet;
use std::sync::{Arc, MutexGuard};
use std::time::Instant;

use savoryport_core::Name;
use savoryport_core::node::deployment::Deployment;
use savoryport_core::node::request::Generation;
use savoryport_core::node::team::{Team, TeamDirectory};
use savoryport_core::node::team_quota::{
    Recipient, Reporter, TeamQuotas, TeamState, TeamUseReport,
};
use serde_json::{Value, json};

use super::context::NodeContext;
use super::metrics::{TeamCauseLabels, TeamLabels};
use super::response::{Refusal, RefusalCause};
use super::rpc::{Role, SyncRequest};

/// The quotas of teams, with the version of the configuration that their limits are from. All times
/// are those of [`NodeContext::lease_clock`]: reports grow old also while the VM is suspended.
#[derive(Debug)]
pub struct NodeQuotas {
    quotas: TeamQuotas,
    version: u64,
    /// Whether the configuration in force names any team.
    has_teams: bool,
    /// The teams that have metrics of their own.
    metric_teams: HashSet<Name>,
}

/// The number of teams that have metrics of their own, the first ones by name.
const MAX_METRIC_TEAMS: usize = 64;

/// The label of all other teams.
const OTHER_TEAMS: &str = "other";

impl NodeQuotas {
    /// Creates the state of a node that has just started.
    pub fn new(tenure: u64, now: Instant) -> Self {
        Self {
            quotas: TeamQuotas::new(tenure, now),
            version: 0,
            has_teams: false,
            metric_teams: HashSet::new(),
        }
    }

    fn apply(&mut self, deployment: &Deployment, now: Instant) {
        if deployment.version > self.version {
            self.version = deployment.version;
            self.quotas.apply_limits(deployment.teams.as_ref(), now);
            self.has_teams = self.quotas.has_teams();
            let teams = deployment.teams.iter().flat_map(TeamDirectory::teams);
            self.metric_teams =
                teams.take(MAX_METRIC_TEAMS).map(|team| team.name.clone()).collect();
        }
    }

    fn metric_label(&self, team: &str) -> String {
        let is_named = self.metric_teams.contains(team);
        if is_named { team.to_owned() } else { OTHER_TEAMS.to_owned() }
    }
}

/// What a request used of its team's quota. It is given back when this value is dropped before a
/// server may have run the request.
pub(super) struct QuotaCharge {
    cx: Arc<NodeContext>,
    team: Arc<Team>,
    /// The name of the team in metrics.
    label: String,
    units: u64,
    is_final: bool,
}

impl QuotaCharge {
    /// Charges a request that is about to be sent to a server.
    pub(super) fn take(
        cx: &Arc<NodeContext>,
        deployment: &Deployment,
        team: &Arc<Team>,
        generation: Option<&Generation>,
    ) -> Result<Self, Refusal> {
        let units = team.cost(generation);
        let (now, random) = (cx.lease_clock.now(), cx.random_unit());
        let mut state = lock(cx);
        state.apply(deployment, now);
        let taken = state.quotas.try_take(&team.name, units, now, random);
        let label = state.metric_label(&team.name);
        drop(state);
        // A refused request has nothing to give back.
        let is_final = taken.is_err();
        let charge = Self { cx: cx.clone(), team: team.clone(), label, units, is_final };
        match taken {
            Ok(()) => {
                let labels = TeamLabels { team: charge.label.clone() };
                cx.metrics.team_units.get_or_create(&labels).inc_by(units);
                cx.metrics.team_requests.get_or_create(&labels).inc();
                Ok(charge)
            }
            Err(wait) => {
                charge.record_refusal(RefusalCause::Quota);
                Err(Refusal::with_retry_after(RefusalCause::Quota, wait))
            }
        }
    }

    /// Counts a refusal of the request.
    pub(super) fn record_refusal(&self, cause: RefusalCause) {
        let labels = TeamCauseLabels { team: self.label.clone(), cause: cause.name() };
        self.cx.metrics.team_refusals.get_or_create(&labels).inc();
    }

    /// Returns whether the team uses more than its share of the servers.
    pub(super) fn is_over_share(&self) -> bool {
        lock(&self.cx).quotas.is_over_share(&self.team.name, self.cx.lease_clock.now())
    }

    /// Sets whether a server may have run the request.
    pub(super) fn set_final(&mut self, is_final: bool) {
        self.is_final = is_final;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.is_final {
            let now = self.cx.lease_clock.now();
            lock(&self.cx).quotas.give_back(&self.team.name, self.units, now);
        }
    }
}

/// Brings the limits and the members that share them up to date.
pub(super) fn update_quotas(cx: &NodeContext) {
    let view = cx.fleet.view();
    let Some(deployment) = view.deployment() else { return };
    if deployment.teams.is_none() && !lock(cx).has_teams {
        return;
    }
    let now = cx.lease_clock.now();
    let domain = &cx.settings.failure_domain;
    let in_domain = view.members.iter().filter(|member| member.failure_domain == *domain).count();
    let expected = in_domain * cx.settings.failure_domains.len().max(1);
    let leads = cx.controllers.leads_any();
    let own = &cx.settings.vm;
    let is_heard = |domain: &Name| {
        view.members.iter().any(|member| member.failure_domain == *domain && member.vm != *own)
    };
    let silent =
        view.leaders.iter().filter(|(domain, leader)| leader.vm != *own && !is_heard(domain));
    let silent: Vec<Name> = silent.map(|(domain, _)| domain.clone()).collect();
    let mut state = lock(cx);
    state.apply(deployment, now);
    let members = view.members.iter().map(|member| (&member.vm, &member.failure_domain));
    state.quotas.set_members(members, &silent, expected as u32, leads, now);
    if !state.has_teams {
        return;
    }
    let (heard, known) = state.quotas.coverage(now);
    let changes = state.quotas.limit_changes(now);
    drop(state);
    cx.metrics.quota_nodes_heard.set(heard.into());
    cx.metrics.quota_nodes_known.set(known.into());
    for (team, is_limited) in changes {
        let event = if is_limited { "team limited" } else { "team no longer limited" };
        log::info!(team = &*team, heard = heard, known = known; "{event}");
    }
}

/// Returns the teams with their limits and recent use, and the numbers of nodes that this one hears
/// of and that may be there, for the status page.
pub(super) fn team_status(cx: &NodeContext) -> (Vec<Value>, (u32, u32)) {
    let now = cx.lease_clock.now();
    let mut state = lock(cx);
    let (states, coverage) = (state.quotas.team_states(now), state.quotas.coverage(now));
    drop(state);
    let team_status = |state: TeamState| {
        json!({
            "team": state.name,
            "limit_per_s": state.limit.map(|limit| limit.per_second),
            "burst": state.limit.map(|limit| limit.burst),
            "left": state.left.map(f64::round),
            "recent_use_per_s": state.recent_use.round(),
            "share": state.relative_use,
            "limited": state.is_limited,
        })
    };
    (states.into_iter().map(team_status).collect(), coverage)
}

/// Returns what another node lacks of the use of teams that this one knows of; `None` where there
/// are no teams. This node has the other's totals up to the revision `have`.
pub(super) fn team_use_report(
    cx: &NodeContext,
    recipient: Recipient<'_>,
    since: u64,
    have: u64,
) -> Option<TeamUseReport> {
    let mut state = lock(cx);
    if !state.has_teams {
        return None;
    }
    let report = state.quotas.report(recipient, since, cx.lease_clock.now());
    Some(TeamUseReport { have, ..report })
}

/// Charges what another node reports, which was so at `reported_at`.
pub(super) fn record_team_use(
    cx: &NodeContext,
    reporter: &Reporter,
    report: Option<&TeamUseReport>,
    reported_at: Instant,
) {
    if let Some(report) = report {
        lock(cx).quotas.record(reporter, report, reported_at, cx.lease_clock.now());
    }
}

/// Charges what the calling node reports, and returns what it lacks.
pub(super) fn answer_team_use(cx: &NodeContext, req: &SyncRequest) -> Option<TeamUseReport> {
    let vm = &req.member.vm;
    let (reporter, recipient) = match req.role {
        Role::Follower => (Reporter::Follower(vm.clone()), Recipient::Follower(vm)),
        Role::Holder => (Reporter::OtherLeader(vm.clone()), Recipient::OtherLeader),
    };
    record_team_use(cx, &reporter, req.team_use.as_ref(), cx.lease_clock.now());
    let have = req.team_use.as_ref().map_or(0, |report| report.have);
    let since = if req.have.tenure == cx.tenure { have } else { 0 };
    team_use_report(cx, recipient, since, 0)
}

fn lock(cx: &NodeContext) -> MutexGuard<'_, NodeQuotas> {
    cx.quotas.lock().expect("no thread panics while holding the lock")
}
