//! The task that owns the entry's decisions.
//!
//! Requests send it messages and wait for its word; it alone holds the queues, the limits and the
//! ticket book, so none of them needs a lock.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::clock::Clock;
use savoryport_core::dispatch::{
    Action, Dispatch, RefusalCause, Request, RequestEnd, RequestId, RetryBudget, Sample, ServerInfo,
};
use savoryport_core::fleet::{Vm, VmRole};
use savoryport_core::rank::Rank;
use savoryport_core::replica::Replica;
use savoryport_core::ticket::{Ticket, TicketAdmission, TicketIssuer};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use super::fleet::Demand;
use crate::keys;
use crate::settings::Settings;

/// How often deadlines are looked at; a refusal leaves within this time of its cause.
const TICK: Duration = Duration::from_millis(5);

/// How long a server is passed over after no connection came to stand.
const SUSPENSION: Duration = Duration::from_secs(1);

/// How long a server that said it drains is passed over before it is asked again.
const DRAIN_SUSPENSION: Duration = Duration::from_secs(30);

/// Retries as a share of successes.
const RETRY_SHARE: f64 = 0.1;

/// Retries at once.
const RETRY_BURST: f64 = 50.0;

/// Where a request goes, or that it goes nowhere.
#[derive(Debug, Clone)]
pub(super) enum Verdict {
    /// To this server.
    Start(Slot),
    /// Nowhere; the caller is told at once.
    Refuse(RefusalCause, Duration),
}

/// A server that a request may be sent to, with its address.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) server: Name,
    pub(super) address: Name,
}

enum Message {
    Submit(Request, oneshot::Sender<Verdict>),
    Cancel(RequestId),
    Finish(Name, Name, Rank, Sample),
    Suspend(Name, Duration),
    TakeRetry(oneshot::Sender<bool>),
    IssueTicket(oneshot::Sender<Ticket>),
    AdmitTicket(Ticket, oneshot::Sender<TicketAdmission>),
    GiveBackTicket(Ticket),
}

/// The way to the task.
#[derive(Clone)]
pub(super) struct DispatcherHandle {
    tx: mpsc::UnboundedSender<Message>,
}

/// A request that is under way on a server; the server's slot is free again when this is dropped.
pub(super) struct InFlight {
    handle: DispatcherHandle,
    pub(super) slot: Slot,
    item: Name,
    rank: Rank,
    pub(super) sample: Sample,
}

/// Withdraws a waiting request whose caller has left.
struct Waiting {
    handle: DispatcherHandle,
    id: Option<RequestId>,
}

impl DispatcherHandle {
    /// Waits for the verdict on a request.
    pub(super) async fn submit(&self, req: Request, sample: Sample) -> Result<InFlight, Verdict> {
        let (tx, rx) = oneshot::channel();
        let (id, item, rank) = (req.id, req.item.clone(), req.rank);
        let mut waiting = Waiting { handle: self.clone(), id: Some(id) };
        self.send(Message::Submit(req, tx));
        let verdict = rx.await;
        waiting.id = None;
        match verdict {
            Ok(Verdict::Start(slot)) => {
                Ok(InFlight { handle: self.clone(), slot, item, rank, sample })
            }
            Ok(refusal) => Err(refusal),
            Err(_) => Err(Verdict::Refuse(RefusalCause::NotResident, Duration::from_secs(1))),
        }
    }

    /// Passes over a server to which no connection came to stand.
    pub(super) fn suspend(&self, server: &Name) {
        self.send(Message::Suspend(server.clone(), SUSPENSION));
    }

    /// Passes over a server that said it drains.
    pub(super) fn suspend_draining(&self, server: &Name) {
        self.send(Message::Suspend(server.clone(), DRAIN_SUSPENSION));
    }

    /// Asks whether the budget allows a retry.
    pub(super) async fn take_retry(&self) -> bool {
        self.ask(Message::TakeRetry).await.unwrap_or(false)
    }

    /// Asks for a ticket; `None` while the entry stops.
    pub(super) async fn issue_ticket(&self) -> Option<Ticket> {
        self.ask(Message::IssueTicket).await
    }

    /// Asks whether the request of a ticket may start.
    pub(super) async fn admit_ticket(&self, ticket: Ticket) -> TicketAdmission {
        self.ask(|tx| Message::AdmitTicket(ticket, tx)).await.unwrap_or(TicketAdmission::Full)
    }

    /// Gives back a ticket whose request certainly did not run.
    pub(super) fn give_back_ticket(&self, ticket: &Ticket) {
        self.send(Message::GiveBackTicket(ticket.clone()));
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(message(tx));
        rx.await.ok()
    }

    fn send(&self, message: Message) {
        // The task outlives every request; only the last moments of a stop find it gone.
        let _ = self.tx.send(message);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let (server, rank, sample) = (self.slot.server.clone(), self.rank, self.sample);
        let item = self.item.clone();
        self.handle.send(Message::Finish(server, item, rank, sample));
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.handle.send(Message::Cancel(id));
        }
    }
}

/// A request that waits for its verdict.
struct Waiter {
    item: Name,
    rank: Rank,
    tx: oneshot::Sender<Verdict>,
}

struct Dispatcher {
    dispatch: Dispatch,
    book: TicketIssuer,
    budget: RetryBudget,
    demand: Demand,
    clock: Arc<dyn Clock>,
    fleet: watch::Receiver<Arc<Replica>>,
    waiting: HashMap<RequestId, Waiter>,
    addresses: HashMap<Name, Name>,
}

/// Starts the task.
pub(super) fn start(
    settings: &Settings,
    incarnation: u64,
    fleet: watch::Receiver<Arc<Replica>>,
    demand: Demand,
    clock: Arc<dyn Clock>,
    cancel: CancellationToken,
) -> DispatcherHandle {
    let (tx, rx) = mpsc::unbounded_channel();
    let epoch_length = Duration::from_millis(settings.ticket_epoch_ms);
    let dispatcher = Dispatcher {
        dispatch: Dispatch::new(settings.dispatch_config()),
        book: TicketIssuer::new(settings.vm.clone(), incarnation, epoch_length, clock.now()),
        budget: RetryBudget::new(RETRY_SHARE, RETRY_BURST),
        demand,
        clock,
        fleet,
        waiting: HashMap::new(),
        addresses: HashMap::new(),
    };
    tokio::spawn(cancel.run_until_cancelled_owned(dispatcher.run(rx)));
    DispatcherHandle { tx }
}

impl Dispatcher {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                _ = self.fleet.changed() => self.on_fleet(),
                _ = tick.tick() => {
                    let actions = self.dispatch.tick(self.clock.now());
                    self.carry_out(actions);
                }
            }
        }
    }

    fn on_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Submit(req, tx) => self.on_submit(req, tx, now),
            Message::Cancel(id) => {
                self.waiting.remove(&id);
                self.dispatch.cancel(id);
            }
            Message::Finish(server, item, rank, sample) => {
                if sample.end == RequestEnd::Completed {
                    self.budget.on_success();
                    self.demand.note_length(rank, sample.total);
                }
                let actions = self.dispatch.finish(&server, &item, rank, &sample, now);
                self.carry_out(actions);
            }
            Message::Suspend(server, time) => self.dispatch.suspend(&server, now + time),
            Message::TakeRetry(tx) => drop(tx.send(self.budget.try_take())),
            Message::IssueTicket(tx) => drop(tx.send(self.book.issue(now))),
            Message::AdmitTicket(ticket, tx) => drop(tx.send(self.book.admit(&ticket, now))),
            Message::GiveBackTicket(ticket) => self.book.release(&ticket),
        }
    }

    fn on_submit(&mut self, req: Request, tx: oneshot::Sender<Verdict>, now: Instant) {
        let table = self.fleet.borrow().table.clone();
        if let Some(row) = table.get(&req.item) {
            self.demand.note_arrival(row.base.as_ref().unwrap_or(&row.name), req.rank);
        }
        let (item, rank) = (req.item.clone(), req.rank);
        self.waiting.insert(req.id, Waiter { item, rank, tx });
        let actions = self.dispatch.submit(req, now);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let (id, verdict) = match action {
                Action::Start { id, server } => {
                    let address = self.addresses.get(&server).cloned().unwrap_or_default();
                    (id, Verdict::Start(Slot { server, address }))
                }
                Action::Refuse { id, cause, retry_after } => {
                    (id, Verdict::Refuse(cause, retry_after))
                }
            };
            let Some(Waiter { item, rank, tx }) = self.waiting.remove(&id) else { continue };
            if let Err(Verdict::Start(slot)) = tx.send(verdict) {
                // The caller left at this moment: the slot must not stay taken.
                let now = self.clock.now();
                let sample = Sample::abandoned();
                actions.extend(self.dispatch.finish(&slot.server, &item, rank, &sample, now));
            }
        }
    }

    fn on_fleet(&mut self) {
        let replica = self.fleet.borrow_and_update().clone();
        self.addresses =
            replica.vms.vms.iter().map(|vm| (vm.name.clone(), vm.address.clone())).collect();
        let servers = replica.vms.vms.iter().filter(|vm| vm.role != VmRole::Entry);
        let infos = servers.map(|vm| server_info(&replica, vm)).collect();
        self.dispatch.set_servers(infos);
    }
}

fn server_info(replica: &Replica, vm: &Vm) -> ServerInfo {
    let loaded: BTreeSet<Name> = match vm.role {
        VmRole::Service => vm.services.iter().cloned().collect(),
        _ => replica
            .residency
            .get(&vm.name)
            .map(|residency| residency.loaded.iter().cloned().collect())
            .unwrap_or_default(),
    };
    let marks = [keys::drain_mark(&vm.name), keys::down_mark(&vm.name)];
    let is_out = marks.iter().any(|mark| replica.mark(mark).is_some());
    let (name, region) = (vm.name.clone(), vm.region.clone());
    ServerInfo { name, region, loaded, leaving: vm.leaving || is_out }
}
