//! Availability zones that operators have cordoned: no task starts there.
//!
//! What runs in a cordoned zone goes on; what ends there or has not started yet runs elsewhere.

use base::prelude::*;
use cordon::Observation;
use slog::warn;

use super::Owner;
use super::worker::{Phase, Run};
use crate::TaskRun;

/// Until when tasks may start on a worker, as far as its availability zone permits it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum StartWindow {
    /// Operators can't cordon zones.
    #[default]
    Unlimited,
    /// The zone is cordoned, or it is not known whether it is.
    Closed,
    /// The zone was known to be open.
    OpenUntil(Instant),
}

impl StartWindow {
    /// Returns true if tasks may start now.
    pub(super) fn is_open(self, now: Instant) -> bool {
        self.lease(now).is_none_or(|lease| lease > Duration::ZERO)
    }

    /// Returns how long tasks may still start; `None` without a limit.
    pub(super) fn lease(self, now: Instant) -> Option<Duration> {
        match self {
            Self::Unlimited => None,
            Self::Closed => Some(Duration::ZERO),
            Self::OpenUntil(until) => Some(until.saturating_duration_since(now)),
        }
    }
}

impl Owner {
    /// Applies what a read of the operators' cordons showed.
    pub fn observe_cordons(&mut self, now: Instant, observation: Observation) {
        let Some(cordons) = self.cordons.as_mut() else {
            return;
        };
        let change = cordons.observe(observation);
        self.update_start_windows(now);
        for zone in &change.opened {
            warn!(self.log, "owner: availability zone taken back"; "zone" => %zone);
            self.stats.events.push(("cordon", "opened"));
        }
        for zone in &change.closed {
            let withdrawn = self.withdraw_starts(zone);
            warn!(self.log, "owner: availability zone cordoned";
                "zone" => %zone, "withdrawn" => withdrawn);
            self.stats.events.push(("cordon", "closed"));
        }
    }

    /// Drops what is known of cordons, because the process was suspended.
    pub fn forget_cordons(&mut self, now: Instant) {
        if let Some(cordons) = self.cordons.as_mut() {
            cordons.forget();
            self.update_start_windows(now);
        }
    }

    /// Returns the number of cordoned zones.
    pub fn cordoned_zones(&self) -> usize {
        self.cordons.as_ref().map_or(0, cordon::Cordons::count)
    }

    fn update_start_windows(&mut self, now: Instant) {
        let vms: Vec<Name> = self.workers.keys().cloned().collect();
        for vm in vms {
            self.update_start_window(now, &vm);
        }
    }

    /// Sets until when tasks may start on a worker.
    pub(super) fn update_start_window(&mut self, now: Instant, vm: &Name) {
        let Some(cordons) = &self.cordons else {
            return;
        };
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        let zone = worker.last_report.as_ref().map(|l| &l.zone);
        let until = zone.and_then(|zone| cordons.starts_until(zone));
        let was_open = worker.starts.is_open(now);
        worker.starts = until.map_or(StartWindow::Closed, StartWindow::OpenUntil);
        let is_open = worker.starts.is_open(now);
        // The companion is told at once, not with the next orders.
        worker.needs_renewal |= was_open != is_open;
        self.is_round_due |= !was_open && is_open;
    }

    /// Withdraws the starts in flight to a zone; returns their number.
    ///
    /// Those that the companion has acknowledged are left to it: it rejects what it has not sent, and
    /// what has started goes on. A gang's are withdrawn together.
    fn withdraw_starts(&mut self, zone: &ZoneName) -> usize {
        let workers = self.workers.iter().filter(|(_, w)| {
            let last_report = w.last_report.as_ref();
            last_report.is_some_and(|l| l.zone == *zone)
        });
        let is_withdrawn = |id: &TaskRun, run: &Run| match run.phase {
            Phase::Ordered {
                is_acknowledged, ..
            } => !is_acknowledged || self.is_of_gang(id),
            _ => false,
        };
        let starts: Vec<(Name, TaskRun)> = workers
            .flat_map(|(vm, worker)| {
                let ordered = worker.runs.iter().filter(|(id, run)| is_withdrawn(id, run));
                ordered.map(|(id, _)| (Arc::clone(vm), id.clone()))
            })
            .collect();
        self.withdraw(&starts);
        starts.len()
    }

    fn is_of_gang(&self, id: &TaskRun) -> bool {
        let job = self.jobs.get(&id.task.job);
        job.is_some_and(|job| job.find(&id.task).is_some() && job.stage_of(&id.task).gang)
    }
}
