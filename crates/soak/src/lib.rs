//! Randomised simulation of the real actors in virtual time. Not shipped.
//!
//! Entries and companions run their production code. Their ports connect to in-memory fakes and
//! to a queue of messages that may be lost, delayed, duplicated or reordered. All random decisions
//! derive from one seed, so a seed always reproduces the same run.

mod audit;
mod callers;
mod cfg;
mod fault_plan;
mod faults;
mod final_checks;
mod fleet;
mod jobs;
mod link;
mod log;
mod ports;
mod process;
mod queue;
mod report;
mod request_callers;
mod requests;
mod simulation;
mod store;
mod store_calls;
mod trace;
mod vm;

pub use audit::{RunAudit, Violation};
pub use cfg::SoakCfg;
pub use fault_plan::{Fault, FaultKind, plan_faults};
pub use link::{Link, Transmission};
pub use queue::Queue;
pub use report::Report;
pub use simulation::Simulation;
pub use trace::Trace;
