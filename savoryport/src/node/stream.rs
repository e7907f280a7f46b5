//! Passes a server's stream on to the caller, and goes on at another server when it breaks.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use savoryport_adapter::servers::{keep_alive, strip_connection_headers};
use savoryport_core::node::deployment::RequestKind;
use savoryport_core::node::health::ServerOutcome;
use tokio::sync::mpsc;

use super::event_splitter::EventSplitter;
use super::proxy::{Opened, ProxyRequest};
use super::response::{Body, IncompleteResponse};
use super::server_selection::Picked;

/// Pieces that wait for a caller who reads slowly.
const CALLER_BUFFER: usize = 16;

/// A stream that can go on elsewhere does so after this time without a byte, if its server sends nothing
/// to anybody. Callers leave after two seconds at the earliest.
const MAX_GAP: Duration = Duration::from_millis(1_200);

/// How reading a server's stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The server ended it.
    Whole,
    /// The connection broke, fell silent or sent what no stream may hold.
    Broken,
    /// The caller left.
    CallerLeft,
    /// The request's time is up.
    TimedOut,
}

/// One stream on its way to the caller.
struct Forwarder {
    relay: ProxyRequest,
    pieces: mpsc::Sender<Result<Frame<Bytes>, IncompleteResponse>>,
    cutter: EventSplitter,
    is_resumable: bool,
    /// The last event that was passed on.
    last_event: Option<u64>,
}

/// Answers with the head of the first server's stream, and passes its events on in a task.
pub(super) fn forward(relay: ProxyRequest, opened: Opened, picked: Picked) -> Response<Body> {
    let (pieces, rx) = mpsc::channel(CALLER_BUFFER);
    let mut headers = opened.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(receive(rx))));
    *answer.status_mut() = opened.status;
    *answer.headers_mut() = headers;
    let forwarder = Forwarder {
        is_resumable: relay.route.kind == RequestKind::Stream { resumable: true },
        last_event: relay.head.last_event,
        cutter: EventSplitter::default(),
        pieces,
        relay,
    };
    let serving = forwarder.relay.cx.caller_tasks.clone();
    serving.spawn(forwarder.run(opened, picked));
    answer
}

fn receive(
    rx: mpsc::Receiver<Result<Frame<Bytes>, IncompleteResponse>>,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, IncompleteResponse>> {
    futures::stream::unfold(rx, async |mut rx| rx.recv().await.map(|piece| (piece, rx)))
}

impl Forwarder {
    async fn run(mut self, mut opened: Opened, mut picked: Picked) {
        loop {
            let end = self.pass(&mut opened).await;
            let status = opened.status.as_u16();
            match end {
                End::Whole => {
                    let Opened { connection, headers, flight, .. } = opened;
                    drop(flight);
                    self.relay.note(&picked.server.id, ServerOutcome::Answered);
                    self.relay.cx.request_pool.keep(connection, keep_alive(&headers));
                    return self.relay.log_end("streamed", status, None);
                }
                End::CallerLeft => return self.relay.log_end("caller-left", status, None),
                End::TimedOut => return self.give_up("timed-out", status).await,
                End::Broken => {}
            }
            // The connection is closed before the stream goes on elsewhere.
            drop(opened);
            self.relay.note(&picked.server.id, ServerOutcome::Unreachable);
            match self.resume().await {
                Some((next, chosen)) => (opened, picked) = (next, chosen),
                None => return self.give_up("broken-off", status).await,
            }
        }
    }

    async fn give_up(&mut self, outcome: &str, status: u16) {
        let _ = self.pieces.send(Err(IncompleteResponse)).await;
        self.relay.log_end(outcome, status, None);
    }

    /// Opens the stream at another server, if the request allows that.
    async fn resume(&mut self) -> Option<(Opened, Picked)> {
        if !self.may_resume() {
            return None;
        }
        self.cutter = EventSplitter::default();
        while self.may_resume() && !self.relay.left().is_zero() {
            let picked = tokio::select! {
                picked = self.relay.pick() => picked,
                () = self.pieces.closed() => return None,
            };
            let picked = match picked {
                Ok(picked) => picked,
                Err(refusal) => {
                    log::info!(
                        request = &*self.relay.head.id, cause = refusal.cause.name(),
                        expected_ms = self.relay.expected.as_millis() as u64; "stream stays broken"
                    );
                    return None;
                }
            };
            log::info!(
                request = &*self.relay.head.id, server = &*picked.server.id,
                after = self.last_event.unwrap_or(0); "stream goes on elsewhere"
            );
            self.relay.cx.metrics.resumed.inc();
            let reopened = self.relay.reopen(&picked, self.last_event);
            let opened = tokio::select! {
                opened = reopened => opened,
                () = self.pieces.closed() => return None,
            };
            if let Some(opened) = opened {
                return Some((opened, picked));
            }
        }
        None
    }

    /// Passes a server's bytes on until its stream ends.
    async fn pass(&mut self, opened: &mut Opened) -> End {
        if let Some(first) = opened.first.take() {
            self.note_first_token(opened);
            if let Some(end) = self.take(first).await {
                return end;
            }
        }
        loop {
            let left = self.relay.left();
            let gap = if self.may_resume() { MAX_GAP.min(left) } else { left };
            let frame = tokio::select! {
                frame = tokio::time::timeout(gap, opened.body.frame()) => frame,
                () = self.pieces.closed() => return End::CallerLeft,
            };
            if frame.is_err() && !self.relay.left().is_zero() && !self.should_leave(opened) {
                continue;
            }
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return End::Broken,
                Ok(None) => return self.finish().await,
                Err(_) if self.relay.left().is_zero() => return End::TimedOut,
                Err(_) => return End::Broken,
            };
            self.note_first_token(opened);
            self.relay.note_heard();
            if let Some(end) = self.take(data).await {
                return end;
            }
        }
    }

    fn may_resume(&self) -> bool {
        let relay = &self.relay;
        self.is_resumable && (relay.tried.len() as u32) < relay.route.max_attempts
    }

    /// Returns whether the server is silent to all requests of this node and another one would go on.
    fn should_leave(&self, opened: &Opened) -> bool {
        let cx = &self.relay.cx;
        let since = cx.now() - MAX_GAP;
        let heard = cx.routing.lock().health.was_heard_since(opened.flight.server(), since);
        !heard && self.may_resume() && self.relay.has_alternative()
    }

    fn note_first_token(&mut self, opened: &mut Opened) {
        opened.flight.first_token();
        let relay = &mut self.relay;
        let now = relay.cx.now();
        relay.first_token.get_or_insert(now - relay.arrived);
        if let Some(last) = relay.last_piece.replace(now) {
            relay.longest_gap = relay.longest_gap.max(now - last);
        }
    }

    /// Passes bytes on; those of a resumable stream event by event.
    async fn take(&mut self, data: Bytes) -> Option<End> {
        if !self.is_resumable {
            return self.send(data).await;
        }
        if !self.cutter.push(&data) {
            return Some(End::Broken);
        }
        let mut ready = bytes::BytesMut::new();
        while let Some(event) = self.cutter.next_event() {
            match (event.id, self.last_event) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => return Some(End::Broken),
                (Some(id), _) => self.last_event = Some(id),
                (None, _) => {}
            }
            ready.extend_from_slice(&event.bytes);
        }
        if ready.is_empty() { None } else { self.send(ready.freeze()).await }
    }

    async fn finish(&mut self) -> End {
        if !self.cutter.has_partial_event() {
            return End::Whole;
        }
        let rest = self.cutter.take_partial_event();
        self.send(rest).await.unwrap_or(End::Whole)
    }

    async fn send(&mut self, data: Bytes) -> Option<End> {
        if data.is_empty() {
            return None;
        }
        let sent = tokio::time::timeout(self.relay.left(), self.pieces.send(Ok(Frame::data(data))));
        match sent.await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(End::CallerLeft),
            Err(_) => Some(End::TimedOut),
        }
    }
}
