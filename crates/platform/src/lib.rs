//! Ports to the platform's store and workers, with their HTTP adapters.

pub mod store;
pub mod worker;
