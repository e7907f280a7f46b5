//! Passes a request on to another node while this one reaches no server.
//!
//! The other node takes it like a request of the caller: it checks the key, charges the quota, and
//! decides on quarantines, permits, retries and the software version. There is one hop at most.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use savoryport_adapter::callers::set_key;
use savoryport_adapter::servers::{promises_not_run, set_deadline, strip_connection_headers};
use savoryport_core::Name;
use savoryport_core::node::admission::retry_after;
use savoryport_platform::connection::{Connection, SendError};

use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::response::{Body, IncompleteResponse, Refusal, RefusalCause, forward_response};
use super::view::Member;

/// Marks a request that another node passes on: the IP address of its caller, and the number of servers
/// that it was sent to before.
static RELAYED_FOR: HeaderName = HeaderName::from_static("savoryport-relayed-for");

/// Set on the refusal of such a request by a node that is cut off too.
static CUT_OFF: HeaderName = HeaderName::from_static("savoryport-cut-off");

/// The number of nodes that a request is sent to in turn.
const MAX_NODES: usize = 3;

/// The time after which a caller may retry whose request no node could take.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What the node says that passed a request on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayMark {
    /// The IP address of the caller.
    pub caller: IpAddr,
    /// The number of servers that the request was sent to before.
    pub attempts: u32,
    /// Whether the sender is known to be a node.
    pub is_from_node: bool,
}

/// What the answer of another node means for the request.
enum RelayResult {
    Answered(Response<Body>),
    /// The node did not take the request.
    NotRun,
    /// The request may have run.
    Broken,
}

impl RelayMark {
    /// Takes the mark of another node off a request; returns `None` if there is none.
    ///
    /// A sender that is not known may be a node: one that has just started, or whose connections come from
    /// another address than the one at which it listens. So the number of servers counts all the same. But
    /// it may be a stranger too, which could hide its address, or use up the budget for retries: its
    /// request counts as its own, and as a new one.
    pub fn take(headers: &mut HeaderMap, sender: IpAddr, members: &[Member]) -> Option<Self> {
        let value = headers.remove(&RELAYED_FOR)?;
        let is_from_node = members.iter().any(|member| member.callers.ip() == sender);
        let parts = value.to_str().ok().and_then(|value| value.split_once(' '));
        let named = parts.and_then(|(caller, attempts)| {
            Some((caller.parse::<IpAddr>().ok()?, attempts.parse().ok()?))
        });
        let (named_caller, attempts) = named.unwrap_or((sender, 0));
        let caller = if is_from_node { named_caller } else { sender };
        Some(Self { caller, attempts, is_from_node })
    }

    /// Returns whether the request is a retry for the service.
    pub fn is_retry(&self) -> bool {
        self.is_from_node && self.attempts > 0
    }
}

/// Marks the refusal of a request that another node passed on in vain.
pub(super) fn mark_refusal(headers: &mut HeaderMap) {
    headers.insert(&CUT_OFF, HeaderValue::from_static("1"));
}

impl ProxyRequest {
    /// Returns whether this node reaches no server, and the request may still be sent elsewhere.
    pub(super) fn must_go_elsewhere(&self) -> bool {
        let may_run = !self.may_have_run
            || self.route.kind.is_repeatable() && self.attempts() < self.route.max_attempts;
        may_run && !self.is_suspect && self.cx.server_link.is_cut()
    }

    /// Passes the request on to another node. If another node passed it on to this one, it is refused.
    pub(super) async fn run_elsewhere(mut self) -> Response<Body> {
        if self.relay.is_some() {
            return self.refuse_as_cut_off();
        }
        // What the request uses of its team's quota counts where it runs.
        self.set_charged(false);
        for node in other_nodes(&self.cx) {
            match self.send_to_node(&node).await {
                RelayResult::Answered(response) => {
                    self.cx.metrics.relayed_requests.inc();
                    self.last_server = Some(node.vm);
                    self.log_end("relayed", response.status().as_u16(), None);
                    return response;
                }
                RelayResult::NotRun if self.remaining_time().is_zero() => break,
                RelayResult::NotRun => {}
                // That node may have sent it to as many servers as the route allows.
                RelayResult::Broken => {
                    self.may_have_run = true;
                    break;
                }
            }
        }
        self.refuse_as_cut_off()
    }

    fn refuse_as_cut_off(self) -> Response<Body> {
        let cause = match self.may_have_run {
            true => RefusalCause::Broken,
            false => RefusalCause::CutOff,
        };
        let wait = retry_after(RETRY_AFTER, self.cx.random_unit());
        self.finish_with_refusal(Refusal::with_retry_after(cause, wait))
    }

    async fn send_to_node(&self, node: &Member) -> RelayResult {
        let address: Name = node.callers.to_string().into();
        let timeout =
            Duration::from_millis(self.cx.settings.connect_timeout_ms).min(self.remaining_time());
        let pool = &self.cx.request_pool;
        let mut connection =
            match pool.connect_with_max_idle(&address, self.max_idle(), timeout).await {
                Ok(connection) => connection,
                Err(err) => {
                    log::info!(request = &*self.head.id, err:% = err; "node unreachable");
                    return RelayResult::NotRun;
                }
            };
        let sent = connection.send(self.relayed_request());
        match tokio::time::timeout(self.remaining_time(), sent).await {
            Ok(Ok(response)) => self.receive_from_node(connection, response).await,
            Ok(Err(SendError::NotConnected { .. })) => RelayResult::NotRun,
            Ok(Err(SendError::Broken { .. })) | Err(_) => RelayResult::Broken,
        }
    }

    fn relayed_request(&self) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        if let Ok(uri) = self.path_and_query.parse() {
            *req.uri_mut() = uri;
        }
        let headers = req.headers_mut();
        headers.clone_from(&self.headers);
        if !self.body.is_empty() || self.headers.contains_key(CONTENT_LENGTH) {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        if let Some(key) = &self.key {
            set_key(headers, key.clone());
        }
        set_deadline(headers, self.remaining_time());
        if let Ok(mark) = HeaderValue::from_str(&format!("{} {}", self.caller, self.attempts())) {
            headers.insert(&RELAYED_FOR, mark);
        }
        req
    }

    async fn receive_from_node(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> RelayResult {
        let (mut parts, body) = response.into_parts();
        if parts.headers.contains_key(&CUT_OFF) {
            return RelayResult::NotRun;
        }
        // The other node does not know of what this one has sent.
        if self.may_have_run && promises_not_run(parts.status) {
            return RelayResult::Broken;
        }
        strip_connection_headers(&mut parts.headers);
        if self.route.kind.is_stream() && parts.status.is_success() {
            parts.headers.remove(CONTENT_LENGTH);
            let body = body.map_err(|_| IncompleteResponse).map_frame(move |frame| {
                // The connection is closed with the body, by which the other node learns that the
                // caller has left.
                let _ = &connection;
                frame
            });
            return RelayResult::Answered(Response::from_parts(parts, body.boxed()));
        }
        match self.cx.response_memory.read(body, self.remaining_time()).await {
            Some(body) => {
                self.cx.request_pool.release(connection);
                RelayResult::Answered(forward_response(parts.status, parts.headers, body))
            }
            None => RelayResult::Broken,
        }
    }
}

/// Returns other nodes that are not cut off, those in the own region first, in an order that differs from
/// request to request.
fn other_nodes(cx: &NodeContext) -> Vec<Member> {
    let view = cx.fleet.view();
    let others = view.members.iter().filter(|node| node.vm != cx.settings.vm && !node.is_cut_off);
    let mut others: Vec<(bool, u64, &Member)> = others
        .map(|node| (!cx.settings.is_in_own_region(&node.failure_domain), cx.random_u64(), node))
        .collect();
    others.sort_by_key(|(is_far, number, _)| (*is_far, *number));
    others.into_iter().take(MAX_NODES).map(|(_, _, node)| node.clone()).collect()
}
