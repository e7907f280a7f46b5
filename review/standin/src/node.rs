//! The project's node as a process, started with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

/// Where the processes of a run live.
pub struct Place {
    /// The program of the deploy file.
    pub program: PathBuf,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
}

/// A running node; dropping it ends the process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    pub process: Child,
    pub log: PathBuf,
    program: PathBuf,
    file: PathBuf,
}

fn spawn(program: &Path, settings: &Path, out: fs::File) -> std::io::Result<Child> {
    Command::new(program)
        .env("SAVORYPORT_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
}

/// Returns an address with a port that nobody listens on. It lies below the ports that the system
/// gives to connections, one of which could take it before the node does.
fn free_address() -> std::io::Result<SocketAddr> {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 18_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..COUNT {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (std::process::id().wrapping_mul(61).wrapping_add(number)) % COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr();
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

impl Node {
    /// Starts a node with the settings of a small deployment's machine.
    pub fn start(
        place: &Place,
        name: &str,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let (callers, readiness, directory) = (free_address()?, free_address()?, free_address()?);
        let (peers, metrics) = (free_address()?.port(), free_address()?.port());
        let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\":\"south\"")).collect();
        let zones = zones.join(",");
        let settings = format!(
            r#"{{"vm":"{name}","failure_domain":"{zone}","region":"south","failure_domains":{{{zones}}},
"callers_listen":"{callers}","readiness_listen":"{readiness}","directory_listen":"{directory}",
"ip_address":"127.0.0.1","peers_port":{peers},"metrics_port":{metrics},"store":"{store}",
"first_start":true,"cpu_share":0.25,"memory_mb":260,"link_mbps":1000.0,"file_descriptors":4100,
"order_turn_ms":3000,"min_lease_ms":1000,"stop_within_s":8,"retry_ratio":0.2,"retry_extra":56,
"load_window_s":5,"address_ttl_max_s":5}}"#
        );
        let file = place.folder.join(format!("{name}.json"));
        fs::write(&file, settings)?;
        let log = place.folder.join(format!("{name}.log"));
        let out = fs::File::create(&log)?;
        let program = place.program.clone();
        let process = spawn(&program, &file, out)?;
        Ok(Self { name: name.to_owned(), callers, readiness, process, log, program, file })
    }

    /// Kills the process, and starts it again as the platform does.
    pub fn kill_and_start(&mut self) -> std::io::Result<()> {
        self.process.kill()?;
        self.process.wait()?;
        let settings = fs::read_to_string(&self.file)?;
        fs::write(&self.file, settings.replace("\"first_start\":true", "\"first_start\":false"))?;
        let out = fs::OpenOptions::new().append(true).open(&self.log)?;
        self.process = spawn(&self.program, &self.file, out)?;
        Ok(())
    }

    /// Asks whether the node is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut connection = Connection::open(self.readiness, Duration::from_secs(1))?;
            let host = [("Host", self.readiness.to_string())];
            connection.send("GET", "/savoryport/readiness", &host, &[])
        };
        ask().is_ok_and(|answer| answer.status == 200)
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Copies the first lines of the log that contain one of these words to the record.
    pub fn record_log(&self, record: &Record, words: &[&str]) {
        /// The number of lines that are copied.
        const MAX_LINES: usize = 40;
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        for line in lines.clone().take(MAX_LINES) {
            record.line(&format!("log of {}: {}", self.name, clean(line)));
        }
        let more = lines.count().saturating_sub(MAX_LINES);
        if more > 0 {
            record.line(&format!("log of {}: {more} more such lines", self.name));
        }
    }
}

/// Shortens paths of the build machine to the file's name within its crate.
fn clean(line: &str) -> String {
    let words = line.split(' ').map(|word| match word.rfind("/src/") {
        Some(at) => &word[at + 1..],
        None => word,
    });
    words.collect::<Vec<_>>().join(" ")
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Creates the temporary folder of a run.
pub fn temporary_folder(case: &str) -> std::io::Result<PathBuf> {
    let base = std::env::var_os("TMPDIR").map_or_else(|| PathBuf::from("/tmp"), PathBuf::from);
    let folder = base.join(format!("savoryport-review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Removes the temporary folder of a run.
pub fn remove_folder(folder: &Path) {
    let _ = fs::remove_dir_all(folder);
}
