//! The slopes of docs/CAPACITY.md: each role's real code at four sizes, with real sockets where
//! bytes are counted.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport::keys;
use savoryport::rpc::{ControlClient, PullRequest};
use savoryport::settings::Settings;
use savoryport_core::Name;
use savoryport_core::dispatch::{
    Dispatch, DispatchConfig, Request, RequestEnd, Sample, ServerInfo,
};
use savoryport_core::fleet::{Vm, VmList, VmRole};
use savoryport_core::placement::{PlacementInput, Plan, ServerCapacity, compute_plan};
use savoryport_core::rank::Rank;
use savoryport_core::replica::{MemoryUse, Replica, Residency, Update};
use savoryport_core::table::{Row, RowKind, Table};
use savoryport_platform::kv::{EtcdClient, KeyValue, PutAnswer};
use savoryport_standin::engine::EngineConfig;
use savoryport_standin::fleet::LocalFleet;
use savoryport_standin::proxy::Proxy;
use serde_json::json;
use smallvec::SmallVec;
use tokio_util::sync::CancellationToken;

use crate::processor::seconds_of;

type Failure = Box<dyn std::error::Error>;

/// The share of the target size at which each state is built.
const SHARES: [f64; 4] = [0.125, 0.25, 0.5, 1.0];

/// Servers at the target size.
const SERVERS: usize = 830;

/// Nodes at the target size.
const NODES: usize = 350;

/// Models at the target size.
const MODELS: usize = 620;

/// Engines that one control process holds while its cost is measured.
const STEWARDED: [usize; 4] = [8, 16, 32, 64];

/// Followers of one control process while its cost is measured.
const FOLLOWERS: [usize; 4] = [4, 8, 16, 32];

/// How long a steady state is watched.
const WATCHED: Duration = Duration::from_secs(6);

/// Changes of the table that are spread.
const CHANGES: u64 = 10;

/// The name of the threads whose processor time is counted.
const CONTROL_THREADS: &str = "control";

/// A figure at several sizes.
struct Series {
    what: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    fn new(what: &'static str, unit: &'static str) -> Self {
        Self { what, unit, points: Vec::new() }
    }

    fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Returns slope, intercept and the largest residual of a straight line.
    fn fit(&self) -> (f64, f64, f64) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|p| p.1).sum::<f64>() / count;
        let covariance: f64 = self.points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = self.points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let residual = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
        (slope, intercept, self.points.iter().map(residual).fold(0.0, f64::max))
    }

    fn line(&self) -> String {
        let (slope, intercept, residual) = self.fit();
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
        format!(
            "| {} | {} | {} | {slope:.4} | {intercept:.3} | {residual:.3} |",
            self.what,
            self.unit,
            points.join(", ")
        )
    }
}

/// Measures every slope and prints the table of the page.
pub fn run() -> Result<(), Failure> {
    let mut series = Vec::new();
    series.extend(measure_state());
    series.extend(measure_decisions());
    series.extend(measure_followers()?);
    series.extend(measure_stewards()?);
    let mut text = String::from(
        "| figure | unit | measured, size: value | slope | intercept | largest residual |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for series in series {
        let _ = writeln!(text, "{}", series.line());
    }
    println!("{text}");
    Ok(())
}

fn row(name: String, memory_mib: u32) -> Row {
    Row {
        kind: RowKind::Model,
        name: name.into(),
        base: None,
        memory_mib,
        weight: 1,
        rank: Rank::Normal,
        max_in_flight: 32,
        first_token_ms: 1_800,
        between_tokens_ms: 70,
        min_copies: 1,
        repeatable: true,
    }
}

fn model_name(at: usize) -> String {
    format!("workshop-model-{at:04}")
}

fn table(models: usize, version: u64, memory_mib: u32) -> Table {
    let rows = (0..models).map(|at| row(model_name(at), memory_mib)).collect();
    Table { version, change_id: format!("{version:016x}"), rows }
}

fn vm(role: VmRole, at: usize) -> Vm {
    Vm {
        name: format!("{role:?}-{at:04}").to_lowercase().into(),
        role,
        address: format!("10.0.{}.{}:8000", at / 250, at % 250).into(),
        control_address: Some(format!("10.1.{}.{}:7002", at / 250, at % 250).into()),
        failure_domain: format!("domain-{}", at % 7).into(),
        region: format!("region-{}", at % 3).into(),
        leaving: false,
        memory_mib: 640_000,
        checks_fencing: true,
        services: Vec::new(),
    }
}

fn full_update(share: f64) -> Update {
    let scaled = |full: usize| (full as f64 * share) as usize;
    let (servers, nodes, models) = (scaled(SERVERS), scaled(NODES), scaled(MODELS));
    let engines = (0..servers).map(|at| vm(VmRole::Engine, at));
    let entries = (0..nodes).map(|at| vm(VmRole::Entry, at));
    let vms = VmList { version: 1, vms: engines.chain(entries).collect() };
    let loaded = |at: usize| (0..8).map(|k| model_name((at * 8 + k) % models).into()).collect();
    let memory = MemoryUse { reserved_mib: 600_000, retained_mib: 0, capacity_mib: 640_000 };
    let residency = (0..servers)
        .map(|at| {
            let holder = Some("entry-0001".into());
            let residency = Residency {
                revision: at as u64 + 1,
                plan_version: 1,
                loaded: loaded(at),
                holder,
                memory: memory.clone(),
            };
            (vms.vms[at].name.clone(), residency)
        })
        .collect();
    let plan = Plan {
        version: 1,
        servers: (0..servers).map(|at| (vms.vms[at].name.clone(), loaded(at))).collect(),
        homes: (0..models)
            .map(|at| (model_name(at).into(), vms.vms[at % servers].name.clone()))
            .collect(),
    };
    Update {
        table: Some(table(models, 1, 60_000)),
        plan: Some(plan),
        vms: Some(vms),
        residency,
        seen: servers as u64,
        ..Update::default()
    }
}

/// The state that every node holds, and the cost of one change in it.
fn measure_state() -> Vec<Series> {
    let mut bytes = Series::new("whole state, as sent to a node that starts", "bytes by servers");
    let mut memory = Series::new("whole state in memory", "KiB by servers");
    let mut change = Series::new("one changed row, as sent", "bytes by servers");
    let mut merge = Series::new("one changed row, merged and copied", "us by servers");
    for share in SHARES {
        let size = (SERVERS as f64 * share) as usize;
        let update = full_update(share);
        bytes.add(size, serde_json::to_vec(&update).expect("plain values").len() as f64);
        let before = resident_kib();
        let replicas: Vec<Replica> = (0..8)
            .map(|_| {
                let text = serde_json::to_vec(&update).expect("plain values");
                let mut replica = Replica::default();
                replica.merge(serde_json::from_slice(&text).expect("plain values"));
                replica
            })
            .collect();
        memory.add(size, (resident_kib() - before).max(0.0) / replicas.len() as f64);
        let mut replica = replicas.into_iter().next().expect("eight of them");
        let have = replica.versions();
        let mut next = (*replica.table).clone();
        next.version += 1;
        next.rows[0].weight = 9;
        let started = Instant::now();
        replica.merge(Update { table: Some(next), ..Update::default() });
        let copy = Arc::new(replica.clone());
        merge.add(size, started.elapsed().as_secs_f64() * 1e6);
        let sent = copy.update_for(&have);
        change.add(size, serde_json::to_vec(&sent).expect("plain values").len() as f64);
    }
    vec![bytes, memory, change, merge]
}

/// The time of a plan and of a routing decision.
fn measure_decisions() -> Vec<Series> {
    let mut planning = Series::new("a whole plan from nothing", "ms by servers");
    let mut replanning = Series::new("the next plan", "ms by servers");
    let mut median = Series::new("routing a request, median", "us by servers");
    let mut slowest = Series::new("routing a request, p99", "us by servers");
    for share in SHARES {
        let servers = (SERVERS as f64 * share) as usize;
        let models = (MODELS as f64 * share) as usize;
        let (first, next) = time_plans(servers, models);
        planning.add(servers, first);
        replanning.add(servers, next);
        let (p50, p99) = time_routing(servers);
        median.add(servers, p50);
        slowest.add(servers, p99);
    }
    vec![planning, replanning, median, slowest]
}

fn time_plans(servers: usize, models: usize) -> (f64, f64) {
    let table = table(models, 1, 60_000);
    let fleet: Vec<ServerCapacity> = (0..servers)
        .map(|at| ServerCapacity {
            name: format!("engine-{at:04}").into(),
            failure_domain: format!("domain-{}", at % 7).into(),
            capacity_mib: 640_000,
        })
        .collect();
    let demand: HashMap<Name, f64> =
        (0..models).map(|at| (model_name(at).into(), 100.0 / (1.0 + at as f64))).collect();
    let make = |current: &Plan, demand: &HashMap<Name, f64>| {
        let started = Instant::now();
        let input =
            PlacementInput { table: &table, servers: &fleet, demand, current, move_budget: 8 };
        let made = compute_plan(&input);
        (made, started.elapsed().as_secs_f64() * 1e3)
    };
    let (current, first) = make(&Plan::default(), &demand);
    let shifted: HashMap<Name, f64> = (0..models)
        .map(|at| (model_name(models - 1 - at).into(), 100.0 / (1.0 + at as f64)))
        .collect();
    let (_, next) = make(&current, &shifted);
    (first, next)
}

/// Times decisions at 620 models on the servers that one entry sees.
fn time_routing(servers: usize) -> (f64, f64) {
    const REQUESTS: u64 = 100_000;
    let mut dispatch = Dispatch::new(DispatchConfig {
        region: "region-0".into(),
        shares: [0.6, 0.3, 0.1],
        initial_limit: 8.0,
        max_limit: 256.0,
        region_round_trip: Duration::from_millis(40),
        prefill_per_token: Duration::from_micros(50),
    });
    let infos = (0..servers).map(|at| ServerInfo {
        name: format!("engine-{at:04}").into(),
        region: format!("region-{}", at % 3).into(),
        loaded: (0..8).map(|k| model_name((at * 8 + k) % MODELS).into()).collect(),
        leaving: false,
    });
    dispatch.set_servers(infos.collect());
    let items: Vec<Name> = (0..MODELS).map(|at| model_name(at).into()).collect();
    let mut times = hdrhistogram::Histogram::<u64>::new(3).expect("three digits");
    let start = Instant::now();
    let mut ends: Vec<(Name, Name, Instant)> = Vec::new();
    for id in 0..REQUESTS {
        let now = start + Duration::from_micros(170 * id);
        let req = Request {
            id,
            item: items[(id * 7_919 % MODELS as u64) as usize].clone(),
            rank: Rank::ALL[(id % 3) as usize],
            deadline: now + Duration::from_millis(1_800),
            prompt_tokens: 300,
            prefix_hash: id % 997,
            failed_servers: SmallVec::new(),
            max_in_flight: 64,
        };
        let began = Instant::now();
        let actions = dispatch.submit(req, now);
        times.record(began.elapsed().as_nanos() as u64).expect("within bounds");
        for action in actions {
            if let savoryport_core::dispatch::Action::Start { server, .. } = action {
                ends.push((server, items[(id * 7_919 % MODELS as u64) as usize].clone(), now));
            }
        }
        if ends.len() > 400 {
            let (server, item, began) = ends.swap_remove(0);
            let mut sample = Sample::in_progress(300, Duration::from_millis(70));
            sample.end = RequestEnd::Completed;
            sample.total = now - began;
            dispatch.finish(&server, &item, Rank::Normal, &sample, now);
        }
    }
    let micros = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
    (micros(0.5), micros(0.99))
}

/// A control process in this one, with threads of its own whose time is counted.
struct Control {
    fleet: LocalFleet,
    address: String,
    /// Ends the threads with it.
    _runtime: tokio::runtime::Runtime,
    cancel: CancellationToken,
    kv: EtcdClient,
}

impl Control {
    /// Starts a control process before so many engines, and waits until its models are loaded.
    fn start(engines: usize) -> Result<Self, Failure> {
        let mut vms = vec![Vm { failure_domain: "domain-0".into(), ..vm(VmRole::Entry, 0) }];
        vms.extend((0..engines).map(|at| Vm {
            failure_domain: "domain-0".into(),
            memory_mib: 100,
            ..vm(VmRole::Engine, at)
        }));
        let list = VmList { version: 1, vms };
        let fleet = LocalFleet::start(list, Duration::ZERO, |vm| EngineConfig {
            capacity_mib: vm.memory_mib,
            ..EngineConfig::default()
        });
        let mut settings = fleet.settings(fleet.entries()[0]);
        settings["weight_store_slots"] = json!(64);
        settings["log_level"] = json!("error");
        let settings = Settings::parse(&settings.to_string())?.settings;
        let address = settings.control_listen.clone();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(CONTROL_THREADS)
            .enable_all()
            .build()?;
        let cancel = CancellationToken::new();
        let running = savoryport::control::run(settings, cancel.clone());
        runtime.spawn(async { running.await.map_err(|err| eprintln!("control: {err}")) });
        let kv = EtcdClient::new(fleet.kv.address(), Duration::from_secs(1));
        let control = Self { fleet, address, _runtime: runtime, cancel, kv };
        control.write_table(&table(engines, 1, 50))?;
        control.wait_for_loads(engines);
        Ok(control)
    }

    fn write_table(&self, table: &Table) -> Result<(), Failure> {
        let revision = self.kv.get(keys::TABLE)?.map_or(0, |entry| entry.revision);
        match self.kv.put_if(keys::TABLE, &table.encode()?, revision, None)? {
            PutAnswer::Written(_) => Ok(()),
            PutAnswer::Conflict => Err("nobody else writes here".into()),
        }
    }

    fn wait_for_loads(&self, engines: usize) {
        let loaded = || -> usize {
            self.fleet
                .engines
                .iter()
                .map(|engine| usize::from(!engine.loaded_items().is_empty()))
                .sum()
        };
        let started = Instant::now();
        while loaded() < engines && started.elapsed() < Duration::from_secs(60) {
            std::thread::sleep(Duration::from_millis(100));
        }
        // What the last load has set off comes to rest.
        std::thread::sleep(Duration::from_secs(3));
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.cancel.cancel();
        std::thread::sleep(Duration::from_millis(300));
    }
}

/// What followers cost the process that they follow, and the bytes of each.
fn measure_followers() -> Result<Vec<Series>, Failure> {
    let mut idle = Series::new("a follower without news", "bytes/s by followers");
    let mut change = Series::new("a changed row, all followers", "bytes by followers");
    let mut spread =
        Series::new("a changed row, until the last follower has it", "ms by followers");
    let mut time = Series::new("processor time without news", "% of a core by followers");
    for count in FOLLOWERS {
        let control = Control::start(4)?;
        let proxy = Proxy::start("127.0.0.1:0", &control.address);
        let others =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let (tx, rx) = std::sync::mpsc::channel();
        for at in 0..count {
            others.spawn(follow(proxy.address().to_owned(), at, tx.clone()));
        }
        std::thread::sleep(Duration::from_secs(2));
        let (bytes, cpu) = (proxy.forwarded_bytes(), seconds_of(CONTROL_THREADS));
        std::thread::sleep(WATCHED);
        let seconds = WATCHED.as_secs_f64();
        idle.add(count, (proxy.forwarded_bytes() - bytes) as f64 / seconds);
        time.add(count, (seconds_of(CONTROL_THREADS) - cpu) / seconds * 100.0);
        let bytes = proxy.forwarded_bytes();
        let mut slowest: f64 = 0.0;
        for version in 2..2 + CHANGES {
            let began = Instant::now();
            let mut next = table(4, version, 50);
            next.rows[0].weight = version as u32;
            control.write_table(&next)?;
            let mut left = count;
            while left > 0 {
                left -= usize::from(rx.recv_timeout(Duration::from_secs(10))? == version);
            }
            slowest = slowest.max(began.elapsed().as_secs_f64() * 1e3);
        }
        change.add(count, (proxy.forwarded_bytes() - bytes) as f64 / CHANGES as f64);
        spread.add(count, slowest);
        others.shutdown_background();
    }
    Ok(vec![idle, change, spread, time])
}

async fn follow(address: String, at: usize, tx: std::sync::mpsc::Sender<u64>) {
    let Ok(client) = ControlClient::connect(&address).await else { return };
    let mut replica = Replica::default();
    loop {
        let req = PullRequest {
            vm: format!("follower-{at}").into(),
            have: replica.versions(),
            wait_ms: 3_000,
            demand: None,
            entry: None,
        };
        let Ok(update) = client.pull(req).await else { return };
        let before = replica.table.version;
        replica.merge(update);
        if replica.table.version > before && tx.send(replica.table.version).is_err() {
            return;
        }
    }
}

/// What servers at rest cost the process that holds them.
fn measure_stewards() -> Result<Vec<Series>, Failure> {
    let mut time = Series::new("processor time of a holder", "% of a core by servers held");
    let mut calls = Series::new("calls of the key-value service", "calls/s by servers held");
    for count in STEWARDED {
        let control = Control::start(count)?;
        let (cpu, before) = (seconds_of(CONTROL_THREADS), control.fleet.kv.call_counts());
        std::thread::sleep(WATCHED);
        let after = control.fleet.kv.call_counts();
        let seconds = WATCHED.as_secs_f64();
        time.add(count, (seconds_of(CONTROL_THREADS) - cpu) / seconds * 100.0);
        let total =
            |calls: savoryport_standin::kv::CallCounts| calls.reads + calls.writes + calls.watches;
        calls.add(count, (total(after) - total(before)) as f64 / seconds);
    }
    Ok(vec![time, calls])
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0.0)
}
