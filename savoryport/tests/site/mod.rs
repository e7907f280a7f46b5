//! A small site for tests: real daemons as processes, stand-ins behind fault-injecting proxies.

// Each test program uses its own part of this.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use savoryport::cli::table::{self, Options};
use savoryport_core::fleet::{Vm, VmList, VmRole};
use savoryport_standin::engine::{EngineConfig, EngineStandin};
use savoryport_standin::fleet::{LocalFleet, free_address};
use savoryport_standin::proxy::Proxy;
use savoryport_standin::vms::VmListStandin;
use serde_json::{Value, json};
use tempfile::TempDir;

/// How long a site may take to come up.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// The table of the site: three models, an adapter, a service that may not repeat and one that may.
pub const TABLE: &str = "\
kind,name,base,memory_mib,weight,rank,max_in_flight,first_token_ms,between_tokens_ms,min_copies,repeatable
model,quick,,30000,2,urgent,32,1500,70,2,yes
model,draft,,30000,1,normal,32,1800,70,1,yes
model,review,,20000,1,batch,32,8000,150,1,yes
adapter,shop,quick,100,1,urgent,16,1500,70,2,yes
service,capture,,0,4,urgent,64,2000,0,0,no
service,lookup,,0,4,urgent,64,2000,0,0,yes
";

/// One entry VM with its two daemons.
pub struct Node {
    pub vm: Vm,
    pub settings: Value,
    pub settings_file: std::path::PathBuf,
    pub entry: Option<Child>,
    pub control: Option<Child>,
}

/// A whole site. Its processes end with it.
pub struct Site {
    pub fleet: LocalFleet,
    /// The list with the proxies' addresses, which the daemons see.
    pub vm_list: VmListStandin,
    /// A proxy before each engine.
    pub engine_proxies: Vec<Proxy>,
    /// A proxy before each plain service.
    pub service_proxies: Vec<Proxy>,
    /// A proxy before the key-value service, for each node.
    pub kv_proxies: Vec<Proxy>,
    pub nodes: Vec<Node>,
    temp_dir: TempDir,
}

/// An answer read whole.
#[derive(Debug)]
pub struct Answered {
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<String>,
    pub body: String,
}

impl Site {
    /// Starts three nodes, four engines (one of which ignores fencing) and two services, and waits
    /// until every model answers.
    pub fn start() -> Self {
        Self::start_with(|_| {})
    }

    /// Starts a site whose daemons' settings are changed first.
    pub fn start_with(change: impl Fn(&mut Value)) -> Self {
        let mut site = Self::platform();
        for at in 0..site.nodes.len() {
            change(&mut site.nodes[at].settings);
            site.start_control(at);
            site.start_entry(at);
        }
        site.apply(TABLE, true).unwrap();
        for at in 0..site.nodes.len() {
            site.wait_until_ready(at);
        }
        site
    }

    fn platform() -> Self {
        let fleet = LocalFleet::start(vm_list(), Duration::ZERO, |vm| EngineConfig {
            capacity_mib: vm.memory_mib,
            checks_fencing: vm.checks_fencing,
            token_time: Duration::from_millis(20),
            ..EngineConfig::default()
        });
        let mut list = fleet.list.clone();
        let (mut engine_proxies, mut service_proxies) = (Vec::new(), Vec::new());
        for vm in list.vms.iter_mut().filter(|vm| vm.role != VmRole::Entry) {
            let proxy = Proxy::start("127.0.0.1:0", &vm.address);
            vm.address = proxy.address().into();
            let proxies =
                if vm.role == VmRole::Engine { &mut engine_proxies } else { &mut service_proxies };
            proxies.push(proxy);
        }
        let vm_list = VmListStandin::start("127.0.0.1:0", list, Duration::ZERO);
        let temp_dir = tempfile::tempdir().unwrap();
        let kv_proxies: Vec<Proxy> = fleet
            .entries()
            .iter()
            .map(|_| Proxy::start("127.0.0.1:0", fleet.kv.address()))
            .collect();
        let nodes = fleet
            .entries()
            .into_iter()
            .zip(&kv_proxies)
            .map(|(vm, kv_proxy)| {
                let mut settings = fleet.settings(vm);
                settings["key_value"] = json!(kv_proxy.address());
                settings["vm_list"] = json!(vm_list.address());
                settings["lease_ttl_ms"] = json!(2_000);
                settings["plan_period_ms"] = json!(200);
                settings["steward_period_ms"] = json!(200);
                settings["platform_timeout_ms"] = json!(500);
                settings["order_timeout_ms"] = json!(500);
                settings["stream_stall_ms"] = json!(700);
                settings["service_timeout_ms"] = json!(1_000);
                settings["drain_timeout_ms"] = json!(5_000);
                let settings_file = temp_dir.path().join(format!("{}.json", vm.name));
                Node { vm: vm.clone(), settings, settings_file, entry: None, control: None }
            })
            .collect();
        Self { fleet, vm_list, engine_proxies, service_proxies, kv_proxies, nodes, temp_dir }
    }

    pub fn start_entry(&mut self, at: usize) {
        self.nodes[at].entry = Some(self.nodes[at].start(env!("CARGO_BIN_EXE_savoryport-entry")));
    }

    pub fn start_control(&mut self, at: usize) {
        let program = env!("CARGO_BIN_EXE_savoryport-control");
        self.nodes[at].control = Some(self.nodes[at].start(program));
    }

    /// Puts a table in force.
    pub fn apply(&self, text: &str, first: bool) -> Result<String, savoryport::cli::CliError> {
        let path = self.temp_dir.path().join("table.csv");
        std::fs::write(&path, text).unwrap();
        table::apply(&Options { first, ..self.options() }, &path)
    }

    /// Returns the command line's options for this site.
    pub fn options(&self) -> Options {
        Options {
            key_value: self.fleet.kv.address().to_owned(),
            vm_list: Some(self.vm_list.address().to_owned()),
            timeout: Duration::from_millis(500),
            ..Options::default()
        }
    }

    pub fn temp_dir(&self) -> &std::path::Path {
        self.temp_dir.path()
    }

    /// Returns the address of a node's entry.
    pub fn entry(&self, at: usize) -> &str {
        &self.nodes[at].vm.address
    }

    pub fn wait_until_ready(&self, at: usize) {
        wait_for("every model to answer", START_LIMIT, || {
            ["quick", "draft", "review", "shop"]
                .iter()
                .all(|model| self.complete(at, model, "ready?", 1).is_ok_and(|a| a.status == 200))
        });
    }

    pub fn complete(
        &self,
        at: usize,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Answered, ureq::Error> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens });
        post(self.entry(at), "/v1/completions", &[], &body)
    }

    /// Starts a stream and returns its lines as they come.
    pub fn stream(&self, at: usize, model: &str, prompt: &str, max_tokens: u32) -> Lines {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        let url = format!("http://{}/v1/completions", self.entry(at));
        let answer = agent().post(url).send_json(body).unwrap();
        assert_eq!(answer.status(), 200);
        BufReader::new(answer.into_body().into_reader()).lines()
    }

    /// Calls the service that may not repeat.
    pub fn capture(&self, at: usize, header: (&str, &str)) -> Result<Answered, ureq::Error> {
        post(self.entry(at), "/services/capture/pay", &[header], &json!({ "pairs": 2 }))
    }

    pub fn ticket(&self, at: usize) -> String {
        let answer = get(self.entry(at), "/v1/entry?item=capture").unwrap();
        let answer: Value = serde_json::from_str(&answer.body).unwrap();
        answer["ticket"].as_str().unwrap().to_owned()
    }

    /// Returns how often a request id ran, over all services.
    pub fn executions(&self, id: &str) -> u32 {
        let counts = self.fleet.services.iter().map(|s| s.executions().get(id).copied());
        counts.map(Option::unwrap_or_default).sum()
    }

    /// Returns the number of captures that ran, whatever their id.
    pub fn all_executions(&self) -> u32 {
        self.fleet.services.iter().flat_map(|service| service.executions().into_values()).sum()
    }

    /// The engines' own count of memory is what every test ends with.
    pub fn assert_no_overcommitment(&self) {
        for engine in &self.fleet.engines {
            assert_eq!(engine.counts().overcommitted_mib, 0);
        }
    }

    pub fn engines_with(&self, model: &str) -> Vec<usize> {
        let has = |engine: &EngineStandin| engine.loaded().contains(model);
        (0..self.engine_proxies.len()).filter(|at| has(&self.fleet.engines[*at])).collect()
    }

    /// Returns whether a node's control process reads the platform itself.
    pub fn reads_platform(&self, at: usize) -> bool {
        let address = self.nodes[at].settings["control_metrics_listen"].as_str().unwrap();
        let Ok(answer) = get(address, "/status") else { return false };
        let status: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        status["reads_platform"] == json!(true)
    }

    /// Returns the table's version that a node's entry has in force.
    pub fn entry_table_version(&self, at: usize) -> u64 {
        let address = self.nodes[at].settings["entry_metrics_listen"].as_str().unwrap();
        let Ok(answer) = get(address, "/status") else { return 0 };
        let status: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        status["table_version"].as_u64().unwrap_or(0)
    }
}

impl Node {
    fn start(&self, program: &str) -> Child {
        std::fs::write(&self.settings_file, self.settings.to_string()).unwrap();
        let log = self.settings_file.with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        Command::new(program)
            .arg("--settings")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for node in &self.nodes {
            let log = std::fs::read_to_string(node.settings_file.with_extension("log"));
            eprintln!("--- {}\n{}", node.vm.name, log.unwrap_or_default());
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for child in [&mut self.entry, &mut self.control].into_iter().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a signal to one process of the site.
pub fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

/// Kills a process and waits for its end.
pub fn kill(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        child.kill().unwrap();
        child.wait().unwrap();
    }
}

/// Waits for the end of a process.
pub fn wait_for_end(child: &mut Option<Child>, limit: Duration) -> ExitStatus {
    let mut child = child.take().unwrap();
    let mut status = None;
    wait_for("the process to end", limit, || {
        status = child.try_wait().unwrap();
        status.is_some()
    });
    status.unwrap()
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < limit, "waited {limit:?} for {what}");
        std::thread::sleep(POLL);
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(10)))
        .build()
        .into()
}

pub fn get(address: &str, path: &str) -> Result<Answered, ureq::Error> {
    read(agent().get(format!("http://{address}{path}")).call()?)
}

pub fn post(
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<Answered, ureq::Error> {
    let mut req = agent().post(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    read(req.send_json(body)?)
}

fn read(mut answer: ureq::http::Response<ureq::Body>) -> Result<Answered, ureq::Error> {
    let header = |name: &str| Some(answer.headers().get(name)?.to_str().ok()?.to_owned());
    let outcome = header("x-savoryport-outcome").unwrap_or_default();
    let retry_after = header("retry-after-ms");
    let body = answer.body_mut().read_to_string()?;
    Ok(Answered { status: answer.status().as_u16(), outcome, retry_after, body })
}

/// The lines of a stream.
pub type Lines = std::io::Lines<BufReader<ureq::BodyReader<'static>>>;

/// What a stream brought: its tokens in order, and the outcome that it named.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Streamed {
    pub tokens: Vec<String>,
    pub outcome: String,
    pub is_done: bool,
}

/// Reads a stream to its end.
pub fn read_stream(lines: Lines) -> Streamed {
    let mut streamed = Streamed::default();
    for line in lines.map_while(Result::ok) {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            streamed.is_done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        match event["outcome"].as_str() {
            Some(outcome) => outcome.clone_into(&mut streamed.outcome),
            None => streamed.tokens.push(event["choices"][0]["text"].as_str().unwrap().to_owned()),
        }
    }
    streamed
}

/// Returns the tokens that the stand-in makes of a prompt.
pub fn expected_tokens(prompt: &str, count: u32) -> Vec<String> {
    let tag: String = prompt.chars().skip(prompt.chars().count().saturating_sub(12)).collect();
    (0..count).map(|at| format!(" {tag}/{at}")).collect()
}

fn vm_list() -> VmList {
    let vm = |name: &str, role: VmRole, domain: &str, memory_mib: u32| Vm {
        name: name.into(),
        role,
        address: free_address().into(),
        control_address: None,
        failure_domain: domain.into(),
        region: "region-1".into(),
        leaving: false,
        memory_mib,
        checks_fencing: name != "engine-2",
        services: Vec::new(),
    };
    let service = |name: &str, domain: &str| Vm {
        services: vec!["capture".into(), "lookup".into()],
        ..vm(name, VmRole::Service, domain, 0)
    };
    let vms = vec![
        vm("node-1", VmRole::Entry, "a", 0),
        vm("node-2", VmRole::Entry, "a", 0),
        vm("node-3", VmRole::Entry, "b", 0),
        vm("engine-1", VmRole::Engine, "a", 60_000),
        vm("engine-2", VmRole::Engine, "a", 60_000),
        vm("engine-3", VmRole::Engine, "b", 60_000),
        vm("engine-4", VmRole::Engine, "b", 60_000),
        service("service-1", "a"),
        service("service-2", "b"),
    ];
    VmList { version: 1, vms }
}
