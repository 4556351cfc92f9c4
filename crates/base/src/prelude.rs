//! The types that most modules use.

pub use std::sync::Arc;
pub use std::time::{Duration, Instant};

pub use indexmap::{IndexMap, IndexSet};

pub use crate::{
    Attempt, ClassName, Clock, DeskName, EntryId, Epoch, Error, ErrorKind, Generation, Incarnation,
    JobId, JobKey, Name, Nonce, PoolName, Promise, RackName, RequestId, Resources, Result,
    RouteAddress, RouteName, Seq, ShardId, TargetId, TaskKey, TeamName, WorkerId, ZoneName,
};
