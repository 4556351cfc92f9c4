//! The calls themselves.

use base::prelude::*;
use jobs::owner::Replacement;
use jobs::report::{SyncReply, SyncReport};
use jobs::{JobReply, JobRequest};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use tables::TablesDoc;

use crate::{
    AnnounceReply, Announcement, Claim, ClaimReply, DoneAck, DoneReport, Gossip, JobRef, JobSpec,
    JobStatus, Poll, PollReply, RevokeReply, SubmitReply,
};

/// Calls that an entry takes from companions and other entries.
#[rpc(server, client, namespace = "entry")]
pub trait EntryApi {
    /// Takes a companion's announcement.
    #[method(name = "announce")]
    async fn announce(&self, msg: Announcement) -> RpcResult<AnnounceReply>;

    /// Holds a companion's poll until there is something to say or its wait ends.
    #[method(name = "poll")]
    async fn poll(&self, msg: Poll) -> RpcResult<PollReply>;

    /// Takes a companion's report of ended tasks; answers once they are committed.
    #[method(name = "done")]
    async fn done(&self, msg: DoneReport) -> RpcResult<DoneAck>;

    /// Exchanges what two entries know.
    #[method(name = "gossip")]
    async fn gossip(&self, msg: Gossip) -> RpcResult<Gossip>;

    /// Submits a job to the owner of its shard.
    #[method(name = "submit")]
    async fn submit(&self, shard: ShardId, job: JobSpec) -> RpcResult<SubmitReply>;

    /// Returns a job's status from the owner of its shard; `None` if it is unknown there.
    #[method(name = "job")]
    async fn job(&self, shard: ShardId, job: JobRef) -> RpcResult<Option<JobStatus>>;

    /// Cancels jobs; answers once committed, with those that are known.
    #[method(name = "cancel")]
    async fn cancel(&self, shard: ShardId, jobs: Vec<JobRef>) -> RpcResult<Vec<JobStatus>>;

    /// Claims an idempotency key, or moves a claim that `replaces` still describes.
    #[method(name = "claim")]
    async fn claim(
        &self,
        shard: ShardId,
        claim: Claim,
        replaces: Option<Claim>,
    ) -> RpcResult<ClaimReply>;
}

/// Calls that a companion takes from entries and operators.
#[rpc(server, client, namespace = "companion")]
pub trait CompanionApi {
    /// Makes sure that a request never starts here, unless it has.
    #[method(name = "revoke")]
    async fn revoke(
        &self,
        request: RequestId,
        incarnation: Incarnation,
        uptime: Duration,
    ) -> RpcResult<RevokeReply>;

    /// Returns the tables that the companion applies, for an entry that can't read the store.
    #[method(name = "tables")]
    async fn tables(&self) -> RpcResult<Option<TablesDoc>>;

    /// Starts a planned stop of the target: no new work, finish what is in progress.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}

/// Calls that the owner of the jobs takes.
#[rpc(server, client, namespace = "owner")]
pub trait OwnerApi {
    /// Takes a companion's report, and holds it until there is something to answer.
    #[method(name = "sync")]
    async fn sync(&self, report: SyncReport) -> RpcResult<SyncReply>;

    /// Takes what a caller of another entry asks.
    #[method(name = "ask")]
    async fn ask(&self, ask: JobRequest) -> RpcResult<JobReply>;

    /// Tells an owner that another has taken over, in case it cannot read that in the store.
    #[method(name = "replaced")]
    async fn replaced(&self, by: Replacement) -> RpcResult<()>;
}
