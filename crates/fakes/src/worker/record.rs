//! The record of what a worker did, for the checks of tests.

use base::prelude::*;

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The job and attempt.
    pub key: TaskKey,
    /// When it started.
    pub start: Instant,
    /// When it ended; `None` while it runs.
    pub end: Option<Instant>,
}

/// The effect of a task that finished, which its job must have exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The job and attempt.
    pub key: TaskKey,
    /// When it finished.
    pub at: Instant,
}

/// The record of all runs on a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerRecord {
    /// The runs, in the order of their starts.
    pub runs: Vec<Run>,
    /// The tasks that finished, in order.
    pub effects: Vec<Effect>,
    /// How many starts left the worker with more resources granted than its capacity.
    pub overcommits: u64,
    /// How many starts repeated a known key and had no effect.
    pub repeated_starts: u64,
    /// How many tasks stopped because their lease expired.
    pub expired: u64,
}

impl WorkerRecord {
    pub(super) fn start(&mut self, key: &TaskKey, at: Instant) {
        self.runs.push(Run {
            key: key.clone(),
            start: at,
            end: None,
        });
    }

    pub(super) fn end(&mut self, key: &TaskKey, at: Instant) {
        let run = self.runs.iter_mut().rev().find(|run| run.key == *key);
        if let Some(run) = run {
            run.end.get_or_insert(at);
        }
    }
}
