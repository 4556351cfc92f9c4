//! The JSON-RPC interfaces of entries, companions and the owner.

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

/// Calls that companions and other entries make to an entry.
#[rpc(server, client, namespace = "entry")]
pub trait EntryApi {
    /// Records a companion's announcement.
    #[method(name = "announce")]
    async fn announce(&self, msg: Announcement) -> RpcResult<AnnounceReply>;

    /// Long poll of a companion: returns once there are orders or the poll's wait ends.
    #[method(name = "poll")]
    async fn poll(&self, msg: Poll) -> RpcResult<PollReply>;

    /// Records a companion's report of ended tasks; returns once their ends are committed.
    #[method(name = "done")]
    async fn done(&self, msg: DoneReport) -> RpcResult<DoneAck>;

    /// Exchanges two entries' views of the cluster.
    #[method(name = "gossip")]
    async fn gossip(&self, msg: Gossip) -> RpcResult<Gossip>;

    /// Submits a job to the owner of its shard.
    #[method(name = "submit")]
    async fn submit(&self, shard: ShardId, job: JobSpec) -> RpcResult<SubmitReply>;

    /// Returns a job's status from the owner of its shard; `None` if the job is unknown there.
    #[method(name = "job")]
    async fn job(&self, shard: ShardId, job: JobRef) -> RpcResult<Option<JobStatus>>;

    /// Cancels jobs; returns the status of the known ones once the cancellation is committed.
    #[method(name = "cancel")]
    async fn cancel(&self, shard: ShardId, jobs: Vec<JobRef>) -> RpcResult<Vec<JobStatus>>;

    /// Claims an idempotency key, or replaces its claim if that still equals `replaces`.
    #[method(name = "claim")]
    async fn claim(
        &self,
        shard: ShardId,
        claim: Claim,
        replaces: Option<Claim>,
    ) -> RpcResult<ClaimReply>;
}

/// Calls that entries and operators make to a companion.
#[rpc(server, client, namespace = "companion")]
pub trait CompanionApi {
    /// Prevents a request from ever starting here, unless it has already started.
    #[method(name = "revoke")]
    async fn revoke(
        &self,
        request: RequestId,
        incarnation: Incarnation,
        uptime: Duration,
    ) -> RpcResult<RevokeReply>;

    /// Returns the configuration tables that the companion applies, for an entry that cannot read
    /// the store.
    #[method(name = "tables")]
    async fn tables(&self) -> RpcResult<Option<TablesDoc>>;

    /// Drains the target: it takes no new work and finishes what is in progress.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}

/// Calls that companions and entries make to the owner of the jobs.
#[rpc(server, client, namespace = "owner")]
pub trait OwnerApi {
    /// Long poll of a companion: processes its report and returns once there is something to reply.
    #[method(name = "sync")]
    async fn sync(&self, report: SyncReport) -> RpcResult<SyncReply>;

    /// Handles a caller's request that another entry forwards.
    #[method(name = "ask")]
    async fn ask(&self, #[argument(rename = "ask")] request: JobRequest) -> RpcResult<JobReply>;

    /// Notifies the previous owner that another has taken over, since it may be unable to read the
    /// store itself.
    #[method(name = "replaced")]
    async fn replaced(&self, by: Replacement) -> RpcResult<()>;
}
