//! Takes apart a server's bytes into events and selects those that a resumable stream's caller gets.

use bytes::{Bytes, BytesMut};
use savoryport_core::node::event_sequence::{EventAction, EventSequence};

use super::event_splitter::EventSplitter;

/// The events of a resumable stream, from all servers that have a part in it.
#[derive(Debug, Clone, Default)]
pub struct EventRelay {
    splitter: EventSplitter,
    sequence: EventSequence,
    /// Events that are forwarded with the next one, if that follows.
    held: BytesMut,
}

/// What follows from some bytes of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relayed {
    /// The events to forward; those before an interruption too.
    pub events: Bytes,
    /// Whether the stream has to be resumed after [`EventRelay::last_forwarded`].
    pub is_interrupted: bool,
}

impl EventRelay {
    /// Creates the relay of a stream of which the caller already has the events up to this one.
    /// Streams of the first server's kind begin with `expected_first`, if that is known.
    pub fn new(last_forwarded: Option<u64>, expected_first: Option<u64>) -> Self {
        let sequence = EventSequence::new(last_forwarded, expected_first);
        Self { sequence, ..Self::default() }
    }

    /// Drops what is incomplete, since another server resumes the stream. Streams of its kind begin
    /// with `expected_first`, if that is known.
    pub fn start_server(&mut self, expected_first: Option<u64>) {
        self.splitter = EventSplitter::default();
        self.held.clear();
        self.sequence.start_server(expected_first);
    }

    /// Takes the next bytes of the current server.
    pub fn push(&mut self, data: &[u8]) -> Relayed {
        let fits = self.splitter.push(data);
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            match self.sequence.accept(event.number) {
                EventAction::Forward => {
                    events.extend_from_slice(&self.held.split());
                    events.extend_from_slice(&event.bytes);
                }
                EventAction::Hold => self.held.extend_from_slice(&event.bytes),
                EventAction::Interrupt => {
                    return Relayed { events: events.freeze(), is_interrupted: true };
                }
            }
        }
        Relayed { events: events.freeze(), is_interrupted: !fits }
    }

    /// Returns the events that were held until the end of the server's stream.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Returns the last event that the caller has.
    pub fn last_forwarded(&self) -> Option<u64> {
        self.sequence.last_forwarded()
    }

    /// Returns once the number that the current server's stream began with, if the next event followed
    /// it and it is not the expected one.
    pub fn take_unexpected_first(&mut self) -> Option<u64> {
        self.sequence.take_unexpected_first()
    }

    /// Returns whether events are held until the next one shows that the first number is right.
    pub fn is_holding(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns whether bytes of an incomplete event were received.
    pub fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }

    /// Returns the splitter of the current server's bytes.
    pub fn splitter(&self) -> &EventSplitter {
        &self.splitter
    }
}
