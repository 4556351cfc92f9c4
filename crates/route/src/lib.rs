//! Choice of target, limits, retries and outcomes of requests.

mod active;
mod budget;
mod fleet;
pub mod limits;
mod router;
mod step;

pub use router::Router;
pub use step::{AttemptEnd, NextAction, RequestMeta, RequestStep, SendStep};
