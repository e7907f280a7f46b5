//! Divides the connections that a listener may have.
//!
//! Load pattern: a crowd opens more connections than there are descriptors, sends heads byte by byte
//! or nothing, and reconnects at once when it is refused, beside ordinary callers that send whole
//! heads and keep their connections for the next request. When the connections are used up, the one
//! gives way that has served least: one that never had a request before one that had, then one of the
//! address with the most connections, then the oldest.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Identifies a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// Returns the number, which is unique for a table.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// No byte of a request has arrived since then.
    Idle(Instant),
    /// A part of a head has arrived, the first of it then.
    Head(Instant, usize),
    /// A request is in progress.
    Serving,
}

#[derive(Debug)]
struct Connection {
    address: IpAddr,
    has_served: bool,
    is_closing: bool,
    /// Whether bytes are waiting that the other side does not read.
    is_blocked: bool,
    activity: Activity,
}

impl Connection {
    /// Returns since when it has had no request in progress, if it may give way.
    fn spare_since(&self) -> Option<Instant> {
        match self.activity {
            _ if self.is_closing || self.is_blocked => None,
            Activity::Idle(since) | Activity::Head(since, _) => Some(since),
            Activity::Serving => None,
        }
    }
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    /// The most bytes of incomplete heads.
    max_head_bytes: usize,
    head_bytes: usize,
    connections: BTreeMap<ConnectionId, Connection>,
    by_address: BTreeMap<IpAddr, usize>,
    next_id: u64,
}

impl ConnectionTable {
    /// Creates the table of a listener with so many connections, whose incomplete heads may have so
    /// many bytes.
    pub fn new(limit: usize, max_head_bytes: usize) -> Self {
        Self {
            limit,
            max_head_bytes,
            head_bytes: 0,
            connections: BTreeMap::new(),
            by_address: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Admits a connection, for which another one may have to give way. Returns `None` if there is no
    /// room.
    pub fn open(
        &mut self,
        address: IpAddr,
        now: Instant,
    ) -> Option<(ConnectionId, Option<ConnectionId>)> {
        let closing = if self.connections.len() >= self.limit {
            let spare = self.connections.iter().filter_map(|(id, connection)| {
                let since = connection.spare_since()?;
                let siblings = self.by_address.get(&connection.address).copied().unwrap_or(0);
                Some(((connection.has_served, std::cmp::Reverse(siblings), since), *id))
            });
            let (_, closing) = spare.min()?;
            self.mark_closing(closing);
            Some(closing)
        } else {
            None
        };
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        let connection = Connection {
            address,
            has_served: false,
            is_closing: false,
            is_blocked: false,
            activity: Activity::Idle(now),
        };
        self.connections.insert(id, connection);
        *self.by_address.entry(address).or_default() += 1;
        Some((id, closing))
    }

    /// Records bytes that arrived on a connection. Returns the connection that gives way if there are
    /// too many bytes of incomplete heads: the one with the most.
    pub fn record_arrival(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
    ) -> Option<ConnectionId> {
        let connection = self.connections.get_mut(&id)?;
        connection.activity = match connection.activity {
            Activity::Idle(_) => Activity::Head(now, bytes),
            Activity::Head(since, before) => Activity::Head(since, before + bytes),
            Activity::Serving => return None,
        };
        self.head_bytes += bytes;
        if self.head_bytes <= self.max_head_bytes {
            return None;
        }
        let heads = self.connections.iter().filter_map(|(id, connection)| {
            match (connection.is_closing, connection.activity) {
                (false, Activity::Head(_, bytes)) => Some((bytes, *id)),
                _ => None,
            }
        });
        let (_, closing) = heads.max()?;
        self.mark_closing(closing);
        Some(closing)
    }

    /// Records that the head of a request is complete.
    pub fn begin_request(&mut self, id: ConnectionId) {
        self.set_activity(id, Activity::Serving);
    }

    /// Records that a request is answered.
    pub fn end_request(&mut self, id: ConnectionId, now: Instant) {
        self.set_activity(id, Activity::Idle(now));
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.has_served = true;
        }
    }

    /// Records whether bytes are waiting that the other side does not read.
    pub fn set_blocked(&mut self, id: ConnectionId, is_blocked: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_blocked = is_blocked;
        }
    }

    /// Returns the connections whose heads have not been complete for this time; they are to be
    /// closed.
    pub fn overdue(&mut self, timeout: Duration, now: Instant) -> Vec<ConnectionId> {
        let is_overdue = |connection: &Connection| match connection.activity {
            Activity::Head(since, _) => {
                !connection.is_closing && now.saturating_duration_since(since) > timeout
            }
            _ => false,
        };
        let overdue = self.connections.iter().filter(|(_, connection)| is_overdue(connection));
        let overdue: Vec<_> = overdue.map(|(id, _)| *id).collect();
        overdue.iter().for_each(|id| self.mark_closing(*id));
        overdue
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.mark_closing(id);
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(count) = self.by_address.get_mut(&connection.address) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&connection.address);
            }
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the number of bytes of incomplete heads.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        self.set_activity(id, Activity::Serving);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_closing = true;
        }
    }

    fn set_activity(&mut self, id: ConnectionId, activity: Activity) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if let Activity::Head(_, bytes) = connection.activity {
                self.head_bytes -= bytes;
            }
            connection.activity = activity;
        }
    }
}
