//! Answers which addresses callers may use, and whether this node is ready.

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
    DIRECTORY_PATH, DirectoryQuestion, READINESS_PATH, directory_answer, directory_question,
};
use tokio::net::TcpListener;

use super::context::NodeContext;
use super::view::FleetView;

/// How long callers may keep an answer. A node that stops keeps serving for longer than that.
const KEEP_ANSWER: Duration = Duration::from_secs(1);

/// Addresses in one answer at most.
const MAX_ADDRESSES: usize = 64;

/// The time for a whole exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers on one address until the process ends.
pub async fn accept(cx: Arc<NodeContext>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(err:% = err; "no connection taken");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let cx = cx.clone();
        tokio::spawn(async move {
            let service = service_fn(|req| {
                let answer = answer(&cx, &req);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(EXCHANGE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(err) = connection.await {
                log::debug!(err:% = err; "directory connection ended");
            }
        });
    }
}

fn answer(cx: &NodeContext, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let is_ready = cx.fleet.view().config.is_some() && !cx.stopping.is_cancelled();
    match req.uri().path() {
        READINESS_PATH if is_ready => status(StatusCode::OK),
        READINESS_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
        DIRECTORY_PATH => {
            let question = directory_question(req.uri().query().unwrap_or_default());
            let view = cx.fleet.view();
            let own = (!cx.stopping.is_cancelled()).then_some(cx.settings.callers_listen);
            let addresses = addresses(&view, &question, own, cx);
            if addresses.is_empty() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let longest = Duration::from_secs_f64(cx.settings.address_ttl_max_s);
            let body = directory_answer(&addresses, KEEP_ANSWER.min(longest));
            let mut answer = Response::new(Full::new(Bytes::from(body)));
            let json = HeaderValue::from_static("application/json");
            answer.headers_mut().insert(CONTENT_TYPE, json);
            answer
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Returns the nodes nearest to the caller: those of its failure domain, else of its region, else all.
fn addresses(
    view: &FleetView,
    question: &DirectoryQuestion,
    own: Option<SocketAddr>,
    cx: &NodeContext,
) -> Vec<SocketAddr> {
    let members = view
        .members
        .iter()
        .filter(|member| own.is_some() || member.callers != cx.settings.callers_listen);
    let members: Vec<_> = members.collect();
    let near = |matches: &dyn Fn(&str) -> bool| -> Vec<SocketAddr> {
        let matching = members.iter().filter(|member| matches(&member.failure_domain));
        matching.map(|member| member.callers).take(MAX_ADDRESSES).collect()
    };
    let in_domain = near(&|domain| domain == question.failure_domain);
    if !in_domain.is_empty() {
        return in_domain;
    }
    let region = |domain: &str| cx.settings.region_of(domain).map(|region| &**region);
    let in_region = near(&|domain| region(domain) == Some(&*question.region));
    if in_region.is_empty() { near(&|_| true) } else { in_region }
}
