//! Metrics of a process, in the text form that scrapers read.

use std::sync::{Mutex, PoisonError};

use base::PromiseCounts;
use base::prelude::*;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use tables::Tables;

const PREFIX: &str = "monsoontrestle";
/// The label of routes that are not in the tables, which bounds the number of labels.
const OTHER: &str = "other";

/// Upper bounds of the buckets of request times, in seconds.
const REQUEST_SECONDS: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];
/// Upper bounds of the buckets of store calls, in seconds.
const STORE_SECONDS: [f64; 9] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.5, 2.5, 10.0];

/// The labels of a count of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: &'static str,
}

/// The label of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// The labels of a count of store calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct StoreCallLabels {
    kind: &'static str,
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct PoolLabels {
    pool: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct PromiseLabels {
    promise: &'static str,
}

type Histograms<S> = Family<S, Histogram, fn() -> Histogram>;

/// The metrics of one process; shared by its threads.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    routes: Mutex<IndexSet<RouteName>>,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Histograms<RouteLabels>,
    store_calls: Family<StoreCallLabels, Counter>,
    store_seconds: Histograms<KindLabels>,
    generation: Gauge,
    targets: Gauge,
    queued: Family<PoolLabels, Gauge>,
    running: Family<PoolLabels, Gauge>,
    refused: Counter,
}

impl Metrics {
    /// Creates metrics that are all at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            routes: Mutex::default(),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(request_histogram),
            store_calls: Family::default(),
            store_seconds: Family::new_with_constructor(store_histogram),
            generation: Gauge::default(),
            targets: Gauge::default(),
            queued: Family::default(),
            running: Family::default(),
            refused: Counter::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests by route and outcome",
            self.requests.clone(),
        );
        r.register_with_unit(
            "request_duration",
            "Time from a request's arrival to its answer",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        r.register_with_unit(
            "store_call_duration",
            "Time of calls to the store",
            Unit::Seconds,
            self.store_seconds.clone(),
        );
        r.register(
            "tables_generation",
            "Generation of the tables",
            self.generation.clone(),
        );
        r.register("targets", "Targets known to be there", self.targets.clone());
        r.register(
            "jobs_queued",
            "Jobs that wait, by pool",
            self.queued.clone(),
        );
        r.register(
            "tasks_running",
            "Tasks that run, by pool",
            self.running.clone(),
        );
        r.register(
            "calls_refused",
            "Calls refused for a wrong secret",
            self.refused.clone(),
        );
        r.register_collector(Box::new(Promises));
    }

    /// Sets the generation and the names of routes that may be used as labels.
    pub fn set_tables(&self, tables: &Tables) {
        let names = tables.routes.keys().cloned().collect();
        *self.routes.lock().unwrap_or_else(PoisonError::into_inner) = names;
        self.generation.set(signed(tables.generation.0));
    }

    /// Records the outcome and duration of a request.
    pub fn request(&self, route: &str, outcome: &'static str, took: Duration) {
        let route = self.route_label(route);
        let labels = RouteLabels {
            route: route.clone(),
        };
        self.request_seconds
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
        self.requests
            .get_or_create(&RequestLabels { route, outcome })
            .inc();
    }

    fn route_label(&self, route: &str) -> String {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let name = RouteName::from(route);
        if routes.contains(&name) {
            route.to_owned()
        } else {
            OTHER.to_owned()
        }
    }

    /// Records the result and duration of a call to the store.
    pub fn store_call(&self, kind: &'static str, is_ok: bool, took: Duration) {
        let result = if is_ok { "ok" } else { "error" };
        self.store_calls
            .get_or_create(&StoreCallLabels { kind, result })
            .inc();
        let labels = KindLabels { kind };
        self.store_seconds
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    /// Counts a call that was refused for a wrong secret.
    pub fn call_refused(&self) {
        self.refused.inc();
    }

    /// Sets how many targets are known.
    pub fn set_targets(&self, targets: usize) {
        self.targets.set(signed(targets as u64));
    }

    /// Sets the numbers of queued jobs and running tasks of a pool, in the shards owned here.
    pub fn set_jobs(&self, pool: &PoolName, queued: u64, running: u64) {
        let labels = PoolLabels {
            pool: pool.to_string(),
        };
        self.queued.get_or_create(&labels).set(signed(queued));
        self.running.get_or_create(&labels).set(signed(running));
    }

    /// Returns the metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded, which is a bug.
    pub fn encode(&self) -> Result<String> {
        let mut text = String::new();
        encode(&mut text, &self.registry).map_err(|e| {
            Error::new(
                ErrorKind::Internal,
                "encode metrics",
                "metrics",
                e.to_string(),
            )
        })?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Collects the counts of promise checks at each scrape.
#[derive(Debug)]
struct Promises;

impl Collector for Promises {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> std::fmt::Result {
        let help = "Checks of what must always hold";
        encode_promises(&mut encoder, "promise_checks", help, |counts| {
            counts.checked
        })?;
        let help = "Checks that found a promise broken";
        encode_promises(&mut encoder, "promise_breaches", help, |counts| {
            counts.broken
        })
    }
}

fn encode_promises(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    count: fn(&PromiseCounts) -> u64,
) -> std::fmt::Result {
    let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for counts in Promise::counts() {
        let promise = counts.promise.as_str();
        let labels = PromiseLabels { promise };
        let encoder = metric.encode_family(&labels)?;
        ConstCounter::new(count(&counts)).encode(encoder)?;
    }
    Ok(())
}

fn request_histogram() -> Histogram {
    Histogram::new(REQUEST_SECONDS)
}

fn store_histogram() -> Histogram {
    Histogram::new(STORE_SECONDS)
}

fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
