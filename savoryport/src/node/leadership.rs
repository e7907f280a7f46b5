//! Acquires, renews and releases the leadership of failure domains in the store.
//!
//! Only the leader of a failure domain sends orders to the servers there. Leadership is a key in
//! the store that is bound to a lease; the key and the log call it the "duty" of the domain.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_adapter::store::{CommitResult, Lease, Revision, StoreError, Transaction};
use savoryport_core::Name;
use savoryport_core::node::leadership::{Leadership, Succession};

use super::context::NodeContext;
use super::domain_controller::DomainController;
use super::store_reader::{leader_key, record_answer};
use super::view::DomainLeader;

/// Interval between checks for vacant failure domains, that is, those without a leader.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Upper bound of the random delay that spreads the attempts of competing nodes. It is short, so that
/// the delays by processor and link decide which VM wins.
const CAMPAIGN_JITTER: Duration = Duration::from_millis(150);

/// Delay before a VM with a whole core tries to become the leader. The delay is inversely
/// proportional to the CPU share, so that the VM with the most CPU wins.
const CAMPAIGN_DELAY: Duration = Duration::from_millis(50);

/// Bandwidth of a link, in Mbit/s, below which a VM campaigns later.
const LEADER_LINK_MBPS: f64 = 100.0;

/// Upper bound of the factor by which a VM with a slow link campaigns later.
const MAX_LINK_SLOWNESS: f64 = 2.0;

/// CPU share, as a fraction of a core, below which the delay no longer grows.
const MIN_CPU_SHARE: f64 = 0.1;

/// A failure domain that has had no leader for this long may be taken over by the leader of another
/// domain.
const TAKEOVER_AFTER: Duration = Duration::from_secs(6);

/// Number of renewals sent within one time to live of the lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// The state of this node's attempts to become a leader.
#[derive(Debug)]
struct Campaign {
    /// Failure domains without a leader, with the time since when.
    vacant_since: HashMap<Name, Instant>,
    /// The former leaders, which may have sent an order just before they lost the leadership.
    succession: Succession,
}

/// Acquires vacant leaderships until the node stops, then releases all of them.
pub async fn run(cx: Arc<NodeContext>) {
    let mut campaign = Campaign::new(&cx);
    while !cx.stopping.is_cancelled() {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !cx.store_health.is_answering() {
            continue;
        }
        for domain in campaign.eligible_domains(&cx) {
            tokio::time::sleep(campaign_delay(&cx)).await;
            if cx.stopping.is_cancelled() || cx.fleet.read(|state| state.leader(&domain).is_some())
            {
                continue;
            }
            campaign.try_acquire(&cx, &domain).await;
        }
    }
    release_all(&cx).await;
}

/// Returns how long this node waits before it tries to become the leader: the shorter, the faster its
/// processor and its link, which carries the state of all followers.
fn campaign_delay(cx: &NodeContext) -> Duration {
    let slowness = (LEADER_LINK_MBPS / cx.settings.link_mbps).clamp(1.0, MAX_LINK_SLOWNESS);
    let delay = CAMPAIGN_DELAY.div_f64(cx.settings.cpu_share.max(MIN_CPU_SHARE));
    delay.mul_f64(slowness) + CAMPAIGN_JITTER.mul_f64(cx.random_unit())
}

impl Campaign {
    fn new(cx: &NodeContext) -> Self {
        let settings = &cx.settings;
        let order_turn = Duration::from_millis(settings.order_turn_ms);
        let ttl = settings.leadership_lease_ttl();
        let succession = Succession::new(order_turn, ttl, settings.first_start);
        Self { vacant_since: HashMap::new(), succession }
    }

    /// Returns the vacant failure domains that this node may lead: its own, and as the leader of
    /// another domain also those that have been vacant for [`TAKEOVER_AFTER`].
    fn eligible_domains(&mut self, cx: &NodeContext) -> Vec<Name> {
        let (own, now) = (&cx.settings.failure_domain, cx.now());
        let view = cx.fleet.view();
        // Before the first configuration, a node may already lead its own domain: its followers
        // then learn the configuration from it, instead of asking the store for it all the time.
        let has_engine = |service: &str| {
            let service = view.deployment().and_then(|known| known.services.get(service));
            service.is_some_and(|service| service.engine.is_some())
        };
        let mut domains: HashSet<Name> = view
            .servers
            .values()
            .filter(|server| has_engine(&server.service))
            .map(|server| server.failure_domain.clone())
            .collect();
        domains.insert(own.clone());
        self.succession.record_era(cx.store.era(), cx.lease_clock.now());
        for domain in view.leaders.keys() {
            self.succession.record_leader(domain.clone());
        }
        self.vacant_since.retain(|domain, _| !view.leaders.contains_key(domain));
        let vacant = domains.into_iter().filter(|domain| !view.leaders.contains_key(domain));
        vacant
            .filter(|domain| {
                let since = *self.vacant_since.entry(domain.clone()).or_insert(now);
                let may_take_over = cx.controllers.leads_any() && now - since > TAKEOVER_AFTER;
                !cx.controllers.leads(domain) && (domain == own || may_take_over)
            })
            .collect()
    }

    async fn try_acquire(&mut self, cx: &Arc<NodeContext>, domain: &Name) {
        let sent_at = cx.lease_clock.now();
        let time_to_live = cx.settings.leadership_lease_ttl();
        cx.metrics.store_calls.inc();
        let lease = match cx.store.grant_lease(time_to_live).await {
            Ok(lease) => lease,
            Err(err) => return log::warn!(err:% = err; "cannot get a lease for the leadership"),
        };
        let leader = own_entry(cx);
        let key = leader_key(domain);
        let transaction = Transaction {
            expected: vec![(key.clone(), 0)],
            puts: vec![(key, encode_entry(&leader), lease.id)],
            removes: Vec::new(),
        };
        cx.metrics.store_calls.inc();
        match cx.store.commit(&transaction).await {
            // The lease may be somebody else's in the history that the key was written in.
            Ok(CommitResult::Committed(revision)) if revision.era != lease.era => {
                log::warn!(domain = &**domain; "store went back while the duty was taken");
                withdraw(cx, domain, revision).await;
            }
            Ok(CommitResult::Committed(revision)) => {
                let acquired_at = cx.lease_clock.now();
                self.succession.record_era(revision.era, acquired_at);
                let handover_delay = self.succession.hand_over(domain, acquired_at);
                self.succession.record_leader(domain.clone());
                let mut leadership = Leadership::new(time_to_live);
                let token = revision.fencing_token();
                leadership.on_acquired(token, sent_at, acquired_at, handover_delay);
                log::info!(domain = &**domain, token = token, hand_over_ms = handover_delay.as_millis() as u64; "duty taken");
                let controller = cx.controllers.open(
                    cx,
                    DomainController::new(domain.clone(), lease, revision, leadership, cx.now()),
                );
                cx.fleet.update(|state| state.set_leader(domain, Some(leader)));
                tokio::spawn(keep_leadership(cx.clone(), controller));
            }
            Ok(CommitResult::Conflict) => {
                self.succession.record_leader(domain.clone());
                end_lease(cx, lease).await;
            }
            // The write may still take effect, but not once its lease has ended.
            Err(err) => {
                log::warn!(domain = &**domain, err:% = err; "leadership not acquired");
                end_lease_if_ours(cx, domain, lease).await;
            }
        }
    }
}

/// Renews the lease of a leadership until the lease ends, then closes its controller.
async fn keep_leadership(cx: Arc<NodeContext>, controller: Arc<DomainController>) {
    let interval = cx.settings.leadership_lease_ttl() / RENEWALS_PER_LEASE;
    loop {
        tokio::time::sleep(interval).await;
        if controller.cancel.is_cancelled() {
            return;
        }
        let sent_at = cx.lease_clock.now();
        cx.metrics.store_calls.inc();
        match cx.store.renew_lease(controller.lease()).await {
            Ok(()) => {
                controller.record_renewal(sent_at);
                record_answer(&cx);
            }
            Err(StoreError::LeaseEnded) => {
                record_answer(&cx);
                break;
            }
            Err(StoreError::LeaseUnknown) => match find_in_copy(&cx, &controller).await {
                Ok(Some(_)) if !controller.may_have_been_succeeded(&cx) => {
                    controller.record_renewal(sent_at);
                    record_answer(&cx);
                }
                // The copy's key keeps other nodes from being elected.
                Ok(Some(revision)) => {
                    record_answer(&cx);
                    cx.controllers.close(&controller);
                    withdraw(&cx, &controller.domain, revision).await;
                    break;
                }
                Ok(None) => break,
                Err(err) => {
                    log::debug!(domain = &*controller.domain, err:% = err; "duty not confirmed");
                }
            },
            Err(err) => log::debug!(domain = &*controller.domain, err:% = err; "lease not renewed"),
        }
    }
    log::warn!(domain = &*controller.domain; "duty lost");
    cx.controllers.close(&controller);
    cx.fleet.update(|state| {
        let is_this_node =
            state.leader(&controller.domain).is_some_and(|leader| leader.vm == cx.settings.vm);
        if is_this_node {
            state.set_leader(&controller.domain, None);
        }
    });
}

/// Returns the revision of the leadership's key if the store still has it after it went back to a
/// copy. The copy may be older than the leadership, or the key and the id of its lease may be somebody
/// else's by now. Another node may have led since all the same, in the history that is lost.
async fn find_in_copy(
    cx: &NodeContext,
    controller: &DomainController,
) -> Result<Option<Revision>, StoreError> {
    cx.metrics.store_calls.inc();
    let entry = cx.store.get(&leader_key(&controller.domain)).await?;
    let value = encode_entry(&own_entry(cx));
    let confirmed = entry.filter(|entry| controller.confirm(entry, &value));
    log::info!(
        domain = &*controller.domain, in_copy = confirmed.is_some(),
        may_have_been_succeeded = controller.may_have_been_succeeded(cx); "store went back"
    );
    Ok(confirmed.map(|entry| entry.revision))
}

/// Removes the key of a leadership that this node does not hold, or no longer holds for certain.
async fn withdraw(cx: &NodeContext, domain: &Name, revision: Revision) {
    let key = leader_key(domain);
    let transaction = Transaction {
        expected: vec![(key.clone(), revision.number)],
        puts: Vec::new(),
        removes: vec![key],
    };
    cx.metrics.store_calls.inc();
    if let Err(err) = cx.store.commit(&transaction).await {
        log::warn!(domain = &**domain, err:% = err; "duty not withdrawn");
    }
}

fn own_entry(cx: &NodeContext) -> DomainLeader {
    DomainLeader { vm: cx.settings.vm.clone(), peers: cx.settings.peers_listen() }
}

fn encode_entry(leader: &DomainLeader) -> Vec<u8> {
    serde_json::to_vec(leader).expect("plain fields serialize")
}

async fn release_all(cx: &NodeContext) {
    for controller in cx.controllers.all() {
        cx.controllers.close(&controller);
        log::info!(domain = &*controller.domain; "duty given up");
        end_lease_if_ours(cx, &controller.domain, controller.lease()).await;
    }
}

/// Ends a lease of a leadership, unless the store has gone back to a copy since its last answer: the
/// id may be that of another node's lease then.
async fn end_lease_if_ours(cx: &NodeContext, domain: &Name, lease: Lease) {
    cx.metrics.store_calls.inc();
    match cx.store.get(&leader_key(domain)).await {
        Ok(_) => end_lease(cx, lease).await,
        // The lease then expires after its time to live.
        Err(err) => log::debug!(lease = lease.id, err:% = err; "lease not ended"),
    }
}

async fn end_lease(cx: &NodeContext, lease: Lease) {
    cx.metrics.store_calls.inc();
    if let Err(err) = cx.store.end_lease(lease).await {
        // The lease then expires after its time to live.
        log::debug!(lease = lease.id, err:% = err; "lease not ended");
    }
}
