//! A small HTTP server and helpers for its handlers, which the stand-ins are built on.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use savoryport_platform::wire::DRAINING_HEADER;
use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// The maximum length of a request body that is read, in bytes; the rest is ignored.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// The interval at which a server gets a connection that ends at once.
///
/// If connections arrive at the same time, tiny_http 0.12 may count one idle thread for several of
/// them. All but one then wait until any connection ends, which may take as long as the others are
/// kept open. These connections limit that time.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// A running HTTP server, which stops accepting requests when it is dropped.
pub struct HttpServer {
    address: String,
    server: Arc<Server>,
    /// Dropping it ends the release thread.
    stop_tx: Option<Sender<()>>,
    release_thread: Option<JoinHandle<()>>,
    accept_thread: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on `address` and calls `handler` with each request, each time on a new thread.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen on the address.
    pub fn start(address: &str, handler: impl Fn(Request) + Send + Sync + 'static) -> Self {
        let server = Server::http(address).unwrap_or_else(|err| panic!("{address}: {err}"));
        let server = Arc::new(server);
        let address = server.server_addr().to_string();
        let handler = Arc::new(handler);
        let accepting_server = server.clone();
        let accept_thread = thread::spawn(move || {
            for req in accepting_server.incoming_requests() {
                let handler = handler.clone();
                thread::spawn(move || handler(req));
            }
        });
        let (stop_tx, stop_rx) = mpsc::channel();
        let released_address = address.clone();
        let release_thread = thread::spawn(move || {
            while stop_rx.recv_timeout(RELEASE_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                open_and_reset(&released_address);
            }
        });
        Self {
            address,
            server,
            stop_tx: Some(stop_tx),
            release_thread: Some(release_thread),
            accept_thread: Some(accept_thread),
        }
    }

    /// Returns the IP address and port that the server listens on.
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        drop(self.stop_tx.take());
        self.server.unblock();
        for thread in [self.release_thread.take(), self.accept_thread.take()].into_iter().flatten()
        {
            let _ = thread.join();
        }
    }
}

/// Opens a connection and resets it, which leaves no socket that has to wait for its end.
fn open_and_reset(address: &str) {
    let Ok(stream) = TcpStream::connect(address) else { return };
    let _ = set_socket_linger(&stream, Some(Duration::ZERO));
}

/// Reads the request body, up to `MAX_BODY_BYTES`. Returns what was read if reading fails.
pub fn read_body(req: &mut Request) -> Vec<u8> {
    let mut buf = Vec::new();
    let _ = req.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut buf);
    buf
}

/// Sends a JSON response. Does nothing if the client has disconnected.
pub fn respond_json(req: Request, status: u16, body: &impl Serialize) {
    respond_json_with(req, status, &[], body);
}

/// Sends a JSON response with further headers. Does nothing if the client has disconnected.
pub fn respond_json_with(
    req: Request,
    status: u16,
    headers: &[(&str, String)],
    body: &impl Serialize,
) {
    let buf = serde_json::to_vec(body).expect("response bodies can be serialized");
    let json_type = [("content-type", "application/json".to_owned())];
    let mut response = Response::from_data(buf).with_status_code(status);
    for (name, value) in json_type.iter().chain(headers) {
        let header = Header::from_bytes(*name, value.as_bytes()).expect("plain ASCII");
        response = response.with_header(header);
    }
    let _ = req.respond(response);
}

/// Rejects a request before it runs, as a draining server does.
pub fn reject_draining(req: Request) {
    let header = Header::from_bytes(DRAINING_HEADER, "true").expect("plain ASCII");
    let response = Response::from_string(r#"{"error":"draining"}"#).with_status_code(503);
    let _ = req.respond(response.with_header(header));
}

/// Returns the value of a request header.
pub fn header(req: &Request, name: &'static str) -> Option<String> {
    let header = req.headers().iter().find(|header| header.field.equiv(name))?;
    Some(header.value.to_string())
}

/// Sends no response, as if it were lost on the way.
///
/// The connection stays silent until the client gives up.
pub fn drop_response(req: Request) {
    drop(req.into_writer());
}

/// A response with chunked transfer encoding, which sends each chunk immediately.
///
/// The response head is written together with the first chunk: the HTTP library offers no way to
/// disable Nagle's algorithm, and a second small write would wait 40 ms for the client's delayed
/// acknowledgement.
pub struct ChunkedResponse {
    writer: Box<dyn Write + Send>,
    head: String,
}

impl ChunkedResponse {
    /// Prepares a response with status 200; its head is sent with the first chunk.
    pub fn start(req: Request, content_type: &str) -> Self {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        Self { writer: req.into_writer(), head }
    }

    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected. The first write after the disconnection may
    /// still succeed.
    pub fn send(&mut self, chunk: &str) -> io::Result<()> {
        let head = std::mem::take(&mut self.head);
        self.writer.write_all(format!("{head}{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes())?;
        self.writer.flush()
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
