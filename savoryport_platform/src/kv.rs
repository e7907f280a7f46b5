//! A client of the platform's key-value service, over the JSON gateway of the etcd v3 API.

use std::io::{self, BufRead, BufReader};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use thiserror::Error;
use ureq::Agent;

/// A revision of the key-value service. As the revision of a key, 0 means that it does not exist.
pub type Revision = u64;

/// The id of a lease, which expires unless it is renewed.
pub type LeaseId = i64;

/// How much longer than the wait of a watch the client waits for the service's response.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// The size limit of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last write to this key.
    pub revision: Revision,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Entry),
    /// A key was deleted.
    Delete {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

/// The result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutResult {
    /// The value was written, at this revision.
    Written(Revision),
    /// The key was not at the expected revision; nothing was written.
    Conflict,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KvError {
    /// Nothing of the call was sent.
    #[error("cannot reach the key-value service at {address}: {problem}")]
    NotReachable {
        /// The service's address.
        address: String,
        /// The cause, as the HTTP client reports it.
        problem: String,
    },
    /// The call was sent and no response arrived; a write may have taken effect, or may still do
    /// so.
    #[error("no response from the key-value service: {0}")]
    Unanswered(String),
    /// The service refused the call with this HTTP status and did not execute it.
    #[error("key-value service refused the call with status {0}")]
    Refused(u16),
    /// The response does not follow the published format.
    #[error("malformed response from the key-value service: {0}")]
    Malformed(String),
}

/// The operations that Savoryport needs from a key-value service.
///
/// `docs/INTERFACES.md` specifies the contract; the contract tests can run against any
/// implementation.
pub trait KeyValueService: Send + Sync {
    /// The error of a failed call.
    type Error;

    /// Reads a key; returns none if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    fn get(&self, key: &str) -> Result<Option<Entry>, Self::Error>;

    /// Reads all keys with a prefix; returns them with the revision at which they were read.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), Self::Error>;

    /// Writes a key if its revision is still `expected`, where 0 means that it must not exist. The
    /// key is bound to `lease`, if one is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; unless the error says otherwise, the write may have
    /// taken effect.
    fn put_if(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<PutResult, Self::Error>;

    /// Creates a lease that expires `time_to_live` after its creation or last renewal.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Self::Error>;

    /// Renews a lease and returns whether it still existed.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    fn keep_alive(&self, lease: LeaseId) -> Result<bool, Self::Error>;

    /// Ends a lease, which deletes the keys bound to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    fn revoke(&self, lease: LeaseId) -> Result<(), Self::Error>;

    /// Waits up to `wait` for changes after a revision; returns an empty list if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the service could not be reached or the watch failed.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<Event>, Self::Error>;
}

/// A blocking client of the JSON gateway of etcd v3.
#[derive(Debug, Clone)]
pub struct EtcdClient {
    address: String,
    timeout: Duration,
    agent: Agent,
}

#[derive(Debug, Deserialize)]
struct Header {
    #[serde(default, deserialize_with = "integer")]
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct RawEntry {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "integer")]
    mod_revision: u64,
}

#[derive(Debug, Deserialize)]
struct RangeResponse {
    header: Header,
    #[serde(default)]
    kvs: Vec<RawEntry>,
}

#[derive(Debug, Deserialize)]
struct TxnResponse {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Debug, Deserialize)]
struct GrantResponse {
    #[serde(rename = "ID", deserialize_with = "integer")]
    id: i64,
}

#[derive(Debug, Deserialize)]
struct KeepAliveResponse {
    result: KeepAliveResult,
}

#[derive(Debug, Deserialize)]
struct KeepAliveResult {
    #[serde(rename = "TTL", default, deserialize_with = "integer")]
    time_to_live: i64,
}

#[derive(Debug, Deserialize)]
struct WatchResponse {
    result: WatchResult,
}

#[derive(Debug, Deserialize)]
struct WatchResult {
    #[serde(default)]
    events: Vec<RawEvent>,
}

#[derive(Debug, Deserialize)]
struct RawEvent {
    #[serde(rename = "type", default)]
    kind: String,
    kv: RawEntry,
}

impl EtcdClient {
    /// Creates a client of the service at `address`, an IP address and port. `timeout` applies to
    /// each call except watches.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self { address: address.to_owned(), timeout, agent: crate::agent(timeout) }
    }

    fn call<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T, KvError> {
        self.call_with_timeout(path, body, self.timeout)
    }

    fn call_with_timeout<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<T, KvError> {
        let url = format!("http://{}{path}", self.address);
        let req = self.agent.post(url).config().timeout_global(Some(timeout)).build();
        let mut response = req.send_json(body).map_err(|err| self.call_error(&err))?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(KvError::Refused(status));
        }
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let text = body.read_to_string().map_err(|err| self.call_error(&err))?;
        serde_json::from_str(&text).map_err(|err| KvError::Malformed(err.to_string()))
    }

    fn call_error(&self, err: &ureq::Error) -> KvError {
        let (address, problem) = (self.address.clone(), err.to_string());
        if crate::was_not_sent(err) {
            KvError::NotReachable { address, problem }
        } else {
            KvError::Unanswered(problem)
        }
    }
}

impl KeyValueService for EtcdClient {
    type Error = KvError;

    fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let response: RangeResponse =
            self.call("/v3/kv/range", &json!({ "key": encode_base64(key) }))?;
        response.kvs.into_iter().next().map(decode_entry).transpose()
    }

    fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), KvError> {
        let body = json!({
            "key": encode_base64(prefix),
            "range_end": encode_base64(&prefix_end(prefix)),
        });
        let response: RangeResponse = self.call("/v3/kv/range", &body)?;
        let entries = response.kvs.into_iter().map(decode_entry).collect::<Result<_, _>>()?;
        Ok((entries, response.header.revision))
    }

    fn put_if(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<PutResult, KvError> {
        let key = encode_base64(key);
        let mut put = json!({ "key": key, "value": STANDARD.encode(value) });
        if let Some(lease) = lease {
            put["lease"] = json!(lease.to_string());
        }
        let compare = json!({
            "key": key,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": expected.to_string(),
        });
        let body = json!({ "compare": [compare], "success": [{ "request_put": put }] });
        let response: TxnResponse = self.call("/v3/kv/txn", &body)?;
        if response.succeeded {
            Ok(PutResult::Written(response.header.revision))
        } else {
            Ok(PutResult::Conflict)
        }
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, KvError> {
        let seconds = time_to_live.as_secs().max(1);
        let body = json!({ "TTL": seconds.to_string() });
        self.call::<GrantResponse>("/v3/lease/grant", &body).map(|response| response.id)
    }

    fn keep_alive(&self, lease: LeaseId) -> Result<bool, KvError> {
        let body = json!({ "ID": lease.to_string() });
        let response: KeepAliveResponse = self.call("/v3/lease/keepalive", &body)?;
        Ok(response.result.time_to_live > 0)
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), KvError> {
        let body = json!({ "ID": lease.to_string() });
        self.call::<Value>("/v3/lease/revoke", &body).map(drop)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Vec<Event>, KvError> {
        let create = json!({
            "key": encode_base64(prefix),
            "range_end": encode_base64(&prefix_end(prefix)),
            "start_revision": (after + 1).to_string(),
        });
        let body = json!({ "create_request": create });
        self.watch_once(&body, wait + WATCH_GRACE)
    }
}

impl EtcdClient {
    /// Reads the stream of a watch up to its first response with events.
    fn watch_once(&self, body: &Value, timeout: Duration) -> Result<Vec<Event>, KvError> {
        let url = format!("http://{}/v3/watch", self.address);
        let req = self.agent.post(url).config().timeout_global(Some(timeout)).build();
        let response = req.send_json(body).map_err(|err| self.call_error(&err))?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(KvError::Refused(status));
        }
        let limited = response.into_body().into_with_config().limit(MAX_RESPONSE_BYTES).reader();
        let mut is_confirmed = false;
        for line in BufReader::new(limited).lines() {
            let line = match line {
                Ok(line) => line,
                // The service confirmed the watch, and nothing changed within the timeout.
                Err(err) if is_confirmed && has_timed_out(&err) => break,
                Err(err) => return Err(KvError::Unanswered(err.to_string())),
            };
            is_confirmed = true;
            let response: WatchResponse =
                serde_json::from_str(&line).map_err(|err| KvError::Malformed(err.to_string()))?;
            if !response.result.events.is_empty() {
                return response.result.events.into_iter().map(decode_event).collect();
            }
        }
        Ok(Vec::new())
    }
}

/// Returns whether reading failed because of a timeout. The HTTP client wraps its own timeout error
/// in the reader's error.
fn has_timed_out(err: &io::Error) -> bool {
    let inner = err.get_ref().and_then(|inner| inner.downcast_ref::<ureq::Error>());
    matches!(inner, Some(ureq::Error::Timeout(_))) || err.kind() == io::ErrorKind::TimedOut
}

fn decode_event(raw: RawEvent) -> Result<Event, KvError> {
    let entry = decode_entry(raw.kv)?;
    if raw.kind == "DELETE" {
        Ok(Event::Delete { key: entry.key, revision: entry.revision })
    } else {
        Ok(Event::Put(entry))
    }
}

fn decode_entry(raw: RawEntry) -> Result<Entry, KvError> {
    let malformed = |problem: String| KvError::Malformed(problem);
    let key = STANDARD.decode(&raw.key).map_err(|err| malformed(err.to_string()))?;
    let key = String::from_utf8(key).map_err(|err| malformed(err.to_string()))?;
    let value = STANDARD.decode(&raw.value).map_err(|err| malformed(err.to_string()))?;
    Ok(Entry { key, value, revision: raw.mod_revision })
}

fn encode_base64(text: &str) -> String {
    STANDARD.encode(text)
}

/// Returns the smallest key that is greater than all keys with a prefix.
fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    let last = end.pop().expect("the prefix is not empty");
    end.push(char::from_u32(last as u32 + 1).expect("the prefix ends in an ASCII character"));
    end
}

/// Deserializes an integer. The JSON gateway writes 64-bit integers as strings.
fn integer<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let text = match Value::deserialize(deserializer)? {
        Value::String(text) => text,
        other => other.to_string(),
    };
    text.parse().map_err(serde::de::Error::custom)
}
