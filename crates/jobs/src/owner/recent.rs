//! What the fillers of a worker used lately.

use base::prelude::*;

use super::neighbours::class_of;
use super::worker::Worker;
use crate::TaskRun;

/// How far back the figures of a listing look.
const LOOKS_BACK: Duration = Duration::from_millis(500);

/// A filler that has gone: its class, the thousandths of a core that it used, and when it went.
type Gone = (Name, f64, Instant);

/// The fillers that the latest figures tell of, those included that have just gone.
#[derive(Debug, Default)]
pub(super) struct RecentUse {
    listed_ms: Option<u64>,
    present: IndexMap<TaskRun, (Name, f64)>,
    gone: Vec<Gone>,
}

impl RecentUse {
    /// Takes in a worker's figures; tells whether they are from a listing that was not seen yet.
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

    /// Returns the thousandths of a core that each class used over the time of the figures.
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
