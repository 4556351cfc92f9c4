//! Messages between the system's own processes, over JSON-RPC.

mod api;
mod auth;
mod batch;
mod call;
mod client;
pub mod hop;
mod http;
mod member;
pub mod operator;
mod owner_client;
mod pool;
mod stall;
pub mod timing;

pub use api::{
    CompanionApiClient, CompanionApiServer, EntryApiClient, EntryApiServer, OwnerApiClient,
    OwnerApiServer,
};
pub use auth::{Token, TokenFlags, TokenLayer, TokenService, token_flags};
pub use batch::{
    Claim, ClaimReply, DoneAck, DoneReport, JobPhase, JobRef, JobSpec, JobStatus, Order, Poll,
    PollOutcome, PollReply, Renewal, RunningTask, SubmitReply, TaskEnd, shard_of_pool,
};
pub use call::{Call, CallPort, CallResponse, CallToken, Component, Responder};
pub use client::{Client, ClientCfg, STOPPING_CODE};
pub use http::{Outcome, header, priority_of, priority_text};
pub use member::{
    AnnounceReply, Announcement, EntryInfo, Gossip, HeardTarget, RevokeReply, ShardOwner,
    TargetState,
};
pub use owner_client::OwnerClient;
pub use pool::HttpPool;
pub use stall::serve_stalled_connections;
