//! The operators' HTTP API of an entry: paths, request bodies and response bodies.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Announcement, EntryInfo, JobRef, ShardOwner};

/// Paths of the operators' calls.
pub mod path {
    /// Path of the call that returns a [`super::Status`].
    pub const STATUS: &str = "/v1/status";
    /// Path of the call that returns the configuration tables in force.
    pub const TABLES: &str = "/v1/tables";
    /// Path of the report on error-budget burn; `?format=html` or `?format=text` for people.
    pub const REPORT: &str = "/v1/report";
    /// Path of the counts that reports are computed from, to be summed over all entries.
    pub const BURN: &str = "/v1/burn";
    /// Path of the metrics in their text format.
    pub const METRICS: &str = "/v1/metrics";
    /// Path of the liveness probe, which succeeds while the process runs.
    pub const LIVE: &str = "/v1/health/live";
    /// Path of the readiness probe, which succeeds while the process can serve.
    pub const READY: &str = "/v1/health/ready";
    /// Path of the call that submits a [`super::JobSubmission`].
    pub const JOBS: &str = "/v1/jobs";
    /// Path of the call that returns the status of each job in a [`super::JobSelection`], null if
    /// the job is unknown.
    pub const JOBS_QUERY: &str = "/v1/jobs/query";
    /// Path of the call that cancels the jobs of a [`super::JobSelection`].
    pub const JOBS_CANCEL: &str = "/v1/jobs/cancel";
    /// Path of the call that drains the target named in its body.
    pub const DRAIN: &str = "/v1/drain";
}

/// An entry's view of the cluster.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The entry that sends this status.
    pub entry: EntryInfo,
    /// The other entries that it knows.
    pub entries: Vec<EntryInfo>,
    /// The owners of the shards.
    pub owners: Vec<ShardOwner>,
    /// The targets, as last announced.
    pub targets: Vec<Announcement>,
    /// The health of the store, as the entry sees it.
    #[serde(default)]
    pub store: Option<StoreHealth>,
    /// The shards that the entry owns, and those that it could not take over.
    #[serde(default)]
    pub shards: Vec<ShardStatus>,
    /// The counts of promise checks in this process.
    #[serde(default)]
    pub promises: Vec<PromiseStatus>,
}

/// The health of the store, as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreHealth {
    /// True if the store responded recently.
    pub is_reachable: bool,
    /// Milliseconds since the last response; `None` if there was none.
    pub answered_ms_ago: Option<u64>,
}

/// The status of a shard, as its owner sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// The pool whose jobs it holds.
    pub pool: PoolName,
    /// The number of queued jobs.
    pub queued: u64,
    /// The number of running tasks.
    pub running: u64,
    /// Quarantined workers, which receive at most a probe, with the reason.
    pub quarantined: Vec<(WorkerId, Name)>,
    /// Why this entry could not take over the shard, such as a record that it cannot read.
    #[serde(default)]
    pub stuck: Option<Name>,
}

/// How often a promise was checked and how often it was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PromiseStatus {
    /// The promise.
    pub promise: Name,
    /// How often it was checked.
    pub checked: u64,
    /// How often it was found broken.
    pub broken: u64,
}

/// A submission of a job; an omitted team, amount of resources or run time is taken from the route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename = "JobRequest")] // appears in error responses
pub struct JobSubmission {
    /// The route.
    pub route: RouteName,
    /// The caller's idempotency key: submissions with the same key are the same job.
    pub key: JobKey,
    /// The team whose quota the job is charged to.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// The key of a job that must be finished first.
    #[serde(default)]
    pub after: Option<JobKey>,
    /// The resources that the job requests.
    #[serde(default)]
    pub resources: Option<Resources>,
    /// Its expected undisturbed run time.
    #[serde(default)]
    pub run_time: Option<Duration>,
    /// The job's payload, opaque to the scheduler.
    #[serde(default = "no_payload")]
    pub payload: Name,
}

/// A list of jobs of one pool, in a query or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename = "JobsNamed")] // appears in error responses
pub struct JobSelection {
    /// The pool.
    pub pool: PoolName,
    /// The jobs.
    pub jobs: Vec<JobRef>,
}

fn no_payload() -> Name {
    "".into()
}
