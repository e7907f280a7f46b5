//! Measures how costs grow with the size of the fleet, for docs/CAPACITY.md: runs the real code of
//! each role at four sizes, with real sockets where bytes are counted.

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
use savoryport_platform::kv::{EtcdClient, KeyValueService, PutResult};
use savoryport_standin::engine::EngineConfig;
use savoryport_standin::fleet::LocalFleet;
use savoryport_standin::proxy::Proxy;
use serde_json::json;
use smallvec::SmallVec;
use tokio_util::sync::CancellationToken;

use crate::thread_cpu::thread_cpu_seconds;

type BoxError = Box<dyn std::error::Error>;

/// The fractions of the target size that are measured.
const SIZE_FRACTIONS: [f64; 4] = [0.125, 0.25, 0.5, 1.0];

/// The number of servers at the target size.
const SERVERS: usize = 830;

/// The number of nodes at the target size.
const NODES: usize = 350;

/// The number of models at the target size.
const MODELS: usize = 620;

/// The numbers of engines whose leases one control process holds while its cost is measured.
const SERVERS_HELD: [usize; 4] = [8, 16, 32, 64];

/// The numbers of followers of one control process while its cost is measured.
const FOLLOWERS: [usize; 4] = [4, 8, 16, 32];

/// How long a steady state is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// The number of table changes whose propagation to the followers is measured.
const TABLE_CHANGES: u64 = 10;

/// The name of the control process's threads, whose CPU time is measured.
const CONTROL_THREAD_NAME: &str = "control";

/// A value measured at several sizes.
struct Series {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    fn new(name: &'static str, unit: &'static str) -> Self {
        Self { name, unit, points: Vec::new() }
    }

    fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Fits a straight line by least squares; returns its slope, intercept and largest residual.
    fn fit_line(&self) -> (f64, f64, f64) {
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

    fn table_row(&self) -> String {
        let (slope, intercept, residual) = self.fit_line();
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
        format!(
            "| {} | {} | {} | {slope:.4} | {intercept:.3} | {residual:.3} |",
            self.name,
            self.unit,
            points.join(", ")
        )
    }
}

/// Measures every series and prints it with its fitted line as a Markdown table.
pub fn run() -> Result<(), BoxError> {
    let mut series = Vec::new();
    series.extend(measure_state());
    series.extend(measure_decisions());
    series.extend(measure_followers()?);
    series.extend(measure_reconciliation()?);
    let mut text = String::from(
        "| figure | unit | measured, size: value | slope | intercept | largest residual |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for series in series {
        let _ = writeln!(text, "{}", series.table_row());
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
        team: None,
    }
}

fn model_name(index: usize) -> String {
    format!("workshop-model-{index:04}")
}

fn table(models: usize, version: u64, memory_mib: u32) -> Table {
    let rows = (0..models).map(|index| row(model_name(index), memory_mib)).collect();
    Table { version, change_id: format!("{version:016x}"), rows }
}

fn vm(role: VmRole, index: usize) -> Vm {
    Vm {
        name: format!("{role:?}-{index:04}").to_lowercase().into(),
        role,
        address: format!("10.0.{}.{}:8000", index / 250, index % 250).into(),
        control_address: Some(format!("10.1.{}.{}:7002", index / 250, index % 250).into()),
        failure_domain: format!("domain-{}", index % 7).into(),
        region: format!("region-{}", index % 3).into(),
        leaving: false,
        memory_mib: 640_000,
        checks_fencing: true,
        services: Vec::new(),
    }
}

/// Returns an update that carries the whole state at a fraction of the target size.
fn full_update(fraction: f64) -> Update {
    let scaled = |full: usize| (full as f64 * fraction) as usize;
    let (servers, nodes, models) = (scaled(SERVERS), scaled(NODES), scaled(MODELS));
    let engines = (0..servers).map(|index| vm(VmRole::Engine, index));
    let entries = (0..nodes).map(|index| vm(VmRole::Entry, index));
    let vms = VmList { version: 1, vms: engines.chain(entries).collect() };
    let loaded =
        |index: usize| (0..8).map(|k| model_name((index * 8 + k) % models).into()).collect();
    let memory = MemoryUse { reserved_mib: 600_000, retained_mib: 0, capacity_mib: 640_000 };
    let residency = (0..servers)
        .map(|index| {
            let holder = Some("entry-0001".into());
            let residency = Residency {
                revision: index as u64 + 1,
                plan_version: 1,
                loaded: loaded(index),
                holder,
                memory: memory.clone(),
            };
            (vms.vms[index].name.clone(), residency)
        })
        .collect();
    let plan = Plan {
        version: 1,
        servers: (0..servers).map(|index| (vms.vms[index].name.clone(), loaded(index))).collect(),
        homes: (0..models)
            .map(|index| (model_name(index).into(), vms.vms[index % servers].name.clone()))
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

/// Measures the size of the state that every node holds, and the cost of one change in it.
fn measure_state() -> Vec<Series> {
    let mut bytes = Series::new("whole state, as sent to a node that starts", "bytes by servers");
    let mut memory = Series::new("whole state in memory", "KiB by servers");
    let mut change = Series::new("one changed row, as sent", "bytes by servers");
    let mut merge = Series::new("one changed row, merged and copied", "us by servers");
    for fraction in SIZE_FRACTIONS {
        let size = (SERVERS as f64 * fraction) as usize;
        let update = full_update(fraction);
        bytes
            .add(size, serde_json::to_vec(&update).expect("the update is valid JSON").len() as f64);
        let before = resident_kib();
        let replicas: Vec<Replica> = (0..8)
            .map(|_| {
                let text = serde_json::to_vec(&update).expect("the update is valid JSON");
                let mut replica = Replica::default();
                replica.merge(serde_json::from_slice(&text).expect("the update is valid JSON"));
                replica
            })
            .collect();
        memory.add(size, (resident_kib() - before).max(0.0) / replicas.len() as f64);
        let mut replica = replicas.into_iter().next().expect("there are eight replicas");
        let have = replica.versions();
        let mut next = (*replica.table).clone();
        next.version += 1;
        next.rows[0].weight = 9;
        let started = Instant::now();
        replica.merge(Update { table: Some(next), ..Update::default() });
        let copy = Arc::new(replica.clone());
        merge.add(size, started.elapsed().as_secs_f64() * 1e6);
        let sent = copy.update_for(&have);
        change.add(size, serde_json::to_vec(&sent).expect("the update is valid JSON").len() as f64);
    }
    vec![bytes, memory, change, merge]
}

/// Measures the time of a plan and of a routing decision.
fn measure_decisions() -> Vec<Series> {
    let mut planning = Series::new("a plan without a previous plan", "ms by servers");
    let mut replanning = Series::new("the next plan, after a shift of demand", "ms by servers");
    let mut routing_p50 = Series::new("routing a request, median", "us by servers");
    let mut routing_p99 = Series::new("routing a request, p99", "us by servers");
    for fraction in SIZE_FRACTIONS {
        let servers = (SERVERS as f64 * fraction) as usize;
        let models = (MODELS as f64 * fraction) as usize;
        let (first, next) = time_plans(servers, models);
        planning.add(servers, first);
        replanning.add(servers, next);
        let (p50, p99) = time_routing(servers);
        routing_p50.add(servers, p50);
        routing_p99.add(servers, p99);
    }
    vec![planning, replanning, routing_p50, routing_p99]
}

/// Returns the time of a plan without a previous plan, and of the next plan after the demand has
/// shifted, in milliseconds.
fn time_plans(servers: usize, models: usize) -> (f64, f64) {
    let table = table(models, 1, 60_000);
    let fleet: Vec<ServerCapacity> = (0..servers)
        .map(|index| ServerCapacity {
            name: format!("engine-{index:04}").into(),
            failure_domain: format!("domain-{}", index % 7).into(),
            capacity_mib: 640_000,
        })
        .collect();
    let demand: HashMap<Name, f64> =
        (0..models).map(|index| (model_name(index).into(), 100.0 / (1.0 + index as f64))).collect();
    let timed_plan = |current: &Plan, demand: &HashMap<Name, f64>| {
        let started = Instant::now();
        let input =
            PlacementInput { table: &table, servers: &fleet, demand, current, move_budget: 8 };
        let plan = compute_plan(&input);
        (plan, started.elapsed().as_secs_f64() * 1e3)
    };
    let (current, first) = timed_plan(&Plan::default(), &demand);
    let shifted: HashMap<Name, f64> = (0..models)
        .map(|index| (model_name(models - 1 - index).into(), 100.0 / (1.0 + index as f64)))
        .collect();
    let (_, next) = timed_plan(&current, &shifted);
    (first, next)
}

/// Returns the median and 99th percentile time of a routing decision in microseconds, with 620
/// models on the servers that one entry knows.
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
    let infos = (0..servers).map(|index| ServerInfo {
        name: format!("engine-{index:04}").into(),
        region: format!("region-{}", index % 3).into(),
        loaded: (0..8).map(|k| model_name((index * 8 + k) % MODELS).into()).collect(),
        leaving: false,
    });
    dispatch.set_servers(infos.collect());
    let items: Vec<Name> = (0..MODELS).map(|index| model_name(index).into()).collect();
    let mut times =
        hdrhistogram::Histogram::<u64>::new(3).expect("three significant digits are supported");
    let start = Instant::now();
    let mut in_progress: Vec<(Name, Name, Instant)> = Vec::new();
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
        times.record(began.elapsed().as_nanos() as u64).expect("the histogram resizes itself");
        for action in actions {
            if let savoryport_core::dispatch::Action::Start { server, .. } = action {
                in_progress.push((
                    server,
                    items[(id * 7_919 % MODELS as u64) as usize].clone(),
                    now,
                ));
            }
        }
        if in_progress.len() > 400 {
            let (server, item, began) = in_progress.swap_remove(0);
            let mut sample = Sample::in_progress(300, Duration::from_millis(70));
            sample.end = RequestEnd::Completed;
            sample.total = now - began;
            dispatch.finish(&server, &item, Rank::Normal, &sample, now);
        }
    }
    let micros = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
    (micros(0.5), micros(0.99))
}

/// A control process that runs inside this one, on its own threads, whose CPU time is measured.
struct ControlProcess {
    fleet: LocalFleet,
    address: String,
    /// Stops the threads when it is dropped.
    _runtime: tokio::runtime::Runtime,
    cancel: CancellationToken,
    kv: EtcdClient,
}

impl ControlProcess {
    /// Starts a control process with the given number of engines, and waits until its models are
    /// loaded.
    fn start(engines: usize) -> Result<Self, BoxError> {
        let mut vms = vec![Vm { failure_domain: "domain-0".into(), ..vm(VmRole::Entry, 0) }];
        vms.extend((0..engines).map(|index| Vm {
            failure_domain: "domain-0".into(),
            memory_mib: 100,
            ..vm(VmRole::Engine, index)
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
            .thread_name(CONTROL_THREAD_NAME)
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

    fn write_table(&self, table: &Table) -> Result<(), BoxError> {
        let revision = self.kv.get(keys::TABLE)?.map_or(0, |entry| entry.revision);
        match self.kv.put_if(keys::TABLE, &table.encode()?, revision, None)? {
            PutResult::Written(_) => Ok(()),
            PutResult::Conflict => {
                Err("another process changed the table during the measurement".into())
            }
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
        // Leaves time for the updates that the last load triggers.
        std::thread::sleep(Duration::from_secs(3));
    }
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        self.cancel.cancel();
        std::thread::sleep(Duration::from_millis(300));
    }
}

/// Measures the CPU time and bytes that followers cost the process that they follow.
fn measure_followers() -> Result<Vec<Series>, BoxError> {
    let mut idle = Series::new("an idle follower", "bytes/s by followers");
    let mut change = Series::new("a changed row, all followers", "bytes by followers");
    let mut propagation =
        Series::new("a changed row, until the last follower has it", "ms by followers");
    let mut cpu_time = Series::new("CPU time with idle followers", "% of a core by followers");
    for count in FOLLOWERS {
        let control = ControlProcess::start(4)?;
        let proxy = Proxy::start("127.0.0.1:0", &control.address);
        let follower_runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let (tx, rx) = std::sync::mpsc::channel();
        for index in 0..count {
            follower_runtime.spawn(run_follower(proxy.address().to_owned(), index, tx.clone()));
        }
        std::thread::sleep(Duration::from_secs(2));
        let (bytes, cpu) = (proxy.forwarded_bytes(), thread_cpu_seconds(CONTROL_THREAD_NAME));
        std::thread::sleep(OBSERVATION_TIME);
        let seconds = OBSERVATION_TIME.as_secs_f64();
        idle.add(count, (proxy.forwarded_bytes() - bytes) as f64 / seconds);
        cpu_time.add(count, (thread_cpu_seconds(CONTROL_THREAD_NAME) - cpu) / seconds * 100.0);
        let bytes = proxy.forwarded_bytes();
        let mut slowest: f64 = 0.0;
        for version in 2..2 + TABLE_CHANGES {
            let began = Instant::now();
            let mut next = table(4, version, 50);
            next.rows[0].weight = version as u32;
            control.write_table(&next)?;
            let mut pending = count;
            while pending > 0 {
                pending -= usize::from(rx.recv_timeout(Duration::from_secs(10))? == version);
            }
            slowest = slowest.max(began.elapsed().as_secs_f64() * 1e3);
        }
        change.add(count, (proxy.forwarded_bytes() - bytes) as f64 / TABLE_CHANGES as f64);
        propagation.add(count, slowest);
        follower_runtime.shutdown_background();
    }
    Ok(vec![idle, change, propagation, cpu_time])
}

async fn run_follower(address: String, index: usize, tx: std::sync::mpsc::Sender<u64>) {
    let Ok(client) = ControlClient::connect(&address).await else { return };
    let mut replica = Replica::default();
    loop {
        let req = PullRequest {
            vm: format!("follower-{index}").into(),
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

/// Measures the CPU time and key-value calls that idle servers cost the process that holds their
/// leases.
fn measure_reconciliation() -> Result<Vec<Series>, BoxError> {
    let mut cpu_time = Series::new("CPU time of a lease holder", "% of a core by servers held");
    let mut calls = Series::new("calls of the key-value service", "calls/s by servers held");
    for count in SERVERS_HELD {
        let control = ControlProcess::start(count)?;
        let (cpu, before) =
            (thread_cpu_seconds(CONTROL_THREAD_NAME), control.fleet.kv.call_counts());
        std::thread::sleep(OBSERVATION_TIME);
        let after = control.fleet.kv.call_counts();
        let seconds = OBSERVATION_TIME.as_secs_f64();
        cpu_time.add(count, (thread_cpu_seconds(CONTROL_THREAD_NAME) - cpu) / seconds * 100.0);
        let total =
            |calls: savoryport_standin::kv::CallCounts| calls.reads + calls.writes + calls.watches;
        calls.add(count, (total(after) - total(before)) as f64 / seconds);
    }
    Ok(vec![cpu_time, calls])
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0.0)
}
