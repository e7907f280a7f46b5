//! The settings of the entry and control daemons, which are read from a JSON file and validated at
//! start.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::dispatch::DispatchConfig;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

/// The settings of both daemons on one VM. Every field has a default, and times and sizes have
/// their unit in the name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// The name of this VM in the platform's list of VMs. Default `vm-1`.
    pub vm: Name,
    /// The failure domain of this VM. Default `domain-a`.
    pub failure_domain: Name,
    /// The region of that failure domain. Default `region-1`.
    pub region: Name,
    /// The IP address and port that accept callers' requests. Default `127.0.0.1:7000`.
    pub entry_listen: String,
    /// The IP address and port for the entry's metrics and status. Default `127.0.0.1:7001`.
    pub entry_metrics_listen: String,
    /// The IP address and port for calls to the control process from entries, other control
    /// processes and the command-line tool. Default `127.0.0.1:7002`.
    pub control_listen: String,
    /// The IP address and port for the control process's metrics and status. Default
    /// `127.0.0.1:7003`.
    pub control_metrics_listen: String,
    /// The IP address and port of the key-value service. Default `127.0.0.1:2379`.
    pub key_value: String,
    /// The IP address and port of the platform's list of VMs. Default `127.0.0.1:2380`.
    pub vm_list: String,
    /// The IP addresses and ports of other control processes, which are tried in this order: by the
    /// control process while the platform is unreachable, and by the entry while its own control
    /// process is unreachable. Default none.
    pub peers: Vec<String>,
    /// The callers and their keys. If there are none, every caller is served. Default none.
    pub callers: Vec<CallerSettings>,
    /// The share of the slots that each rank is guaranteed, in percent, the most urgent rank first.
    /// Default 60, 30, 10.
    pub shares_percent: [u32; 3],
    /// The concurrency limit, in requests, of a server without measurements. Default 8.
    pub initial_limit: u32,
    /// The maximum number of requests that this entry has in progress on one server. Default 256.
    pub max_limit: u32,
    /// The round-trip time to another region, in milliseconds. Default 40.
    pub region_round_trip_ms: u64,
    /// The time that an engine takes to process one prompt token that is not cached, in
    /// microseconds. Default 50.
    pub prefill_per_token_us: u64,
    /// The maximum size of a request body, in bytes. Default 1,048,576.
    pub max_body_bytes: usize,
    /// The maximum size of a response body that is not streamed, in bytes. Default 4,194,304.
    pub max_answer_bytes: usize,
    /// The maximum number of connections of all callers. Default 2,000.
    pub max_connections: usize,
    /// The maximum number of connections from one IP address. Default 1,000.
    pub max_connections_per_address: usize,
    /// Timeout for receiving the head of a request, and again for its body, in milliseconds.
    /// Default 5,000.
    pub read_timeout_ms: u64,
    /// Timeout for a caller that does not read its stream, in milliseconds. Default 10,000.
    pub caller_stall_ms: u64,
    /// Timeout for connecting to a backend server, in milliseconds. Default 500.
    pub connect_timeout_ms: u64,
    /// Timeout for an engine's response that makes no progress, in milliseconds. Default 3,000.
    pub stream_stall_ms: u64,
    /// Timeout for the response of a service that is not an inference engine, in milliseconds.
    /// Default 5,000.
    pub service_timeout_ms: u64,
    /// The time for which callers may cache the entry addresses that they were given, in
    /// milliseconds. Default 10,000.
    pub address_lifetime_ms: u64,
    /// The length of the epochs in which tickets are issued, in milliseconds. A ticket is valid for
    /// two to three epochs. Default 60,000.
    pub ticket_epoch_ms: u64,
    /// The maximum time that a graceful stop waits for requests in progress, in milliseconds.
    /// Default 30,000.
    pub drain_timeout_ms: u64,
    /// The time to live of leases, in milliseconds; must be a multiple of 1,000. Default 9,000.
    pub lease_ttl_ms: u64,
    /// Timeout for a call to the platform, in milliseconds. Default 1,000.
    pub platform_timeout_ms: u64,
    /// Timeout for an order to an engine, in milliseconds. Default 2,000.
    pub order_timeout_ms: u64,
    /// The interval at which a server without pending changes is checked, in milliseconds.
    /// Default 4,000.
    pub steward_period_ms: u64,
    /// The interval between two placement plans, in milliseconds. Default 2,000.
    pub plan_period_ms: u64,
    /// The maximum number of new copies that may displace others in one plan. Default 2.
    pub move_budget: usize,
    /// The number of concurrent loads that the weight store serves at full speed. Default 8.
    pub weight_store_slots: u32,
    /// The log level: `error`, `warn`, `info` or `debug`. Default `info`.
    pub log_level: String,
}

/// A caller and its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerSettings {
    /// The name of the caller in metrics.
    pub name: Name,
    /// The bearer token that authenticates the caller.
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

/// An invalid field in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem} (found {value})")]
pub struct FieldError {
    /// The name of the field.
    pub field: String,
    /// The value found, as JSON.
    pub value: String,
    /// The problem with the value.
    pub problem: String,
}

/// An error that makes the settings unusable.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {err}", path.display())]
    NotReadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        err: std::io::Error,
    },
    /// The file is not JSON, or not an object.
    #[error("not a JSON object: {0}")]
    NotJson(String),
    /// Some fields are invalid. Each is displayed on a line of its own.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    InvalidFields(Vec<FieldError>),
}

/// Settings that passed validation.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedSettings {
    /// The settings.
    pub settings: Settings,
    /// The keys in the file that name no setting, and are ignored.
    pub unknown_keys: Vec<String>,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not a JSON object, or has invalid fields. The
    /// error lists all invalid fields.
    pub fn read(path: &Path) -> Result<CheckedSettings, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|err| SettingsError::NotReadable { path: path.to_owned(), err })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a JSON object or has invalid fields. The error lists all
    /// invalid fields.
    pub fn parse(text: &str) -> Result<CheckedSettings, SettingsError> {
        let file_fields: Map<String, Value> =
            serde_json::from_str(text).map_err(|err| SettingsError::NotJson(err.to_string()))?;
        let Value::Object(mut merged) = to_value(&Self::default()) else {
            unreachable!("a struct serializes to an object")
        };
        let mut unknown_keys = Vec::new();
        let mut errors = Vec::new();
        for (field, value) in file_fields {
            if !merged.contains_key(&field) {
                unknown_keys.push(field);
            } else if let Some(problem) = type_error(&field, &value) {
                errors.push(FieldError { field, value: value.to_string(), problem });
            } else {
                merged.insert(field, value);
            }
        }
        let settings: Self = serde_json::from_value(Value::Object(merged))
            .map_err(|err| SettingsError::NotJson(err.to_string()))?;
        settings.check_values(&mut errors);
        if errors.is_empty() {
            Ok(CheckedSettings { settings, unknown_keys })
        } else {
            Err(SettingsError::InvalidFields(errors))
        }
    }

    /// Adds an error for each field whose value is not allowed.
    fn check_values(&self, errors: &mut Vec<FieldError>) {
        let mut add_error = |field: &str, value: &Value, problem: &str| {
            let (field, problem) = (field.to_owned(), problem.to_owned());
            errors.push(FieldError { field, value: value.to_string(), problem });
        };
        let values = to_value(self);
        for field in ["vm", "failure_domain", "region"] {
            if values[field].as_str().is_none_or(str::is_empty) {
                add_error(field, &values[field], "must not be empty");
            }
        }
        for field in ADDRESS_FIELDS {
            if !is_address(&values[field]) {
                add_error(
                    field,
                    &values[field],
                    "use an IP address and a port, such as 10.0.0.1:7000",
                );
            }
        }
        if !values["peers"].as_array().is_some_and(|peers| peers.iter().all(is_address)) {
            add_error("peers", &values["peers"], "use IP addresses and ports");
        }
        for (field, value) in values.as_object().into_iter().flatten() {
            if value.as_u64() == Some(0) && field != "move_budget" {
                add_error(field, value, "must be greater than 0");
            }
        }
        if self.shares_percent.iter().sum::<u32>() != 100 || self.shares_percent.contains(&0) {
            add_error(
                "shares_percent",
                &values["shares_percent"],
                "use three shares above 0 that add up to 100",
            );
        }
        if !self.lease_ttl_ms.is_multiple_of(1_000) {
            add_error("lease_ttl_ms", &values["lease_ttl_ms"], "use whole seconds");
        }
        if !["error", "warn", "info", "debug"].contains(&&*self.log_level) {
            add_error("log_level", &values["log_level"], "use error, warn, info or debug");
        }
    }

    /// Returns the settings of the dispatcher.
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

/// The fields that hold an IP address and a port.
const ADDRESS_FIELDS: [&str; 6] = [
    "entry_listen",
    "entry_metrics_listen",
    "control_listen",
    "control_metrics_listen",
    "key_value",
    "vm_list",
];

fn to_value(settings: &Settings) -> Value {
    serde_json::to_value(settings).expect("plain fields serialize")
}

fn is_address(value: &Value) -> bool {
    value.as_str().is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

/// Returns the problem with the type of a field's value, if any. Each field is deserialized
/// separately, so that all fields of a wrong type are reported.
fn type_error(field: &str, value: &Value) -> Option<String> {
    let object = Map::from_iter([(field.to_owned(), value.clone())]);
    serde_json::from_value::<Settings>(Value::Object(object)).err().map(|err| err.to_string())
}
