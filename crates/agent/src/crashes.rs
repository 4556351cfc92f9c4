//! Crashes of the worker, and the runs that it may have had.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::{Crash, CrashedRun};

use crate::incarnation::WorkerIncarnation;

/// How many crashes are kept for an owner that does not respond.
const MAX_UNRECORDED: usize = 8;

/// The crashes that the owner has not recorded yet.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    unrecorded: Vec<Crash>,
}

impl Crashes {
    /// Adds the crash of an incarnation that another one has replaced at `now`.
    ///
    /// Returns `None` if the incarnation had left or drained, or never had runs.
    pub(crate) fn add(&mut self, worker: &WorkerIncarnation, now: Instant) -> Option<&Crash> {
        if worker.is_draining() {
            return None;
        }
        let crash = Crash {
            incarnation: worker.heartbeat.incarnation,
            away_ms: base::whole_ms(now.saturating_duration_since(ended_at(worker))),
            is_within_lease: worker.had_lease(worker.disconnected_at.unwrap_or(now)),
            runs: crashed_runs(worker),
        };
        if crash.runs.is_empty() {
            return None;
        }
        self.unrecorded.push(crash);
        let surplus = self.unrecorded.len().saturating_sub(MAX_UNRECORDED);
        self.unrecorded.drain(..surplus);
        self.unrecorded.last()
    }

    /// Drops the crashes that the owner has recorded.
    pub(crate) fn acknowledge(&mut self, incarnations: &[Incarnation]) {
        self.unrecorded
            .retain(|crash| !incarnations.contains(&crash.incarnation));
    }

    pub(crate) fn unrecorded(&self) -> &[Crash] {
        &self.unrecorded
    }
}

/// Returns the runs that the worker may have had when it was last heard.
fn crashed_runs(worker: &WorkerIncarnation) -> Vec<CrashedRun> {
    let ended_at = ended_at(worker);
    let crashed_run = |run: &TaskRun, since: Option<Instant>| CrashedRun {
        run: run.clone(),
        ran_ms: since.map_or(0, |at| {
            base::whole_ms(ended_at.saturating_duration_since(at))
        }),
    };
    let listed = worker.listed_since.iter();
    let listed = listed.map(|(run, since)| crashed_run(run, Some(*since)));
    let unlisted = worker.starts.maybe_started();
    let unlisted = unlisted.map(|(run, since)| crashed_run(run, since));
    listed.chain(unlisted).collect()
}

/// Returns when the worker was last connected.
fn ended_at(worker: &WorkerIncarnation) -> Instant {
    worker.disconnected_at.unwrap_or(worker.answered_at)
}
