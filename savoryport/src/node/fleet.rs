//! What this node knows about the fleet, and the revisions from which updates to other nodes are
//! built.
//!
//! Tasks that learn something update the state here; requests read immutable snapshots of it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::registry::{BackendServer, Registry, ResidentModel};
use tokio::sync::watch;

use super::rpc::{NO_SERVERS_WANTED, SyncPosition, SyncReply};
use super::view::{AcceptedConfig, DomainLeader, FleetView, Member};

/// A follower that has not reported for this long is no longer named to callers.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(500);

/// A member known only from another node's replies is removed when that node has not confirmed it
/// for this long.
const RELAYED_MEMBER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Number of server removals kept for other nodes. A node further behind gets the full list.
const MAX_REMOVALS: usize = 256;

/// A service and a version of its servers' software.
pub type ServiceVersion = (Name, Name);

/// The models of a server as the leader that sends it orders knows them, which is newer than the
/// server's own entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Residency {
    /// The incarnation of the server that the models belong to.
    pub incarnation: u64,
    /// Models that the server can serve.
    pub models: Vec<ResidentModel>,
    /// Whether the server executes an order that blocks others.
    pub is_busy: bool,
}

/// The shared state of the fleet, with a channel of snapshots.
#[derive(Debug)]
pub struct Fleet {
    state: Mutex<FleetState>,
    views: watch::Sender<Arc<FleetView>>,
}

/// The state of the fleet as this node knows it.
#[derive(Debug)]
pub struct FleetState {
    own: Member,
    config: Option<AcceptedConfig>,
    /// Servers as listed by the store or reported by the leader.
    pub registry: Registry,
    /// The number of times that servers were taken from a leader instead of the store.
    relayed_count: u64,
    residency: HashMap<Name, Residency>,
    /// The software versions that the store keeps, or that a leader publishes servers of.
    recorded_versions: BTreeSet<ServiceVersion>,
    /// Servers that are not published, since the store does not keep their versions yet.
    withheld: BTreeMap<Name, Arc<BackendServer>>,
    /// Servers as published in snapshots, with the revision of their last change.
    merged_servers: BTreeMap<Name, (u64, Arc<BackendServer>)>,
    removals: VecDeque<(u64, Name)>,
    /// Removals up to this revision are no longer in `removals`.
    removals_pruned_up_to: u64,
    servers_revision: u64,
    /// Members other than this node, with the time at which they expire.
    members: HashMap<Name, (Member, Instant)>,
    leaders: BTreeMap<Name, DomainLeader>,
    members_revision: u64,
    published_members: Vec<Member>,
}

impl Fleet {
    /// Creates a state that knows only this node.
    pub fn new(own: Member) -> Self {
        let state = FleetState {
            config: None,
            registry: Registry::default(),
            relayed_count: 0,
            residency: HashMap::new(),
            recorded_versions: BTreeSet::new(),
            withheld: BTreeMap::new(),
            merged_servers: BTreeMap::new(),
            removals: VecDeque::new(),
            removals_pruned_up_to: 0,
            servers_revision: 0,
            members: HashMap::new(),
            leaders: BTreeMap::new(),
            members_revision: 1,
            published_members: Vec::new(),
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

    /// Changes the state, and publishes a snapshot if anything visible in it differs.
    pub fn update<T>(&self, change: impl FnOnce(&mut FleetState) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        // The borrow of the last snapshot has to end before the next one replaces it.
        let next = state.next_view(&self.views.borrow());
        if let Some(view) = next {
            self.views.send_replace(Arc::new(view));
        }
        result
    }

    /// Reads the state.
    pub fn read<T>(&self, read: impl FnOnce(&FleetState) -> T) -> T {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl FleetState {
    /// Puts a configuration in force if it is newer; returns whether it was.
    pub fn accept_config(&mut self, config: AcceptedConfig) -> bool {
        let known_version = self.config.as_ref().map(|config| config.deployment.version);
        let is_newer = known_version.is_none_or(|version| config.deployment.version > version);
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

    /// Sets the models of a server as its leader knows them.
    pub fn set_residency(&mut self, server: &Name, residency: Residency) {
        self.residency.insert(server.clone(), residency);
    }

    /// Adds an adapter to the models of a server as its leader knows them.
    pub fn add_adapter(&mut self, server: &Name, model: &Name, adapter: &Name) {
        let models = self.residency.get_mut(server).map(|known| &mut known.models);
        let resident = models.and_then(|models| models.iter_mut().find(|held| held.name == *model));
        if let Some(resident) = resident.filter(|held| !held.adapters.contains(adapter)) {
            resident.adapters.push(adapter.clone());
        }
    }

    /// Removes the models that a leader reported for the servers of a failure domain.
    pub fn clear_residency(&mut self, failure_domain: &str) {
        let servers = self.registry.servers();
        self.residency.retain(|id, _| {
            servers.get(id).is_some_and(|server| &*server.failure_domain != failure_domain)
        });
    }

    /// Sets the software versions that the store keeps. Servers of other versions of these services are
    /// not published, unless they already are: a node that takes up a stream asks the store for the
    /// versions that may have begun it.
    pub fn set_recorded_versions(&mut self, versions: BTreeSet<ServiceVersion>) {
        self.recorded_versions = versions;
    }

    /// Publishes the servers of these versions although the store does not keep them.
    pub fn admit_versions(&mut self, versions: impl IntoIterator<Item = ServiceVersion>) {
        self.recorded_versions.extend(versions);
    }

    /// Adds or refreshes a member that reported to this node.
    pub fn record_member(&mut self, member: Member, now: Instant) {
        let expires_at = now + FOLLOWER_TIMEOUT;
        let known = self.members.insert(member.vm.clone(), (member.clone(), expires_at));
        if known.is_none_or(|(known, _)| known != member) {
            self.members_revision += 1;
        }
    }

    /// Sets whether this node reaches no server.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.own.is_cut_off = is_cut_off;
        self.members_revision += 1;
    }

    /// Returns this node.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Removes a member that is leaving.
    pub fn remove_member(&mut self, vm: &str) {
        if self.members.remove(vm).is_some() {
            self.members_revision += 1;
        }
    }

    /// Replaces the members of one failure domain by those that its leader reports.
    pub fn set_domain_members(&mut self, domain: &str, members: Vec<Member>, now: Instant) {
        self.members.retain(|_, (member, _)| &*member.failure_domain != domain);
        self.add_relayed_members(members, now);
    }

    /// Replaces all members other than this node.
    pub fn set_members(&mut self, members: Vec<Member>, now: Instant) {
        self.members.clear();
        self.add_relayed_members(members, now);
    }

    fn add_relayed_members(&mut self, members: Vec<Member>, now: Instant) {
        let expires_at = now + RELAYED_MEMBER_TIMEOUT;
        for member in members.into_iter().filter(|member| member.vm != self.own.vm) {
            self.members.insert(member.vm.clone(), (member, expires_at));
        }
        self.members_revision += 1;
    }

    /// Extends the lifetime of members that another node has reported before, in one failure domain
    /// or in all.
    pub fn confirm_members(&mut self, domain: Option<&str>, now: Instant) {
        for (member, expires_at) in self.members.values_mut() {
            if domain.is_none_or(|domain| &*member.failure_domain == domain) {
                *expires_at = now + RELAYED_MEMBER_TIMEOUT;
            }
        }
    }

    /// Removes members that have expired.
    pub fn expire_members(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, (_, expires_at)| now < *expires_at);
        self.members_revision += u64::from(self.members.len() != before);
    }

    /// Sets or clears the leader of a failure domain.
    pub fn set_leader(&mut self, failure_domain: &Name, leader: Option<DomainLeader>) {
        let before = match leader {
            Some(leader) => self.leaders.insert(failure_domain.clone(), leader),
            None => self.leaders.remove(failure_domain),
        };
        if before.as_ref() != self.leaders.get(failure_domain) {
            self.members_revision += 1;
        }
    }

    /// Returns the leader of a failure domain.
    pub fn leader(&self, failure_domain: &str) -> Option<&DomainLeader> {
        self.leaders.get(failure_domain)
    }

    /// Returns the leaders by failure domain.
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

    /// Fills a reply with the changes since the position `have` of the asking node. With `domain`,
    /// only the servers and members of that failure domain are included.
    pub fn fill_reply(
        &self,
        have: SyncPosition,
        tenure: u64,
        domain: Option<&str>,
        reply: &mut SyncReply,
    ) {
        let wants_none = have.servers == NO_SERVERS_WANTED;
        let is_incremental =
            wants_none || have.tenure == tenure && have.servers >= self.removals_pruned_up_to;
        let since = if is_incremental { have.servers } else { 0 };
        let is_included =
            |server: &BackendServer| domain.is_none_or(|name| &*server.failure_domain == name);
        reply.is_full = !is_incremental;
        reply.servers = self
            .merged_servers
            .values()
            .filter(|(revision, server)| *revision > since && is_included(server))
            .map(|(_, server)| BackendServer::clone(server))
            .collect();
        reply.removed = self
            .removals
            .iter()
            .filter(|(revision, _)| is_incremental && *revision > since)
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
        reply.position = SyncPosition {
            tenure,
            servers: self.servers_revision,
            members: self.members_revision,
            config: self.version(),
            prompts: have.prompts,
            limits: have.limits,
            request_crashes: have.request_crashes,
        };
    }

    /// Returns a number that changes whenever servers are taken from a leader. The changes in the
    /// store since an earlier listing then no longer add up to the store's contents.
    pub fn relayed_count(&self) -> u64 {
        self.relayed_count
    }

    /// Applies the servers of a leader's reply to this follower.
    pub fn apply_servers(&mut self, reply: &SyncReply) {
        self.relayed_count += 1;
        if reply.is_full {
            let listed: Vec<Name> = self.registry.servers().keys().cloned().collect();
            for id in listed {
                if !reply.servers.iter().any(|server| server.id == id) {
                    self.registry.remove(&id);
                }
            }
        }
        for server in &reply.servers {
            // The leader's entry already includes the results of its orders.
            self.residency.remove(&server.id);
            self.recorded_versions.insert(version_of(server));
            self.registry.put(server.clone());
        }
        for id in &reply.removed {
            self.registry.remove(id);
        }
    }

    /// Removes the servers whose ids `keep` rejects.
    pub fn retain_servers(&mut self, keep: impl Fn(&Name) -> bool) {
        let ids: Vec<Name> = self.registry.servers().keys().cloned().collect();
        for id in ids.iter().filter(|id| !keep(id)) {
            self.registry.remove(id);
        }
    }

    fn next_view(&mut self, last: &FleetView) -> Option<FleetView> {
        let servers_changed = self.merge_servers();
        let members = self.sorted_members();
        let config_changed = self.version() != last.version();
        let members_changed = members != self.published_members || self.leaders != last.leaders;
        let withheld_changed = self.withheld != last.withheld;
        if !servers_changed && !config_changed && !members_changed && !withheld_changed {
            return None;
        }
        self.published_members.clone_from(&members);
        let servers =
            self.merged_servers.iter().map(|(id, (_, server))| (id.clone(), server.clone()));
        Some(FleetView {
            config: self.config.clone(),
            servers: servers.collect(),
            withheld: self.withheld.clone(),
            members,
            leaders: self.leaders.clone(),
        })
    }

    fn sorted_members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.all_members().cloned().collect();
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        members
    }

    /// Combines the registry with the models that leaders know; returns whether anything changed.
    /// Servers of versions that the store does not keep are withheld.
    fn merge_servers(&mut self) -> bool {
        let before = self.servers_revision;
        let gone: Vec<Name> = self
            .merged_servers
            .keys()
            .filter(|id| !self.registry.servers().contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
            self.unpublish(id);
        }
        self.withheld.clear();
        for server in self.registry.servers().values() {
            let residency = self
                .residency
                .get(&server.id)
                .filter(|known| known.incarnation == server.incarnation);
            let models = residency.map_or(&server.models, |known| &known.models);
            let is_busy = residency.map_or(server.is_busy, |known| known.is_busy);
            let published = self.merged_servers.get(&server.id).map(|(_, known)| known);
            if !published.is_some_and(|known| has_version_of(known, server))
                && self.must_withhold(server)
            {
                self.withheld.insert(server.id.clone(), Arc::new(server.clone()));
                continue;
            }
            let is_same = published.is_some_and(|known| {
                known.models == *models
                    && known.is_busy == is_busy
                    && equals_except_residency(known, server)
            });
            if !is_same {
                let merged = BackendServer { models: models.clone(), is_busy, ..server.clone() };
                self.servers_revision += 1;
                let entry = (self.servers_revision, Arc::new(merged));
                self.merged_servers.insert(server.id.clone(), entry);
            }
        }
        // Servers that have started again with other software.
        let is_published = |id: &&Name| self.merged_servers.contains_key(*id);
        let replaced: Vec<Name> = self.withheld.keys().filter(is_published).cloned().collect();
        for id in replaced {
            self.unpublish(id);
        }
        while self.removals.len() > MAX_REMOVALS {
            self.removals_pruned_up_to =
                self.removals.pop_front().map_or(0, |(revision, _)| revision);
        }
        self.servers_revision != before
    }

    /// Returns whether the store keeps versions of the server's service, but not that of its software.
    fn must_withhold(&self, server: &BackendServer) -> bool {
        let recorded = &self.recorded_versions;
        let first = (server.service.clone(), Name::default());
        let is_known =
            recorded.range(first..).next().is_some_and(|(name, _)| *name == server.service);
        is_known && !recorded.contains(&version_of(server))
    }

    fn unpublish(&mut self, id: Name) {
        self.merged_servers.remove(&id);
        self.residency.remove(&id);
        self.servers_revision += 1;
        self.removals.push_back((self.servers_revision, id));
    }
}

/// Returns the service of a server and the version of its software.
pub fn version_of(server: &BackendServer) -> ServiceVersion {
    (server.service.clone(), server.software.clone())
}

fn has_version_of(a: &BackendServer, b: &BackendServer) -> bool {
    a.service == b.service && a.software == b.software
}

fn equals_except_residency(a: &BackendServer, b: &BackendServer) -> bool {
    a.state == b.state
        && a.incarnation == b.incarnation
        && a.address == b.address
        && a.service == b.service
        && a.software == b.software
        && a.failure_domain == b.failure_domain
        && a.slots == b.slots
        && a.in_memory == b.in_memory
        && a.on_disk == b.on_disk
}
