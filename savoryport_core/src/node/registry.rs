//! Backend servers as they register themselves, and what is believed of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::Name;

value! {
    /// A model in a server's accelerator memory.
    pub struct ResidentModel {
        /// The model's name.
        pub name: Name,
        /// The version of its weights.
        pub version: u64,
        /// The adapters loaded for it.
        pub adapters: Vec<Name>,
    }

    /// Whether a server takes new work.
    pub enum ServerState {
        /// It does.
        Ready,
        /// It is leaving; it may name the time after which it is gone.
        Draining {
            /// Milliseconds until it is gone whatever it runs, if it said so.
            gone_after_ms: Option<u64>,
        },
    }

    /// What a backend server says of itself in the registry.
    pub struct BackendServer {
        /// The server's id, by which requests name it.
        pub id: Name,
        /// The service that it belongs to.
        pub service: Name,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: ServerState,
        /// The time of its start in Unix milliseconds, which tells incarnations apart.
        pub incarnation: u64,
        /// Models in accelerator memory.
        pub models: Vec<ResidentModel>,
        /// Whether it carries out an order that keeps it from others.
        pub is_busy: bool,
        /// Models of which host memory keeps a copy.
        pub in_memory: Vec<Name>,
        /// Models of which the disk keeps a copy.
        pub on_disk: Vec<Name>,
    }
}

impl BackendServer {
    /// Returns whether the server takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == ServerState::Ready
    }

    /// Returns whether the accelerator holds the model.
    pub fn holds(&self, model: &str) -> bool {
        self.models.iter().any(|resident| &*resident.name == model)
    }

    /// Returns whether the accelerator holds an adapter of the model.
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        self.models
            .iter()
            .find(|resident| &*resident.name == model)
            .is_some_and(|resident| resident.adapters.iter().any(|held| &**held == adapter))
    }
}

/// How long an entry that vanished while the store was away still counts.
///
/// Entries of living servers are back within two seconds of the store's return (platform pages).
pub const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// The servers of the registry, through the store's outages.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    servers: BTreeMap<Name, BackendServer>,
    missing_since: BTreeMap<Name, Instant>,
    revision: u64,
}

impl Registry {
    /// Returns a number that rises with each material change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the servers by id.
    pub fn servers(&self) -> &BTreeMap<Name, BackendServer> {
        &self.servers
    }

    /// Takes an entry as it was written; returns whether anything but its heartbeat changed.
    pub fn put(&mut self, server: BackendServer) -> bool {
        self.missing_since.remove(&server.id);
        if self.servers.get(&server.id) == Some(&server) {
            return false;
        }
        self.servers.insert(server.id.clone(), server);
        self.revision += 1;
        true
    }

    /// Takes the removal of an entry; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.missing_since.remove(id);
        let known = self.servers.remove(id).is_some();
        self.revision += u64::from(known);
        known
    }

    /// Takes a full listing. An entry that is missing goes at once, or after [`RETURN_GRACE`] when
    /// the listing follows an outage, in which entries of living servers may have lapsed.
    pub fn replace(&mut self, listed: Vec<BackendServer>, after_outage: bool, now: Instant) {
        let known: Vec<Name> = self.servers.keys().cloned().collect();
        for id in known {
            if listed.iter().any(|server| server.id == id) {
                continue;
            }
            if after_outage {
                self.missing_since.entry(id).or_insert(now);
            } else {
                self.remove(&id);
            }
        }
        for server in listed {
            self.put(server);
        }
    }

    /// Notes a removal that may be due to an outage of the store only.
    pub fn mark_missing(&mut self, id: &str, now: Instant) {
        if self.servers.contains_key(id) {
            self.missing_since.entry(id.into()).or_insert(now);
        }
    }

    /// Drops the entries whose grace is over; returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        let gone: Vec<Name> = self
            .missing_since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= RETURN_GRACE)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }
}
