//! The server of control calls, which turns each call into an event and returns the reply.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::Sender;
use host::RpcLimits;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::ServerHandle;
use wire::{
    AnnounceReply, Announcement, Claim, ClaimReply, DoneAck, DoneReport, EntryApiServer, Gossip,
    JobRef, JobSpec, JobStatus, Poll, PollReply, Responder, SubmitReply, Token,
};

use crate::event::Event;

/// The largest control message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// How many control connections may be open at once.
const MAX_CONNECTIONS: u32 = 4_096;

/// Hands control calls to the actors.
struct Rpc {
    events: Sender<Event>,
}

impl Rpc {
    /// Sends an event that carries a reply channel, and waits for the reply.
    async fn ask<T: Send + 'static>(
        &self,
        event: impl FnOnce(Responder<T>) -> Event,
    ) -> RpcResult<T> {
        host::call_actors(&self.events, event).await
    }
}

#[async_trait]
impl EntryApiServer for Rpc {
    async fn announce(&self, msg: Announcement) -> RpcResult<AnnounceReply> {
        self.ask(|reply| Event::Announce(Box::new(msg), reply))
            .await
    }

    async fn poll(&self, msg: Poll) -> RpcResult<PollReply> {
        self.ask(|reply| Event::Poll(Box::new(msg), reply)).await
    }

    async fn done(&self, msg: DoneReport) -> RpcResult<DoneAck> {
        self.ask(|reply| Event::Done(msg, reply)).await
    }

    async fn gossip(&self, msg: Gossip) -> RpcResult<Gossip> {
        self.ask(|reply| Event::Gossip(Box::new(msg), reply)).await
    }

    async fn submit(&self, shard: ShardId, job: JobSpec) -> RpcResult<SubmitReply> {
        self.ask(|reply| Event::Submit(shard, Box::new(job), reply))
            .await
    }

    async fn job(&self, shard: ShardId, job: JobRef) -> RpcResult<Option<JobStatus>> {
        self.ask(|reply| Event::Job(shard, job, reply)).await
    }

    async fn cancel(&self, shard: ShardId, jobs: Vec<JobRef>) -> RpcResult<Vec<JobStatus>> {
        self.ask(|reply| Event::Cancel(shard, jobs, reply)).await
    }

    async fn claim(
        &self,
        shard: ShardId,
        claim: Claim,
        replaces: Option<Claim>,
    ) -> RpcResult<ClaimReply> {
        let replaces = replaces.map(Box::new);
        self.ask(|reply| Event::Claim(shard, Box::new(claim), replaces, reply))
            .await
    }
}

/// Starts the server; returns the address it is bound to.
pub(crate) async fn serve(
    addr: SocketAddr,
    events: Sender<Event>,
    token: Option<Token>,
) -> Result<(SocketAddr, ServerHandle)> {
    let limits = RpcLimits {
        message_bytes: MAX_MESSAGE_BYTES,
        connections: MAX_CONNECTIONS,
    };
    host::serve_rpc(addr, limits, token, Rpc { events }.into_rpc()).await
}
