//! Decides which events of a resumable stream are forwarded to the caller, by their numbers.
//!
//! Failure pattern: a faulty server changes single bytes. A number that is wrong or cannot be read
//! hides which events a caller has, and the stream would be resumed after the wrong one.
//!
//! Events are numbered without gaps, and a server that resumes a stream goes on after the last one that
//! the caller has. Each event must therefore follow the one before. One that does not is not forwarded:
//! another server resumes the stream before it.
//!
//! The first event of a stream follows none. Some servers count from 0 and some from 1, so that a first 1
//! may be a spoiled 0. It is forwarded at once if `first_event_numbers` knows that servers of this kind
//! begin with it. Any other is held until the next event follows it.

/// The highest number that a stream may begin with.
const MAX_FIRST: u64 = 1;

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
    /// It is held until the next event tells whether the first number is right.
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
    /// The number that streams of the current server's kind begin with, if that is known.
    expected_first: Option<u64>,
    /// The number that the current server's stream began with, until another event follows it.
    unconfirmed_first: Option<u64>,
    /// The same, once another event has followed it.
    confirmed_first: Option<u64>,
}

impl EventSequence {
    /// Creates the sequence of a stream of which the caller already has the events up to this one.
    /// Streams of the first server's kind begin with `expected_first`, if that is known.
    pub fn new(last_forwarded: Option<u64>, expected_first: Option<u64>) -> Self {
        Self { last_forwarded, expected_first, ..Self::default() }
    }

    /// Records that another server resumes the stream. Streams of its kind begin with
    /// `expected_first`, if that is known.
    pub fn start_server(&mut self, expected_first: Option<u64>) {
        *self = Self::new(self.last_forwarded, expected_first);
    }

    /// Returns the last event that the caller has.
    pub fn last_forwarded(&self) -> Option<u64> {
        self.last_forwarded
    }

    /// Returns once the number that the current server's stream began with, if the next event followed
    /// it and it is not the expected one.
    pub fn take_unexpected_first(&mut self) -> Option<u64> {
        self.confirmed_first.take().filter(|first| self.expected_first != Some(*first))
    }

    /// Decides what is done with the next event.
    pub fn accept(&mut self, number: EventNumber) -> EventAction {
        let number = match number {
            EventNumber::Known(number) => number,
            EventNumber::Unnumbered if self.is_holding() => return EventAction::Hold,
            EventNumber::Unnumbered => return EventAction::Forward,
            EventNumber::Unreadable => return EventAction::Interrupt,
        };
        let last = self.last_of_server.or(self.last_forwarded);
        let follows = match last {
            Some(last) => last.checked_add(1) == Some(number),
            None => number <= MAX_FIRST,
        };
        if !follows {
            return EventAction::Interrupt;
        }
        self.last_of_server = Some(number);
        if last.is_none() {
            self.unconfirmed_first = Some(number);
            if self.is_holding() {
                return EventAction::Hold;
            }
        } else if let Some(first) = self.unconfirmed_first.take() {
            self.confirmed_first = Some(first);
        }
        self.last_forwarded = Some(number);
        EventAction::Forward
    }

    /// Returns whether events are held until the first number is confirmed.
    fn is_holding(&self) -> bool {
        self.unconfirmed_first.is_some() && self.unconfirmed_first != self.expected_first
    }
}
