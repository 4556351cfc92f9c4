//! A fake of the platform's key-value service.

mod mem;
mod rate;
mod rest;
mod server;

pub use mem::MemStore;
pub use rate::RateLimit;
pub use server::{Outage, StoreCounts, StoreFaultInjector, StoreServer};
