//! Look-ahead placement: room for large tasks among streams of small ones.
//!
//! A charged task that fits nowhere, and is larger than what usually ends, gets a reservation where
//! room will be free first. Tasks that come after it use that room only as [`lookahead`] admits.

use std::cell::RefCell;

use base::prelude::*;
use lookahead::{Release, Reservations, Room};

use super::Owner;
use super::ranking::Urgency;
use super::run_times::stage_key;
use super::worker::{Phase, Run, Worker};
use crate::{Job, TaskId, TaskRun};

/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(300);

/// The progress from which a run's end is predicted from it, in percent.
const MIN_PERCENT: f64 = 20.0;

/// How many tasks of one stage instance get a reservation.
const MAX_PER_STAGE: usize = 2;

/// How many times the mean size of the tasks that end a task has to have for a reservation: room for
/// smaller ones becomes free by itself.
const LARGE: u64 = 2;

/// How long a job may have no run before no reservation holds it back.
const MAX_HELD_BACK: Duration = Duration::from_millis(1500);

/// The state of look-ahead placement.
#[derive(Debug, Default)]
pub(super) struct LookAhead {
    reservations: Reservations<TaskId, Urgency>,
    /// The urgency of the stage instance that is being placed.
    pub(super) placing: Option<Urgency>,
    /// How the pools are used, worked out at most once a round.
    uses: IndexMap<PoolName, PoolUse>,
    /// The room of workers with the version of their runs, worked out at most once a version and round.
    rooms: RefCell<IndexMap<Name, (u64, Arc<Room>)>>,
}

/// How a pool is used.
#[derive(Clone, Copy, Debug, Default)]
struct PoolUse {
    /// Whether under half of its capacity is in use.
    has_room_to_spare: bool,
    /// The processors of the charged runs that end, in thousandths of a core, and their number.
    ending_milli: u64,
    ending: u64,
}

impl PoolUse {
    /// Returns true if a task is large beside those of the pool that end.
    fn makes_large(&self, need: &Resources) -> bool {
        need.cpu_milli.saturating_mul(self.ending) >= LARGE * self.ending_milli && self.ending > 0
    }
}

impl Owner {
    /// Prepares a round: gives up reservations that are not wanted any more.
    pub(super) fn look_ahead(&mut self, now: Instant) {
        let mut look_ahead = std::mem::take(&mut self.look_ahead);
        look_ahead.uses.clear();
        look_ahead.rooms.get_mut().clear();
        look_ahead.reservations.retain(now, |vm, reservation| {
            self.workers
                .get(vm)
                .is_some_and(|w| self.takes_tasks(now, w))
                && self.waits(&reservation.task)
                && self
                    .jobs
                    .get(&reservation.task.job)
                    .is_some_and(|j| !self.has_room_to_spare(now, &j.record.terms.pool))
        });
        self.look_ahead = look_ahead;
    }

    fn waits(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job).filter(|j| !j.state.has_ended());
        let found = job.and_then(|j| j.find(task).map(|(_, position)| &j.tasks[position]));
        found.is_some_and(crate::Task::is_waiting)
    }

    /// Returns true if under half of a pool's capacity is in use.
    fn has_room_to_spare(&self, now: Instant, pool: &PoolName) -> bool {
        let workers = self.workers.values().filter(|w| self.takes_tasks(now, w));
        let (mut free, mut all) = (Resources::ZERO, Resources::ZERO);
        for worker in workers.filter(|w| w.is_in(pool)) {
            free += worker.free_capacity();
            all += worker.capacity();
        }
        let is_free = |free: u64, all: u64| free > all / 2;
        is_free(free.cpu_milli, all.cpu_milli) && is_free(free.memory_mib, all.memory_mib)
    }

    /// Returns how a pool is used, as of the first call in this round.
    fn pool_use(&mut self, now: Instant, pool: &PoolName) -> PoolUse {
        if let Some(known) = self.look_ahead.uses.get(pool) {
            return *known;
        }
        let mut pool_use = PoolUse {
            has_room_to_spare: self.has_room_to_spare(now, pool),
            ..PoolUse::default()
        };
        for worker in self.workers.values().filter(|w| w.is_in(pool)) {
            pool_use.ending_milli += worker.totals().ending_milli;
            pool_use.ending += u64::from(worker.totals().ending);
        }
        self.look_ahead.uses.insert(pool.clone(), pool_use);
        pool_use
    }

    /// Returns true if a task of a stage may start on a worker beside a reservation there.
    pub(super) fn is_unreserved(&self, now: Instant, job: &Job, stage: u32, vm: &Name) -> bool {
        let look_ahead = &self.look_ahead;
        let (Some(reservation), Some(urgency)) =
            (look_ahead.reservations.on(vm), &look_ahead.placing)
        else {
            return true;
        };
        let is_long = |since: Instant| now.duration_since(since) >= MAX_HELD_BACK;
        if reservation.task.job == job.id || job.idle_since.is_some_and(is_long) {
            return true;
        }
        let Some(worker) = self.workers.get(vm) else {
            return true;
        };
        let spec = &job.record.spec.stages[stage as usize];
        let prediction = self
            .run_times
            .predict(&stage_key(job, stage), spec.estimate());
        let room = self.room(now, vm, worker);
        reservation.admits(urgency, spec.charged(), now + prediction.likely_max, &room)
    }

    /// Reserves room for the first tasks of a stage instance that fits nowhere.
    pub(super) fn reserve(&mut self, now: Instant, id: &JobId, at: usize) {
        let Some(urgency) = self.look_ahead.placing else {
            return;
        };
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let stage = job.stage(&job.instances[at]);
        if stage.best_effort {
            return;
        }
        let (need, pool) = (stage.charged(), job.record.terms.pool.clone());
        let pool_use = self.pool_use(now, &pool);
        if pool_use.has_room_to_spare || !pool_use.makes_large(&need) {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let instance = &job.instances[at];
        let key = (job.id.clone(), instance.stage);
        let is_at_fault = self.faults.is_stage_at_fault(&key);
        let waits_for_starts = |(vm, worker): (&Name, &Worker)| {
            !worker.takes_start(&key)
                && self.is_eligible(now, job, instance, vm, worker, is_at_fault)
        };
        if self.workers.iter().any(waits_for_starts) {
            return;
        }
        let mut starts = Vec::new();
        for (vm, worker) in &self.workers {
            if self.takes(now, job, instance, vm, worker, is_at_fault)
                && need.fits(&worker.capacity())
                && let Some(at) = self.room(now, vm, worker).earliest(now, &need)
            {
                starts.push((Arc::clone(vm), at));
            }
        }
        let tasks: Vec<TaskId> = instance
            .waiting
            .iter()
            .map(|position| job.task_id(instance, *position))
            .take(MAX_PER_STAGE)
            .collect();
        for task in tasks {
            let wanted = (task, urgency, need);
            let reservations = &mut self.look_ahead.reservations;
            reservations.reserve(now, wanted, &starts, self.workers.len());
        }
    }

    /// Returns what a worker has free now and soon.
    fn room(&self, now: Instant, vm: &Name, worker: &Worker) -> Arc<Room> {
        let mut rooms = self.look_ahead.rooms.borrow_mut();
        if let Some((version, room)) = rooms.get(vm)
            && *version == worker.version
        {
            return Arc::clone(room);
        }
        let room = Arc::new(self.compute_room(now, worker));
        rooms.insert(Arc::clone(vm), (worker.version, Arc::clone(&room)));
        room
    }

    fn compute_room(&self, now: Instant, worker: &Worker) -> Room {
        let releases = worker
            .runs
            .iter()
            .filter(|(_, r)| r.charged != Resources::ZERO);
        Room {
            free: worker.free_capacity(),
            releases: releases
                .filter_map(|(id, run)| self.release_of(now, id, run))
                .collect(),
        }
    }

    /// Returns when a run is expected to end, or `None` for standing tasks.
    fn release_of(&self, now: Instant, id: &TaskRun, run: &Run) -> Option<Release> {
        let resources = run.charged;
        if matches!(run.phase, Phase::Stopping { .. }) {
            let at = now + STOP_TIME;
            return Some(Release { at, resources });
        }
        let job = self.jobs.get(&id.task.job).filter(|_| !run.is_standing)?;
        let passed = now.duration_since(run.since);
        let left = if run.percent >= MIN_PERCENT {
            passed.mul_f64((100.0 - run.percent).max(0.0) / run.percent)
        } else {
            let declared = job.stage_of(&id.task).estimate();
            let key = stage_key(job, id.task.stage);
            let prediction = self.run_times.predict(&key, declared);
            prediction.typical.saturating_sub(passed)
        };
        let at = now + left;
        Some(Release { at, resources })
    }
}
