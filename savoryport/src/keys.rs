//! The keys in the key-value service.

/// The prefix of every key; one watch on it shows a reader all that changes.
pub const PREFIX: &str = "savoryport/";

/// The key of the operators' table.
pub const TABLE: &str = "savoryport/table";

/// The key of the plan.
pub const PLAN: &str = "savoryport/plan";

/// The prefix of the servers' ledgers.
pub const SERVERS: &str = "savoryport/server/";

/// The prefix of marks: leases held and drains ordered.
pub const MARKS: &str = "savoryport/mark/";

/// The prefix of the failure domains' demand.
pub const DEMAND: &str = "savoryport/demand/";

/// The prefix of claims on requests that carry only an idempotency key. It lies outside
/// [`PREFIX`], since no reader has to see a claim.
pub const CLAIMS: &str = "savoryport-claim/";

/// The group whose lease allows to make plans.
pub const PLANNER_GROUP: &str = "planner";

/// Returns the key of a server's ledger.
pub fn server_key(name: &str) -> String {
    format!("{SERVERS}{name}")
}

/// Returns the name of the mark that says who holds the lease of a group.
pub fn lease_mark(group: &str) -> String {
    format!("lease/{group}")
}

/// Returns the name of the mark that orders a VM to drain.
pub fn drain_mark(vm: &str) -> String {
    format!("drain/{vm}")
}

/// Returns the name of the mark that says that a server does not answer its holder.
pub fn down_mark(server: &str) -> String {
    format!("down/{server}")
}

/// Returns the name of the mark with the incarnation of a VM's control process.
pub fn control_mark(vm: &str) -> String {
    format!("control/{vm}")
}

/// Returns the key of a mark.
pub fn mark_key(name: &str) -> String {
    format!("{MARKS}{name}")
}
