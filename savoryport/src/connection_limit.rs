//! Connections of a listener, with a bound on their number, on incomplete heads and on the time for
//! which the other side reads nothing.

use std::collections::HashMap;
use std::io::{self, ErrorKind, IoSlice};
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use savoryport_core::node::caller_connections::{ConnectionId, ConnectionTable};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::sync::CancellationToken;

/// Labels of a connection that the process closed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClosingLabels {
    /// The listener.
    pub listener: &'static str,
    /// Why it was closed.
    pub cause: &'static str,
}

/// Connections that the process closed, by listener and cause.
pub type Closings = Family<ClosingLabels, Counter>;

/// The bounds of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// The name of the listener in metrics.
    pub listener: &'static str,
    /// The number of connections.
    pub connections: usize,
    /// The bytes of all incomplete heads.
    pub head_bytes: usize,
    /// The time after which a connection is closed whose other side reads nothing.
    pub unread: Duration,
}

/// The connections of a listener.
#[derive(Debug, Clone)]
pub struct Connections {
    limits: ConnectionLimits,
    state: Arc<Mutex<State>>,
    closings: Closings,
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    /// Cancelled when a connection is to be closed.
    closers: HashMap<u64, CancellationToken>,
}

/// A connection in the table; dropping it frees its place.
#[derive(Debug)]
pub struct ConnectionHandle {
    connections: Connections,
    id: ConnectionId,
    /// Cancelled when the connection is to be closed.
    pub closed: CancellationToken,
}

/// A request in progress on a connection, until it is dropped.
#[derive(Debug)]
pub struct RequestInProgress(Arc<ConnectionHandle>);

/// A connection whose reads and writes are recorded.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    handle: Arc<ConnectionHandle>,
    /// Runs while the other side reads nothing.
    unread: Option<Pin<Box<Sleep>>>,
}

impl Connections {
    /// Creates the connections of a listener.
    pub fn new(limits: ConnectionLimits, closings: Closings) -> Self {
        let table = ConnectionTable::new(limits.connections, limits.head_bytes);
        let state = State { table, closers: HashMap::new() };
        Self { limits, state: Arc::new(Mutex::new(state)), closings }
    }

    /// Admits a connection. One that is idle gives way to it if there are too many; without such a
    /// one it is dropped.
    pub async fn admit(&self, stream: TcpStream, address: IpAddr) -> Option<LimitedStream> {
        let opened = self.lock().table.open(address, Instant::now());
        let Some((id, closing)) = opened else {
            self.count("full");
            return None;
        };
        let closed = CancellationToken::new();
        self.lock().closers.insert(id.number(), closed.clone());
        let handle = Arc::new(ConnectionHandle { connections: self.clone(), id, closed });
        if let Some(closing) = closing {
            self.close(closing, "gave-way");
            // Its task closes the descriptor.
            tokio::task::yield_now().await;
        }
        Some(LimitedStream { stream, handle, unread: None })
    }

    /// Closes the connections whose heads have been incomplete for this time.
    pub fn close_overdue(&self, head_timeout: Duration) {
        let overdue = self.lock().table.overdue(head_timeout, Instant::now());
        overdue.into_iter().for_each(|id| self.close(id, "head-timeout"));
    }

    /// Returns the number of connections and the bytes of incomplete heads.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.table.len(), state.table.head_bytes())
    }

    fn close(&self, id: ConnectionId, cause: &'static str) {
        self.count(cause);
        if let Some(closer) = self.lock().closers.get(&id.number()) {
            closer.cancel();
        }
    }

    fn count(&self, cause: &'static str) {
        let labels = ClosingLabels { listener: self.limits.listener, cause };
        self.closings.get_or_create(&labels).inc();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl ConnectionHandle {
    /// Records that the head of a request is complete.
    pub fn begin_request(self: &Arc<Self>) -> RequestInProgress {
        self.connections.lock().table.begin_request(self.id);
        RequestInProgress(self.clone())
    }

    /// Records bytes of an incomplete head.
    pub fn record_arrival(&self, bytes: usize) {
        let closing = self.connections.lock().table.record_arrival(self.id, bytes, Instant::now());
        if let Some(closing) = closing {
            self.connections.close(closing, "head-memory");
        }
    }

    fn set_blocked(&self, is_blocked: bool) {
        self.connections.lock().table.set_blocked(self.id, is_blocked);
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.table.close(self.id);
        state.closers.remove(&self.id.number());
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.connections.lock().table.end_request(self.0.id, Instant::now());
    }
}

impl LimitedStream {
    /// Returns the connection's place in the table.
    pub fn handle(&self) -> Arc<ConnectionHandle> {
        self.handle.clone()
    }

    /// Returns the result of a write, or an error if the other side has read nothing for too long.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            if self.unread.take().is_some() {
                self.handle.set_blocked(false);
            }
            return written;
        }
        let timeout = self.handle.connections.limits.unread;
        if self.unread.is_none() {
            self.handle.set_blocked(true);
        }
        let unread = self.unread.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(unread.as_mut().poll(cx));
        self.handle.connections.count("unread");
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let arrived = buf.filled().len() - before;
        if arrived > 0 {
            self.handle.record_arrival(arrived);
        }
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use tokio::net::TcpListener;

    use super::*;

    const LIMITS: ConnectionLimits = ConnectionLimits {
        listener: "test",
        connections: 2,
        head_bytes: 1024,
        unread: Duration::from_millis(50),
    };

    /// Guards against answers that are held for a caller that never reads them.
    #[tokio::test]
    async fn a_write_that_nobody_reads_fails() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let _silent = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, address) = listener.accept().await.unwrap();
        let closings = Closings::default();
        let connections = Connections::new(LIMITS, closings.clone());
        let mut stream = connections.admit(stream, address.ip()).await.unwrap();
        let piece = vec![0; 1024 * 1024];
        let writing = async {
            loop {
                let written =
                    std::future::poll_fn(|cx| Pin::new(&mut stream).poll_write(cx, &piece));
                if let Err(err) = written.await {
                    return err;
                }
            }
        };
        let err = tokio::time::timeout(Duration::from_secs(20), writing).await;
        assert_eq!(err.expect("the write ends").kind(), ErrorKind::TimedOut);
        let labels = ClosingLabels { listener: "test", cause: "unread" };
        assert_eq!(closings.get_or_create(&labels).get(), 1);
    }

    /// Guards against a connection that keeps its place after it was told to close.
    #[tokio::test]
    async fn a_connection_without_a_request_gives_way() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let connections = Connections::new(LIMITS, Closings::default());
        let mut clients = Vec::new();
        for _ in 0..5 {
            clients.push(TcpStream::connect(listener.local_addr().unwrap()).await.unwrap());
            let (stream, address) = listener.accept().await.unwrap();
            let stream = connections.admit(stream, address.ip()).await.unwrap();
            tokio::spawn(async move { stream.handle().closed.cancelled().await });
        }
        assert_eq!(connections.usage().0, 2);
        for client in clients.drain(..3) {
            client.readable().await.unwrap();
            assert!(client.try_read(&mut [0]).is_ok_and(|count| count == 0));
        }
    }
}
