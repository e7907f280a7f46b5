//! The settings of a node, which are read from a JSON file and validated at start.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::node::caller_memory::CallerMemoryLimits;
use savoryport_core::node::entry_subset::NodeCapacity;
use savoryport_core::node::prefix::PrefixCacheIndex;
use savoryport_core::node::selection::{Distance, SelectionCosts};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The settings of one node. Every field has a default, and times and sizes have their unit in the
/// name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeSettings {
    /// The name of this VM. Default `vm-1`.
    pub vm: Name,
    /// The failure domain of this VM. Default `domain-a`.
    pub failure_domain: Name,
    /// The region of that failure domain. Default `region-1`.
    pub region: Name,
    /// The region of each failure domain, this one included, by failure domain. Default empty.
    pub failure_domains: BTreeMap<Name, Name>,
    /// The address that accepts callers' requests. Default `127.0.0.1:7100`.
    pub callers_listen: SocketAddr,
    /// The address of the readiness check that the platform calls. Default `127.0.0.1:7101`.
    pub readiness_listen: SocketAddr,
    /// The address of the directory that callers ask for addresses of nodes. Default
    /// `127.0.0.1:7102`.
    pub directory_listen: SocketAddr,
    /// The IP address of the VM, for calls of other nodes and for metrics. Default `127.0.0.1`.
    pub ip_address: IpAddr,
    /// The port for calls of other nodes. Default 7103.
    pub peers_port: u16,
    /// The port for metrics. Default 9464.
    pub metrics_port: u16,
    /// The address of the platform's store. Default `127.0.0.1:7104`.
    pub store: Name,
    /// Whether the whole system starts for the first time, so that no orders or loads of earlier
    /// nodes can be in progress. Default false.
    pub first_start: bool,
    /// The share of a CPU core that the process may use. Default 1.
    pub cpu_share: f64,
    /// The memory that the process may use, in MB. Default 256.
    pub memory_mb: u64,
    /// The bandwidth of the VM's network link, in Mbit/s. Default 1,000.
    pub link_mbps: f64,
    /// Whether the directory sends callers to the nodes of a failure domain by the capacity of their
    /// VMs. Otherwise all nodes count as equal. Default true.
    pub weigh_node_capacity: bool,
    /// Whether refused callers get times to return of their own, at the pace at which room becomes
    /// free. Otherwise these are only spread at random. Default true.
    pub schedule_returns: bool,
    /// The number of file descriptors that the process may use. Default 4,096.
    pub file_descriptors: u64,
    /// The minimum time between the orders of two successive leaders to one server, in
    /// milliseconds. Default 3,000.
    pub order_turn_ms: u64,
    /// The shortest time to live of a lease that the store grants, in milliseconds. Default 1,000.
    pub min_lease_ms: u64,
    /// The maximum time that stopping the node takes, in seconds. Default 8.
    pub stop_within_s: f64,
    /// The number of retries allowed for each request, over all nodes. Default 0.2.
    pub retry_ratio: f64,
    /// The number of retries allowed in addition to that, over all nodes. Default 10.
    pub retry_extra: f64,
    /// The length of the window in which loads from the weight store are counted against its rate,
    /// in seconds. Default 5.
    pub load_window_s: f64,
    /// The maximum time for which callers may cache an address, in seconds. Default 5.
    pub address_ttl_max_s: f64,
    /// The interval between two reads of the store, in milliseconds. Default 1,000.
    pub store_poll_ms: u64,
    /// Timeout for a call to the store, in milliseconds. Default 1,000.
    pub store_timeout_ms: u64,
    /// The shortest interval between two syncs of a follower with its leader, in milliseconds; it is
    /// longer in a large failure domain. Default 50.
    pub sync_period_ms: u64,
    /// The shortest interval between two syncs of a leader with the other leaders, in milliseconds;
    /// it is longer in a large fleet. Default 100.
    pub exchange_period_ms: u64,
    /// The interval between two planning rounds for the placement of models, in milliseconds.
    /// Default 100.
    pub placement_period_ms: u64,
    /// Timeout for connecting to a backend server, in milliseconds. Default 400.
    pub connect_timeout_ms: u64,
    /// The time that an engine takes to load an adapter once it has accepted the order, in
    /// milliseconds. Default 12.
    pub adapter_load_ms: u64,
    /// The time added to the expected latency of a server in another failure domain, in
    /// milliseconds. Default 8.
    pub other_domain_ms: f64,
    /// The time added to the expected latency of a server in another region, in milliseconds.
    /// Default 90.
    pub other_region_ms: f64,
    /// The time that the selection adds to the expected latency of a server to which this node has
    /// no open connection, in milliseconds. Default 8.
    pub new_connection_ms: f64,
    /// The time within which a key that the operators withdraw must stop working at every node, in
    /// milliseconds. A node that may not have heard of it refuses requests with keys. 0 or absent
    /// turns this off. Default 0.
    pub key_withdrawal_ms: u64,
    /// Whether the selection of a server weighs the probability that it still holds a cached prefix of
    /// the prompt, the wait for memory and what the request displaces. Otherwise each recorded prefix
    /// counts as cached. Default true.
    pub weigh_prefix_retention: bool,
    /// The part of `memory_mb` that is not given to bodies, heads and responses, in MB. At least a
    /// quarter of the memory is given to them. Default 40.
    pub caller_process_mb: u64,
    /// The memory for callers' bodies, in MB; 0 for a share of what `caller_process_mb` leaves.
    /// Default 0.
    pub caller_body_mb: u64,
    /// The size up to which a body is small, in bytes. An eighth of the memory for bodies is kept
    /// for small ones. Default 16,384.
    pub caller_small_body_bytes: usize,
    /// The number of larger bodies that may wait for memory at once. Default 64.
    pub caller_waiting_bodies: usize,
    /// How long a body waits for memory before it is refused, in milliseconds. Default 2,000.
    pub caller_wait_ms: u64,
    /// The time after which a body without progress gives way while others wait, in milliseconds.
    /// Default 1,000.
    pub caller_stall_ms: u64,
    /// The pace below which a body makes no progress, in bytes a second. Default 1,024.
    pub caller_min_bytes_per_s: usize,
    /// The share of the memory for bodies that one address may use while it is short. Default 0.75.
    pub caller_address_share: f64,
    /// The time after which a caller's connection is closed that reads nothing of its answer, in
    /// milliseconds. Default 10,000.
    pub caller_unread_ms: u64,
    /// The share of `file_descriptors` for callers' connections. Default 0.5.
    pub caller_descriptor_share: f64,
    /// The log level: `error`, `warn`, `info` or `debug`. Default `info`.
    pub log_level: String,
}

impl Default for NodeSettings {
    fn default() -> Self {
        let localhost = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            vm: "vm-1".into(),
            failure_domain: "domain-a".into(),
            region: "region-1".into(),
            failure_domains: BTreeMap::new(),
            callers_listen: localhost(7100),
            readiness_listen: localhost(7101),
            directory_listen: localhost(7102),
            ip_address: Ipv4Addr::LOCALHOST.into(),
            peers_port: 7103,
            metrics_port: 9464,
            store: "127.0.0.1:7104".into(),
            first_start: false,
            cpu_share: 1.0,
            memory_mb: 256,
            link_mbps: 1_000.0,
            weigh_node_capacity: true,
            schedule_returns: true,
            file_descriptors: 4_096,
            order_turn_ms: 3_000,
            min_lease_ms: 1_000,
            stop_within_s: 8.0,
            retry_ratio: 0.2,
            retry_extra: 10.0,
            load_window_s: 5.0,
            address_ttl_max_s: 5.0,
            store_poll_ms: 1_000,
            store_timeout_ms: 1_000,
            sync_period_ms: 50,
            exchange_period_ms: 100,
            placement_period_ms: 100,
            connect_timeout_ms: 400,
            adapter_load_ms: 12,
            other_domain_ms: 8.0,
            other_region_ms: 90.0,
            new_connection_ms: 8.0,
            key_withdrawal_ms: 0,
            weigh_prefix_retention: true,
            caller_process_mb: 40,
            caller_body_mb: 0,
            caller_small_body_bytes: 16_384,
            caller_waiting_bodies: 64,
            caller_wait_ms: 2_000,
            caller_stall_ms: 1_000,
            caller_min_bytes_per_s: 1_024,
            caller_address_share: 0.75,
            caller_unread_ms: 10_000,
            caller_descriptor_share: 0.5,
            log_level: "info".to_owned(),
        }
    }
}

/// The division of the process's memory, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// For servers' responses that are read to their end.
    pub responses: usize,
    /// For callers' bodies.
    pub bodies: usize,
    /// For incomplete heads.
    pub heads: usize,
    /// For chunks of streams that callers have not read yet.
    pub streams: usize,
}

/// An error that makes the settings unusable.
#[derive(Debug, Error)]
pub enum NodeSettingsError {
    /// The file cannot be read.
    #[error("{path}: {problem}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error message.
        problem: String,
    },
    /// The file is not JSON, or not an object.
    #[error("not a JSON object: {0}")]
    Malformed(String),
    /// Some fields have invalid values; each entry names a field and its problem, and is displayed
    /// on a line of its own.
    #[error("{}", .0.join("\n"))]
    InvalidFields(Vec<String>),
}

/// Settings that passed validation.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedNodeSettings {
    /// The settings.
    pub settings: NodeSettings,
    /// The keys in the file that name no setting, and are ignored.
    pub unknown_keys: Vec<String>,
}

impl NodeSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not a JSON object, or has invalid fields,
    /// all of which are listed.
    pub fn read(path: &Path) -> Result<CheckedNodeSettings, NodeSettingsError> {
        let text = std::fs::read_to_string(path).map_err(|err| NodeSettingsError::Unreadable {
            path: path.to_owned(),
            problem: err.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a JSON object or has invalid fields, all of which are
    /// listed.
    pub fn parse(text: &str) -> Result<CheckedNodeSettings, NodeSettingsError> {
        let file_fields: serde_json::Map<String, Value> = serde_json::from_str(text)
            .map_err(|err| NodeSettingsError::Malformed(err.to_string()))?;
        let defaults = serde_json::to_value(Self::default()).expect("plain fields serialize");
        let mut merged = defaults.as_object().cloned().unwrap_or_default();
        let (mut unknown_keys, mut problems) = (Vec::new(), Vec::new());
        for (key, value) in file_fields {
            let Some(default) = merged.get(&key).cloned() else {
                unknown_keys.push(key);
                continue;
            };
            merged.insert(key.clone(), value.clone());
            // Each field is deserialized separately, so that all fields of a wrong type are
            // reported.
            if let Err(err) = serde_json::from_value::<Self>(Value::Object(merged.clone())) {
                problems.push(format!("{key}: {err} (found {value})"));
                merged.insert(key, default);
            }
        }
        let settings: Self = serde_json::from_value(Value::Object(merged))
            .map_err(|err| NodeSettingsError::Malformed(err.to_string()))?;
        problems.extend(settings.range_problems());
        if problems.is_empty() {
            Ok(CheckedNodeSettings { settings, unknown_keys })
        } else {
            Err(NodeSettingsError::InvalidFields(problems))
        }
    }

    fn range_problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |field: &str, is_valid: bool, requirement: &str| {
            if !is_valid {
                problems.push(format!("{field}: must be {requirement}"));
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
        check("link_mbps", self.link_mbps > 0.0, "more than 0");
        check("stop_within_s", self.stop_within_s > 0.5, "more than 0.5");
        check("load_window_s", self.load_window_s > 0.0, "more than 0");
        check("retry_ratio", self.retry_ratio >= 0.0, "0 or more");
        check("retry_extra", self.retry_extra >= 0.0, "0 or more");
        check("memory_mb", (1..=1_048_576).contains(&self.memory_mb), "1 to 1,048,576");
        check("caller_body_mb", self.caller_body_mb <= self.memory_mb, "memory_mb or less");
        check("caller_small_body_bytes", self.caller_small_body_bytes > 0, "more than 0");
        check("caller_wait_ms", self.caller_wait_ms <= 60_000, "60,000 or less");
        check("caller_stall_ms", (100..=60_000).contains(&self.caller_stall_ms), "100 to 60,000");
        check("caller_min_bytes_per_s", self.caller_min_bytes_per_s > 0, "more than 0");
        let is_share = |share: f64| share > 0.0 && share <= 1.0;
        check("caller_address_share", is_share(self.caller_address_share), "above 0, at most 1");
        check("caller_unread_ms", self.caller_unread_ms >= 100, "100 or more");
        let is_descriptor_share = is_share(self.caller_descriptor_share * 1.25);
        check("caller_descriptor_share", is_descriptor_share, "above 0, at most 0.8");
        let levels = ["error", "warn", "info", "debug"];
        check("log_level", levels.contains(&&*self.log_level), "error, warn, info or debug");
        problems
    }

    /// Returns what the VM can bear.
    pub fn capacity(&self) -> NodeCapacity {
        let Self { cpu_share, link_mbps, memory_mb, .. } = *self;
        NodeCapacity { cpu_share, link_mbps, memory_mb }
    }

    /// Returns the address for calls of other nodes.
    pub fn peers_listen(&self) -> SocketAddr {
        SocketAddr::new(self.ip_address, self.peers_port)
    }

    /// Returns the division of the process's memory.
    pub fn memory_shares(&self) -> MemoryShares {
        /// The part of the process's memory, as a divisor, that servers' responses may take up while
        /// they are read. They are small, except for those of servers in trouble.
        const RESPONSE_PART: u64 = 8;
        const MB: u64 = 1024 * 1024;
        let total = self.memory_mb * MB;
        let process = self.caller_process_mb.saturating_mul(MB);
        let shared = total.saturating_sub(process).max(total / 4);
        let responses = total / RESPONSE_PART;
        let rest = shared.saturating_sub(responses);
        let bodies = match self.caller_body_mb {
            0 => rest * 5 / 8,
            body_mb => body_mb * MB,
        };
        // What is left is for the buffers of connections.
        MemoryShares {
            responses: responses as usize,
            bodies: bodies as usize,
            heads: (rest / 8) as usize,
            streams: (rest / 8) as usize,
        }
    }

    /// Returns the bounds on callers' bodies.
    pub fn caller_memory_limits(&self) -> CallerMemoryLimits {
        let limit = self.memory_shares().bodies;
        let stall = Duration::from_millis(self.caller_stall_ms);
        CallerMemoryLimits {
            limit,
            small_reserve: limit / 8,
            small_body: self.caller_small_body_bytes,
            address_share: self.caller_address_share,
            max_waiting: self.caller_waiting_bodies,
            max_wait: Duration::from_millis(self.caller_wait_ms),
            stall,
            stall_bytes: (self.caller_min_bytes_per_s as f64 * stall.as_secs_f64()).ceil() as usize,
        }
    }

    /// Returns the number of connections that callers may have.
    pub fn max_caller_connections(&self) -> usize {
        (self.file_descriptors as f64 * self.caller_descriptor_share) as usize
    }

    /// Returns the number of connections that each of the directory, the readiness check and the
    /// listener for other nodes may have.
    pub fn max_other_connections(&self) -> usize {
        (self.file_descriptors as usize / 16).max(16)
    }

    /// Returns the number of idle connections to servers that are kept.
    pub fn max_pooled_connections(&self) -> usize {
        (self.file_descriptors as usize / 8).max(16)
    }

    /// Returns whether a failure domain is in the region of this VM.
    pub fn is_in_own_region(&self, failure_domain: &str) -> bool {
        self.region_of(failure_domain) == Some(&self.region)
    }

    /// Returns the distance of a failure domain from this VM.
    pub fn distance_to(&self, failure_domain: &str) -> Distance {
        if *self.failure_domain == *failure_domain {
            Distance::SameDomain
        } else if self.is_in_own_region(failure_domain) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Returns the region of a failure domain, if the settings list it.
    pub fn region_of(&self, failure_domain: &str) -> Option<&Name> {
        self.failure_domains.get(failure_domain)
    }

    /// Returns the time to live of the lease on a leadership. It is as short as the store allows
    /// with a margin for lost renewals, because no orders are sent from the failure of a leader
    /// until its lease expires.
    pub fn leadership_lease_ttl(&self) -> Duration {
        Duration::from_millis((self.min_lease_ms * 2).max(1_000))
    }

    /// Returns an empty index of the prefixes that servers have cached.
    pub fn prefix_index(&self) -> PrefixCacheIndex {
        if self.weigh_prefix_retention {
            PrefixCacheIndex::weighing()
        } else {
            PrefixCacheIndex::default()
        }
    }

    /// Returns the costs of distance and of missing adapters in the selection of a server.
    pub fn selection_costs(&self) -> SelectionCosts {
        SelectionCosts {
            other_domain_ms: self.other_domain_ms,
            other_region_ms: self.other_region_ms,
            adapter_load_ms: self.adapter_load_ms as f64 * 2.0,
            new_connection_ms: self.new_connection_ms,
        }
    }
}
