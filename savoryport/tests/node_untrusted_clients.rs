//! Clients and servers that take a node's memory or descriptors, tested with real node processes.
//!
//! The settings are lowered so that a small crowd does what a large one does to a VM. The bounds are
//! these settings. The tests run one at a time, since each of them is heavy on the machine.

mod node_site;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use node_site::{NodeSite, RequestKind, post};
use savoryport_standin::backend::BackendFault;
use serde_json::json;

/// The setting `memory_mb`, which bounds the largest resident set.
const MEMORY_MB: u64 = 64;

/// The setting `file_descriptors`, which bounds the open descriptors. Half of them are for callers.
const DESCRIPTORS: usize = 512;

/// The largest body of a request in the configuration.
const MAX_BODY: usize = 1024 * 1024;

/// The number of clients at once; fewer than callers may have connections.
const CLIENTS: usize = 200;

/// The number of clients that want more connections than callers may have.
const TOO_MANY_CLIENTS: usize = 400;

/// The time for which a client goes on sending while the node does not read.
const SEND_TIME: Duration = Duration::from_secs(6);

/// The time for which the clients hold their connections before an ordinary request. The node has
/// then read what the kernel had buffered of theirs.
const HOLD_TIME: Duration = Duration::from_secs(3);

/// How often an ordinary caller sends its request until it is served.
const TRIES: usize = 20;

/// The time after which a blocked read or write is tried again.
const RETRY: Duration = Duration::from_millis(100);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A site with one node, and the permission to run.
struct Site {
    site: NodeSite,
    /// The most descriptors seen.
    descriptors: AtomicUsize,
    _turn: MutexGuard<'static, ()>,
}

/// A client's connection.
struct Client {
    stream: TcpStream,
    give_up_at: Instant,
}

impl Client {
    fn connect(address: &str) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(RETRY)).ok()?;
        stream.set_read_timeout(Some(RETRY)).ok()?;
        Some(Self { stream, give_up_at: Instant::now() + SEND_TIME })
    }

    /// Sends bytes until the node closes the connection or reads nothing more in time; returns
    /// whether it took all of them.
    fn send(&mut self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() && Instant::now() < self.give_up_at {
            match self.stream.write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(err) if is_blocked(&err) => {}
                Err(_) => return false,
            }
        }
        bytes.is_empty()
    }

    /// Sends the head of a request with these header lines.
    fn send_head(&mut self, path: &str, headers: &str) -> bool {
        let head = format!("POST {path} HTTP/1.1\r\nHost: site.example\r\n{headers}\r\n");
        self.send(head.as_bytes())
    }

    /// Waits until some bytes or the end of the connection arrive.
    fn receive(&mut self) {
        while Instant::now() < self.give_up_at {
            match self.stream.read(&mut [0; 64]) {
                Err(err) if is_blocked(&err) => {}
                _ => return,
            }
        }
    }
}

fn is_blocked(err: &std::io::Error) -> bool {
    matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// Header lines of a request with its own id.
fn id_header(number: usize) -> String {
    format!("X-Attempt-Id: crowd-{number}\r\n")
}

fn length_headers(number: usize, length: usize) -> String {
    format!("{}Content-Length: {length}\r\n", id_header(number))
}

fn chunked_headers(number: usize) -> String {
    format!("{}Transfer-Encoding: chunked\r\n", id_header(number))
}

impl Site {
    /// Starts a node with lowered limits, and plain services with these names.
    fn start(plain_services: &[&'static str]) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let settings = json!({ "memory_mb": MEMORY_MB, "file_descriptors": DESCRIPTORS });
        let mut site = NodeSite::start_with_settings(&["east-a"], 1, settings);
        site.max_body_bytes = MAX_BODY;
        // No request ends by its timeout before the checks.
        site.route_timeout_ms = 60_000.0;
        site.plain_services = plain_services.to_vec();
        site.write_config();
        let in_force = format!("\"config\":{}", site.config_version);
        site.wait_until("the configuration is in force", |site| {
            site.nodes[0].status().contains(&in_force)
        });
        Self { site, descriptors: AtomicUsize::new(0), _turn: turn }
    }

    /// Starts servers with a fault for a service, and waits until they are known.
    fn add_faulty_servers(&mut self, service: &'static str, fault: BackendFault) {
        let ids: Vec<String> = (0..3).map(|number| format!("{service}-{number}")).collect();
        for id in &ids {
            self.site.add_server(id, service, &[]);
            self.site.server(id).set_fault(fault);
        }
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        self.site.wait_for_servers(&ids);
    }

    /// Runs this many clients at once, and returns their connections, which are still open.
    fn crowd(
        &self,
        address: &str,
        clients: usize,
        behave: impl Fn(usize, &mut Client) + Sync,
    ) -> Vec<Client> {
        thread::scope(|scope| {
            let behave = &behave;
            let clients: Vec<_> = (0..clients)
                .map(|number| {
                    scope.spawn(move || {
                        let mut client = Client::connect(address)?;
                        behave(number, &mut client);
                        Some(client)
                    })
                })
                .collect();
            while clients.iter().any(|client| !client.is_finished()) {
                self.count_descriptors();
                thread::sleep(Duration::from_millis(20));
            }
            self.count_descriptors();
            clients.into_iter().filter_map(|client| client.join().expect("it ends")).collect()
        })
    }

    fn count_descriptors(&self) {
        self.descriptors.fetch_max(self.site.nodes[0].open_descriptors(), Ordering::Relaxed);
    }

    /// Checks that ordinary requests are served, and that memory and descriptors stayed within the
    /// settings.
    fn check(&self, what: &str) {
        let hold_until = Instant::now() + HOLD_TIME;
        while Instant::now() < hold_until {
            self.count_descriptors();
            thread::sleep(RETRY);
        }
        let mut tries = Vec::new();
        for kind in [RequestKind::NonIdempotent, RequestKind::Idempotent] {
            let is_served = |number: &usize| {
                self.count_descriptors();
                let response = self.site.send(0, &format!("{kind:?}-{number}"), kind);
                if response.status != 200 {
                    thread::sleep(RETRY);
                }
                response.status == 200
            };
            tries.push((1..=TRIES).find(is_served));
        }
        let peak = self.site.nodes[0].peak_memory_mb();
        let descriptors = self.descriptors.load(Ordering::Relaxed);
        let figures = format!(
            "peak {peak} MB, at most {descriptors} descriptors, served at tries {tries:?} beside {what}"
        );
        eprintln!("{figures}");
        let is_served = tries.iter().all(Option::is_some);
        assert!(peak < MEMORY_MB && descriptors < DESCRIPTORS && is_served, "{figures}");
    }

    fn callers(&self) -> String {
        self.site.nodes[0].callers.clone()
    }
}

/// Guards against a node that holds every body of legal size at once.
#[test]
fn whole_large_bodies_do_not_fill_the_memory() {
    let site = Site::start(&[]);
    let body = vec![b'x'; MAX_BODY];
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        if client.send_head("/lookup/x", &length_headers(number, MAX_BODY)) && client.send(&body) {
            client.receive();
        }
    });
    site.check("whole large bodies");
}

/// Guards against bodies that never end and hold their memory.
#[test]
fn bodies_that_stop_short_of_their_end_do_not_fill_the_memory() {
    let site = Site::start(&[]);
    let body = vec![b'x'; MAX_BODY - 1];
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        client.send_head("/lookup/x", &length_headers(number, MAX_BODY));
        let _ = body.chunks(16 * 1024).all(|piece| client.send(piece));
    });
    site.check("bodies in pieces that stop short");
}

/// Guards against chunked bodies, which announce no length, that hold their memory.
#[test]
fn large_chunks_that_stop_short_do_not_fill_the_memory() {
    const CHUNK: usize = 128 * 1024;
    let site = Site::start(&[]);
    let mut chunk = format!("{CHUNK:x}\r\n").into_bytes();
    chunk.extend(vec![b'x'; CHUNK]);
    chunk.extend(b"\r\n");
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        client.send_head("/lookup/x", &chunked_headers(number));
        let _ = (0..MAX_BODY / CHUNK).all(|_| client.send(&chunk));
    });
    site.check("large chunks that stop short");
}

/// Guards against memory for each chunk, of which a short body may have many.
#[test]
fn chunks_of_one_byte_do_not_fill_the_memory() {
    const CHUNKS: usize = 64 * 1024;
    let site = Site::start(&[]);
    let chunks = b"1\r\nx\r\n".repeat(CHUNKS);
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        client.send_head("/lookup/x", &chunked_headers(number));
        client.send(&chunks);
    });
    site.check("chunks of one byte");
}

/// Guards against reading a body that is announced to be far too long.
#[test]
fn announced_bodies_far_over_the_limit_do_not_fill_the_memory() {
    let site = Site::start(&[]);
    let piece = vec![b'x'; 64 * 1024];
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        client.send_head("/lookup/x", &length_headers(number, MAX_BODY * 1024));
        let _ = (0..128).all(|_| client.send(&piece));
    });
    site.check("announced bodies far over the limit");
}

/// Guards against bodies without a length that go on past the limit.
#[test]
fn sent_bodies_far_over_the_limit_do_not_fill_the_memory() {
    let site = Site::start(&[]);
    let mut chunk = b"10000\r\n".to_vec();
    chunk.extend(vec![b'x'; 64 * 1024]);
    chunk.extend(b"\r\n");
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        client.send_head("/lookup/x", &chunked_headers(number));
        let _ = (0..128).all(|_| client.send(&chunk));
    });
    site.check("sent bodies far over the limit");
}

/// Guards against clients that take all connections with heads that never end, and reconnect as soon
/// as they are turned away.
#[test]
fn heads_byte_by_byte_leave_connections_to_others() {
    let site = Site::start(&[]);
    let is_done = AtomicBool::new(false);
    let address = site.callers();
    thread::scope(|scope| {
        for _ in 0..TOO_MANY_CLIENTS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let Some(mut client) = Client::connect(&address) else { continue };
                    let head = b"POST /lookup/x HTTP/1.1\r\nHost: site.example\r\nX-Filler: ";
                    let head = head.iter().chain(std::iter::repeat(&b'x'));
                    for byte in head {
                        if is_done.load(Ordering::Relaxed) || client.stream.write(&[*byte]).is_err()
                        {
                            break;
                        }
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            site.check("heads byte by byte");
        }));
        is_done.store(true, Ordering::Relaxed);
        if let Err(panic) = checked {
            std::panic::resume_unwind(panic);
        }
    });
}

/// Guards against the memory of heads, which are read before anything is known of the request.
#[test]
fn long_heads_that_stay_open_do_not_fill_the_memory() {
    let site = Site::start(&[]);
    let filler = vec![b'x'; 15 * 1024];
    let _clients = site.crowd(&site.callers(), TOO_MANY_CLIENTS, |_, client| {
        client.send(b"POST /lookup/x HTTP/1.1\r\nHost: site.example\r\nX-Filler: ");
        client.send(&filler);
    });
    site.check("long heads that stay open");
}

/// Guards against answers that are held for callers that do not read them.
#[test]
fn callers_that_read_nothing_do_not_fill_the_memory() {
    let mut site = Site::start(&["long"]);
    // The answer ends with its connection.
    site.add_faulty_servers("long", BackendFault::StalledBody { bytes: 4 * MAX_BODY });
    for server in site.site.servers.iter().filter(|server| server.id().starts_with("engine")) {
        server.set_fault(BackendFault::EndlessEvent);
    }
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        if number % 2 == 0 {
            client.send_head("/long-lookup/x", &length_headers(number, 0));
        } else {
            let model = "X-Model: m0\r\nX-Token-Counts: 100,8\r\n";
            let headers = format!("{model}{}", length_headers(number, 0));
            client.send_head("/draft-once/x", &headers);
        }
        // The time that the answers take to arrive at the node.
        thread::sleep(SEND_TIME);
    });
    site.check("callers that read nothing");
}

/// Guards against the memory of requests that a server does not read.
#[test]
fn servers_that_do_not_read_do_not_fill_the_memory() {
    let site = Site::start(&["deaf"]);
    let listeners: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    for (number, listener) in listeners.iter().enumerate() {
        let address = listener.local_addr().expect("a bound socket").to_string();
        let entry = json!({
            "service": "deaf", "address": address, "zone": "east-a", "version": "v1",
            "slots": 64, "state": "ready", "born": 9_000 + number, "models": [], "sequence": 1,
        });
        site.site.store.write(&format!("servers/deaf-{number}"), &entry);
        let listener = listener.try_clone().expect("a descriptor");
        // Reads one byte a second from each connection.
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                thread::spawn(move || {
                    let mut stream = stream;
                    while matches!(stream.read(&mut [0]), Ok(1)) {
                        thread::sleep(Duration::from_secs(1));
                    }
                });
            }
        });
    }
    site.site.wait_for_servers(&["deaf-0", "deaf-1", "deaf-2"]);
    let body = vec![b'x'; MAX_BODY];
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        client.send_head("/deaf-lookup/x", &length_headers(number, MAX_BODY));
        client.send(&body);
    });
    site.check("servers that do not read");
}

/// Guards against answers without end.
#[test]
fn servers_that_send_without_end_do_not_fill_the_memory() {
    let mut site = Site::start(&["endless"]);
    site.add_faulty_servers("endless", BackendFault::EndlessBody);
    let _clients = site.crowd(&site.callers(), CLIENTS, |number, client| {
        client.send_head("/endless-lookup/x", &length_headers(number, 0));
        client.receive();
    });
    site.check("servers that send without end");
}

/// Guards against listeners without a limit on connections, which take the descriptors of callers.
#[test]
fn half_requests_to_the_other_listeners_leave_descriptors_to_callers() {
    let site = Site::start(&[]);
    let node = &site.site.nodes[0];
    let half_request: &[u8] = b"GET /savoryport/readiness HTTP/1.1\r\nHost: site.exa";
    // Half of a message of the calls between nodes, after its length.
    let mut half_message = (512 * 1024_u32).to_be_bytes().to_vec();
    half_message.extend(vec![0; 256 * 1024]);
    let listeners = [
        (node.directory.clone(), half_request),
        (node.readiness_address(), half_request),
        (node.metrics_address(), half_request),
        (node.peers_address(), &half_message),
    ];
    let clients: Vec<_> = listeners
        .iter()
        .map(|(address, bytes)| {
            site.crowd(address, TOO_MANY_CLIENTS / 2, |_, client| {
                client.send(bytes);
            })
        })
        .collect();
    site.check("half requests to the other listeners");
    site.site.wait_until("the listeners answer", |site| {
        let node = &site.nodes[0];
        node.is_ready() && node.addresses().len() == 1 && node.status() != "no status"
    });
    drop(clients);
}

/// Guards against waiting for the rest of a body that is too long, by its length or by what was sent.
#[test]
fn bodies_over_the_limit_are_refused_before_their_end() {
    let site = Site::start(&[]);
    let mut chunk = format!("{:x}\r\n", MAX_BODY + 1).into_bytes();
    chunk.extend(vec![b'x'; MAX_BODY + 1]);
    for (headers, sent) in
        [(length_headers(1, MAX_BODY + 1), &[][..]), (chunked_headers(2), &chunk)]
    {
        let mut client = Client::connect(&site.callers()).expect("the node accepts");
        assert!(client.send_head("/lookup/x", &headers));
        assert!(client.send(sent));
        let mut status = [0; 12];
        client.stream.set_read_timeout(Some(SEND_TIME)).expect("a positive timeout");
        client.stream.read_exact(&mut status).expect("an answer");
        assert_eq!(&status, b"HTTP/1.1 413");
    }
}

/// Guards against answers of a known length that are sent in chunks.
#[test]
fn refusals_have_a_length() {
    let site = Site::start(&[]);
    let mut client = Client::connect(&site.callers()).expect("the node accepts");
    client.send(b"GET /nowhere HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n");
    client.stream.set_read_timeout(Some(SEND_TIME)).expect("a positive timeout");
    let mut answer = String::new();
    client.stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.contains("content-length: 20") && answer.ends_with("{\"error\":\"no-route\"}"));
}

/// Guards against limits that a caller within the documented limits meets: the largest body, at the
/// smallest VM.
#[test]
fn a_small_idle_node_serves_the_largest_body() {
    const LARGEST: usize = 4 * 1024 * 1024;
    let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let settings = json!({ "memory_mb": 112, "file_descriptors": 2_870 });
    let mut site = NodeSite::start_with_settings(&["east-a"], 1, settings);
    site.max_body_bytes = LARGEST;
    site.write_config();
    let in_force = format!("\"config\":{}", site.config_version);
    site.wait_until("the configuration is in force", |site| {
        site.nodes[0].status().contains(&in_force)
    });
    let body = "x".repeat(LARGEST);
    assert_eq!(post(&site.nodes[0].callers, "large", "/lookup/large", &body).status, 200);
    let mut client = Client::connect(&site.nodes[0].callers).expect("the node accepts");
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    assert!(client.send_head("/lookup/chunked", &chunked_headers(1)));
    assert!(client.send(chunk.as_bytes()));
    let mut status = [0; 12];
    client.stream.set_read_timeout(Some(SEND_TIME)).expect("a positive timeout");
    client.stream.read_exact(&mut status).expect("an answer");
    assert_eq!(&status, b"HTTP/1.1 200");
    drop(turn);
}
