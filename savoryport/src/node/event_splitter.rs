//! Splits a byte stream into complete server-sent events, so that a broken stream can be resumed at
//! another server.
//!
//! The bytes of an event are forwarded unchanged. Only its boundary and its id are needed, so no
//! parser of server-sent events is used.

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

/// The maximum size of an event that is buffered until it is complete, in bytes. Bytes that are no
/// event may come without end, and to many requests at once.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits bytes into events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The number of bytes of [`Self::buffer`] that were already searched for the end of an event.
    searched: usize,
}

/// Tracks whether a stream of events that is not split ends between two events.
#[derive(Debug, Default)]
pub struct EventBoundary {
    /// The last bytes, as many as the longest blank line after a line has.
    tail: SmallVec<[u8; 3]>,
}

/// A complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
    /// The event's bytes, including the blank line that ends it.
    pub bytes: Bytes,
}

impl EventSplitter {
    /// Appends bytes; returns `false` if the buffer exceeds the maximum size of an event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(SseEvent { id: event_id(&bytes), bytes })
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the position after the next blank line; lines end with LF or CRLF.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        let start = self.searched.saturating_sub(3);
        for position in start..bytes.len() {
            if bytes[position..].starts_with(b"\n\n") {
                return Some(position + 2);
            }
            if bytes[position..].starts_with(b"\n\r\n") {
                return Some(position + 3);
            }
        }
        self.searched = bytes.len();
        None
    }
}

impl EventBoundary {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let last = &bytes[bytes.len().saturating_sub(3)..];
        self.tail.extend_from_slice(last);
        let surplus = self.tail.len().saturating_sub(3);
        self.tail.drain(..surplus);
    }

    /// Returns whether the bytes so far end with a complete event, or are none.
    pub fn is_between_events(&self) -> bool {
        let tail = &self.tail[..];
        tail.is_empty() || tail.ends_with(b"\n\n") || tail.ends_with(b"\n\r\n")
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
}
