//! The placement and routing policies that are compared.

/// How a server is chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// Dispatch of `savoryport_core`, with its queues, concurrency limits and server selection.
    Dispatch,
    /// The server with the fewest requests in flight, with exact knowledge of the numbers.
    LeastInFlight,
    /// Round robin over the servers that have the model.
    RoundRobin,
    /// Of two servers drawn at random, the one with fewer requests in flight.
    TwoChoices,
}

/// How models are placed on servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// The plans of `savoryport_core`, updated as demand changes.
    Plan,
    /// Copies by the table's weights, placed once at the start.
    Static,
    /// A further copy where an engine's queue is long, in place of the least recently used models.
    LeastRecentlyUsed,
}

/// One policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The name used in reports.
    pub name: &'static str,
    /// How a server is chosen for a request.
    pub routing: Routing,
    /// How models are placed on servers.
    pub placement: Placement,
    /// Whether engines serve requests by rank.
    pub uses_ranks: bool,
}

/// The policy of this project.
pub const SAVORYPORT: Policy = Policy {
    name: "savoryport",
    routing: Routing::Dispatch,
    placement: Placement::Plan,
    uses_ranks: true,
};

/// The policies that it is compared with.
pub const BASELINES: [Policy; 5] = [
    Policy {
        name: "static-least",
        routing: Routing::LeastInFlight,
        placement: Placement::Static,
        uses_ranks: true,
    },
    Policy {
        name: "lru-least",
        routing: Routing::LeastInFlight,
        placement: Placement::LeastRecentlyUsed,
        uses_ranks: true,
    },
    Policy {
        name: "round-robin",
        routing: Routing::RoundRobin,
        placement: Placement::Static,
        uses_ranks: true,
    },
    Policy {
        name: "two-choices",
        routing: Routing::TwoChoices,
        placement: Placement::Static,
        uses_ranks: true,
    },
    Policy {
        name: "fifo-least",
        routing: Routing::LeastInFlight,
        placement: Placement::Static,
        uses_ranks: false,
    },
];
