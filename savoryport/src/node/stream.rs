//! Forwards a server's stream to the caller, and resumes it at another server if it is interrupted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use savoryport_adapter::servers::{keep_alive_timeout, strip_connection_headers};
use savoryport_core::node::deployment::RequestKind;
use savoryport_core::node::health::ServerOutcome;
use savoryport_core::node::registry::BackendServer;
use tokio::sync::mpsc;

use super::event_relay::{EventRelay, Relayed};
use super::event_splitter::EventBoundary;
use super::open_work::OpenCount;
use super::proxy::{OpenedResponse, ProxyRequest};
use super::response::{Body, IncompleteResponse};
use super::server_selection::SelectedServer;

/// The number of chunks that are buffered for a caller that reads slowly.
const CALLER_BUFFER_CHUNKS: usize = 4;

/// The memory for chunks that callers have not read yet, shared by the streams of a node.
#[derive(Debug, Clone)]
pub struct StreamMemory {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// The memory of a chunk; dropping it frees the memory.
#[derive(Debug)]
struct ChunkMemory {
    memory: StreamMemory,
    bytes: usize,
}

/// A chunk that waits for the caller to read it.
#[derive(Debug)]
struct QueuedChunk {
    chunk: Frame<Bytes>,
    _memory: ChunkMemory,
}

impl StreamMemory {
    /// Creates a memory of so many bytes, beyond which each stream has one chunk at a time.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Queues a chunk for a caller. While the memory is used up, the chunk before has to be read first.
    async fn queue(
        &self,
        chunks: &mpsc::Sender<QueuedChunk>,
        data: Bytes,
    ) -> Result<(), mpsc::error::SendError<()>> {
        let is_short = self.used() + data.len() > self.limit;
        let room = if is_short { chunks.max_capacity() } else { 1 };
        let mut permits = chunks.reserve_many(room).await?;
        if let Some(permit) = permits.next() {
            let memory = self.take(data.len());
            permit.send(QueuedChunk { chunk: Frame::data(data), _memory: memory });
        }
        Ok(())
    }

    fn take(&self, bytes: usize) -> ChunkMemory {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        ChunkMemory { memory: self.clone(), bytes }
    }
}

impl Drop for ChunkMemory {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A resumable stream is resumed at another server after this time without data, if its server
/// sends nothing to any other request of this node either. Callers disconnect after two seconds at
/// the earliest.
const MAX_GAP: Duration = Duration::from_millis(1_200);

/// How reading a server's stream ended.
enum StreamEnd {
    /// The server sent all of it.
    Completed,
    /// The connection failed or delivered invalid data.
    Interrupted,
    /// Another server resumes the stream after its server delivered no data for too long.
    Switched(Box<(OpenedResponse, SelectedServer)>),
    /// The caller disconnected.
    CallerLeft,
    /// The request's deadline passed.
    TimedOut,
}

/// What came first while another server was asked to resume a stream.
enum SilenceEnd {
    /// The silent server completed an event.
    Progress,
    /// The silent server's body ended.
    Ended(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// Another server resumes the stream.
    Switched(Box<(OpenedResponse, SelectedServer)>),
    /// No other server does.
    NoAlternative,
}

/// A stream that is being forwarded to the caller.
struct StreamForwarder {
    request: ProxyRequest,
    chunks: mpsc::Sender<QueuedChunk>,
    /// Whether the caller has been sent the whole response.
    is_complete: Arc<AtomicBool>,
    /// The events of a resumable stream.
    relay: EventRelay,
    /// Where the last event of a stream ends that is forwarded as it arrives, since it cannot be
    /// resumed.
    boundary: EventBoundary,
    is_resumable: bool,
    /// The current server.
    server: Arc<BackendServer>,
    /// Whether events of the current server have been forwarded.
    is_answering: bool,
    /// Whether the caller has events of the current server alone.
    is_of_one_server: bool,
}

/// Returns a response with the status and headers of the first server's stream, and spawns a task
/// that forwards the events.
pub(super) fn forward(
    request: ProxyRequest,
    opened: OpenedResponse,
    selected: SelectedServer,
) -> Response<Body> {
    let (chunks, receiver) = mpsc::channel(CALLER_BUFFER_CHUNKS);
    let mut headers = opened.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let is_complete = Arc::new(AtomicBool::new(false));
    let body = StreamBody::new(chunk_stream(receiver, is_complete.clone()));
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() = opened.status;
    *response.headers_mut() = headers;
    let forwarder = StreamForwarder {
        is_resumable: request.route.kind == RequestKind::Stream { resumable: true },
        relay: EventRelay::new(
            request.head.last_event_id,
            request.expected_first_event(&selected.server),
        ),
        server: selected.server.clone(),
        is_answering: false,
        is_of_one_server: request.head.last_event_id.is_none(),
        boundary: EventBoundary::default(),
        chunks,
        is_complete,
        request,
    };
    let cx = forwarder.request.cx.clone();
    let open_stream = OpenCount::new(&cx.open_work.streams);
    cx.caller_tasks.spawn(async move {
        forwarder.run(opened, selected).await;
        drop(open_stream);
    });
    response
}

/// Returns the chunks of a response body. Unless `is_complete` is set, the body ends as incomplete
/// when the forwarder ends, which therefore never has to wait for a caller that reads nothing.
fn chunk_stream(
    receiver: mpsc::Receiver<QueuedChunk>,
    is_complete: Arc<AtomicBool>,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, IncompleteResponse>> {
    futures::stream::unfold(Some((receiver, is_complete)), async |state| {
        let (mut receiver, is_complete) = state?;
        match receiver.recv().await {
            Some(queued) => Some((Ok(queued.chunk), Some((receiver, is_complete)))),
            None if is_complete.load(Ordering::Acquire) => None,
            None => Some((Err(IncompleteResponse), None)),
        }
    })
}

impl ProxyRequest {
    /// Returns the number that streams of this kind of server begin with, if that is known.
    fn expected_first_event(&self, server: &BackendServer) -> Option<u64> {
        let routing = self.cx.routing.lock();
        routing.first_events.expected(&server.service, &server.software, self.cx.now())
    }

    /// Records the number that a sound stream of a server began with.
    fn record_first_event(&self, server: &BackendServer, number: u64) {
        log::debug!(
            request = &*self.head.id, server = &*server.id, software = &*server.software,
            number = number; "first event learned"
        );
        let mut routing = self.cx.routing.lock();
        routing.first_events.record(&server.service, &server.software, number, self.cx.now());
    }
}

impl StreamForwarder {
    async fn run(mut self, mut opened: OpenedResponse, mut selected: SelectedServer) {
        loop {
            let answer_now = self.request.cx.answer_now.clone();
            let forwarding = self.forward_until_end(&mut opened);
            let end = answer_now.run_until_cancelled(forwarding).await;
            let end = end.unwrap_or(StreamEnd::TimedOut);
            let status = opened.status.as_u16();
            match end {
                StreamEnd::Completed => {
                    self.is_complete.store(true, Ordering::Release);
                    if self.is_of_one_server {
                        self.request.record_whole_answer();
                    }
                    let OpenedResponse { connection, headers, in_flight, .. } = opened;
                    drop(in_flight);
                    self.request.record_outcome(&selected.server.id, ServerOutcome::Answered);
                    self.record_decode();
                    self.request
                        .cx
                        .request_pool
                        .release_with_keep_alive(connection, keep_alive_timeout(&headers));
                    return self.request.log_end("streamed", status, None);
                }
                StreamEnd::CallerLeft => return self.request.log_end("caller-left", status, None),
                StreamEnd::TimedOut => return self.request.log_end("timed-out", status, None),
                StreamEnd::Switched(next) => {
                    drop(opened);
                    self.request.record_outcome(&selected.server.id, ServerOutcome::Unreachable);
                    (opened, selected) = *next;
                    self.start_server(&selected);
                    continue;
                }
                StreamEnd::Interrupted => {}
            }
            let sent_at = opened.in_flight.sent_at();
            // The connection is closed before the stream is resumed elsewhere.
            drop(opened);
            self.request.on_broken_answer(&selected, sent_at).await;
            self.request.record_outcome(&selected.server.id, ServerOutcome::Unreachable);
            match answer_now.run_until_cancelled(self.resume()).await.flatten() {
                Some((next_opened, next_selected)) => {
                    (opened, selected) = (next_opened, next_selected);
                    self.start_server(&selected);
                }
                None => return self.request.log_end("broken-off", status, None),
            }
        }
    }

    /// Drops what is incomplete, since another server resumes the stream.
    fn start_server(&mut self, selected: &SelectedServer) {
        self.relay.start_server(self.request.expected_first_event(&selected.server));
        self.is_answering = false;
        self.is_of_one_server = self.relay.last_forwarded().is_none();
        self.server = selected.server.clone();
    }

    /// Resumes the stream at another server, if the request allows that.
    async fn resume(&mut self) -> Option<(OpenedResponse, SelectedServer)> {
        let is_bound = self.request.software.is_some();
        if !self.may_resume() || is_bound && self.request.is_origin_in_doubt(&self.server) {
            return None;
        }
        while self.may_resume() && !self.request.remaining_time().is_zero() {
            let selected = tokio::select! {
                selected = self.request.select_server() => selected,
                () = self.chunks.closed() => return None,
            };
            let selected = match selected {
                Ok(selected) => selected,
                Err(refusal) => {
                    log::info!(
                        request = &*self.request.head.id, cause = refusal.cause.name(),
                        expected_ms = self.request.expected_latency.as_millis() as u64;
                        "cannot resume stream"
                    );
                    return None;
                }
            };
            log::info!(
                request = &*self.request.head.id, server = &*selected.server.id,
                software = &*selected.server.software,
                after = self.relay.last_forwarded().unwrap_or(0); "stream goes on elsewhere"
            );
            self.request.cx.metrics.resumed_streams.inc();
            let resumed = self.request.resume_at(&selected, self.relay.last_forwarded());
            let opened = tokio::select! {
                opened = resumed => opened,
                () = self.chunks.closed() => return None,
            };
            if let Some(opened) = opened {
                return Some((opened, selected));
            }
        }
        None
    }

    /// Forwards a server's bytes until its stream ends.
    async fn forward_until_end(&mut self, opened: &mut OpenedResponse) -> StreamEnd {
        if let Some(first_chunk) = opened.first_chunk.take() {
            self.record_chunk(opened);
            if let Some(end) = self.forward_data(first_chunk).await {
                return end;
            }
        }
        let mut waiting_since = self.request.cx.now();
        loop {
            let remaining = self.request.remaining_time();
            let waited = self.request.cx.now() - waiting_since;
            let max_gap = if self.may_resume() {
                MAX_GAP.saturating_sub(waited).min(remaining)
            } else {
                remaining
            };
            let frame = tokio::select! {
                frame = tokio::time::timeout(max_gap, opened.body.frame()) => frame,
                () = self.chunks.closed() => return StreamEnd::CallerLeft,
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(_) if self.request.remaining_time().is_zero() => return StreamEnd::TimedOut,
                Err(_) if self.should_switch_server(opened) => {
                    let (meanwhile, end) = self.resume_beside(opened).await;
                    match end {
                        SilenceEnd::Switched(next) => return StreamEnd::Switched(next),
                        SilenceEnd::Progress => Some(Ok(Frame::data(meanwhile))),
                        SilenceEnd::NoAlternative => {
                            waiting_since = self.request.cx.now();
                            Some(Ok(Frame::data(meanwhile)))
                        }
                        SilenceEnd::Ended(frame) => {
                            if let Some(end) = self.forward_data(meanwhile).await {
                                return end;
                            }
                            frame
                        }
                    }
                }
                Err(_) => {
                    waiting_since = self.request.cx.now();
                    continue;
                }
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return StreamEnd::Interrupted,
                None if self.is_inside_event() => {
                    self.log_partial_event(opened);
                    return StreamEnd::Interrupted;
                }
                None => {
                    let held = self.relay.finish();
                    return self.send_to_caller(held).await.unwrap_or(StreamEnd::Completed);
                }
            };
            if !data.is_empty() {
                self.record_chunk(opened);
            }
            let last_event_id = self.relay.last_forwarded();
            if let Some(end) = self.forward_data(data).await {
                return end;
            }
            // Bytes that complete no event do not count as progress: a stalled server may still
            // send one now and then.
            if !self.is_resumable || self.relay.last_forwarded() != last_event_id {
                waiting_since = self.request.cx.now();
                self.request.record_server_activity();
            }
        }
    }

    /// Asks another server to resume the stream of a silent one, to which the connection stays open
    /// until then: it may only pause, and the other one may refuse. A server that resumes a stream
    /// runs it from its first event on, which comes with the opened response. Also returns the bytes
    /// that the silent server sent meanwhile.
    async fn resume_beside(&mut self, opened: &mut OpenedResponse) -> (Bytes, SilenceEnd) {
        let last_server = self.request.last_server.clone();
        let mut splitter = self.relay.splitter().clone();
        let mut meanwhile = BytesMut::new();
        // Single bytes of an event are no reason to give up a server that is about to send all of it.
        let progress = async {
            loop {
                let data = match opened.body.frame().await {
                    Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                    end => return SilenceEnd::Ended(end),
                };
                meanwhile.extend_from_slice(&data);
                if !splitter.push(&data) || splitter.next_event().is_some() {
                    return SilenceEnd::Progress;
                }
            }
        };
        let end = tokio::select! {
            biased;
            end = progress => end,
            next = self.resume() => match next {
                Some(next) => SilenceEnd::Switched(Box::new(next)),
                None => SilenceEnd::NoAlternative,
            },
        };
        if !matches!(end, SilenceEnd::Switched(_)) {
            self.request.last_server = last_server;
        }
        (meanwhile.freeze(), end)
    }

    fn may_resume(&self) -> bool {
        let request = &self.request;
        self.is_resumable && !request.is_suspect && request.attempts() < request.route.max_attempts
    }

    /// Returns whether the server currently sends nothing to any request of this node and another
    /// server would resume the stream.
    fn should_switch_server(&self, opened: &OpenedResponse) -> bool {
        let cx = &self.request.cx;
        let since = cx.now() - MAX_GAP;
        let is_active = cx.routing.lock().health.was_active_since(opened.in_flight.server(), since);
        !is_active && self.may_resume() && self.request.has_alternative()
    }

    /// Records the time to the first token, and the pause since the previous chunk.
    fn record_chunk(&mut self, opened: &mut OpenedResponse) {
        opened.in_flight.record_first_token();
        let request = &mut self.request;
        let now = request.cx.now();
        request.time_to_first_token.get_or_insert(now - request.arrived_at);
        if let Some(last) = request.last_chunk_at.replace(now) {
            request.longest_gap = request.longest_gap.max(now - last);
        }
    }

    /// Records how long a complete stream generated.
    fn record_decode(&self) {
        let request = &self.request;
        let (Some(generation), Some(first), Some(last)) =
            (&request.head.generation, request.time_to_first_token, request.last_chunk_at)
        else {
            return;
        };
        let took = last.saturating_duration_since(request.arrived_at + first);
        request.cx.routing.lock().speeds.record_decode(
            &generation.model,
            generation.output_tokens,
            took,
        );
    }

    /// Forwards bytes; those of a resumable stream as complete events that follow each other.
    async fn forward_data(&mut self, data: Bytes) -> Option<StreamEnd> {
        if !self.is_resumable {
            self.boundary.push(&data);
            if self.boundary.is_between_events() {
                self.record_answer();
            }
            return self.send_to_caller(data).await;
        }
        let was_holding = self.relay.is_holding();
        let Relayed { events, is_interrupted } = self.relay.push(&data);
        if self.relay.is_holding() && !was_holding {
            self.request.cx.metrics.held_first_events.inc();
        }
        if let Some(number) = self.relay.take_unexpected_first() {
            self.request.record_first_event(&self.server, number);
        }
        if !events.is_empty() {
            self.record_answer();
        }
        let end = self.send_to_caller(events).await;
        if is_interrupted && end.is_none() {
            self.log_spoiled_event();
            return Some(StreamEnd::Interrupted);
        }
        end
    }

    /// Logs that an event does not follow the one before.
    fn log_spoiled_event(&self) {
        self.request.cx.metrics.spoiled_events.inc();
        log::info!(
            request = &*self.request.head.id,
            server = self.request.last_server.as_deref().unwrap_or(""),
            after = self.relay.last_forwarded().unwrap_or(0); "event does not follow"
        );
    }

    /// Logs that the server's body ended inside an event, and what marked the end of the body.
    fn log_partial_event(&self, opened: &OpenedResponse) {
        let framing = if opened.headers.contains_key(TRANSFER_ENCODING) {
            "chunked"
        } else if opened.headers.contains_key(CONTENT_LENGTH) {
            "length"
        } else {
            "close"
        };
        self.request.cx.metrics.cut_events.inc();
        log::info!(
            request = &*self.request.head.id, server = opened.in_flight.server(),
            framing = framing, after = self.relay.last_forwarded().unwrap_or(0);
            "stream ended inside an event"
        );
    }

    /// Records that the server has begun to answer.
    fn record_answer(&mut self) {
        if !std::mem::replace(&mut self.is_answering, true) {
            let request = &mut self.request;
            let now = request.cx.now();
            request.time_to_first_event.get_or_insert(now - request.arrived_at);
            request.is_answered = true;
            request.record_origin(&self.server);
        }
    }

    /// Returns whether the bytes received so far end inside an event. The server has then broken
    /// off the stream, even if the end of the connection is the end of the body.
    fn is_inside_event(&self) -> bool {
        self.relay.has_partial_event() || !self.boundary.is_between_events()
    }

    async fn send_to_caller(&mut self, data: Bytes) -> Option<StreamEnd> {
        if data.is_empty() {
            return None;
        }
        let queuing = self.request.cx.stream_memory.queue(&self.chunks, data);
        match tokio::time::timeout(self.request.remaining_time(), queuing).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(StreamEnd::CallerLeft),
            Err(_) => Some(StreamEnd::TimedOut),
        }
    }
}

#[cfg(test)]
mod tests {
    use futures::FutureExt;

    use super::*;

    /// Guards against chunks that are held for callers that do not read.
    #[test]
    fn a_stream_has_one_chunk_at_a_time_when_memory_is_short() {
        let memory = StreamMemory::new(10);
        let (chunks, mut receiver) = mpsc::channel(CALLER_BUFFER_CHUNKS);
        let queue = || memory.queue(&chunks, Bytes::from_static(b"eight by"));
        assert_eq!(queue().now_or_never(), Some(Ok(())));
        assert_eq!(queue().now_or_never(), None);
        drop(receiver.try_recv());
        assert_eq!(memory.used(), 0);
        assert_eq!(queue().now_or_never(), Some(Ok(())));
        drop(receiver);
        assert_eq!(memory.used(), 0);
    }
}
