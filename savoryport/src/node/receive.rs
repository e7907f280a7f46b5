//! Receives a caller's request and matches it to a route.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use savoryport_adapter::callers::{content_headers, decode_request_head, strip_headers};
use savoryport_core::node::deployment::{Deployment, Route};
use savoryport_core::node::request_quarantine::{RequestIdentity, hash_caller, hash_content};

use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::response::{Refusal, RefusalCause};

impl ProxyRequest {
    /// Reads the complete request. A request that no server could serve is refused here.
    pub(super) async fn receive(
        cx: Arc<NodeContext>,
        caller: IpAddr,
        req: Request<Incoming>,
        arrived_at: Instant,
    ) -> Result<Self, Refusal> {
        refuse_if_stopping(&cx)?;
        let view = cx.fleet.view();
        let retry_after = Duration::from_millis(cx.settings.store_poll_ms);
        let deployment = view
            .deployment()
            .cloned()
            .ok_or(Refusal::with_retry_after(RefusalCause::NoConfig, retry_after))?;
        let (parts, body) = req.into_parts();
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let route = find_route(&deployment, host, parts.uri.path())?.clone();
        let head = decode_request_head(&parts.headers).map_err(|err| {
            log::debug!(err:% = err; "request headers refused");
            Refusal::new(RefusalCause::BadHead)
        })?;
        let service = route.choose_service(cx.random_u64()).cloned();
        let service = service.ok_or(Refusal::new(RefusalCause::NoRoute))?;
        let timeout = head.deadline.unwrap_or(route.timeout);
        let deadline = arrived_at + timeout.min(route.timeout);
        let time_left = cx.time_until(deadline);
        let body = read_body(body, &deployment, time_left).await;
        refuse_if_stopping(&cx)?;
        let body = body?;
        let identity = identify(caller, &parts, &body);
        let mut headers = parts.headers;
        strip_headers(&mut headers);
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
            identity,
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
        })
    }
}

/// Refuses a request that is not complete by the time from which the stopping node takes none.
fn refuse_if_stopping(cx: &NodeContext) -> Result<(), Refusal> {
    match cx.stop_plan.get() {
        Some(plan) if !plan.accepts(cx.now()) => Err(Refusal::stopping(cx.random_unit())),
        _ => Ok(()),
    }
}

fn find_route<'a>(
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

async fn read_body(
    body: Incoming,
    deployment: &Deployment,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, deployment.limits.max_body_bytes);
    match tokio::time::timeout(timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            Err(Refusal::new(RefusalCause::BodyTooLong))
        }
        Ok(Err(_)) | Err(_) => Err(Refusal::new(RefusalCause::BodyMissing)),
    }
}
