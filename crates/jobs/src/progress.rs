//! The stored records of jobs and workers.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, JobState, RouteTerms};

/// An accepted job; immutable.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub spec: JobSpec,
    /// The terms of its route when it was accepted.
    pub terms: RouteTerms,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
}

/// The progress of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Its state.
    pub state: JobState,
    /// Its tasks with progress, by position.
    pub tasks: Vec<(u32, TaskProgress)>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_unix_ms: Option<u64>,
}

/// The progress of a task.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether its work is done.
    pub is_done: bool,
    /// The runs that failed.
    pub failed: Vec<Attempt>,
    /// Its last stored checkpoint.
    pub checkpoint: Option<Name>,
}

/// An incarnation of a worker that may run tasks.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's id.
    pub id: WorkerId,
    /// When the incarnation started, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub incarnation: Incarnation,
}

/// Encodes a record for the store.
pub(crate) fn encode<T: Serialize>(record: &T) -> Result<Arc<[u8]>> {
    postcard::to_stdvec(record)
        .map(Arc::from)
        .map_err(|e| Error::new(ErrorKind::Internal, "encode record", "store", e.to_string()))
}

/// Decodes a record from the store.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(key: &str, bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|e| {
        let message = format!("{key}: {e}");
        Error::new(ErrorKind::Malformed, "decode record", "store", message)
    })
}
