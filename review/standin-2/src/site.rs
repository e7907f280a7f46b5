//! A small site: a store, servers and nodes, all on loopback addresses of their own.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Message, exchange};
use crate::node::{Node, NodeConfig};
use crate::record::Record;
use crate::server::{Server, ServerConfig};
use crate::store::{Store, StoreAddress};

pub struct Site {
    /// The first two numbers of all addresses, which differ between runs.
    base: String,
    pub dir: PathBuf,
    pub record: Record,
    pub store: Store,
    pub front: StoreAddress,
    pub servers: Vec<Arc<Server>>,
    pub nodes: Vec<Node>,
    starts: u8,
}

/// The models of the configuration. An engine has room for three of them.
pub const MODELS: [&str; 3] = ["m0", "m1", "m2"];

impl Site {
    /// Starts a site whose operator has written a configuration.
    pub fn new() -> Self {
        let site = Self::without_config();
        site.store.write("op/config", &config(7, &MODELS));
        site
    }

    pub fn without_config() -> Self {
        let number = std::process::id() % 200 + 20;
        let base = format!("127.{number}");
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let record = Record::new();
        let store = Store::start();
        let front = store.open(&format!("{base}.1.1"));
        Self { base, dir, record, store, front, servers: vec![], nodes: vec![], starts: 0 }
    }

    /// Returns a loopback address.
    pub fn ip(&self, net: u8, host: u8) -> String {
        format!("{}.{net}.{host}", self.base)
    }

    fn add_server(&mut self, cfg: ServerConfig) -> Arc<Server> {
        let server = Server::start(cfg, &self.store, &self.record);
        self.servers.push(server.clone());
        server
    }

    pub fn add_plain(&mut self, id: &str, zone: &str) -> Arc<Server> {
        self.starts += 1;
        self.add_server(ServerConfig {
            id: id.to_owned(),
            service: "orders".to_owned(),
            zone: zone.to_owned(),
            ip: self.ip(2, self.starts),
            models: Vec::new(),
            slots: 6,
            work: Duration::from_millis(15),
            token_us: 0,
            load: Duration::ZERO,
            on_disk: Vec::new(),
            deadly_part: None,
            deadly_events: 0,
        })
    }

    pub fn add_engine(
        &mut self,
        id: &str,
        zone: &str,
        models: &[&str],
        deadly_part: Option<&str>,
    ) -> Arc<Server> {
        self.add_engine_with_disk(id, zone, models, deadly_part, &[])
    }

    /// Adds an engine that has copies of these models on its disk.
    pub fn add_engine_with_disk(
        &mut self,
        id: &str,
        zone: &str,
        models: &[&str],
        deadly_part: Option<&str>,
        on_disk: &[&str],
    ) -> Arc<Server> {
        self.starts += 1;
        self.add_server(ServerConfig {
            id: id.to_owned(),
            service: "drafts".to_owned(),
            zone: zone.to_owned(),
            ip: self.ip(2, self.starts),
            models: models.iter().map(|model| (*model).to_owned()).collect(),
            slots: 64,
            work: Duration::ZERO,
            token_us: 4_430,
            load: Duration::from_millis(if on_disk.is_empty() { 3_800 } else { 760 }),
            on_disk: on_disk.iter().map(|model| (*model).to_owned()).collect(),
            deadly_part: deadly_part.map(str::to_owned),
            // With EVENTS=0 the engine crashes before it writes anything.
            deadly_events: std::env::var("EVENTS").map_or(1, |count| count.parse().unwrap_or(1)),
        })
    }

    /// Adds a node that starts with the whole system; `store` is its address of the store.
    pub fn add_node(&mut self, name: &str, zone: &str, store: std::net::SocketAddr) {
        let ip = self.ip(3, self.nodes.len() as u8 + 1);
        let cfg = NodeConfig {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip,
            prober: self.ip(4, 1),
            store,
            bootstrap: true,
        };
        let mut node = Node::new(cfg, &self.dir);
        node.start();
        self.record.line(format!("node {name} starts in {zone}, pid {}", node.pid()));
        self.nodes.push(node);
    }

    /// Waits until the nodes are ready; ends the script if they are not.
    pub fn wait_until_ready(&self, which: &[usize]) {
        let until = Instant::now() + Duration::from_secs(25);
        while !which.iter().all(|node| self.nodes[*node].is_ready()) {
            if Instant::now() > until {
                self.give_up("the nodes are not ready");
            }
            sleep(Duration::from_millis(50));
        }
    }

    /// Returns the name of the node that leads a zone.
    pub fn leader(&self, zone: &str) -> Option<String> {
        let value = self.store.value(&format!("savoryport/duty/{zone}"))?;
        crate::json::Json::parse(value.as_bytes())?.text("vm").map(str::to_owned)
    }

    pub fn index(&self, name: &str) -> usize {
        let index = self.nodes.iter().position(|node| node.cfg.name == name);
        index.expect("a known node")
    }

    /// Waits until a time of the script.
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.record.now();
        if left > 0.0 {
            sleep(Duration::from_secs_f64(left));
        }
    }

    /// Sends a request to a node and records the answer.
    pub fn send(&self, node: usize, from: &str, id: &str, request: &str, seconds: u64) -> Answer {
        let node = &self.nodes[node];
        send(&self.record, node, from, id, request, seconds)
    }

    pub fn give_up(&self, why: &str) -> ! {
        self.record.line(format!("cannot run: {why}"));
        for node in &self.nodes {
            let lines = node.last_log_lines();
            self.record.line(format!("last lines of {}:\n{lines}", node.cfg.name));
        }
        eprintln!("cannot run: {why}");
        self.end(2)
    }

    /// Ends all processes and the script.
    pub fn end(&self, status: i32) -> ! {
        for node in &self.nodes {
            node.end();
        }
        let path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned());
        self.record.save(std::path::Path::new(&path));
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs in {}", self.dir.display());
        }
        std::process::exit(status);
    }
}

/// What a requester saw.
#[derive(Debug, Clone)]
pub struct Answer {
    pub sent_at: f64,
    pub ended_at: f64,
    /// 0 if no answer came.
    pub status: u16,
    pub is_complete: bool,
    pub has_stamp: bool,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete && self.has_stamp
    }
}

pub fn send(
    record: &Record,
    node: &Node,
    from: &str,
    id: &str,
    request: &str,
    seconds: u64,
) -> Answer {
    let sent_at = record.now();
    let timeout = Duration::from_secs(seconds);
    let answer = exchange(from, node.callers, request.as_bytes(), timeout);
    let ended_at = record.now();
    let (text, answer) = match answer {
        Ok(message) => {
            let Message { is_complete, .. } = message;
            let (status, stamp) = (message.status(), message.header("x-server-stamp"));
            let text = format!(
                "{status} complete={is_complete} stamp={} retry-after={} bytes={}",
                stamp.unwrap_or("-"),
                message.header("retry-after").unwrap_or("-"),
                message.body.len()
            );
            let (has_stamp, body) = (stamp.is_some(), message.body);
            (text, Answer { sent_at, ended_at, status, is_complete, has_stamp, body })
        }
        Err(err) => {
            let text = format!("no answer: {err}");
            let (is_complete, has_stamp, body) = (false, false, Vec::new());
            (text, Answer { sent_at, ended_at, status: 0, is_complete, has_stamp, body })
        }
    };
    let start = request.lines().next().unwrap_or("");
    let name = &node.cfg.name;
    record.line(format!("sent {sent_at:.3} from {from} to {name} id={id} {start} -> {text}"));
    answer
}

/// Returns a request to a plain service.
pub fn plain_request(method: &str, path: &str, id: &str) -> String {
    let length = if method == "POST" { "Content-Length: 2\r\n" } else { "" };
    let body = if method == "POST" { "{}" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 2000\r\n{length}Connection: close\r\n\r\n{body}"
    )
}

/// Returns a request for a stream.
pub fn stream_request(
    path: &str,
    id: &str,
    target: &str,
    (prompt, output): (u32, u32),
    parts: &str,
    deadline_ms: u32,
) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Model: {target}\r\n\
         X-Token-Counts: {prompt},{output}\r\nX-Prompt-Prefix: {parts}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}"
    )
}

/// Returns a configuration like that of a small installation.
pub fn config(version: u64, models: &[&str]) -> String {
    let route = |name: &str, kind: &str, service: &str, (timeout, target): (u32, u32), rank: u8| {
        let resumable = kind == "streaming" && name != "listings";
        let attempts = if kind == "non_idempotent" || name == "listings" { 1 } else { 2 };
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"site.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\
             \"priority\":{rank},\"service\":\"{service}\",\"maxAttempts\":{attempts},\
             \"sessionAffinity\":{resumable},\"resumable\":{resumable},\"targetGapMs\":300}}"
        )
    };
    let routes = [
        route("pages", "streaming", "drafts", (5_000, 800), 0),
        route("replies", "streaming", "drafts", (15_000, 1_500), 1),
        route("listings", "streaming", "drafts", (12_000, 8_000), 2),
        route("orders", "non_idempotent", "orders", (2_000, 200), 2),
        route("stock", "idempotent", "orders", (2_000, 200), 2),
    ];
    let models = models.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"weightsMb\":65100,\"loadTimeS\":3.8,\"adapters\":16,\
             \"adapterSizeMb\":12.0,\"warmUpS\":0.38,\"diskLoadS\":0.76}}"
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"drafts\",\
         \"healthPath\":\"/health\",\"connectionLimit\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"inferenceEngine\":{{\"slots\":64,\"kvCacheTokens\":259204,\"kvBytes\":163840,\
         \"linkMbps\":1100000.0,\"stride\":5,\"models\":[{}],\"weightsMb\":220000,\
         \"adapterCapacity\":8,\"loadsPerS\":2.1}}}},{{\"name\":\"orders\",\
         \"healthPath\":\"/health\",\"connectionLimit\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        models.collect::<Vec<_>>().join(",")
    )
}
