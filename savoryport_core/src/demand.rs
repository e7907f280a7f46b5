//! Estimates the demand for each model at two time scales.
//!
//! The fast average follows a burst, so that copies are added soon; the slow one remembers it, so
//! that only sustained quiet takes them away again. The larger of the two is the estimate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Name;

/// The time constant of the fast average.
const FAST: Duration = Duration::from_secs(10);

/// The time constant of the slow average.
const SLOW: Duration = Duration::from_secs(300);

/// Below this a model counts as not asked for.
const NEGLIGIBLE: f64 = 1e-4;

/// The demand for every model, as observed from time to time.
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
    /// Takes the demand of the time since the last observation, and returns the estimate.
    pub fn observe(&mut self, demand: &HashMap<Name, f64>, now: Instant) -> HashMap<Name, f64> {
        let interval = self.observed_at.map(|at| now.saturating_duration_since(at));
        self.observed_at = Some(now);
        for model in demand.keys() {
            self.models.entry(model.clone()).or_default();
        }
        for (model, averages) in &mut self.models {
            let observed = demand.get(model).copied().unwrap_or(0.0);
            match interval {
                Some(interval) => averages.blend(observed, interval),
                None => *averages = Averages { fast: observed, slow: observed },
            }
        }
        self.models.retain(|_, averages| averages.value() > NEGLIGIBLE);
        self.models.iter().map(|(model, averages)| (model.clone(), averages.value())).collect()
    }
}

impl Averages {
    fn blend(&mut self, observed: f64, interval: Duration) {
        let weight = |time: Duration| 1.0 - (-interval.as_secs_f64() / time.as_secs_f64()).exp();
        self.fast += (observed - self.fast) * weight(FAST);
        self.slow += (observed - self.slow) * weight(SLOW);
    }

    fn value(self) -> f64 {
        self.fast.max(self.slow)
    }
}
