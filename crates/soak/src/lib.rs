//! Long randomised runs over the real actors, in virtual time. Not shipped.
//!
//! Entries and companions run their real decisions. Their ports lead to the stand-ins in memory
//! and to a queue of messages that may be lost, late, doubled or reordered. Everything is drawn
//! from one seed, so that the same seed makes the same run.

mod account;
mod fate;
mod plan;
mod queue;
mod trace;

pub use account::{Account, Breach};
pub use fate::{Fate, Link};
pub use plan::{Fault, FaultKind, plan_faults};
pub use queue::Queue;
pub use trace::Trace;
