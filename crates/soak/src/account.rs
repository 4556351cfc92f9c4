//! The accounting at the end of a run, by the workers' own records.

use base::prelude::*;
use fakes::worker::{Run, WorkerRecord};

/// A promise that the records show broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// Two tasks of one job ran at once.
    Overlap {
        /// The job.
        job: JobId,
        /// The attempt that ran first, with its worker.
        first: (Attempt, WorkerId),
        /// The attempt that ran beside it, with its worker.
        second: (Attempt, WorkerId),
    },
    /// One attempt ran on two workers; a VM that was replaced under its name may run it again.
    AttemptTwice {
        /// The job and attempt.
        key: TaskKey,
    },
    /// A worker was given more than it holds.
    Overcommit {
        /// The worker.
        worker: WorkerId,
        /// How often.
        times: u64,
    },
}

/// The records of every life of every worker.
#[derive(Debug, Default)]
pub struct Account {
    runs: IndexMap<JobId, Vec<(WorkerId, Run)>>,
    overcommits: IndexMap<WorkerId, u64>,
    effects: IndexMap<JobId, Vec<Attempt>>,
}

impl Account {
    /// Adds the record of one life of a worker.
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

    /// Returns how many attempts of a job finished on some worker.
    pub fn finished_attempts(&self, job: &JobId) -> usize {
        self.effects.get(job).map_or(0, Vec::len)
    }

    /// Tells whether a job started later than `after`.
    pub fn starts_after(&self, job: &JobId, after: Instant) -> bool {
        self.runs
            .get(job)
            .is_some_and(|runs| runs.iter().any(|(_, run)| run.start > after))
    }

    /// Returns the broken promises, in the order of the jobs' first runs.
    pub fn breaches(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for (job, runs) in &self.runs {
            check_runs(job, runs, &mut breaches);
        }
        for (worker, &times) in self.overcommits.iter().filter(|(_, times)| **times > 0) {
            let worker = worker.clone();
            breaches.push(Breach::Overcommit { worker, times });
        }
        breaches
    }
}

fn check_runs(job: &JobId, runs: &[(WorkerId, Run)], breaches: &mut Vec<Breach>) {
    let mut runs: Vec<&(WorkerId, Run)> = runs.iter().collect();
    runs.sort_by_key(|(_, run)| run.start);
    let mut ran_on: IndexMap<Attempt, &WorkerId> = IndexMap::new();
    for (worker, run) in &runs {
        if *ran_on.entry(run.key.attempt).or_insert(worker) != worker {
            let key = run.key.clone();
            breaches.push(Breach::AttemptTwice { key });
        }
    }
    // The run that lasts longest of those seen is the one that a later start may meet.
    let mut longest: Option<&(WorkerId, Run)> = None;
    for run in runs {
        if let Some(before) = longest.filter(|before| overlaps(&before.1, &run.1)) {
            breaches.push(Breach::Overlap {
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
