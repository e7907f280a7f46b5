//! Generates workloads: traces of requests from a seed, and faults of the fleet.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use savoryport_core::rank::Rank;

use super::deployment::{Deployment, SLOTS};
use super::engine;

/// The length of a trace in seconds.
pub const TRACE_SECONDS: f64 = 600.0;

/// The offered load of a steady trace, as a share of the fleet's capacity.
pub const STEADY_LOAD: f64 = 0.6;

/// The offered load of a flood, as a share of the fleet's capacity.
const FLOOD_LOAD: f64 = 3.0;

/// The exponent of the Zipf distribution of the items' popularity.
const ZIPF_EXPONENT: f64 = 0.9;

/// The share of each rank in the requests, the most urgent first.
const RANK_MIX: [f64; 3] = [0.45, 0.40, 0.15];

/// The minimum and maximum number of generated tokens, by rank.
const GENERATED_TOKENS: [(u32, u32); 3] = [(10, 40), (40, 140), (150, 400)];

/// The minimum and maximum number of prompt tokens, by rank.
const PROMPT_TOKENS: [(u32, u32); 3] = [(100, 400), (200, 800), (800, 2_000)];

/// The number of distinct prompt prefixes that the requests for one item share.
const PREFIXES_PER_ITEM: u64 = 4;

/// One request of a trace.
#[derive(Debug, Clone)]
pub struct TraceRequest {
    /// The time of arrival, in seconds from the start.
    pub arrival: f64,
    /// The index in the deployment's items.
    pub item: usize,
    /// The rank.
    pub rank: Rank,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The number of tokens to generate.
    pub generated_tokens: u32,
    /// An identifier of the prompt's prefix.
    pub prefix: u64,
    /// A random number from 0 to 1 that determines the caller's region and entry.
    pub random_unit: f64,
}

/// The faults of the fleet during a trace.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The engines that fail for good, each with the time in seconds.
    pub lost_engines: Vec<(f64, usize)>,
    /// The delay of load reports, in seconds.
    pub report_lag: f64,
    /// The share of load reports that are lost.
    pub report_loss: f64,
    /// The time added to a round trip between regions, in seconds.
    pub added_round_trip: f64,
    /// Whether the key-value service is unavailable, so that no plan is written after the start.
    pub platform_outage: bool,
}

/// A kind of workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Steady demand.
    Steady,
    /// The demand for some models rises tenfold and that for others falls.
    Shift,
    /// A flood of the least urgent rank.
    BatchFlood,
    /// A flood of the most urgent rank.
    UrgentFlood,
    /// First a flood of the least urgent rank, then one of the most urgent.
    BothFloods,
    /// The loss of a server and then of a failure domain during a flood.
    LossInFlood,
    /// Load reports that are late and incomplete.
    LateReports,
    /// A saturated link between regions.
    SlowLink,
    /// A shift of demand while the key-value service is unavailable.
    Outage,
}

impl Workload {
    /// Every workload.
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::Shift,
        Self::BatchFlood,
        Self::UrgentFlood,
        Self::BothFloods,
        Self::LossInFlood,
        Self::LateReports,
        Self::SlowLink,
        Self::Outage,
    ];

    /// Returns the name that is used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Shift => "shift",
            Self::BatchFlood => "batch-flood",
            Self::UrgentFlood => "urgent-flood",
            Self::BothFloods => "both-floods",
            Self::LossInFlood => "loss-in-flood",
            Self::LateReports => "late-reports",
            Self::SlowLink => "slow-link",
            Self::Outage => "outage",
        }
    }

    /// Returns the ranks that flood, each with the start and end of its flood in seconds.
    pub fn floods(self) -> Vec<(Rank, f64, f64)> {
        match self {
            Self::BatchFlood => vec![(Rank::Batch, 200.0, 400.0)],
            Self::UrgentFlood => vec![(Rank::Urgent, 200.0, 400.0)],
            Self::BothFloods => {
                vec![(Rank::Batch, 150.0, 270.0), (Rank::Urgent, 330.0, 450.0)]
            }
            Self::LossInFlood => vec![(Rank::Batch, 200.0, 400.0)],
            _ => Vec::new(),
        }
    }

    fn shifts_demand(self) -> bool {
        matches!(self, Self::Shift | Self::Outage)
    }

    /// Returns the faults of the fleet.
    pub fn faults(self, deployment: &Deployment) -> Faults {
        let usual = Faults { report_lag: 0.5, ..Faults::default() };
        match self {
            Self::LossInFlood => {
                let domain = &deployment.engines[1].failure_domain;
                let is_lost = |engine: usize| deployment.engines[engine].failure_domain == *domain;
                let mut lost_engines = vec![(230.0, 0)];
                let all = 0..deployment.engines.len();
                lost_engines
                    .extend(all.filter(|engine| is_lost(*engine)).map(|engine| (300.0, engine)));
                Faults { lost_engines, ..usual }
            }
            Self::LateReports => Faults { report_lag: 5.0, report_loss: 0.5, ..usual },
            Self::SlowLink => Faults { added_round_trip: 0.5, ..usual },
            Self::Outage => Faults { platform_outage: true, ..usual },
            _ => usual,
        }
    }

    /// Generates the trace of a seed; `scale` multiplies the steady load.
    pub fn trace(self, deployment: &Deployment, seed: u64, scale: f64) -> Vec<TraceRequest> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let items = deployment.items();
        let by_rank: Vec<Vec<usize>> = Rank::ALL
            .iter()
            .map(|rank| {
                let mut of_rank: Vec<usize> =
                    (0..items.len()).filter(|index| items[*index].rank == *rank).collect();
                of_rank.shuffle(&mut rng);
                of_rank
            })
            .collect();
        let rates = steady_rates(deployment, scale);
        let mut trace = Vec::new();
        for rank in Rank::ALL {
            let floods: Vec<_> =
                self.floods().into_iter().filter(|(flooding, _, _)| *flooding == rank).collect();
            let flood_rate = flood_rate(deployment, rank);
            let mut at = 0.0;
            loop {
                let is_flooding = floods.iter().any(|(_, from, to)| (*from..*to).contains(&at));
                let rate = if is_flooding { flood_rate } else { rates[rank.index()] };
                at += -(1.0 - rng.random::<f64>()).ln() / rate;
                if at >= TRACE_SECONDS {
                    break;
                }
                let item = self.pick_item(&by_rank[rank.index()], at, &mut rng);
                trace.push(request(at, item, rank, &mut rng));
            }
        }
        trace.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
        trace
    }

    /// Draws an item by popularity; a shift of demand moves the popularity to other items between
    /// 200 s and 300 s.
    fn pick_item(self, items: &[usize], at: f64, rng: &mut SmallRng) -> usize {
        let weights: Vec<f64> =
            (1..=items.len()).map(|position| (position as f64).powf(-ZIPF_EXPONENT)).collect();
        let total: f64 = weights.iter().sum();
        let mut draw = rng.random::<f64>() * total;
        let position = weights.iter().position(|weight| {
            draw -= weight;
            draw <= 0.0
        });
        let position = position.unwrap_or(0);
        let moved = self.shifts_demand() && rng.random::<f64>() < (at - 200.0) / 100.0;
        let offset = if moved { items.len() / 2 } else { 0 };
        items[(position + offset) % items.len()]
    }
}

fn request(at: f64, item: usize, rank: Rank, rng: &mut SmallRng) -> TraceRequest {
    let (min_tokens, max_tokens) = GENERATED_TOKENS[rank.index()];
    let (min_prompt, max_prompt) = PROMPT_TOKENS[rank.index()];
    TraceRequest {
        arrival: at,
        item,
        rank,
        prompt_tokens: rng.random_range(min_prompt..=max_prompt),
        generated_tokens: rng.random_range(min_tokens..=max_tokens),
        prefix: item as u64 * PREFIXES_PER_ITEM + rng.random_range(0..PREFIXES_PER_ITEM),
        random_unit: rng.random(),
    }
}

/// Returns the mean time that a request of a rank occupies a slot of a full batch, in seconds.
pub fn mean_service_time(rank: Rank) -> f64 {
    let middle = |(min, max): (u32, u32)| (min + max) / 2;
    engine::service_time(
        middle(PROMPT_TOKENS[rank.index()]),
        middle(GENERATED_TOKENS[rank.index()]),
        SLOTS,
        false,
    )
}

fn total_slots(deployment: &Deployment) -> f64 {
    deployment.engines.len() as f64 * f64::from(SLOTS)
}

/// Returns the rates of a steady trace, in requests per second by rank.
fn steady_rates(deployment: &Deployment, scale: f64) -> [f64; 3] {
    let mean: f64 =
        Rank::ALL.iter().map(|rank| RANK_MIX[rank.index()] * mean_service_time(*rank)).sum();
    let total = total_slots(deployment) * STEADY_LOAD * scale / mean;
    RANK_MIX.map(|share| share * total)
}

fn flood_rate(deployment: &Deployment, rank: Rank) -> f64 {
    total_slots(deployment) * FLOOD_LOAD / mean_service_time(rank)
}
