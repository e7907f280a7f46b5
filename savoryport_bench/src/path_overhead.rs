//! Measures the overhead of the request path: sends the same requests through an entry and directly
//! to the stand-in engine, in the same run.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use savoryport::settings::Settings;
use savoryport_core::fleet::{Vm, VmList, VmRole};
use savoryport_core::table::Table;
use savoryport_platform::kv::{EtcdClient, KeyValueService};
use savoryport_standin::engine::EngineConfig;
use savoryport_standin::fleet::LocalFleet;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::thread_cpu::thread_cpu_seconds;

type BoxError = Box<dyn std::error::Error>;

/// The numbers of concurrent requests that are measured.
const CONCURRENCY_LEVELS: [usize; 3] = [1, 16, 64];

/// How long requests are sent at each concurrency.
const LOAD_DURATION: Duration = Duration::from_secs(4);

/// The number of tokens in each response.
const TOKENS_PER_RESPONSE: u32 = 4;

/// The name of the entry's threads, whose CPU time is measured.
const ENTRY_THREAD_NAME: &str = "entry";

/// The table in force during the measurement.
const TABLE_CSV: &str = "\
kind,name,base,memory_mib,weight,rank,max_in_flight,first_token_ms,between_tokens_ms,min_copies,repeatable
model,m,,100,1,urgent,256,5000,1000,1,yes
";

/// The results at one concurrency.
struct LoadResult {
    /// Times to the first token, in microseconds.
    first_token: Histogram<u64>,
    requests: u64,
    /// The duration of the measurement, in seconds.
    seconds: f64,
}

/// Measures the overhead at each concurrency and prints a Markdown table.
pub fn run() -> Result<(), BoxError> {
    let fleet = start_fleet();
    let settings = Settings::parse(&entry_settings(&fleet).to_string())?.settings;
    let cancel = CancellationToken::new();
    let control = build_runtime("path-control")?;
    let running = savoryport::control::run(settings.clone(), cancel.clone());
    control.spawn(async { running.await.map_err(|err| eprintln!("control: {err}")) });
    let entry = build_runtime(ENTRY_THREAD_NAME)?;
    let address = settings.entry_listen.clone();
    let running = savoryport::entry::run(settings, cancel.clone());
    entry.spawn(async { running.await.map_err(|err| eprintln!("entry: {err}")) });
    put_table(&fleet)?;
    wait_until_ready(&address)?;
    println!(
        "| in flight | direct p50, p99 (us) | through the entry p50, p99 (us) | added p50, p99 (us) \
         | requests/s | requests/s a core of the entry |\n| --- | --- | --- | --- | --- | --- |"
    );
    for in_flight in CONCURRENCY_LEVELS {
        let direct = run_load(&fleet.initial_list.vms[1].address, in_flight);
        let cpu_before = thread_cpu_seconds(ENTRY_THREAD_NAME);
        let through = run_load(&address, in_flight);
        let cpu_seconds = thread_cpu_seconds(ENTRY_THREAD_NAME) - cpu_before;
        let micros_at =
            |result: &LoadResult, quantile| result.first_token.value_at_quantile(quantile);
        let (direct_p50, direct_p99) = (micros_at(&direct, 0.5), micros_at(&direct, 0.99));
        let (through_p50, through_p99) = (micros_at(&through, 0.5), micros_at(&through, 0.99));
        println!(
            "| {in_flight} | {direct_p50}, {direct_p99} | {through_p50}, {through_p99} | \
             {}, {} | {:.0} | {:.0} |",
            through_p50 as i64 - direct_p50 as i64,
            through_p99 as i64 - direct_p99 as i64,
            through.requests as f64 / through.seconds,
            through.requests as f64 / cpu_seconds
        );
    }
    cancel.cancel();
    std::thread::sleep(Duration::from_millis(300));
    Ok(())
}

fn start_fleet() -> LocalFleet {
    let vm = |name: &str, role| Vm {
        name: name.into(),
        role,
        address: "".into(),
        control_address: None,
        failure_domain: "a".into(),
        region: "r".into(),
        leaving: false,
        memory_mib: 1_000,
        checks_fencing: true,
        services: Vec::new(),
    };
    let vms = vec![vm("entry-1", VmRole::Entry), vm("engine-1", VmRole::Engine)];
    LocalFleet::start(VmList { version: 1, vms }, Duration::ZERO, |vm| EngineConfig {
        capacity_mib: vm.memory_mib,
        slots: 256,
        prefill_per_token: Duration::ZERO,
        token_time: Duration::from_millis(1),
        ..EngineConfig::default()
    })
}

fn entry_settings(fleet: &LocalFleet) -> serde_json::Value {
    let mut settings = fleet.settings(fleet.entries()[0]);
    settings["initial_limit"] = json!(256);
    settings["log_level"] = json!("error");
    settings
}

fn build_runtime(name: &str) -> Result<tokio::runtime::Runtime, BoxError> {
    Ok(tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build()?)
}

fn put_table(fleet: &LocalFleet) -> Result<(), BoxError> {
    let rows = savoryport_core::table::parse_csv(TABLE_CSV.as_bytes())?;
    let table = Table { version: 1, change_id: String::new(), rows };
    let kv = EtcdClient::new(fleet.kv.address(), Duration::from_secs(1));
    kv.put_if(savoryport::keys::TABLE, &table.encode()?, 0, None)?;
    Ok(())
}

fn wait_until_ready(address: &str) -> Result<(), BoxError> {
    let agent = ureq::Agent::new_with_defaults();
    for _ in 0..200 {
        if time_to_first_token(&agent, address).is_ok() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("the entry served no request in 200 attempts".into())
}

fn run_load(address: &str, in_flight: usize) -> LoadResult {
    let started = Instant::now();
    let histograms: Vec<Histogram<u64>> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..in_flight)
            .map(|_| {
                scope.spawn(|| {
                    let agent = ureq::Agent::new_with_defaults();
                    let mut times =
                        Histogram::new(3).expect("three significant digits are supported");
                    while started.elapsed() < LOAD_DURATION {
                        if let Ok(time) = time_to_first_token(&agent, address) {
                            times
                                .record(time.as_micros() as u64)
                                .expect("the histogram resizes itself");
                        }
                    }
                    times
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("no caller thread panics")).collect()
    });
    let mut first_token = Histogram::new(3).expect("three significant digits are supported");
    for times in histograms {
        first_token.add(times).expect("the histograms have the same precision");
    }
    let seconds = started.elapsed().as_secs_f64();
    LoadResult { requests: first_token.len(), first_token, seconds }
}

/// Sends one request, reads its complete response, and returns the time to its first token.
fn time_to_first_token(agent: &ureq::Agent, address: &str) -> Result<Duration, BoxError> {
    let body = json!({ "model": "m", "prompt": "hello", "max_tokens": TOKENS_PER_RESPONSE, "stream": true });
    let began = Instant::now();
    let response = agent.post(format!("http://{address}/v1/completions")).send_json(body)?;
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    let first = lines.next().ok_or("the answer has no first token")??;
    let time = began.elapsed();
    let last = lines.map_while(Result::ok).filter(|line| !line.is_empty()).last();
    match (first.starts_with("data: {"), last.as_deref()) {
        (true, Some("data: [DONE]")) => Ok(time),
        other => Err(format!("the answer is incomplete: {other:?}").into()),
    }
}
