//! A fake of a worker VM.

mod interference;
mod mem;
mod record;
mod server;
mod settings;
mod task;

pub use interference::{Interference, NoInterference, Workload};
pub use mem::MemWorker;
pub use record::{Effect, Run, WorkerRecord};
pub use server::WorkerServer;
pub use settings::{ClassProfile, WorkerFaults, WorkerSettings};
