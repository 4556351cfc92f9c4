//! Metrics of the owner.

use base::prelude::*;
use jobs::Owner;
use slog::warn;

use super::Controller;

/// From when a run of the owner is worth a log line: a fifth of the interval at which its lease is
/// renewed.
const SLOW_RUN: Duration = Duration::from_millis(100);

impl Controller {
    /// Records how long the owner has taken to decide: leases and answers wait meanwhile.
    pub(super) fn record_run(&self, began: Instant) {
        let took = self.clock.now().saturating_duration_since(began);
        self.operation_metrics.observe_duration("owner_run", took);
        if took >= SLOW_RUN {
            let (jobs, runs, workers) = self.owner.as_ref().map(Owner::counts).unwrap_or_default();
            warn!(self.log, "entry: owner took long to decide"; "took_ms" => took.as_millis(),
                "jobs" => jobs, "runs" => runs, "workers" => workers);
        }
    }

    /// Exports the owner's counters, timings and gauges.
    pub(super) fn export_stats(&mut self) {
        let Some(owner) = self.owner.as_mut() else {
            return;
        };
        let stats = owner.take_stats();
        for (kind, outcome) in stats.events {
            self.operation_metrics.count(kind, outcome);
        }
        for (kind, time) in stats.times {
            self.operation_metrics.observe_duration(kind, time);
        }
        let (jobs, runs, workers) = owner.counts();
        self.operation_metrics.set_level("active_jobs", jobs);
        self.operation_metrics.set_level("runs", runs);
        self.operation_metrics.set_level("workers", workers);
        let tombstones = owner.tombstones();
        self.operation_metrics.set_level("tombstones", tombstones);
        let cordoned = owner.cordoned_zones();
        self.operation_metrics.set_level("cordoned_zones", cordoned);
    }
}
