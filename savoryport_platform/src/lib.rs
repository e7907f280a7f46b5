//! Clients of the platform's services and of the backend servers, one module for each.
//!
//! Each client implements the published protocol of its counterpart on top of a library. The
//! requests, responses, errors and units are listed in `docs/INTERFACES.md`.

pub mod connection;
pub mod engine;
pub mod kv;
pub mod vms;
pub mod wire;

use std::time::Duration;

use ureq::Agent;

/// Creates a blocking HTTP client that returns responses of any status and limits each call to
/// `timeout`.
fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into()
}

/// Returns whether a call failed before anything of it was sent.
fn was_not_sent(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
