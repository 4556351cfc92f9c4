//! Ports to the store and to workers, with adapters for this project's own HTTP protocol.

mod client;
mod http_store;
mod http_worker;
pub mod protocol;
mod resolver;
pub mod store;
pub mod worker;

pub use client::Client;
pub use http_store::HttpStore;
pub use http_worker::HttpWorker;
pub use resolver::ip_agent;
