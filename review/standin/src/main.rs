//! Plays one case of the review: starts the node, the stand-ins and the callers, and judges what
//! they have seen. The exit status is 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod bad_answers;
mod crashing_request;
mod http;
mod json;
mod keep_alive;
mod node;
mod record;
mod server;
mod spoiled_event;
mod stale_leader;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use node::Place;
use record::Record;

/// The outcome of a case.
pub enum Verdict {
    Broken(String),
    Held(String),
}

/// What a case needs to run.
pub struct Run {
    pub place: Place,
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(program), Some(record)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: review-standin CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match play(&case, program.into(), record.into(), trouble) {
        Ok(Verdict::Broken(text)) => {
            println!("BROKEN: {text}");
            ExitCode::from(1)
        }
        Ok(Verdict::Held(text)) => {
            println!("held: {text}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn play(
    case: &str,
    program: PathBuf,
    record: PathBuf,
    trouble: bool,
) -> Result<Verdict, Box<dyn std::error::Error>> {
    let folder = node::temporary_folder(case)?;
    let record = Record::create(&record)?;
    record.line(&format!("case {case}, disruption: {trouble}"));
    let run = Run { place: Place { program, folder: folder.clone() }, record, trouble };
    let verdict = match case {
        "keep-alive" => keep_alive::play(&run),
        "stale-leader" => stale_leader::play(&run),
        "crashing-request" => crashing_request::play(&run),
        "spoiled-event" => spoiled_event::play(&run),
        "extra-bytes" => bad_answers::play(&run, server::Fault::SendsExtraBytes),
        "switched-protocols" => bad_answers::play(&run, server::Fault::SwitchesProtocols),
        _ => Err(format!("no such case: {case}").into()),
    };
    node::remove_folder(&folder);
    match &verdict {
        Ok(Verdict::Broken(text)) => run.record.line(&format!("BROKEN: {text}")),
        Ok(Verdict::Held(text)) => run.record.line(&format!("held: {text}")),
        Err(err) => run.record.line(&format!("could not run: {err}")),
    }
    verdict
}

/// The configuration of the cases: a plain service and one of model engines, with the figures of a
/// small deployment.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"order-place","host":"site.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"service":"tilaus","maxAttempts":1}},
{{"name":"stock-look","host":"site.example","pathPrefix":"/stock/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"service":"tilaus","maxAttempts":2}},
{{"name":"pattern-hint","host":"site.example","pathPrefix":"/hint/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":1500,"priority":1,"service":"helmi","maxAttempts":2,"sessionAffinity":true,"resumable":true,"targetGapMs":300}}],
"services":[{{"name":"tilaus","healthPath":"/health","connectionLimit":110}},
{{"name":"helmi","healthPath":"/health","connectionLimit":370,"inferenceEngine":{{"slots":64,"kvCacheTokens":254920,"kvBytes":163840,"linkMbps":1100000.0,"stride":5,"weightsMb":220000.0,"adapterCapacity":5,"loadsPerS":1.4,"models":[{{"name":"m0","weightsMb":65100.0,"loadTimeS":5.0,"adapters":38,"adapterSizeMb":12.0,"warmUpS":0.38,"diskLoadS":1.0}}]}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
    .replace('\n', "")
}
