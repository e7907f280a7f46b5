//! What the request path itself costs: the same requests through an entry and straight to the
//! stand-in engine, in the same run.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use savoryport::settings::Settings;
use savoryport_core::fleet::{Vm, VmList, VmRole};
use savoryport_core::table::Table;
use savoryport_platform::kv::{EtcdClient, KeyValue};
use savoryport_standin::engine::EngineConfig;
use savoryport_standin::fleet::LocalFleet;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::processor::seconds_of;

type Failure = Box<dyn std::error::Error>;

/// Requests in flight.
const IN_FLIGHT: [usize; 3] = [1, 16, 64];

/// How long each load lasts.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Tokens of each answer.
const TOKENS: u32 = 4;

/// The name of the entry's threads.
const ENTRY_THREADS: &str = "entry";

/// The table of the run.
const TABLE: &str = "\
kind,name,base,memory_mib,weight,rank,max_in_flight,first_token_ms,between_tokens_ms,min_copies,repeatable
model,m,,100,1,urgent,256,5000,1000,1,yes
";

/// One load's figures.
struct Load {
    first_token: Histogram<u64>,
    requests: u64,
    seconds: f64,
}

/// Measures and prints.
pub fn run() -> Result<(), Failure> {
    let fleet = start_fleet();
    let settings = Settings::parse(&settings(&fleet).to_string())?.settings;
    let cancel = CancellationToken::new();
    let control = runtime("path-control")?;
    let running = savoryport::control::run(settings.clone(), cancel.clone());
    control.spawn(async { running.await.map_err(|err| eprintln!("control: {err}")) });
    let entry = runtime(ENTRY_THREADS)?;
    let address = settings.entry_listen.clone();
    let running = savoryport::entry::run(settings, cancel.clone());
    entry.spawn(async { running.await.map_err(|err| eprintln!("entry: {err}")) });
    put_table(&fleet)?;
    wait_until_ready(&address)?;
    println!(
        "| in flight | direct p50, p99 (us) | through the entry p50, p99 (us) | added p50, p99 (us) \
         | requests/s | requests/s a core of the entry |\n| --- | --- | --- | --- | --- | --- |"
    );
    for in_flight in IN_FLIGHT {
        let direct = load(&fleet.initial_list.vms[1].address, in_flight);
        let before = seconds_of(ENTRY_THREADS);
        let through = load(&address, in_flight);
        let spent = seconds_of(ENTRY_THREADS) - before;
        let at = |load: &Load, quantile| load.first_token.value_at_quantile(quantile);
        let (d50, d99) = (at(&direct, 0.5), at(&direct, 0.99));
        let (t50, t99) = (at(&through, 0.5), at(&through, 0.99));
        println!(
            "| {in_flight} | {d50}, {d99} | {t50}, {t99} | {}, {} | {:.0} | {:.0} |",
            t50 as i64 - d50 as i64,
            t99 as i64 - d99 as i64,
            through.requests as f64 / through.seconds,
            through.requests as f64 / spent
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

fn settings(fleet: &LocalFleet) -> serde_json::Value {
    let mut settings = fleet.settings(fleet.entries()[0]);
    settings["initial_limit"] = json!(256);
    settings["log_level"] = json!("error");
    settings
}

fn runtime(name: &str) -> Result<tokio::runtime::Runtime, Failure> {
    Ok(tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build()?)
}

fn put_table(fleet: &LocalFleet) -> Result<(), Failure> {
    let rows = savoryport_core::table::parse_csv(TABLE.as_bytes())?;
    let table = Table { version: 1, change_id: String::new(), rows };
    let kv = EtcdClient::new(fleet.kv.address(), Duration::from_secs(1));
    kv.put_if(savoryport::keys::TABLE, &table.encode()?, 0, None)?;
    Ok(())
}

fn wait_until_ready(address: &str) -> Result<(), Failure> {
    let agent = ureq::Agent::new_with_defaults();
    for _ in 0..200 {
        if first_token(&agent, address).is_ok() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("the entry does not serve".into())
}

fn load(address: &str, in_flight: usize) -> Load {
    let started = Instant::now();
    let histograms: Vec<Histogram<u64>> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..in_flight)
            .map(|_| {
                scope.spawn(|| {
                    let agent = ureq::Agent::new_with_defaults();
                    let mut times = Histogram::new(3).expect("three digits");
                    while started.elapsed() < LOAD_TIME {
                        if let Ok(time) = first_token(&agent, address) {
                            times.record(time.as_micros() as u64).expect("within bounds");
                        }
                    }
                    times
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    let mut first_token = Histogram::new(3).expect("three digits");
    for times in histograms {
        first_token.add(times).expect("the same bounds");
    }
    let seconds = started.elapsed().as_secs_f64();
    Load { requests: first_token.len(), first_token, seconds }
}

/// Sends one request, reads its whole answer, and returns the time to its first token.
fn first_token(agent: &ureq::Agent, address: &str) -> Result<Duration, Failure> {
    let body = json!({ "model": "m", "prompt": "hello", "max_tokens": TOKENS, "stream": true });
    let began = Instant::now();
    let answer = agent.post(format!("http://{address}/v1/completions")).send_json(body)?;
    let mut lines = BufReader::new(answer.into_body().into_reader()).lines();
    let first = lines.next().ok_or("no first token")??;
    let time = began.elapsed();
    let last = lines.map_while(Result::ok).filter(|line| !line.is_empty()).last();
    match (first.starts_with("data: {"), last.as_deref()) {
        (true, Some("data: [DONE]")) => Ok(time),
        other => Err(format!("not a whole answer: {other:?}").into()),
    }
}
