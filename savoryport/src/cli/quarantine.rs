//! The `quarantine` commands, which list and clear the requests and the parts of prompts that nodes
//! refuse because servers crashed on them.

use serde_json::Value;
use ureq::Agent;

use super::CliError;
use super::arguments::Options;

/// Lists what is in quarantine as the node with this metrics address knows them.
pub(super) fn list(options: &Options, node: &str) -> Result<String, CliError> {
    let url = format!("http://{node}/status");
    let status = read_json(agent(options).get(&url).call(), node)?;
    let entries = status["quarantine"].as_array().ok_or_else(|| {
        CliError::Refused(format!("{node}: not the metrics address of a savoryport-node"))
    })?;
    if entries.is_empty() {
        return Ok("no part or request is in quarantine".to_owned());
    }
    let lines = entries.iter().map(|entry| {
        let servers = join(&entry["servers"], ", ");
        match (entry["request"].as_str(), entry["ends_in_s"].as_f64()) {
            (Some(request), Some(ends_in_s)) => {
                format!("{request}  request, ends in {ends_in_s:.0} s, crashed: {servers}\n")
            }
            _ => format!("{}  crashed: {servers}\n", join(&entry["parts"], "+")),
        }
    });
    Ok(lines.collect())
}

/// Clears a part or a request at a node, which passes that on to all others.
pub(super) fn clear(options: &Options, node: &str, part: &str) -> Result<String, CliError> {
    if u64::from_str_radix(part, 16).is_err() {
        return Err(CliError::Usage(format!(
            "not the hexadecimal id of a part or a request: {part}"
        )));
    }
    let url = format!("http://{node}/quarantine/clear/{part}");
    let outcome = read_json(agent(options).post(&url).send_empty(), node)?;
    match outcome["was_quarantined"].as_bool() {
        Some(true) => Ok(format!("{part}: cleared")),
        _ => Ok(format!("{part}: was not in quarantine")),
    }
}

pub(super) fn agent(options: &Options) -> Agent {
    Agent::config_builder().timeout_global(Some(options.timeout)).build().into()
}

pub(super) fn read_json(
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    node: &str,
) -> Result<Value, CliError> {
    let not_reachable = |err: ureq::Error| CliError::NotReachable(format!("{node}: {err}"));
    result.map_err(not_reachable)?.body_mut().read_json().map_err(not_reachable)
}

fn join(values: &Value, separator: &str) -> String {
    let texts = values.as_array().into_iter().flatten().filter_map(Value::as_str);
    texts.collect::<Vec<_>>().join(separator)
}
