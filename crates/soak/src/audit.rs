//! Checks the run records of all workers for violated guarantees at the end of a run.

use base::prelude::*;
use fakes::worker::{Run, WorkerRecord};

/// A guarantee that the run records show to be violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two attempts of one job ran at the same time.
    Overlap {
        /// The job.
        job: JobId,
        /// The attempt that started first, and its worker.
        first: (Attempt, WorkerId),
        /// The attempt that started while the first one ran, and its worker.
        second: (Attempt, WorkerId),
    },
    /// One attempt ran on two workers. A replacement VM of the same name may run it again.
    AttemptTwice {
        /// The job and attempt.
        key: TaskKey,
    },
    /// A worker was granted more resources than its capacity.
    Overcommit {
        /// The worker.
        worker: WorkerId,
        /// How many starts exceeded the capacity.
        times: u64,
    },
}

/// The run records of every incarnation of every worker.
#[derive(Debug, Default)]
pub struct RunAudit {
    runs: IndexMap<JobId, Vec<(WorkerId, Run)>>,
    overcommits: IndexMap<WorkerId, u64>,
    effects: IndexMap<JobId, Vec<Attempt>>,
}

impl RunAudit {
    /// Adds the record of one incarnation of a worker.
    pub fn add(&mut self, worker: &WorkerId, record: &WorkerRecord) {
        for run in &record.runs {
            let runs = self.runs.entry(run.key.job.clone()).or_default();
            runs.push((worker.clone(), run.clone()));
        }
        for effect in &record.effects {
            let effects = self.effects.entry(effect.key.job.clone()).or_default();
            effects.push(effect.key.attempt);
        }
        *self.overcommits.entry(worker.clone()).or_default() += record.overcommits;
    }

    /// Returns how many runs were recorded.
    pub fn runs(&self) -> usize {
        self.runs.values().map(Vec::len).sum()
    }

    /// Returns how many attempts of a job finished, on any worker.
    pub fn finished_attempts(&self, job: &JobId) -> usize {
        self.effects.get(job).map_or(0, Vec::len)
    }

    /// Returns true if an attempt of `job` started later than `after`.
    pub fn starts_after(&self, job: &JobId, after: Instant) -> bool {
        self.runs
            .get(job)
            .is_some_and(|runs| runs.iter().any(|(_, run)| run.start > after))
    }

    /// Returns the violations: first by job, in the order of first runs, then by worker.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (job, runs) in &self.runs {
            check_runs(job, runs, &mut violations);
        }
        for (worker, &times) in self.overcommits.iter().filter(|(_, times)| **times > 0) {
            let worker = worker.clone();
            violations.push(Violation::Overcommit { worker, times });
        }
        violations
    }
}

fn check_runs(job: &JobId, runs: &[(WorkerId, Run)], violations: &mut Vec<Violation>) {
    let mut runs: Vec<&(WorkerId, Run)> = runs.iter().collect();
    runs.sort_by_key(|(_, run)| run.start);
    let mut ran_on: IndexMap<Attempt, &WorkerId> = IndexMap::new();
    for (worker, run) in &runs {
        if *ran_on.entry(run.key.attempt).or_insert(worker) != worker {
            let key = run.key.clone();
            violations.push(Violation::AttemptTwice { key });
        }
    }
    // If a later start overlaps any earlier run, it overlaps the one that ends last.
    let mut longest: Option<&(WorkerId, Run)> = None;
    for run in runs {
        if let Some(before) = longest.filter(|before| overlaps(&before.1, &run.1)) {
            violations.push(Violation::Overlap {
                job: job.clone(),
                first: (before.1.key.attempt, before.0.clone()),
                second: (run.1.key.attempt, run.0.clone()),
            });
        }
        if longest.is_none_or(|before| ends_later(&run.1, &before.1)) {
            longest = Some(run);
        }
    }
}

fn overlaps(before: &Run, after: &Run) -> bool {
    before.end.is_none_or(|end| end > after.start)
}

fn ends_later(a: &Run, b: &Run) -> bool {
    match (a.end, b.end) {
        (_, None) => false,
        (None, _) => true,
        (Some(a), Some(b)) => a > b,
    }
}
