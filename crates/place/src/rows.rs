//! The rows of the ledger: workers, tasks, services and pending placements.

use std::collections::VecDeque;

use base::prelude::*;
use tables::Priority;

use crate::interference::{ClassId, Mix};
use crate::types::{PlacedTask, WorkerView};

/// The weight of a new sample in a worker's smoothed lag.
const LAG_GAIN: f64 = 0.2;

/// A task with resources allocated on a worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskRow {
    pub(crate) task: PlacedTask,
    pub(crate) class: ClassId,
    /// The declared size of its job.
    pub(crate) declared: Resources,
    /// The resources allocated to it: the grant, or the memory use if that is more.
    pub(crate) counted: Resources,
    pub(crate) placed_at: Instant,
    /// The share of its processor grant that it may use.
    pub(crate) throttle: f64,
    /// When its eviction was decided.
    pub(crate) evicting: Option<Instant>,
    /// The share of the work done, 0 to 1, and when it was measured.
    pub(crate) progress: Option<(f64, Instant)>,
    /// When its latest sample was taken.
    pub(crate) sampled: Option<Instant>,
    /// Its smoothed speed, where 1 is an undisturbed run.
    pub(crate) speed: f64,
}

impl TaskRow {
    pub(crate) fn is_standing(&self) -> bool {
        self.task.run_time.is_none()
    }

    /// Returns true if the task may be throttled or evicted in favour of others.
    pub(crate) fn is_movable(&self) -> bool {
        self.task.priority != Priority::Urgent && self.evicting.is_none()
    }
}

/// A service on a worker, by its latest sample.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRow {
    /// When its latest sample was taken.
    pub(crate) sampled: Instant,
    /// The measured extra time of that sample less the predicted one.
    pub(crate) residual: f64,
}

/// A worker with its tasks.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRow {
    pub(crate) view: WorkerView,
    pub(crate) present: bool,
    /// The resources allocated to its tasks and pending placements.
    pub(crate) allocated: Resources,
    /// The free resources that are reserved exclusively for certain jobs.
    pub(crate) earmarked: Resources,
    pub(crate) tasks: IndexSet<TaskKey>,
    pub(crate) pending: IndexSet<JobId>,
    pub(crate) services: IndexMap<ClassId, ServiceRow>,
    /// The load of each class now.
    pub(crate) mix: Mix,
    /// The load of each class from each instant on, oldest first.
    pub(crate) history: VecDeque<(Instant, Mix)>,
    /// The smoothed age of its samples.
    pub(crate) lag: Duration,
}

/// A placement that was decided but not yet committed.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) worker: WorkerId,
    pub(crate) granted: Resources,
    pub(crate) declared: Resources,
    pub(crate) class: ClassId,
    pub(crate) team: TeamName,
    pub(crate) spread: bool,
}

impl WorkerRow {
    /// Returns the load of each class at an instant, or `None` if the history does not reach back
    /// that far.
    pub(crate) fn mix_at(&self, at: Instant) -> Option<&Mix> {
        let next = self.history.partition_point(|(from, _)| *from <= at);
        next.checked_sub(1).map(|last| &self.history[last].1)
    }

    /// Updates the smoothed lag with the age of a sample.
    pub(crate) fn note_lag(&mut self, age: Duration) {
        let smoothed = self.lag.as_secs_f64() * (1.0 - LAG_GAIN) + age.as_secs_f64() * LAG_GAIN;
        // A growing lag takes effect at once, so that no level change precedes the measurement of
        // the previous one.
        self.lag = Duration::from_secs_f64(smoothed).max(age);
    }
}

/// Returns the row of a worker that has not reported yet.
pub(crate) fn empty_worker(worker: &WorkerId) -> WorkerRow {
    let view = WorkerView {
        worker: worker.clone(),
        zone: ZoneName::from(""),
        rack: RackName::from(""),
        capacity: Resources::ZERO,
        leaving: false,
    };
    WorkerRow {
        view,
        present: false,
        allocated: Resources::ZERO,
        earmarked: Resources::ZERO,
        tasks: IndexSet::new(),
        pending: IndexSet::new(),
        services: IndexMap::new(),
        mix: Mix::new(),
        history: VecDeque::new(),
        lag: Duration::ZERO,
    }
}
