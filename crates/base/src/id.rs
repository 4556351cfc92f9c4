//! Names and numbers that identify things.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A shared immutable string.
pub type Name = Arc<str>;

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Name);

        impl $name {
            /// Wraps a name.
            pub fn new(name: impl Into<Name>) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(name.into())
            }
        }
    )*};
}

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident($repr:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

name_types! {
    /// The class of a task: tasks of one class use and harm alike.
    ClassName;
    /// The customer whose work this is.
    DeskName;
    /// An entry process, unique over its restarts.
    EntryId;
    /// A job, as the system names it.
    JobId;
    /// The caller's idempotency key of a job.
    JobKey;
    /// A row of the pools table.
    PoolName;
    /// The rack a worker sits in.
    RackName;
    /// The id of a request, unique over the system.
    RequestId;
    /// A row of the routes table.
    RouteName;
    /// A back end that answers requests.
    TargetId;
    /// A team with a quota.
    TeamName;
    /// A worker VM.
    WorkerId;
    /// An availability zone.
    ZoneName;
}

number_types! {
    /// How often a task has been placed, from 1.
    Attempt(u32);
    /// The term of one shard owner; a higher one deposes a lower one.
    Epoch(u64);
    /// The version of the tables.
    Generation(u64);
    /// One life of a companion process; a restart draws a new one.
    Incarnation(u64);
    /// A number used once, to match an answer to its question.
    Nonce(u64);
    /// The place of a record in a shard's log, from 1.
    Seq(u64);
    /// A shard of the batch work.
    ShardId(u32);
}

/// One attempt of a job's task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The attempt, from 1.
    pub attempt: Attempt,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.job, self.attempt)
    }
}
