//! What operators ask of an entry over HTTP, and the answers.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Announcement, EntryInfo, JobRef, ShardOwner};

/// Paths of the operators' calls.
pub mod path {
    /// Returns a [`super::Status`].
    pub const STATUS: &str = "/v1/status";
    /// Returns the tables in force.
    pub const TABLES: &str = "/v1/tables";
    /// Returns the report on service-level burn; `?format=html` or `?format=text` for a person.
    pub const REPORT: &str = "/v1/report";
    /// Returns the counts that reports are made of, to be added up over entries.
    pub const BURN: &str = "/v1/burn";
    /// Returns the metrics as text.
    pub const METRICS: &str = "/v1/metrics";
    /// Tells that the process lives.
    pub const LIVE: &str = "/v1/health/live";
    /// Tells whether the process can serve.
    pub const READY: &str = "/v1/health/ready";
    /// Takes a [`super::JobRequest`].
    pub const JOBS: &str = "/v1/jobs";
    /// Takes a [`super::JobsNamed`] and returns the status of each job, null where it is unknown.
    pub const JOBS_QUERY: &str = "/v1/jobs/query";
    /// Takes a [`super::JobsNamed`] and cancels its jobs.
    pub const JOBS_CANCEL: &str = "/v1/jobs/cancel";
    /// Takes the name of a target and starts its planned stop.
    pub const DRAIN: &str = "/v1/drain";
}

/// Everything that an entry knows of the fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The entry that answers.
    pub entry: EntryInfo,
    /// The other entries that it knows.
    pub entries: Vec<EntryInfo>,
    /// Who owns which shard.
    pub owners: Vec<ShardOwner>,
    /// The targets, as last announced.
    pub targets: Vec<Announcement>,
    /// What the entry sees of the store.
    #[serde(default)]
    pub store: Option<StoreHealth>,
    /// The shards that the entry owns, and those that it could not take over.
    #[serde(default)]
    pub shards: Vec<ShardStatus>,
    /// Checks of the promises in this process.
    #[serde(default)]
    pub promises: Vec<PromiseStatus>,
}

/// What an entry sees of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreHealth {
    /// Whether the last call was answered.
    pub is_reachable: bool,
    /// Milliseconds since the last answer; `None` where there was none.
    pub answered_ms_ago: Option<u64>,
}

/// A shard as its owner sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// The pool whose jobs it holds.
    pub pool: PoolName,
    /// Jobs that wait.
    pub queued: u64,
    /// Tasks that run.
    pub running: u64,
    /// Workers that get no more than a probe, with the reason.
    pub quarantined: Vec<(WorkerId, Name)>,
    /// Why this entry could not take the shard over: a record that it cannot read.
    #[serde(default)]
    pub stuck: Option<Name>,
}

/// How often a promise was checked and found broken.
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

/// A submission; what is left out comes from the route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRequest {
    /// The route.
    pub route: RouteName,
    /// The caller's key: the same key is the same job.
    pub key: JobKey,
    /// The team that the job counts against.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// The key of a job that must be finished first.
    #[serde(default)]
    pub after: Option<JobKey>,
    /// What the job asks for.
    #[serde(default)]
    pub resources: Option<Resources>,
    /// How long it is expected to run undisturbed.
    #[serde(default)]
    pub run_time: Option<Duration>,
    /// The job's own data, opaque to us.
    #[serde(default = "no_payload")]
    pub payload: Name,
}

/// Jobs of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobsNamed {
    /// The pool.
    pub pool: PoolName,
    /// The jobs.
    pub jobs: Vec<JobRef>,
}

fn no_payload() -> Name {
    "".into()
}
