//! Suspects on workers of which it is not known whether they crashed.

use base::prelude::*;
use blame::{Evidence, Verdict};
use slog::info;

use super::Owner;
use super::worker::{Phase, Run, Worker};
use crate::report::{Crash, CrashedRun, WorkerReport};
use crate::{TaskId, TaskRun};

/// How long a suspect is held for each worker in a row, after the first one, of which it is not known
/// whether it crashed.
const HOLD: Duration = Duration::from_secs(5);

/// The longest time that a suspect is held.
const MAX_HOLD: Duration = Duration::from_secs(20);

impl Owner {
    /// Records that a worker may have crashed under the suspects among its runs: its lease lapsed.
    pub(super) fn suspect_lost_runs(&mut self, now: Instant, vm: &Name) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let heard_at = worker.lease_from.unwrap_or(now);
        let Some(incarnation) = worker.last_report.as_ref().map(|l| l.incarnation) else {
            return;
        };
        let is_suspect = |run: &TaskRun| {
            let job = self.jobs.get(&run.task.job);
            let found = job.and_then(|j| Some((j, j.find(&run.task)?)));
            found.is_some_and(|(job, (instance, position))| {
                job.tasks[job.counted_position(instance, position)].verdict() != Verdict::Clear
            })
        };
        let runs = worker.runs.iter();
        let runs = runs.filter(|(id, run)| run.may_have_started() && is_suspect(id));
        let runs = runs.map(|(id, run)| CrashedRun {
            run: id.clone(),
            ran_ms: base::whole_ms(heard_at.saturating_duration_since(run.since)),
        });
        let doubt = Crash {
            incarnation,
            away_ms: 0,
            is_within_lease: false,
            runs: runs.collect(),
        };
        let suspects = self.accuse(now, vm, &doubt);
        for id in suspects {
            self.hold(now, &id);
        }
    }

    /// Records that a worker may have crashed under its runs although its companion, which has
    /// restarted too, does not report it.
    pub(super) fn suspect_unreported_runs(
        &mut self,
        now: Instant,
        vm: &Name,
        report: &WorkerReport,
    ) {
        let last_report = self.workers.get(vm).and_then(|w| w.last_report.as_ref());
        let Some(last) = last_report.filter(|l| !l.is_gone && l.draining_ms.is_none()) else {
            return;
        };
        let mut crashes = report.crashes.iter();
        if !crashes.any(|crash| crash.incarnation == last.incarnation) {
            self.suspect_lost_runs(now, vm);
        }
    }

    /// Delays the next start of a task that loses worker after worker, until it is known whether they
    /// crash.
    fn hold(&mut self, now: Instant, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some((_, position)) = job.find(id) else {
            return;
        };
        let task = &mut job.tasks[position];
        let doubts = task.evidence.iter().filter(|e| !e.is_certain).count();
        let surplus = u32::try_from(doubts.saturating_sub(1)).unwrap_or(u32::MAX);
        if surplus > 0 {
            let hold = HOLD.saturating_mul(surplus).min(MAX_HOLD);
            task.held_until = Some(now + hold);
            info!(self.log, "owner: suspect held"; "task" => %id, "hold_ms" => hold.as_millis());
        }
    }

    /// Drops doubts about an incarnation that is heard again.
    pub(super) fn clear_doubts(&mut self, vm: &Name, incarnation: Incarnation) {
        let is_heard = |w: &&Worker| {
            let last_report = w.last_report.as_ref();
            w.lease_from.is_none() && last_report.is_some_and(|l| !l.is_unresponsive)
        };
        if !self.has_doubts || self.workers.get(vm).filter(is_heard).is_none() {
            return;
        }
        self.has_doubts = false;
        for id in &self.active {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let is_doubt =
                |e: &Evidence| !e.is_certain && e.vm == *vm && e.incarnation == incarnation;
            let mut has_changed = false;
            for task in &mut job.tasks {
                if task.evidence.iter().any(is_doubt) {
                    task.evidence.retain(|e| !is_doubt(e));
                    task.held_until = None;
                    has_changed = true;
                }
                self.has_doubts |= task.evidence.iter().any(|e| !e.is_certain);
            }
            if has_changed {
                job.mark_changed();
                self.commits.mark_progress(id);
                self.is_round_due = true;
            }
        }
    }
}

impl Run {
    fn may_have_started(&self) -> bool {
        !matches!(self.phase, Phase::Ordered { sent: None, .. })
    }
}
