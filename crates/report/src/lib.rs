//! Metrics, logs and the service-level burn report.

pub mod burn;
mod log;
mod metrics;
mod operation_metrics;

pub use log::{LogFormat, RateLimitedDrain, decision_logger, logger};
pub use metrics::Metrics;
pub use operation_metrics::{METRICS_PATH, METRICS_PORT, OperationMetrics};
