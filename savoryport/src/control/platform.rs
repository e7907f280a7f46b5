//! Calls of the key-value service from tasks, with its failures counted.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use savoryport_core::replica::Mark;
use savoryport_platform::kv::{
    Entry, EtcdClient, Event, KeyValue, KvError, LeaseId, PutAnswer, Revision,
};

use super::hub::Hub;
use crate::keys;

/// The key-value service as tasks use it.
#[derive(Clone)]
pub(super) struct Platform {
    kv: Arc<EtcdClient>,
    errors: Counter,
}

impl Platform {
    pub(super) fn new(kv: Arc<EtcdClient>, errors: Counter) -> Self {
        Self { kv, errors }
    }

    pub(super) async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let key = key.to_owned();
        self.call(move |kv| kv.get(&key)).await
    }

    pub(super) async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), KvError> {
        let prefix = prefix.to_owned();
        self.call(move |kv| kv.list(&prefix)).await
    }

    pub(super) async fn put_if(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<PutAnswer, KvError> {
        let key = key.to_owned();
        self.call(move |kv| kv.put_if(&key, &value, expected, lease)).await
    }

    pub(super) async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, KvError> {
        self.call(move |kv| kv.grant_lease(time_to_live)).await
    }

    pub(super) async fn keep_alive(&self, lease: LeaseId) -> Result<bool, KvError> {
        self.call(move |kv| kv.keep_alive(lease)).await
    }

    pub(super) async fn revoke(&self, lease: LeaseId) -> Result<(), KvError> {
        self.call(move |kv| kv.revoke(lease)).await
    }

    pub(super) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<Event>, KvError> {
        let prefix = prefix.to_owned();
        self.call(move |kv| kv.watch(&prefix, after, wait)).await
    }

    /// Writes a mark, whatever stands there, and tells this process at once; returns its revision,
    /// or `None` where somebody else wrote meanwhile.
    pub(super) async fn set_mark(
        &self,
        hub: &Hub,
        name: &str,
        value: &str,
    ) -> Result<Option<Revision>, KvError> {
        let key = keys::mark_key(name);
        let current = self.get(&key).await?.map_or(0, |entry| entry.revision);
        let written = self.put_if(&key, value.as_bytes().to_vec(), current, None).await?;
        let PutAnswer::Written(revision) = written else { return Ok(None) };
        let value = (!value.is_empty()).then(|| value.into());
        hub.add_mark(name, Mark { revision, value });
        Ok(Some(revision))
    }

    async fn call<T: Send + 'static>(
        &self,
        call: impl FnOnce(&EtcdClient) -> Result<T, KvError> + Send + 'static,
    ) -> Result<T, KvError> {
        let kv = self.kv.clone();
        let answered = tokio::task::spawn_blocking(move || call(&kv))
            .await
            .unwrap_or_else(|err| Err(KvError::Unanswered(err.to_string())));
        if answered.is_err() {
            self.errors.inc();
        }
        answered
    }
}
