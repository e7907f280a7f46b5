//! Estimates the demand for each model, in server slots, with two exponential moving averages.
//!
//! The fast average follows a burst, so that copies are added soon. The slow one decays slowly
//! after it, so that copies are only removed after a sustained period of low demand. The estimate
//! is the larger of the two.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Name;

/// The time constant of the fast average.
const FAST_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// The time constant of the slow average.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(300);

/// The estimate, in slots, at or below which a model is dropped as unused.
const NEGLIGIBLE_DEMAND: f64 = 1e-4;

/// Estimates the demand for every model from periodic observations.
#[derive(Debug, Clone, Default)]
pub struct DemandEstimator {
    models: HashMap<Name, Averages>,
    observed_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Averages {
    fast: f64,
    slow: f64,
}

impl DemandEstimator {
    /// Adds the demand in slots observed since the last call, and returns the estimate by model.
    pub fn observe(&mut self, demand: &HashMap<Name, f64>, now: Instant) -> HashMap<Name, f64> {
        let interval = self.observed_at.map(|at| now.saturating_duration_since(at));
        self.observed_at = Some(now);
        for model in demand.keys() {
            self.models.entry(model.clone()).or_default();
        }
        for (model, averages) in &mut self.models {
            let observed = demand.get(model).copied().unwrap_or(0.0);
            match interval {
                Some(interval) => averages.update(observed, interval),
                None => *averages = Averages { fast: observed, slow: observed },
            }
        }
        self.models.retain(|_, averages| averages.estimate() > NEGLIGIBLE_DEMAND);
        self.models.iter().map(|(model, averages)| (model.clone(), averages.estimate())).collect()
    }
}

impl Averages {
    fn update(&mut self, observed: f64, interval: Duration) {
        let weight = |time_constant: Duration| {
            1.0 - (-interval.as_secs_f64() / time_constant.as_secs_f64()).exp()
        };
        self.fast += (observed - self.fast) * weight(FAST_TIME_CONSTANT);
        self.slow += (observed - self.slow) * weight(SLOW_TIME_CONSTANT);
    }

    fn estimate(self) -> f64 {
        self.fast.max(self.slow)
    }
}
