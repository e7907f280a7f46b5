//! An asynchronous client of the key-value service that counts failed calls.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use savoryport_core::replica::Mark;
use savoryport_platform::kv::{
    Entry, EtcdClient, Event, KeyValueService, KvError, LeaseId, PutResult, Revision,
};

use super::shared_state::SharedState;
use crate::keys;

/// A client that runs the calls of the blocking etcd client on the blocking thread pool.
#[derive(Clone)]
pub(super) struct KvClient {
    client: Arc<EtcdClient>,
    error_count: Counter,
}

impl KvClient {
    pub(super) fn new(client: Arc<EtcdClient>, error_count: Counter) -> Self {
        Self { client, error_count }
    }

    pub(super) async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let key = key.to_owned();
        self.call(move |client| client.get(&key)).await
    }

    pub(super) async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), KvError> {
        let prefix = prefix.to_owned();
        self.call(move |client| client.list(&prefix)).await
    }

    pub(super) async fn put_if(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<PutResult, KvError> {
        let key = key.to_owned();
        self.call(move |client| client.put_if(&key, &value, expected, lease)).await
    }

    pub(super) async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, KvError> {
        self.call(move |client| client.grant_lease(time_to_live)).await
    }

    pub(super) async fn keep_alive(&self, lease: LeaseId) -> Result<bool, KvError> {
        self.call(move |client| client.keep_alive(lease)).await
    }

    pub(super) async fn revoke(&self, lease: LeaseId) -> Result<(), KvError> {
        self.call(move |client| client.revoke(lease)).await
    }

    pub(super) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<Event>, KvError> {
        let prefix = prefix.to_owned();
        self.call(move |client| client.watch(&prefix, after, wait)).await
    }

    /// Sets a mark whatever its current value, or clears it if the value is empty, and adds the
    /// change to this process's replica at once. Returns the new revision, or `None` if another
    /// process wrote the mark at the same time.
    pub(super) async fn set_mark(
        &self,
        state: &SharedState,
        name: &str,
        value: &str,
    ) -> Result<Option<Revision>, KvError> {
        let key = keys::mark_key(name);
        let current_revision = self.get(&key).await?.map_or(0, |entry| entry.revision);
        let result = self.put_if(&key, value.as_bytes().to_vec(), current_revision, None).await?;
        let PutResult::Written(revision) = result else { return Ok(None) };
        let value = (!value.is_empty()).then(|| value.into());
        state.merge_mark(name, Mark { revision, value });
        Ok(Some(revision))
    }

    async fn call<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&EtcdClient) -> Result<T, KvError> + Send + 'static,
    ) -> Result<T, KvError> {
        let client = self.client.clone();
        let result = tokio::task::spawn_blocking(move || operation(&client))
            .await
            .unwrap_or_else(|err| Err(KvError::Unanswered(err.to_string())));
        if result.is_err() {
            self.error_count.inc();
        }
        result
    }
}
