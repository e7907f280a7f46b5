//! Structured logs: text on standard error for the daemons, JSON on standard output for nodes.
//!
//! Lines are written for decisions and changes of state; what happens often is counted instead.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, SystemTime};

use env_logger::{Env, Target};
use log::kv::{Key, Value, VisitSource};

/// Writes the key-values of a record after its message.
struct Pairs<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for Pairs<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(log::kv::Error::from)
    }
}

/// Starts logging for a program; `SAVORYPORT_LOG` sets the levels.
pub fn start(program: &'static str, level: &str) {
    // Libraries log each call that they make; only what this project says is a change of state.
    let env = Env::new().filter_or("SAVORYPORT_LOG", format!("off,savoryport={level}"));
    let _ = env_logger::Builder::from_env(env)
        .format(move |buf, record| {
            let time = buf.timestamp_millis();
            write!(buf, "{time} {} {program} {}", record.level(), record.args())?;
            let _ = record.key_values().visit(&mut Pairs(buf));
            writeln!(buf)
        })
        .try_init();
}

/// Lines that wait for a slow reader at most; more are counted and dropped.
const MAX_WAITING_LINES: usize = 4_096;

/// Lines of one message a second at most, so that a flood of requests cannot drown what matters.
const MAX_LINES_A_SECOND: u32 = 500;

/// Where the lines go that the log's thread writes.
static LINES: OnceLock<SyncSender<Line>> = OnceLock::new();

/// Lines that were dropped since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

enum Line {
    Text(Vec<u8>),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Hands whole lines to the log's thread, and never waits for it.
struct LineQueue;

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let sent = LINES.get().is_some_and(|tx| tx.try_send(Line::Text(buf.to_vec())).is_ok());
        if !sent {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Collects the key-values of a record as JSON.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Counts the lines of each message in the present second.
#[derive(Default)]
struct LineBudget {
    second: u64,
    counts: HashMap<String, u32>,
}

impl LineBudget {
    /// Returns whether one more line of this message may be written.
    fn take(&mut self, message: &str, second: u64) -> bool {
        if self.second != second {
            self.second = second;
            self.counts.clear();
        }
        let count = self.counts.entry(message.to_owned()).or_default();
        *count += 1;
        *count <= MAX_LINES_A_SECOND
    }
}

/// Starts logging of one JSON object a line to standard output; `SAVORYPORT_LOG` sets the levels.
///
/// A thread of its own writes, so that a reader that stalls delays nothing.
pub fn start_json(level: &str) {
    let (tx, rx) = std::sync::mpsc::sync_channel(MAX_WAITING_LINES);
    if LINES.set(tx).is_err() {
        return;
    }
    std::thread::spawn(move || write_lines(&rx));
    let env = Env::new().filter_or("SAVORYPORT_LOG", format!("off,savoryport={level}"));
    let budget = Mutex::new(LineBudget::default());
    let _ = env_logger::Builder::from_env(env)
        .target(Target::Pipe(Box::new(LineQueue)))
        .format(move |buf, record| {
            let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            let message = record.args().to_string();
            let is_failure = record.level() <= log::Level::Warn;
            let mut budget = budget.lock().expect("no holder panics");
            if !is_failure && !budget.take(&message, time.as_secs()) {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
            drop(budget);
            let mut fields = Fields(serde_json::Map::new());
            fields.0.insert("time_ms".to_owned(), (time.as_millis() as u64).into());
            fields.0.insert("level".to_owned(), record.level().as_str().into());
            fields.0.insert("event".to_owned(), message.into());
            let _ = record.key_values().visit(&mut fields);
            let dropped = DROPPED.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                fields.0.insert("lines_dropped".to_owned(), dropped.into());
            }
            writeln!(buf, "{}", serde_json::Value::Object(fields.0))
        })
        .try_init();
}

/// Waits a moment until the lines so far are written.
pub fn flush() {
    /// The longest wait for a reader that stalls.
    const PATIENCE: Duration = Duration::from_millis(200);
    let (done, written) = std::sync::mpsc::sync_channel(1);
    if LINES.get().is_some_and(|tx| tx.try_send(Line::Flush(done)).is_ok()) {
        let _ = written.recv_timeout(PATIENCE);
    }
}

fn write_lines(rx: &Receiver<Line>) {
    let mut out = io::stdout();
    while let Ok(line) = rx.recv() {
        match line {
            Line::Text(text) => {
                let _ = out.write_all(&text);
                let _ = out.flush();
            }
            Line::Flush(done) => {
                let _ = done.try_send(());
            }
        }
    }
}
