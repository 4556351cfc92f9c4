//! The owner's state of a worker.

mod runs;

use std::cell::RefCell;
use std::collections::VecDeque;

use base::prelude::*;
use inherit::Holding;
use ports::store::Revision;

use super::Token;
use super::cordons::StartWindow;
use super::health::Health;
use super::processes::Processes;
use super::recent_usage::RecentUsage;
pub(super) use super::run::{FULL_SPEED, Phase, Run, SPEED_UNKNOWN};
use super::service_load::Backlogged;
use super::totals::Totals;
use crate::job::Rejections;
use crate::report::{SharedStatus, WorkerReport};
use crate::{TaskRun, WorkerRecord};

/// How much slower than the owner's clock a worker's clock may run, as a share.
const CLOCK_DRIFT: f64 = 0.02;

/// The margin on a worker's lease for rounding and for stops in progress.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// How long an order may be missing from reports before it is resent.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(250);

/// A report that waits for its reply.
#[derive(Debug)]
pub(super) struct Parked {
    pub(super) token: Token,
    pub(super) since: Instant,
}

/// Which of a worker's finished runs are stored and acknowledged.
#[derive(Debug, Default)]
pub(super) struct FinishedRuns {
    /// The highest number that was applied.
    pub(super) highest: u64,
    /// Finished runs that may not be stored yet: number, job, version of the job's progress.
    pub(super) unstored: VecDeque<(u64, JobId, u64)>,
    /// All up to this number are stored; each reply acknowledges them.
    pub(super) stored: u64,
}

/// The record of a VM in the store.
#[derive(Debug, Default)]
pub(super) struct StoredWorkerRecord {
    pub(super) record: Option<WorkerRecord>,
    pub(super) revision: Revision,
    pub(super) in_flight: bool,
}

/// A cache of the load that one more best-effort task would add, by its class and processors.
#[derive(Debug, Default)]
pub(super) struct AddedLoadCache {
    /// The report number and worker version for which the rows are valid.
    pub(super) stamp: (u64, u64),
    pub(super) rows: Vec<(Option<Name>, u64, Option<f64>)>,
}

/// A worker and its companion; each VM has one.
#[derive(Debug)]
pub(super) struct Worker {
    /// The companion's processes.
    pub(super) processes: Processes,
    /// The last report, without the status report and the starts.
    pub(super) last_report: Option<WorkerReport>,
    /// The status of the last report, to which the next one may carry changes.
    pub(super) shared_status: SharedStatus,
    /// Whether the changes in a report could not be applied, so that a whole status is needed.
    pub(super) needs_status: bool,
    /// Increases whenever orders sent before must not take effect any more.
    pub(super) fence_step: u64,
    /// Whether no owner can have given it orders: the store names another worker of its VM.
    pub(super) is_unused: bool,
    /// Whether it has reported its runs under its current fencing token.
    pub(super) is_adopted: bool,
    /// When the last report arrived whose reply renews or may still renew the lease.
    pub(super) lease_from: Option<Instant>,
    /// Until when tasks may run that a previous owner started.
    pub(super) inherited_until: Option<Instant>,
    pub(super) runs: IndexMap<TaskRun, Run>,
    /// Whether the companion has to be told at once for how long it may start tasks.
    pub(super) needs_renewal: bool,
    /// Whether an order may be due: set by each report and by each change of the runs, cleared
    /// when no order was due.
    pub(super) may_have_orders: bool,
    /// Runs that the worker reports, of jobs that are not known; to be stopped.
    pub(super) unknown_runs: Vec<TaskRun>,
    /// Whether runs of unknown jobs were reported, and no settled status without any followed.
    pub(super) has_unknown_runs: bool,
    /// Whether its companion has starts of unknown outcome that this owner does not know.
    pub(super) has_unknown_starts: bool,
    pub(super) finished: FinishedRuns,
    pub(super) noted_rejects: Vec<TaskRun>,
    /// Earlier incarnations whose crashes the next reply acknowledges.
    pub(super) noted_crashes: Vec<Incarnation>,
    pub(super) parked: Option<Parked>,
    pub(super) stored_record: StoredWorkerRecord,
    pub(super) health: Health,
    /// Set while it sheds load: the starts that it has turned away in a row.
    pub(super) shed: Option<Rejections>,
    pub(super) throttled_at: Option<Instant>,
    pub(super) throttle_level: usize,
    /// Increases whenever a run is added or removed.
    pub(super) version: u64,
    /// The report number and version for which throttles were last set.
    pub(super) throttled_for: (u64, u64),
    /// The load that one more best-effort task would add here.
    pub(super) added_load_cache: RefCell<AddedLoadCache>,
    /// The worker's clock in the latest status report, in milliseconds.
    pub(super) status_clock_ms: Option<u64>,
    /// When a status report arrived that was newer than the one before.
    pub(super) status_at: Option<Instant>,
    /// The recent processor use of best-effort tasks.
    pub(super) recent_usage: RecentUsage,
    /// The services here that have a backlog of requests.
    pub(super) backlogged: Backlogged,
    /// The crashes of earlier incarnations that this owner has recorded, with the jobs that have to be
    /// stored before the companion may forget them.
    pub(super) recorded_crashes: IndexMap<Incarnation, Vec<(JobId, u64)>>,
    /// When an incarnation last crashed.
    pub(super) crashed_at: Option<Instant>,
    /// Until when tasks may start in its availability zone.
    pub(super) starts: StartWindow,
    /// Until when it is kept free for a suspect of crashes.
    pub(super) reserved_until: Option<Instant>,
    /// Sums over `runs`.
    totals: Totals,
    /// The number of the next run.
    next_number: u64,
}

impl Worker {
    pub(super) fn new() -> Self {
        Self {
            processes: Processes::default(),
            last_report: None,
            shared_status: SharedStatus::default(),
            needs_status: false,
            fence_step: 1,
            is_unused: false,
            is_adopted: false,
            lease_from: None,
            inherited_until: None,
            runs: IndexMap::new(),
            needs_renewal: false,
            may_have_orders: false,
            unknown_runs: Vec::new(),
            has_unknown_runs: false,
            has_unknown_starts: false,
            finished: FinishedRuns::default(),
            noted_rejects: Vec::new(),
            noted_crashes: Vec::new(),
            parked: None,
            stored_record: StoredWorkerRecord::default(),
            health: Health::default(),
            shed: None,
            throttled_at: None,
            throttle_level: 0,
            version: 0,
            throttled_for: (0, 0),
            added_load_cache: RefCell::default(),
            status_clock_ms: None,
            status_at: None,
            recent_usage: RecentUsage::default(),
            backlogged: Backlogged::default(),
            recorded_crashes: IndexMap::new(),
            crashed_at: None,
            starts: StartWindow::default(),
            reserved_until: None,
            totals: Totals::default(),
            next_number: 0,
        }
    }

    /// Returns when all tasks of the worker have certainly ended, or `None` if it can't run any.
    pub(super) fn lease_expires_at(&self, lease: Duration) -> Option<Instant> {
        let by_lease = self.lease_from.map(|from| from + lease_bound(lease));
        by_lease.max(self.inherited_until)
    }

    /// Returns true if the parked report may get its reply now.
    pub(super) fn may_reply(&self, now: Instant) -> bool {
        let has_news = self.may_have_orders
            || self.needs_status
            || self.needs_renewal
            || !self.is_adopted
            || !self.noted_rejects.is_empty();
        let is_over = |p: &Parked| now.duration_since(p.since) >= super::sync::LONG_POLL_TIMEOUT;
        self.parked.as_ref().is_some_and(|p| has_news || is_over(p))
    }

    pub(super) fn next_due(&self, now: Instant, lease: Duration) -> Instant {
        let parked = self
            .parked
            .as_ref()
            .map(|p| p.since + super::sync::LONG_POLL_TIMEOUT);
        let expiry = self.lease_expires_at(lease).filter(|at| *at > now);
        [parked, expiry]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + super::IDLE_PERIOD)
    }

    /// Returns true if it belongs to a pool.
    pub(super) fn is_in(&self, pool: &PoolName) -> bool {
        let last_report = self.last_report.as_ref();
        last_report.is_some_and(|l| l.pool == *pool)
    }

    /// Returns the last reported capacity.
    pub(super) fn capacity(&self) -> Resources {
        let last_report = self.last_report.as_ref();
        last_report.map_or(Resources::ZERO, |l| l.capacity)
    }

    /// Returns the resources that are free.
    pub(super) fn free_capacity(&self) -> Resources {
        self.capacity().saturating_sub(self.totals.used)
    }

    /// Returns the expected load if `demand_milli` were added: the processor demand of all tasks,
    /// including best-effort ones, divided by the capacity.
    pub(super) fn load_with(&self, demand_milli: u64) -> f64 {
        let cpu = self
            .last_report
            .as_ref()
            .map_or(0, |l| l.capacity.cpu_milli);
        self.totals.demand_milli.saturating_add(demand_milli) as f64 / cpu.max(1) as f64
    }

    /// Returns the sums over all runs here.
    pub(super) fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Returns true if a run here is suspected of crashing its workers.
    pub(super) fn has_trial(&self) -> bool {
        self.totals.trials > 0
    }

    /// Returns the processor demand of best-effort tasks at full speed, divided by the capacity.
    pub(super) fn best_effort_load(&self) -> f64 {
        self.share(self.totals.best_effort_milli)
    }

    /// Returns thousandths of a core as a share of the capacity.
    pub(super) fn share(&self, milli: u64) -> f64 {
        let cpu = self
            .last_report
            .as_ref()
            .map_or(0, |l| l.capacity.cpu_milli);
        milli as f64 / cpu.max(1) as f64
    }

    pub(super) fn rack(&self) -> Option<&Name> {
        self.last_report
            .as_ref()?
            .labels
            .iter()
            .find(|l| l.contains('-'))
    }

    /// Raises the fencing token; the worker has to report its runs again under the new one.
    pub(super) fn raise_fence(&mut self) {
        self.fence_step += 1;
        self.is_adopted = false;
    }

    /// Returns true if the store holds this incarnation, so that the next owner waits for it, and
    /// no write of the record is in flight.
    fn is_recorded(&self) -> bool {
        let recorded = self.stored_record.record.as_ref();
        let is_this = |last_report: &WorkerReport| {
            recorded.is_some_and(|recorded| {
                recorded.id == last_report.id
                    && recorded.incarnation == last_report.incarnation
                    && recorded.holding == Holding::Any
            })
        };
        !self.stored_record.in_flight && self.last_report.as_ref().is_some_and(is_this)
    }

    /// Returns true if the store names an earlier worker of the VM, so that no owner has given orders
    /// to the one with this report: the store names a worker before its first order.
    ///
    /// A worker under the same id may have received the orders to its earlier incarnation.
    pub(super) fn is_recorded_as_earlier(&self, report: &WorkerReport) -> bool {
        let recorded = self.stored_record.record.as_ref();
        !self.stored_record.in_flight
            && recorded.is_some_and(|r| r.id != report.id && r.incarnation < report.incarnation)
    }

    /// Returns true if a report would end the runs of the known incarnation: it is about another one, or
    /// says that one has left which the store does not name.
    pub(super) fn is_contradicted_by(&self, report: &WorkerReport) -> bool {
        let is_other =
            |last: &WorkerReport| last.id != report.id || last.incarnation != report.incarnation;
        // The record of a draining worker names no incarnation.
        let is_recorded = |r: &WorkerRecord| {
            let any = Incarnation::default();
            r.id == report.id && [any, report.incarnation].contains(&r.incarnation)
        };
        let recorded = self.stored_record.record.as_ref();
        self.last_report.as_ref().is_some_and(is_other)
            || (report.is_gone && !recorded.is_some_and(is_recorded))
    }

    /// Returns true if the worker has reported recently and responds to its companion.
    pub(super) fn is_heard(&self, now: Instant) -> bool {
        let is_recent = self.parked.is_some()
            || self
                .lease_from
                .is_some_and(|from| now.duration_since(from) < super::sync::UNRESPONSIVE_AFTER);
        let last_report = self.last_report.as_ref();
        is_recent && last_report.is_some_and(|l| !l.is_gone && !l.is_unresponsive)
    }

    /// Returns true if nothing may be started here any more, as far as is known.
    pub(super) fn is_draining(&self) -> bool {
        let last_report = self.last_report.as_ref();
        last_report.is_none_or(|l| l.draining_ms.is_some())
    }

    /// Returns true if tasks may be placed here, unless a quarantine speaks against it.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        self.is_adopted
            && !self.has_unknown_runs
            && self.is_recorded()
            && !self.is_draining()
            && self.starts.is_open(now)
            && self.is_heard(now)
            && self.may_start_after_shedding(now)
    }

    /// Returns true unless it sheds load; while it does, it gets one start at a time after each wait.
    fn may_start_after_shedding(&self, now: Instant) -> bool {
        let may_try = |shed: Rejections| now >= shed.until() && self.totals.starting == 0;
        self.shed.is_none_or(may_try)
    }

    /// Advances the number up to which finished runs may be acknowledged.
    pub(super) fn advance_stored(&mut self, is_stored: impl Fn(&JobId, u64) -> bool) {
        while let Some((number, job, version)) = self.finished.unstored.front() {
            if !is_stored(job, *version) {
                return;
            }
            self.finished.stored = *number;
            self.finished.unstored.pop_front();
        }
        self.finished.stored = self.finished.stored.max(self.finished.highest);
    }
}

/// Returns the longest duration by the owner's clock of a lease that a worker measures by its own.
pub(super) fn lease_bound(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + CLOCK_DRIFT) + LEASE_MARGIN
}
