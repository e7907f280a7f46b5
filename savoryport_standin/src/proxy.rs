//! A TCP proxy that fails on command.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a held-back connection looks whether it may go on.
const POLL: Duration = Duration::from_millis(5);

/// What happens to connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// New connections are closed at once.
    pub refuse: bool,
    /// Bytes are held back, on connections old and new, until the fault ends.
    pub pause: bool,
    /// Each piece takes this much longer.
    pub delay: Duration,
    /// Bytes a second in each direction; 0 is no limit.
    pub bytes_per_second: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    open: Vec<TcpStream>,
    /// Connections made before this number are silent for good.
    silent_before: u64,
    made: u64,
    bytes: u64,
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
    /// Panics where the address cannot be listened on.
    pub fn start(address: &str, target: &str) -> Self {
        let listener = TcpListener::bind(address).unwrap_or_else(|err| panic!("{address}: {err}"));
        let address = listener.local_addr().expect("a bound listener").to_string();
        let state = Shared::default();
        let (accepting, target) = (state.clone(), target.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accept(&accepting, stream, &target);
            }
        });
        Self { address, state }
    }

    /// Returns the IP address and port.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Closes every open connection.
    pub fn close_connections(&self) {
        for stream in self.lock().open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets the connections that are open now go silent for good, without closing them.
    pub fn blackhole_open_connections(&self) {
        let mut state = self.lock();
        state.silent_before = state.made;
    }

    /// Returns the bytes forwarded so far, both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.lock().bytes
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

fn accept(shared: &Shared, stream: TcpStream, target: &str) {
    let mut state = shared.lock().expect("no thread panics while holding the lock");
    if state.faults.refuse {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target) else { return };
    let number = state.made;
    state.made += 1;
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let pairs = [(&stream, &upstream), (&upstream, &stream)];
    for (from, to) in pairs {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let shared = shared.clone();
        thread::spawn(move || forward(&shared, number, from, to));
    }
    state.open.extend([stream, upstream]);
}

fn forward(shared: &Shared, number: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 * 1024];
    loop {
        let len = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(len) => len,
        };
        if !pass(shared, number, len) || to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    if !is_silent(shared, number) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

/// Waits until a piece may pass; returns false where the connection is silent for good.
fn pass(shared: &Shared, number: u64, len: usize) -> bool {
    loop {
        if is_silent(shared, number) {
            return false;
        }
        let mut state = shared.lock().expect("no thread panics while holding the lock");
        let faults = state.faults;
        if !faults.pause {
            state.bytes += len as u64;
            drop(state);
            thread::sleep(faults.delay + transfer_time(len, faults.bytes_per_second));
            return true;
        }
        drop(state);
        thread::sleep(POLL);
    }
}

fn is_silent(shared: &Shared, number: u64) -> bool {
    number < shared.lock().expect("no thread panics while holding the lock").silent_before
}

fn transfer_time(len: usize, bytes_per_second: u64) -> Duration {
    if bytes_per_second == 0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(len as f64 / bytes_per_second as f64)
}
