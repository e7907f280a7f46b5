//! Cuts a stream of bytes into whole events, so that a broken stream can go on at another server.
//!
//! The bytes of an event are passed on as they are; only its boundary and id are looked for, which is
//! why no parser of event streams stands here.

use bytes::{Bytes, BytesMut};

/// The longest event that is held back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// How far [`Self::pending`] was searched.
    searched: usize,
}

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

impl EventSplitter {
    /// Takes bytes; returns `false` once an event is longer than any should be.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        self.pending.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        Some(SseEvent { id: event_id(&bytes), bytes })
    }

    /// Returns whether bytes of an unfinished event are left.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the bytes of an unfinished event.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.split().freeze()
    }

    /// Returns the position after the next blank line, with either kind of line end.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.pending;
        let start = self.searched.saturating_sub(3);
        for at in start..bytes.len() {
            if bytes[at..].starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if bytes[at..].starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.searched = bytes.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
}
