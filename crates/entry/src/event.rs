//! Events that the actors of an entry receive from outside.

use base::prelude::*;
use ports::store::StoreReply;
use route::{AttemptEnd, RequestMeta, RequestStep};
use tables::TablesDoc;
use wire::operator::{Status, StoreHealth};
use wire::{
    AnnounceReply, Announcement, CallResponse, CallToken, Claim, ClaimReply, DoneAck, DoneReport,
    Gossip, JobRef, JobSpec, JobStatus, Part, Poll, PollReply, Reply, SubmitReply,
};

use crate::shard::ShardsView;

/// Matches the reply of a store call to the part that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreToken {
    /// The part.
    pub part: Part,
    /// The part's own id for the call.
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
    /// Another entry sends its view of the fleet.
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
    /// Another process responded to a control call, or the call failed.
    Call(CallToken, Result<CallResponse>),
    /// A request of a caller makes progress.
    Request(RequestEvent),
    /// A caller or operator makes a call that the actors answer themselves.
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
    /// The complete response arrived, and the request's thread passes it on.
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
    /// Asks for the shards owned here and removes their ended jobs, so that each is counted once.
    Shards(Reply<ShardsView>),
    /// Asks whether this entry can route requests and is not stopping.
    Ready(Reply<bool>),
    /// Starts the planned stop of a target; replies whether the target is known.
    Drain(TargetId, Reply<bool>),
    /// Asks for the health of the store, as this entry sees it.
    StoreHealth(Reply<StoreHealth>),
    /// Asks for this entry's view of the fleet.
    Status(Reply<Status>),
}
