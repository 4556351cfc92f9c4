//! The resources allocated on each worker, and the history of its load mix.

use base::prelude::*;

use crate::free_index::FreeIndex;
use crate::interference::{ClassId, Mix};
use crate::rows::{Pending, TaskRow, WorkerRow, empty_worker};
use crate::types::{PlacedTask, WorkerView};

/// The resource ledger of a shard's workers.
#[derive(Debug)]
pub(crate) struct Ledger {
    reserved: Resources,
    history: Duration,
    pub(crate) workers: IndexMap<WorkerId, WorkerRow>,
    pub(crate) tasks: IndexMap<TaskKey, TaskRow>,
    pub(crate) pending: IndexMap<JobId, Pending>,
    pub(crate) free_index: FreeIndex,
    /// The sum of the allocatable resources of present workers.
    pub(crate) capacity: Resources,
    /// The resources allocated to each team.
    pub(crate) teams: IndexMap<TeamName, Resources>,
    /// The largest amount of each resource that was allocatable on any worker so far.
    pub(crate) largest: Resources,
    /// The number of standing tasks of a class in each rack and in each availability zone.
    racks: IndexMap<(RackName, ClassId), u32>,
    zones: IndexMap<(ZoneName, ClassId), u32>,
    pub(crate) throttled: usize,
}

/// How many load mixes of one worker are remembered.
const HISTORY_LEN: usize = 512;

impl Ledger {
    pub(crate) fn new(history: Duration) -> Self {
        Self {
            reserved: Resources::ZERO,
            history,
            workers: IndexMap::new(),
            tasks: IndexMap::new(),
            pending: IndexMap::new(),
            free_index: FreeIndex::default(),
            capacity: Resources::ZERO,
            teams: IndexMap::new(),
            largest: Resources::ZERO,
            racks: IndexMap::new(),
            zones: IndexMap::new(),
            throttled: 0,
        }
    }

    pub(crate) fn set_reserved(&mut self, reserved: Resources) {
        if self.reserved == reserved {
            return;
        }
        self.reserved = reserved;
        self.capacity = Resources::ZERO;
        self.largest = Resources::ZERO;
        for row in self.workers.values().filter(|row| row.present) {
            let allocatable = row.view.capacity.saturating_sub(reserved);
            self.capacity += allocatable;
            self.largest = largest_of(self.largest, allocatable);
        }
    }

    /// Returns a worker's capacity less the part reserved for services.
    pub(crate) fn allocatable(&self, row: &WorkerRow) -> Resources {
        row.view.capacity.saturating_sub(self.reserved)
    }

    /// Returns a worker's free resources, including those earmarked for certain jobs.
    pub(crate) fn free(&self, row: &WorkerRow) -> Resources {
        self.allocatable(row).saturating_sub(row.allocated)
    }

    /// Returns a worker's free resources that are not earmarked.
    pub(crate) fn free_for_any(&self, row: &WorkerRow) -> Resources {
        self.free(row).saturating_sub(row.earmarked)
    }

    /// Records a worker's report; returns true if anything changed.
    pub(crate) fn worker_seen(&mut self, view: WorkerView) -> bool {
        if let Some(row) = self.workers.get(&view.worker)
            && row.present
            && row.view == view
        {
            return false;
        }
        let worker = view.worker.clone();
        let allocatable = view.capacity.saturating_sub(self.reserved);
        self.remove_from_totals(&worker);
        let row = self
            .workers
            .entry(worker.clone())
            .or_insert_with(|| empty_worker(&worker));
        row.view = view;
        row.present = true;
        self.capacity += allocatable;
        self.largest = largest_of(self.largest, allocatable);
        self.count_standing_tasks(&worker, true);
        true
    }

    /// Records that a worker is unresponsive; returns true if it was present.
    pub(crate) fn worker_gone(&mut self, worker: &WorkerId) -> bool {
        self.remove_from_totals(worker)
    }

    /// Subtracts a present worker from the totals.
    fn remove_from_totals(&mut self, worker: &WorkerId) -> bool {
        let Some(row) = self.workers.get(worker).filter(|row| row.present) else {
            return false;
        };
        let allocatable = self.allocatable(row);
        self.capacity = self.capacity.saturating_sub(allocatable);
        self.count_standing_tasks(worker, false);
        if let Some(row) = self.workers.get_mut(worker) {
            row.present = false;
            row.services.clear();
        }
        self.free_index.remove(worker);
        true
    }

    /// Forgets a worker that is not present and has no tasks; returns true if it did.
    pub(crate) fn forget_if_empty(&mut self, worker: &WorkerId) -> bool {
        let empty = self
            .workers
            .get(worker)
            .is_some_and(|row| !row.present && row.tasks.is_empty() && row.pending.is_empty());
        if empty {
            self.workers.swap_remove(worker);
        }
        empty
    }

    /// Adds the standing tasks of a worker to the counts of its rack and availability zone, or
    /// subtracts them.
    fn count_standing_tasks(&mut self, worker: &WorkerId, add: bool) {
        let Some(row) = self.workers.get(worker) else {
            return;
        };
        let classes: Vec<_> = row
            .tasks
            .iter()
            .filter_map(|key| self.tasks.get(key))
            .filter(|row| row.is_standing())
            .map(|row| row.class)
            .collect();
        let (rack, zone) = (row.view.rack.clone(), row.view.zone.clone());
        for class in classes {
            count(&mut self.racks, (rack.clone(), class), add);
            count(&mut self.zones, (zone.clone(), class), add);
        }
    }

    /// Adds one standing task to the counts of a worker's rack and availability zone, or subtracts
    /// it.
    fn count_standing_task(&mut self, worker: &WorkerId, class: ClassId, add: bool) {
        let Some(row) = self.workers.get(worker).filter(|row| row.present) else {
            return;
        };
        let (rack, zone) = (row.view.rack.clone(), row.view.zone.clone());
        count(&mut self.racks, (rack, class), add);
        count(&mut self.zones, (zone, class), add);
    }

    /// Returns the number of standing tasks of a class in a worker's rack and in its availability
    /// zone.
    pub(crate) fn standing_counts(&self, row: &WorkerRow, class: ClassId) -> (u32, u32) {
        let rack = self.racks.get(&(row.view.rack.clone(), class));
        let zone = self.zones.get(&(row.view.zone.clone(), class));
        (
            rack.copied().unwrap_or_default(),
            zone.copied().unwrap_or_default(),
        )
    }

    /// Allocates the resources of a placement that is not yet committed.
    pub(crate) fn add_pending(&mut self, now: Instant, job: &JobId, pending: Pending) {
        let allocatable = match self.workers.get(&pending.worker) {
            Some(row) => self.allocatable(row),
            None => return,
        };
        let worker = pending.worker.clone();
        self.add_to_team(&pending.team, pending.granted);
        if pending.spread {
            self.count_standing_task(&worker, pending.class, true);
        }
        if let Some(row) = self.workers.get_mut(&worker) {
            row.allocated += pending.granted;
            row.pending.insert(job.clone());
            let allocated = row.allocated;
            Promise::Capacity.check(allocated.fits(&allocatable), || {
                format!("worker {worker} was given {allocated} of {allocatable}")
            });
        }
        self.pending.insert(job.clone(), pending);
        self.update_mix(now, &worker);
    }

    /// Removes a job's pending placement, if any, and frees its resources; returns its worker.
    pub(crate) fn drop_pending(&mut self, now: Instant, job: &JobId) -> Option<WorkerId> {
        let pending = self.pending.swap_remove(job)?;
        self.subtract_from_team(&pending.team, pending.granted);
        if pending.spread {
            self.count_standing_task(&pending.worker, pending.class, false);
        }
        if let Some(row) = self.workers.get_mut(&pending.worker) {
            row.allocated = row.allocated.saturating_sub(pending.granted);
            row.pending.swap_remove(job);
        }
        self.update_mix(now, &pending.worker);
        Some(pending.worker)
    }

    /// Allocates the resources of a committed or adopted task.
    pub(crate) fn place(&mut self, now: Instant, task: PlacedTask, class: ClassId) {
        let pending = self.pending.get(&task.key.job);
        let declared = pending.map_or(task.granted, |pending| pending.declared);
        self.drop_pending(now, &task.key.job);
        self.end(now, &task.key);
        let worker = task.worker.clone();
        self.add_to_team(&task.team, task.granted);
        let row = TaskRow {
            class,
            declared,
            counted: task.granted,
            placed_at: now,
            throttle: 1.0,
            evicting: None,
            progress: None,
            sampled: None,
            speed: 1.0,
            task,
        };
        if row.is_standing() {
            self.count_standing_task(&worker, class, true);
        }
        let on = self
            .workers
            .entry(worker.clone())
            .or_insert_with(|| empty_worker(&worker));
        on.allocated += row.counted;
        on.tasks.insert(row.task.key.clone());
        self.tasks.insert(row.task.key.clone(), row);
        self.update_mix(now, &worker);
    }

    /// Frees the resources of an ended task.
    pub(crate) fn end(&mut self, now: Instant, key: &TaskKey) -> Option<TaskRow> {
        let row = self.tasks.swap_remove(key)?;
        let worker = row.task.worker.clone();
        self.subtract_from_team(&row.task.team, row.counted);
        if row.is_standing() {
            self.count_standing_task(&worker, row.class, false);
        }
        if row.throttle < 1.0 {
            self.throttled -= 1;
        }
        if let Some(on) = self.workers.get_mut(&worker) {
            on.allocated = on.allocated.saturating_sub(row.counted);
            on.tasks.swap_remove(key);
        }
        self.update_mix(now, &worker);
        Some(row)
    }

    /// Counts a task's memory use instead of its grant, if it uses more than that.
    pub(crate) fn recount(&mut self, key: &TaskKey, memory_mib: u64) {
        let Some(row) = self.tasks.get_mut(key) else {
            return;
        };
        let before = row.counted;
        row.counted.memory_mib = row.task.granted.memory_mib.max(memory_mib);
        let after = row.counted;
        let team = row.task.team.clone();
        let worker = row.task.worker.clone();
        self.subtract_from_team(&team, before);
        self.add_to_team(&team, after);
        if let Some(on) = self.workers.get_mut(&worker) {
            on.allocated = on.allocated.saturating_sub(before) + after;
        }
    }

    /// Limits a task to a share of its processor grant.
    pub(crate) fn throttle(&mut self, now: Instant, key: &TaskKey, share: f64) {
        let Some(row) = self.tasks.get_mut(key) else {
            return;
        };
        let was = row.throttle < 1.0;
        row.throttle = share;
        let is = share < 1.0;
        let worker = row.task.worker.clone();
        self.throttled += usize::from(is);
        self.throttled -= usize::from(was);
        self.update_mix(now, &worker);
    }

    fn add_to_team(&mut self, team: &TeamName, amount: Resources) {
        *self.teams.entry(team.clone()).or_default() += amount;
    }

    fn subtract_from_team(&mut self, team: &TeamName, amount: Resources) {
        if let Some(allocated) = self.teams.get_mut(team) {
            *allocated = allocated.saturating_sub(amount);
        }
    }

    /// Recomputes the load of each class on a worker and adds it to the history.
    fn update_mix(&mut self, now: Instant, worker: &WorkerId) {
        let Some(row) = self.workers.get_mut(worker) else {
            return;
        };
        let capacity = row.view.capacity.cpu_milli.max(1) as f64;
        let mut mix = Mix::new();
        for key in &row.tasks {
            if let Some(task) = self.tasks.get(key) {
                let load = task.task.granted.cpu_milli as f64 * task.throttle / capacity;
                add_load(&mut mix, task.class, load);
            }
        }
        for job in &row.pending {
            if let Some(pending) = self.pending.get(job) {
                let load = pending.granted.cpu_milli as f64 / capacity;
                add_load(&mut mix, pending.class, load);
            }
        }
        row.mix.clone_from(&mix);
        if let Some(last) = row.history.back_mut()
            && last.0 == now
        {
            last.1 = mix;
            return;
        }
        row.history.push_back((now, mix));
        let oldest = now.checked_sub(self.history).unwrap_or(now);
        while row.history.len() > HISTORY_LEN
            || row.history.get(1).is_some_and(|(at, _)| *at <= oldest)
        {
            row.history.pop_front();
        }
    }
}

fn add_load(mix: &mut Mix, class: ClassId, load: f64) {
    match mix.iter_mut().find(|(other, _)| *other == class) {
        Some((_, sum)) => *sum += load,
        None => mix.push((class, load)),
    }
}

fn count<K: std::hash::Hash + Eq>(counts: &mut IndexMap<K, u32>, key: K, add: bool) {
    if add {
        *counts.entry(key).or_default() += 1;
    } else if let Some(n) = counts.get_mut(&key) {
        *n = n.saturating_sub(1);
    }
}

fn largest_of(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
