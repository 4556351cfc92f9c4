//! Processing of samples, which are measured some time before they are reported.

use base::prelude::*;
use ports::worker::UsageSample;

use crate::interference::{ClassId, Mix};
use crate::placer::Placer;
use crate::rows::{ServiceRow, WorkerRow};
use crate::types::{Decision, EvictReason};

/// Samples taken within this time of each other are the same sample, reported twice.
const SAME_SAMPLE: Duration = Duration::from_millis(50);
/// The upper bound of the extra time of one sample.
const MAX_EXTRA: f64 = 20.0;
/// The lower bound of the speed of one sample.
const MIN_SPEED: f64 = 0.01;
/// The weight of a new sample in a task's smoothed speed.
const SPEED_GAIN: f64 = 0.3;
/// How many jobs that outgrew their memory grant are remembered.
const MAX_OUTGROWN: usize = 10_000;
/// The multiple of its memory grant above which a task counts as having outgrown it.
const OUTGROWN_SHARE: f64 = 1.05;

/// A sample of a service that the estimates have not processed yet.
#[derive(Debug)]
pub(crate) struct ServiceSample {
    worker: WorkerId,
    service: ClassId,
    extra: f64,
    /// The load mix when it was taken, if the history reaches back that far.
    mix: Option<Mix>,
    taken: Instant,
}

impl Placer {
    /// Records one sample from a worker, measured `sample.age` ago.
    pub fn sample(&mut self, now: Instant, worker: &WorkerId, sample: &UsageSample) {
        let taken = now.checked_sub(sample.age).unwrap_or(now);
        let Some(row) = self.ledger.workers.get_mut(worker) else {
            return;
        };
        row.note_lag(sample.age);
        match &sample.task {
            Some(key) => self.record_task_sample(now, worker, key, taken, sample),
            None => self.record_service_sample(now, worker, taken, sample),
        }
    }

    fn record_service_sample(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        taken: Instant,
        sample: &UsageSample,
    ) {
        let class = self.interference.class(&sample.class);
        let Some(row) = self.ledger.workers.get(worker) else {
            return;
        };
        let known = row.services.get(&class);
        if known.is_some_and(|known| taken <= known.sampled + SAME_SAMPLE) {
            return;
        }
        let mut residual = 0.0;
        let extra = extra_of(sample.speed);
        let mix = self.mix_for(row, taken).cloned();
        if let Some(mix) = &mix {
            residual = extra - self.interference.predict(class, mix, now);
            self.common_slowdown.note_sample();
        }
        let service = ServiceRow {
            sampled: taken,
            residual,
        };
        if let Some(row) = self.ledger.workers.get_mut(worker) {
            row.services.insert(class, service);
        }
        self.service_samples.push(ServiceSample {
            worker: worker.clone(),
            service: class,
            extra,
            mix,
            taken,
        });
    }

    /// Updates the estimates and the escalation with the services' samples since the last tick,
    /// less the extra time that is common to all workers.
    pub(crate) fn process_service_samples(&mut self, now: Instant) {
        let common = if self.cfg.features.common_slowdown {
            self.common_slowdown.extra(now)
        } else {
            0.0
        };
        for service_sample in std::mem::take(&mut self.service_samples) {
            let extra = service_sample.extra - common;
            // The estimates are not updated during a common slowdown, which is not due to
            // co-located tasks.
            if let Some(mix) = &service_sample.mix
                && common == 0.0
            {
                self.interference
                    .learn(service_sample.service, mix, extra, now);
            }
            self.escalation.note(
                &service_sample.worker,
                service_sample.service,
                extra,
                service_sample.taken,
            );
        }
    }

    /// Returns the load mix of a worker when a sample was taken.
    fn mix_for<'a>(&self, row: &'a WorkerRow, taken: Instant) -> Option<&'a Mix> {
        if self.cfg.features.match_lag {
            row.mix_at(taken)
        } else {
            Some(&row.mix)
        }
    }

    fn record_task_sample(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        key: &TaskKey,
        taken: Instant,
        sample: &UsageSample,
    ) {
        let Some(task) = self.ledger.tasks.get_mut(key) else {
            return;
        };
        let repeated = task.sampled.is_some_and(|last| taken <= last + SAME_SAMPLE);
        if repeated || taken < task.placed_at || task.task.worker != *worker {
            return;
        }
        task.sampled = Some(taken);
        if let Some(progress) = sample.progress {
            task.progress = Some((progress, taken));
        }
        let (class, declared, free) = (task.class, task.declared, task.throttle >= 1.0);
        let granted = task.task.granted;
        if free && sample.speed > 0.0 {
            task.speed += (sample.speed.min(1.0) - task.speed) * SPEED_GAIN;
            self.usage.record_use(
                class,
                declared,
                granted,
                sample.cpu_milli,
                sample.memory_mib,
            );
            self.process_task_speed(now, worker, key, class, taken, sample.speed);
        }
        self.update_memory(now, key, sample.memory_mib);
    }

    /// Updates the estimates with the slowdown of a task by its co-located tasks.
    fn process_task_speed(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        key: &TaskKey,
        class: ClassId,
        taken: Instant,
        speed: f64,
    ) {
        if !self.cfg.features.batch_victims {
            return;
        }
        let Some(row) = self.ledger.workers.get(worker) else {
            return;
        };
        let Some(task) = self.ledger.tasks.get(key) else {
            return;
        };
        let capacity = row.view.capacity.cpu_milli.max(1) as f64;
        let own = task.task.granted.cpu_milli as f64 / capacity;
        let Some(mix) = self.mix_for(row, taken) else {
            return;
        };
        let mut others = mix.clone();
        for (other, load) in &mut others {
            if *other == class {
                *load = (*load - own).max(0.0);
            }
        }
        others.retain(|(_, load)| *load > 0.0);
        self.interference
            .learn(class, &others, extra_of(speed), now);
    }

    /// Sets the memory that a task counts for to its use if it has outgrown its grant.
    fn update_memory(&mut self, now: Instant, key: &TaskKey, used: u64) {
        let Some(task) = self.ledger.tasks.get(key) else {
            return;
        };
        let granted = task.task.granted.memory_mib as f64;
        let counted = task.counted.memory_mib;
        let outgrown = used as f64 > granted * OUTGROWN_SHARE;
        if !outgrown || used <= counted {
            return;
        }
        let worker = task.task.worker.clone();
        if self.outgrown_memory.len() >= MAX_OUTGROWN {
            self.outgrown_memory.swap_remove_index(0);
        }
        self.outgrown_memory.insert(key.job.clone(), used);
        self.ledger.recount(key, used);
        self.reindex(now, &worker);
        self.overcommitted.insert(worker);
    }

    /// Evicts tasks that have outgrown their grant on workers whose allocated memory exceeds the
    /// allocatable memory.
    pub(crate) fn evict_outgrown(&mut self, now: Instant, out: &mut Vec<Decision>) {
        for worker in std::mem::take(&mut self.overcommitted) {
            let Some(row) = self.ledger.workers.get(&worker) else {
                continue;
            };
            let allocatable = self.ledger.allocatable(row).memory_mib;
            let leaving: u64 = self
                .tasks_on(&worker)
                .filter(|task| task.evicting.is_some())
                .map(|task| task.counted.memory_mib)
                .sum();
            if row.allocated.memory_mib.saturating_sub(leaving) <= allocatable {
                continue;
            }
            let worst = self
                .tasks_on(&worker)
                .filter(|task| task.evicting.is_none())
                .max_by_key(|task| task.counted.memory_mib - task.task.granted.memory_mib)
                .map(|task| task.task.key.clone());
            if let Some(key) = worst {
                self.evict(now, &key, EvictReason::Outgrown, out);
                self.overcommitted.insert(worker);
            }
        }
    }
}

/// Returns the extra time at a speed, as a multiple of undisturbed time.
fn extra_of(speed: f64) -> f64 {
    (1.0 / speed.max(MIN_SPEED) - 1.0).clamp(0.0, MAX_EXTRA)
}
