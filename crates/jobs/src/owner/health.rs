//! Quarantine of workers whose tasks fail.

use base::prelude::*;

use super::worker::Run;

/// How many consecutive failures put a worker in quarantine.
const QUARANTINE_FAILURES: u32 = 2;

/// How long a quarantined worker gets no task; after that it gets one probe at a time.
const QUARANTINE: Duration = Duration::from_millis(2500);

/// A worker's recent failures and its quarantine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    /// Set until a task succeeds; tasks that start after this time are probes.
    quarantined_until: Option<Instant>,
}

impl Health {
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure; returns true if it starts a quarantine.
    pub(super) fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;
        let was_free = self.quarantined_until.is_none_or(|until| until <= now);
        if self.failures >= QUARANTINE_FAILURES {
            self.quarantined_until = Some(now + QUARANTINE);
            return was_free;
        }
        false
    }

    /// Returns true if the worker may get a task: after a quarantine one as a probe, and more once
    /// the probe has run for as long as the quarantine. A probe need not end, since a standing task
    /// never succeeds.
    pub(super) fn takes_tasks<'a>(
        &self,
        now: Instant,
        runs: impl Iterator<Item = &'a Run>,
    ) -> bool {
        let Some(until) = self.quarantined_until else {
            return true;
        };
        let probe = runs.map(|r| r.since).filter(|at| *at >= until).min();
        now >= until && probe.is_none_or(|at| now.saturating_duration_since(at) >= QUARANTINE)
    }
}
