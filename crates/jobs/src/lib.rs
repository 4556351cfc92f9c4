//! Jobs of stages: their model, and the decisions of the entry that owns them.
//!
//! [`Owner`] takes what happens as method calls with the time and returns what
//! to do as [`Effect`]s. It makes no calls itself, so that tests drive it
//! without a network.

mod job;
mod messages;
mod model;
pub mod owner;
mod progress;
pub mod report;

pub use job::{Job, JobState, Task};
pub use messages::{Ask, Told};
pub use model::{AdviceTerms, JobSpec, RouteTerms, Schedule, StageSpec, TaskId, TaskRun};
pub use owner::{Effect, Owner, OwnerCfg, Stats, Token};
pub use progress::{JobRecord, Progress, TaskProgress, WorkerRecord};
