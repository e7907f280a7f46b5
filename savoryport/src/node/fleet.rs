//! The node's beliefs about the fleet, and the changes that other nodes ask for.
//!
//! Every task that learns something changes the beliefs here; requests read immutable snapshots.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::registry::{BackendServer, Registry, ResidentModel};
use tokio::sync::watch;

use super::rpc::{Position, SyncReply};
use super::view::{AcceptedConfig, DomainLeader, FleetView, Member};

/// A follower that has not told anything for this long is not named to callers any more.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(500);

/// A member that only another node vouched for is forgotten this long after that node's last word.
const HEARSAY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Removals that are remembered for followers; one that is further behind gets everything.
const MAX_REMOVALS: usize = 256;

/// The models of a server as its order giver knows them, newer than its own entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Residency {
    /// The incarnation of the server.
    pub incarnation: u64,
    /// Models that it can serve.
    pub models: Vec<ResidentModel>,
    /// Whether it carries out an order that keeps it from others.
    pub is_busy: bool,
}

/// Shared beliefs with a channel of snapshots.
#[derive(Debug)]
pub struct Fleet {
    state: Mutex<FleetState>,
    views: watch::Sender<Arc<FleetView>>,
}

/// The beliefs themselves.
#[derive(Debug)]
pub struct FleetState {
    own: Member,
    config: Option<AcceptedConfig>,
    /// Servers as the store lists them, or as the duty holder tells.
    pub registry: Registry,
    /// Counts the times that a holder's servers were taken instead of the store's.
    hearsay_count: u64,
    residency: HashMap<Name, Residency>,
    published: BTreeMap<Name, (u64, Arc<BackendServer>)>,
    removals: VecDeque<(u64, Name)>,
    /// Removals up to here are forgotten.
    removals_from: u64,
    servers_revision: u64,
    /// Members with the time until which they count; this node is not among them.
    members: HashMap<Name, (Member, Instant)>,
    leaders: BTreeMap<Name, DomainLeader>,
    members_revision: u64,
    last_members: Vec<Member>,
}

impl Fleet {
    /// Starts with nothing but this node.
    pub fn new(own: Member) -> Self {
        let state = FleetState {
            config: None,
            registry: Registry::default(),
            hearsay_count: 0,
            residency: HashMap::new(),
            published: BTreeMap::new(),
            removals: VecDeque::new(),
            removals_from: 0,
            servers_revision: 0,
            members: HashMap::new(),
            leaders: BTreeMap::new(),
            members_revision: 1,
            last_members: Vec::new(),
            own,
        };
        Self { state: Mutex::new(state), views: watch::Sender::new(Arc::default()) }
    }

    /// Returns the newest snapshot.
    pub fn view(&self) -> Arc<FleetView> {
        self.views.borrow().clone()
    }

    /// Returns a receiver of snapshots.
    pub fn subscribe(&self) -> watch::Receiver<Arc<FleetView>> {
        self.views.subscribe()
    }

    /// Changes the beliefs and publishes a snapshot if anything differs.
    pub fn update<T>(&self, change: impl FnOnce(&mut FleetState) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        // The last snapshot is released before the next one replaces it.
        let published = state.publish(&self.views.borrow());
        if let Some(view) = published {
            self.views.send_replace(Arc::new(view));
        }
        result
    }

    /// Reads the beliefs.
    pub fn read<T>(&self, read: impl FnOnce(&FleetState) -> T) -> T {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().expect("no holder panics")
    }
}

impl FleetState {
    /// Takes a configuration if it is newer; returns whether it was.
    pub fn accept_config(&mut self, config: AcceptedConfig) -> bool {
        let known = self.config.as_ref().map(|config| config.deployment.version);
        let is_newer = known.is_none_or(|version| config.deployment.version > version);
        if is_newer {
            self.config = Some(config);
        }
        is_newer
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&AcceptedConfig> {
        self.config.as_ref()
    }

    /// Returns the version in force, 0 if none is known.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.deployment.version)
    }

    /// Takes what an order giver knows of a server.
    pub fn set_residency(&mut self, server: &Name, residency: Residency) {
        self.residency.insert(server.clone(), residency);
    }

    /// Adds an adapter to what an order giver knows of a server.
    pub fn add_adapter(&mut self, server: &Name, model: &Name, adapter: &Name) {
        let models = self.residency.get_mut(server).map(|known| &mut known.models);
        let resident = models.and_then(|models| models.iter_mut().find(|held| held.name == *model));
        if let Some(resident) = resident.filter(|held| !held.adapters.contains(adapter)) {
            resident.adapters.push(adapter.clone());
        }
    }

    /// Forgets what order givers knew of the servers of a failure domain.
    pub fn clear_residency(&mut self, failure_domain: &str) {
        let servers = self.registry.servers();
        self.residency.retain(|id, _| {
            servers.get(id).is_some_and(|server| &*server.failure_domain != failure_domain)
        });
    }

    /// Notes that a member told something.
    pub fn record_member(&mut self, member: Member, now: Instant) {
        let until = now + FOLLOWER_TIMEOUT;
        let known = self.members.insert(member.vm.clone(), (member.clone(), until));
        if known.is_none_or(|(known, _)| known != member) {
            self.members_revision += 1;
        }
    }

    /// Takes a member off, because it said so.
    pub fn remove_member(&mut self, vm: &str) {
        if self.members.remove(vm).is_some() {
            self.members_revision += 1;
        }
    }

    /// Replaces the members of one failure domain, as its duty holder tells them.
    pub fn set_domain_members(&mut self, domain: &str, members: Vec<Member>, now: Instant) {
        self.members.retain(|_, (member, _)| &*member.failure_domain != domain);
        self.add_hearsay(members, now);
    }

    /// Replaces all members but this node.
    pub fn set_members(&mut self, members: Vec<Member>, now: Instant) {
        self.members.clear();
        self.add_hearsay(members, now);
    }

    fn add_hearsay(&mut self, members: Vec<Member>, now: Instant) {
        let until = now + HEARSAY_TIMEOUT;
        for member in members.into_iter().filter(|member| member.vm != self.own.vm) {
            self.members.insert(member.vm.clone(), (member, until));
        }
        self.members_revision += 1;
    }

    /// Notes that the node which vouches for members still does, for those of one failure domain or
    /// for all.
    pub fn confirm_members(&mut self, domain: Option<&str>, now: Instant) {
        for (member, until) in self.members.values_mut() {
            if domain.is_none_or(|domain| &*member.failure_domain == domain) {
                *until = now + HEARSAY_TIMEOUT;
            }
        }
    }

    /// Drops members that nobody heard of for too long.
    pub fn expire_members(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, (_, until)| now < *until);
        self.members_revision += u64::from(self.members.len() != before);
    }

    /// Takes who holds a duty, or that nobody does.
    pub fn set_leader(&mut self, failure_domain: &Name, leader: Option<DomainLeader>) {
        let before = match leader {
            Some(leader) => self.leaders.insert(failure_domain.clone(), leader),
            None => self.leaders.remove(failure_domain),
        };
        if before.as_ref() != self.leaders.get(failure_domain) {
            self.members_revision += 1;
        }
    }

    /// Returns the holder of a duty.
    pub fn leader(&self, failure_domain: &str) -> Option<&DomainLeader> {
        self.leaders.get(failure_domain)
    }

    /// Returns every holder.
    pub fn leaders(&self) -> &BTreeMap<Name, DomainLeader> {
        &self.leaders
    }

    /// Returns the members of a failure domain, this node included.
    pub fn domain_members(&self, failure_domain: &str) -> Vec<Member> {
        let members = self.all_members();
        members.filter(|member| &*member.failure_domain == failure_domain).cloned().collect()
    }

    fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|(member, _)| member).chain([&self.own])
    }

    /// Fills a reply with what a follower at `have` lacks. With a domain only its servers and members
    /// are told.
    pub fn fill(&self, have: Position, tenure: u64, domain: Option<&str>, reply: &mut SyncReply) {
        let is_known = have.tenure == tenure && have.servers >= self.removals_from;
        let since = if is_known { have.servers } else { 0 };
        let concerns =
            |server: &BackendServer| domain.is_none_or(|name| &*server.failure_domain == name);
        reply.is_full = !is_known;
        reply.servers = self
            .published
            .values()
            .filter(|(revision, server)| *revision > since && concerns(server))
            .map(|(_, server)| BackendServer::clone(server))
            .collect();
        reply.removed = self
            .removals
            .iter()
            .filter(|(revision, _)| is_known && *revision > since)
            .map(|(_, id)| id.clone())
            .collect();
        if have.tenure != tenure || have.members != self.members_revision {
            let members = match domain {
                Some(domain) => self.domain_members(domain),
                None => self.all_members().cloned().collect(),
            };
            let leaders =
                self.leaders.iter().map(|(domain, leader)| (domain.clone(), leader.clone()));
            reply.members = Some((members, leaders.collect()));
        }
        reply.position = Position {
            tenure,
            servers: self.servers_revision,
            members: self.members_revision,
            config: self.version(),
            prompts: have.prompts,
        };
    }

    /// Returns a number that changes whenever servers were taken from a holder: changes of the store
    /// since an earlier listing then no longer add up to what the store holds.
    pub fn hearsay_count(&self) -> u64 {
        self.hearsay_count
    }

    /// Takes the servers of a reply, as a follower.
    pub fn apply_servers(&mut self, reply: &SyncReply) {
        self.hearsay_count += 1;
        if reply.is_full {
            let listed: Vec<Name> = self.registry.servers().keys().cloned().collect();
            for id in listed {
                if !reply.servers.iter().any(|server| server.id == id) {
                    self.registry.remove(&id);
                }
            }
        }
        for server in &reply.servers {
            // What the holder tells already contains what it ordered.
            self.residency.remove(&server.id);
            self.registry.put(server.clone());
        }
        for id in &reply.removed {
            self.registry.remove(id);
        }
    }

    fn publish(&mut self, last: &FleetView) -> Option<FleetView> {
        let servers_changed = self.merge_servers();
        let members = self.sorted_members();
        let config_changed = self.version() != last.version();
        let members_changed = members != self.last_members || self.leaders != last.leaders;
        if !servers_changed && !config_changed && !members_changed {
            return None;
        }
        self.last_members.clone_from(&members);
        let servers = self.published.iter().map(|(id, (_, server))| (id.clone(), server.clone()));
        Some(FleetView {
            config: self.config.clone(),
            servers: servers.collect(),
            members,
            leaders: self.leaders.clone(),
        })
    }

    fn sorted_members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.all_members().cloned().collect();
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        members
    }

    /// Combines the registry with what order givers know; returns whether anything changed.
    fn merge_servers(&mut self) -> bool {
        let before = self.servers_revision;
        let gone: Vec<Name> = self
            .published
            .keys()
            .filter(|id| !self.registry.servers().contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
            self.published.remove(&id);
            self.residency.remove(&id);
            self.servers_revision += 1;
            self.removals.push_back((self.servers_revision, id));
        }
        while self.removals.len() > MAX_REMOVALS {
            self.removals_from = self.removals.pop_front().map_or(0, |(revision, _)| revision);
        }
        for server in self.registry.servers().values() {
            let residency = self
                .residency
                .get(&server.id)
                .filter(|known| known.incarnation == server.incarnation);
            let models = residency.map_or(&server.models, |known| &known.models);
            let is_busy = residency.map_or(server.is_busy, |known| known.is_busy);
            let is_same = self.published.get(&server.id).is_some_and(|(_, known)| {
                known.models == *models
                    && known.is_busy == is_busy
                    && is_same_but_models(known, server)
            });
            if !is_same {
                let merged = BackendServer { models: models.clone(), is_busy, ..server.clone() };
                self.servers_revision += 1;
                let entry = (self.servers_revision, Arc::new(merged));
                self.published.insert(server.id.clone(), entry);
            }
        }
        self.servers_revision != before
    }
}

fn is_same_but_models(a: &BackendServer, b: &BackendServer) -> bool {
    a.state == b.state
        && a.incarnation == b.incarnation
        && a.address == b.address
        && a.service == b.service
        && a.failure_domain == b.failure_domain
        && a.slots == b.slots
        && a.in_memory == b.in_memory
        && a.on_disk == b.on_disk
}
