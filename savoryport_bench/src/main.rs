//! Runs the experiments: simulations of the placement and routing policies in virtual time, the
//! growth of resource use with the size of the fleet, and the overhead of the request path.

mod capacity;
mod path_overhead;
mod policy;
mod team_quota;
mod thread_cpu;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;

use lexopt::prelude::*;

use self::policy::deployment::Deployment;
use self::policy::policies::{BASELINES, Policy, SAVORYPORT};
use self::policy::report::Results;
use self::policy::sim;
use self::policy::workload::{STEADY_LOAD, Workload};

const USAGE: &str = "\
Usage: savoryport-bench policy [--seeds N] [--workload NAME] [--only-savoryport]
                               [--json FILE] [--against FILE] [--plot FOLDER]
       savoryport-bench goodput [--seeds N]
       savoryport-bench capacity
       savoryport-bench path
       savoryport-bench team-quota";

/// The number of threads that run simulations at the same time.
const WORKER_THREADS: usize = 5;

#[derive(Debug, Default)]
struct Options {
    experiment: String,
    seeds: u64,
    workload: Option<String>,
    only_savoryport: bool,
    json: Option<PathBuf>,
    against: Option<PathBuf>,
    plot: Option<PathBuf>,
}

type BoxError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    match parse_options().map_err(BoxError::from).and_then(|options| run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("savoryport-bench: {err}\n\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn parse_options() -> Result<Options, lexopt::Error> {
    let mut options = Options { seeds: 20, ..Options::default() };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(name) => options.experiment = name.string()?,
            Long("seeds") => options.seeds = parser.value()?.parse()?,
            Long("workload") => options.workload = Some(parser.value()?.string()?),
            Long("only-savoryport") => options.only_savoryport = true,
            Long("json") => options.json = Some(parser.value()?.into()),
            Long("against") => options.against = Some(parser.value()?.into()),
            Long("plot") => options.plot = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn run(options: &Options) -> Result<(), BoxError> {
    match options.experiment.as_str() {
        "policy" => policy_experiment(options),
        "goodput" => goodput_experiment(options),
        "capacity" => capacity::run(),
        "path" => path_overhead::run(),
        "team-quota" => team_quota::run(),
        other => Err(format!("unknown experiment {other:?}").into()),
    }
}

fn policy_experiment(options: &Options) -> Result<(), BoxError> {
    let deployments = Deployment::all();
    let policies: Vec<Policy> = if options.only_savoryport {
        vec![SAVORYPORT]
    } else {
        std::iter::once(SAVORYPORT).chain(BASELINES).collect()
    };
    let is_selected = |workload: &Workload| {
        options.workload.as_deref().is_none_or(|name| name == workload.name())
    };
    let jobs: Vec<(usize, Workload, u64)> = (0..deployments.len())
        .flat_map(|index| Workload::ALL.map(|workload| (index, workload)))
        .filter(|(_, workload)| is_selected(workload))
        .flat_map(|(index, workload)| (0..options.seeds).map(move |seed| (index, workload, seed)))
        .collect();
    let results = Mutex::new(Results::default());
    let pending = Mutex::new(jobs.into_iter());
    std::thread::scope(|scope| {
        for _ in 0..WORKER_THREADS {
            scope.spawn(|| {
                loop {
                    let Some((index, workload, seed)) =
                        pending.lock().expect("no thread panics while holding the lock").next()
                    else {
                        return;
                    };
                    run_seed(&deployments[index], workload, seed, &policies, &results);
                }
            });
        }
    });
    print_results(options, &results.into_inner().expect("no thread panics while holding the lock"))
}

fn run_seed(
    deployment: &Deployment,
    workload: Workload,
    seed: u64,
    policies: &[Policy],
    results: &Mutex<Results>,
) {
    let trace = workload.trace(deployment, seed, 1.0);
    let run = |policy: &Policy| (policy.name, sim::run(deployment, workload, *policy, &trace));
    let scores: Vec<_> = policies.iter().map(run).collect();
    // The scores of one seed are added under one lock, so that they have the same index for every
    // policy.
    let mut results = results.lock().expect("no thread panics while holding the lock");
    let workloads = results.runs.entry(deployment.name.to_owned()).or_default();
    let by_policy = workloads.entry(workload.name().to_owned()).or_default();
    for (policy, score) in scores {
        by_policy.entry(policy.to_owned()).or_default().push(score);
    }
}

/// Compares the requests that meet their targets at an offered load of the fleet's capacity and of
/// three times its capacity.
fn goodput_experiment(options: &Options) -> Result<(), BoxError> {
    println!(
        "deployment, seed: attained at capacity, at three times capacity, ratio (target 0.95)"
    );
    for deployment in Deployment::all() {
        for seed in 0..options.seeds {
            let attained = |load: f64| {
                let trace = Workload::Steady.trace(&deployment, seed, load / STEADY_LOAD);
                let score = sim::run(&deployment, Workload::Steady, SAVORYPORT, &trace);
                score.attained.iter().sum::<u64>() as f64
            };
            let (single, triple) = (attained(1.0), attained(3.0));
            println!("{}, {seed}: {single}, {triple}, {:.3}", deployment.name, triple / single);
        }
    }
    Ok(())
}

fn print_results(options: &Options, results: &Results) -> Result<(), BoxError> {
    println!("{}", results.table());
    println!("{}", results.target_table());
    if let Some(path) = &options.against {
        let earlier: Results = serde_json::from_str(&std::fs::read_to_string(path)?)?;
        println!("{}", results.compare_with(&earlier));
    }
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_string(results)?)?;
    }
    if let Some(folder) = &options.plot {
        for deployment in results.runs.keys() {
            results.plot(deployment, &folder.join(format!("{deployment}.svg")))?;
        }
    }
    Ok(())
}
