//! The `explain-route` command, which shows where a node would send a request now, and why.

use std::fmt::Write as _;

use serde_json::Value;

use super::CliError;
use super::arguments::Options;
use super::quarantine::{agent, read_json};

/// A request that is described on the command line, in the syntax of callers' headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DescribedRequest {
    /// The host that it names.
    pub host: String,
    /// The path.
    pub path: String,
    /// The model, followed by a slash and the adapter if one is used.
    pub model: Option<String>,
    /// The number of tokens in the prompt and the largest number to generate.
    pub token_counts: Option<String>,
    /// The parts of the prompt.
    pub prompt_parts: Option<String>,
    /// The name of the team that sends it.
    pub team: Option<String>,
}

/// Asks the node with this metrics address for its decision.
pub(super) fn explain_route(
    options: &Options,
    node: &str,
    request: &DescribedRequest,
) -> Result<String, CliError> {
    let fields = [
        ("host", Some(&request.host)),
        ("path", Some(&request.path)),
        ("model", request.model.as_ref()),
        ("token_counts", request.token_counts.as_ref()),
        ("prompt_parts", request.prompt_parts.as_ref()),
        ("team", request.team.as_ref()),
    ];
    let query = fields.into_iter().filter_map(|(name, value)| Some((name, value?)));
    let call = agent(options).post(format!("http://{node}/explain-route")).query_pairs(query);
    let explained = read_json(call.send_empty(), node)?;
    if explained["services"].is_null() {
        return Err(CliError::Refused(format!("{node}: not the metrics address of a node")));
    }
    if options.json {
        return Ok(format!("{explained:#}"));
    }
    Ok(describe(&explained))
}

fn describe(explained: &Value) -> String {
    let mut text = format!(
        "{}, config {}, known to be current {} ago; loads of other nodes {} old\n",
        word(&explained["vm"]),
        explained["config"],
        age(&explained["ages_ms"]["config"]),
        age(&explained["ages_ms"]["loads_of_other_nodes"]),
    );
    if let Some(route) = explained["route"].as_object() {
        let _ = writeln!(text, "route {}, rank {}", word(&route["name"]), route["rank"]);
    }
    if !explained["decision"].is_null() {
        let _ = writeln!(text, "{}", describe_decision(&explained["decision"]));
    }
    for service in explained["services"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "service {} (weight {}): {}",
            word(&service["service"]),
            service["weight"],
            describe_decision(&service["decision"])
        );
        for candidate in service["candidates"].as_array().into_iter().flatten() {
            describe_candidate(&mut text, candidate);
        }
        for (server, reason) in service["others"].as_object().into_iter().flatten() {
            let _ = writeln!(text, "  {server}: no candidate, {}", word(reason));
        }
    }
    text
}

fn describe_decision(decision: &Value) -> String {
    match word(&decision["kind"]) {
        "send" => {
            let mut text = format!(
                "to {}, expected {}",
                word(&decision["server"]),
                ms(&decision["expected_ms"])
            );
            for (field, words) in [
                ("loads_adapter", ", once the adapter is loaded"),
                ("needs_permit", ", with a permit of the owner of its limit"),
            ] {
                if decision[field] == true {
                    text.push_str(words);
                }
            }
            if let Some(source) = decision["copy_from"].as_str() {
                let _ = write!(text, ", copies the prefix from {source}");
            }
            text
        }
        "wait" => format!("waits for {}", word(&decision["for"])),
        _ => {
            let mut text =
                format!("refused with {}, {}", decision["status"], word(&decision["cause"]));
            if !decision["retry_after_ms"].is_null() {
                let _ = write!(text, ", may return after {}", age(&decision["retry_after_ms"]));
            }
            if let Some(problem) = decision["problem"].as_str() {
                let _ = write!(text, ": {problem}");
            }
            text
        }
    }
}

fn describe_candidate(text: &mut String, candidate: &Value) {
    let prefix = &candidate["prefix"];
    let _ = writeln!(
        text,
        "  {} in {}: cost {}, expected {}",
        word(&candidate["server"]),
        word(&candidate["failure_domain"]),
        ms(&candidate["cost_ms"]),
        ms(&candidate["expected_ms"]),
    );
    let _ = writeln!(
        text,
        "    own work {}, wait {} ({} running, {} queued, memory {}), slowness {:.2}",
        ms(&candidate["service_ms"]),
        ms(&candidate["wait_ms"]),
        candidate["running"],
        ms(&candidate["queue_ms"]),
        ms(&prefix["memory_wait_ms"]),
        candidate["slowness"].as_f64().unwrap_or_default(),
    );
    let _ = writeln!(
        text,
        "    prefix: {} of {} recorded tokens held, last use {} ago, saves {}",
        prefix["held_tokens"],
        prefix["recorded_tokens"],
        age(&prefix["age_ms"]),
        ms(&prefix["saving_ms"]),
    );
    let costs = [
        ("distance", &candidate["distance_ms"]),
        ("adapter", &candidate["adapter_ms"]),
        ("failures", &candidate["failures_ms"]),
        ("batch", &candidate["batch_ms"]),
        ("connection", &candidate["connection_ms"]),
        ("preemption", &prefix["preemption_ms"]),
        ("displaced prefixes", &prefix["displaced_ms"]),
    ];
    let costs: Vec<String> = costs
        .into_iter()
        .filter(|(_, cost)| cost.as_f64().is_some_and(|cost| cost > 0.0))
        .map(|(name, cost)| format!("{name} {}", ms(cost)))
        .collect();
    if !costs.is_empty() {
        let _ = writeln!(text, "    costs: {}", costs.join(", "));
    }
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn ms(value: &Value) -> String {
    format!("{:.1} ms", value.as_f64().unwrap_or_default())
}

fn age(value: &Value) -> String {
    value.as_f64().map_or("an unknown time".to_owned(), |ms| format!("{ms:.0} ms"))
}
