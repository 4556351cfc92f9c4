//! Identifier types: named strings and counters.

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

            /// Returns the name as a string slice.
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
            /// Returns the next number.
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
    /// The class of a task; tasks of one class have similar usage and cause similar interference.
    ClassName;
    /// The desk that the work belongs to, a customer of the system.
    DeskName;
    /// An entry process; every restart gets a new id.
    EntryId;
    /// The id that the system assigns to a job.
    JobId;
    /// The idempotency key that the caller gave a job.
    JobKey;
    /// The name of a pool in the pools table.
    PoolName;
    /// The rack that a worker is in.
    RackName;
    /// The id of a request, unique across the system.
    RequestId;
    /// Where callers reach a route: the host and the path prefix that their requests name. Unlike the
    /// route's name, it stays the same when operators rename the route.
    RouteAddress;
    /// The name of a route in the routes table.
    RouteName;
    /// A back end that serves requests.
    TargetId;
    /// A team with a quota.
    TeamName;
    /// A worker VM.
    WorkerId;
    /// An availability zone.
    ZoneName;
}

impl RouteAddress {
    /// Creates the address of the route that serves a path prefix of a host; hosts are equal in any case.
    pub fn of(host: &str, prefix: &str) -> Self {
        Self(format!("{}{prefix}", host.to_ascii_lowercase()).into())
    }
}

number_types! {
    /// The number of times a task has been placed, starting at 1.
    Attempt(u64);
    /// The term of a shard owner; a higher epoch supersedes a lower one.
    Epoch(u64);
    /// The version of the configuration tables.
    Generation(u64);
    /// A single run of a companion process; every restart draws a new incarnation.
    Incarnation(u64);
    /// A number used once, to match a reply to its request.
    Nonce(u64);
    /// The position of a record in a shard's log, starting at 1.
    Seq(u64);
    /// A shard of the batch jobs.
    ShardId(u32);
}

/// One attempt of a job's task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The attempt, starting at 1.
    pub attempt: Attempt,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.job, self.attempt)
    }
}
