//! The workload: random jobs with sizes as in the users' clusters.

use std::f64::consts::TAU;

use base::prelude::*;
use jobs::{JobSpec, RouteTerms, StageSpec, TaskId};
use rand::Rng;

use crate::harness::{job, stage, terms};
use crate::simulation::{IDLE_TAIL_MS, Mix, QUICK_ROUTE, Simulation, TARGET_FACTOR};

/// The work of a best-effort task, in seconds at full speed: the mean and the maximum.
const WORK: (f64, f64) = (2.2, 5.4);

/// A best-effort job, with what is hidden from the owner.
pub struct BestEffortJob {
    pub(crate) id: String,
    pub(crate) submitted_at: f64,
    pub(crate) due: f64,
    /// The work of each task by stage, in seconds.
    pub(crate) work: Vec<Vec<f64>>,
    pub(crate) value: f64,
    pub(crate) done: Option<f64>,
}

impl Simulation {
    fn draw(&mut self, mean: f64, spread: f64, most: f64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean * (normal * spread - spread * spread / 2.0).exp()).min(most)
    }

    fn submit(&mut self, id: &str, spec: JobSpec, terms: RouteTerms) {
        for index in 0..spec.stages[0].tasks {
            let task = TaskId {
                job: id.into(),
                occurrence: 0,
                stage: 0,
                index,
            };
            self.unstarted.insert(task, self.now);
        }
        self.specs.insert(id.into(), spec.clone());
        self.harness.submit_under(id, spec, terms);
    }

    pub(crate) fn submit_latency_critical_job(&mut self) {
        let at = self.phases.len();
        self.phases.push(self.rng.random_range(0.0..TAU));
        let class = self.rng.random_range(0..self.size.latency_critical_classes);
        let mean = self.size.mean_tasks.0;
        let tasks = self.draw(mean, 0.4, 2.0 * mean).max(1.0) as u32;
        let cores = self.draw(13.0, 0.25, 20.0) as u64;
        let is_spread = self.rng.random_bool(0.5);
        let shaped = stage(tasks, cores);
        let resources = match self.size.mix {
            Some(mix) => self.shape(mix.standing, 0.25),
            None => shaped.resources,
        };
        self.standing_since.push(self.now);
        let spec = StageSpec {
            resources,
            standing: true,
            class: Some(format!("s{class}").into()),
            latency_target_ms: Some((IDLE_TAIL_MS * TARGET_FACTOR) as u64),
            max_per_worker: is_spread.then_some(2),
            ..shaped
        };
        self.submit(&format!("serving-{at}"), job(vec![spec]), terms(0));
    }

    pub(crate) fn submit_best_effort_job(&mut self) {
        let stages = self.draw(2.0, 0.4, 5.0).round().max(1.0) as u32;
        let class = self.rng.random_range(0..self.size.best_effort_classes);
        let mean = self.size.mean_tasks.1;
        let mut specs = Vec::new();
        let mut work = Vec::new();
        let mut chain = 0.0;
        let mut total_work = 0.0;
        for at in 0..stages {
            let tasks = self.draw(mean, 0.6, 4.0 * mean).round().max(1.0) as u32;
            let cores = self.draw(7.0, 0.3, 14.0).round().max(1.0);
            let length = self.draw(WORK.0, 0.5, WORK.1);
            let each: Vec<f64> = (0..tasks).map(|_| self.draw(length, 0.3, 9.0)).collect();
            chain += each.iter().copied().fold(0.0, f64::max);
            total_work += each.iter().sum::<f64>() * cores;
            let shaped = stage(tasks, cores as u64);
            let (resources, off) = match self.size.mix {
                Some(mix) => (self.shape(mix.heavy, 0.3), Some(mix.declared_off.1)),
                None => (shaped.resources, None),
            };
            let declared = self.declared(length, off);
            let each = self.with_tail(each);
            specs.push(StageSpec {
                resources,
                best_effort: self.size.mix.is_none_or(|m| m.is_heavy_best_effort),
                checkpoints: true,
                class: Some(format!("f{class}").into()),
                estimate_ms: (declared * 1000.0) as u64,
                after: if at > 0 { vec![at - 1] } else { Vec::new() },
                ..shaped
            });
            work.push(each);
        }
        let id = format!("fill-{}", self.best_effort_jobs.len());
        let best_effort = RouteTerms {
            stretch: 2.0,
            slack_ms: 1000,
            ..terms(2)
        };
        self.submit(&id, job(specs), best_effort);
        let mean_work = 2.0 * mean * 7.0 * WORK.0;
        self.best_effort_jobs.push(BestEffortJob {
            id,
            submitted_at: self.now,
            due: 2.0 * chain + 1.0,
            work,
            value: 0.3 + 0.7 * (total_work / mean_work).min(4.0),
            done: None,
        });
    }

    /// Returns a size with a mean of `mean`, at most twice as large.
    fn shape(&mut self, mean: Resources, spread: f64) -> Resources {
        let factor = self.draw(1.0, spread, 2.0);
        Resources {
            cpu_milli: (mean.cpu_milli as f64 * factor) as u64,
            memory_mib: (mean.memory_mib as f64 * self.draw(1.0, 0.3, 2.0)) as u64,
            accelerators: 0,
        }
    }

    /// Returns the declared run time of a task of some length, in seconds.
    fn declared(&mut self, length: f64, off: Option<f64>) -> f64 {
        match off {
            Some(off) => length * (1.0 + self.rng.random_range(-off..off)),
            None => self.draw(length, 0.2, 9.0),
        }
    }

    /// Makes some of the tasks take seven times as long.
    fn with_tail(&mut self, mut work: Vec<f64>) -> Vec<f64> {
        let tail = self.size.mix.map_or(0.0, |m| m.tail);
        for work in work.iter_mut().filter(|_| tail > 0.0) {
            if self.rng.random_bool(tail) {
                *work *= 7.0;
            }
        }
        work
    }

    pub(crate) fn submit_quick_job(&mut self, mix: Mix) {
        let stages = self.draw(1.6, 0.4, 4.0).round().max(1.0) as u32;
        let mut specs = Vec::new();
        let mut work = Vec::new();
        let mut chain = 0.0;
        for at in 0..stages {
            let tasks = self.draw(9.5, 0.8, 57.0).round().max(1.0) as u32;
            let length = self.draw(0.9, 0.5, 9.0);
            let each: Vec<f64> = (0..tasks).map(|_| self.draw(length, 0.15, 9.0)).collect();
            let each = self.with_tail(each);
            chain += each.iter().copied().fold(0.0, f64::max);
            let declared = self.declared(length, Some(mix.declared_off.0));
            specs.push(StageSpec {
                resources: self.shape(mix.quick, 0.45),
                estimate_ms: (declared * 1000.0) as u64,
                after: if at > 0 { vec![at - 1] } else { Vec::new() },
                ..stage(tasks, 1)
            });
            work.push(each);
        }
        let id = format!("quick-{}", self.best_effort_jobs.len());
        let quick = RouteTerms {
            route: QUICK_ROUTE.into(),
            stretch: 1.5,
            slack_ms: 300,
            ..terms(0)
        };
        self.submit(&id, job(specs), quick);
        self.best_effort_jobs.push(BestEffortJob {
            id,
            submitted_at: self.now,
            due: 1.5 * chain + 0.3,
            work,
            value: 1.0,
            done: None,
        });
    }

    /// Cancels latency-critical jobs at the rate at which further ones come, the oldest first.
    pub(crate) fn cancel_standing_jobs(&mut self, mix: Mix) {
        let wanted = self.size.latency_critical_jobs;
        let running = self.standing_since.len() - self.cancelled;
        if running > wanted && self.rng.random_bool(0.05 * mix.standing_rate.min(1.0)) {
            let id = format!("serving-{}", self.cancelled);
            self.harness.cancel(&id);
            self.cancelled += 1;
        }
    }
}
