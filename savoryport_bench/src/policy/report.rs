//! Formats the results of the runs as text tables, JSON and plots.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::*;
use savoryport_core::rank::Rank;
use serde::{Deserialize, Serialize};

use super::score::Score;
use super::sim::GUARANTEED_SHARES;

/// The results of all runs of one invocation.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Results {
    /// The scores by deployment, workload and policy, one per seed.
    pub runs: BTreeMap<String, BTreeMap<String, BTreeMap<String, Vec<Score>>>>,
}

/// A performance target and the measured values.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// A description of the measured value.
    pub description: String,
    /// The bound that the worst seed must meet.
    pub bound: f64,
    /// The median over the seeds.
    pub median: f64,
    /// The value of the worst seed.
    pub worst: f64,
    /// Whether larger values are better, so that the bound is a minimum.
    pub larger_is_better: bool,
}

impl Target {
    fn passes(&self) -> bool {
        if self.larger_is_better { self.worst >= self.bound } else { self.worst <= self.bound }
    }
}

/// Returns the median.
pub fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn worst(values: &[f64], larger_is_better: bool) -> f64 {
    let pick = if larger_is_better { f64::min } else { f64::max };
    values.iter().copied().reduce(pick).unwrap_or(f64::NAN)
}

impl Results {
    /// Formats the medians of every policy under every workload.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for (deployment, workloads) in &self.runs {
            let _ = writeln!(
                text,
                "\n{deployment}\n{:<14} {:<13} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>7}",
                "workload",
                "policy",
                "attain",
                "bound",
                "urgent",
                "normal",
                "batch",
                "refused",
                "moves",
                "crossed"
            );
            for (workload, policies) in workloads {
                for (policy, scores) in policies {
                    let _ = writeln!(text, "{}", row(workload, policy, scores));
                }
            }
        }
        text
    }

    fn scores(&self, deployment: &str, workload: &str, policy: &str) -> &[Score] {
        self.runs
            .get(deployment)
            .and_then(|workloads| workloads.get(workload))
            .and_then(|policies| policies.get(policy))
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// Returns the performance targets with the measured values.
    pub fn targets(&self) -> Vec<(String, Target)> {
        let mut targets = Vec::new();
        for (deployment, workloads) in &self.runs {
            for (workload, policies) in workloads {
                let Some(scores) = policies.get("savoryport") else { continue };
                for target in workload_targets(workload, scores) {
                    targets.push((format!("{deployment}, {workload}"), target));
                }
                if workload == "shift" {
                    let ratio = best_baseline_ratio(policies, scores);
                    targets.push((format!("{deployment}, {workload}"), ratio));
                }
            }
        }
        targets
    }

    /// Formats the targets and whether each is met.
    pub fn target_table(&self) -> String {
        let mut text = String::new();
        for (run, target) in self.targets() {
            let result = if target.passes() { "pass" } else { "FALLS SHORT" };
            let _ = writeln!(
                text,
                "{result:<12} {run:<30} {:<46} bound {:>6.3} median {:>6.3} worst {:>6.3}",
                target.description, target.bound, target.median, target.worst
            );
        }
        text
    }

    /// Formats how the medians changed since an earlier run.
    pub fn compare_with(&self, earlier: &Self) -> String {
        let mut text = String::new();
        for (deployment, workloads) in &self.runs {
            for workload in workloads.keys() {
                let now = self.scores(deployment, workload, "savoryport");
                let then = earlier.scores(deployment, workload, "savoryport");
                if now.is_empty() || then.is_empty() {
                    continue;
                }
                let median_of = |scores: &[Score], metric: fn(&Score) -> f64| {
                    median(&scores.iter().map(metric).collect::<Vec<_>>())
                };
                let pair =
                    |metric: fn(&Score) -> f64| (median_of(then, metric), median_of(now, metric));
                let (attain_then, attain_now) = pair(Score::attainment);
                let (urgent_then, urgent_now) = pair(|score| score.rank_attainment(Rank::Urgent));
                let (moves_then, moves_now) = pair(|score| score.moves as f64);
                let _ = writeln!(
                    text,
                    "{deployment}, {workload}: attainment {attain_then:.3} -> {attain_now:.3}, \
                     urgent {urgent_then:.3} -> {urgent_now:.3}, moves {moves_then:.0} -> {moves_now:.0}"
                );
            }
        }
        text
    }

    /// Draws a bar chart of the attainment of every policy, by workload.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment has no results or the file cannot be written.
    pub fn plot(&self, deployment: &str, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let workloads = self.runs.get(deployment).ok_or("the deployment has no results")?;
        let area = SVGBackend::new(path, (1_200, 500)).into_drawing_area();
        area.fill(&WHITE)?;
        let policies: Vec<&String> =
            workloads.values().next().map(|p| p.keys().collect()).unwrap_or_default();
        let groups = workloads.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(20)
            .caption(format!("{deployment}: requests that met their target"), ("sans-serif", 20))
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..groups, 0.0..1.0)?;
        let names: Vec<String> = workloads.keys().cloned().collect();
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(names.len() * 2 + 1)
            .x_label_formatter(&|x| {
                let is_middle = (x.fract() - 0.5).abs() < 0.01;
                let name = names.get(*x as usize).filter(|_| is_middle);
                name.cloned().unwrap_or_default()
            })
            .draw()?;
        let width = 0.9 / policies.len().max(1) as f64;
        for (index, policy) in policies.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let bars = workloads.values().enumerate().filter_map(|(group, scores)| {
                let scores = scores.get(*policy)?;
                let height = median(&scores.iter().map(Score::attainment).collect::<Vec<_>>());
                let left = group as f64 + 0.05 + index as f64 * width;
                Some(Rectangle::new([(left, 0.0), (left + width * 0.9, height)], color.filled()))
            });
            chart.draw_series(bars)?.label(policy.as_str()).legend(move |(x, y)| {
                Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled())
            });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }
}

fn row(workload: &str, policy: &str, scores: &[Score]) -> String {
    let median_of =
        |metric: &dyn Fn(&Score) -> f64| median(&scores.iter().map(metric).collect::<Vec<_>>());
    let total = |score: &Score| score.offered.iter().sum::<u64>().max(1) as f64;
    format!(
        "{workload:<14} {policy:<13} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>6.0} {:>7.3}",
        median_of(&Score::attainment),
        median_of(&Score::share_of_bound),
        median_of(&|score| score.rank_attainment(Rank::Urgent)),
        median_of(&|score| score.rank_attainment(Rank::Normal)),
        median_of(&|score| score.rank_attainment(Rank::Batch)),
        median_of(&|score| score.refused as f64 / total(score)),
        median_of(&|score| score.moves as f64),
        median_of(&|score| score.crossed as f64 / total(score)),
    )
}

fn target(
    description: &str,
    bound: f64,
    scores: &[Score],
    metric: impl Fn(&Score) -> f64,
) -> Target {
    let values: Vec<f64> = scores.iter().map(metric).collect();
    let (median, worst) = (median(&values), worst(&values, true));
    Target { description: description.to_owned(), bound, median, worst, larger_is_better: true }
}

fn workload_targets(workload: &str, scores: &[Score]) -> Vec<Target> {
    let mut targets =
        vec![target("attainment as a share of the bound", 0.9, scores, Score::share_of_bound)];
    let is_urgent_flood = matches!(workload, "urgent-flood" | "both-floods");
    if is_urgent_flood {
        targets.push(target("urgent served, of what the fleet could", 1.0, scores, |score| {
            score.attained[0] as f64 / score.bound_urgent.max(1) as f64
        }));
    } else {
        targets.push(target("urgent on time", 0.99, scores, |score| {
            score.rank_attainment(Rank::Urgent)
        }));
    }
    for rank in Rank::ALL {
        if scores.iter().any(|score| score.flood_demand[rank.index()] > 0.0) {
            let description = format!("{rank} keeps its share in others' floods");
            let kept = |score: &Score| score.share_kept_in_flood(rank, &GUARANTEED_SHARES);
            targets.push(target(&description, 0.99, scores, kept));
        }
    }
    if workload == "steady" {
        let values: Vec<f64> = scores.iter().map(|score| score.late_moves as f64).collect();
        targets.push(Target {
            description: "moves in steady demand, second half".to_owned(),
            bound: 0.0,
            median: median(&values),
            worst: worst(&values, false),
            larger_is_better: false,
        });
    }
    targets
}

fn best_baseline_ratio(policies: &BTreeMap<String, Vec<Score>>, scores: &[Score]) -> Target {
    let ratios: Vec<f64> = (0..scores.len())
        .map(|seed| {
            let baselines = policies.iter().filter(|(name, _)| *name != "savoryport");
            let best = baselines.map(|(_, scores)| scores[seed].attainment()).fold(0.0, f64::max);
            scores[seed].attainment() / best
        })
        .collect();
    Target {
        description: "attainment against the best baseline".to_owned(),
        bound: 1.3,
        median: median(&ratios),
        worst: worst(&ratios, true),
        larger_is_better: true,
    }
}
