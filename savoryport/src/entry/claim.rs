//! Claims on requests that carry an idempotency key and no ticket.
//!
//! Any entry may get such a request, so the claim is a key of the platform's service: one write
//! each, and none while the service is away. `docs/DESIGN.md` says when to prefer tickets.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use savoryport_platform::kv::{EtcdClient, KeyValue, LeaseId, PutAnswer};

use crate::keys;

/// How long a claim is remembered; a request that is repeated later runs again.
const CLAIM_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// How many claims share one lease, so that a claim costs little more than its own write.
const CLAIMS_PER_LEASE: u32 = 1_000;

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Claim {
    /// The request is this entry's to start, once.
    Won,
    /// The request was claimed before, and may have run.
    Taken,
    /// The service did not answer; the request does not start.
    NoAnswer,
}

#[derive(Debug, Default)]
struct State {
    lease: Option<(LeaseId, u32)>,
    /// Claims of this process whose request certainly did not start.
    abandoned: HashSet<String>,
}

/// The claims of this process.
#[derive(Debug, Clone, Default)]
pub(super) struct Claims {
    state: Arc<Mutex<State>>,
}

impl Claims {
    /// Claims a request; `owner` tells this process from every other.
    pub(super) async fn claim(&self, kv: Arc<EtcdClient>, id: &str, owner: &str) -> Claim {
        let (claims, id, owner) = (self.clone(), id.to_owned(), owner.to_owned());
        tokio::task::spawn_blocking(move || claims.claim_blocking(&kv, &id, &owner))
            .await
            .unwrap_or(Claim::NoAnswer)
    }

    /// Notes that a claimed request certainly did not start, so that it may be claimed again here.
    pub(super) fn abandon(&self, id: &str) {
        self.state.lock().expect("no holder panics").abandoned.insert(id.to_owned());
    }

    fn claim_blocking(&self, kv: &EtcdClient, id: &str, owner: &str) -> Claim {
        let key = format!("{}{id}", keys::CLAIMS);
        let Some(lease) = self.lease(kv) else { return Claim::NoAnswer };
        match kv.put_if(&key, owner.as_bytes(), 0, Some(lease)) {
            Ok(PutAnswer::Written(_)) => Claim::Won,
            Ok(PutAnswer::Conflict) => self.settle(kv, &key, id, owner),
            Err(_) => {
                // The write may have taken effect, but this process will not start the request.
                self.abandon(id);
                Claim::NoAnswer
            }
        }
    }

    /// A claim that stands already may be one that this process gave up before it started.
    fn settle(&self, kv: &EtcdClient, key: &str, id: &str, owner: &str) -> Claim {
        let is_own = match kv.get(key) {
            Ok(entry) => entry.is_some_and(|entry| entry.value == owner.as_bytes()),
            Err(_) => return Claim::NoAnswer,
        };
        let was_abandoned = self.state.lock().expect("no holder panics").abandoned.remove(id);
        if is_own && was_abandoned { Claim::Won } else { Claim::Taken }
    }

    fn lease(&self, kv: &EtcdClient) -> Option<LeaseId> {
        let mut state = self.state.lock().expect("no holder panics");
        if let Some((lease, left)) = &mut state.lease
            && *left > 0
        {
            *left -= 1;
            return Some(*lease);
        }
        let lease = kv.grant_lease(CLAIM_LIFETIME).ok()?;
        state.lease = Some((lease, CLAIMS_PER_LEASE - 1));
        Some(lease)
    }
}
