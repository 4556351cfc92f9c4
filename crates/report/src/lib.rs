//! Metrics, logs and the service-level burn report.

pub mod burn;
mod gauges;
mod log;
mod metrics;

pub use gauges::{Gauges, METRICS_PATH, METRICS_PORT};
pub use log::{LogFormat, RateLimitedDrain, decision_logger, logger};
pub use metrics::Metrics;
