//! Status reports as changes to the previous one.
//!
//! Most rows of a status report differ from those of the previous report only in their gauges. A
//! companion therefore sends what changed, and the owner rebuilds the whole status from the one it
//! holds. If the owner holds another status, it asks for a whole one.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use super::{FinishedRun, RunningRow, WorkerReport, WorkerStatus};
use crate::TaskRun;

/// The step name of errors of [`StatusChanges::apply_to`].
const APPLY: &str = "apply status changes";

/// The changes from one status of a worker to a later one.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatusChanges {
    /// The number of the report with the earlier status.
    pub base: u64,
    /// The fencing token that the worker had seen.
    pub fence: u64,
    /// The worker's clock at the time of the status report, in milliseconds.
    pub clock_ms: u64,
    /// Whether no stop was in progress.
    pub is_settled: bool,
    /// The positions of the running rows to remove, ascending.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<usize>,
    /// The remaining rows whose progress or gauge changed: position before removal, percent, gauge.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gauges: Vec<(usize, f64, f64)>,
    /// The remaining rows whose checkpoint changed: position before removal, checkpoint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(usize, Option<Name>)>,
    /// New running rows; they follow the remaining ones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub added: Vec<RunningRow>,
    /// The numbers of the finished runs to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed_ends: Vec<u64>,
    /// New finished runs; they follow the remaining ones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub added_ends: Vec<FinishedRun>,
}

impl StatusChanges {
    /// Returns the changes from `base`, the status of report number `number`, to `status`.
    pub fn between(number: u64, base: &WorkerStatus, status: &WorkerStatus) -> Self {
        let mut listed: IndexMap<&TaskRun, &RunningRow> =
            status.running.iter().map(|row| (&row.run, row)).collect();
        let mut changes = Self {
            base: number,
            fence: status.fence,
            clock_ms: status.clock_ms,
            is_settled: status.is_settled,
            ..Self::default()
        };
        for (at, old) in base.running.iter().enumerate() {
            let Some(new) = listed.swap_remove(&old.run) else {
                changes.removed.push(at);
                continue;
            };
            if (new.percent, new.gauge) != (old.percent, old.gauge) {
                changes.gauges.push((at, new.percent, new.gauge));
            }
            if new.checkpoint != old.checkpoint {
                changes.checkpoints.push((at, new.checkpoint.clone()));
            }
        }
        changes.added = listed.into_values().cloned().collect();
        let had_end = |number: u64| base.finished.iter().any(|end| end.number == number);
        let has_end = |number: u64| status.finished.iter().any(|end| end.number == number);
        let gone = base.finished.iter().map(|end| end.number);
        changes.removed_ends = gone.filter(|number| !has_end(*number)).collect();
        let new = status.finished.iter().filter(|end| !had_end(end.number));
        changes.added_ends = new.cloned().collect();
        changes
    }

    /// Returns the later status.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] if a position is not in `base`.
    pub fn apply_to(self, mut base: WorkerStatus) -> Result<WorkerStatus> {
        let rows = base.running.len();
        let positions = self.gauges.iter().map(|(at, ..)| at);
        let positions = positions.chain(self.checkpoints.iter().map(|(at, _)| at));
        if let Some(at) = positions.chain(&self.removed).find(|at| **at >= rows) {
            let message = format!("row {at} of {rows}");
            return Err(Error::new(
                ErrorKind::Malformed,
                APPLY,
                "companion",
                message,
            ));
        }
        for (at, percent, gauge) in self.gauges {
            base.running[at].percent = percent;
            base.running[at].gauge = gauge;
        }
        for (at, checkpoint) in self.checkpoints {
            base.running[at].checkpoint = checkpoint;
        }
        let removed: IndexSet<usize> = self.removed.into_iter().collect();
        let mut at = 0;
        base.running.retain(|_| {
            at += 1;
            !removed.contains(&(at - 1))
        });
        base.running.extend(self.added);
        base.finished
            .retain(|end| !self.removed_ends.contains(&end.number));
        base.finished.extend(self.added_ends);
        Ok(WorkerStatus {
            fence: self.fence,
            clock_ms: self.clock_ms,
            is_settled: self.is_settled,
            ..base
        })
    }
}

/// The status that both ends of the reports hold, and the number of the report that carried it.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus(Option<(u64, WorkerStatus)>);

impl SharedStatus {
    /// Forgets the status, so that the next report carries a whole one.
    pub fn clear(&mut self) {
        self.0 = None;
    }

    /// Replaces the status of report `number` by its changes, if a status is held.
    ///
    /// Returns false if the report still carries a whole status.
    pub fn reduce(&mut self, number: u64, report: &mut WorkerReport) -> bool {
        let Some(status) = report.status.take() else {
            self.clear();
            return false;
        };
        if let Some((base, held)) = self.0.take() {
            let changes = StatusChanges::between(base, &held, &status);
            // The owner rebuilds its status in the same order of rows.
            if let Ok(rebuilt) = changes.clone().apply_to(held) {
                self.0 = Some((number, rebuilt));
                report.changes = Some(changes);
                return true;
            }
        }
        self.0 = Some((number, status.clone()));
        report.status = Some(status);
        false
    }

    /// Restores the status of report `number` from its changes.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Conflict`] if the changes are to another status than the one held, and
    /// [`ErrorKind::Malformed`] if they do not fit it. The report then carries no status, and none is
    /// held.
    pub fn restore(&mut self, number: u64, report: &mut WorkerReport) -> Result<()> {
        let held = self.0.take();
        if let Some(changes) = report.changes.take() {
            let held = held.filter(|(base, _)| *base == changes.base);
            let Some((_, held)) = held else {
                let message = format!("changes to report {}", changes.base);
                return Err(Error::new(ErrorKind::Conflict, APPLY, "companion", message));
            };
            report.status = Some(changes.apply_to(held)?);
        }
        self.0 = report.status.clone().map(|status| (number, status));
        Ok(())
    }
}
