//! The recent processor use of a worker's best-effort tasks.

use base::prelude::*;

use super::colocation::class_of;
use super::worker::Worker;
use crate::TaskRun;

/// The period over which a worker averages the measurements in its status reports.
const WINDOW: Duration = Duration::from_millis(500);

/// A best-effort task that has ended: its class, its use in thousandths of a core, and the time.
type EndedTask = (Name, f64, Instant);

/// The best-effort tasks that contribute to the latest measurements, including those that ended
/// within [`WINDOW`].
#[derive(Debug, Default)]
pub(super) struct RecentUsage {
    status_clock_ms: Option<u64>,
    present: IndexMap<TaskRun, (Name, f64)>,
    ended: Vec<EndedTask>,
}

impl RecentUsage {
    /// Applies a worker's measurements; returns false if this status report was seen before.
    pub(super) fn update(&mut self, now: Instant, worker: &Worker) -> bool {
        if self.status_clock_ms == worker.status_clock_ms {
            return false;
        }
        self.status_clock_ms = worker.status_clock_ms;
        let best_effort_runs = worker.runs.iter().filter(|(_, r)| r.is_best_effort);
        let present: IndexMap<TaskRun, (Name, f64)> = best_effort_runs
            .map(|(id, r)| (id.clone(), (class_of(r.class.as_ref()), r.gauge)))
            .collect();
        for (id, (class, used)) in std::mem::take(&mut self.present) {
            if !present.contains_key(&id) {
                self.ended.push((class, used, now));
            }
        }
        self.present = present;
        self.ended
            .retain(|(_, _, at)| now.saturating_duration_since(*at) < WINDOW);
        true
    }

    /// Returns the use of each class over the measurement period, in thousandths of a core.
    pub(super) fn by_class(&self, now: Instant) -> IndexMap<Name, f64> {
        let mut used: IndexMap<Name, f64> = IndexMap::new();
        for (class, milli) in self.present.values() {
            *used.entry(Arc::clone(class)).or_default() += milli;
        }
        for (class, milli, at) in &self.ended {
            let age = now.saturating_duration_since(*at).as_secs_f64();
            let share = (1.0 - age / WINDOW.as_secs_f64()).max(0.0);
            *used.entry(Arc::clone(class)).or_default() += milli * share;
        }
        used
    }
}
