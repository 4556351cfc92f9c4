//! Jobs of stages: their model, and the decisions of the entry that owns them.
//!
//! [`Owner`] receives events as method calls with the current time and returns actions as
//! [`Effect`]s. It does no I/O itself, so that tests can drive it without a network.

mod job;
mod messages;
mod model;
pub mod owner;
mod progress;
pub mod report;

pub use job::{Job, JobState, Task};
pub use messages::{JobReply, JobRequest};
pub use model::{AdviceTerms, JobSpec, RouteRef, RouteTerms, Schedule, StageSpec, TaskId, TaskRun};
pub use owner::{Effect, Owner, OwnerCfg, Stats, Token};
pub use progress::{Faults, JobRecord, Progress, TaskProgress, WorkerRecord};
