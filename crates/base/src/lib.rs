//! Identifiers, clock, errors and invariants shared by every crate.

mod clock;
mod error;
mod id;
pub mod prelude;
mod promise;
mod resources;
mod time;

pub use clock::{Clock, ManualClock, SystemClock};
pub use error::{Error, ErrorKind, Result};
pub use id::{
    Attempt, ClassName, DeskName, EntryId, Epoch, Generation, Incarnation, JobId, JobKey, Name,
    Nonce, PoolName, RackName, RequestId, RouteAddress, RouteName, Seq, ShardId, TargetId, TaskKey,
    TeamName, WorkerId, ZoneName,
};
pub use promise::{Promise, PromiseCounts};
pub use resources::Resources;
pub use time::{unix_ms, whole_ms};
