//! The platform's key-value service, over the JSON form of the etcd v3 interface.

use std::io::{self, BufRead, BufReader};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use thiserror::Error;
use ureq::Agent;

/// A revision of the key-value service; 0 stands for a key that does not exist.
pub type Revision = u64;

/// A lease of the key-value service, which ends with its holder's last renewal.
pub type LeaseId = i64;

/// How much longer than the service a watch waits before it counts as unanswered.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// The longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// One key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last write of this key.
    pub revision: Revision,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Entry),
    /// A key was removed.
    Delete {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: Revision,
    },
}

/// What came of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutResult {
    /// The value stands, at this revision.
    Written(Revision),
    /// The key had another revision; nothing was written.
    Conflict,
}

/// Why a call of the key-value service gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KvError {
    /// Nothing of the call was sent.
    #[error("key-value service at {address} not reachable: {problem}")]
    NotReachable {
        /// Its address.
        address: String,
        /// The client's words.
        problem: String,
    },
    /// The call was sent and no answer came: a write may have taken effect, now or later.
    #[error("key-value service gave no answer: {0}")]
    Unanswered(String),
    /// The service refused the call without carrying it out.
    #[error("key-value service refused the call with status {0}")]
    Refused(u16),
    /// The answer is not in the published form.
    #[error("key-value service gave a malformed answer: {0}")]
    Malformed(String),
}

/// What the product needs of a key-value service.
///
/// The contract is in `docs/INTERFACES.md`; the contract tests run against any implementation.
pub trait KeyValueService: Send + Sync {
    /// Why a call gave no result.
    type Error;

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came.
    fn get(&self, key: &str) -> Result<Option<Entry>, Self::Error>;

    /// Reads every key with a prefix, and the revision at which that was true.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came.
    fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), Self::Error>;

    /// Writes a key if it is still at `expected`; 0 asks that it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came; the write may then have taken effect.
    fn put_if(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<PutResult, Self::Error>;

    /// Asks for a new lease.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came.
    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Self::Error>;

    /// Renews a lease and returns whether it still existed.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came.
    fn keep_alive(&self, lease: LeaseId) -> Result<bool, Self::Error>;

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came.
    fn revoke(&self, lease: LeaseId) -> Result<(), Self::Error>;

    /// Waits for changes after a revision; returns none where nothing changed in time.
    ///
    /// # Errors
    ///
    /// Returns an error where the service could not be asked.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<Event>, Self::Error>;
}

/// A client of the JSON form of etcd v3.
#[derive(Debug, Clone)]
pub struct EtcdClient {
    address: String,
    timeout: Duration,
    agent: Agent,
}

#[derive(Debug, Deserialize)]
struct Header {
    #[serde(default, deserialize_with = "number")]
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct RawEntry {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "number")]
    mod_revision: u64,
}

#[derive(Debug, Deserialize)]
struct RangeAnswer {
    header: Header,
    #[serde(default)]
    kvs: Vec<RawEntry>,
}

#[derive(Debug, Deserialize)]
struct TxnAnswer {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Debug, Deserialize)]
struct GrantAnswer {
    #[serde(rename = "ID", deserialize_with = "number")]
    id: i64,
}

#[derive(Debug, Deserialize)]
struct KeepAliveAnswer {
    result: KeepAliveResult,
}

#[derive(Debug, Deserialize)]
struct KeepAliveResult {
    #[serde(rename = "TTL", default, deserialize_with = "number")]
    time_to_live: i64,
}

#[derive(Debug, Deserialize)]
struct WatchAnswer {
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
    /// Makes a client of the service at an IP address and port.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self { address: address.to_owned(), timeout, agent: crate::agent(timeout) }
    }

    fn call<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T, KvError> {
        self.call_within(path, body, self.timeout)
    }

    fn call_within<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<T, KvError> {
        let url = format!("http://{}{path}", self.address);
        let req = self.agent.post(url).config().timeout_global(Some(timeout)).build();
        let mut answer = req.send_json(body).map_err(|err| self.failed(&err))?;
        let status = answer.status().as_u16();
        if status != 200 {
            return Err(KvError::Refused(status));
        }
        let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        let text = body.read_to_string().map_err(|err| self.failed(&err))?;
        serde_json::from_str(&text).map_err(|err| KvError::Malformed(err.to_string()))
    }

    fn failed(&self, err: &ureq::Error) -> KvError {
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
        let answer: RangeAnswer = self.call("/v3/kv/range", &json!({ "key": encode(key) }))?;
        answer.kvs.into_iter().next().map(entry).transpose()
    }

    fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), KvError> {
        let body = json!({ "key": encode(prefix), "range_end": encode(&prefix_end(prefix)) });
        let answer: RangeAnswer = self.call("/v3/kv/range", &body)?;
        let entries = answer.kvs.into_iter().map(entry).collect::<Result<_, _>>()?;
        Ok((entries, answer.header.revision))
    }

    fn put_if(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<PutResult, KvError> {
        let key = encode(key);
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
        let answer: TxnAnswer = self.call("/v3/kv/txn", &body)?;
        if answer.succeeded {
            Ok(PutResult::Written(answer.header.revision))
        } else {
            Ok(PutResult::Conflict)
        }
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, KvError> {
        let seconds = time_to_live.as_secs().max(1);
        let body = json!({ "TTL": seconds.to_string() });
        self.call::<GrantAnswer>("/v3/lease/grant", &body).map(|answer| answer.id)
    }

    fn keep_alive(&self, lease: LeaseId) -> Result<bool, KvError> {
        let body = json!({ "ID": lease.to_string() });
        let answer: KeepAliveAnswer = self.call("/v3/lease/keepalive", &body)?;
        Ok(answer.result.time_to_live > 0)
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), KvError> {
        let body = json!({ "ID": lease.to_string() });
        self.call::<Value>("/v3/lease/revoke", &body).map(drop)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Vec<Event>, KvError> {
        let create = json!({
            "key": encode(prefix),
            "range_end": encode(&prefix_end(prefix)),
            "start_revision": (after + 1).to_string(),
        });
        let body = json!({ "create_request": create });
        self.watch_once(&body, wait + WATCH_GRACE)
    }
}

impl EtcdClient {
    /// Reads the stream of a watch up to its first answer with events.
    fn watch_once(&self, body: &Value, timeout: Duration) -> Result<Vec<Event>, KvError> {
        let url = format!("http://{}/v3/watch", self.address);
        let req = self.agent.post(url).config().timeout_global(Some(timeout)).build();
        let answer = req.send_json(body).map_err(|err| self.failed(&err))?;
        let status = answer.status().as_u16();
        if status != 200 {
            return Err(KvError::Refused(status));
        }
        let limited = answer.into_body().into_with_config().limit(MAX_ANSWER_BYTES).reader();
        let mut was_created = false;
        for line in BufReader::new(limited).lines() {
            let line = match line {
                Ok(line) => line,
                // The service confirmed the watch, and nothing changed in time.
                Err(err) if was_created && has_timed_out(&err) => break,
                Err(err) => return Err(KvError::Unanswered(err.to_string())),
            };
            was_created = true;
            let answer: WatchAnswer =
                serde_json::from_str(&line).map_err(|err| KvError::Malformed(err.to_string()))?;
            if !answer.result.events.is_empty() {
                return answer.result.events.into_iter().map(event).collect();
            }
        }
        Ok(Vec::new())
    }
}

/// The client hands its own timeout on inside an error of the reader.
fn has_timed_out(err: &io::Error) -> bool {
    let inner = err.get_ref().and_then(|inner| inner.downcast_ref::<ureq::Error>());
    matches!(inner, Some(ureq::Error::Timeout(_))) || err.kind() == io::ErrorKind::TimedOut
}

fn event(raw: RawEvent) -> Result<Event, KvError> {
    let entry = entry(raw.kv)?;
    if raw.kind == "DELETE" {
        Ok(Event::Delete { key: entry.key, revision: entry.revision })
    } else {
        Ok(Event::Put(entry))
    }
}

fn entry(raw: RawEntry) -> Result<Entry, KvError> {
    let malformed = |problem: String| KvError::Malformed(problem);
    let key = STANDARD.decode(&raw.key).map_err(|err| malformed(err.to_string()))?;
    let key = String::from_utf8(key).map_err(|err| malformed(err.to_string()))?;
    let value = STANDARD.decode(&raw.value).map_err(|err| malformed(err.to_string()))?;
    Ok(Entry { key, value, revision: raw.mod_revision })
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// Returns the first key after every key with a prefix.
fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    let last = end.pop().expect("a prefix is not empty");
    end.push(char::from_u32(last as u32 + 1).expect("prefixes end in ASCII"));
    end
}

/// The JSON form writes 64-bit numbers as strings.
fn number<'de, D, T>(deserializer: D) -> Result<T, D::Error>
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
