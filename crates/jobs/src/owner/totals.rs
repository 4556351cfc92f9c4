//! Sums over the runs of a worker, kept up to date as runs come, go and change.

use base::prelude::*;

use super::run::{Phase, Run};
use crate::TaskRun;

/// The tasks of one stage of a job, in all its occurrences.
pub(super) type StageKey = (JobId, u32);

/// Sums over the runs of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Totals {
    /// The resources charged to the worker.
    pub(super) used: Resources,
    /// The processors that all runs are expected to use, in thousandths of a core.
    pub(super) demand_milli: u64,
    /// Those of best-effort runs.
    pub(super) best_effort_milli: u64,
    /// The processors charged for runs that end, in thousandths of a core.
    pub(super) ending_milli: u64,
    /// The number of runs that end and that processors are charged for.
    pub(super) ending: u32,
    /// The number of latency-critical runs.
    pub(super) latency_critical: u32,
    /// The number of runs that are suspected of crashing their workers.
    pub(super) trials: u32,
    /// The number of starts whose outcome is not known.
    pub(super) starting: u32,
    /// Those of each stage.
    starting_by_stage: IndexMap<StageKey, u32>,
    /// The latency-critical runs of each class.
    served: IndexMap<Option<Name>, u32>,
}

impl Totals {
    pub(super) fn add(&mut self, id: &TaskRun, run: &Run) {
        self.used += run.charged;
        self.demand_milli += run.demand_milli;
        self.best_effort_milli += best_effort_milli(run);
        if is_ending(run) {
            self.ending += 1;
            self.ending_milli += run.charged.cpu_milli;
        }
        self.trials += u32::from(run.trial.is_some());
        if run.latency_target_ms.is_some() {
            self.latency_critical += 1;
            *self.served.entry(run.class.clone()).or_default() += 1;
        }
        if is_starting(run) {
            self.starting += 1;
            *self.starting_by_stage.entry(key(id)).or_default() += 1;
        }
    }

    pub(super) fn subtract(&mut self, id: &TaskRun, run: &Run) {
        self.used -= run.charged;
        self.demand_milli -= run.demand_milli;
        self.best_effort_milli -= best_effort_milli(run);
        if is_ending(run) {
            self.ending -= 1;
            self.ending_milli -= run.charged.cpu_milli;
        }
        self.trials -= u32::from(run.trial.is_some());
        if run.latency_target_ms.is_some() {
            self.latency_critical -= 1;
            decrement(&mut self.served, &run.class);
        }
        if is_starting(run) {
            self.starting -= 1;
            decrement(&mut self.starting_by_stage, &key(id));
        }
    }

    /// Returns the number of starts of a stage whose outcome is not known.
    pub(super) fn starting_of(&self, stage: &StageKey) -> u32 {
        self.starting_by_stage.get(stage).copied().unwrap_or(0)
    }

    /// Returns how many classes the latency-critical runs have.
    pub(super) fn served_classes(&self) -> usize {
        self.served.len()
    }

    /// Returns true if a latency-critical run has the class.
    pub(super) fn serves(&self, class: &Option<Name>) -> bool {
        self.served.contains_key(class)
    }
}

fn key(id: &TaskRun) -> StageKey {
    (id.task.job.clone(), id.task.stage)
}

fn best_effort_milli(run: &Run) -> u64 {
    if run.is_best_effort {
        run.demand_milli
    } else {
        0
    }
}

fn is_ending(run: &Run) -> bool {
    !run.is_standing && run.charged.cpu_milli > 0
}

fn is_starting(run: &Run) -> bool {
    matches!(run.phase, Phase::Ordered { .. })
}

fn decrement<K: std::hash::Hash + Eq>(counts: &mut IndexMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.swap_remove(key);
        }
    }
}
