//! The workload: random jobs with sizes as in the users' clusters.

use std::f64::consts::TAU;

use jobs::{JobSpec, RouteTerms, StageSpec};
use rand::Rng;

use crate::harness::{job, stage, terms};
use crate::simulation::{IDLE_TAIL_MS, Simulation, TARGET_FACTOR};

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
        let spec = StageSpec {
            standing: true,
            class: Some(format!("s{class}").into()),
            latency_target_ms: Some((IDLE_TAIL_MS * TARGET_FACTOR) as u64),
            max_per_worker: is_spread.then_some(2),
            ..stage(tasks, cores)
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
            specs.push(StageSpec {
                best_effort: true,
                checkpoints: true,
                class: Some(format!("f{class}").into()),
                estimate_ms: (self.draw(length, 0.2, 9.0) * 1000.0) as u64,
                after: if at > 0 { vec![at - 1] } else { Vec::new() },
                ..stage(tasks, cores as u64)
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
}
