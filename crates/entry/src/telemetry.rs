//! An entry's metrics and the burn rates of its service-level objectives, shared by its threads.

use base::prelude::*;
use parking_lot::Mutex;
use ports::store::{Store, StoreCall, StoreReply};
use report::Metrics;
use report::burn::{BurnMeter, BurnSnapshot, Sample};
use tables::Tables;
use wire::Outcome;

use crate::shard::ShardsView;

/// Metrics and the burn rates of service-level objectives.
#[derive(Debug)]
pub(crate) struct Telemetry {
    metrics: Metrics,
    burn: Mutex<BurnMeter>,
    generation: Mutex<Generation>,
}

impl Telemetry {
    pub(crate) fn new(entry: &EntryId, now: Instant) -> Self {
        Self {
            metrics: Metrics::new(),
            burn: Mutex::new(BurnMeter::new(entry.as_str(), now)),
            generation: Mutex::default(),
        }
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Applies the routes and objectives of the tables, once for each generation.
    pub(crate) fn set_tables(&self, tables: &Tables) {
        let mut generation = self.generation.lock();
        if *generation < tables.generation {
            *generation = tables.generation;
            self.metrics.set_tables(tables);
            self.burn.lock().set_tables(tables);
        }
    }

    /// Counts a request that ended with `outcome`; `reason` says why if it was not answered.
    pub(crate) fn request(
        &self,
        route: &RouteName,
        outcome: Outcome,
        reason: &str,
        began: Instant,
        now: Instant,
    ) {
        let took = now.saturating_duration_since(began);
        self.metrics.request(route.as_str(), outcome.as_str(), took);
        let mut burn = self.burn.lock();
        let is_answered = outcome == Outcome::Answered;
        let sample = Sample {
            route,
            is_good: is_answered && burn.is_within(route, took),
            offender: if is_answered { "slow" } else { reason },
        };
        burn.record(now, &sample);
    }

    /// Counts ended jobs, and records how many jobs the shards owned here have queued and running.
    pub(crate) fn shards(&self, view: &ShardsView, now: Instant) {
        for shard in &view.shards {
            self.metrics
                .set_jobs(&shard.pool, shard.queued, shard.running);
        }
        let mut burn = self.burn.lock();
        for end in &view.ended_jobs {
            let reason = if end.is_finished { "late" } else { "failed" };
            let sample = Sample {
                route: &end.route,
                is_good: end.is_finished && burn.is_within(&end.route, end.took),
                offender: &format!("{reason}: class {}", end.class),
            };
            burn.record(now, &sample);
        }
    }

    pub(crate) fn snapshot(&self, now: Instant) -> BurnSnapshot {
        self.burn.lock().snapshot(now)
    }
}

/// A store that records metrics of its calls.
#[derive(Debug)]
pub(crate) struct MeteredStore {
    store: Arc<dyn Store>,
    telemetry: Arc<Telemetry>,
    clock: Arc<dyn Clock>,
}

impl MeteredStore {
    pub(crate) fn new(
        store: Arc<dyn Store>,
        telemetry: Arc<Telemetry>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            store,
            telemetry,
            clock,
        }
    }
}

impl Store for MeteredStore {
    fn call(&self, call: &StoreCall) -> Result<StoreReply> {
        let began = self.clock.now();
        let reply = self.store.call(call);
        let took = self.clock.now().saturating_duration_since(began);
        let metrics = self.telemetry.metrics();
        metrics.store_call(call.kind(), reply.is_ok(), took);
        reply
    }
}
