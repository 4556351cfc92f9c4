//! What reaches the actors of an entry from outside.

use base::prelude::*;
use ports::store::StoreReply;
use route::{AttemptEnd, RequestMeta, RequestStep};
use tables::TablesDoc;
use wire::operator::{Status, StoreHealth};
use wire::{
    AnnounceReply, Announcement, Answer, CallToken, Claim, ClaimReply, DoneAck, DoneReport, Gossip,
    JobRef, JobSpec, JobStatus, Part, Poll, PollReply, Reply, SubmitReply,
};

use crate::shard::ShardsView;

/// Matches the reply of a store call to the part that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreToken {
    /// The part.
    pub part: Part,
    /// The part's own number of the call.
    pub id: u64,
}

/// Something that happened outside the actors.
#[derive(Debug)]
pub enum Event {
    /// A companion announces itself.
    Announce(Box<Announcement>, Reply<AnnounceReply>),
    /// A companion polls for work.
    Poll(Box<Poll>, Reply<PollReply>),
    /// A companion reports ended tasks.
    Done(DoneReport, Reply<DoneAck>),
    /// Another entry tells what it knows.
    Gossip(Box<Gossip>, Reply<Gossip>),
    /// Another entry forwards a submission.
    Submit(ShardId, Box<JobSpec>, Reply<SubmitReply>),
    /// Another entry asks for a job.
    Job(ShardId, JobRef, Reply<Option<JobStatus>>),
    /// Another entry forwards a cancellation.
    Cancel(ShardId, Vec<JobRef>, Reply<Vec<JobStatus>>),
    /// Another entry forwards a claim.
    Claim(ShardId, Box<Claim>, Option<Box<Claim>>, Reply<ClaimReply>),
    /// The store replied.
    Store(StoreToken, Result<StoreReply>),
    /// A process that we called answered.
    Call(CallToken, Result<Answer>),
    /// A request of a caller makes progress.
    Request(RequestEvent),
    /// A caller or operator asks for something other than a target's answer.
    Admin(AdminEvent),
    /// A planned stop begins.
    Stop,
}

/// Progress of a request.
#[derive(Debug)]
pub enum RequestEvent {
    /// A request came in.
    Admit(RequestMeta, Reply<RequestStep>),
    /// The attempt that the last step asked for ended.
    Ended(RequestId, AttemptEnd, Reply<RequestStep>),
    /// The whole answer arrived, and its thread passes it on.
    Answered(RequestId, AttemptEnd),
}

/// A call of a caller or operator that the actors answer themselves.
#[derive(Debug)]
pub enum AdminEvent {
    /// Submits a job; the pool decides the shard.
    Submit(Box<JobSpec>, Reply<SubmitReply>),
    /// Asks for a job.
    Job(PoolName, JobRef, Reply<Option<JobStatus>>),
    /// Cancels jobs.
    Cancel(PoolName, Vec<JobRef>, Reply<Vec<JobStatus>>),
    /// Asks for the tables in force here.
    Tables(Reply<Option<TablesDoc>>),
    /// Asks for the shards owned here and takes over the ends of their jobs.
    Shards(Reply<ShardsView>),
    /// Asks whether this entry can route requests, and goes on to.
    Ready(Reply<bool>),
    /// Starts the planned stop of a target; tells whether the target is known.
    Drain(TargetId, Reply<bool>),
    /// Asks for what this entry sees of the store.
    StoreHealth(Reply<StoreHealth>),
    /// Asks for everything this entry knows of the fleet.
    Status(Reply<Status>),
}
