//! Charges requests to the quotas of their teams, and exchanges the use of teams with other nodes.
//!
//! `savoryport_core::node::team_quota` decides whether a request is within its team's quota.

use std::sync::{Arc, MutexGuard};
use std::time::Instant;

use savoryport_core::Name;
use savoryport_core::node::deployment::Deployment;
use savoryport_core::node::request::Generation;
use savoryport_core::node::team::{Team, TeamLimit};
use savoryport_core::node::team_quota::{Recipient, Reporter, TeamQuotas, TeamUseReport};

use super::context::NodeContext;
use super::response::{Refusal, RefusalCause};
use super::rpc::{Role, SyncRequest};

/// The quotas of teams, with the version of the configuration that their limits are from. All times
/// are those of [`NodeContext::lease_clock`]: reports grow old also while the VM is suspended.
#[derive(Debug)]
pub struct NodeQuotas {
    quotas: TeamQuotas,
    version: u64,
    /// Whether the configuration in force limits any team.
    has_limits: bool,
}

impl NodeQuotas {
    /// Creates the state of a node that has just started.
    pub fn new(tenure: u64, now: Instant) -> Self {
        Self { quotas: TeamQuotas::new(tenure, now), version: 0, has_limits: false }
    }

    fn apply(&mut self, deployment: &Deployment, now: Instant) {
        if deployment.version > self.version {
            self.version = deployment.version;
            self.quotas.apply_limits(deployment.teams.as_ref(), now);
            self.has_limits = self.quotas.has_limits();
        }
    }
}

/// What a request used of its team's quota. It is given back when this value is dropped before a
/// server may have run the request.
pub(super) struct QuotaCharge {
    cx: Arc<NodeContext>,
    team: Arc<Team>,
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
    ) -> Result<Option<Self>, Refusal> {
        let Some(TeamLimit { .. }) = team.limit else { return Ok(None) };
        let units = team.cost(generation);
        let (now, random) = (cx.lease_clock.now(), cx.random_unit());
        let mut state = lock(cx);
        state.apply(deployment, now);
        let taken = state.quotas.try_take(&team.name, units, now, random);
        drop(state);
        match taken {
            Ok(()) => Ok(Some(Self { cx: cx.clone(), team: team.clone(), units, is_final: false })),
            Err(wait) => Err(Refusal::with_retry_after(RefusalCause::Quota, wait)),
        }
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
    let now = cx.lease_clock.now();
    let domain = &cx.settings.failure_domain;
    let in_domain = view.members.iter().filter(|member| member.failure_domain == *domain).count();
    let expected = in_domain * cx.settings.failure_domains.len().max(1);
    let leads = cx.controllers.leads_any();
    let is_silent =
        |domain: &&Name| view.members.iter().all(|member| member.failure_domain != **domain);
    let silent: Vec<Name> = view.leaders.keys().filter(is_silent).cloned().collect();
    let mut state = lock(cx);
    state.apply(deployment, now);
    let members = view.members.iter().map(|member| (&member.vm, &member.failure_domain));
    state.quotas.set_members(members, &silent, expected as u32, leads, now);
}

/// Returns what another node lacks of the use of teams that this one knows of; `None` if no team has
/// a limit. This node has the other's totals up to the revision `have`.
pub(super) fn team_use_report(
    cx: &NodeContext,
    recipient: Recipient<'_>,
    since: u64,
    have: u64,
) -> Option<TeamUseReport> {
    let mut state = lock(cx);
    if !state.has_limits {
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
