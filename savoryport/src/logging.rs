//! Structured logging: text on standard error for the daemons, JSON on standard output for nodes.
//!
//! Decisions and state changes are logged. Frequent events are only counted in metrics.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, SystemTime};

use env_logger::{Env, Target};
use log::kv::{Key, Value, VisitSource};

/// Writes the key-value pairs of a record after its message.
struct KeyValueWriter<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for KeyValueWriter<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(log::kv::Error::from)
    }
}

/// Starts logging text to standard error. The environment variable `SAVORYPORT_LOG` overrides the
/// level.
pub fn start(program: &'static str, level: &str) {
    // Libraries are off by default: they log every call, while this project's crates only log
    // decisions and state changes.
    let env = Env::new().filter_or("SAVORYPORT_LOG", format!("off,savoryport={level}"));
    let _ = env_logger::Builder::from_env(env)
        .format(move |buf, record| {
            let time = buf.timestamp_millis();
            write!(buf, "{time} {} {program} {}", record.level(), record.args())?;
            let _ = record.key_values().visit(&mut KeyValueWriter(buf));
            writeln!(buf)
        })
        .try_init();
}

/// The maximum number of lines queued for a slow reader. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// The maximum number of lines per second with the same message, so that a flood of requests cannot
/// displace other lines.
const MAX_LINES_PER_SECOND: u32 = 500;

/// The queue of the thread that writes the log, set by [`start_json`].
static WRITER: OnceLock<SyncSender<WriterCommand>> = OnceLock::new();

/// The number of lines dropped since the last one that was written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// A message to the thread that writes the log.
enum WriterCommand {
    WriteLine(Vec<u8>),
    /// Acknowledged through the channel once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Sends whole lines to the thread that writes the log, without waiting for it.
struct LineQueue;

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let sent = WRITER
            .get()
            .is_some_and(|tx| tx.try_send(WriterCommand::WriteLine(buf.to_vec())).is_ok());
        if !sent {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Collects the key-value pairs of a record as JSON.
struct JsonFields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Limits the number of lines per second with the same message.
#[derive(Default)]
struct LineRateLimiter {
    /// The second in which lines are being counted, since the Unix epoch.
    second: u64,
    /// The number of lines in that second, by message.
    counts: HashMap<String, u32>,
}

impl LineRateLimiter {
    /// Counts a line and returns whether it may be written.
    fn try_take(&mut self, message: &str, second: u64) -> bool {
        if self.second != second {
            self.second = second;
            self.counts.clear();
        }
        let count = self.counts.entry(message.to_owned()).or_default();
        *count += 1;
        *count <= MAX_LINES_PER_SECOND
    }
}

/// Starts logging one JSON object per line to standard output. The environment variable
/// `SAVORYPORT_LOG` overrides the level.
///
/// A separate thread writes the lines, so that a stalled reader does not block the other threads.
pub fn start_json(level: &str) {
    let (tx, rx) = std::sync::mpsc::sync_channel(MAX_QUEUED_LINES);
    if WRITER.set(tx).is_err() {
        return;
    }
    std::thread::spawn(move || write_lines(&rx));
    let env = Env::new().filter_or("SAVORYPORT_LOG", format!("off,savoryport={level}"));
    let rate_limiter = Mutex::new(LineRateLimiter::default());
    let _ = env_logger::Builder::from_env(env)
        .target(Target::Pipe(Box::new(LineQueue)))
        .format(move |buf, record| {
            let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            let message = record.args().to_string();
            let is_warning_or_error = record.level() <= log::Level::Warn;
            let mut rate_limiter =
                rate_limiter.lock().expect("no thread panics while holding the lock");
            if !is_warning_or_error && !rate_limiter.try_take(&message, time.as_secs()) {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
            drop(rate_limiter);
            let mut fields = JsonFields(serde_json::Map::new());
            fields.0.insert("time_ms".to_owned(), (time.as_millis() as u64).into());
            fields.0.insert("level".to_owned(), record.level().as_str().into());
            fields.0.insert("event".to_owned(), message.into());
            let _ = record.key_values().visit(&mut fields);
            let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                fields.0.insert("lines_dropped".to_owned(), dropped.into());
            }
            writeln!(buf, "{}", serde_json::Value::Object(fields.0))
        })
        .try_init();
}

/// Waits until the lines logged so far are written, or a short timeout has passed.
pub fn flush() {
    /// Limits the wait for a stalled reader.
    const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
    let (flushed_tx, flushed_rx) = std::sync::mpsc::sync_channel(1);
    if WRITER.get().is_some_and(|tx| tx.try_send(WriterCommand::Flush(flushed_tx)).is_ok()) {
        let _ = flushed_rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_lines(rx: &Receiver<WriterCommand>) {
    let mut out = io::stdout();
    while let Ok(command) = rx.recv() {
        match command {
            WriterCommand::WriteLine(line) => {
                let _ = out.write_all(&line);
                let _ = out.flush();
            }
            WriterCommand::Flush(flushed_tx) => {
                let _ = flushed_tx.try_send(());
            }
        }
    }
}
