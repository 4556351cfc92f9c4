//! A worker as the owner knows it.

use std::cell::RefCell;
use std::collections::VecDeque;

use base::prelude::*;
use ports::store::Revision;

use super::Token;
use super::load::Choked;
use super::recent::RecentUse;
use crate::report::WorkerReport;
use crate::{TaskRun, WorkerRecord};

/// How much slower than ours a worker's clock may run.
const CLOCK_DRIFT: f64 = 0.02;

/// What is added to a worker's lease for rounding and for ends in progress.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// How long an order may stay unmentioned in reports before it is sent again.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(250);

/// The share of speed of a task that is not throttled, in percent.
pub(super) const FULL_PACE: u32 = 100;

/// A pace that no order has, so that the next one differs.
pub(super) const PACE_UNKNOWN: u32 = u32::MAX;

/// How often a throttle is ordered anew, in case the order was lost.
const REPEAT_PACE_AFTER: Duration = Duration::from_secs(1);

/// How many failures in a row, on tasks that others may run, make a worker suspect.
const SUSPECT_FAILURES: u32 = 2;

/// How long a suspect worker gets no task, and then one at a time.
const QUARANTINE: Duration = Duration::from_millis(2500);

/// A report that waits for its answer.
#[derive(Debug)]
pub(super) struct Parked {
    pub(super) token: Token,
    pub(super) since: Instant,
}

/// Where a run stands, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Ordered; `sent` is when it last was, `is_taken` whether the companion mentioned it.
    Ordered {
        sent: Option<Instant>,
        is_taken: bool,
    },
    /// Seen running.
    Running,
    /// To be stopped; may still run.
    Stopping { sent: Option<Instant> },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) phase: Phase,
    /// What it takes from the worker's room.
    pub(super) charged: Resources,
    /// The processors it would use, fillers' included, in thousandths.
    pub(super) demand_milli: u64,
    pub(super) is_filler: bool,
    /// What the task runs.
    pub(super) class: Option<Name>,
    /// Since when it goes at a slow pace.
    pub(super) slow_since: Option<Instant>,
    pub(super) is_standing: bool,
    pub(super) tail_target_ms: Option<u64>,
    /// When it was ordered or adopted.
    pub(super) since: Instant,
    pub(super) percent: f64,
    /// When `percent` last rose.
    pub(super) progressed: Instant,
    pub(super) gauge: f64,
    /// The share of speed that was last ordered, in percent.
    pub(super) pace: u32,
    /// The share that the companion was last told, and when.
    pub(super) pace_sent: Option<(u32, Instant)>,
    /// The advisor's ticket.
    pub(super) ticket: Option<Name>,
}

/// How well a worker has done lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    /// Set until a task ends well; from then on until that, tasks are probes.
    quarantined_until: Option<Instant>,
}

/// What of a worker's ends is stored.
#[derive(Debug, Default)]
pub(super) struct Ends {
    /// The highest number taken note of.
    pub(super) top: u64,
    /// Ends whose job is not stored yet: number, job, version of its progress.
    pub(super) waiting: VecDeque<(u64, JobId, u64)>,
    /// Up to this number, all are stored.
    pub(super) stored: u64,
    /// Up to this number, the companion was told so.
    pub(super) told: u64,
}

/// What the store says of a VM.
#[derive(Debug, Default)]
pub(super) struct Roster {
    pub(super) record: Option<WorkerRecord>,
    pub(super) revision: Revision,
    pub(super) in_flight: bool,
}

/// What one more filler does on a worker, by its class and its processors.
#[derive(Debug, Default)]
pub(super) struct HarmMemo {
    /// The report and version that it holds for.
    pub(super) stamp: (u64, u64),
    pub(super) rows: Vec<(Option<Name>, u64, Option<f64>)>,
}

/// A worker, by the VM that it is on.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) boot: u64,
    pub(super) number: u64,
    /// What it last said of itself, without listing and starts.
    pub(super) life: Option<WorkerReport>,
    /// Rises whenever orders sent before must not take effect any more.
    pub(super) fence_step: u64,
    /// Whether it has listed what it runs under its present fence.
    pub(super) is_adopted: bool,
    /// When the last report came that was answered with a lease, or may yet be.
    pub(super) lease_from: Option<Instant>,
    /// Until when tasks may run that an earlier owner started.
    pub(super) inherited_until: Option<Instant>,
    pub(super) runs: IndexMap<TaskRun, Run>,
    /// Runs in the worker's list whose jobs are not known.
    pub(super) strays: Vec<TaskRun>,
    /// Whether the latest list held such runs.
    pub(super) has_foreign_runs: bool,
    pub(super) ends: Ends,
    pub(super) noted_rejects: Vec<TaskRun>,
    pub(super) parked: Option<Parked>,
    pub(super) roster: Roster,
    pub(super) health: Health,
    pub(super) paced_at: Option<Instant>,
    pub(super) pace_level: usize,
    /// Rises whenever a run comes or goes.
    pub(super) version: u64,
    /// The report and version for which fillers were last paced.
    pub(super) paced_for: (u64, u64),
    /// What one more filler does here, as worked out for the same report and version.
    pub(super) harm_memo: RefCell<HarmMemo>,
    /// The worker's clock as of the latest listing, in milliseconds.
    pub(super) listed_ms: Option<u64>,
    /// What fillers used lately.
    pub(super) recent: RecentUse,
    /// The services here whose requests queue up.
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

    /// Returns when the worker has certainly ended all it ran, if it may run anything.
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

    /// Counts anew what the runs take.
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

    /// Returns the room that is left.
    pub(super) fn room(&self) -> Resources {
        let capacity = self.life.as_ref().map_or(Resources::ZERO, |l| l.capacity);
        capacity.saturating_sub(self.used)
    }

    /// Returns the processors asked for, fillers' included, over those there are.
    pub(super) fn load_with(&self, demand_milli: u64) -> f64 {
        let cpu = self.life.as_ref().map_or(0, |l| l.capacity.cpu_milli);
        (self.demand_milli + demand_milli) as f64 / cpu.max(1) as f64
    }

    /// Tells whether a task of a class with a tail target is here.
    pub(super) fn serves(&self, class: Option<&Name>) -> bool {
        let mut runs = self.runs.values();
        runs.any(|r| r.tail_target_ms.is_some() && r.class.as_ref() == class)
    }

    /// Returns how many tasks with a tail target are here.
    pub(super) fn serving(&self) -> u32 {
        self.serving
    }

    /// Returns the processors that fillers would use at full speed, over those there are.
    pub(super) fn filled(&self) -> f64 {
        let fillers = self.runs.values().filter(|r| r.is_filler);
        self.share(fillers.map(|r| r.demand_milli).sum())
    }

    /// Returns thousandths of a core as a share of the processors.
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

    /// Begins a new fence, under which the worker has to list again.
    pub(super) fn raise_fence(&mut self) {
        self.fence_step += 1;
        self.is_adopted = false;
    }

    /// Tells whether the store names this life, so that a next owner waits for it, and no change
    /// of that is on its way.
    fn is_named(&self) -> bool {
        let named = self.roster.record.as_ref();
        let is_this = |life: &WorkerReport| {
            named.is_some_and(|named| named.id == life.id && named.born == life.born)
        };
        !self.roster.in_flight && self.life.as_ref().is_some_and(is_this)
    }

    /// Tells whether tasks may be placed here.
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

    /// Advances what may be acknowledged to the worker.
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

/// Returns how long, by our clock, a lease may last that a worker measures by its own.
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

    /// Counts a failure; tells whether the worker has just become suspect.
    pub(super) fn failed(&mut self, now: Instant) -> bool {
        self.failures += 1;
        let was_free = self.quarantined_until.is_none_or(|until| until <= now);
        if self.failures >= SUSPECT_FAILURES {
            self.quarantined_until = Some(now + QUARANTINE);
            return was_free;
        }
        false
    }

    /// Tells whether the worker may get a task: after a quarantine one as a probe, and more once
    /// that has gone on for as long as the quarantine. Standing tasks never end well, so a probe
    /// need not end.
    fn takes_tasks<'a>(&self, now: Instant, runs: impl Iterator<Item = &'a Run>) -> bool {
        let Some(until) = self.quarantined_until else {
            return true;
        };
        let probe = runs.map(|r| r.since).filter(|at| *at >= until).min();
        now >= until && probe.is_none_or(|at| now.saturating_duration_since(at) >= QUARANTINE)
    }
}

impl Run {
    /// Tells whether the companion has to be told the share of speed.
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
