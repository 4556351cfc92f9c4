//! Messages between the system's own processes, over JSON-RPC.

mod api;
mod batch;
mod http;
mod member;

pub use api::{CompanionApiClient, CompanionApiServer, EntryApiClient, EntryApiServer};
pub use batch::{
    DoneAck, DoneReport, JobPhase, JobRef, JobSpec, JobStatus, Keep, Order, Poll, PollAnswer,
    PollReply, RunningTask, SubmitReply, TaskEnd,
};
pub use http::{Outcome, header};
pub use member::{
    AnnounceReply, Announcement, EntryInfo, Gossip, RevokeReply, ShardOwner, TargetState,
};
