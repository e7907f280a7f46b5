//! What servers tell of themselves in their answers: that they leave.
//!
//! Load pattern: a server tells in an answer that it leaves, before its entry in the registry says
//! so, or although the entry says otherwise again after an outage of the store. Requests that it still
//! gets are cut off when it goes.

use std::collections::HashMap;

use crate::Name;

/// What each server has told, for its current incarnation.
#[derive(Debug, Clone, Default)]
pub struct ServerNotices {
    servers: HashMap<Name, Notice>,
}

#[derive(Debug, Clone, Default)]
struct Notice {
    incarnation: u64,
    is_leaving: bool,
}

impl ServerNotices {
    /// Records that a server told that it leaves; returns whether that is news.
    pub fn record_leaving(&mut self, server: &Name, incarnation: u64) -> bool {
        let notice = self.notice_mut(server, incarnation);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Returns whether the server takes requests, as far as it has told. A server that has started
    /// again has told nothing yet.
    pub fn allow(&self, server: &str, incarnation: u64) -> bool {
        let notice = self.servers.get(server).filter(|notice| notice.incarnation == incarnation);
        notice.is_none_or(|notice| !notice.is_leaving)
    }

    /// Removes the servers that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }

    fn notice_mut(&mut self, server: &Name, incarnation: u64) -> &mut Notice {
        let notice = self.servers.entry(server.clone()).or_default();
        if notice.incarnation != incarnation {
            *notice = Notice { incarnation, ..Notice::default() };
        }
        notice
    }
}
