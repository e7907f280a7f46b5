//! Remembers which software versions the servers of each service had, as long as streams that began at
//! one of them may still be taken up.
//!
//! Load pattern: a release replaces the servers of a service one after the other, and all nodes lose
//! power during it or right after it. A node that knows only the present entries would take the one
//! version that is left for the only one that there was.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Name;
use crate::node::registry::BackendServer;

value! {
    /// The software versions by service, as the store keeps them.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct VersionRecord {
        /// The versions of each service, in the order of their names.
        pub services: BTreeMap<Name, Vec<Name>>,
    }
}

impl VersionRecord {
    /// Adds a version of a service.
    pub fn add(&mut self, service: &Name, version: &Name) {
        let versions = self.services.entry(service.clone()).or_default();
        if let Err(position) = versions.binary_search(version) {
            versions.insert(position, version.clone());
        }
    }
}

/// The software versions of the servers of each service.
#[derive(Debug, Clone, Default)]
pub struct SoftwareVersions {
    services: BTreeMap<Name, BTreeMap<Name, Presence>>,
}

/// Whether servers of a version are registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Registered,
    LeftAt(Instant),
}

impl Presence {
    fn is_within(self, lifetime: Duration, now: Instant) -> bool {
        match self {
            Self::Registered => true,
            Self::LeftAt(at) => now.saturating_duration_since(at) < lifetime,
        }
    }
}

impl SoftwareVersions {
    /// Takes over the versions of the servers that are registered now, those that shut down included.
    pub fn update<'a>(&mut self, servers: impl Iterator<Item = &'a BackendServer>, now: Instant) {
        let known = self.services.values_mut().flat_map(BTreeMap::values_mut);
        let registered = known.filter(|presence| **presence == Presence::Registered);
        registered.for_each(|presence| *presence = Presence::LeftAt(now));
        for server in servers {
            if let Some(presence) = self
                .services
                .get_mut(&server.service)
                .and_then(|versions| versions.get_mut(&server.software))
            {
                *presence = Presence::Registered;
                continue;
            }
            let versions = self.services.entry(server.service.clone()).or_default();
            versions.insert(server.software.clone(), Presence::Registered);
        }
    }

    /// Returns the services of which a version is known.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.keys()
    }

    /// Takes over the versions that the store keeps. How long ago they were in service is not known,
    /// so that those which are not registered count as having left just now.
    pub fn merge(&mut self, record: &VersionRecord, now: Instant) {
        for (service, versions) in &record.services {
            let known = self.services.entry(service.clone()).or_default();
            for version in versions {
                known.entry(version.clone()).or_insert(Presence::LeftAt(now));
            }
        }
    }

    /// Returns whether streams of several versions of a service may exist: whether it has, or had
    /// within `lifetime`, servers of several versions.
    pub fn is_mixed(&self, service: &str, lifetime: Duration, now: Instant) -> bool {
        let versions = self.services.get(service).into_iter().flat_map(BTreeMap::values);
        versions.filter(|presence| presence.is_within(lifetime, now)).nth(1).is_some()
    }

    /// Forgets the versions that left longer ago than `lifetime` says for their service.
    pub fn expire(&mut self, lifetime: impl Fn(&str) -> Duration, now: Instant) {
        for (service, versions) in &mut self.services {
            let lifetime = lifetime(service);
            versions.retain(|_, presence| presence.is_within(lifetime, now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns whether the store has to be written: it lacks a version that is registered, or has one
    /// that is forgotten. One that has left need not be added, since it was registered before.
    pub fn differ_from(&self, stored: &VersionRecord) -> bool {
        let lacks_any = self.services.iter().any(|(service, versions)| {
            let known = stored.services.get(service);
            versions.iter().any(|(version, presence)| {
                *presence == Presence::Registered
                    && !known.is_some_and(|known| known.contains(version))
            })
        });
        let exceeds = stored.services.iter().any(|(service, stored)| {
            let known = self.services.get(service);
            stored.iter().any(|version| !known.is_some_and(|known| known.contains_key(version)))
        });
        lacks_any || exceeds
    }

    /// Returns what the store should keep.
    pub fn record(&self) -> VersionRecord {
        let services = self
            .services
            .iter()
            .map(|(service, versions)| (service.clone(), versions.keys().cloned().collect()));
        VersionRecord { services: services.collect() }
    }
}
