//! Runs one stand-in as a separate process.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::*;
use savoryport_core::fleet::VmList;
use savoryport_standin::engine::{EngineConfig, EngineStandin};
use savoryport_standin::kv::KvStandin;
use savoryport_standin::proxy::Proxy;
use savoryport_standin::service::ServiceStandin;
use savoryport_standin::vm_list::VmListStandin;
use savoryport_standin::weights::{Limits, WeightStandin};

const USAGE: &str = "\
Usage: savoryport-standin KIND --listen ADDRESS [OPTIONS]

Kinds:
  kv        key-value service, JSON form of etcd v3
  engine    model engine  [--memory-mib N] [--ignore-fencing] [--weight-store ADDRESS]
  service   plain service
  weights   weight store  [--loads-per-second N] [--full-speed-loads N]
  vms       list of VMs   --list FILE.json [--lag-ms N]
  proxy     TCP proxy     --target ADDRESS [--delay-ms N] [--bytes-per-second N]";

#[derive(Default)]
struct Options {
    kind: String,
    listen: String,
    engine: EngineConfig,
    list: String,
    target: String,
    lag: Duration,
    delay: Duration,
    bytes_per_second: u64,
    loads_per_second: f64,
    full_speed_loads: u32,
}

fn main() -> ExitCode {
    match parse_args().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("savoryport-standin: {err}\n\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn parse_args() -> Result<Options, lexopt::Error> {
    let mut options = Options { loads_per_second: 2.0, full_speed_loads: 8, ..Options::default() };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(kind) => options.kind = kind.string()?,
            Long("listen") => options.listen = parser.value()?.string()?,
            Long("memory-mib") => options.engine.capacity_mib = parser.value()?.parse()?,
            Long("ignore-fencing") => options.engine.checks_fencing = false,
            Long("weight-store") => options.engine.weight_store = Some(parser.value()?.string()?),
            Long("loads-per-second") => options.loads_per_second = parser.value()?.parse()?,
            Long("full-speed-loads") => options.full_speed_loads = parser.value()?.parse()?,
            Long("list") => options.list = parser.value()?.string()?,
            Long("lag-ms") => options.lag = Duration::from_millis(parser.value()?.parse()?),
            Long("target") => options.target = parser.value()?.string()?,
            Long("delay-ms") => options.delay = Duration::from_millis(parser.value()?.parse()?),
            Long("bytes-per-second") => options.bytes_per_second = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn run(options: Options) -> Result<(), lexopt::Error> {
    let listen = &options.listen;
    match options.kind.as_str() {
        "kv" => run_forever(listen, &KvStandin::start(listen)),
        "engine" => {
            let incarnation = u64::from(std::process::id());
            run_forever(listen, &EngineStandin::start(listen, options.engine, incarnation))
        }
        "service" => run_forever(listen, &ServiceStandin::start(listen)),
        "weights" => {
            let limits = Limits {
                loads_per_second: options.loads_per_second,
                full_speed_loads: options.full_speed_loads,
                load_time: Duration::from_secs(1),
            };
            run_forever(listen, &WeightStandin::start(listen, limits))
        }
        "vms" => {
            let text = std::fs::read_to_string(&options.list)
                .map_err(|err| format!("{}: {err}", options.list))?;
            let vm_list: VmList =
                serde_json::from_str(&text).map_err(|err| format!("{}: {err}", options.list))?;
            run_forever(listen, &VmListStandin::start(listen, vm_list, options.lag))
        }
        "proxy" => {
            let proxy = Proxy::start(listen, &options.target);
            proxy.set_faults(|faults| {
                faults.delay = options.delay;
                faults.bytes_per_second = options.bytes_per_second;
            });
            run_forever(listen, &proxy)
        }
        kind => Err(format!("unknown kind {kind:?}").into()),
    }
}

/// Keeps a stand-in running until the process is terminated.
fn run_forever<T>(listen: &str, _standin: &T) -> Result<(), lexopt::Error> {
    println!("listening on {listen}");
    loop {
        std::thread::park();
    }
}
