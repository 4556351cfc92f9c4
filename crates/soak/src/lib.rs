//! Long randomised runs over the real actors, in virtual time. Not shipped.
//!
//! Entries and companions run their real decisions. Their ports lead to the stand-ins in memory
//! and to a queue of messages that may be lost, late, doubled or reordered. Everything is drawn
//! from one seed, so that the same seed makes the same run.

mod account;
mod build;
mod callers;
mod cfg;
mod fate;
mod faults;
mod finish;
mod jobs;
mod log;
mod plan;
mod ports;
mod process;
mod queue;
mod report;
mod request_callers;
mod requests;
mod store_calls;
mod store_side;
mod trace;
mod vm;
mod world;

pub use account::{Account, Breach};
pub use cfg::SoakCfg;
pub use fate::{Fate, Link};
pub use plan::{Fault, FaultKind, plan_faults};
pub use queue::Queue;
pub use report::Report;
pub use trace::Trace;
pub use world::World;
