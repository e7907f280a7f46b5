//! A small deployment for tests: the entry and control daemons run as processes, stand-ins for the
//! platform and the backend servers run in the test process, and proxies in between inject faults.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use savoryport::cli::table::{self, Options};
use savoryport_core::fleet::{Vm, VmList, VmRole};
use savoryport_standin::engine::{EngineConfig, EngineStandin};
use savoryport_standin::fleet::{LocalFleet, free_address, write_settings};
use savoryport_standin::proxy::Proxy;
use savoryport_standin::vm_list::VmListStandin;
use serde_json::{Value, json};
use tempfile::TempDir;

/// How long a site may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The number of sites that run at the same time, however many tests do. Each has about a hundred
/// threads in the test process; with more of them, stand-ins answered up to 1.5 s late.
const MAX_SITES: usize = 3;

static RUNNING_SITES: Mutex<usize> = Mutex::new(0);
static SITE_ENDED: Condvar = Condvar::new();

/// A place among the sites that run at the same time.
struct SitePlace;

impl SitePlace {
    /// Waits for a free place.
    fn take() -> Self {
        let running = RUNNING_SITES.lock().unwrap();
        *SITE_ENDED.wait_while(running, |running| *running >= MAX_SITES).unwrap() += 1;
        Self
    }
}

impl Drop for SitePlace {
    fn drop(&mut self) {
        *RUNNING_SITES.lock().unwrap() -= 1;
        SITE_ENDED.notify_one();
    }
}

/// The table of the site: three models, an adapter, a service whose calls must not be repeated and
/// one whose calls may be.
pub const TABLE: &str = "\
kind,name,base,memory_mib,weight,rank,max_in_flight,first_token_ms,between_tokens_ms,min_copies,repeatable
model,quick,,30000,2,urgent,32,1500,70,2,yes
model,draft,,30000,1,normal,32,1800,70,1,yes
model,review,,20000,1,batch,32,8000,150,1,yes
adapter,shop,quick,100,1,urgent,16,1500,70,2,yes
service,capture,,0,4,urgent,64,2000,0,0,no
service,lookup,,0,4,urgent,64,2000,0,0,yes
";

/// An entry VM with its two daemons.
pub struct Node {
    pub vm: Vm,
    pub settings: Value,
    pub settings_file: std::path::PathBuf,
    pub entry: Option<Child>,
    pub control: Option<Child>,
}

/// A deployment of daemons and stand-ins. Dropping it ends the processes.
pub struct Site {
    pub fleet: LocalFleet,
    /// The list of VMs that the daemons read, with the addresses of the proxies.
    pub vm_list: VmListStandin,
    /// The proxies between the daemons and each engine.
    pub engine_proxies: Vec<Proxy>,
    /// The proxies between the daemons and each plain service.
    pub service_proxies: Vec<Proxy>,
    /// The proxies between each node and the key-value service.
    pub kv_proxies: Vec<Proxy>,
    pub nodes: Vec<Node>,
    temp_dir: TempDir,
    /// Dropped last, when the processes and stand-ins have ended.
    _place: SitePlace,
}

/// A response whose body was read completely.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub outcome: String,
    /// The `retry-after-ms` header.
    pub retry_after: Option<String>,
    pub body: String,
}

impl Site {
    /// Starts three nodes, four engines (one of which ignores fencing tokens) and two services, and
    /// waits until every node can serve every model.
    pub fn start() -> Self {
        Self::start_with(|_| {})
    }

    /// Starts a site like [`Site::start`], with changed settings of the daemons.
    pub fn start_with(change: impl Fn(&mut Value)) -> Self {
        let mut site = Self::start_platform();
        for node in 0..site.nodes.len() {
            change(&mut site.nodes[node].settings);
            site.start_control(node);
            site.start_entry(node);
        }
        site.apply(TABLE, true).unwrap();
        for node in 0..site.nodes.len() {
            site.wait_until_ready(node);
        }
        site
    }

    /// Starts the stand-ins and the proxies, but no daemons.
    fn start_platform() -> Self {
        let place = SitePlace::take();
        let fleet = LocalFleet::start(vm_list(), Duration::ZERO, |vm| EngineConfig {
            capacity_mib: vm.memory_mib,
            checks_fencing: vm.checks_fencing,
            token_time: Duration::from_millis(20),
            ..EngineConfig::default()
        });
        let mut list = fleet.initial_list.clone();
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
        Self {
            fleet,
            vm_list,
            engine_proxies,
            service_proxies,
            kv_proxies,
            nodes,
            temp_dir,
            _place: place,
        }
    }

    pub fn start_entry(&mut self, node: usize) {
        self.nodes[node].entry =
            Some(self.nodes[node].start(env!("CARGO_BIN_EXE_savoryport-entry")));
    }

    pub fn start_control(&mut self, node: usize) {
        let program = env!("CARGO_BIN_EXE_savoryport-control");
        self.nodes[node].control = Some(self.nodes[node].start(program));
    }

    /// Applies a table like `savoryport table apply`; `first` says that there is none yet.
    pub fn apply(&self, text: &str, first: bool) -> Result<String, savoryport::cli::CliError> {
        let path = self.temp_dir.path().join("table.csv");
        std::fs::write(&path, text).unwrap();
        table::apply(&Options { first, ..self.options() }, &path)
    }

    /// Returns the command-line options for this site.
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

    /// Returns the address at which a node's entry serves callers.
    pub fn entry_address(&self, node: usize) -> &str {
        &self.nodes[node].vm.address
    }

    pub fn wait_until_ready(&self, node: usize) {
        wait_for("every model to answer", START_TIMEOUT, || {
            ["quick", "draft", "review", "shop"].iter().all(|model| {
                self.complete(node, model, "ready?", 1).is_ok_and(|res| res.status == 200)
            })
        });
    }

    /// Sends a completion request without streaming.
    pub fn complete(
        &self,
        node: usize,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<CallerResponse, ureq::Error> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens });
        post(self.entry_address(node), "/v1/completions", &[], &body)
    }

    /// Sends a completion request with streaming and returns the lines of the response.
    pub fn stream(&self, node: usize, model: &str, prompt: &str, max_tokens: u32) -> StreamLines {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        let url = format!("http://{}/v1/completions", self.entry_address(node));
        let res = agent().post(url).send_json(body).unwrap();
        assert_eq!(res.status(), 200);
        BufReader::new(res.into_body().into_reader()).lines()
    }

    /// Calls the service whose calls must not be repeated.
    pub fn capture(
        &self,
        node: usize,
        header: (&str, &str),
    ) -> Result<CallerResponse, ureq::Error> {
        post(self.entry_address(node), "/services/capture/pay", &[header], &json!({ "pairs": 2 }))
    }

    /// Returns a new ticket, issued by a node's entry for the `capture` service.
    pub fn ticket(&self, node: usize) -> String {
        let res = get(self.entry_address(node), "/v1/entry?item=capture").unwrap();
        let body: Value = serde_json::from_str(&res.body).unwrap();
        body["ticket"].as_str().unwrap().to_owned()
    }

    /// Returns how often a request ran, summed over all services.
    pub fn executions(&self, id: &str) -> u32 {
        let counts = self.fleet.services.iter().map(|s| s.executions().get(id).copied());
        counts.map(Option::unwrap_or_default).sum()
    }

    /// Returns the number of requests that ran, summed over all services.
    pub fn total_executions(&self) -> u32 {
        self.fleet.services.iter().flat_map(|service| service.executions().into_values()).sum()
    }

    /// Checks that no engine ever had more in memory than its capacity, by the engines' own count.
    pub fn assert_no_overcommitment(&self) {
        for engine in &self.fleet.engines {
            assert_eq!(engine.counts().overcommitted_mib, 0);
        }
    }

    /// Returns the indices of the engines that have a model loaded.
    pub fn engines_with(&self, model: &str) -> Vec<usize> {
        let has = |engine: &EngineStandin| engine.loaded_items().contains(model);
        (0..self.engine_proxies.len()).filter(|index| has(&self.fleet.engines[*index])).collect()
    }

    /// Returns whether a node's control process reads the platform itself instead of following
    /// another control process.
    pub fn reads_platform(&self, node: usize) -> bool {
        let address = self.nodes[node].settings["control_metrics_listen"].as_str().unwrap();
        let Ok(res) = get(address, "/status") else { return false };
        let status: Value = serde_json::from_str(&res.body).unwrap_or_default();
        status["reads_platform"] == json!(true)
    }

    /// Returns the version of the table that a node's entry uses.
    pub fn entry_table_version(&self, node: usize) -> u64 {
        let address = self.nodes[node].settings["entry_metrics_listen"].as_str().unwrap();
        let Ok(res) = get(address, "/status") else { return 0 };
        let status: Value = serde_json::from_str(&res.body).unwrap_or_default();
        status["table_version"].as_u64().unwrap_or(0)
    }
}

impl Node {
    fn start(&self, program: &str) -> Child {
        write_settings(&self.settings_file, &self.settings);
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

/// Kills a process, if it is running, and waits for its exit.
pub fn kill(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        child.kill().unwrap();
        child.wait().unwrap();
    }
}

/// Waits for the exit of a process.
pub fn wait_for_exit(child: &mut Option<Child>, timeout: Duration) -> ExitStatus {
    let mut child = child.take().unwrap();
    let mut status = None;
    wait_for("the process to exit", timeout, || {
        status = child.try_wait().unwrap();
        status.is_some()
    });
    status.unwrap()
}

/// Waits until a condition is true; `what` describes it in the panic message after a timeout.
pub fn wait_for(what: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < timeout,
            "timed out after {timeout:?} while waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(10)))
        .build()
        .into()
}

pub fn get(address: &str, path: &str) -> Result<CallerResponse, ureq::Error> {
    read_response(agent().get(format!("http://{address}{path}")).call()?)
}

pub fn post(
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<CallerResponse, ureq::Error> {
    let mut req = agent().post(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    read_response(req.send_json(body)?)
}

fn read_response(mut res: ureq::http::Response<ureq::Body>) -> Result<CallerResponse, ureq::Error> {
    let header = |name: &str| Some(res.headers().get(name)?.to_str().ok()?.to_owned());
    let outcome = header("x-savoryport-outcome").unwrap_or_default();
    let retry_after = header("retry-after-ms");
    let body = res.body_mut().read_to_string()?;
    Ok(CallerResponse { status: res.status().as_u16(), outcome, retry_after, body })
}

/// The lines of a streamed response.
pub type StreamLines = std::io::Lines<BufReader<ureq::BodyReader<'static>>>;

/// The content of a streamed response.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct StreamResult {
    pub tokens: Vec<String>,
    pub outcome: String,
    /// Whether the `[DONE]` event arrived.
    pub is_done: bool,
}

/// Reads a stream to its end.
pub fn read_stream(lines: StreamLines) -> StreamResult {
    let mut result = StreamResult::default();
    for line in lines.map_while(Result::ok) {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            result.is_done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        match event["outcome"].as_str() {
            Some(outcome) => outcome.clone_into(&mut result.outcome),
            None => result.tokens.push(event["choices"][0]["text"].as_str().unwrap().to_owned()),
        }
    }
    result
}

/// Returns the first `count` tokens that an engine stand-in generates for a prompt.
pub fn expected_tokens(prompt: &str, count: u32) -> Vec<String> {
    let tag: String = prompt.chars().skip(prompt.chars().count().saturating_sub(12)).collect();
    (0..count).map(|index| format!(" {tag}/{index}")).collect()
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
