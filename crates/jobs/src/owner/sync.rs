//! Companions' reports and the owner's replies to them.

use base::prelude::*;
use slog::{info, warn};

use super::orders::Orders;
use super::worker::{Parked, Worker};
use super::{Effect, Owner, OwnerCfg, Token};
use crate::TaskRun;
use crate::report::{SyncReply, SyncReport, WorkerReport};

/// How long a report stays parked when there are no orders; bounds the age of a worker's lease.
pub(super) const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(600);

/// How long after its last report a worker still gets tasks.
pub(super) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1500);

/// The maximum number of finished runs that a worker lists at a time. A status with as many may lack
/// others, so it does not tell which runs have vanished.
const MAX_LISTED_ENDS: usize = 500;

/// The distance of the fencing tokens of two epochs: the maximum fence steps of a worker in one
/// epoch.
const FENCES_PER_EPOCH: u64 = 1 << 20;

impl Owner {
    /// Handles a companion's report; the reply is an [`Effect::Sync`], sent at once or later.
    pub fn sync(&mut self, now: Instant, unix_ms: u64, token: Token, report: SyncReport) {
        if report.epoch > self.cfg.epoch {
            self.effects.push(Effect::Sync(token, Box::default()));
            self.effects
                .push(Effect::StepDown("a companion knows a later owner"));
            return;
        }
        let SyncReport {
            vm,
            boot,
            number,
            epoch,
            worker: mut report,
        } = report;
        let worker = self
            .workers
            .entry(Arc::clone(&vm))
            .or_insert_with(Worker::new);
        if worker.processes.is_overtaken(boot, number) {
            self.effects.push(Effect::Sync(token, Box::default()));
            return;
        }
        // Sent before its sender had a reply of this ownership, it may be about an earlier worker of the
        // VM: a sender that still runs confirms it with its next report.
        let is_unconfirmed = epoch < self.cfg.epoch;
        let is_other = |r: &WorkerReport| worker.is_contradicted_by(r);
        if is_unconfirmed && report.as_ref().is_some_and(is_other) {
            info!(self.log, "owner: report has to be confirmed"; "vm" => %vm, "boot" => boot,
                "report" => number, "epoch" => epoch.0);
            self.stats.events.push(("report", "unconfirmed"));
            self.reply_unknown(&vm, token);
            return;
        }
        if worker.processes.record(boot, number) {
            // The companion's previous process may have passed on orders whose outcome is unknown.
            // Raising the fencing token stops those that have not taken effect; the next status
            // report shows those that have.
            info!(self.log, "owner: companion restarted"; "vm" => %vm, "boot" => boot);
            worker.raise_fence();
            worker.shared_status.clear();
        }
        if let Some(parked) = worker.parked.take() {
            // Reports may come more often than the long poll times out, and each has to renew the
            // lease. This lease counts from when the older report was sent, so it expires before
            // the one recorded below.
            let renewal = renewal(&self.cfg, worker, now);
            self.effects
                .push(Effect::Sync(parked.token, Box::new(renewal)));
        }
        if let Some(report) = &mut report
            && let Err(e) = worker.shared_status.restore(number, report)
        {
            info!(self.log, "owner: whole status requested"; "vm" => %vm, "error" => %e);
            self.stats.events.push(("report", "status_requested"));
            worker.needs_status = true;
        }
        let Some(report) = report else {
            self.reply_unknown(&vm, token);
            return;
        };
        self.update_incarnation(now, &vm, &report);
        let is_unresponsive = report.is_unresponsive;
        self.apply_crashes(now, unix_ms, &vm, &report.crashes);
        self.clear_doubts(&vm, report.incarnation);
        self.apply_report(now, unix_ms, &vm, report);
        self.update_holding(&vm);
        let Some(worker) = self.workers.get_mut(&vm) else {
            return;
        };
        worker.parked = Some(Parked { token, since: now });
        worker.may_have_orders = true;
        // The companion does not renew the lease of an unresponsive worker, so that it expires.
        if !is_unresponsive {
            if worker.lease_from.is_none() {
                self.commits.mark_vm(&vm);
            }
            worker.lease_from = Some(now);
        }
    }

    /// Replies to a companion that knows no worker.
    fn reply_unknown(&mut self, vm: &Name, token: Token) {
        let worker = self.workers.get(vm);
        let last_report = worker.and_then(|w| w.last_report.as_ref());
        let reply = SyncReply {
            epoch: self.cfg.epoch,
            is_owner: true,
            takes_changes: true,
            needs_status: worker.is_some_and(|w| w.needs_status),
            incarnation: last_report.map(|l| l.incarnation).unwrap_or_default(),
            ..SyncReply::default()
        };
        self.effects.push(Effect::Sync(token, Box::new(reply)));
    }

    /// Records the incarnation of the worker.
    ///
    /// The companion names the one that answers it. Its birth does not tell whether it is the later one,
    /// since the worker's time of day may have been set back.
    fn update_incarnation(&mut self, now: Instant, vm: &Name, report: &WorkerReport) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let known = worker
            .last_report
            .as_ref()
            .map(|l| (l.incarnation, l.id.clone()));
        let is_new = known
            .is_none_or(|(incarnation, id)| incarnation != report.incarnation || id != report.id);
        if is_new {
            self.suspect_unreported_runs(now, vm, report);
        }
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        if is_new {
            info!(self.log, "owner: worker known";
                "vm" => %vm, "worker" => %report.id, "born" => report.incarnation.0,
                "pool" => %report.pool, "capacity" => %report.capacity);
            // Orders to an earlier incarnation with the same id must not reach this one.
            worker.raise_fence();
            worker.is_unused = worker.is_recorded_as_earlier(report);
            worker.finished = Default::default();
            worker.health = Default::default();
            worker.shed = None;
            worker.unknown_runs.clear();
            self.faults.forget_worker(vm);
            self.is_round_due = true;
        }
        let was_draining = worker
            .last_report
            .as_ref()
            .is_some_and(|l| l.draining_ms.is_some());
        let capacity_before = worker
            .last_report
            .as_ref()
            .map(|l| l.capacity)
            .filter(|before| !is_new && *before != report.capacity);
        let is_leaving = report.draining_ms.is_some() && (is_new || !was_draining);
        let was_gone = !is_new && worker.last_report.as_ref().is_some_and(|l| l.is_gone);
        worker.last_report = Some(report.without_runs());
        if is_new {
            self.commits.mark_vm(vm);
            self.update_start_window(now, vm);
        }
        if let Some(before) = capacity_before {
            self.change_capacity(vm, before, report.capacity);
        }
        if is_leaving {
            info!(self.log, "owner: worker drains"; "vm" => %vm, "worker" => %report.id);
            self.stop_standing(vm);
        }
        if report.is_gone && !was_gone {
            info!(self.log, "owner: worker left"; "vm" => %vm, "worker" => %report.id,
                "fence" => self.fence(vm), "proved_ms_ago" => self.proved_ms_ago(now));
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.inherited_until = None;
                worker.raise_fence();
            }
            self.settle_inherited(vm);
            self.release_all(vm, "worker left");
            self.commits.mark_vm(vm);
        }
    }

    /// Stops the standing tasks on a draining worker, so that they restart elsewhere early.
    fn stop_standing(&mut self, vm: &Name) {
        if let Some(worker) = self.workers.get_mut(vm) {
            let standing: Vec<TaskRun> = worker
                .runs
                .iter()
                .filter(|(_, run)| run.is_standing)
                .map(|(id, _)| id.clone())
                .collect();
            for id in standing {
                worker.stop_run(&id);
            }
        }
    }

    /// Applies a worker's running and finished runs, and the starts it rejected.
    fn apply_report(&mut self, now: Instant, unix_ms: u64, vm: &Name, mut report: WorkerReport) {
        let fence = self.fence(vm);
        if let Some(status) = &mut report.status {
            status.is_settled &= status.finished.len() < MAX_LISTED_ENDS;
        }
        self.apply_rejections(now, vm, &report.rejected, report.status.as_ref());
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.noted_rejects = report.rejected.into_iter().map(|r| r.run).collect();
            let is_unknown = |run: &TaskRun| !worker.runs.contains_key(run);
            worker.has_unknown_starts = report.open.iter().any(is_unknown);
        }
        let Some(status) = report.status.filter(|l| l.fence == fence) else {
            return;
        };
        let is_first = self.workers.get(vm).is_some_and(|w| !w.is_adopted);
        if let Some(worker) = self.workers.get_mut(vm)
            && worker.status_clock_ms.replace(status.clock_ms) != Some(status.clock_ms)
        {
            worker.status_at = Some(now);
        }
        self.apply_finished(now, unix_ms, vm, &status.finished);
        self.apply_running(now, vm, &status, &report.open, is_first);
        if !is_first && status.is_settled {
            self.drop_vanished(vm, &status, &report.open);
        }
        // Runs in neither list are those being stopped, of which an unused worker has none.
        let is_empty = status.running.is_empty() && report.open.is_empty();
        let is_unused = self.workers.get(vm).is_some_and(|w| w.is_unused) && is_empty;
        if is_first && (status.is_settled || is_unused) {
            self.complete_adoption(vm, &status, &report.open);
        }
    }

    /// Returns the fencing token of orders to the worker's current incarnation.
    pub(super) fn fence(&self, vm: &Name) -> u64 {
        let step = self.workers.get(vm).map_or(0, |w| w.fence_step);
        fence_of(&self.cfg, step)
    }

    /// Replies to the reports of workers with pending orders, and to those whose long poll timed
    /// out.
    pub(super) fn reply_to_reports(&mut self, now: Instant) {
        let vms: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, w)| w.may_reply(now))
            .map(|(vm, _)| Arc::clone(vm))
            .collect();
        for vm in vms {
            self.reply_to_report(now, &vm);
        }
    }

    fn reply_to_report(&mut self, now: Instant, vm: &Name) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        let orders = if worker.may_have_orders {
            Orders::of(worker, &self.jobs, now)
        } else {
            Orders::default()
        };
        worker.may_have_orders = !orders.is_empty();
        let has_news = !orders.is_empty()
            || worker.needs_status
            || worker.needs_renewal
            || !worker.noted_rejects.is_empty();
        let is_first = !worker.is_adopted;
        let Some(parked) = worker.parked.as_ref() else {
            return;
        };
        if !has_news && !is_first && now.duration_since(parked.since) < LONG_POLL_TIMEOUT {
            return;
        }
        let token = parked.token;
        orders.mark_sent(worker, now);
        worker.parked = None;
        worker.needs_renewal = false;
        let reply = SyncReply {
            needs_status: std::mem::take(&mut worker.needs_status),
            noted_rejects: std::mem::take(&mut worker.noted_rejects),
            noted_crashes: std::mem::take(&mut worker.noted_crashes),
            starts: orders.starts,
            stops: orders.stops,
            throttles: orders.throttles,
            ..renewal(&self.cfg, worker, now)
        };
        if !reply.stops.is_empty() {
            let stops = reply.stops.len();
            warn!(self.log, "owner: stops ordered"; "vm" => %vm, "runs" => stops);
        }
        self.effects.push(Effect::Sync(token, Box::new(reply)));
    }
}

/// Returns the fencing token of a worker at a fence step.
fn fence_of(cfg: &OwnerCfg, step: u64) -> u64 {
    cfg.epoch.0 * FENCES_PER_EPOCH + step
}

/// Returns a reply that renews a worker's lease without orders.
fn renewal(cfg: &OwnerCfg, worker: &Worker, now: Instant) -> SyncReply {
    SyncReply {
        epoch: cfg.epoch,
        is_owner: true,
        takes_changes: true,
        fence: fence_of(cfg, worker.fence_step),
        incarnation: worker
            .last_report
            .as_ref()
            .map(|l| l.incarnation)
            .unwrap_or_default(),
        lease_ms: worker.lease_from.map(|_| base::whole_ms(cfg.worker_lease)),
        start_lease_ms: worker.starts.lease(now).map(base::whole_ms),
        stored_ends: worker.finished.stored,
        ..SyncReply::default()
    }
}
