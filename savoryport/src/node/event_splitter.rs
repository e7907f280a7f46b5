//! Splits a byte stream into complete server-sent events, so that a broken stream can be resumed at
//! another server.
//!
//! The bytes of an event are forwarded unchanged. Only its boundary and its id are needed, so no
//! parser of server-sent events is used. The names of the fields are read as well: a wrong byte in a
//! blank line makes one event of two.

use bytes::{Bytes, BytesMut};
use savoryport_core::node::event_sequence::EventNumber;
use smallvec::SmallVec;

/// The maximum size of an event that is buffered until it is complete, in bytes. Bytes that are no
/// event may come without end, and to many requests at once.
const MAX_EVENT_BYTES: usize = 64 * 1024;

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
    /// The event's number, which its id states.
    pub number: EventNumber,
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
        Some(SseEvent { number: read_number(&bytes), bytes })
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

/// Reads an event's number from its `id` field. Only that field must be text: a server's tokens may end
/// inside a character.
///
/// A server may put fields of its own before the id, and known ones alone after it. Others there, or a
/// second id, are those of a second event.
fn read_number(event: &[u8]) -> EventNumber {
    let mut id = None;
    let (mut comments, mut unknown_fields, mut known_fields) = (0, 0, 0);
    let lines = event.split(|byte| *byte == b'\n');
    for line in lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line)) {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        match name {
            _ if line.is_empty() => {}
            b"id" if id.is_some() => return EventNumber::Unreadable,
            b"id" => match parse_id(&line[name.len()..]) {
                Some(number) => id = Some(number),
                None => return EventNumber::Unreadable,
            },
            b"data" | b"event" | b"retry" if line.len() > name.len() => known_fields += 1,
            _ if id.is_some() => return EventNumber::Unreadable,
            b"" => comments += 1,
            _ => unknown_fields += 1,
        }
    }
    match id {
        Some(number) => EventNumber::Known(number),
        None if unknown_fields > 0 || (comments > 0 && known_fields > 0) => EventNumber::Unreadable,
        None => EventNumber::Unnumbered,
    }
}

/// Parses what follows the name of the `id` field.
fn parse_id(rest: &[u8]) -> Option<u64> {
    let value = rest.strip_prefix(b":")?;
    let digits = value.strip_prefix(b" ").unwrap_or(value);
    let text = std::str::from_utf8(digits).ok()?;
    let number = text.parse().ok()?;
    // Signs and leading zeros are parsed too, but servers write none.
    (u64::to_string(&number) == text).then_some(number)
}
