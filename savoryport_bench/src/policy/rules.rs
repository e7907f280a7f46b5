//! The policies that are compared.

/// How requests find their server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// The core's queues, limits and choice.
    Dispatch,
    /// The server with the fewest requests, known exactly.
    LeastInFlight,
    /// Each server in turn.
    RoundRobin,
    /// The better of two servers drawn at random.
    TwoChoices,
}

/// How models find their servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placing {
    /// The core's plans.
    Plan,
    /// Copies by the table's weights, once.
    Static,
    /// A copy where none has room, in place of the least recently used.
    LeastRecentlyUsed,
}

/// One policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The name used in reports.
    pub name: &'static str,
    /// How requests find their server.
    pub routing: Routing,
    /// How models find their servers.
    pub placing: Placing,
    /// Whether engines are told the rank.
    pub ranks: bool,
}

/// What is built here.
pub const SAVORYPORT: Policy =
    Policy { name: "savoryport", routing: Routing::Dispatch, placing: Placing::Plan, ranks: true };

/// What it is compared with.
pub const BASELINES: [Policy; 5] = [
    Policy {
        name: "static-least",
        routing: Routing::LeastInFlight,
        placing: Placing::Static,
        ranks: true,
    },
    Policy {
        name: "lru-least",
        routing: Routing::LeastInFlight,
        placing: Placing::LeastRecentlyUsed,
        ranks: true,
    },
    Policy {
        name: "round-robin",
        routing: Routing::RoundRobin,
        placing: Placing::Static,
        ranks: true,
    },
    Policy {
        name: "two-choices",
        routing: Routing::TwoChoices,
        placing: Placing::Static,
        ranks: true,
    },
    Policy {
        name: "fifo-least",
        routing: Routing::LeastInFlight,
        placing: Placing::Static,
        ranks: false,
    },
];
