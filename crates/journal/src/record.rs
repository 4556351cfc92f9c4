//! Records of the log and their encoding.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use wire::{Claim, JobSpec, TaskEnd};

/// One immutable record of a shard's log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The writer's term.
    pub epoch: Epoch,
    /// The record's place in the log.
    pub seq: Seq,
    /// Who wrote it.
    pub writer: EntryId,
    /// Tells the writer's own record from another's, to resolve a lost answer.
    pub nonce: Nonce,
    /// What it says.
    pub body: RecordBody,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RecordBody {
    /// A new owner begins; records of lower terms behind this one are void.
    Barrier,
    /// Changes committed together.
    Changes(Vec<Change>),
}

/// A committed change of a shard.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// A job was submitted.
    Submitted {
        /// The job.
        job: JobId,
        /// What was submitted.
        spec: Box<JobSpec>,
        /// When, in milliseconds since 1970.
        at_ms: u64,
    },
    /// A task was given to a worker.
    Assigned {
        /// The job and its new attempt.
        key: TaskKey,
        /// The worker.
        worker: WorkerId,
        /// What it was granted.
        granted: Resources,
    },
    /// A task ended, by its worker's own word.
    Ended {
        /// The job and attempt.
        key: TaskKey,
        /// How.
        end: TaskEnd,
    },
    /// A task's worker was silent until the task must have stopped by itself.
    Lost {
        /// The job and attempt.
        key: TaskKey,
    },
    /// A job was cancelled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// An idempotency key was claimed, or its claim moved.
    Claimed {
        /// Where the request was sent.
        claim: Box<Claim>,
        /// When, in milliseconds since 1970.
        at_ms: u64,
    },
    /// The time of day at which the record was written; what is past its time is dropped.
    Clock {
        /// In milliseconds since 1970.
        at_ms: u64,
    },
    /// How long an owner may keep tasks after its lease ended and the store is out of reach.
    Grace {
        /// The time from the end of the lease.
        grace: Duration,
    },
    /// The owner gives the shard up: it keeps no task after this record.
    HandedOver,
    /// A queued job can never run, for the reason given.
    Abandoned {
        /// The job.
        job: JobId,
        /// Why, for a person.
        reason: Name,
    },
}

impl Change {
    /// Returns the size of the encoded change, in bytes.
    pub fn encoded_len(&self) -> usize {
        // What cannot be encoded is larger than any bound.
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

impl Record {
    /// The version of the encoding that this program writes.
    pub const VERSION: u16 = 1;

    /// Encodes the record, its version first.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] where the library cannot encode it.
    pub fn encode(&self) -> Result<Arc<[u8]>> {
        let buf = Self::VERSION.to_le_bytes().to_vec();
        let buf = postcard::to_extend(self, buf)
            .map_err(|e| Error::new(ErrorKind::Internal, "encode record", "log", e.to_string()))?;
        Ok(buf.into())
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] for an unknown version or unreadable bytes.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        let malformed =
            |message: String| Error::new(ErrorKind::Malformed, "decode record", "log", message);
        let Some((version, rest)) = buf.split_first_chunk::<2>() else {
            return Err(malformed("too short to hold a version".to_owned()));
        };
        let version = u16::from_le_bytes(*version);
        if version != Self::VERSION {
            return Err(malformed(format!(
                "version {version} is not known to this program"
            )));
        }
        postcard::from_bytes(rest).map_err(|e| malformed(e.to_string()))
    }
}
