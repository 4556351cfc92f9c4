//! Control calls as values, so that the actors need no sockets or threads.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use tables::TablesDoc;

use crate::{
    AnnounceReply, Announcement, Claim, ClaimReply, DoneAck, DoneReport, Gossip, JobRef, JobSpec,
    JobStatus, Poll, PollReply, RevokeReply, SubmitReply,
};

/// A component of a process that makes calls and handles their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Component {
    /// Request routing.
    Request,
    /// Membership.
    Member,
    /// Distribution of the configuration tables.
    Config,
    /// Batch work: the shards of an entry, or the tasks of a companion's worker.
    Batch,
}

/// Matches the response of a call to the component that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallToken {
    /// The component that made the call.
    pub component: Component,
    /// The number of the call, unique within the component.
    pub id: u64,
}

/// A control call to another process of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Companion to entry.
    Announce(Box<Announcement>),
    /// Companion to entry; a long poll of up to the poll's wait.
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

/// The response to the [`Call`] of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResponse {
    /// Response to an announcement.
    Announce(Box<AnnounceReply>),
    /// Response to a poll.
    Poll(Box<PollReply>),
    /// Response to a report of ended tasks.
    Done(DoneAck),
    /// Response to gossip.
    Gossip(Box<Gossip>),
    /// Response to a submission.
    Submit(SubmitReply),
    /// Response to a job lookup.
    Job(Option<JobStatus>),
    /// Response to a cancellation.
    Cancel(Vec<JobStatus>),
    /// Response to a claim.
    Claim(ClaimReply),
    /// Response to a revocation.
    Revoke(RevokeReply),
    /// Response to a drain.
    Drain,
    /// Response to a request for the configuration tables.
    Tables(Option<Box<TablesDoc>>),
}

/// The port through which actors call other processes.
///
/// Submitting a call does not block. Each call produces exactly one event, which carries the call's
/// token and either the response or an error.
pub trait CallPort: Send + Sync + fmt::Debug {
    /// Sends a call that fails with [`ErrorKind::Timeout`] after `timeout`.
    fn submit(&self, to: SocketAddr, token: CallToken, timeout: Duration, call: Call);
}

/// The reply channel of an incoming call.
pub struct Responder<T>(Box<dyn FnOnce(T) + Send>);

impl<T> Responder<T> {
    /// Creates a responder that passes the reply to `f`.
    pub fn new(f: impl FnOnce(T) + Send + 'static) -> Self {
        Self(Box::new(f))
    }

    /// Sends the reply.
    pub fn send(self, reply: T) {
        (self.0)(reply);
    }
}

impl<T> fmt::Debug for Responder<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Reply")
    }
}
