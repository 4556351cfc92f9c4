//! Choice of target, limits, retries and outcomes of requests.

mod router;
mod step;

pub use router::Router;
pub use step::{AttemptEnd, RequestMeta, RequestStep};
