//! The event loop, signal handling and RPC server of a process.
//!
//! A process runs its actors on one thread; other threads do blocking I/O and send it events.
//! This crate holds the parts of that which entries and companions share.

mod actors;
mod key_watcher;
mod rpc;
mod signal;
mod workers;

pub use actors::{Actors, drive, spawn_actors, spawn_watched};
pub use key_watcher::{KeyUpdate, watch_key};
pub use rpc::{RpcLimits, call_actors, serve_rpc, start_runtime, stopping_error};
pub use signal::{wait_for_stop, wait_for_stop_with};
pub use workers::spawn_workers;
