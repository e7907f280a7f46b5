//! A connection of another node, on which it is seen whether messages are complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connection_limit::{ConnectionHandle, LimitedStream};

/// The number of bytes before each message that hold its length.
const LENGTH_BYTES: usize = 4;

/// Finds the ends of messages that begin with their length, without their content.
#[derive(Debug, Default)]
struct MessageEnds {
    length: u32,
    length_bytes: usize,
    /// The bytes of the message that are still to come.
    missing: usize,
}

impl MessageEnds {
    /// Takes bytes that arrived. Returns how many of them follow the last end of a message, or `None`
    /// if there is no end.
    fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let (mut rest, mut after_end) = (bytes, None);
        while !rest.is_empty() {
            if self.length_bytes < LENGTH_BYTES {
                self.length = (self.length << 8) | u32::from(rest[0]);
                self.length_bytes += 1;
                self.missing = self.length as usize;
                rest = &rest[1..];
            } else {
                let taken = self.missing.min(rest.len());
                self.missing -= taken;
                rest = &rest[taken..];
            }
            if self.length_bytes == LENGTH_BYTES && self.missing == 0 {
                *self = Self::default();
                after_end = Some(rest.len());
            }
        }
        after_end
    }
}

/// A connection of another node.
#[derive(Debug)]
pub struct MessageStream {
    stream: LimitedStream,
    handle: Arc<ConnectionHandle>,
    ends: MessageEnds,
}

impl MessageStream {
    /// Watches the messages of a connection.
    pub fn new(stream: LimitedStream) -> Self {
        Self { handle: stream.handle(), stream, ends: MessageEnds::default() }
    }
}

impl AsyncRead for MessageStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Some(after_end) = self.ends.push(&buf.filled()[before..]) {
            drop(self.handle.begin_request());
            if after_end > 0 {
                self.handle.record_arrival(after_end);
            }
        }
        read
    }
}

impl AsyncWrite for MessageStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
    use std::time::Duration;

    use tokio::net::{TcpListener, TcpStream};

    use super::*;
    use crate::connection_limit::{Closings, ConnectionLimits, Connections};

    /// Guards against the closing of connections in use, as if their messages were incomplete.
    #[tokio::test]
    async fn complete_messages_are_no_incomplete_heads() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, address) = listener.accept().await.unwrap();
        let limits = ConnectionLimits {
            listener: "test",
            connections: 1,
            head_bytes: 1024,
            unread: Duration::from_secs(60),
        };
        let connections = Connections::new(limits, Closings::default());
        let stream = connections.admit(stream, address.ip()).await.unwrap();
        let mut stream = MessageStream::new(stream);
        for (bytes, incomplete) in [(&[0, 0, 0, 2, 7, 7][..], 0), (&[0, 0, 0, 2, 7], 5), (&[7], 0)]
        {
            assert_eq!(client.try_write(bytes).unwrap(), bytes.len());
            let mut buffer = [0; 16];
            let mut received = ReadBuf::new(&mut buffer);
            while received.filled().len() < bytes.len() {
                std::future::poll_fn(|cx| Pin::new(&mut stream).poll_read(cx, &mut received))
                    .await
                    .unwrap();
            }
            assert_eq!(connections.usage(), (1, incomplete));
        }
    }

    /// Guards against a connection in use that looks as if its message were incomplete, whatever
    /// pieces it arrives in.
    #[test]
    fn ends_are_found_in_any_pieces() {
        let bytes = [0, 0, 0, 2, 7, 7, 0, 0, 0, 0, 0, 0, 0, 1, 7, 0, 0];
        assert_eq!(MessageEnds::default().push(&bytes), Some(2));
        let mut ends = MessageEnds::default();
        let found: Vec<usize> =
            (0..bytes.len()).filter(|at| ends.push(&bytes[*at..=*at]) == Some(0)).collect();
        assert_eq!(found, [5, 9, 14]);
        assert_eq!(MessageEnds::default().push(&bytes[..5]), None);
    }
}
