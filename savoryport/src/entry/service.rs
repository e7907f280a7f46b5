//! Plain services, some of whose calls may not be repeated.

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
use super::answer::{Answer, OUTCOME_HEADER, Refusal, whole};
use super::claim::Claim;
use super::dispatcher::{InFlight, Verdict};
use super::retry::may_retry;
use super::server::{CallerRequest, RequestToken};
use crate::metrics::{EntryMetrics, OutcomeLabels};

/// The header with the ticket that the address answer gave.
const TICKET_HEADER: &str = "x-savoryport-ticket";

/// The header with the caller's own key, for callers without a ticket.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// The header by which an entry passes a request on to the ticket's home.
const FORWARDED_HEADER: &str = "x-savoryport-forwarded";

/// The longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// The cause of a retry, and of a refusal once there are no more.
const FAILED: &str = "service-failed";

/// When a caller may come back after no server could be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// By what a repeated request is known.
#[derive(Debug, Clone)]
enum Identity {
    Ticket(Ticket),
    Key(String),
    None,
}

struct Call {
    cx: Arc<Context>,
    req: CallerRequest,
    row: Row,
    request_id: String,
    identity: Identity,
    attempt: RequestLifecycle,
    arrived: Instant,
    avoid: SmallVec<[Name; 2]>,
    servers_tried: u32,
}

/// Answers `/services/NAME/...`.
pub(super) async fn answer(
    cx: &Arc<Context>,
    req: CallerRequest,
    token: RequestToken,
) -> Result<Answer, Refusal> {
    let row = find_row(cx, &req)?;
    let identity = identity(&req)?;
    let request_id = match admit(cx, &req, &row, &identity).await? {
        Admitted::Start(id) => id,
        Admitted::Elsewhere(home) => return forward(cx, &req, &home).await,
    };
    let call = Call {
        cx: cx.clone(),
        attempt: RequestLifecycle::new(row.repeatable),
        arrived: cx.clock.now(),
        row,
        req,
        request_id,
        identity,
        avoid: SmallVec::new(),
        servers_tried: 0,
    };
    // A caller that leaves must not stop a call half-way: it runs on as a task of its own.
    let running = tokio::spawn(async move {
        let answer = call.run().await;
        drop(token);
        answer
    });
    running.await.unwrap_or_else(|_| Err(Refusal::unknown("internal")))
}

enum Admitted {
    /// The call starts here, under this request id.
    Start(String),
    /// The ticket's home is another entry, at this address.
    Elsewhere(Name),
}

fn find_row(cx: &Context, req: &CallerRequest) -> Result<Row, Refusal> {
    let name = req.path.split('/').nth(2).unwrap_or_default();
    let table = cx.fleet.borrow().table.clone();
    let row = table.get(name).filter(|row| row.kind == RowKind::Service);
    row.cloned().ok_or_else(|| {
        let message = format!("no service {name:?}");
        Refusal::bad(StatusCode::NOT_FOUND, "unknown-service", message)
    })
}

fn identity(req: &CallerRequest) -> Result<Identity, Refusal> {
    let bad = |message: String| Refusal::bad(StatusCode::BAD_REQUEST, "malformed", message);
    if let Some(text) = req.header(TICKET_HEADER) {
        let ticket = text.parse().map_err(|err| bad(format!("{TICKET_HEADER}: {err}")))?;
        return Ok(Identity::Ticket(ticket));
    }
    let Some(key) = req.header(IDEMPOTENCY_HEADER) else { return Ok(Identity::None) };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(bad(format!("{IDEMPOTENCY_HEADER}: use 1 to {MAX_KEY_BYTES} bytes")));
    }
    Ok(Identity::Key(key.to_owned()))
}

async fn admit(
    cx: &Context,
    req: &CallerRequest,
    row: &Row,
    identity: &Identity,
) -> Result<Admitted, Refusal> {
    match identity {
        Identity::Ticket(ticket) => admit_ticket(cx, req, ticket).await,
        Identity::Key(key) => admit_key(cx, req, row, key).await,
        Identity::None if row.repeatable => Ok(Admitted::Start(fresh_id(cx))),
        Identity::None => {
            let message = format!(
                "{} may not be repeated: give {TICKET_HEADER} (from /v1/entry?item={}) or \
                 {IDEMPOTENCY_HEADER}",
                row.name, row.name
            );
            let status = StatusCode::PRECONDITION_REQUIRED;
            Err(Refusal::bad(status, "identity-required", message))
        }
    }
}

async fn admit_ticket(
    cx: &Context,
    req: &CallerRequest,
    ticket: &Ticket,
) -> Result<Admitted, Refusal> {
    match cx.dispatcher.admit_ticket(ticket.clone()).await {
        TicketAdmission::Start => Ok(Admitted::Start(ticket.to_string())),
        TicketAdmission::AlreadyStarted => Err(already_started("already-started")),
        TicketAdmission::TooOld => Err(already_started("ticket-too-old")),
        TicketAdmission::Full => Err(Refusal::later("too-many-tickets", RETRY_AFTER)),
        TicketAdmission::OtherHome => {
            let fleet = cx.fleet.borrow();
            let home =
                fleet.vms.get(&ticket.home).filter(|_| req.header(FORWARDED_HEADER).is_none());
            // A home that is gone took with it the knowledge of what it started.
            home.map(|vm| Admitted::Elsewhere(vm.address.clone()))
                .ok_or_else(|| already_started("ticket-home-gone"))
        }
    }
}

async fn admit_key(
    cx: &Context,
    req: &CallerRequest,
    row: &Row,
    key: &str,
) -> Result<Admitted, Refusal> {
    let id = claim_id(req, row, key);
    if row.repeatable {
        return Ok(Admitted::Start(id));
    }
    let owner = format!("{}~{}", cx.settings.vm, cx.incarnation);
    match cx.claims.claim(cx.kv.clone(), &id, &owner).await {
        Claim::Won => Ok(Admitted::Start(id)),
        Claim::Taken => Err(already_started("already-started")),
        Claim::NoAnswer => Err(Refusal::later("no-claim", RETRY_AFTER)),
    }
}

fn claim_id(req: &CallerRequest, row: &Row, key: &str) -> String {
    format!("{}/{}/{key}", row.name, req.caller)
}

fn fresh_id(cx: &Context) -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{}-{}-{number}", cx.settings.vm, cx.incarnation)
}

fn already_started(cause: &'static str) -> Refusal {
    Refusal { status: StatusCode::CONFLICT, ..Refusal::unknown(cause) }
}

impl Call {
    async fn run(mut self) -> Result<Answer, Refusal> {
        loop {
            let mut in_flight = self.queue().await?;
            let handed_at = self.cx.clock.now();
            match self.call_once(&in_flight).await {
                Some(answer) => {
                    in_flight.sample.end = RequestEnd::Completed;
                    in_flight.sample.total = self.cx.clock.now() - handed_at;
                    self.note_end(Outcome::Done);
                    return Ok(answer);
                }
                None => {
                    in_flight.sample.end = RequestEnd::Failed;
                    self.may_go_on(&in_flight).await?;
                }
            }
        }
    }

    async fn queue(&mut self) -> Result<InFlight, Refusal> {
        let target = Duration::from_millis(self.row.first_token_ms.into());
        let req = Request {
            id: NEXT_ID.fetch_add(1, Ordering::Relaxed) | SERVICE_ID_BIT,
            item: self.row.name.clone(),
            rank: self.row.rank,
            deadline: self.arrived + target,
            prompt_tokens: 0,
            prefix_hash: prefix_hash(&self.row.name, &self.request_id),
            failed_servers: self.avoid.clone(),
            max_in_flight: self.row.max_in_flight,
        };
        let targets = Sample::in_progress(0, Duration::MAX);
        match self.cx.dispatcher.submit(req, targets).await {
            Ok(in_flight) => {
                self.fire(RequestEvent::Start);
                Ok(in_flight)
            }
            Err(Verdict::Refuse(cause, retry_after)) => {
                Err(self.give_up(cause.name(), retry_after))
            }
            Err(Verdict::Start(_)) => unreachable!("a start is no refusal"),
        }
    }

    /// Sends the call to one server; `None` where no answer came.
    async fn call_once(&mut self, in_flight: &InFlight) -> Option<Answer> {
        let cx = self.cx.clone();
        let slot = &in_flight.slot;
        self.servers_tried += 1;
        let timeout = Duration::from_millis(cx.settings.connect_timeout_ms);
        let connecting = cx.pool.connect(&slot.address, self.row.repeatable, timeout);
        let Ok(mut connection) = connecting.await else {
            self.fire(RequestEvent::ConnectFailed);
            cx.dispatcher.suspend(&slot.server);
            return None;
        };
        self.fire(RequestEvent::Connected);
        let timeout = Duration::from_millis(cx.settings.service_timeout_ms);
        let exchange = async {
            let answer = connection.send(self.service_request(&slot.address)).await.ok()?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, cx.settings.max_answer_bytes).collect().await.ok()?;
            Some((head, body.to_bytes()))
        };
        let Some((head, body)) = tokio::time::timeout(timeout, exchange).await.ok().flatten()
        else {
            self.fire(RequestEvent::Broken);
            return None;
        };
        if head.headers.contains_key(DRAINING_HEADER) {
            self.fire(RequestEvent::Rejected);
            cx.dispatcher.suspend_draining(&slot.server);
            return None;
        }
        self.fire(RequestEvent::Finished);
        cx.pool.give_back(connection);
        Some(pass_on(&Response::from_parts(head, ()), body))
    }

    fn service_request(&self, address: &Name) -> hyper::Request<Full<Bytes>> {
        let mut builder = hyper::Request::builder()
            .method(self.req.method.clone())
            .uri(&self.req.path)
            .header(HOST, &**address)
            .header(REQUEST_ID_HEADER, &self.request_id);
        if let Some(kind) = self.req.headers.get(CONTENT_TYPE) {
            builder = builder.header(CONTENT_TYPE, kind);
        }
        builder.body(Full::new(self.req.body.clone())).expect("checked headers")
    }

    async fn may_go_on(&mut self, failed: &InFlight) -> Result<(), Refusal> {
        self.avoid.push(failed.slot.server.clone());
        let (attempt, item) = (&self.attempt, &self.row.name);
        if may_retry(&self.cx, attempt, item, self.servers_tried, FAILED).await {
            return Ok(());
        }
        Err(self.give_up(FAILED, RETRY_AFTER))
    }

    /// Ends the call; one that certainly did not run may be sent again under the same identity.
    fn give_up(&mut self, cause: &'static str, retry_after: Duration) -> Refusal {
        self.fire(RequestEvent::GiveUp);
        let outcome = self.attempt.outcome().unwrap_or(Outcome::Unknown);
        self.note_end(outcome);
        if outcome != Outcome::NotRun {
            return Refusal::unknown(cause);
        }
        match &self.identity {
            Identity::Ticket(ticket) => self.cx.dispatcher.give_back_ticket(ticket),
            Identity::Key(key) => {
                self.cx.claims.abandon(&claim_id(&self.req, &self.row, key));
            }
            Identity::None => {}
        }
        Refusal::later(cause, retry_after)
    }

    fn note_end(&self, outcome: Outcome) {
        let metrics = &self.cx.metrics;
        let rank = self.row.rank;
        let labels = OutcomeLabels { rank: rank.name(), outcome: outcome.name() };
        metrics.requests.get_or_create(&labels).inc();
        let labels = EntryMetrics::request_labels(&self.req.caller, rank);
        let time = self.cx.clock.now().saturating_duration_since(self.arrived);
        metrics.duration.get_or_create(&labels).observe(time.as_secs_f64());
    }

    fn fire(&mut self, event: RequestEvent) {
        if let Err(err) = self.attempt.on_event(event) {
            log::error!(err:%; "call left its chart");
        }
    }
}

/// Keeps the ids of services apart from those of completions.
const SERVICE_ID_BIT: u64 = 1 << 63;

fn pass_on(head: &Response<()>, body: Bytes) -> Answer {
    let mut builder =
        Response::builder().status(head.status()).header(OUTCOME_HEADER, Outcome::Done.name());
    if let Some(kind) = head.headers().get(CONTENT_TYPE) {
        builder = builder.header(CONTENT_TYPE, kind);
    }
    builder.body(whole(body)).expect("checked headers")
}

/// Passes a request on to the home of its ticket, which alone may start it.
async fn forward(cx: &Context, req: &CallerRequest, home: &Name) -> Result<Answer, Refusal> {
    let timeout = Duration::from_millis(cx.settings.connect_timeout_ms);
    let Ok(mut connection) = cx.pool.connect(home, false, timeout).await else {
        return Err(already_started("ticket-home-unreachable"));
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
    let forwarded = builder.body(Full::new(req.body.clone())).expect("checked headers");
    let patience = Duration::from_millis(cx.settings.service_timeout_ms) + RETRY_AFTER;
    let exchange = async {
        let answer: Response<Incoming> = connection.send(forwarded).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, cx.settings.max_answer_bytes).collect().await.ok()?;
        Some(Response::from_parts(head, whole(body.to_bytes())))
    };
    match tokio::time::timeout(patience, exchange).await {
        Ok(Some(answer)) => Ok(answer),
        _ => Err(already_started("ticket-home-silent")),
    }
}
