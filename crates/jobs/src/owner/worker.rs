//! The owner's state of a worker.

use std::cell::RefCell;
use std::collections::VecDeque;

use base::prelude::*;
use ports::store::Revision;

use super::Token;
use super::load::Choked;
use super::recent::RecentUse;
use crate::report::WorkerReport;
use crate::{TaskRun, WorkerRecord};

/// How much slower than the owner's clock a worker's clock may run, as a share.
const CLOCK_DRIFT: f64 = 0.02;

/// The margin on a worker's lease for rounding and for stops in progress.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// How long an order may be missing from reports before it is resent.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(250);

/// The speed of a task that is not throttled, in percent.
pub(super) const FULL_PACE: u32 = 100;

/// A speed that differs from every valid one, so that the next order is sent in any case.
pub(super) const PACE_UNKNOWN: u32 = u32::MAX;

/// How often a throttle order is resent, in case it was lost.
const REPEAT_PACE_AFTER: Duration = Duration::from_secs(1);

/// How many consecutive failures put a worker in quarantine.
const SUSPECT_FAILURES: u32 = 2;

/// How long a quarantined worker gets no task; after that it gets one probe at a time.
const QUARANTINE: Duration = Duration::from_millis(2500);

/// A report that waits for its reply.
#[derive(Debug)]
pub(super) struct Parked {
    pub(super) token: Token,
    pub(super) since: Instant,
}

/// The phase of a run, from the owner's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Ordered; `sent` is when the order was last sent, `is_acknowledged` whether the companion's
    /// report contained it.
    Ordered {
        sent: Option<Instant>,
        is_taken: bool,
    },
    /// Reported as running.
    Running,
    /// To be stopped; may still run.
    Stopping { sent: Option<Instant> },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) phase: Phase,
    /// The resources charged to the worker.
    pub(super) charged: Resources,
    /// The expected processor use, also of best-effort tasks, in thousandths of a core.
    pub(super) demand_milli: u64,
    pub(super) is_filler: bool,
    /// The class of the task.
    pub(super) class: Option<Name>,
    /// Since when it has run at a low speed.
    pub(super) slow_since: Option<Instant>,
    pub(super) is_standing: bool,
    pub(super) tail_target_ms: Option<u64>,
    /// When it was ordered or adopted.
    pub(super) since: Instant,
    pub(super) percent: f64,
    /// When `percent` last rose.
    pub(super) progressed: Instant,
    pub(super) gauge: f64,
    /// The speed at which it should run, in percent.
    pub(super) pace: u32,
    /// The speed that was last sent to the companion, and when.
    pub(super) pace_sent: Option<(u32, Instant)>,
    /// The advisor's ticket.
    pub(super) ticket: Option<Name>,
}

/// A worker's recent failures and its quarantine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    /// Set until a task succeeds; tasks that start after this time are probes.
    quarantined_until: Option<Instant>,
}

/// Which of a worker's finished runs are stored and acknowledged.
#[derive(Debug, Default)]
pub(super) struct Ends {
    /// The highest number that was applied.
    pub(super) top: u64,
    /// Finished runs that may not be stored yet: number, job, version of the job's progress.
    pub(super) waiting: VecDeque<(u64, JobId, u64)>,
    /// All up to this number are stored.
    pub(super) stored: u64,
    /// All up to this number were acknowledged to the companion.
    pub(super) told: u64,
}

/// The record of a VM in the store.
#[derive(Debug, Default)]
pub(super) struct Roster {
    pub(super) record: Option<WorkerRecord>,
    pub(super) revision: Revision,
    pub(super) in_flight: bool,
}

/// A cache of the load that one more best-effort task would add, by its class and processors.
#[derive(Debug, Default)]
pub(super) struct HarmMemo {
    /// The report number and worker version for which the rows are valid.
    pub(super) stamp: (u64, u64),
    pub(super) rows: Vec<(Option<Name>, u64, Option<f64>)>,
}

/// A worker and its companion; each VM has one.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) boot: u64,
    pub(super) number: u64,
    /// The last report, without the status report and the starts.
    pub(super) life: Option<WorkerReport>,
    /// Increases whenever orders sent before must not take effect any more.
    pub(super) fence_step: u64,
    /// Whether it has reported its runs under its current fencing token.
    pub(super) is_adopted: bool,
    /// When the last report arrived whose reply renews or may still renew the lease.
    pub(super) lease_from: Option<Instant>,
    /// Until when tasks may run that a previous owner started.
    pub(super) inherited_until: Option<Instant>,
    pub(super) runs: IndexMap<TaskRun, Run>,
    /// Runs that the worker reports, of jobs that are not known; to be stopped.
    pub(super) strays: Vec<TaskRun>,
    /// Whether the latest status report contained runs of unknown jobs.
    pub(super) has_foreign_runs: bool,
    pub(super) ends: Ends,
    pub(super) noted_rejects: Vec<TaskRun>,
    pub(super) parked: Option<Parked>,
    pub(super) roster: Roster,
    pub(super) health: Health,
    pub(super) paced_at: Option<Instant>,
    pub(super) pace_level: usize,
    /// Increases whenever a run is added or removed.
    pub(super) version: u64,
    /// The report number and version for which throttles were last set.
    pub(super) paced_for: (u64, u64),
    /// The load that one more best-effort task would add here.
    pub(super) harm_memo: RefCell<HarmMemo>,
    /// The worker's clock in the latest status report, in milliseconds.
    pub(super) listed_ms: Option<u64>,
    /// The recent processor use of best-effort tasks.
    pub(super) recent: RecentUse,
    /// The services here that have a backlog of requests.
    pub(super) choked: Choked,
    used: Resources,
    demand_milli: u64,
    serving: u32,
}

impl Worker {
    pub(super) fn new() -> Self {
        Self {
            boot: 0,
            number: 0,
            life: None,
            fence_step: 1,
            is_adopted: false,
            lease_from: None,
            inherited_until: None,
            runs: IndexMap::new(),
            strays: Vec::new(),
            has_foreign_runs: false,
            ends: Ends::default(),
            noted_rejects: Vec::new(),
            parked: None,
            roster: Roster::default(),
            health: Health::default(),
            paced_at: None,
            pace_level: 0,
            version: 0,
            paced_for: (0, 0),
            harm_memo: RefCell::default(),
            listed_ms: None,
            recent: RecentUse::default(),
            choked: Choked::default(),
            used: Resources::ZERO,
            demand_milli: 0,
            serving: 0,
        }
    }

    /// Returns when all tasks of the worker have certainly ended, or `None` if it can't run any.
    pub(super) fn lapses_at(&self, lease: Duration) -> Option<Instant> {
        let by_lease = self.lease_from.map(|from| from + lease_bound(lease));
        by_lease.max(self.inherited_until)
    }

    pub(super) fn next_due(&self, now: Instant, lease: Duration) -> Instant {
        let parked = self.parked.as_ref().map(|p| p.since + super::sync::HOLD);
        let lapse = self.lapses_at(lease).filter(|at| *at > now);
        [parked, lapse]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + super::IDLE_PERIOD)
    }

    /// Recomputes the resources that the runs use.
    pub(super) fn recount(&mut self) {
        self.version += 1;
        self.used = Resources::ZERO;
        self.demand_milli = 0;
        self.serving = 0;
        for run in self.runs.values() {
            self.used += run.charged;
            self.demand_milli += run.demand_milli;
            self.serving += u32::from(run.tail_target_ms.is_some());
        }
    }

    pub(super) fn insert(&mut self, id: TaskRun, run: Run) {
        self.runs.insert(id, run);
        self.recount();
    }

    pub(super) fn remove(&mut self, id: &TaskRun) -> Option<Run> {
        let run = self.runs.shift_remove(id);
        self.recount();
        run
    }

    /// Returns the resources that are free.
    pub(super) fn room(&self) -> Resources {
        let capacity = self.life.as_ref().map_or(Resources::ZERO, |l| l.capacity);
        capacity.saturating_sub(self.used)
    }

    /// Returns the expected load with `demand_milli` more: the processors that all tasks want,
    /// best-effort ones included, over the capacity.
    pub(super) fn load_with(&self, demand_milli: u64) -> f64 {
        let cpu = self.life.as_ref().map_or(0, |l| l.capacity.cpu_milli);
        (self.demand_milli + demand_milli) as f64 / cpu.max(1) as f64
    }

    /// Returns true if a latency-critical task of the class is here.
    pub(super) fn serves(&self, class: Option<&Name>) -> bool {
        let mut runs = self.runs.values();
        runs.any(|r| r.tail_target_ms.is_some() && r.class.as_ref() == class)
    }

    /// Returns the number of latency-critical tasks here.
    pub(super) fn serving(&self) -> u32 {
        self.serving
    }

    /// Returns the processors that best-effort tasks would use at full speed, over the capacity.
    pub(super) fn filled(&self) -> f64 {
        let fillers = self.runs.values().filter(|r| r.is_filler);
        self.share(fillers.map(|r| r.demand_milli).sum())
    }

    /// Returns thousandths of a core as a share of the capacity.
    pub(super) fn share(&self, milli: u64) -> f64 {
        let cpu = self.life.as_ref().map_or(0, |l| l.capacity.cpu_milli);
        milli as f64 / cpu.max(1) as f64
    }

    pub(super) fn rack(&self) -> Option<&Name> {
        self.life.as_ref()?.labels.iter().find(|l| l.contains('-'))
    }

    pub(super) fn stop_job(&mut self, job: &JobId) {
        for (_, run) in self.runs.iter_mut().filter(|(id, _)| id.task.job == *job) {
            stop(run);
        }
    }

    pub(super) fn stop_run(&mut self, id: &TaskRun) {
        if let Some(run) = self.runs.get_mut(id) {
            stop(run);
        }
    }

    /// Raises the fencing token; the worker has to report its runs again under the new one.
    pub(super) fn raise_fence(&mut self) {
        self.fence_step += 1;
        self.is_adopted = false;
    }

    /// Returns true if the store holds this incarnation, so that the next owner waits for it, and
    /// no write of the record is in flight.
    fn is_named(&self) -> bool {
        let named = self.roster.record.as_ref();
        let is_this = |life: &WorkerReport| {
            named.is_some_and(|named| named.id == life.id && named.born == life.born)
        };
        !self.roster.in_flight && self.life.as_ref().is_some_and(is_this)
    }

    /// Returns true if tasks may be placed here.
    pub(super) fn takes_tasks(&self, now: Instant) -> bool {
        let is_ready = self
            .life
            .as_ref()
            .is_some_and(|l| l.draining_ms.is_none() && !l.is_gone && !l.is_silent);
        let is_heard = self.parked.is_some()
            || self
                .lease_from
                .is_some_and(|from| now.duration_since(from) < super::sync::SILENT_AFTER);
        self.is_adopted
            && !self.has_foreign_runs
            && self.is_named()
            && is_ready
            && is_heard
            && self.health.takes_tasks(now, self.runs.values())
    }

    /// Advances the number up to which finished runs may be acknowledged.
    pub(super) fn advance_stored(&mut self, is_stored: impl Fn(&JobId, u64) -> bool) {
        while let Some((number, job, version)) = self.ends.waiting.front() {
            if !is_stored(job, *version) {
                return;
            }
            self.ends.stored = *number;
            self.ends.waiting.pop_front();
        }
        self.ends.stored = self.ends.stored.max(self.ends.top);
    }
}

/// Returns the longest duration by the owner's clock of a lease that a worker measures by its own.
pub(super) fn lease_bound(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + CLOCK_DRIFT) + LEASE_MARGIN
}

fn stop(run: &mut Run) {
    if !matches!(run.phase, Phase::Stopping { .. }) {
        run.phase = Phase::Stopping { sent: None };
    }
}

impl Health {
    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure; returns true if it starts a quarantine.
    pub(super) fn failed(&mut self, now: Instant) -> bool {
        self.failures += 1;
        let was_free = self.quarantined_until.is_none_or(|until| until <= now);
        if self.failures >= SUSPECT_FAILURES {
            self.quarantined_until = Some(now + QUARANTINE);
            return was_free;
        }
        false
    }

    /// Returns true if the worker may get a task: after a quarantine one as a probe, and more once
    /// the probe has run for as long as the quarantine. A probe need not end, since a standing task
    /// never succeeds.
    fn takes_tasks<'a>(&self, now: Instant, runs: impl Iterator<Item = &'a Run>) -> bool {
        let Some(until) = self.quarantined_until else {
            return true;
        };
        let probe = runs.map(|r| r.since).filter(|at| *at >= until).min();
        now >= until && probe.is_none_or(|at| now.saturating_duration_since(at) >= QUARANTINE)
    }
}

impl Run {
    /// Returns true if the speed has to be sent to the companion.
    pub(super) fn pace_due(&self, now: Instant) -> bool {
        match self.pace_sent {
            None => self.pace != FULL_PACE,
            Some((pace, at)) => {
                pace != self.pace
                    || (pace != FULL_PACE && now.duration_since(at) >= REPEAT_PACE_AFTER)
            }
        }
    }
}
