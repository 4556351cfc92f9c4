//! Events that the actors of an entry receive from outside.

use base::prelude::*;
use ports::store::StoreReply;
use route::{AttemptEnd, RequestMeta, RequestStep};
use tables::TablesDoc;
use wire::operator::{Status, StoreHealth};
use wire::{
    AnnounceReply, Announcement, CallResponse, CallToken, Claim, ClaimReply, Component, DoneAck,
    DoneReport, Gossip, JobRef, JobSpec, JobStatus, Poll, PollReply, Responder, SubmitReply,
};

use crate::shard::ShardsView;

/// Matches the reply of a store call to the component that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreToken {
    /// The component.
    pub component: Component,
    /// The component's own id for the call.
    pub id: u64,
}

/// Something that happened outside the actors.
#[derive(Debug)]
pub enum Event {
    /// A companion announces itself.
    Announce(Box<Announcement>, Responder<AnnounceReply>),
    /// A companion polls for work.
    Poll(Box<Poll>, Responder<PollReply>),
    /// A companion reports ended tasks.
    Done(DoneReport, Responder<DoneAck>),
    /// Another entry sends its view of the fleet.
    Gossip(Box<Gossip>, Responder<Gossip>),
    /// Another entry forwards a submission.
    Submit(ShardId, Box<JobSpec>, Responder<SubmitReply>),
    /// Another entry asks for a job.
    Job(ShardId, JobRef, Responder<Option<JobStatus>>),
    /// Another entry forwards a cancellation.
    Cancel(ShardId, Vec<JobRef>, Responder<Vec<JobStatus>>),
    /// Another entry forwards a claim.
    Claim(
        ShardId,
        Box<Claim>,
        Option<Box<Claim>>,
        Responder<ClaimReply>,
    ),
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
    Admit(RequestMeta, Responder<RequestStep>),
    /// The attempt that the last step asked for ended.
    Ended(RequestId, AttemptEnd, Responder<RequestStep>),
    /// The complete response arrived, and the request's thread passes it on.
    Answered(RequestId, AttemptEnd),
}

/// A call of a caller or operator that the actors answer themselves.
#[derive(Debug)]
pub enum AdminEvent {
    /// Submits a job; the pool decides the shard.
    Submit(Box<JobSpec>, Responder<SubmitReply>),
    /// Asks for a job.
    Job(PoolName, JobRef, Responder<Option<JobStatus>>),
    /// Cancels jobs.
    Cancel(PoolName, Vec<JobRef>, Responder<Vec<JobStatus>>),
    /// Asks for the tables in force here.
    Tables(Responder<Option<TablesDoc>>),
    /// Asks for the shards owned here and removes their ended jobs, so that each is counted once.
    Shards(Responder<ShardsView>),
    /// Asks whether this entry can route requests and is not stopping.
    Ready(Responder<bool>),
    /// Starts the planned stop of a target; replies whether the target is known.
    Drain(TargetId, Responder<bool>),
    /// Asks for the health of the store, as this entry sees it.
    StoreHealth(Responder<StoreHealth>),
    /// Asks for this entry's view of the fleet.
    Status(Responder<Status>),
}
