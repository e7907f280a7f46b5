//! The queues of waiting requests, by rank and item.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

use smallvec::SmallVec;

use super::{Request, RequestId};
use crate::Name;
use crate::rank::Rank;

/// The indices of the servers that have each item loaded.
type Hosts = HashMap<Name, SmallVec<[usize; 8]>>;

/// The waiting requests, and how many of each rank wait for each server.
#[derive(Debug, Default)]
pub(super) struct Queues {
    by_rank: [BTreeMap<Name, VecDeque<Request>>; 3],
    hosts: Hosts,
    /// The number of waiting requests by server and rank; a request counts for each server that has
    /// its item loaded.
    waiting_by_server: HashMap<usize, [u32; 3]>,
    lengths: [usize; 3],
}

impl Queues {
    pub(super) fn set_hosts(&mut self, hosts: &Hosts) {
        self.hosts = hosts.clone();
        self.waiting_by_server.clear();
        for rank in Rank::ALL {
            for (item, queue) in &self.by_rank[rank.index()] {
                let count = queue.len() as u32;
                for server in self.hosts.get(item).into_iter().flatten() {
                    self.waiting_by_server.entry(*server).or_default()[rank.index()] += count;
                }
            }
        }
    }

    pub(super) fn lengths(&self) -> [usize; 3] {
        self.lengths
    }

    /// Returns the number of requests of each rank that wait for a server.
    pub(super) fn waiting_for(&self, server: usize) -> [u32; 3] {
        self.waiting_by_server.get(&server).copied().unwrap_or_default()
    }

    pub(super) fn push(&mut self, req: Request) {
        let rank = req.rank;
        self.adjust_counts(rank, &req.item.clone(), 1);
        self.by_rank[rank.index()].entry(req.item.clone()).or_default().push_back(req);
    }

    /// Removes the request of a rank with the earliest deadline among those whose item the server
    /// has loaded and that `may_take` accepts; only the first request of each item is considered.
    pub(super) fn pop(
        &mut self,
        rank: Rank,
        server: usize,
        may_take: impl Fn(&Request) -> bool,
    ) -> Option<Request> {
        let hosts = &self.hosts;
        let is_loaded =
            |item: &Name| hosts.get(item).is_some_and(|servers| servers.contains(&server));
        let item = self.by_rank[rank.index()]
            .iter()
            .filter(|(item, _)| is_loaded(item))
            .filter_map(|(item, queue)| Some((queue.front().filter(|req| may_take(req))?, item)))
            .map(|(req, item)| (req.deadline, item.clone()))
            .min()?
            .1;
        let queue = self.by_rank[rank.index()].get_mut(&item)?;
        let req = queue.pop_front();
        if queue.is_empty() {
            self.by_rank[rank.index()].remove(&item);
        }
        self.adjust_counts(rank, &item, -1);
        req
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.remove_where(|req| req.id == id);
    }

    pub(super) fn remove_expired(&mut self, now: Instant) -> Vec<Request> {
        self.remove_where(|req| req.deadline <= now)
    }

    fn remove_where(&mut self, matches: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        for queues in &mut self.by_rank {
            for queue in queues.values_mut() {
                if !queue.iter().any(&matches) {
                    continue;
                }
                let (matching, kept): (Vec<_>, Vec<_>) = queue.drain(..).partition(&matches);
                *queue = kept.into();
                removed.extend(matching);
            }
            queues.retain(|_, queue| !queue.is_empty());
        }
        for req in &removed {
            self.adjust_counts(req.rank, &req.item.clone(), -1);
        }
        removed
    }

    fn adjust_counts(&mut self, rank: Rank, item: &Name, change: i32) {
        self.lengths[rank.index()] =
            self.lengths[rank.index()].saturating_add_signed(change as isize);
        for server in self.hosts.get(item).into_iter().flatten() {
            let waiting = self.waiting_by_server.entry(*server).or_default();
            waiting[rank.index()] = waiting[rank.index()].saturating_add_signed(change);
        }
    }
}
