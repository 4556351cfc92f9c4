//! The interference of best-effort tasks with co-located latency-critical tasks, estimated by pair
//! of classes.
//!
//! Best-effort tasks add to the measured load of a service (see [`super::service_load`]) in
//! proportion to their processor use, by a factor that depends on the pair of classes. They may add
//! what is left up to the load at which the tail latency meets its target.

use base::prelude::*;
use place::{ClassId, Interference, InterferenceCfg, Mix};

use super::service_load::{Load, Service, TailLatency};
use super::worker::{Phase, Run, Worker};
use crate::StageSpec;

/// The confidence margin on the predicted interference, in standard deviations. With a larger one,
/// unseen pairs would never be tried, and capacity would stay unused.
const CONFIDENCE_MARGIN: f64 = 0.3;

/// The prior mean of the interference: between that of harmless and harmful pairs.
const PRIOR_INTERFERENCE: f64 = 1.0;

/// The prior standard deviation: wide, so that the first observations outweigh the prior.
const PRIOR_DEVIATION: f64 = 2.0;

/// The minimum standard deviation of a load measurement: latencies of a few milliseconds are
/// reported in whole milliseconds.
const NOISE_DEVIATION: f64 = 0.1;

/// The interference below which throttling a class gains too little.
const MIN_INTERFERENCE: f64 = 0.15;

/// The lowest speed at which a best-effort task is started: a slower one delays its whole stage.
const MIN_START_SPEED: f64 = 0.85;

/// The interference from which a class is throttled before others; harmful pairs are above it.
const OFFENDER_INTERFERENCE: f64 = 0.6;

/// The speed limit of each class of best-effort tasks on a worker, as a share; full speed if a
/// class is missing.
pub(super) type Speeds = IndexMap<Name, f64>;

/// Predicts the load that best-effort tasks add to co-located services.
#[derive(Debug)]
pub(crate) struct ColocationModel {
    interference: Interference,
    loads: IndexMap<Service, Load>,
}

impl ColocationModel {
    pub(super) fn new() -> Self {
        let cfg = InterferenceCfg {
            prior_mean: PRIOR_INTERFERENCE,
            prior_deviation: PRIOR_DEVIATION,
            noise_deviation: NOISE_DEVIATION,
            confidence_margin: CONFIDENCE_MARGIN,
            ..InterferenceCfg::default()
        };
        Self {
            interference: Interference::new(cfg, true),
            loads: IndexMap::new(),
        }
    }

    /// Updates the estimates from a worker's latest measurements.
    pub(super) fn observe(&mut self, now: Instant, worker: &mut Worker) {
        let mut recent = std::mem::take(&mut worker.recent_usage);
        let is_new = recent.update(now, worker);
        worker.recent_usage = recent;
        if !is_new {
            return;
        }
        let used: Vec<(Name, f64)> = worker
            .recent_usage
            .by_class(now)
            .into_iter()
            .map(|(class, milli)| (class, worker.share(milli as u64)))
            .filter(|(_, share)| *share > 0.0)
            .collect();
        let mix = self.id_mix(&used);
        for tail in tail_latencies(worker) {
            let id = self.class_id(&tail.class);
            let load = self.loads.entry(tail.service.clone()).or_default();
            let measured = load.measured(tail.over_target);
            let mean = self.interference.predict(id, &mix, now);
            let extra = measured - load.baseline();
            if worker.backlogged.update(now, &tail.service, measured) {
                // The measurement is a lower bound of the load, so it can only raise the estimate.
                if extra > mean {
                    self.interference.learn(id, &mix, extra, now);
                }
                continue;
            }
            let uncertainty =
                (self.interference.predict_upper(id, &mix, now) - mean) / CONFIDENCE_MARGIN;
            load.update_baseline(now, (measured - mean).max(0.0), uncertainty);
            self.interference.learn(id, &mix, extra, now);
        }
    }

    /// Forgets the load of a job that has ended.
    pub(super) fn forget(&mut self, job: &JobId) {
        self.loads.retain(|service, _| !service.is_of(job));
    }

    fn class_id(&mut self, class: &Name) -> ClassId {
        self.interference.class(&ClassName::new(Arc::clone(class)))
    }

    /// Returns how fast best-effort tasks may run so that the services on the worker meet their
    /// latency targets, `more` being an additional task.
    ///
    /// The classes with the highest interference per processor are throttled first.
    pub(super) fn speeds(
        &mut self,
        now: Instant,
        worker: &Worker,
        more: Option<&(Name, f64)>,
    ) -> Speeds {
        let mix = full_mix(worker, more);
        let id_mix = self.id_mix(&mix);
        let mut speeds = Speeds::new();
        for tail in tail_latencies(worker) {
            let id = self.class_id(&tail.class);
            let load = self.loads.get(&tail.service).copied().unwrap_or_default();
            let interference_of =
                |c: ClassId| self.interference.predict_upper(id, &[(c, 1.0)], now);
            let mut interferences: Vec<(f64, f64, &Name)> = mix
                .iter()
                .zip(&id_mix)
                .map(|((name, used), (c, _))| (interference_of(*c), *used, name))
                .collect();
            interferences.sort_by(|a, b| b.0.total_cmp(&a.0));
            let total: f64 = interferences
                .iter()
                .map(|(interference, used, _)| interference * used)
                .sum();
            let mut excess = total - load.headroom();
            for (interference, used, name) in interferences {
                if excess <= 0.0 || interference < MIN_INTERFERENCE {
                    break;
                }
                let reduction = excess.min(interference * used);
                excess -= reduction;
                let speed = speeds.entry(Arc::clone(name)).or_insert(1.0);
                *speed = speed.min(1.0 - reduction / (interference * used));
            }
        }
        speeds
    }

    /// Returns the load that one more best-effort task adds to the services on a worker, or `None`
    /// if it or the tasks already there would have to be throttled.
    pub(super) fn added_load(
        &mut self,
        now: Instant,
        worker: &Worker,
        stage: &StageSpec,
    ) -> Option<f64> {
        if worker.totals().latency_critical == 0 {
            return Some(0.0);
        }
        if worker.throttle_level > 0 {
            return None;
        }
        // Rounded to whole cores, so that jobs of similar size share cached results.
        let cpu_milli = stage.cpu_milli().next_multiple_of(1000);
        let mut cache = worker.added_load_cache.borrow_mut();
        let stamp = (worker.processes.last_number, worker.version);
        if cache.stamp != stamp {
            cache.stamp = stamp;
            cache.rows.clear();
        }
        let is_same =
            |row: &&(Option<Name>, u64, Option<f64>)| row.1 == cpu_milli && row.0 == stage.class;
        if let Some((_, _, known)) = cache.rows.iter().find(is_same) {
            return *known;
        }
        let added = self.compute_added_load(now, worker, stage.class.as_ref(), cpu_milli);
        cache.rows.push((stage.class.clone(), cpu_milli, added));
        added
    }

    fn compute_added_load(
        &mut self,
        now: Instant,
        worker: &Worker,
        class: Option<&Name>,
        cpu_milli: u64,
    ) -> Option<f64> {
        let more = (class_of(class), worker.share(cpu_milli));
        let before = self.usable_cpu(now, worker, None);
        let after = self.usable_cpu(now, worker, Some(&more));
        if after - before < more.1 * MIN_START_SPEED {
            return None;
        }
        let mix = self.id_mix(&[more]);
        let mut added = 0.0;
        for tail in tail_latencies(worker) {
            let id = self.class_id(&tail.class);
            added += self.interference.predict_upper(id, &mix, now);
        }
        Some(added)
    }

    /// Returns the processors that the best-effort tasks of a worker may use, as a share.
    fn usable_cpu(&mut self, now: Instant, worker: &Worker, more: Option<&(Name, f64)>) -> f64 {
        let speeds = self.speeds(now, worker, more);
        let mix = full_mix(worker, more);
        let used = mix
            .iter()
            .map(|(class, used)| used * speeds.get(class).copied().unwrap_or(1.0));
        used.sum()
    }

    /// Returns the classes of best-effort tasks with known interference with the service whose tail
    /// latency is highest relative to its target.
    pub(super) fn offenders_of_worst(&mut self, now: Instant, worker: &Worker) -> IndexSet<Name> {
        let worst = tail_latencies(worker)
            .into_iter()
            .max_by(|a, b| a.over_target.total_cmp(&b.over_target));
        let Some(worst) = worst else {
            return IndexSet::new();
        };
        let victim = self.class_id(&worst.class);
        let classes: IndexSet<Name> = best_effort_runs(worker)
            .filter_map(|r| r.class.clone())
            .collect();
        let is_offender = |class: &Name| {
            let id = self.interference.class(&ClassName::new(Arc::clone(class)));
            self.interference.predict(victim, &[(id, 1.0)], now) >= OFFENDER_INTERFERENCE
        };
        classes.into_iter().filter(is_offender).collect()
    }

    fn id_mix(&mut self, mix: &[(Name, f64)]) -> Mix {
        mix.iter()
            .map(|(class, share)| (self.class_id(class), *share))
            .collect()
    }
}

fn best_effort_runs(worker: &Worker) -> impl Iterator<Item = &Run> {
    worker.runs.values().filter(|r| r.is_best_effort)
}

/// Returns the share of the processors that each class of best-effort tasks uses at full speed,
/// including `more`.
fn full_mix(worker: &Worker, more: Option<&(Name, f64)>) -> Vec<(Name, f64)> {
    let mut mix: IndexMap<Name, f64> = IndexMap::new();
    for run in best_effort_runs(worker) {
        *mix.entry(class_of(run.class.as_ref())).or_default() += worker.share(run.demand_milli);
    }
    if let Some((class, share)) = more {
        *mix.entry(Arc::clone(class)).or_default() += share;
    }
    mix.into_iter().filter(|(_, share)| *share > 0.0).collect()
}

/// Returns the tail latency of each service that has tasks on a worker.
fn tail_latencies(worker: &Worker) -> Vec<TailLatency> {
    let mut sums: IndexMap<Service, (Name, f64, f64)> = IndexMap::new();
    let running = worker
        .runs
        .iter()
        .filter(|(_, r)| r.phase == Phase::Running);
    for (id, run) in running {
        let Some(target) = run.latency_target_ms.filter(|t| *t > 0) else {
            continue;
        };
        if run.gauge > 0.0 {
            let (_, sum, count) = sums
                .entry(Service::of(&id.task))
                .or_insert_with(|| (class_of(run.class.as_ref()), 0.0, 0.0));
            *sum += run.gauge / target as f64;
            *count += 1.0;
        }
    }
    let tail = |(service, (class, sum, count))| TailLatency {
        service,
        class,
        over_target: sum / count,
    };
    sums.into_iter().map(tail).collect()
}

/// Returns the class of a task, or the empty name if it has none.
pub(super) fn class_of(class: Option<&Name>) -> Name {
    class.cloned().unwrap_or_else(|| "".into())
}
