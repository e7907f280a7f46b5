//! Starts the project's program as the deploy file does, with the settings that its template makes.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{exchange, free_addresses};
use crate::json::quote;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/savoryport-node";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

pub struct NodeConfig {
    pub name: String,
    pub zone: String,
    pub ip: String,
    /// The address that status checks come from. From the node's own one they could take a port that it
    /// is about to listen on.
    pub prober: String,
    pub store: SocketAddr,
    pub bootstrap: bool,
}

pub struct Node {
    pub cfg: NodeConfig,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    directory: SocketAddr,
    peers_port: u16,
    dir: PathBuf,
    process: Option<Child>,
    starts: u32,
}

/// The zones of the site with their regions.
pub const ZONES: &str = "{\"riga-a\":\"riga\",\"riga-b\":\"riga\"}";

impl Node {
    pub fn new(cfg: NodeConfig, dir: &std::path::Path) -> Self {
        let ip = cfg.ip.clone();
        let [callers, readiness, directory, peers] = free_addresses(&ip);
        Self {
            callers,
            readiness,
            directory,
            peers_port: peers.port(),
            dir: dir.to_owned(),
            process: None,
            starts: 0,
            cfg,
        }
    }

    fn settings(&self) -> String {
        let NodeConfig { name, zone, ip, store, bootstrap, .. } = &self.cfg;
        format!(
            "{{\"vm\":{},\"failure_domain\":{},\"region\":\"riga\",\"failure_domains\":{ZONES},\
             \"callers_listen\":\"{}\",\"readiness_listen\":\"{}\",\"directory_listen\":\"{}\",\
             \"ip_address\":\"{ip}\",\"peers_port\":{},\"store\":\"{store}\",\
             \"first_start\":{bootstrap},\"cpu_share\":0.25,\"memory_mb\":260,\"link_mbps\":1000.0,\
             \"file_descriptors\":4100,\"order_turn_ms\":3000,\"min_lease_ms\":1000,\
             \"stop_within_s\":8,\"retry_ratio\":0.2,\"retry_extra\":58,\"load_window_s\":5,\
             \"address_ttl_max_s\":5}}",
            quote(name),
            quote(zone),
            self.callers,
            self.readiness,
            self.directory,
            self.peers_port
        )
    }

    pub fn start(&mut self) {
        self.starts += 1;
        let name = &self.cfg.name;
        let settings = self.dir.join(format!("{name}.json"));
        fs::write(&settings, self.settings()).expect("the settings can be written");
        let log = self.dir.join(format!("{name}-{}.log", self.starts));
        let log = File::create(log).expect("a log");
        let child = Command::new(PROGRAM)
            .env("SAVORYPORT_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.process = Some(child),
            Err(err) => {
                eprintln!("{PROGRAM} does not start: {err}");
                std::process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> i32 {
        self.process.as_ref().map_or(0, |process| process.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if self.process.is_some() {
            // SAFETY: the process is a child that was not waited for.
            unsafe { kill(self.pid(), signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&self) {
        if self.process.is_some() {
            self.signal(9);
            // SAFETY: the process is a child, and no status is wanted.
            unsafe { waitpid(self.pid(), std::ptr::null_mut(), 0) };
        }
    }

    /// Returns the end of the log of the last start.
    pub fn last_log_lines(&self) -> String {
        let log = self.dir.join(format!("{}-{}.log", self.cfg.name, self.starts));
        let log = fs::read_to_string(log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(5).collect();
        lines.join("\n")
    }

    /// Waits for the end of the process; kills it after the time for a stop.
    pub fn wait(&mut self, within: Duration) {
        let until = Instant::now() + within;
        while let Some(process) = &mut self.process {
            if matches!(process.try_wait(), Ok(Some(_))) || Instant::now() > until {
                self.kill();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns whether the process is alive.
    pub fn is_alive(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /savoryport/readiness HTTP/1.1\r\nHost: node\r\n\r\n";
        let answer = exchange(&self.cfg.prober, self.readiness, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns a figure of the memory of the process, in MB.
    pub fn memory_mb(&self, figure: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(figure)).unwrap_or("");
        let kb = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
