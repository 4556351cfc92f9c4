//! The stored records of jobs and workers.

use base::prelude::*;
use blame::Evidence;
use inherit::Holding;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, JobState, RouteRef, RouteTerms, TaskId};

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
    /// The address of its route; missing in records of earlier versions.
    pub address: Option<RouteAddress>,
}

impl JobRecord {
    /// Decodes a record; those of earlier versions end before [`JobRecord::address`], and earlier versions
    /// ignore what follows.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] with the key if the bytes are not a record.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Self> {
        #[derive(Deserialize)]
        struct WithoutAddress {
            spec: JobSpec,
            terms: RouteTerms,
            accepted_unix_ms: u64,
        }
        decode(key, bytes).or_else(|_| {
            let record: WithoutAddress = decode(key, bytes)?;
            Ok(Self {
                spec: record.spec,
                terms: record.terms,
                accepted_unix_ms: record.accepted_unix_ms,
                address: None,
            })
        })
    }

    /// Returns true if requests for `route` can name the job: callers know a route by its address,
    /// whatever name operators give it. Jobs of earlier versions are known by the route's name only.
    pub fn is_of(&self, route: &RouteRef) -> bool {
        match &self.address {
            Some(address) => *address == route.address,
            None => self.terms.route == route.name,
        }
    }

    /// Returns the address of its route, or the route's name in its place in records of earlier versions.
    pub fn address_or_name(&self) -> RouteAddress {
        let name = || RouteAddress::from(self.terms.route.as_str());
        self.address.clone().unwrap_or_else(name)
    }
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
    /// Missing in the first version's records.
    pub faults: Faults,
    /// The highest number that is reserved for runs of its tasks, besides those of its owners' epochs;
    /// missing in earlier versions' records.
    pub last_run: Attempt,
}

/// The crashes of workers under a job's tasks, and why the job failed.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Faults {
    /// The evidence against its tasks, by position.
    pub evidence: Vec<(u32, Vec<Evidence>)>,
    /// Why it failed.
    pub cause: Option<Name>,
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
    /// When the incarnation started, in milliseconds since the Unix epoch; 0 if `holding` lists
    /// tasks, so that an earlier version writes a record of its own before it starts others.
    #[serde(rename = "born")]
    pub incarnation: Incarnation,
    /// The tasks that may run there; missing in records of earlier versions.
    pub holding: Holding<TaskId>,
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

/// Decodes a job's progress; records of earlier versions end before [`Progress::last_run`] or
/// [`Progress::faults`], and earlier versions ignore what follows.
pub(crate) fn decode_progress(key: &str, bytes: &[u8]) -> Result<Progress> {
    #[derive(Deserialize)]
    struct WithoutFaults {
        state: JobState,
        tasks: Vec<(u32, TaskProgress)>,
        ended_unix_ms: Option<u64>,
    }
    #[derive(Deserialize)]
    struct WithoutLastRun {
        before: WithoutFaults,
        faults: Faults,
    }
    let first_version = |_| {
        let before: WithoutFaults = decode(key, bytes)?;
        let faults = Faults::default();
        Ok(WithoutLastRun { before, faults })
    };
    decode(key, bytes).or_else(|_| {
        let WithoutLastRun { before, faults } = decode(key, bytes).or_else(first_version)?;
        Ok(Progress {
            state: before.state,
            tasks: before.tasks,
            ended_unix_ms: before.ended_unix_ms,
            faults,
            last_run: Attempt::default(),
        })
    })
}

/// Decodes a worker's record; records of earlier versions end before [`WorkerRecord::holding`], and
/// earlier versions ignore what follows.
pub(crate) fn decode_worker(key: &str, bytes: &[u8]) -> Result<WorkerRecord> {
    #[derive(Deserialize)]
    struct WithoutHolding {
        id: WorkerId,
        incarnation: Incarnation,
    }
    decode(key, bytes).or_else(|_| {
        let record: WithoutHolding = decode(key, bytes)?;
        Ok(WorkerRecord {
            id: record.id,
            incarnation: record.incarnation,
            holding: Holding::Any,
        })
    })
}
