//! Ports to the platform's store and workers, with their HTTP adapters.

mod client;
mod http_store;
mod http_worker;
pub mod protocol;
mod resolver;
pub mod store;
pub mod worker;

pub use http_store::HttpStore;
pub use http_worker::HttpWorker;
pub use resolver::ip_agent;
