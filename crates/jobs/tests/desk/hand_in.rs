//! What callers hand in, drawn from the sizes that desks see.

use std::f64::consts::TAU;

use jobs::{JobSpec, RouteTerms, StageSpec};
use rand::Rng;

use crate::rig::{job, stage, terms};
use crate::world::{QUIET_MS, TARGET_FACTOR, World};

/// The work of a filler, in seconds at full speed: the mean, and the most.
const WORK: (f64, f64) = (2.2, 5.4);

/// A job of fillers, with what only the desk knows of it.
pub struct Filler {
    pub(crate) id: String,
    pub(crate) handed_in: f64,
    pub(crate) due: f64,
    /// By stage, the work of each task, in seconds.
    pub(crate) work: Vec<Vec<f64>>,
    pub(crate) worth: f64,
    pub(crate) done: Option<f64>,
}

impl World {
    fn draw(&mut self, mean: f64, spread: f64, most: f64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean * (normal * spread - spread * spread / 2.0).exp()).min(most)
    }

    fn submit(&mut self, id: &str, spec: JobSpec, terms: RouteTerms) {
        self.specs.insert(id.into(), spec.clone());
        self.rig.submit_under(id, spec, terms);
    }

    pub(crate) fn hand_in_serving(&mut self) {
        let at = self.phases.len();
        self.phases.push(self.rng.random_range(0.0..TAU));
        let class = self.rng.random_range(0..self.size.serving_classes);
        let mean = self.size.widths.0;
        let tasks = self.draw(mean, 0.4, 2.0 * mean).max(1.0) as u32;
        let cores = self.draw(13.0, 0.25, 20.0) as u64;
        let is_spread = self.rng.random_bool(0.5);
        let spec = StageSpec {
            standing: true,
            class: Some(format!("s{class}").into()),
            tail_target_ms: Some((QUIET_MS * TARGET_FACTOR) as u64),
            max_per_worker: is_spread.then_some(2),
            ..stage(tasks, cores)
        };
        self.submit(&format!("serving-{at}"), job(vec![spec]), terms(0));
    }

    pub(crate) fn hand_in_fillers(&mut self) {
        let stages = self.draw(2.0, 0.4, 5.0).round().max(1.0) as u32;
        let class = self.rng.random_range(0..self.size.filler_classes);
        let mean = self.size.widths.1;
        let mut specs = Vec::new();
        let mut work = Vec::new();
        let mut chain = 0.0;
        let mut whole = 0.0;
        for at in 0..stages {
            let tasks = self.draw(mean, 0.6, 4.0 * mean).round().max(1.0) as u32;
            let cores = self.draw(7.0, 0.3, 14.0).round().max(1.0);
            let length = self.draw(WORK.0, 0.5, WORK.1);
            let each: Vec<f64> = (0..tasks).map(|_| self.draw(length, 0.3, 9.0)).collect();
            chain += each.iter().copied().fold(0.0, f64::max);
            whole += each.iter().sum::<f64>() * cores;
            specs.push(StageSpec {
                filler: true,
                checkpoints: true,
                class: Some(format!("f{class}").into()),
                estimate_ms: (self.draw(length, 0.2, 9.0) * 1000.0) as u64,
                after: if at > 0 { vec![at - 1] } else { Vec::new() },
                ..stage(tasks, cores as u64)
            });
            work.push(each);
        }
        let id = format!("fill-{}", self.fillers.len());
        let fillers = RouteTerms {
            stretch: 2.0,
            slack_ms: 1000,
            ..terms(2)
        };
        self.submit(&id, job(specs), fillers);
        let mean_work = 2.0 * mean * 7.0 * WORK.0;
        self.fillers.push(Filler {
            id,
            handed_in: self.at,
            due: 2.0 * chain + 1.0,
            work,
            worth: 0.3 + 0.7 * (whole / mean_work).min(4.0),
            done: None,
        });
    }
}
