//! Choice of target, limits, retries and outcomes of requests.

mod active;
mod budget;
mod fleet;
mod router;
mod step;

pub use router::Router;
pub use step::{AttemptEnd, Next, RequestMeta, RequestStep, SendStep};
