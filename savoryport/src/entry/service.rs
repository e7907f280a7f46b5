//! Handles calls to plain services, some of which must run at most once.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Response, StatusCode};
use savoryport_core::Name;
use savoryport_core::dispatch::{Request, RequestEnd, Sample};
use savoryport_core::hash::prefix_hash;
use savoryport_core::request_lifecycle::{Outcome, RequestEvent, RequestLifecycle};
use savoryport_core::table::{Row, RowKind};
use savoryport_core::ticket::{Ticket, TicketAdmission};
use savoryport_platform::wire::{DRAINING_HEADER, REQUEST_ID_HEADER};
use smallvec::SmallVec;

use super::Context;
use super::claim::ClaimResult;
use super::dispatcher::{DispatchDecision, InFlight};
use super::response::{CallerResponse, OUTCOME_HEADER, Refusal, full_body};
use super::retry::acquire_retry;
use super::server::{CallerRequest, RequestToken};
use crate::metrics::{EntryMetrics, OutcomeLabels};

/// The request header with a ticket, which callers obtain from `/v1/entry`.
const TICKET_HEADER: &str = "x-savoryport-ticket";

/// The request header with an idempotency key of the caller's choice, for callers without a ticket.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// The request header with the VM of the entry that forwarded the request to the ticket's home: the
/// entry that issued the ticket.
const FORWARDED_HEADER: &str = "x-savoryport-forwarded";

/// The maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// The cause that is reported for retries, and for the refusal if no further retry is allowed.
const SERVICE_FAILED: &str = "service-failed";

/// The delay after which a caller may retry a call that did not run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The identity by which a repetition of a request is recognized.
#[derive(Debug, Clone)]
enum Identity {
    Ticket(Ticket),
    Key(String),
    None,
}

/// A call to a service in progress.
struct Call {
    cx: Arc<Context>,
    req: CallerRequest,
    row: Row,
    request_id: String,
    identity: Identity,
    lifecycle: RequestLifecycle,
    arrived_at: Instant,
    failed_servers: SmallVec<[Name; 2]>,
    servers_tried: u32,
}

/// Handles a call to `/services/NAME/...`.
pub(super) async fn handle(
    cx: &Arc<Context>,
    req: CallerRequest,
    token: RequestToken,
) -> Result<CallerResponse, Refusal> {
    let row = find_row(cx, &req)?;
    let identity = parse_identity(&req)?;
    let request_id = match admit(cx, &req, &row, &identity).await? {
        CallAdmission::Start(id) => id,
        CallAdmission::Forward(home) => return forward_to_home(cx, &req, &home).await,
    };
    let call = Call {
        cx: cx.clone(),
        lifecycle: RequestLifecycle::new(row.repeatable),
        arrived_at: cx.clock.now(),
        row,
        req,
        request_id,
        identity,
        failed_servers: SmallVec::new(),
        servers_tried: 0,
    };
    // The call runs in its own task, so that it is not cancelled halfway if the caller disconnects.
    let running = tokio::spawn(async move {
        let response = call.run().await;
        drop(token);
        response
    });
    running.await.unwrap_or_else(|_| Err(Refusal::outcome_unknown("internal")))
}

/// Which entry runs a call.
enum CallAdmission {
    /// This entry runs the call, under this request id.
    Start(String),
    /// The entry at this address issued the ticket and has to run the call.
    Forward(Name),
}

fn find_row(cx: &Context, req: &CallerRequest) -> Result<Row, Refusal> {
    let name = req.path.split('/').nth(2).unwrap_or_default();
    let table = cx.fleet.borrow().table.clone();
    let row = table.get(name).filter(|row| row.kind == RowKind::Service);
    let row = row.map(|row| Row { rank: req.team_rank.unwrap_or(row.rank), ..row.clone() });
    row.ok_or_else(|| {
        let message = format!("no service {name:?}");
        Refusal::invalid(StatusCode::NOT_FOUND, "unknown-service", message)
    })
}

fn parse_identity(req: &CallerRequest) -> Result<Identity, Refusal> {
    let malformed =
        |message: String| Refusal::invalid(StatusCode::BAD_REQUEST, "malformed", message);
    if let Some(text) = req.header(TICKET_HEADER) {
        let ticket = text.parse().map_err(|err| malformed(format!("{TICKET_HEADER}: {err}")))?;
        return Ok(Identity::Ticket(ticket));
    }
    let Some(key) = req.header(IDEMPOTENCY_HEADER) else { return Ok(Identity::None) };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(malformed(format!("{IDEMPOTENCY_HEADER}: use 1 to {MAX_KEY_BYTES} bytes")));
    }
    Ok(Identity::Key(key.to_owned()))
}

async fn admit(
    cx: &Context,
    req: &CallerRequest,
    row: &Row,
    identity: &Identity,
) -> Result<CallAdmission, Refusal> {
    match identity {
        Identity::Ticket(ticket) => admit_ticket(cx, req, ticket).await,
        Identity::Key(key) => admit_key(cx, req, row, key).await,
        Identity::None if row.repeatable => Ok(CallAdmission::Start(new_request_id(cx))),
        Identity::None => {
            let message = format!(
                "{} may not be repeated: give {TICKET_HEADER} (from /v1/entry?item={}) or \
                 {IDEMPOTENCY_HEADER}",
                row.name, row.name
            );
            let status = StatusCode::PRECONDITION_REQUIRED;
            Err(Refusal::invalid(status, "identity-required", message))
        }
    }
}

async fn admit_ticket(
    cx: &Context,
    req: &CallerRequest,
    ticket: &Ticket,
) -> Result<CallAdmission, Refusal> {
    match cx.dispatcher.admit_ticket(ticket.clone()).await {
        TicketAdmission::Start => Ok(CallAdmission::Start(ticket.to_string())),
        TicketAdmission::AlreadyStarted => Err(conflict("already-started")),
        TicketAdmission::TooOld => Err(conflict("ticket-too-old")),
        TicketAdmission::Full => Err(Refusal::retry_later("too-many-tickets", RETRY_AFTER)),
        TicketAdmission::OtherHome => {
            let fleet = cx.fleet.borrow();
            let home =
                fleet.vms.get(&ticket.home).filter(|_| req.header(FORWARDED_HEADER).is_none());
            // If the home no longer exists, nobody knows whether the request was started.
            home.map(|vm| CallAdmission::Forward(vm.address.clone()))
                .ok_or_else(|| conflict("ticket-home-gone"))
        }
    }
}

async fn admit_key(
    cx: &Context,
    req: &CallerRequest,
    row: &Row,
    key: &str,
) -> Result<CallAdmission, Refusal> {
    let id = claim_id(req, row, key);
    if row.repeatable {
        return Ok(CallAdmission::Start(id));
    }
    let owner = format!("{}~{}", cx.settings.vm, cx.incarnation);
    match cx.claims.claim(cx.kv.clone(), &id, &owner).await {
        ClaimResult::Acquired => Ok(CallAdmission::Start(id)),
        ClaimResult::AlreadyClaimed => Err(conflict("already-started")),
        ClaimResult::Unavailable => Err(Refusal::retry_later("no-claim", RETRY_AFTER)),
    }
}

/// Returns the id under which a request with an idempotency key is claimed and sent.
fn claim_id(req: &CallerRequest, row: &Row, key: &str) -> String {
    format!("{}/{}/{key}", row.name, req.caller)
}

fn new_request_id(cx: &Context) -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{}-{}-{number}", cx.settings.vm, cx.incarnation)
}

/// Creates the refusal of a request that may have been started before.
fn conflict(cause: &'static str) -> Refusal {
    Refusal { status: StatusCode::CONFLICT, ..Refusal::outcome_unknown(cause) }
}

impl Call {
    async fn run(mut self) -> Result<CallerResponse, Refusal> {
        loop {
            let mut in_flight = self.wait_for_server().await?;
            let sent_at = self.cx.clock.now();
            match self.call_once(&in_flight).await {
                Some(response) => {
                    in_flight.sample.end = RequestEnd::Completed;
                    in_flight.sample.total = self.cx.clock.now() - sent_at;
                    self.record_end(Outcome::Done);
                    return Ok(response);
                }
                None => {
                    in_flight.sample.end = RequestEnd::Failed;
                    self.check_retry(&in_flight).await?;
                }
            }
        }
    }

    /// Queues the call until the dispatcher assigns a server or refuses it.
    async fn wait_for_server(&mut self) -> Result<InFlight, Refusal> {
        let target = Duration::from_millis(self.row.first_token_ms.into());
        let req = Request {
            id: NEXT_ID.fetch_add(1, Ordering::Relaxed) | SERVICE_ID_BIT,
            item: self.row.name.clone(),
            rank: self.row.rank,
            deadline: self.arrived_at + target,
            prompt_tokens: 0,
            prefix_hash: prefix_hash(&self.row.name, &self.request_id),
            failed_servers: self.failed_servers.clone(),
            max_in_flight: self.row.max_in_flight,
        };
        let sample = Sample::in_progress(0, Duration::MAX);
        match self.cx.dispatcher.submit(req, sample).await {
            Ok(in_flight) => {
                self.on_event(RequestEvent::Start);
                Ok(in_flight)
            }
            Err(DispatchDecision::Refuse(cause, retry_after)) => {
                Err(self.give_up(cause.name(), retry_after))
            }
            Err(DispatchDecision::Start(_)) => unreachable!("submit returns a start as Ok"),
        }
    }

    /// Sends the call to one server. Returns `None` if it did not respond or is draining.
    async fn call_once(&mut self, in_flight: &InFlight) -> Option<CallerResponse> {
        let cx = self.cx.clone();
        let server = &in_flight.server;
        self.servers_tried += 1;
        let timeout = Duration::from_millis(cx.settings.connect_timeout_ms);
        let connecting = cx.pool.connect(&server.address, self.row.repeatable, timeout);
        let Ok(mut connection) = connecting.await else {
            self.on_event(RequestEvent::ConnectFailed);
            cx.dispatcher.suspend(&server.name);
            return None;
        };
        self.on_event(RequestEvent::Connected);
        let timeout = Duration::from_millis(cx.settings.service_timeout_ms);
        let exchange = async {
            let response = connection.send(self.service_request(&server.address)).await.ok()?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, cx.settings.max_answer_bytes).collect().await.ok()?;
            Some((head, body.to_bytes()))
        };
        let Some((head, body)) = tokio::time::timeout(timeout, exchange).await.ok().flatten()
        else {
            self.on_event(RequestEvent::Broken);
            return None;
        };
        if head.headers.contains_key(DRAINING_HEADER) {
            self.on_event(RequestEvent::Rejected);
            cx.dispatcher.suspend_draining(&server.name);
            return None;
        }
        self.on_event(RequestEvent::Finished);
        cx.pool.release(connection);
        Some(response_to_caller(&Response::from_parts(head, ()), body))
    }

    fn service_request(&self, address: &Name) -> hyper::Request<Full<Bytes>> {
        let mut builder = hyper::Request::builder()
            .method(self.req.method.clone())
            .uri(&self.req.path)
            .header(HOST, &**address)
            .header(REQUEST_ID_HEADER, &self.request_id);
        if let Some(content_type) = self.req.headers.get(CONTENT_TYPE) {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        builder.body(Full::new(self.req.body.clone())).expect("the headers were parsed before")
    }

    /// Records the failed server and returns an error if the call must not be retried.
    async fn check_retry(&mut self, failed: &InFlight) -> Result<(), Refusal> {
        self.failed_servers.push(failed.server.name.clone());
        let (lifecycle, item) = (&self.lifecycle, &self.row.name);
        if acquire_retry(&self.cx, lifecycle, item, self.servers_tried, SERVICE_FAILED).await {
            return Ok(());
        }
        Err(self.give_up(SERVICE_FAILED, RETRY_AFTER))
    }

    /// Ends the call with a refusal. A call that certainly did not run may be sent again with the
    /// same ticket or key.
    fn give_up(&mut self, cause: &'static str, retry_after: Duration) -> Refusal {
        self.on_event(RequestEvent::GiveUp);
        let outcome = self.lifecycle.outcome().unwrap_or(Outcome::Unknown);
        self.record_end(outcome);
        if outcome != Outcome::NotRun {
            return Refusal::outcome_unknown(cause);
        }
        match &self.identity {
            Identity::Ticket(ticket) => self.cx.dispatcher.release_ticket(ticket),
            Identity::Key(key) => {
                self.cx.claims.abandon(&claim_id(&self.req, &self.row, key));
            }
            Identity::None => {}
        }
        Refusal::retry_later(cause, retry_after)
    }

    fn record_end(&self, outcome: Outcome) {
        let metrics = &self.cx.metrics;
        let rank = self.row.rank;
        let labels = OutcomeLabels { rank: rank.name(), outcome: outcome.name() };
        metrics.requests.get_or_create(&labels).inc();
        let labels = EntryMetrics::request_labels(&self.req.caller, rank);
        let time = self.cx.clock.now().saturating_duration_since(self.arrived_at);
        metrics.duration.get_or_create(&labels).observe(time.as_secs_f64());
    }

    fn on_event(&mut self, event: RequestEvent) {
        if let Err(err) = self.lifecycle.on_event(event) {
            log::error!(err:%; "event is not allowed in the current state of the call");
        }
    }
}

/// The bit that distinguishes the dispatcher's ids of service calls from those of completions.
const SERVICE_ID_BIT: u64 = 1 << 63;

fn response_to_caller(head: &Response<()>, body: Bytes) -> CallerResponse {
    let mut builder =
        Response::builder().status(head.status()).header(OUTCOME_HEADER, Outcome::Done.name());
    if let Some(content_type) = head.headers().get(CONTENT_TYPE) {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    builder.body(full_body(body)).expect("the headers were parsed before")
}

/// Forwards a request to the home of its ticket, the only entry that may start the request.
async fn forward_to_home(
    cx: &Context,
    req: &CallerRequest,
    home: &Name,
) -> Result<CallerResponse, Refusal> {
    let timeout = Duration::from_millis(cx.settings.connect_timeout_ms);
    let Ok(mut connection) = cx.pool.connect(home, false, timeout).await else {
        return Err(conflict("ticket-home-unreachable"));
    };
    let mut builder = hyper::Request::builder()
        .method(req.method.clone())
        .uri(&req.path)
        .header(HOST, &**home)
        .header(FORWARDED_HEADER, &*cx.settings.vm);
    for (name, value) in &req.headers {
        if *name != HOST && name != hyper::header::CONTENT_LENGTH {
            builder = builder.header(name, value);
        }
    }
    let forwarded =
        builder.body(Full::new(req.body.clone())).expect("the headers were parsed before");
    let response_timeout = Duration::from_millis(cx.settings.service_timeout_ms) + RETRY_AFTER;
    let exchange = async {
        let response: Response<Incoming> = connection.send(forwarded).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, cx.settings.max_answer_bytes).collect().await.ok()?;
        Some(Response::from_parts(head, full_body(body.to_bytes())))
    };
    match tokio::time::timeout(response_timeout, exchange).await {
        Ok(Some(response)) => Ok(response),
        _ => Err(conflict("ticket-home-silent")),
    }
}
