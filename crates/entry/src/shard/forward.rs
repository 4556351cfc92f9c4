//! Calls for shards that another entry owns.

use std::net::SocketAddr;

use base::prelude::*;
use stakker::CX;
use wire::{
    Call, CallResponse, CallToken, Component, JobRef, JobSpec, JobStatus, Responder, SubmitReply,
    shard_of_pool,
};

use super::ShardActor;
use crate::event::StoreToken;

/// How long a forwarded call may take.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);

/// The reply channel of a forwarded call.
#[derive(Debug)]
pub(super) enum ForwardedReply {
    Submit(Responder<SubmitReply>),
    Job(Responder<Option<JobStatus>>),
    Cancel(Responder<Vec<JobStatus>>),
}

/// Returns the token of a shard's store call.
pub(super) fn shard_store_token(id: u64) -> StoreToken {
    StoreToken {
        component: Component::Batch,
        id,
    }
}

impl ShardActor {
    pub(crate) fn submit_or_forward(
        &mut self,
        cx: CX![],
        job: Box<JobSpec>,
        reply: Responder<SubmitReply>,
    ) {
        let shard = shard_of_pool(&job.pool);
        if self.owned(cx.now(), shard).is_some() {
            return self.submit(cx, shard, job, reply);
        }
        match self.owner_addr(shard) {
            Some(to) => self.forward(to, Call::Submit(shard, job), ForwardedReply::Submit(reply)),
            None => reply.send(SubmitReply::Refused {
                reason: "no-owner".into(),
            }),
        }
    }

    pub(crate) fn job_or_forward(
        &mut self,
        cx: CX![],
        pool: PoolName,
        job: JobRef,
        reply: Responder<Option<JobStatus>>,
    ) {
        let shard = shard_of_pool(&pool);
        if self.owned(cx.now(), shard).is_some() {
            return self.job(cx, shard, job, reply);
        }
        match self.owner_addr(shard) {
            Some(to) => self.forward(to, Call::Job(shard, job), ForwardedReply::Job(reply)),
            // Dropping the reply fails the call; `None` would mean that there is no such job.
            None => drop(reply),
        }
    }

    pub(crate) fn cancel_or_forward(
        &mut self,
        cx: CX![],
        pool: PoolName,
        jobs: Vec<JobRef>,
        reply: Responder<Vec<JobStatus>>,
    ) {
        let shard = shard_of_pool(&pool);
        if self.owned(cx.now(), shard).is_some() {
            return self.cancel(cx, shard, jobs, reply);
        }
        match self.owner_addr(shard) {
            Some(to) => self.forward(to, Call::Cancel(shard, jobs), ForwardedReply::Cancel(reply)),
            None => drop(reply),
        }
    }

    /// Returns the control address of the shard's owner, if it is another entry.
    pub(super) fn owner_addr(&self, shard: ShardId) -> Option<SocketAddr> {
        let owner = self.owners.get(&shard)?;
        (owner.entry != self.cfg.entry).then_some(owner.rpc_addr)
    }

    fn forward(&mut self, to: SocketAddr, call: Call, reply: ForwardedReply) {
        let id = self.next_id;
        self.next_id += 1;
        self.forwarded.insert(id, reply);
        let token = CallToken {
            component: Component::Batch,
            id,
        };
        self.ports.calls.submit(to, token, FORWARD_TIMEOUT, call);
    }

    /// Passes the response to a forwarded call on to its caller.
    pub(super) fn forward_response(
        &mut self,
        _now: Instant,
        id: u64,
        response: Result<CallResponse>,
    ) {
        let Some(reply) = self.forwarded.swap_remove(&id) else {
            return;
        };
        match reply {
            ForwardedReply::Submit(reply) => reply.send(submit_reply(response)),
            ForwardedReply::Job(reply) => {
                if let Ok(CallResponse::Job(status)) = response {
                    reply.send(status);
                }
            }
            ForwardedReply::Cancel(reply) => {
                if let Ok(CallResponse::Cancel(jobs)) = response {
                    reply.send(jobs);
                }
            }
        }
    }
}

/// Converts the owner's response to the reply for a submission's caller.
fn submit_reply(response: Result<CallResponse>) -> SubmitReply {
    match response {
        Ok(CallResponse::Submit(SubmitReply::NotOwner)) => SubmitReply::Refused {
            reason: "no-owner".into(),
        },
        Ok(CallResponse::Submit(reply)) => reply,
        Ok(_) => SubmitReply::Unknown,
        Err(e) if e.kind().is_outcome_unknown() => SubmitReply::Unknown,
        Err(_) => SubmitReply::Refused {
            reason: "owner-unreachable".into(),
        },
    }
}
