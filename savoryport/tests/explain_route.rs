//! Tests the command `savoryport explain-route` with a real node.

mod node_site;

use std::process::Command;

use node_site::NodeSite;
use serde_json::Value;

/// The parts of a prompt whose first part other prompts share.
const PARTS: &str = "5c1e07a2:60,91bd3f06:40";

/// Runs the command at the first node for a request to this path, and returns what it prints.
fn explain(site: &NodeSite, path: &str, options: &[&str]) -> String {
    let node = site.nodes[0].metrics_address();
    let output = Command::new(env!("CARGO_BIN_EXE_savoryport"))
        .args(["explain-route", &node, "site.example", path])
        .args(options)
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

fn explain_json(site: &NodeSite, path: &str, options: &[&str]) -> Value {
    let text = explain(site, path, &[options, &["--json"]].concat());
    serde_json::from_str(&text).expect("JSON")
}

/// Guards against an explanation that sends something, or names another server than the one that
/// then gets the request.
#[test]
fn the_explained_server_gets_the_request() {
    let site = NodeSite::start(1);
    assert_eq!(site.send_prompt(0, "first", "m0", PARTS).status, 200);
    let options = ["--model", "m0", "--token-counts", "100,8", "--prompt-parts", PARTS];
    let runs = site.runs();
    let explained = explain_json(&site, "/draft/next", &options);
    let text = explain(&site, "/draft/next", &options);
    assert_eq!(site.runs(), runs, "nothing is sent");

    let service = &explained["services"][0];
    let chosen = service["decision"]["server"].as_str().expect("a server");
    let candidates = service["candidates"].as_array().expect("candidates");
    assert_eq!((candidates.len(), &candidates[0]["server"]), (4, &Value::from(chosen)));
    let costs: Vec<f64> =
        candidates.iter().map(|candidate| candidate["cost_ms"].as_f64().expect("a cost")).collect();
    assert!(costs.is_sorted(), "{costs:?}");
    assert_eq!(candidates[0]["prefix"]["held_tokens"], 100);
    assert!(candidates[0]["prefix"]["age_ms"].is_number(), "{explained}");
    assert!(explained["ages_ms"]["config"].is_number(), "{explained}");
    assert!(text.contains(&format!("to {chosen}, expected")), "{text}");
    assert!(text.contains("100 of 100 recorded tokens held"), "{text}");

    assert_eq!(site.send_prompt(0, "next", "m0", PARTS).status, 200);
    assert_eq!(site.server(chosen).runs_of("next"), 1);
}

/// Guards against requests without a server that are explained as errors of the command.
#[test]
fn refusals_waits_and_unsuitable_servers_are_explained() {
    let site = NodeSite::start(1);
    let service = explain_json(&site, "/draft/a", &["--model", "m1"])["services"][0].clone();
    assert_eq!(service["candidates"].as_array().map(Vec::len), Some(2));
    assert_eq!(service["others"].as_object().map(serde_json::Map::len), Some(2));
    assert_eq!(service["decision"]["kind"], "send");
    let unknown_model = explain_json(&site, "/draft/a", &["--model", "none"]);
    assert_eq!(unknown_model["services"][0]["decision"]["kind"], "wait");
    let unknown_path = explain_json(&site, "/nowhere", &[]);
    assert_eq!(unknown_path["decision"]["status"], 404);
    let malformed = explain(&site, "/draft/a", &["--model", "m1", "--prompt-parts", "zz:1"]);
    assert!(malformed.contains("refused with 400, bad-head"), "{malformed}");
    let plain = explain_json(&site, "/lookup/a", &[]);
    assert_eq!(plain["services"][0]["candidates"].as_array().map(Vec::len), Some(3));
}
