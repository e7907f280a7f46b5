//! Claims, which let a request that has an idempotency key but no ticket start at most once.
//!
//! Such a request may reach any entry, so a claim is a key in the platform's key-value service.
//! Each claim costs one write, and none can be made while the service is unreachable.
//! `docs/DESIGN.md` says when to prefer tickets.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use savoryport_platform::kv::{EtcdClient, KeyValueService, LeaseId, PutResult};

use crate::keys;

/// The lifetime of the lease of a claim. A request that is repeated after the claim has expired
/// runs again.
const CLAIM_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// The number of claims that share one lease, so that a claim costs little more than its own write.
const CLAIMS_PER_LEASE: u32 = 1_000;

/// The result of an attempt to claim a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimResult {
    /// The claim belongs to this process, which may start the request once.
    Acquired,
    /// The request was claimed before and may have run.
    AlreadyClaimed,
    /// The key-value service did not answer; the request must not start.
    Unavailable,
}

#[derive(Debug, Default)]
struct State {
    /// The lease for new claims, with the number of claims that may still use it.
    lease: Option<(LeaseId, u32)>,
    /// The ids of claims by this process whose request has not run.
    abandoned: HashSet<String>,
}

/// The claims made by this process.
#[derive(Debug, Clone, Default)]
pub(super) struct Claims {
    state: Arc<Mutex<State>>,
}

impl Claims {
    /// Claims a request; `owner` is unique to this process.
    pub(super) async fn claim(&self, kv: Arc<EtcdClient>, id: &str, owner: &str) -> ClaimResult {
        let (claims, id, owner) = (self.clone(), id.to_owned(), owner.to_owned());
        tokio::task::spawn_blocking(move || claims.claim_blocking(&kv, &id, &owner))
            .await
            .unwrap_or(ClaimResult::Unavailable)
    }

    /// Records that a claimed request has not run, so that this process may claim it again.
    pub(super) fn abandon(&self, id: &str) {
        self.state
            .lock()
            .expect("no thread panics while holding the lock")
            .abandoned
            .insert(id.to_owned());
    }

    fn claim_blocking(&self, kv: &EtcdClient, id: &str, owner: &str) -> ClaimResult {
        let key = format!("{}{id}", keys::CLAIMS);
        let Some(lease) = self.claim_lease(kv) else { return ClaimResult::Unavailable };
        match kv.put_if(&key, owner.as_bytes(), 0, Some(lease)) {
            Ok(PutResult::Written(_)) => ClaimResult::Acquired,
            Ok(PutResult::Conflict) => self.resolve_conflict(kv, &key, id, owner),
            Err(_) => {
                // The write may have taken effect although this process does not start the request.
                self.abandon(id);
                ClaimResult::Unavailable
            }
        }
    }

    /// Decides whether this process may take over an existing claim, which it may if it made the
    /// claim itself and abandoned it.
    fn resolve_conflict(&self, kv: &EtcdClient, key: &str, id: &str, owner: &str) -> ClaimResult {
        let is_own = match kv.get(key) {
            Ok(entry) => entry.is_some_and(|entry| entry.value == owner.as_bytes()),
            Err(_) => return ClaimResult::Unavailable,
        };
        let was_abandoned = self
            .state
            .lock()
            .expect("no thread panics while holding the lock")
            .abandoned
            .remove(id);
        if is_own && was_abandoned { ClaimResult::Acquired } else { ClaimResult::AlreadyClaimed }
    }

    /// Returns the lease for a new claim, and grants a new lease if the current one is used up.
    fn claim_lease(&self, kv: &EtcdClient) -> Option<LeaseId> {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        if let Some((lease, remaining)) = &mut state.lease
            && *remaining > 0
        {
            *remaining -= 1;
            return Some(*lease);
        }
        let lease = kv.grant_lease(CLAIM_LIFETIME).ok()?;
        state.lease = Some((lease, CLAIMS_PER_LEASE - 1));
        Some(lease)
    }
}
