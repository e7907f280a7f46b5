//! Tests of the HTTP server for metrics, status and commands.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use prometheus_client::registry::Registry;
use savoryport::metrics_server::serve_metrics;
use savoryport_standin::fleet::free_address;
use serde_json::json;
use tokio_util::sync::CancellationToken;

/// The number of connections that are opened at the same time, and how often.
const CONNECTIONS: usize = 8;
const BURSTS: usize = 20;

/// How long a connection may wait for its response. The server has nothing else to do.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks for the status and returns the connection, still open, once the response begins.
fn request(address: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(b"GET /status HTTP/1.1\r\nhost: operator\r\n\r\n")?;
    let mut buf = [0; 15];
    stream.read_exact(&mut buf)?;
    assert_eq!(&buf, b"HTTP/1.1 200 OK");
    Ok(stream)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_gets_the_status_while_others_keep_their_connections() {
    for burst in 0..BURSTS {
        let address = free_address();
        let cancel = CancellationToken::new();
        serve_metrics(&address, Registry::default(), || json!({}), cancel.clone()).unwrap();
        let barrier = Barrier::new(CONNECTIONS);
        let open = || {
            barrier.wait();
            request(&address)
        };
        let connections: Vec<_> = thread::scope(|scope| {
            let threads: Vec<_> = (0..CONNECTIONS).map(|_| scope.spawn(open)).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let unanswered = connections.iter().filter(|connection| connection.is_err()).count();
        assert_eq!(unanswered, 0, "of {CONNECTIONS} connections in burst {burst}");
        cancel.cancel();
    }
}
