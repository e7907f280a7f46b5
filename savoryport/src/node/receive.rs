//! Reads a caller's request and finds its route.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use savoryport_adapter::callers::{request_head, strip_headers};
use savoryport_core::node::deployment::{Deployment, Route};

use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::response::{Refusal, RefusalCause};

impl ProxyRequest {
    /// Reads a whole request; what cannot be served by any server is refused here.
    pub(super) async fn begin(
        cx: Arc<NodeContext>,
        req: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Self, Refusal> {
        let view = cx.fleet.view();
        let wait = Duration::from_millis(cx.settings.store_poll_ms);
        let deployment = view
            .deployment()
            .cloned()
            .ok_or(Refusal::with_retry_after(RefusalCause::NoConfig, wait))?;
        let (parts, body) = req.into_parts();
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let route = find_route(&deployment, host, parts.uri.path())?.clone();
        let head = request_head(&parts.headers).map_err(|err| {
            log::debug!(err:% = err; "head refused");
            Refusal::new(RefusalCause::BadHead)
        })?;
        let service = route.choose_service(cx.random_u64()).cloned();
        let service = service.ok_or(Refusal::new(RefusalCause::NoRoute))?;
        let deadline = head.deadline.unwrap_or(route.timeout);
        let ends = arrived + deadline.min(route.timeout);
        let body = read_body(body, &deployment, ends.saturating_duration_since(cx.now())).await?;
        let mut headers = parts.headers;
        strip_headers(&mut headers);
        let keys = head.generation.as_ref().map(|asked| asked.prefix_keys()).unwrap_or_default();
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        Ok(Self {
            cx,
            deployment,
            route,
            service,
            head,
            keys,
            arrived,
            queued_since: arrived,
            last_piece: None,
            longest_gap: Duration::ZERO,
            ends,
            method: parts.method,
            target,
            headers,
            body,
            tried: Vec::new(),
            avoided: Vec::new(),
            unreachable: 0,
            in_doubt: false,
            failure: None,
            last_server: None,
            expected: Duration::ZERO,
            first_token: None,
        })
    }
}

fn find_route<'a>(
    deployment: &'a Deployment,
    host: &str,
    path: &str,
) -> Result<&'a Route, Refusal> {
    let bare = host.rsplit_once(':').map_or(host, |(name, _)| name);
    deployment
        .route(host, path)
        .or_else(|| deployment.route(bare, path))
        .ok_or(Refusal::new(RefusalCause::NoRoute))
}

async fn read_body(
    body: Incoming,
    deployment: &Deployment,
    within: Duration,
) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, deployment.limits.body_bytes);
    match tokio::time::timeout(within, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            Err(Refusal::new(RefusalCause::BodyTooLong))
        }
        Ok(Err(_)) | Err(_) => Err(Refusal::new(RefusalCause::BodyMissing)),
    }
}
