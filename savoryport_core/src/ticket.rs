//! Tickets, which let a request that must not be repeated run at most once without a write to the
//! key-value service for each request.
//!
//! A ticket names the only entry process that may start its request. That process remembers which
//! requests it started for as long as it would accept their tickets. `docs/DESIGN.md` compares this
//! with claims in the key-value service.

use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::Name;

/// The number of past epochs whose tickets are still accepted, in addition to the current epoch.
const ACCEPTED_PAST_EPOCHS: u64 = 2;

/// The maximum number of used tickets remembered per epoch. Requests with further tickets are
/// refused before they start.
pub const MAX_STARTED_PER_EPOCH: usize = 100_000;

value! {
    /// Permission to start one request at one entry process.
    pub struct Ticket {
        /// The entry VM that may start the request.
        pub home: Name,
        /// The incarnation of the entry process on that VM.
        pub incarnation: u64,
        /// The home's epoch when the ticket was issued.
        pub epoch: u64,
        /// Unique among the tickets of the process.
        pub number: u64,
    }
}

/// The error for a text that is not a valid ticket.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("not a ticket: use the value that the address answer gave")]
pub struct MalformedTicket;

/// Whether an entry process may start a request that carries a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketAdmission {
    /// The request may start now, and never again.
    Start,
    /// The request was started before; whether it completed is not known here.
    AlreadyStarted,
    /// The ticket is older than this process remembers, from an epoch that it has not reached, or
    /// from another process on the VM.
    TooOld,
    /// The ticket belongs to another entry VM.
    OtherHome,
    /// This process cannot remember more tickets in this epoch; the request did not start.
    Full,
}

/// Issues tickets and remembers which of them were used.
#[derive(Debug)]
pub struct TicketIssuer {
    home: Name,
    incarnation: u64,
    started_at: Instant,
    epoch_length: Duration,
    issued_count: u64,
    /// The numbers of the used tickets, by epoch.
    used: HashMap<u64, HashSet<u64>>,
}

impl Display for Ticket {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{}~{}", self.home, self.incarnation, self.epoch, self.number)
    }
}

impl FromStr for Ticket {
    type Err = MalformedTicket;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('~');
        let home = parts.next().filter(|home| !home.is_empty()).ok_or(MalformedTicket)?;
        let mut next_number = || parts.next()?.parse::<u64>().ok();
        let (incarnation, epoch, number) = (next_number().zip(next_number()).zip(next_number()))
            .map(|((a, b), c)| (a, b, c))
            .ok_or(MalformedTicket)?;
        if parts.next().is_some() {
            return Err(MalformedTicket);
        }
        Ok(Self { home: home.into(), incarnation, epoch, number })
    }
}

impl TicketIssuer {
    /// Creates the issuer of a process.
    ///
    /// `incarnation` must differ from that of every earlier process with the same `home`.
    pub fn new(home: Name, incarnation: u64, epoch_length: Duration, now: Instant) -> Self {
        Self {
            home,
            incarnation,
            started_at: now,
            epoch_length,
            issued_count: 0,
            used: HashMap::new(),
        }
    }

    /// Issues a ticket for this process.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        self.issued_count += 1;
        let epoch = self.epoch(now);
        let (home, incarnation) = (self.home.clone(), self.incarnation);
        Ticket { home, incarnation, epoch, number: self.issued_count }
    }

    /// Decides whether the request of a ticket may start, and marks the ticket as used if so.
    pub fn admit(&mut self, ticket: &Ticket, now: Instant) -> TicketAdmission {
        if ticket.home != self.home {
            return TicketAdmission::OtherHome;
        }
        let epoch = self.epoch(now);
        let accepted_epochs = epoch.saturating_sub(ACCEPTED_PAST_EPOCHS)..=epoch;
        self.used.retain(|epoch, _| accepted_epochs.contains(epoch));
        if ticket.incarnation != self.incarnation || !accepted_epochs.contains(&ticket.epoch) {
            return TicketAdmission::TooOld;
        }
        let used = self.used.entry(ticket.epoch).or_default();
        if used.contains(&ticket.number) {
            return TicketAdmission::AlreadyStarted;
        }
        if used.len() >= MAX_STARTED_PER_EPOCH {
            return TicketAdmission::Full;
        }
        used.insert(ticket.number);
        TicketAdmission::Start
    }

    /// Marks a ticket as unused again, for a request that certainly did not run.
    pub fn release(&mut self, ticket: &Ticket) {
        if let Some(used) = self.used.get_mut(&ticket.epoch) {
            used.remove(&ticket.number);
        }
    }

    fn epoch(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        (age.as_millis() / self.epoch_length.as_millis().max(1)) as u64
    }
}
