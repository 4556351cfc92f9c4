//! Metrics, logs and the report on service-level burn.

pub mod burn;
mod log;
mod metrics;

pub use log::{Limited, LogFormat, decision_logger, logger};
pub use metrics::Metrics;
