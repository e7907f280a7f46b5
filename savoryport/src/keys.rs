//! The keys in the key-value service.

/// The prefix of all keys except claims, so that a single watch receives every change that a reader
/// needs.
pub const PREFIX: &str = "savoryport/";

/// The key of the table of models, adapters and services, which operators edit.
pub const TABLE: &str = "savoryport/table";

/// The key of the placement plan.
pub const PLAN: &str = "savoryport/plan";

/// The prefix of the servers' memory ledgers, followed by the name of the server.
pub const SERVERS: &str = "savoryport/server/";

/// The prefix of marks, followed by the name of the mark. A mark is a small value that all entry
/// and control processes receive, such as the holder of a lease or a request to drain a VM.
pub const MARKS: &str = "savoryport/mark/";

/// The prefix of the demand for models, followed by the name of the failure domain that it was
/// measured in.
pub const DEMAND: &str = "savoryport/demand/";

/// The prefix of claims on requests that carry only an idempotency key. It is outside [`PREFIX`],
/// because no reader needs to receive claims.
pub const CLAIMS: &str = "savoryport-claim/";

/// The lease group whose holder computes the placement plans.
pub const PLANNER_GROUP: &str = "planner";

/// Returns the key of a server's memory ledger.
pub fn server_key(name: &str) -> String {
    format!("{SERVERS}{name}")
}

/// Returns the name of the mark whose value identifies the holder of a group's lease.
pub fn lease_mark(group: &str) -> String {
    format!("lease/{group}")
}

/// Returns the name of the mark that requests a drain of a VM.
pub fn drain_mark(vm: &str) -> String {
    format!("drain/{vm}")
}

/// Returns the name of the mark that reports that a server does not respond to the holder of its
/// lease.
pub fn down_mark(server: &str) -> String {
    format!("down/{server}")
}

/// Returns the name of the mark that announces the control process of a VM. The mark's revision is
/// the incarnation of that process.
pub fn control_mark(vm: &str) -> String {
    format!("control/{vm}")
}

/// Returns the key of a mark.
pub fn mark_key(name: &str) -> String {
    format!("{MARKS}{name}")
}
