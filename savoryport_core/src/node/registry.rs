//! The backend servers, as their entries in the registry describe them.

use std::collections::{BTreeMap, VecDeque};
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
        /// The loaded adapters of the model.
        pub adapters: Vec<Name>,
    }

    /// Whether a server accepts new requests.
    pub enum ServerState {
        /// The server accepts new requests.
        Ready,
        /// The server is shutting down and accepts no new requests.
        Draining {
            /// The time in milliseconds after which the server is gone even if requests still run,
            /// if it announced one.
            gone_after_ms: Option<u64>,
        },
    }

    /// A backend server's entry in the registry.
    pub struct BackendServer {
        /// The server's id, by which requests and orders address it.
        pub id: Name,
        /// The service that it belongs to.
        pub service: Name,
        /// The address that it listens on.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: Name,
        /// The version of its software. What two versions of a service write does not fit together.
        pub software: Name,
        /// The number of requests that it runs at once.
        pub slots: u32,
        /// Whether it accepts new requests.
        pub state: ServerState,
        /// The time of its start in Unix milliseconds, which identifies its incarnation.
        pub incarnation: u64,
        /// The models in accelerator memory.
        pub models: Vec<ResidentModel>,
        /// Whether it is executing an order and accepts no others meanwhile.
        pub is_busy: bool,
        /// The models of which host memory keeps a copy.
        pub in_memory: Vec<Name>,
        /// The models of which the disk keeps a copy.
        pub on_disk: Vec<Name>,
    }
}

impl BackendServer {
    /// Returns whether the server accepts new requests.
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

/// How long after an outage of the store an entry still counts that disappeared in it.
///
/// According to the platform's documentation, running servers are registered again within two
/// seconds after an outage of the store.
pub const MISSING_GRACE: Duration = Duration::from_millis(2_000);

/// The number of servers that left which are remembered.
const MAX_LEFT: usize = 256;

/// The servers in the registry. Entries that are lost in an outage of the store are kept for a
/// while.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    servers: BTreeMap<Name, BackendServer>,
    /// The entries that are missing since an outage, with its end.
    missing_since: BTreeMap<Name, Instant>,
    /// The last servers that left, with their incarnations.
    left: VecDeque<(Name, u64)>,
    revision: u64,
}

impl Registry {
    /// Returns a number that increases with each change other than a heartbeat.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the servers by id.
    pub fn servers(&self) -> &BTreeMap<Name, BackendServer> {
        &self.servers
    }

    /// Inserts or replaces an entry; returns whether anything but its heartbeat changed. A server that
    /// is shutting down does so until it starts again: an entry of the same incarnation that says
    /// otherwise is older.
    pub fn put(&mut self, mut server: BackendServer) -> bool {
        self.missing_since.remove(&server.id);
        self.left
            .retain(|(id, incarnation)| (id, incarnation) != (&server.id, &server.incarnation));
        if let Some(known) = self.servers.get(&server.id)
            && known.incarnation == server.incarnation
            && !known.is_ready()
            && server.is_ready()
        {
            server.state = known.state.clone();
        }
        if self.servers.get(&server.id) == Some(&server) {
            return false;
        }
        self.servers.insert(server.id.clone(), server);
        self.revision += 1;
        true
    }

    /// Removes an entry; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.missing_since.remove(id);
        let Some(server) = self.servers.remove(id) else { return false };
        self.revision += 1;
        self.left.push_back((server.id, server.incarnation));
        if self.left.len() > MAX_LEFT {
            self.left.pop_front();
        }
        true
    }

    /// Returns whether this registry knows more of a server than an entry in an older copy of the
    /// store: that it left, or started again.
    pub fn is_outdated(&self, entry: &BackendServer) -> bool {
        let known = self.servers.get(&entry.id);
        known.is_some_and(|known| known.incarnation > entry.incarnation)
            || self.left.iter().any(|left| *left == (entry.id.clone(), entry.incarnation))
    }

    /// Replaces the entries by a full listing. An entry that is not listed is removed at once, or
    /// [`MISSING_GRACE`] after the end of an outage of the store, in which entries of running servers
    /// may have expired.
    pub fn replace(&mut self, listing: Vec<BackendServer>, outage_ended: Option<Instant>) {
        let known_ids: Vec<Name> = self.servers.keys().cloned().collect();
        for id in known_ids {
            if listing.iter().any(|server| server.id == id) {
                continue;
            }
            match outage_ended {
                Some(ended) => drop(self.missing_since.entry(id).or_insert(ended)),
                None => drop(self.remove(&id)),
            }
        }
        for server in listing {
            self.put(server);
        }
    }

    /// Marks an entry as missing whose removal may only be due to an outage of the store that ended
    /// then.
    pub fn mark_missing(&mut self, id: &str, outage_ended: Instant) {
        if self.servers.contains_key(id) {
            self.missing_since.entry(id.into()).or_insert(outage_ended);
        }
    }

    /// Removes the entries that are missing [`MISSING_GRACE`] after the end of an outage; returns
    /// their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        let expired: Vec<Name> = self
            .missing_since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= MISSING_GRACE)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }
}
