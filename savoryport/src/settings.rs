//! Settings of the daemons, read from a JSON file and checked at start.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::dispatch::DispatchConfig;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

/// Settings of both daemons of one VM; every field has a default and a unit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// The name of this VM in the platform's list. Default `vm-1`.
    pub vm: Name,
    /// The failure domain of this VM. Default `domain-a`.
    pub failure_domain: Name,
    /// The region of that failure domain. Default `region-1`.
    pub region: Name,
    /// IP address and port for callers. Default `127.0.0.1:7000`.
    pub entry_listen: String,
    /// IP address and port for the entry's metrics and status. Default `127.0.0.1:7001`.
    pub entry_metrics_listen: String,
    /// IP address and port for other processes of savoryport. Default `127.0.0.1:7002`.
    pub control_listen: String,
    /// IP address and port for the control's metrics and status. Default `127.0.0.1:7003`.
    pub control_metrics_listen: String,
    /// IP address and port of the key-value service. Default `127.0.0.1:2379`.
    pub key_value: String,
    /// IP address and port of the platform's list of VMs. Default `127.0.0.1:2380`.
    pub vm_list: String,
    /// IP addresses and ports of other control processes, asked in this order while the platform
    /// cannot be. Default none.
    pub peers: Vec<String>,
    /// Callers and their keys; without any, every caller is served. Default none.
    pub callers: Vec<CallerSettings>,
    /// The guaranteed share of each rank in hundredths, the most urgent first. Default 60, 30, 10.
    pub shares_percent: [u32; 3],
    /// Requests that a server is sent at once before anything is known of it. Default 8.
    pub initial_limit: u32,
    /// The most requests that this entry has under way on one server. Default 256.
    pub max_limit: u32,
    /// The round trip to another region in milliseconds. Default 40.
    pub region_round_trip_ms: u64,
    /// The engine's time for one prompt token in microseconds. Default 50.
    pub prefill_per_token_us: u64,
    /// The longest body of a request in bytes. Default 1,048,576.
    pub max_body_bytes: usize,
    /// The longest answer of a plain service in bytes. Default 4,194,304.
    pub max_answer_bytes: usize,
    /// The most connections of callers. Default 2,000.
    pub max_connections: usize,
    /// The most connections from one IP address. Default 1,000.
    pub max_connections_per_address: usize,
    /// The time for a request's head, and again for its body, in milliseconds. Default 5,000.
    pub read_timeout_ms: u64,
    /// The time that a caller may read nothing in milliseconds. Default 10,000.
    pub caller_stall_ms: u64,
    /// The time to connect to a backend server in milliseconds. Default 500.
    pub connect_timeout_ms: u64,
    /// The time without progress of an engine's answer in milliseconds. Default 3,000.
    pub stream_stall_ms: u64,
    /// The time for an answer of a plain service in milliseconds. Default 5,000.
    pub service_timeout_ms: u64,
    /// The time for which the answer to "which address?" may be kept in milliseconds.
    /// Default 10,000.
    pub address_lifetime_ms: u64,
    /// The length of a ticket's epoch in milliseconds; a ticket lives for two to three of them.
    /// Default 60,000.
    pub ticket_epoch_ms: u64,
    /// The longest time that a graceful stop waits in milliseconds. Default 30,000.
    pub drain_timeout_ms: u64,
    /// The time to live of leases in milliseconds, in whole seconds. Default 9,000.
    pub lease_ttl_ms: u64,
    /// The time for one call of the platform in milliseconds. Default 1,000.
    pub platform_timeout_ms: u64,
    /// The time for one order to an engine in milliseconds. Default 2,000.
    pub order_timeout_ms: u64,
    /// How often a settled server is looked at in milliseconds. Default 4,000.
    pub steward_period_ms: u64,
    /// How often a plan is made in milliseconds. Default 2,000.
    pub plan_period_ms: u64,
    /// The most copies that one plan may displace. Default 2.
    pub move_budget: usize,
    /// Loads that the weight store serves at once at full speed. Default 8.
    pub weight_store_slots: u32,
    /// The level of the log: `error`, `warn`, `info` or `debug`. Default `info`.
    pub log_level: String,
}

/// One caller and its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerSettings {
    /// The name used in metrics.
    pub name: Name,
    /// The bearer token.
    pub key: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: "vm-1".into(),
            failure_domain: "domain-a".into(),
            region: "region-1".into(),
            entry_listen: "127.0.0.1:7000".to_owned(),
            entry_metrics_listen: "127.0.0.1:7001".to_owned(),
            control_listen: "127.0.0.1:7002".to_owned(),
            control_metrics_listen: "127.0.0.1:7003".to_owned(),
            key_value: "127.0.0.1:2379".to_owned(),
            vm_list: "127.0.0.1:2380".to_owned(),
            peers: Vec::new(),
            callers: Vec::new(),
            shares_percent: [60, 30, 10],
            initial_limit: 8,
            max_limit: 256,
            region_round_trip_ms: 40,
            prefill_per_token_us: 50,
            max_body_bytes: 1024 * 1024,
            max_answer_bytes: 4 * 1024 * 1024,
            max_connections: 2_000,
            max_connections_per_address: 1_000,
            read_timeout_ms: 5_000,
            caller_stall_ms: 10_000,
            connect_timeout_ms: 500,
            stream_stall_ms: 3_000,
            service_timeout_ms: 5_000,
            address_lifetime_ms: 10_000,
            ticket_epoch_ms: 60_000,
            drain_timeout_ms: 30_000,
            lease_ttl_ms: 9_000,
            platform_timeout_ms: 1_000,
            order_timeout_ms: 2_000,
            steward_period_ms: 4_000,
            plan_period_ms: 2_000,
            move_budget: 2,
            weight_store_slots: 8,
            log_level: "info".to_owned(),
        }
    }
}

/// One field that the settings may not hold.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem} (found {value})")]
pub struct FieldError {
    /// The field's name.
    pub field: String,
    /// The value found, as JSON.
    pub value: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Why settings are refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {err}", path.display())]
    NotReadable {
        /// The file.
        path: PathBuf,
        /// The operating system's words.
        err: std::io::Error,
    },
    /// The file is no JSON object.
    #[error("not a JSON object: {0}")]
    NotJson(String),
    /// Some fields are wrong.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    InvalidFields(Vec<FieldError>),
}

/// Settings that were read, and the keys in the file that mean nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedSettings {
    /// The settings.
    pub settings: Settings,
    /// Keys that were ignored.
    pub unknown_keys: Vec<String>,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns every wrong field at once.
    pub fn read(path: &Path) -> Result<CheckedSettings, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|err| SettingsError::NotReadable { path: path.to_owned(), err })?;
        Self::parse(&text)
    }

    /// Checks settings in JSON.
    ///
    /// # Errors
    ///
    /// Returns every wrong field at once.
    pub fn parse(text: &str) -> Result<CheckedSettings, SettingsError> {
        let fields: Map<String, Value> =
            serde_json::from_str(text).map_err(|err| SettingsError::NotJson(err.to_string()))?;
        let Value::Object(mut known) = to_value(&Self::default()) else {
            unreachable!("settings are an object")
        };
        let mut unknown_keys = Vec::new();
        let mut errors = Vec::new();
        for (field, value) in fields {
            if !known.contains_key(&field) {
                unknown_keys.push(field);
            } else if let Some(problem) = type_error(&field, &value) {
                errors.push(FieldError { field, value: value.to_string(), problem });
            } else {
                known.insert(field, value);
            }
        }
        let settings: Self = serde_json::from_value(Value::Object(known))
            .map_err(|err| SettingsError::NotJson(err.to_string()))?;
        settings.check(&mut errors);
        if errors.is_empty() {
            Ok(CheckedSettings { settings, unknown_keys })
        } else {
            Err(SettingsError::InvalidFields(errors))
        }
    }

    fn check(&self, errors: &mut Vec<FieldError>) {
        let mut fail = |field: &str, value: &Value, problem: &str| {
            let (field, problem) = (field.to_owned(), problem.to_owned());
            errors.push(FieldError { field, value: value.to_string(), problem });
        };
        let values = to_value(self);
        for field in ["vm", "failure_domain", "region"] {
            if values[field].as_str().is_none_or(str::is_empty) {
                fail(field, &values[field], "must not be empty");
            }
        }
        for field in ADDRESS_FIELDS {
            if !is_address(&values[field]) {
                fail(field, &values[field], "use an IP address and a port, such as 10.0.0.1:7000");
            }
        }
        if !values["peers"].as_array().is_some_and(|peers| peers.iter().all(is_address)) {
            fail("peers", &values["peers"], "use IP addresses and ports");
        }
        for (field, value) in values.as_object().into_iter().flatten() {
            if value.as_u64() == Some(0) && field != "move_budget" {
                fail(field, value, "must be greater than 0");
            }
        }
        if self.shares_percent.iter().sum::<u32>() != 100 || self.shares_percent.contains(&0) {
            fail("shares_percent", &values["shares_percent"], "three shares that add up to 100");
        }
        if !self.lease_ttl_ms.is_multiple_of(1_000) {
            fail("lease_ttl_ms", &values["lease_ttl_ms"], "use whole seconds");
        }
        if !["error", "warn", "info", "debug"].contains(&&*self.log_level) {
            fail("log_level", &values["log_level"], "use error, warn, info or debug");
        }
    }

    /// Returns the settings of the entry's decisions.
    pub fn dispatch_config(&self) -> DispatchConfig {
        DispatchConfig {
            region: self.region.clone(),
            shares: self.shares_percent.map(|share| f64::from(share) / 100.0),
            initial_limit: f64::from(self.initial_limit),
            max_limit: f64::from(self.max_limit),
            region_round_trip: Duration::from_millis(self.region_round_trip_ms),
            prefill_per_token: Duration::from_micros(self.prefill_per_token_us),
        }
    }
}

const ADDRESS_FIELDS: [&str; 6] = [
    "entry_listen",
    "entry_metrics_listen",
    "control_listen",
    "control_metrics_listen",
    "key_value",
    "vm_list",
];

fn to_value(settings: &Settings) -> Value {
    serde_json::to_value(settings).expect("settings are plain values")
}

fn is_address(value: &Value) -> bool {
    value.as_str().is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

/// Tries one field on its own, so that every wrong one is reported.
fn type_error(field: &str, value: &Value) -> Option<String> {
    let alone = Map::from_iter([(field.to_owned(), value.clone())]);
    serde_json::from_value::<Settings>(Value::Object(alone)).err().map(|err| err.to_string())
}
