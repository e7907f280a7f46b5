//! The `drain` command, which keeps new work from a VM until the drain is ended.

use savoryport_platform::kv::{KeyValueService, KvError, PutResult};

use super::CliError;
use super::arguments::Options;
use crate::keys;

/// The value of the mark that requests a drain. An empty value ends the drain, and any other
/// requests it.
const DRAIN_REQUESTED: &str = "operator";

/// Requests a drain of a VM, or ends it with `--undo`.
pub(super) fn drain(options: &Options, vm: &str) -> Result<String, CliError> {
    let kv = options.kv_client();
    let key = keys::mark_key(&keys::drain_mark(vm));
    let value = if options.undo { "" } else { DRAIN_REQUESTED };
    loop {
        let current = kv.get(&key).map_err(|err| CliError::NotReachable(err.to_string()))?;
        let revision = current.map_or(0, |entry| entry.revision);
        match kv.put_if(&key, value.as_bytes(), revision, None) {
            Ok(PutResult::Written(_)) if options.undo => {
                return Ok(format!("{vm}: drain taken back"));
            }
            Ok(PutResult::Written(_)) => return Ok(format!("{vm}: gets no new work")),
            Ok(PutResult::Conflict) => {}
            Err(err @ (KvError::NotReachable { .. } | KvError::Refused(_))) => {
                return Err(CliError::NotReachable(err.to_string()));
            }
            Err(err) => {
                return Err(CliError::OutcomeUnknown(format!("{err}; run the command again")));
            }
        }
    }
}
