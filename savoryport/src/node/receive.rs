//! Receives a caller's request and matches it to a route.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{EXPECT, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request};
use savoryport_adapter::callers::{
    content_headers, decode_request_head, key_of, request_key, set_team, strip_headers,
};
use savoryport_core::node::admission::retry_after;
use savoryport_core::node::deployment::{Deployment, Route};
use savoryport_core::node::request_quarantine::{RequestIdentity, hash_caller, hash_content};
use savoryport_core::node::team::Team;

use super::config_age::confirms_keys;
use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::relay::RelayMark;
use super::request_body::Unread;
use super::response::{Refusal, RefusalCause};
use super::stream_origins::stream_of;
use super::team_quota::QuotaCharge;

impl ProxyRequest {
    /// Reads the complete request. A request that no server could serve is refused here.
    pub(super) async fn receive(
        cx: Arc<NodeContext>,
        caller: IpAddr,
        req: Request<Incoming>,
        arrived_at: Instant,
    ) -> Result<Self, Refusal> {
        refuse_if_stopping(&cx)?;
        // Asked before the configuration is read: were the order reversed, a newer one could be put
        // in force and confirmed in between, and the keys of the older one would be accepted.
        let confirms_keys = confirms_keys(&cx);
        let view = cx.fleet.view();
        let retry_after = Duration::from_millis(cx.settings.store_poll_ms);
        let deployment = view
            .deployment()
            .cloned()
            .ok_or(Refusal::with_retry_after(RefusalCause::NoConfig, retry_after))?;
        let (mut parts, mut body) = req.into_parts();
        let relay = RelayMark::take(&mut parts.headers, caller, &view.members);
        let caller = relay.map_or(caller, |relay| relay.caller);
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let mut route = find_route(&deployment, host, parts.uri.path())?.clone();
        let team = match find_team(&deployment, &route, &parts.headers, confirms_keys) {
            Ok(team) => team,
            Err(cause) => {
                discard_body(body).await;
                return Err(refuse_key(&cx, cause));
            }
        };
        if let Some(rank) = team.as_ref().and_then(|team| team.rank) {
            route.rank = rank;
        }
        let head = decode_request_head(&parts.headers).map_err(|err| {
            log::debug!(err:% = err; "request headers refused");
            Refusal::new(RefusalCause::BadHead)
        })?;
        let service = route.choose_service(cx.random_u64()).cloned();
        let service = service.ok_or(Refusal::new(RefusalCause::NoRoute))?;
        let timeout = head.deadline.unwrap_or(route.timeout);
        let deadline = arrived_at + timeout.min(route.timeout);
        let time_left = cx.time_until(deadline);
        let read = read_body(&cx, &mut body, caller, &deployment, time_left).await;
        refuse_if_stopping(&cx)?;
        let body = match read {
            Ok(read) => read,
            Err(refusal) => {
                if refusal.cause != RefusalCause::BodyMissing && !parts.headers.contains_key(EXPECT)
                {
                    skip_body(body, deployment.limits.max_body_bytes).await;
                }
                return Err(refusal);
            }
        };
        let stream = stream_of(&head, team.as_ref().map(|team| &*team.name));
        let quota_charge = match &team {
            Some(team) => {
                Some(QuotaCharge::take(&cx, &deployment, team, head.generation.as_ref())?)
            }
            None => None,
        };
        let identity = identify(caller, &parts, &body);
        let mut headers = parts.headers;
        strip_headers(&mut headers);
        let key = key_of(&headers).filter(|_| deployment.teams.is_some());
        if deployment.teams.is_some() {
            set_team(&mut headers, team.as_deref());
        }
        let prefix_keys =
            head.generation.as_ref().map(|generation| generation.prefix_keys()).unwrap_or_default();
        let path_and_query =
            parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        Ok(Self {
            cx,
            deployment,
            route,
            service,
            head,
            stream,
            software: None,
            identity,
            caller,
            relay,
            key,
            quota_charge,
            prefix_keys,
            arrived_at,
            queued_since: arrived_at,
            last_chunk_at: None,
            longest_gap: Duration::ZERO,
            deadline,
            method: parts.method,
            path_and_query,
            headers,
            body,
            attempted_servers: Vec::new(),
            excluded_servers: Vec::new(),
            unreachable_count: 0,
            is_answered: false,
            is_suspect: false,
            may_have_run: false,
            failure_response: None,
            last_server: None,
            expected_latency: Duration::ZERO,
            time_to_first_token: None,
            time_to_first_event: None,
        })
    }
}

/// Refuses a request that is not complete by the time from which the stopping node takes none.
pub(super) fn refuse_if_stopping(cx: &NodeContext) -> Result<(), Refusal> {
    match cx.stop_plan.get() {
        Some(plan) if !plan.accepts(cx.now()) => Err(Refusal::stopping(cx.random_unit())),
        _ => Ok(()),
    }
}

pub(super) fn find_route<'a>(
    deployment: &'a Deployment,
    host: &str,
    path: &str,
) -> Result<&'a Route, Refusal> {
    let host_name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    deployment
        .route(host, path)
        .or_else(|| deployment.route(host_name, path))
        .ok_or(Refusal::new(RefusalCause::NoRoute))
}

/// Returns the team whose key a request names; none where the operators configure no teams.
fn find_team(
    deployment: &Deployment,
    route: &Route,
    headers: &HeaderMap,
    confirms_keys: bool,
) -> Result<Option<Arc<Team>>, RefusalCause> {
    let Some(teams) = &deployment.teams else { return Ok(None) };
    if !confirms_keys {
        return if route.is_public { Ok(None) } else { Err(RefusalCause::KeysUnconfirmed) };
    }
    match request_key(headers).and_then(|key| teams.team_of(key)) {
        Some(team) => Ok(Some(team.clone())),
        None if route.is_public => Ok(None),
        None => Err(RefusalCause::UnknownKey),
    }
}

fn refuse_key(cx: &NodeContext, cause: RefusalCause) -> Refusal {
    if cause != RefusalCause::KeysUnconfirmed {
        return Refusal::new(cause);
    }
    let poll_interval = Duration::from_millis(cx.settings.store_poll_ms);
    Refusal::with_retry_after(cause, retry_after(poll_interval, cx.random_unit()))
}

/// Reads a short body that nobody needs, without keeping it. A connection that is closed with unread
/// bytes is reset, and the caller may lose the refusal.
async fn discard_body(mut body: Incoming) {
    /// Longer bodies, or those without a length, are not read.
    const MAX_BYTES: u64 = 64 * 1024;
    /// The time for the rest of the body to arrive.
    const TIMEOUT: Duration = Duration::from_millis(500);
    if body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_BYTES) {
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        let _ = tokio::time::timeout(TIMEOUT, rest).await;
    }
}

/// Returns what the attempts of one request have in common. A deadline or an attempt's id differs in
/// each of them.
fn identify(caller: IpAddr, head: &Parts, body: &[u8]) -> RequestIdentity {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let mut content = vec![head.method.as_str().as_bytes(), target.as_bytes(), body];
    content.extend(content_headers(&head.headers));
    let caller = match caller {
        IpAddr::V4(address) => hash_caller(&address.octets()),
        IpAddr::V6(address) => hash_caller(&address.octets()),
    };
    RequestIdentity { content: hash_content(&content), caller }
}

/// Drops the rest of a body that is refused, so that the caller gets the refusal: a connection that is
/// closed with unread bytes is reset.
async fn skip_body(mut body: Incoming, max_bytes: usize) {
    /// The time for the rest of the body to arrive.
    const TIMEOUT: Duration = Duration::from_millis(500);
    let skip = async {
        let mut skipped = 0;
        while skipped < max_bytes {
            match body.frame().await {
                Some(Ok(frame)) => skipped += frame.data_ref().map_or(0, Bytes::len),
                Some(Err(_)) | None => return,
            }
        }
    };
    let _ = tokio::time::timeout(TIMEOUT, skip).await;
}

async fn read_body(
    cx: &NodeContext,
    body: &mut Incoming,
    caller: IpAddr,
    deployment: &Deployment,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    /// The time after which memory may be free again.
    const RETRY_AFTER: Duration = Duration::from_millis(500);
    let no_memory =
        |cause| Refusal::with_retry_after(cause, retry_after(RETRY_AFTER, cx.random_unit()));
    let read = cx.caller_memory.read(body, caller, deployment.limits.max_body_bytes);
    match tokio::time::timeout(timeout, read).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(Unread::TooLong)) => Err(Refusal::new(RefusalCause::BodyTooLong)),
        Ok(Err(Unread::NoMemory)) => Err(no_memory(RefusalCause::NoMemory)),
        Ok(Err(Unread::GaveWay)) => Err(no_memory(RefusalCause::BodyStalled)),
        Ok(Err(Unread::Incomplete)) | Err(_) => Err(Refusal::new(RefusalCause::BodyMissing)),
    }
}
