//! Adapters to the platform and to the backend servers, one module a neighbour.
//!
//! Each speaks the neighbour's published protocol through a library; the requests, answers, errors
//! and units are listed in `docs/INTERFACES.md`.

pub mod connection;
pub mod engine;
pub mod kv;
pub mod vms;
pub mod wire;

use std::time::Duration;

use ureq::Agent;

/// Makes a blocking HTTP client that reports every status and gives up after `timeout`.
fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into()
}

/// Returns whether a call failed before anything of it was handed to a connection.
fn was_not_sent(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
