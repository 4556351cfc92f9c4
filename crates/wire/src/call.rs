//! The calls as values, so that decisions stay free of sockets and threads.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use tables::TablesDoc;

use crate::{
    AnnounceReply, Announcement, Claim, ClaimReply, DoneAck, DoneReport, Gossip, JobRef, JobSpec,
    JobStatus, Poll, PollReply, RevokeReply, SubmitReply,
};

/// A part of a process that makes calls and takes their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Part {
    /// Requests.
    Request,
    /// Membership.
    Member,
    /// The tables in force.
    Config,
    /// Shards, or the tasks of a worker.
    Batch,
}

/// Matches the answer of a call to the part that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallToken {
    /// The part.
    pub part: Part,
    /// The part's own number of the call.
    pub id: u64,
}

/// A control call to another of the system's processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Companion to entry.
    Announce(Box<Announcement>),
    /// Companion to entry, held up to the poll's wait.
    Poll(Box<Poll>),
    /// Companion to entry.
    Done(DoneReport),
    /// Entry to entry.
    Gossip(Box<Gossip>),
    /// Entry to the owner of a shard.
    Submit(ShardId, Box<JobSpec>),
    /// Entry to the owner of a shard.
    Job(ShardId, JobRef),
    /// Entry to the owner of a shard.
    Cancel(ShardId, Vec<JobRef>),
    /// Entry to the owner of a shard.
    Claim(ShardId, Box<Claim>, Option<Box<Claim>>),
    /// Entry to companion.
    Revoke(RequestId, Incarnation, Duration),
    /// Entry to companion.
    Drain,
    /// Entry to companion.
    Tables,
}

/// The answer to a [`Call`] of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Answers an announcement.
    Announce(Box<AnnounceReply>),
    /// Answers a poll.
    Poll(Box<PollReply>),
    /// Answers a report of ended tasks.
    Done(DoneAck),
    /// Answers gossip.
    Gossip(Box<Gossip>),
    /// Answers a submission.
    Submit(SubmitReply),
    /// Answers a question for a job.
    Job(Option<JobStatus>),
    /// Answers a cancellation.
    Cancel(Vec<JobStatus>),
    /// Answers a claim.
    Claim(ClaimReply),
    /// Answers a revocation.
    Revoke(RevokeReply),
    /// Answers a drain.
    Drain,
    /// Answers a question for the tables.
    Tables(Option<Box<TablesDoc>>),
}

/// The port through which decisions call other processes.
///
/// A call returns at once. Its answer, or the error that took its place, comes
/// back as an event that carries the token; exactly one comes for each call.
pub trait CallPort: Send + Sync + fmt::Debug {
    /// Sends a call that is given up after `timeout`.
    fn submit(&self, to: SocketAddr, token: CallToken, timeout: Duration, call: Call);
}

/// The way back for the answer to an incoming call.
pub struct Reply<T>(Box<dyn FnOnce(T) + Send>);

impl<T> Reply<T> {
    /// Creates a reply from what takes the answer.
    pub fn new(f: impl FnOnce(T) + Send + 'static) -> Self {
        Self(Box::new(f))
    }

    /// Sends the answer.
    pub fn send(self, answer: T) {
        (self.0)(answer);
    }
}

impl<T> fmt::Debug for Reply<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Reply")
    }
}
