//! Threads around the actors of a process.
//!
//! A process is one thread of actors, fed with events by threads that wait for
//! the outside. What entries and companions need alike for that stands here.

mod actors;
mod follow;
mod rpc;
mod signal;
mod workers;

pub use actors::{Actors, drive};
pub use follow::{KeySeen, follow_key};
pub use rpc::{RpcLimits, ask, dropped, serve_rpc, start_runtime};
pub use signal::{wait_for_stop, wait_for_stop_with};
pub use workers::spawn_workers;
