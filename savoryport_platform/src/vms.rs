//! The platform's list of VMs.

use std::time::Duration;

use savoryport_core::fleet::VmList;
use thiserror::Error;

/// The list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("list of VMs at {address} not readable: {problem}")]
pub struct VmListError {
    /// Where the list should be.
    pub address: String,
    /// What went wrong.
    pub problem: String,
}

/// Reads the list at an IP address and port; it lags behind the truth.
///
/// # Errors
///
/// Returns an error where no list came.
pub fn fetch(address: &str, timeout: Duration) -> Result<VmList, VmListError> {
    let failed =
        |err: ureq::Error| VmListError { address: address.to_owned(), problem: err.to_string() };
    let url = format!("http://{address}/vms");
    let mut answer = crate::agent(timeout).get(url).call().map_err(failed)?;
    answer.body_mut().read_json().map_err(failed)
}
