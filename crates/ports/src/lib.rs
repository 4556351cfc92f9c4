//! Ports to the store and to workers, with HTTP adapters of this project's own protocol.

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
