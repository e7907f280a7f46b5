//! Tests of the HTTP server that the stand-ins are built on.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use savoryport_standin::http::{HttpServer, respond_json};

/// The number of connections that are opened at the same time, and how often.
const CONNECTIONS: usize = 8;
const BURSTS: usize = 100;

/// How long a connection may wait for its response. The server has nothing else to do.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a request and returns the connection, still open, once the response begins.
fn request(address: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: standin\r\n\r\n")?;
    stream.read_exact(&mut [0; 12])?;
    Ok(stream)
}

#[test]
fn a_connection_of_a_burst_waits_for_no_other_one() {
    for burst in 0..BURSTS {
        let server = HttpServer::start("127.0.0.1:0", |req| respond_json(req, 200, &"ready"));
        let barrier = Barrier::new(CONNECTIONS);
        let connections: Vec<_> = thread::scope(|scope| {
            let open = || {
                barrier.wait();
                request(server.address())
            };
            let threads: Vec<_> = (0..CONNECTIONS).map(|_| scope.spawn(open)).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let unanswered = connections.iter().filter(|connection| connection.is_err()).count();
        assert_eq!(unanswered, 0, "of {CONNECTIONS} connections in burst {burst}");
    }
}
