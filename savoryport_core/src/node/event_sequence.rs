//! Decides which events of a resumable stream are forwarded to the caller, by their numbers.
//!
//! Failure pattern: a faulty server changes single bytes. A number that is wrong or cannot be read
//! hides which events a caller has, and the stream would be resumed after the wrong one.
//!
//! Events are numbered without gaps, and a server that resumes a stream goes on after the last one that
//! the caller has. Each event must therefore follow the one before. One that does not is not forwarded:
//! another server resumes the stream before it.

/// The number of an event, as far as its bytes tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventNumber {
    /// The event has this number.
    Known(u64),
    /// The event has none and needs none: it is a comment, or has known fields alone.
    Unnumbered,
    /// Its fields are not those of one event.
    Unreadable,
}

/// What is done with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// It is forwarded, after those that are held.
    Forward,
    /// It is held until the next event tells whether the server counts from 0.
    Hold,
    /// Neither it nor what follows may be forwarded.
    Interrupt,
}

/// The numbers of a stream's events.
#[derive(Debug, Clone, Default)]
pub struct EventSequence {
    /// The last event that the caller has.
    last_forwarded: Option<u64>,
    /// The last event of the current server.
    last_of_server: Option<u64>,
}

impl EventSequence {
    /// Creates the sequence of a stream of which the caller already has the events up to this one.
    pub fn new(last_forwarded: Option<u64>) -> Self {
        Self { last_forwarded, last_of_server: None }
    }

    /// Records that another server resumes the stream.
    pub fn start_server(&mut self) {
        self.last_of_server = None;
    }

    /// Returns the last event that the caller has.
    pub fn last_forwarded(&self) -> Option<u64> {
        self.last_forwarded
    }

    /// Decides what is done with the next event.
    pub fn accept(&mut self, number: EventNumber) -> EventAction {
        let number = match number {
            EventNumber::Known(number) => number,
            EventNumber::Unnumbered => return EventAction::Forward,
            EventNumber::Unreadable => return EventAction::Interrupt,
        };
        let follows = match self.last_of_server.or(self.last_forwarded) {
            Some(last) => last.checked_add(1) == Some(number),
            None => number <= 1,
        };
        if !follows {
            return EventAction::Interrupt;
        }
        self.last_of_server = Some(number);
        if number == 0 {
            return EventAction::Hold;
        }
        self.last_forwarded = Some(number);
        EventAction::Forward
    }
}
