//! Experiments: the policy in virtual time, the capacity slopes, the path's own cost.

mod capacity;
mod path;
mod policy;
mod processor;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;

use lexopt::prelude::*;

use self::policy::deployment::Deployment;
use self::policy::report::Results;
use self::policy::rules::{BASELINES, Policy, SAVORYPORT};
use self::policy::sim;
use self::policy::workload::{STEADY_LOAD, Workload};

const USAGE: &str = "\
Usage: savoryport-bench policy [--seeds N] [--workload NAME] [--only-savoryport]
                               [--json FILE] [--against FILE] [--plot FOLDER]
       savoryport-bench goodput [--seeds N]
       savoryport-bench capacity
       savoryport-bench path";

/// Threads that run experiments at once.
const THREADS: usize = 5;

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

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    match parse().map_err(Failure::from).and_then(|options| run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("savoryport-bench: {err}\n\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Options, lexopt::Error> {
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

fn run(options: &Options) -> Result<(), Failure> {
    match options.experiment.as_str() {
        "policy" => policy_experiment(options),
        "goodput" => goodput_experiment(options),
        "capacity" => capacity::run(),
        "path" => path::run(),
        other => Err(format!("unknown experiment {other:?}").into()),
    }
}

fn policy_experiment(options: &Options) -> Result<(), Failure> {
    let deployments = Deployment::all();
    let policies: Vec<Policy> = if options.only_savoryport {
        vec![SAVORYPORT]
    } else {
        std::iter::once(SAVORYPORT).chain(BASELINES).collect()
    };
    let wanted = |workload: &Workload| {
        options.workload.as_deref().is_none_or(|name| name == workload.name())
    };
    let jobs: Vec<(usize, Workload, u64)> = (0..deployments.len())
        .flat_map(|at| Workload::ALL.map(|workload| (at, workload)))
        .filter(|(_, workload)| wanted(workload))
        .flat_map(|(at, workload)| (0..options.seeds).map(move |seed| (at, workload, seed)))
        .collect();
    let results = Mutex::new(Results::default());
    let next = Mutex::new(jobs.into_iter());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let Some((at, workload, seed)) = next.lock().expect("no panic").next() else {
                        return;
                    };
                    run_seed(&deployments[at], workload, seed, &policies, &results);
                }
            });
        }
    });
    print_results(options, &results.into_inner().expect("no panic"))
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
    // A seed's scores are added together, so that they stand at one place for every policy.
    let mut results = results.lock().expect("no panic");
    let workloads = results.runs.entry(deployment.name.to_owned()).or_default();
    let by_policy = workloads.entry(workload.name().to_owned()).or_default();
    for (policy, score) in scores {
        by_policy.entry(policy.to_owned()).or_default().push(score);
    }
}

/// Compares what is served at capacity and at three times of it.
fn goodput_experiment(options: &Options) -> Result<(), Failure> {
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
            let (once, thrice) = (attained(1.0), attained(3.0));
            println!("{}, {seed}: {once}, {thrice}, {:.3}", deployment.name, thrice / once);
        }
    }
    Ok(())
}

fn print_results(options: &Options, results: &Results) -> Result<(), Failure> {
    println!("{}", results.table());
    println!("{}", results.target_table());
    if let Some(path) = &options.against {
        let earlier: Results = serde_json::from_str(&std::fs::read_to_string(path)?)?;
        println!("{}", results.against(&earlier));
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
