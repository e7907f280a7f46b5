//! A TCP proxy that injects network faults.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

/// The interval at which a paused connection checks whether it may continue.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The interval at which the listener is asked for a new connection.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The length of a listener's queue.
const LISTENER_QUEUE: i32 = 128;

/// The time after which the queue of a listener counts as full.
const FILL_TIMEOUT: Duration = Duration::from_millis(40);

/// The most connections that fill the queue of a listener.
const MAX_FILLERS: usize = 8;

/// Faults that can be changed while the proxy runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Whether new connections are closed immediately.
    pub refuse: bool,
    /// Whether the listener is closed, so that new connections are refused.
    pub close_listener: bool,
    /// Whether new connections hang: the queue of the listener is full.
    pub hang_connects: bool,
    /// Whether forwarding is paused, on existing and new connections.
    pub pause: bool,
    /// The additional delay of each chunk read from a connection.
    pub delay: Duration,
    /// The bandwidth limit per direction of a connection, in bytes per second; 0 means no limit.
    pub bytes_per_second: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    open_streams: Vec<TcpStream>,
    /// Connections with a lower number no longer forward anything.
    blackholed_before: u64,
    accepted_connections: u64,
    forwarded_bytes: u64,
}

type Shared = Arc<Mutex<State>>;

/// A running proxy.
pub struct Proxy {
    address: String,
    state: Shared,
}

impl Proxy {
    /// Forwards connections to `target`.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen on the address.
    pub fn start(address: &str, target: &str) -> Self {
        let listener = TcpListener::bind(address).unwrap_or_else(|err| panic!("{address}: {err}"));
        let address = listener.local_addr().expect("a bound listener has an address").to_string();
        let state = Shared::default();
        let acceptor = Acceptor {
            state: Arc::downgrade(&state),
            address: address.clone(),
            target: target.to_owned(),
        };
        thread::spawn(move || acceptor.run(listener));
        Self { address, state }
    }

    /// Returns the IP address and port that the proxy listens on.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Calls `change` to modify the current faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Closes every open connection.
    pub fn close_connections(&self) {
        for stream in self.lock().open_streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Permanently stops forwarding on the connections that are open now, without closing them.
    pub fn blackhole_open_connections(&self) {
        let mut state = self.lock();
        state.blackholed_before = state.accepted_connections;
    }

    /// Returns the number of bytes forwarded so far, in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.lock().forwarded_bytes
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

/// Accepts connections while the proxy exists.
struct Acceptor {
    state: Weak<Mutex<State>>,
    address: String,
    target: String,
}

impl Acceptor {
    fn run(self, listener: TcpListener) {
        let mut listener = Some(listener);
        // Connections that fill the queue of the listener.
        let mut fillers = Vec::new();
        while let Some(state) = self.state.upgrade() {
            let faults = state.lock().expect("no thread panics while holding the lock").faults;
            if faults.close_listener {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(&self.address).ok();
            }
            match &listener {
                Some(open) if faults.hang_connects && fillers.is_empty() => {
                    fillers = self.fill_queue(open);
                }
                Some(open) if !faults.hang_connects => {
                    if !fillers.is_empty() {
                        fillers.clear();
                        let _ = rustix::net::listen(open, LISTENER_QUEUE);
                    }
                    let _ = open.set_nonblocking(true);
                    if let Ok((stream, _)) = open.accept() {
                        let _ = stream.set_nonblocking(false);
                        accept(&state, stream, &self.target);
                        continue;
                    }
                }
                Some(_) | None => {}
            }
            drop(state);
            thread::sleep(ACCEPT_POLL_INTERVAL);
        }
    }

    /// Makes the queue of the listener as short as it gets, and fills it.
    fn fill_queue(&self, listener: &TcpListener) -> Vec<TcpStream> {
        let _ = rustix::net::listen(listener, 0);
        let address = self.address.parse().expect("the address of a bound socket");
        let connect = || TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok();
        std::iter::from_fn(connect).take(MAX_FILLERS).collect()
    }
}

fn accept(shared: &Shared, stream: TcpStream, target: &str) {
    let mut state = shared.lock().expect("no thread panics while holding the lock");
    if state.faults.refuse {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target) else { return };
    let connection = state.accepted_connections;
    state.accepted_connections += 1;
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let directions = [(&stream, &upstream), (&upstream, &stream)];
    for (from, to) in directions {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let shared = shared.clone();
        thread::spawn(move || forward(&shared, connection, from, to));
    }
    state.open_streams.extend([stream, upstream]);
}

fn forward(shared: &Shared, connection: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 * 1024];
    loop {
        let len = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(len) => len,
        };
        if !wait_to_forward(shared, connection, len) || to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    if !is_blackholed(shared, connection) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

/// Waits until a chunk of `len` bytes may be forwarded. Returns false if the connection is
/// blackholed.
fn wait_to_forward(shared: &Shared, connection: u64, len: usize) -> bool {
    loop {
        if is_blackholed(shared, connection) {
            return false;
        }
        let mut state = shared.lock().expect("no thread panics while holding the lock");
        let faults = state.faults;
        if !faults.pause {
            state.forwarded_bytes += len as u64;
            drop(state);
            thread::sleep(faults.delay + transfer_time(len, faults.bytes_per_second));
            return true;
        }
        drop(state);
        thread::sleep(PAUSE_POLL_INTERVAL);
    }
}

fn is_blackholed(shared: &Shared, connection: u64) -> bool {
    connection < shared.lock().expect("no thread panics while holding the lock").blackholed_before
}

fn transfer_time(len: usize, bytes_per_second: u64) -> Duration {
    if bytes_per_second == 0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(len as f64 / bytes_per_second as f64)
}
