//! The task that makes the entry's dispatch decisions.
//!
//! Requests send messages to the task and wait for its replies. Only the task accesses the queues,
//! the concurrency limits and the tickets, so none of them needs a lock.

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

/// The interval between two checks of the deadlines, which is also the longest delay of a refusal
/// after its cause.
const TICK: Duration = Duration::from_millis(5);

/// How long a server gets no requests after a connection attempt failed.
const SUSPENSION: Duration = Duration::from_secs(1);

/// How long a server gets no requests after it reported that it is draining.
const DRAIN_SUSPENSION: Duration = Duration::from_secs(30);

/// The number of retries that each completed request adds to the retry budget.
const RETRY_SHARE: f64 = 0.1;

/// The maximum of the retry budget, which is the number of retries that may happen at once.
const RETRY_BURST: f64 = 50.0;

/// The decision on a submitted request.
#[derive(Debug, Clone)]
pub(super) enum DispatchDecision {
    /// Send the request to this server.
    Start(AssignedServer),
    /// Refuse the request for this reason; the caller may retry after the delay.
    Refuse(RefusalCause, Duration),
}

/// The server that a request is assigned to.
#[derive(Debug, Clone)]
pub(super) struct AssignedServer {
    pub(super) name: Name,
    pub(super) address: Name,
}

/// A message from a request to the task.
enum Message {
    Submit(Request, oneshot::Sender<DispatchDecision>),
    Cancel(RequestId),
    /// The server, the item, the rank and the measurements of a request that has ended.
    Finish(Name, Name, Rank, Sample),
    Suspend(Name, Duration),
    TakeRetry(oneshot::Sender<bool>),
    IssueTicket(oneshot::Sender<Ticket>),
    AdmitTicket(Ticket, oneshot::Sender<TicketAdmission>),
    ReleaseTicket(Ticket),
}

/// A handle by which requests communicate with the task.
#[derive(Clone)]
pub(super) struct DispatcherHandle {
    tx: mpsc::UnboundedSender<Message>,
}

/// A request in progress on a server. Dropping it reports the sample and frees the server's slot.
pub(super) struct InFlight {
    handle: DispatcherHandle,
    pub(super) server: AssignedServer,
    item: Name,
    rank: Rank,
    pub(super) sample: Sample,
}

/// Cancels a waiting request when it is dropped, as happens if the caller disconnects.
struct CancelOnDrop {
    handle: DispatcherHandle,
    /// The request, or `None` once there is a decision on it.
    id: Option<RequestId>,
}

impl DispatcherHandle {
    /// Submits a request and waits until it is assigned to a server or refused. An error is always
    /// [`DispatchDecision::Refuse`].
    pub(super) async fn submit(
        &self,
        req: Request,
        sample: Sample,
    ) -> Result<InFlight, DispatchDecision> {
        let (tx, rx) = oneshot::channel();
        let (id, item, rank) = (req.id, req.item.clone(), req.rank);
        let mut cancel_guard = CancelOnDrop { handle: self.clone(), id: Some(id) };
        self.send(Message::Submit(req, tx));
        let decision = rx.await;
        cancel_guard.id = None;
        match decision {
            Ok(DispatchDecision::Start(server)) => {
                Ok(InFlight { handle: self.clone(), server, item, rank, sample })
            }
            Ok(refusal) => Err(refusal),
            Err(_) => {
                Err(DispatchDecision::Refuse(RefusalCause::NotResident, Duration::from_secs(1)))
            }
        }
    }

    /// Suspends a server after a connection attempt failed.
    pub(super) fn suspend(&self, server: &Name) {
        self.send(Message::Suspend(server.clone(), SUSPENSION));
    }

    /// Suspends a server that reported that it is draining.
    pub(super) fn suspend_draining(&self, server: &Name) {
        self.send(Message::Suspend(server.clone(), DRAIN_SUSPENSION));
    }

    /// Takes a retry from the budget and returns whether there was one left.
    pub(super) async fn try_take_retry(&self) -> bool {
        self.call(Message::TakeRetry).await.unwrap_or(false)
    }

    /// Issues a ticket; returns `None` if the task has ended.
    pub(super) async fn issue_ticket(&self) -> Option<Ticket> {
        self.call(Message::IssueTicket).await
    }

    /// Decides whether a request with a ticket may start.
    pub(super) async fn admit_ticket(&self, ticket: Ticket) -> TicketAdmission {
        self.call(|tx| Message::AdmitTicket(ticket, tx)).await.unwrap_or(TicketAdmission::Full)
    }

    /// Makes a ticket usable again after its request certainly did not run.
    pub(super) fn release_ticket(&self, ticket: &Ticket) {
        self.send(Message::ReleaseTicket(ticket.clone()));
    }

    /// Sends a message and returns the reply, or `None` if the task has ended.
    async fn call<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(message(tx));
        rx.await.ok()
    }

    fn send(&self, message: Message) {
        // The task outlives the requests, except those cut off at the end of the drain timeout.
        let _ = self.tx.send(message);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let (server, rank, sample) = (self.server.name.clone(), self.rank, self.sample);
        let item = self.item.clone();
        self.handle.send(Message::Finish(server, item, rank, sample));
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.handle.send(Message::Cancel(id));
        }
    }
}

/// A submitted request without a decision.
struct WaitingRequest {
    item: Name,
    rank: Rank,
    tx: oneshot::Sender<DispatchDecision>,
}

struct Dispatcher {
    dispatch: Dispatch,
    tickets: TicketIssuer,
    retry_budget: RetryBudget,
    demand: Demand,
    clock: Arc<dyn Clock>,
    fleet: watch::Receiver<Arc<Replica>>,
    waiting: HashMap<RequestId, WaitingRequest>,
    /// The address of each server, by name.
    addresses: HashMap<Name, Name>,
}

/// Starts the dispatcher task.
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
        tickets: TicketIssuer::new(settings.vm.clone(), incarnation, epoch_length, clock.now()),
        retry_budget: RetryBudget::new(RETRY_SHARE, RETRY_BURST),
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
                _ = self.fleet.changed() => self.on_fleet_change(),
                _ = tick.tick() => {
                    let actions = self.dispatch.tick(self.clock.now());
                    self.apply_actions(actions);
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
                    self.retry_budget.on_success();
                    self.demand.record_duration(rank, sample.total);
                }
                let actions = self.dispatch.finish(&server, &item, rank, &sample, now);
                self.apply_actions(actions);
            }
            Message::Suspend(server, time) => self.dispatch.suspend(&server, now + time),
            Message::TakeRetry(tx) => drop(tx.send(self.retry_budget.try_take())),
            Message::IssueTicket(tx) => drop(tx.send(self.tickets.issue(now))),
            Message::AdmitTicket(ticket, tx) => drop(tx.send(self.tickets.admit(&ticket, now))),
            Message::ReleaseTicket(ticket) => self.tickets.release(&ticket),
        }
    }

    fn on_submit(&mut self, req: Request, tx: oneshot::Sender<DispatchDecision>, now: Instant) {
        let table = self.fleet.borrow().table.clone();
        if let Some(row) = table.get(&req.item) {
            self.demand.record_arrival(row.base.as_ref().unwrap_or(&row.name), req.rank);
        }
        let (item, rank) = (req.item.clone(), req.rank);
        self.waiting.insert(req.id, WaitingRequest { item, rank, tx });
        let actions = self.dispatch.submit(req, now);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let (id, decision) = match action {
                Action::Start { id, server } => {
                    let address = self.addresses.get(&server).cloned().unwrap_or_default();
                    (id, DispatchDecision::Start(AssignedServer { name: server, address }))
                }
                Action::Refuse { id, cause, retry_after } => {
                    (id, DispatchDecision::Refuse(cause, retry_after))
                }
            };
            let Some(WaitingRequest { item, rank, tx }) = self.waiting.remove(&id) else {
                continue;
            };
            if let Err(DispatchDecision::Start(server)) = tx.send(decision) {
                // The caller disconnected before the decision arrived: free the slot again.
                let now = self.clock.now();
                let sample = Sample::abandoned();
                actions.extend(self.dispatch.finish(&server.name, &item, rank, &sample, now));
            }
        }
    }

    fn on_fleet_change(&mut self) {
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
    let is_marked_out = marks.iter().any(|mark| replica.mark(mark).is_some());
    let (name, region) = (vm.name.clone(), vm.region.clone());
    ServerInfo { name, region, loaded, leaving: vm.leaving || is_marked_out }
}
