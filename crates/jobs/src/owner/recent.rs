//! The recent processor use of a worker's best-effort tasks.

use base::prelude::*;

use super::neighbours::class_of;
use super::worker::Worker;
use crate::TaskRun;

/// The period over which a worker averages the measurements in its status reports.
const LOOKS_BACK: Duration = Duration::from_millis(500);

/// A best-effort task that has ended: its class, its use in thousandths of a core, and the time.
type Gone = (Name, f64, Instant);

/// The best-effort tasks that contribute to the latest measurements, including those that ended
/// within [`WINDOW`].
#[derive(Debug, Default)]
pub(super) struct RecentUse {
    listed_ms: Option<u64>,
    present: IndexMap<TaskRun, (Name, f64)>,
    gone: Vec<Gone>,
}

impl RecentUse {
    /// Applies a worker's measurements; returns false if this status report was seen before.
    pub(super) fn note(&mut self, now: Instant, worker: &Worker) -> bool {
        if self.listed_ms == worker.listed_ms {
            return false;
        }
        self.listed_ms = worker.listed_ms;
        let fillers = worker.runs.iter().filter(|(_, r)| r.is_filler);
        let present: IndexMap<TaskRun, (Name, f64)> = fillers
            .map(|(id, r)| (id.clone(), (class_of(r.class.as_ref()), r.gauge)))
            .collect();
        for (id, (class, used)) in std::mem::take(&mut self.present) {
            if !present.contains_key(&id) {
                self.gone.push((class, used, now));
            }
        }
        self.present = present;
        self.gone
            .retain(|(_, _, at)| now.saturating_duration_since(*at) < LOOKS_BACK);
        true
    }

    /// Returns the use of each class over the measurement period, in thousandths of a core.
    pub(super) fn by_class(&self, now: Instant) -> IndexMap<Name, f64> {
        let mut used: IndexMap<Name, f64> = IndexMap::new();
        for (class, milli) in self.present.values() {
            *used.entry(Arc::clone(class)).or_default() += milli;
        }
        for (class, milli, at) in &self.gone {
            let age = now.saturating_duration_since(*at).as_secs_f64();
            let share = (1.0 - age / LOOKS_BACK.as_secs_f64()).max(0.0);
            *used.entry(Arc::clone(class)).or_default() += milli * share;
        }
        used
    }
}
