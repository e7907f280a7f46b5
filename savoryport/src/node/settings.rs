//! Settings of a node, read from a JSON file and checked at start.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::node::selection::SelectionCosts;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// Settings of one node; every field has a default and a unit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeSettings {
    /// The name of this VM. Default `vm-1`.
    pub vm: Name,
    /// The failure domain of this VM. Default `domain-a`.
    pub failure_domain: Name,
    /// The region of that failure domain. Default `region-1`.
    pub region: Name,
    /// The region of every failure domain. Default none.
    pub failure_domains: BTreeMap<Name, Name>,
    /// Address for callers' requests. Default `127.0.0.1:7100`.
    pub callers_listen: SocketAddr,
    /// Address for the platform's question whether this node is ready. Default `127.0.0.1:7101`.
    pub readiness_listen: SocketAddr,
    /// Address for callers' question which addresses to use. Default `127.0.0.1:7102`.
    pub directory_listen: SocketAddr,
    /// The VM's address, for other nodes and for metrics. Default `127.0.0.1`.
    pub ip_address: IpAddr,
    /// Port for other nodes. Default 7103.
    pub peers_port: u16,
    /// Port for metrics. Default 9464.
    pub metrics_port: u16,
    /// Address of the platform's store. Default `127.0.0.1:7104`.
    pub store: Name,
    /// Whether the whole system starts for the first time. Default false.
    pub first_start: bool,
    /// The share of a core that the process may use. Default 1.
    pub cpu_share: f64,
    /// Memory that the process may use, in MB. Default 256.
    pub memory_mb: u64,
    /// Descriptors that the process may use. Default 4,096.
    pub file_descriptors: u64,
    /// The shortest time between orders of two holders to one server, in milliseconds. Default 3,000.
    pub order_turn_ms: u64,
    /// The shortest lease that the store gives, in milliseconds. Default 1,000.
    pub min_lease_ms: u64,
    /// The time that a stop may take, in seconds. Default 8.
    pub stop_within_s: f64,
    /// Retries allowed for each request, over all nodes. Default 0.2.
    pub retry_ratio: f64,
    /// Retries allowed besides, over all nodes. Default 10.
    pub retry_extra: f64,
    /// The window in which loads from the weight store are counted, in seconds. Default 5.
    pub load_window_s: f64,
    /// The longest time for which callers may keep an address, in seconds. Default 5.
    pub address_ttl_max_s: f64,
    /// The time between two looks at the store, in milliseconds. Default 500.
    pub store_poll_ms: u64,
    /// The time for one call of the store, in milliseconds. Default 1,000.
    pub store_timeout_ms: u64,
    /// The time between two reports to the node that holds the duty, in milliseconds. Default 50.
    pub sync_period_ms: u64,
    /// The time between two exchanges of duty holders, in milliseconds. Default 250.
    pub exchange_period_ms: u64,
    /// The time between two looks at the placement of models, in milliseconds. Default 100.
    pub placement_period_ms: u64,
    /// The time to connect to a backend server, in milliseconds. Default 400.
    pub connect_timeout_ms: u64,
    /// The time that an engine takes for an adapter after it accepted the order, in milliseconds.
    /// Default 12.
    pub adapter_load_ms: u64,
    /// Added to the expected time of a server in another failure domain, in milliseconds. Default 8.
    pub other_domain_ms: f64,
    /// Added to the expected time of a server in another region, in milliseconds. Default 90.
    pub other_region_ms: f64,
    /// The level of the log: `error`, `warn`, `info` or `debug`. Default `info`.
    pub log_level: String,
}

impl Default for NodeSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            vm: "vm-1".into(),
            failure_domain: "domain-a".into(),
            region: "region-1".into(),
            failure_domains: BTreeMap::new(),
            callers_listen: local(7100),
            readiness_listen: local(7101),
            directory_listen: local(7102),
            ip_address: Ipv4Addr::LOCALHOST.into(),
            peers_port: 7103,
            metrics_port: 9464,
            store: "127.0.0.1:7104".into(),
            first_start: false,
            cpu_share: 1.0,
            memory_mb: 256,
            file_descriptors: 4_096,
            order_turn_ms: 3_000,
            min_lease_ms: 1_000,
            stop_within_s: 8.0,
            retry_ratio: 0.2,
            retry_extra: 10.0,
            load_window_s: 5.0,
            address_ttl_max_s: 5.0,
            store_poll_ms: 500,
            store_timeout_ms: 1_000,
            sync_period_ms: 50,
            exchange_period_ms: 250,
            placement_period_ms: 100,
            connect_timeout_ms: 400,
            adapter_load_ms: 12,
            other_domain_ms: 8.0,
            other_region_ms: 90.0,
            log_level: "info".to_owned(),
        }
    }
}

/// Why the settings cannot be used.
#[derive(Debug, Error)]
pub enum NodeSettingsError {
    /// The file cannot be read.
    #[error("{path}: {problem}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's words.
        problem: String,
    },
    /// The file is not JSON, or not an object.
    #[error("not a JSON object: {0}")]
    Malformed(String),
    /// Fields have values that they may not have, one a line.
    #[error("{}", .0.join("\n"))]
    InvalidFields(Vec<String>),
}

/// Settings that passed their checks.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedNodeSettings {
    /// The settings.
    pub settings: NodeSettings,
    /// Keys that no setting has.
    pub unknown_keys: Vec<String>,
}

impl NodeSettings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns every problem at once.
    pub fn read(path: &Path) -> Result<CheckedNodeSettings, NodeSettingsError> {
        let text = std::fs::read_to_string(path).map_err(|err| NodeSettingsError::Unreadable {
            path: path.to_owned(),
            problem: err.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// Returns every problem at once.
    pub fn parse(text: &str) -> Result<CheckedNodeSettings, NodeSettingsError> {
        let given: serde_json::Map<String, Value> = serde_json::from_str(text)
            .map_err(|err| NodeSettingsError::Malformed(err.to_string()))?;
        let defaults = serde_json::to_value(Self::default()).expect("plain fields serialize");
        let mut merged = defaults.as_object().cloned().unwrap_or_default();
        let (mut unknown_keys, mut problems) = (Vec::new(), Vec::new());
        for (key, value) in given {
            let Some(default) = merged.get(&key).cloned() else {
                unknown_keys.push(key);
                continue;
            };
            merged.insert(key.clone(), value.clone());
            // Each field is tried by itself, so that all mistyped ones are named at once.
            if let Err(err) = serde_json::from_value::<Self>(Value::Object(merged.clone())) {
                problems.push(format!("{key}: {err} (found {value})"));
                merged.insert(key, default);
            }
        }
        let settings: Self = serde_json::from_value(Value::Object(merged))
            .map_err(|err| NodeSettingsError::Malformed(err.to_string()))?;
        problems.extend(settings.problems());
        if problems.is_empty() {
            Ok(CheckedNodeSettings { settings, unknown_keys })
        } else {
            Err(NodeSettingsError::InvalidFields(problems))
        }
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |field: &str, holds: bool, wanted: &str| {
            if !holds {
                problems.push(format!("{field}: must be {wanted}"));
            }
        };
        check("vm", !self.vm.is_empty(), "a name");
        check("failure_domain", !self.failure_domain.is_empty(), "a name");
        check("store", !self.store.is_empty(), "IP:PORT");
        check("store_poll_ms", (10..=10_000).contains(&self.store_poll_ms), "10 to 10,000");
        check("store_timeout_ms", self.store_timeout_ms >= 50, "50 or more");
        check("sync_period_ms", (5..=1_000).contains(&self.sync_period_ms), "5 to 1,000");
        check("exchange_period_ms", self.exchange_period_ms >= 20, "20 or more");
        check("placement_period_ms", self.placement_period_ms >= 10, "10 or more");
        check("cpu_share", self.cpu_share > 0.0, "more than 0");
        check("stop_within_s", self.stop_within_s > 0.5, "more than 0.5");
        check("load_window_s", self.load_window_s > 0.0, "more than 0");
        check("retry_ratio", self.retry_ratio >= 0.0, "0 or more");
        check("retry_extra", self.retry_extra >= 0.0, "0 or more");
        let levels = ["error", "warn", "info", "debug"];
        check("log_level", levels.contains(&&*self.log_level), "error, warn, info or debug");
        problems
    }

    /// Returns the address for other nodes.
    pub fn peers_listen(&self) -> SocketAddr {
        SocketAddr::new(self.ip_address, self.peers_port)
    }

    /// Returns whether a failure domain is in this VM's region.
    pub fn is_in_own_region(&self, failure_domain: &str) -> bool {
        self.region_of(failure_domain) == Some(&self.region)
    }

    /// Returns the region of a failure domain, if the settings name it.
    pub fn region_of(&self, failure_domain: &str) -> Option<&Name> {
        self.failure_domains.get(failure_domain)
    }

    /// Returns the time to live of the duty's lease. It is as short as the store allows with room for
    /// lost renewals, since nobody gives orders between a holder's end and its lapse.
    pub fn leadership_lease_ttl(&self) -> Duration {
        Duration::from_millis((self.min_lease_ms * 2).max(1_000))
    }

    /// Returns what distance and missing adapters cost.
    pub fn selection_costs(&self) -> SelectionCosts {
        SelectionCosts {
            other_domain_ms: self.other_domain_ms,
            other_region_ms: self.other_region_ms,
            adapter_load_ms: self.adapter_load_ms as f64 * 2.0,
        }
    }
}
