//! Estimates of how much tasks of one class slow tasks or services of another.
//!
//! Each pair has a mean and a variance. A measurement of a victim is attributed to all co-located
//! classes that ran when it was taken, each in proportion to its load and its uncertainty (a Kalman
//! filter with a diagonal covariance). Without measurements a pair's mean decays to the average of
//! the aggressor's class and its variance to the prior's.

use std::fmt;

use base::prelude::*;

use crate::cfg::InterferenceCfg;

/// The number of a class, assigned in order of first use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub(crate) u32);

/// The load of each class on a worker, as a share of the worker's processors.
pub type Mix = Vec<(ClassId, f64)>;

/// A source of the true interference of pairs, for experiments only.
pub trait InterferenceOracle: fmt::Debug {
    /// Returns the extra time of `victim` on a worker fully loaded with `aggressor`, as a multiple
    /// of undisturbed time.
    fn interference(&self, victim: &ClassName, aggressor: &ClassName, now: Instant) -> f64;
}

/// The expected interference of a pair with its uncertainty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InterferenceEstimate {
    /// The extra time, as a multiple of undisturbed time, on a worker fully loaded with the
    /// aggressor.
    pub mean: f64,
    /// The variance of that expectation.
    pub variance: f64,
}

/// The estimate of one pair as of its last measurement.
#[derive(Clone, Debug)]
struct Pair {
    mean: f64,
    variance: f64,
    at: Instant,
    mean_residual: f64,
}

/// The estimates of all pairs.
#[derive(Debug)]
pub struct Interference {
    cfg: InterferenceCfg,
    forget: bool,
    classes: IndexSet<ClassName>,
    /// By victim, then by aggressor.
    pairs: Vec<Vec<Option<Pair>>>,
    /// The average interference of an aggressor with its victims.
    class_means: Vec<Option<f64>>,
    /// The variance of a victim's measurements.
    noise: IndexMap<ClassId, f64>,
    oracle: Option<Box<dyn InterferenceOracle>>,
}

/// The gain of one measurement on the class average.
const CLASS_MEAN_GAIN: f64 = 0.02;
/// The gain of one measurement on a victim's noise.
const NOISE_GAIN: f64 = 0.02;
/// The gain of one measurement on a pair's mean residual, if the pair is the victim's whole load.
const RESIDUAL_GAIN: f64 = 0.2;
/// Residuals are clipped to this many standard deviations.
const RESIDUAL_CLIP: f64 = 4.0;

impl Interference {
    /// Creates estimates without measurements; with `forget`, those that measurements contradict
    /// are reset.
    pub fn new(cfg: InterferenceCfg, forget: bool) -> Self {
        Self {
            cfg,
            forget,
            classes: IndexSet::new(),
            pairs: Vec::new(),
            class_means: Vec::new(),
            noise: IndexMap::new(),
            oracle: None,
        }
    }

    pub(crate) fn set_oracle(&mut self, oracle: Box<dyn InterferenceOracle>) {
        self.oracle = Some(oracle);
    }

    /// Returns the number of a class, which is assigned on first use.
    pub fn class(&mut self, name: &ClassName) -> ClassId {
        let at = match self.classes.get_index_of(name) {
            Some(at) => at,
            None => self.classes.insert_full(name.clone()).0,
        };
        ClassId(u32::try_from(at).unwrap_or(u32::MAX))
    }

    /// Returns the estimate of a pair, decayed since its last measurement.
    pub(crate) fn estimate(
        &self,
        victim: ClassId,
        aggressor: ClassId,
        now: Instant,
    ) -> InterferenceEstimate {
        if let Some(oracle) = &self.oracle {
            let name = |id: ClassId| &self.classes[id.0 as usize];
            let mean = oracle.interference(name(victim), name(aggressor), now);
            return InterferenceEstimate {
                mean,
                variance: 0.0,
            };
        }
        let prior = self.cfg.prior_deviation.powi(2);
        let class_mean = self.class_mean(aggressor);
        let Some(pair) = self.pair(victim, aggressor) else {
            return InterferenceEstimate {
                mean: class_mean,
                variance: prior,
            };
        };
        let age = now.saturating_duration_since(pair.at);
        let remaining = (-age.as_secs_f64() / self.cfg.decay.as_secs_f64()).exp();
        InterferenceEstimate {
            mean: class_mean + (pair.mean - class_mean) * remaining,
            variance: prior - (prior - pair.variance) * remaining * remaining,
        }
    }

    /// Returns the expected extra time of a victim co-located with `mix`.
    pub fn predict(&self, victim: ClassId, mix: &[(ClassId, f64)], now: Instant) -> f64 {
        mix.iter()
            .map(|&(class, load)| self.estimate(victim, class, now).mean * load)
            .sum()
    }

    /// Returns the expected extra time of a victim co-located with `mix`, plus the confidence
    /// margin.
    pub fn predict_upper(&self, victim: ClassId, mix: &[(ClassId, f64)], now: Instant) -> f64 {
        let mut mean = 0.0;
        let mut variance = 0.0;
        for &(class, load) in mix {
            let estimate = self.estimate(victim, class, now);
            mean += estimate.mean * load;
            variance += estimate.variance * load * load;
        }
        mean + self.cfg.confidence_margin * variance.sqrt()
    }

    /// Updates the estimates with a measured extra time of a victim co-located with `mix`.
    pub fn learn(&mut self, victim: ClassId, mix: &[(ClassId, f64)], extra: f64, now: Instant) {
        if mix.is_empty() || self.oracle.is_some() {
            return;
        }
        let least_noise = self.cfg.noise_deviation.powi(2);
        let noise = self
            .noise
            .get(&victim)
            .copied()
            .unwrap_or(least_noise * 4.0);
        let before: Vec<_> = mix
            .iter()
            .map(|&(class, _)| self.estimate(victim, class, now))
            .collect();
        let weighted = || mix.iter().zip(&before);
        let expected: f64 = weighted().map(|((_, x), e)| e.mean * x).sum();
        let uncertainty: f64 = weighted().map(|((_, x), e)| e.variance * x * x).sum();
        let deviation = (noise + uncertainty).sqrt();
        let residual =
            (extra - expected).clamp(-RESIDUAL_CLIP * deviation, RESIDUAL_CLIP * deviation);

        let unexplained = (residual * residual - uncertainty).max(least_noise);
        let updated = noise + (unexplained - noise) * NOISE_GAIN;
        self.noise.insert(victim, updated.max(least_noise));

        let load: f64 = mix.iter().map(|&(_, x)| x).sum();
        for (&(class, x), estimate) in mix.iter().zip(&before) {
            let share = if load > 0.0 { x / load } else { 0.0 };
            let gain = estimate.variance * x / (noise + uncertainty);
            let mean = (estimate.mean + gain * residual).max(0.0);
            let variance = estimate.variance * (1.0 - gain * x);
            let normalised_residual = residual / deviation;
            self.update_pair(
                victim,
                class,
                mean,
                variance,
                normalised_residual,
                share,
                now,
            );
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one update")]
    fn update_pair(
        &mut self,
        victim: ClassId,
        class: ClassId,
        mean: f64,
        variance: f64,
        normalised_residual: f64,
        share: f64,
        now: Instant,
    ) {
        let prior = self.cfg.prior_deviation.powi(2);
        let row = slot(&mut self.pairs, victim);
        let pair = slot(row, class).get_or_insert(Pair {
            mean,
            variance,
            at: now,
            mean_residual: 0.0,
        });
        pair.mean = mean;
        pair.variance = variance;
        pair.at = now;
        pair.mean_residual += (normalised_residual - pair.mean_residual) * RESIDUAL_GAIN * share;
        if self.forget && pair.mean_residual.abs() > self.cfg.max_mean_residual {
            pair.variance = prior;
            pair.mean_residual = 0.0;
        }
        let prior_mean = self.cfg.prior_mean;
        let class_mean = slot(&mut self.class_means, class).get_or_insert(prior_mean);
        *class_mean += (mean - *class_mean) * CLASS_MEAN_GAIN;
    }

    fn class_mean(&self, aggressor: ClassId) -> f64 {
        let class_mean = self.class_means.get(aggressor.index()).copied().flatten();
        class_mean.unwrap_or(self.cfg.prior_mean)
    }

    fn pair(&self, victim: ClassId, aggressor: ClassId) -> Option<&Pair> {
        let row = self.pairs.get(victim.index())?;
        row.get(aggressor.index())?.as_ref()
    }
}

impl ClassId {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Returns the entry of a class in a list, which grows as needed.
fn slot<T: Default>(list: &mut Vec<T>, class: ClassId) -> &mut T {
    if list.len() <= class.index() {
        list.resize_with(class.index() + 1, T::default);
    }
    &mut list[class.index()]
}
