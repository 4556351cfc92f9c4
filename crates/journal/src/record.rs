//! Records of the log and their encoding.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use wire::{Claim, JobSpec, TaskEnd};

/// One immutable record of a shard's log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The writer's epoch.
    pub epoch: Epoch,
    /// The record's sequence number in the log.
    pub seq: Seq,
    /// The entry that wrote it.
    pub writer: EntryId,
    /// Identifies the writer's own record, to resolve a lost reply.
    pub nonce: Nonce,
    /// The contents.
    pub body: RecordBody,
}

/// The contents of a record.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RecordBody {
    /// A new owner took over; later records of lower epochs are void.
    Barrier,
    /// Changes that were committed together.
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
        /// The submitted job.
        spec: Box<JobSpec>,
        /// The time of submission, in milliseconds since 1970.
        at_ms: u64,
    },
    /// A task was assigned to a worker.
    Assigned {
        /// The job and its new attempt.
        key: TaskKey,
        /// The worker.
        worker: WorkerId,
        /// The granted resources.
        granted: Resources,
    },
    /// A task ended, as its worker reported.
    Ended {
        /// The job and attempt.
        key: TaskKey,
        /// How it ended.
        end: TaskEnd,
    },
    /// A task's worker was unresponsive for so long that the task must have stopped by itself.
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
        /// The claim, which names where the request was sent.
        claim: Box<Claim>,
        /// The time of the claim, in milliseconds since 1970.
        at_ms: u64,
    },
    /// The wall time at which the record was written; drops what is past its retention.
    Clock {
        /// The time, in milliseconds since 1970.
        at_ms: u64,
    },
    /// How long an owner may keep tasks after its lease expired while the store is unreachable.
    Grace {
        /// The length of this period, counted from the expiry of the lease.
        grace: Duration,
    },
    /// The owner has resigned. Neither it nor a previous owner keeps tasks running after this
    /// record, so the next owner need not wait for the grace period.
    HandedOver,
    /// A queued job can never run, for the reason given.
    Abandoned {
        /// The job.
        job: JobId,
        /// The reason, for people to read.
        reason: Name,
    },
}

impl Change {
    /// Returns the size of the encoded change, in bytes.
    pub fn encoded_len(&self) -> usize {
        // A change that cannot be encoded counts as larger than any limit.
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

impl Record {
    /// The version of the encoding.
    pub const VERSION: u16 = 1;

    /// Encodes the record, prefixed with the version.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the record cannot be encoded.
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
    /// Returns [`ErrorKind::Malformed`] for an unknown version or invalid bytes.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        let malformed =
            |message: String| Error::new(ErrorKind::Malformed, "decode record", "log", message);
        let Some((version, rest)) = buf.split_first_chunk::<2>() else {
            return Err(malformed("too short to hold a version".to_owned()));
        };
        let version = u16::from_le_bytes(*version);
        if version != Self::VERSION {
            return Err(malformed(format!("unsupported version {version}")));
        }
        postcard::from_bytes(rest).map_err(|e| malformed(e.to_string()))
    }
}
