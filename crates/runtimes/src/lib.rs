//! Learns how long tasks run from how long they were declared to run.
//!
//! Answers declared times that are off by up to 90%, and run times with a heavy tail. By route and
//! stage, the logarithm of the run time is fitted as a line over that of the declared time: where
//! declarations are accurate its slope stays near one, where they are mostly noise it falls, so that
//! predictions keep to the stage's usual run time. The fit and the spread around it come from the
//! latest runs, which lose weight with age; a few runs that take many times as long hardly move them.

use std::collections::VecDeque;

use base::prelude::*;

/// How many stages are known at a time; the one without runs for longest is forgotten first.
const MAX_STAGES: usize = 128;

/// How many runs of a stage are kept.
const MAX_RUNS: usize = 128;

/// The time in which a run loses two thirds of its weight.
const MEMORY: Duration = Duration::from_secs(120);

/// How many runs the declared time counts as much as, for the level and for the slope of the fit.
const PRIOR_RUNS: f64 = 2.0;
const PRIOR_SLOPE_RUNS: f64 = 8.0;

/// The variance of the logarithm of declared times in [`PRIOR_SLOPE_RUNS`].
const PRIOR_VARIANCE: f64 = 0.25;

/// The error, as a logarithm, from which a run loses weight in the fit: about half of the tail's.
const OUTLIER: f64 = 0.8;

/// The errors, as logarithms, that a stage without runs may have: up to ten times, as declared times
/// that are 90% too low.
const PRIOR_ERRORS: [f64; 5] = [-0.7, -0.3, 0.0, 0.7, 2.3];

/// The share of runs that end within [`Prediction::likely_max`].
const LIKELY: f64 = 0.9;

/// The shortest time that is told apart from none.
const SHORTEST: Duration = Duration::from_millis(1);

/// The longest time that is predicted: declared times may be of any length.
const LONGEST: Duration = Duration::from_secs(100 * 365 * 24 * 3600);

/// The tasks of a stage in all jobs of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StageKey {
    /// The route, whatever its name.
    pub route: RouteAddress,
    /// The stage, from 0.
    pub stage: u32,
}

/// How long a task runs at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prediction {
    /// What half of the runs take at most.
    pub typical: Duration,
    /// What nine in ten runs take at most.
    pub likely_max: Duration,
}

/// The run times of all stages, in a bounded space.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    stages: IndexMap<StageKey, StageRuns>,
}

/// A run, with the logarithms of its times.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    at: Instant,
    declared: f64,
    actual: f64,
}

#[derive(Clone, Debug, Default)]
struct StageRuns {
    runs: VecDeque<RunTime>,
    fit: Fit,
    typical_error: f64,
    likely_max_error: f64,
}

/// A line through the logarithms of run times over those of declared times.
#[derive(Clone, Copy, Debug)]
struct Fit {
    declared: f64,
    actual: f64,
    slope: f64,
}

impl Default for Fit {
    fn default() -> Self {
        Self {
            declared: 0.0,
            actual: 0.0,
            slope: 1.0,
        }
    }
}

impl RunTimes {
    /// Records a run from start to completion that was never slowed down on purpose.
    pub fn record(&mut self, now: Instant, key: &StageKey, declared: Duration, actual: Duration) {
        if !self.stages.contains_key(key) {
            self.make_place();
            self.stages.insert(key.clone(), StageRuns::default());
        }
        if let Some(stage) = self.stages.get_mut(key) {
            stage.record(RunTime {
                at: now,
                declared: ln(declared),
                actual: ln(actual),
            });
        }
    }

    /// Returns how long a task runs; by the declared time alone, with a wide spread, if no run of its
    /// stage is known.
    pub fn predict(&self, key: &StageKey, declared: Duration) -> Prediction {
        match self.stages.get(key) {
            Some(stage) => stage.predict(declared),
            None => StageRuns::unknown().predict(declared),
        }
    }

    /// Returns how many stages are known.
    pub fn stages(&self) -> usize {
        self.stages.len()
    }

    fn make_place(&mut self) {
        if self.stages.len() < MAX_STAGES {
            return;
        }
        let last = |stage: &StageRuns| stage.runs.back().map(|r| r.at);
        let oldest = self.stages.values().enumerate();
        if let Some((at, _)) = oldest.min_by_key(|(_, stage)| last(stage)) {
            self.stages.swap_remove_index(at);
        }
    }
}

impl StageRuns {
    fn unknown() -> Self {
        let mut stage = Self::default();
        stage.update_errors(&[]);
        stage
    }

    fn record(&mut self, run: RunTime) {
        if self.runs.len() == MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        let weights: Vec<f64> = self.runs.iter().map(|r| weight(run.at, r.at)).collect();
        self.fit = self.fitted(&weights);
        self.update_errors(&weights);
    }

    /// Returns the fit through the runs; those far from the fit so far count less.
    fn fitted(&self, weights: &[f64]) -> Fit {
        let before = self.fit;
        let weighted = |run: &RunTime, weight: f64| {
            let error = (run.actual - before.predict(run.declared)).abs();
            weight * (OUTLIER / error.max(OUTLIER))
        };
        let rows: Vec<(f64, &RunTime)> = weights
            .iter()
            .zip(&self.runs)
            .map(|(weight, run)| (weighted(run, *weight), run))
            .collect();
        let total: f64 = rows.iter().map(|(w, _)| w).sum();
        if total <= 0.0 {
            return before;
        }
        let declared = rows.iter().map(|(w, r)| w * r.declared).sum::<f64>() / total;
        let actual = rows.iter().map(|(w, r)| w * r.actual).sum::<f64>() / total;
        let mut variance = PRIOR_SLOPE_RUNS * PRIOR_VARIANCE;
        let mut covariance = variance;
        for (weight, run) in rows {
            variance += weight * (run.declared - declared).powi(2);
            covariance += weight * (run.declared - declared) * (run.actual - actual);
        }
        Fit {
            declared,
            actual: declared + (actual - declared) * total / (total + PRIOR_RUNS),
            slope: (covariance / variance).clamp(0.0, 1.0),
        }
    }

    /// Updates the typical and the likely maximum error of the fit.
    fn update_errors(&mut self, weights: &[f64]) {
        let prior_weight = PRIOR_RUNS / PRIOR_ERRORS.len() as f64;
        let runs = self.runs.iter().zip(weights);
        let mut errors: Vec<(f64, f64)> = runs
            .map(|(run, weight)| (run.actual - self.fit.predict(run.declared), *weight))
            .chain(PRIOR_ERRORS.map(|error| (error, prior_weight)))
            .collect();
        errors.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.typical_error = quantile(&errors, 0.5);
        self.likely_max_error = quantile(&errors, LIKELY);
    }

    fn predict(&self, declared: Duration) -> Prediction {
        let fitted = self.fit.predict(ln(declared));
        let time = |error: f64| {
            let seconds = (fitted + error).exp();
            Duration::from_secs_f64(seconds.min(LONGEST.as_secs_f64()))
        };
        Prediction {
            typical: time(self.typical_error),
            likely_max: time(self.likely_max_error),
        }
    }
}

impl Fit {
    fn predict(&self, declared: f64) -> f64 {
        self.actual + self.slope * (declared - self.declared)
    }
}

fn ln(time: Duration) -> f64 {
    time.max(SHORTEST).as_secs_f64().ln()
}

fn weight(now: Instant, at: Instant) -> f64 {
    (-now.saturating_duration_since(at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
}

/// Returns the value that the given share of the weight does not exceed, of sorted pairs of value
/// and weight.
fn quantile(sorted: &[(f64, f64)], share: f64) -> f64 {
    let total: f64 = sorted.iter().map(|(_, weight)| weight).sum();
    let mut below = 0.0;
    for (value, weight) in sorted {
        below += weight;
        if below >= share * total {
            return *value;
        }
    }
    0.0
}
