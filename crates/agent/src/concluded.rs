//! Runs whose outcome is known, so that an order that arrives again does not start them again.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::RejectKind;

use crate::starts::MAX_STATUS_LAG_MS;

/// How long a run is remembered after its outcome is known: longer than a reply of the owner is on its
/// way.
const KEPT_FOR: Duration = Duration::from_secs(5);

/// The outcome of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Conclusion {
    /// A status has shown the run.
    Listed,
    /// It was rejected, and the owner has recorded that.
    Rejected(RejectKind),
}

/// The concluded runs.
#[derive(Debug, Default)]
pub(crate) struct Concluded {
    /// Their outcomes, with when they were known.
    runs: IndexMap<TaskRun, (Conclusion, Instant)>,
    /// Listed runs that were ordered again, with the worker's clock in the first status since, in
    /// milliseconds: one that statuses lack for long has ended.
    repeated: IndexMap<TaskRun, Option<u64>>,
}

impl Concluded {
    pub(crate) fn get(&self, run: &TaskRun) -> Option<Conclusion> {
        self.runs.get(run).map(|(conclusion, _)| *conclusion)
    }

    pub(crate) fn insert(&mut self, now: Instant, run: TaskRun, conclusion: Conclusion) {
        self.runs.insert(run, (conclusion, now));
    }

    /// Records that a listed run was ordered again.
    pub(crate) fn repeat(&mut self, run: &TaskRun) {
        self.repeated.entry(run.clone()).or_insert(None);
    }

    /// Returns true if the outcome of an order depends on later statuses.
    pub(crate) fn awaits_status(&self) -> bool {
        !self.repeated.is_empty()
    }

    /// Returns the runs that were ordered again and have ended, as a whole status made at `clock_ms` of the
    /// worker's clock shows; `is_answered` tells whether the status, or the outcome of a stop, shows a run.
    pub(crate) fn take_ended(
        &mut self,
        clock_ms: u64,
        is_partial: bool,
        is_answered: impl Fn(&TaskRun) -> bool,
    ) -> Vec<TaskRun> {
        let mut ended = Vec::new();
        self.repeated.retain(|run, since| {
            if is_answered(run) {
                return false;
            }
            if is_partial {
                return true;
            }
            // A run that is being stopped may be in neither list.
            let since = *since.get_or_insert(clock_ms);
            let has_ended = clock_ms > since.saturating_add(MAX_STATUS_LAG_MS);
            if has_ended {
                ended.push(run.clone());
            }
            !has_ended
        });
        ended
    }

    /// Forgets the runs that were concluded long ago.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= KEPT_FOR;
        let rows = self.runs.values();
        let surplus = rows.take_while(|(_, at)| is_old(*at)).count();
        self.runs.drain(..surplus);
    }
}
