//! A seeded model of interference: how much tasks on a worker slow each other and its service.
//!
//! Every value is derived from the seed and the names, so that all policies of an experiment
//! face the same ground truth. The placer sees only delayed, noisy samples of it.

use std::f64::consts::TAU;

use base::prelude::*;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::worker::{Interference, Workload};

/// The kind of workload that is slowed down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Victim {
    /// The latency-critical service of a worker.
    Service,
    /// A batch task.
    Batch,
}

/// The settings of an [`InterferenceModel`].
#[derive(Clone, Debug)]
pub struct InterferenceModelCfg {
    /// The length of a day: the period of the services' load.
    pub day: Duration,
    /// The interval at which some pairs of classes change their interference.
    pub shift_every: Duration,
    /// The share of the pairs that change at each interval, 0 to 1.
    pub shifted_share: f64,
    /// The interval between bursts, which slow all workers at once.
    pub burst_every: Duration,
    /// The duration of a burst.
    pub burst_duration: Duration,
    /// The extra time of every workload during a burst, as a multiple of undisturbed time.
    pub burst_extra: f64,
    /// The interference among tasks, as a multiple of that with services.
    pub batch_scale: f64,
    /// The age of the samples.
    pub lag: Duration,
    /// The standard deviation of the logarithm of a measured latency.
    pub noise: f64,
    /// The largest factor by which a declared size or run time is too large or too small.
    pub declared_error: f64,
    /// The shortest and the longest duration of a checkpoint, in seconds.
    pub checkpoint_secs: (f64, f64),
}

impl Default for InterferenceModelCfg {
    fn default() -> Self {
        Self {
            day: Duration::from_secs(4 * 3600),
            shift_every: Duration::from_secs(2 * 3600),
            shifted_share: 0.25,
            burst_every: Duration::from_secs(3600),
            burst_duration: Duration::from_secs(120),
            burst_extra: 0.4,
            batch_scale: 1.0,
            lag: Duration::from_secs(10),
            noise: 0.15,
            declared_error: 4.0,
            checkpoint_secs: (0.5, 2.5),
        }
    }
}

/// The ground truth of the interference between classes.
#[derive(Debug)]
pub struct InterferenceModel {
    cfg: InterferenceModelCfg,
    seed: u64,
    cache: Mutex<IndexMap<PairKey, f64>>,
}

/// A victim, an aggressor and the number of intervals so far at which pairs changed.
type PairKey = (Victim, ClassName, ClassName, u64);

/// The probabilities of mild and of moderate interference; the rest is severe.
const SEVERITY_ODDS: (f64, f64) = (0.55, 0.25);
/// The mean and the amplitude of the services' load over a day.
const LOAD: (f64, f64) = (0.8, 0.4);

impl InterferenceModel {
    /// Creates a model; the same seed gives the same ground truth.
    pub fn new(cfg: InterferenceModelCfg, seed: u64) -> Self {
        Self {
            cfg,
            seed,
            cache: Mutex::new(IndexMap::new()),
        }
    }

    /// Returns the settings.
    pub fn cfg(&self) -> &InterferenceModelCfg {
        &self.cfg
    }

    /// Returns the extra time of a victim on a worker full of `aggressor`, `at` after the start.
    ///
    /// It is a multiple of the undisturbed time.
    pub fn slowdown(
        &self,
        kind: Victim,
        victim: &ClassName,
        aggressor: &ClassName,
        at: Duration,
    ) -> f64 {
        let base = self.pair(kind, victim, aggressor, self.shift_count(at));
        match kind {
            Victim::Service => base * self.load(at),
            Victim::Batch => base,
        }
    }

    /// Returns the extra time of a victim among co-located tasks, given their shares of the worker.
    pub fn extra(
        &self,
        kind: Victim,
        victim: &ClassName,
        neighbours: &[(ClassName, f64)],
        at: Duration,
    ) -> f64 {
        let slowdown: f64 = neighbours
            .iter()
            .map(|(aggressor, load)| self.slowdown(kind, victim, aggressor, at) * load)
            .sum();
        slowdown + self.burst(at)
    }

    /// Returns the services' load, relative to a busy hour.
    pub fn load(&self, at: Duration) -> f64 {
        let turn = at.as_secs_f64() / self.cfg.day.as_secs_f64();
        LOAD.0 + LOAD.1 * (turn * TAU).sin()
    }

    /// Returns the extra time that a burst adds on every worker, 0 outside bursts.
    pub fn burst(&self, at: Duration) -> f64 {
        let every = self.cfg.burst_every.as_secs_f64();
        let into = (at.as_secs_f64() + every / 2.0) % every;
        if into < self.cfg.burst_duration.as_secs_f64() {
            self.cfg.burst_extra
        } else {
            0.0
        }
    }

    /// Returns the real demand of a job for `what`, as a multiple of its declared amount.
    ///
    /// On a logarithmic scale, half of the error range is common to the class, half the job's own.
    pub fn declared_error(&self, what: &str, class: &ClassName, job: &str) -> f64 {
        let half = self.cfg.declared_error.ln() / 2.0;
        let of_class = self.rng(&[what, class.as_str()]).random_range(-half..=half);
        let of_job = self.rng(&[what, "job", job]).random_range(-half..=half);
        (of_class + of_job).exp()
    }

    /// Returns how long a task of a class takes to checkpoint.
    pub fn checkpoint_time(&self, class: &ClassName) -> Duration {
        let (least, most) = self.cfg.checkpoint_secs;
        let mut rng = self.rng(&["checkpoint", class.as_str()]);
        Duration::from_secs_f64(rng.random_range(least..=most))
    }

    /// Returns a measurement of a time that is `1 + extra` times the undisturbed one, with noise.
    pub fn measure(&self, extra: f64, rng: &mut ChaCha8Rng) -> f64 {
        (1.0 + extra) * (self.cfg.noise * normal(rng)).exp()
    }

    /// Returns the number of intervals at which pairs changed by `at`.
    pub fn shift_count(&self, at: Duration) -> u64 {
        at.as_secs() / self.cfg.shift_every.as_secs().max(1)
    }

    /// Returns the interference of a pair at the shift count `phase` and a service load of 1.
    pub fn pair(&self, kind: Victim, victim: &ClassName, aggressor: &ClassName, phase: u64) -> f64 {
        let key = (kind, victim.clone(), aggressor.clone(), phase);
        if let Some(slowdown) = self.cache.lock().get(&key) {
            return *slowdown;
        }
        let names = [victim.as_str(), aggressor.as_str()];
        let shifted = |phase: u64| {
            let mut rng = self.rng(&["shift", names[0], names[1], &phase.to_string()]);
            rng.random::<f64>() < self.cfg.shifted_share
        };
        let last = (1..=phase).rev().find(|&phase| shifted(phase));
        let mut rng = self.rng(&[names[0], names[1], &last.unwrap_or_default().to_string()]);
        let scale = match kind {
            Victim::Service => 1.0,
            Victim::Batch => self.cfg.batch_scale,
        };
        let slowdown = draw_slowdown(&mut rng) * scale;
        self.cache.lock().insert(key, slowdown);
        slowdown
    }

    fn rng(&self, parts: &[&str]) -> ChaCha8Rng {
        let seed = xxh3_64_with_seed(parts.join("\0").as_bytes(), self.seed);
        ChaCha8Rng::seed_from_u64(seed)
    }
}

fn draw_slowdown(rng: &mut ChaCha8Rng) -> f64 {
    let (mild, moderate) = SEVERITY_ODDS;
    let at = rng.random::<f64>();
    let range = if at < mild {
        0.0..0.3
    } else if at < mild + moderate {
        0.5..1.5
    } else {
        2.5..5.0
    };
    rng.random_range(range)
}

/// The interference model as seen by one fake worker.
#[derive(Debug)]
pub struct WorkerInterference {
    model: Arc<InterferenceModel>,
    clock: Arc<dyn Clock>,
    start: Instant,
    capacity: Resources,
}

impl WorkerInterference {
    /// Creates the model for a worker of the given capacity, whose day starts now.
    pub fn new(model: Arc<InterferenceModel>, clock: Arc<dyn Clock>, capacity: Resources) -> Self {
        let start = clock.now();
        Self {
            model,
            clock,
            start,
            capacity,
        }
    }

    fn load_of(&self, workload: &Workload) -> f64 {
        let capacity = self.capacity.cpu_milli.max(1) as f64;
        workload.granted.cpu_milli as f64 * workload.throttle / capacity
    }
}

impl Interference for WorkerInterference {
    fn speed(&self, workload: &Workload, others: &[Workload]) -> f64 {
        let kind = if workload.granted == Resources::ZERO {
            Victim::Service
        } else {
            Victim::Batch
        };
        let neighbours: Vec<_> = others
            .iter()
            .map(|other| (other.class.clone(), self.load_of(other)))
            .collect();
        let at = self.clock.now().saturating_duration_since(self.start);
        let extra = self.model.extra(kind, &workload.class, &neighbours, at);
        workload.throttle / (1.0 + extra)
    }
}

/// Returns a draw from the standard normal distribution (Box and Muller).
pub fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let v: f64 = rng.random();
    (-2.0 * u.ln()).sqrt() * (TAU * v).cos()
}
