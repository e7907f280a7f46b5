//! The directory, which tells callers the addresses of nodes, and the readiness check.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use savoryport_adapter::callers::{
    DIRECTORY_PATH, DirectoryQuery, READINESS_PATH, decode_directory_query,
    encode_directory_response,
};
use savoryport_core::Name;
use savoryport_core::node::entry_subset::{EntryNode, EntryScope};
use tokio::net::TcpListener;

use super::context::NodeContext;
use super::view::{FleetView, Member};
use crate::connection_limit::{ConnectionLimits, Connections};

/// How long callers may cache the addresses. A stopping node still serves for longer than that.
const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// The maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Timeout for receiving the headers of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The bytes of incomplete heads of all connections to a listener.
const MAX_HEAD_BYTES: usize = 1024 * 1024;

/// The maximum size of one head, and of what is read ahead.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// The time after which a connection is closed whose other side reads nothing.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The delay after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves both the directory and the readiness check on one listener until the process ends.
pub async fn accept(cx: Arc<NodeContext>, listener: TcpListener, name: &'static str) {
    let limits = ConnectionLimits {
        listener: name,
        connections: cx.settings.max_other_connections(),
        head_bytes: MAX_HEAD_BYTES,
        unread: UNREAD_TIMEOUT,
    };
    let connections = Connections::new(limits, cx.metrics.closed_connections.clone());
    loop {
        let (stream, caller) = match listener.accept().await {
            Ok((stream, address)) => (stream, address.ip()),
            Err(err) => {
                log::warn!(err:% = err; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(stream) = connections.admit(stream, caller).await else { continue };
        let cx = cx.clone();
        tokio::spawn(async move {
            let handle = stream.handle();
            let service = service_fn(|req| {
                let _in_progress = handle.begin_request();
                let response = respond(&cx, &req);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Some(Err(err)) = handle.closed.run_until_cancelled(connection).await {
                log::debug!(err:% = err; "directory connection failed");
            }
        });
    }
}

fn respond(cx: &NodeContext, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let is_ready = cx.fleet.view().config.is_some() && !cx.stopping.is_cancelled();
    match req.uri().path() {
        READINESS_PATH if is_ready => empty_response(StatusCode::OK),
        READINESS_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        DIRECTORY_PATH => {
            let question = decode_directory_query(req.uri().query().unwrap_or_default());
            let view = cx.fleet.view();
            let in_flight = cx.routing.lock().loads.requests_in_flight();
            cx.entry_subset().record_in_flight(in_flight, cx.now());
            let own_address = (!cx.stopping.is_cancelled()).then_some(cx.settings.callers_listen);
            let addresses = nearest_addresses(&view, &question, own_address, cx);
            if addresses.is_empty() {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            let max_ttl = Duration::from_secs_f64(cx.settings.address_ttl_max_s);
            let body = encode_directory_response(&addresses, ADDRESS_TTL.min(max_ttl));
            let mut response = Response::new(Full::new(Bytes::from(body)));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns the addresses of nodes in the caller's failure domain; if there are none, of those in its
/// region; if there are none either, of all nodes. In each case callers are sent to a part of the
/// nodes, and the address of a stronger node is listed several times. Without `own_address` this node is left out.
fn nearest_addresses(
    view: &FleetView,
    question: &DirectoryQuery,
    own_address: Option<SocketAddr>,
    cx: &NodeContext,
) -> Vec<SocketAddr> {
    let members = view
        .members
        .iter()
        .filter(|member| own_address.is_some() || member.callers != cx.settings.callers_listen);
    // Nodes that reach no server are named only if there are no others.
    let (cut_off, linked): (Vec<&Member>, Vec<&Member>) =
        members.partition(|member| member.is_cut_off);
    let members = if linked.is_empty() { cut_off } else { linked };
    let leads = |vm: &Name| view.leaders.values().any(|leader| leader.vm == *vm);
    let weighs_capacity = cx.settings.weigh_node_capacity;
    let entry_node = |member: &Member| EntryNode {
        address: member.callers,
        vm: member.vm.clone(),
        leads: leads(&member.vm),
        capacity: if weighs_capacity { member.capacity } else { cx.member.capacity },
    };
    let (now, all_nodes) = (cx.now(), view.members.len());
    let addresses_in = |matches: &dyn Fn(&str) -> bool| -> Vec<SocketAddr> {
        let matching = members.iter().filter(|member| matches(&member.failure_domain));
        let nodes: Vec<_> = matching.map(|member| entry_node(member)).collect();
        let is_own_domain = matches(&cx.settings.failure_domain);
        let scope = EntryScope { all_nodes, is_own_domain, max_entries: MAX_ADDRESSES };
        cx.entry_subset().choose(nodes, scope, now)
    };
    let in_domain = addresses_in(&|domain| domain == question.failure_domain);
    if !in_domain.is_empty() {
        return in_domain;
    }
    let region = |domain: &str| cx.settings.region_of(domain).map(|region| &**region);
    let in_region = addresses_in(&|domain| region(domain) == Some(&*question.region));
    if in_region.is_empty() { addresses_in(&|_| true) } else { in_region }
}
