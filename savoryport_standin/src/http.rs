//! A small HTTP server that ends with its handle.

use std::io::{self, Read, Write};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use savoryport_platform::wire::DRAINING_HEADER;
use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// The longest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// A running server; it stops when this is dropped.
pub struct Running {
    address: String,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Listens on `address` and gives each request to `handle`, on a thread of its own.
    ///
    /// # Panics
    ///
    /// Panics where the address cannot be listened on.
    pub fn start(address: &str, handle: impl Fn(Request) + Send + Sync + 'static) -> Self {
        let server = Server::http(address).unwrap_or_else(|err| panic!("{address}: {err}"));
        let server = Arc::new(server);
        let address = server.server_addr().to_string();
        let handle = Arc::new(handle);
        let accepting = server.clone();
        let thread = thread::spawn(move || {
            for req in accepting.incoming_requests() {
                let handle = handle.clone();
                thread::spawn(move || handle(req));
            }
        });
        Self { address, server, thread: Some(thread) }
    }

    /// Returns the IP address and port.
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Reads the whole body.
pub fn read_body(req: &mut Request) -> Vec<u8> {
    let mut buf = Vec::new();
    let _ = req.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut buf);
    buf
}

/// Answers with JSON; a caller that has left is ignored.
pub fn answer_json(req: Request, status: u16, body: &impl Serialize) {
    let buf = serde_json::to_vec(body).expect("stand-ins answer plain values");
    let header = Header::from_bytes("content-type", "application/json").expect("plain ASCII");
    let _ = req.respond(Response::from_data(buf).with_status_code(status).with_header(header));
}

/// Refuses new work before it starts, as a server does that is about to go.
pub fn refuse_draining(req: Request) {
    let header = Header::from_bytes(DRAINING_HEADER, "true").expect("plain ASCII");
    let answer = Response::from_string(r#"{"error":"draining"}"#).with_status_code(503);
    let _ = req.respond(answer.with_header(header));
}

/// Returns the value of a header.
pub fn header(req: &Request, name: &'static str) -> Option<String> {
    let found = req.headers().iter().find(|header| header.field.equiv(name))?;
    Some(found.value.to_string())
}

/// Leaves a request without an answer, as if the answer were lost.
///
/// The connection stays silent until the caller gives up.
pub fn lose_answer(req: Request) {
    drop(req.into_writer());
}

/// A body that is sent in pieces, each at once.
///
/// The head leaves together with the first piece: the server cannot switch off Nagle's algorithm, and
/// a second small write would wait 40 ms for the caller's delayed acknowledgement.
pub struct Chunked {
    writer: Box<dyn Write + Send>,
    head: String,
}

impl Chunked {
    /// Begins an answer.
    pub fn start(req: Request, content_type: &str) -> Self {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        Self { writer: req.into_writer(), head }
    }

    /// Sends one piece.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller has left; the first write after that may still succeed.
    pub fn send(&mut self, piece: &str) -> io::Result<()> {
        let head = std::mem::take(&mut self.head);
        self.writer.write_all(format!("{head}{:x}\r\n{piece}\r\n", piece.len()).as_bytes())?;
        self.writer.flush()
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller has left.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
