//! Drains: a VM gets no new work until the drain is taken back.

use savoryport_platform::kv::{KeyValueService, KvError, PutResult};

use super::CliError;
use super::arguments::Options;
use crate::keys;

/// The value of a drain's mark, which only has to differ from nothing.
const ORDERED: &str = "operator";

/// Orders a drain, or takes it back.
pub(super) fn drain(options: &Options, vm: &str) -> Result<String, CliError> {
    let kv = options.kv();
    let key = keys::mark(&keys::drain_mark(vm));
    let value = if options.undo { "" } else { ORDERED };
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
            Err(err) => return Err(CliError::Unknown(format!("{err}; run the command again"))),
        }
    }
}
