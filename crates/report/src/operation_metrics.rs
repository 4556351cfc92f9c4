//! Metrics of the processes that schedule and run jobs, served as text.

use std::net::SocketAddr;

use base::prelude::*;
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use wire::HttpPool;

const PREFIX: &str = "monsoontrestle";

/// The port at which metrics are served; `deploy/system.toml` declares it to the platform.
pub const METRICS_PORT: u16 = 9464;

/// The path under which metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// The number of threads that serve metrics.
const THREADS: usize = 1;

/// Upper bounds of the buckets of the duration histograms, in seconds.
const DURATION_BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// The labels of a counter of operations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OutcomeLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

type Histograms = Family<KindLabels, Histogram, fn() -> Histogram>;

/// Counters, durations and levels of one process, shared by its threads.
///
/// Kinds and outcomes are static strings, which bounds the number of labels.
#[derive(Debug)]
pub struct OperationMetrics {
    registry: Mutex<Registry>,
    counts: Family<OutcomeLabels, Counter>,
    seconds: Histograms,
    levels: Family<KindLabels, Gauge>,
}

impl OperationMetrics {
    /// Creates metrics without values.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let counts = Family::default();
        let seconds: Histograms = Family::new_with_constructor(|| Histogram::new(DURATION_BUCKETS));
        let levels = Family::default();
        registry.register("events", "What was done, by outcome", counts.clone());
        registry.register_with_unit(
            "duration",
            "How long things took",
            Unit::Seconds,
            seconds.clone(),
        );
        registry.register("level", "How much there is now", levels.clone());
        Self {
            registry: Mutex::new(registry),
            counts,
            seconds,
            levels,
        }
    }

    /// Counts an operation.
    pub fn count(&self, kind: &'static str, outcome: &'static str) {
        self.counts
            .get_or_create(&OutcomeLabels { kind, outcome })
            .inc();
    }

    /// Records the duration of an operation.
    pub fn observe_duration(&self, kind: &'static str, time: Duration) {
        self.seconds
            .get_or_create(&KindLabels { kind })
            .observe(time.as_secs_f64());
    }

    /// Sets the current level of `kind`.
    pub fn set_level(&self, kind: &'static str, level: usize) {
        self.levels
            .get_or_create(&KindLabels { kind })
            .set(i64::try_from(level).unwrap_or(i64::MAX));
    }

    /// Returns the metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry.lock()).expect("writing to a string never fails");
        text
    }

    /// Serves the metrics at an address.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if the address cannot be bound.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> Result<HttpPool> {
        let operation_metrics = Arc::clone(self);
        HttpPool::start(addr, THREADS, move |req| {
            let response = if req.url() == METRICS_PATH {
                tiny_http::Response::from_string(operation_metrics.text())
            } else {
                tiny_http::Response::from_string("").with_status_code(404)
            };
            // A scraper that closed the connection retries.
            drop(req.respond(response));
        })
    }
}

impl Default for OperationMetrics {
    fn default() -> Self {
        Self::new()
    }
}
