//! Runs the whole system on loopback in one process, as a demonstration.
//!
//! The stand-ins and daemons run as tasks of this process, which starts no other. `--exit` ends the
//! demonstration after its requests; without it, the system keeps running for requests by hand.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use savoryport::cli::table::{self, Options};
use savoryport::settings::Settings;
use savoryport_core::fleet::VmList;
use savoryport_standin::engine::EngineConfig;
use savoryport_standin::fleet::LocalFleet;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

/// The table that is applied.
const TABLE_CSV: &str = include_str!("../../../examples/kivela/table.csv");

/// The VM list; its addresses are replaced by loopback addresses.
const VMS_JSON: &str = include_str!("../../../examples/kivela/vms.json");

/// How long to wait until all models are in memory.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval between checks of the engines' memory.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

type BoxError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let keep_running = !std::env::args().any(|arg| arg == "--exit");
    match run(keep_running) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("savoryport-demo: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(keep_running: bool) -> Result<(), BoxError> {
    savoryport::logging::start("savoryport-demo", "error");
    let list: VmList = serde_json::from_str(VMS_JSON)?;
    let fleet = LocalFleet::start(list, Duration::from_millis(500), |vm| EngineConfig {
        capacity_mib: vm.memory_mib,
        checks_fencing: vm.checks_fencing,
        ..EngineConfig::default()
    });
    println!(
        "platform: {} engines, {} plain services, key-value service {}",
        fleet.engines.len(),
        fleet.services.len(),
        fleet.kv.address()
    );
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let cancel = CancellationToken::new();
    start_daemons(&runtime, &fleet, &cancel)?;
    apply_table(&fleet)?;
    let entry = fleet.entries()[0].address.to_string();
    wait_for_models(&fleet)?;
    send_requests(&entry)?;
    if keep_running {
        print_hints(&entry, &fleet);
        runtime.block_on(tokio::signal::ctrl_c())?;
    }
    cancel.cancel();
    runtime.shutdown_timeout(Duration::from_secs(2));
    Ok(())
}

fn start_daemons(
    runtime: &tokio::runtime::Runtime,
    fleet: &LocalFleet,
    cancel: &CancellationToken,
) -> Result<(), BoxError> {
    for vm in fleet.entries() {
        let settings = Settings::parse(&fleet.settings(vm).to_string())?.settings;
        let control = savoryport::control::run(settings.clone(), cancel.clone());
        let entry = savoryport::entry::run(settings, cancel.clone());
        runtime.spawn(async { control.await.map_err(|err| eprintln!("control: {err}")) });
        runtime.spawn(async { entry.await.map_err(|err| eprintln!("entry: {err}")) });
    }
    println!("daemons: {} entries, each with a control process", fleet.entries().len());
    Ok(())
}

fn apply_table(fleet: &LocalFleet) -> Result<(), BoxError> {
    let folder = std::env::temp_dir().join(format!("savoryport-demo-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let path = folder.join("table.csv");
    std::fs::write(&path, TABLE_CSV)?;
    let options = Options {
        key_value: fleet.kv.address().to_owned(),
        vm_list: Some(fleet.vm_list.address().to_owned()),
        first: true,
        ..Options::default()
    };
    let accepted = table::apply(&options, &path);
    std::fs::remove_dir_all(&folder)?;
    println!("table: {}", accepted?);
    Ok(())
}

fn wait_for_models(fleet: &LocalFleet) -> Result<(), BoxError> {
    let rows = savoryport_core::table::parse_csv(TABLE_CSV.as_bytes())?;
    let started = Instant::now();
    loop {
        let loaded: Vec<_> = fleet
            .engines
            .iter()
            .map(savoryport_standin::engine::EngineStandin::loaded_items)
            .collect();
        let items = rows.iter().filter(|row| row.memory_mib > 0);
        let missing = items.filter(|row| !loaded.iter().any(|set| set.contains(&row.name))).count();
        if missing == 0 {
            println!("models: all in memory after {:.1} s", started.elapsed().as_secs_f64());
            return Ok(());
        }
        if started.elapsed() > LOAD_TIMEOUT {
            return Err(format!("{missing} models are still not in memory").into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn send_requests(entry: &str) -> Result<(), BoxError> {
    // Entries learn of a finished load with a short delay.
    std::thread::sleep(POLL_INTERVAL * 5);
    for (model, rank) in [
        ("template-review-1", "urgent"),
        ("pattern-hint-1", "normal"),
        ("catalogue-text-1", "batch"),
    ] {
        let body = json!({
            "model": model,
            "prompt": format!("Hello from the {rank} rank"),
            "max_tokens": 4,
        });
        let (status, outcome, text) = post(entry, "/v1/completions", None, &body)?;
        println!("{rank:>7} completion of {model}: {status} {outcome} {text}");
    }
    let response: Value = ureq::get(format!("http://{entry}/v1/entry?item=restock"))
        .call()?
        .body_mut()
        .read_json()?;
    let ticket = response["ticket"].as_str().unwrap_or_default();
    for again in ["first", "again"] {
        let body = json!({ "beads": 40 });
        let (status, outcome, text) = post(entry, "/services/restock/order", Some(ticket), &body)?;
        println!("restock, {again}: {status} {outcome} {text}");
    }
    Ok(())
}

fn post(
    entry: &str,
    path: &str,
    ticket: Option<&str>,
    body: &Value,
) -> Result<(u16, String, String), BoxError> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut req = agent.post(format!("http://{entry}{path}"));
    if let Some(ticket) = ticket {
        req = req.header("x-savoryport-ticket", ticket);
    }
    let mut response = req.send_json(body)?;
    let outcome = response.headers().get("x-savoryport-outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
    let text = response.body_mut().read_to_string()?;
    Ok((response.status().as_u16(), outcome, text))
}

fn print_hints(entry: &str, fleet: &LocalFleet) {
    println!("\nSend your own, and stop with Ctrl-C:");
    println!(
        "  curl -N http://{entry}/v1/completions -d \
         '{{\"model\":\"pattern-hint-1\",\"prompt\":\"beads\",\"max_tokens\":8,\"stream\":true}}'"
    );
    println!("  curl http://{entry}/v1/entry?item=restock");
    println!(
        "  cargo run --release --bin savoryport -- --key-value {} --vm-list {} status",
        fleet.kv.address(),
        fleet.vm_list.address()
    );
}
