//! Takes, renews and gives up the duty of a failure domain at the store.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_adapter::store::{Committed, StoreError, Transaction};
use savoryport_core::Name;
use savoryport_core::node::duty::Duty;

use super::context::NodeContext;
use super::domain_controller::DomainController;
use super::store_reader::duty_key;
use super::view::DomainLeader;

/// The pause between two looks at the duties.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Nodes that could take a duty try at a random time within this span.
const TRY_SPREAD: Duration = Duration::from_millis(150);

/// How much later a VM with a whole core tries; one with a part of a core waits in proportion, so that
/// the strongest VM gets the duty.
const HANDICAP: Duration = Duration::from_millis(40);

/// The share of a core below which VMs wait no longer.
const MIN_CPU_SHARE: f64 = 0.1;

/// A failure domain whose own nodes do not take their duty for this long is taken care of by the
/// holder of another one.
const ADOPT_AFTER: Duration = Duration::from_secs(6);

/// Renewals within one time to live.
const RENEWALS_PER_LEASE: u32 = 3;

/// What the taker of duties remembers.
#[derive(Debug, Default)]
struct Vacancies {
    since: HashMap<Name, Instant>,
    /// Failure domains that had a holder, whose last order may have been a moment ago.
    held_before: HashSet<Name>,
}

/// Takes the duties that nobody holds, until the node stops.
pub async fn run(cx: Arc<NodeContext>) {
    let mut vacancies = Vacancies::default();
    while !cx.stopping.is_cancelled() {
        tokio::time::sleep(LOOK_PAUSE).await;
        if !cx.store_health.is_available(cx.now()) {
            continue;
        }
        for domain in vacancies.open(&cx) {
            let handicap = HANDICAP.div_f64(cx.settings.cpu_share.max(MIN_CPU_SHARE));
            tokio::time::sleep(handicap + TRY_SPREAD.mul_f64(cx.random_unit())).await;
            if cx.fleet.read(|state| state.leader(&domain).is_some()) {
                continue;
            }
            vacancies.try_take(&cx, &domain).await;
        }
    }
    give_up_all(&cx).await;
}

impl Vacancies {
    /// Returns the failure domains whose duty this node should try to take.
    fn open(&mut self, cx: &NodeContext) -> Vec<Name> {
        let (own, now) = (&cx.settings.failure_domain, cx.now());
        let view = cx.fleet.view();
        let Some(deployment) = view.deployment() else { return Vec::new() };
        let mut domains: HashSet<Name> = view
            .servers
            .values()
            .filter(|server| {
                let service = deployment.services.get(&server.service);
                service.is_some_and(|service| service.engine.is_some())
            })
            .map(|server| server.failure_domain.clone())
            .collect();
        domains.insert(own.clone());
        self.held_before.extend(view.leaders.keys().cloned());
        self.since.retain(|domain, _| !view.leaders.contains_key(domain));
        let vacant = domains.into_iter().filter(|domain| !view.leaders.contains_key(domain));
        vacant
            .filter(|domain| {
                let since = *self.since.entry(domain.clone()).or_insert(now);
                let is_adopted = cx.controllers.leads_any() && now - since > ADOPT_AFTER;
                !cx.controllers.leads(domain) && (domain == own || is_adopted)
            })
            .collect()
    }

    async fn try_take(&mut self, cx: &Arc<NodeContext>, domain: &Name) {
        let asked_at = cx.lease_clock.now();
        let time_to_live = cx.settings.duty_lease();
        cx.metrics.store_calls.inc();
        let lease = match cx.store.grant(time_to_live).await {
            Ok(lease) => lease,
            Err(err) => return log::warn!(err:% = err; "no lease for the duty"),
        };
        let leader = DomainLeader { vm: cx.settings.vm.clone(), peers: cx.settings.peers_listen() };
        let value = serde_json::to_vec(&leader).expect("plain fields serialize");
        let key = duty_key(domain);
        let transaction = Transaction {
            expected: vec![(key.clone(), 0)],
            puts: vec![(key, value, lease)],
            removes: Vec::new(),
        };
        cx.metrics.store_calls.inc();
        match cx.store.commit(&transaction).await {
            Ok(Committed::At(revision)) => {
                let is_first = cx.settings.first_start && !self.held_before.contains(domain);
                let hand_over = if is_first {
                    Duration::ZERO
                } else {
                    Duration::from_millis(cx.settings.order_turn_ms)
                };
                self.held_before.insert(domain.clone());
                let mut duty = Duty::new(time_to_live);
                duty.won(revision, asked_at, cx.lease_clock.now(), hand_over);
                log::info!(domain = &**domain, token = revision, hand_over_ms = hand_over.as_millis() as u64; "duty taken");
                let controller =
                    cx.controllers.open(cx, DomainController::new(domain.clone(), lease, duty));
                cx.fleet.update(|state| state.set_leader(domain, Some(leader)));
                tokio::spawn(keep(cx.clone(), controller));
            }
            Ok(Committed::Conflict) => {
                self.held_before.insert(domain.clone());
                end_lease(cx, lease).await;
            }
            // The write may still take effect; without its lease it cannot.
            Err(err) => {
                log::warn!(domain = &**domain, err:% = err; "duty not taken");
                end_lease(cx, lease).await;
            }
        }
    }
}

/// Renews the lease of a desk until it ends, then closes the desk.
async fn keep(cx: Arc<NodeContext>, controller: Arc<DomainController>) {
    let pause = cx.settings.duty_lease() / RENEWALS_PER_LEASE;
    loop {
        tokio::time::sleep(pause).await;
        if controller.cancel.is_cancelled() {
            return;
        }
        let asked_at = cx.lease_clock.now();
        cx.metrics.store_calls.inc();
        match cx.store.keep(controller.lease_id()).await {
            Ok(()) => {
                controller.renewed(asked_at);
                cx.store_health.record_answer(cx.now());
            }
            Err(StoreError::LeaseEnded) => break,
            Err(err) => log::debug!(domain = &*controller.domain, err:% = err; "duty not renewed"),
        }
    }
    log::warn!(domain = &*controller.domain; "duty lost");
    cx.controllers.close(&controller);
    cx.fleet.update(|state| {
        let is_own =
            state.leader(&controller.domain).is_some_and(|leader| leader.vm == cx.settings.vm);
        if is_own {
            state.set_leader(&controller.domain, None);
        }
    });
}

async fn give_up_all(cx: &NodeContext) {
    for controller in cx.controllers.all() {
        cx.controllers.close(&controller);
        log::info!(domain = &*controller.domain; "duty given up");
        end_lease(cx, controller.lease_id()).await;
    }
}

async fn end_lease(cx: &NodeContext, lease: u64) {
    cx.metrics.store_calls.inc();
    if let Err(err) = cx.store.end_lease(lease).await {
        // It ends by itself after its time to live.
        log::debug!(lease = lease, err:% = err; "lease not ended");
    }
}
