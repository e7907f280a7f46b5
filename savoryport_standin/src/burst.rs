//! A stand-in for clients that connect to an HTTP server at the same moment and keep their
//! connections open.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

/// How long a client waits for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of clients.
const CLIENTS: usize = 8;

/// Lets several clients send a GET request at the same time, and returns how many of them do not
/// get a response with status 200 within a second.
pub fn count_unanswered(address: &str, path: &str) -> usize {
    let barrier = Barrier::new(CLIENTS);
    let connect = || {
        barrier.wait();
        request(address, path)
    };
    // All connections stay open until the last response.
    let connections: Vec<io::Result<TcpStream>> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(connect)).collect();
        clients.into_iter().map(|client| client.join().expect("no client panics")).collect()
    });
    connections.iter().filter(|connection| connection.is_err()).count()
}

/// Sends a request and returns the connection once the response begins.
fn request(address: &str, path: &str) -> io::Result<TcpStream> {
    const OK: &[u8] = b"HTTP/1.1 200";
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: standin\r\n\r\n").as_bytes())?;
    let mut buf = [0; OK.len()];
    stream.read_exact(&mut buf)?;
    if buf == OK { Ok(stream) } else { Err(io::ErrorKind::InvalidData.into()) }
}
