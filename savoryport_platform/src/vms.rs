//! The platform's list of VMs.

use std::time::Duration;

use savoryport_core::fleet::VmList;
use thiserror::Error;

/// The list of VMs could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("cannot read the list of VMs at {address}: {problem}")]
pub struct VmListError {
    /// The address from which the list was requested.
    pub address: String,
    /// The cause, as the HTTP client reports it.
    pub problem: String,
}

/// Fetches the list from `address`, an IP address and port. The list lags behind the actual VMs.
///
/// # Errors
///
/// Returns an error if no response arrives or it cannot be parsed.
pub fn fetch(address: &str, timeout: Duration) -> Result<VmList, VmListError> {
    let failed =
        |err: ureq::Error| VmListError { address: address.to_owned(), problem: err.to_string() };
    let url = format!("http://{address}/vms");
    let mut response = crate::agent(timeout).get(url).call().map_err(failed)?;
    response.body_mut().read_json().map_err(failed)
}
