//! The entry process: requests, shards, membership and configuration.

mod app;
mod cfg;
mod config;
mod event;
mod http;
mod member;
mod node;
mod ports;
mod request;
mod rpc;
mod shard;
mod snapshot;
mod store_io;
mod telemetry;

pub use app::{App, run};
pub use cfg::{EntryCfg, EntryFlags, entry_flags};
pub use event::{AdminEvent, Event, RequestEvent, StoreToken};
pub use node::Node;
pub use ports::{Ports, StorePort, StorePriority};
pub use shard::{EndedJob, ShardsView};
pub use snapshot::TablesSnapshot;
pub use store_io::{Permit, StoreBudget};
