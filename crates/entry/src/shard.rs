//! The actor that owns shards: it commits changes, places jobs and answers workers' long polls.

mod forward;
mod owned;
mod view;

use base::prelude::*;
use journal::OwnerCfg;
use ports::store::StoreReply;
use slog::info;
use stakker::{CX, after};
use tables::Tables;
use wire::{
    CallResponse, Claim, ClaimReply, DoneAck, DoneReport, JobRef, JobSpec, JobStatus, Poll,
    PollOutcome, PollReply, Responder, ShardOwner, SubmitReply, shard_of_pool,
};

use self::forward::ForwardedReply;
use self::owned::Shard;
pub use self::view::{EndedJob, ShardsView};
use crate::EntryCfg;
use crate::ports::Ports;

/// Interval between ticks of the shards.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before this entry claims a shard without an owner, for each shard that it owns already.
///
/// It leaves the shard to entries that own fewer.
const CLAIM_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of owned shards that add to the claim delay.
///
/// The delay is bounded because running tasks must outlast the change of owner.
const MAX_CLAIM_DELAY_SHARDS: u32 = 5;

/// The shards that this entry owns or stands by for.
pub(crate) struct ShardActor {
    cfg: Arc<EntryCfg>,
    ports: Ports,
    seed: u64,
    shards: IndexMap<ShardId, Shard>,
    owners: IndexMap<ShardId, ShardOwner>,
    /// Store calls in flight, by the id in their token.
    store_calls: IndexMap<u64, PendingStoreCall>,
    forwarded: IndexMap<u64, ForwardedReply>,
    next_id: u64,
    is_stopping: bool,
}

/// A store call in flight: the shard that made it, and the shard's own id for it.
#[derive(Clone, Copy, Debug)]
struct PendingStoreCall {
    shard: ShardId,
    id: u64,
}

impl ShardActor {
    pub(crate) fn init(cx: CX![], cfg: Arc<EntryCfg>, ports: Ports, seed: u64) -> Option<Self> {
        let this = Self {
            cfg,
            ports,
            seed,
            shards: IndexMap::new(),
            owners: IndexMap::new(),
            store_calls: IndexMap::new(),
            forwarded: IndexMap::new(),
            next_id: 0,
            is_stopping: false,
        };
        this.schedule_tick(cx);
        Some(this)
    }

    fn schedule_tick(&self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], |this, cx| {
            this.tick(cx.now());
            this.schedule_tick(cx);
        });
    }

    fn tick(&mut self, now: Instant) {
        let owned = self.shards.values().filter(|shard| shard.may_act(now));
        let delay = CLAIM_DELAY * (owned.count() as u32).min(MAX_CLAIM_DELAY_SHARDS);
        for shard in self.shards.values_mut() {
            shard.set_claim_delay(delay);
        }
        for at in 0..self.shards.len() {
            self.shards[at].tick(now);
            self.flush(at);
        }
    }

    /// Submits the store calls that a shard has queued.
    fn flush(&mut self, at: usize) {
        let (&shard, owned) = match self.shards.get_index_mut(at) {
            Some(found) => found,
            None => return,
        };
        for call in owned.take_store_calls() {
            let id = self.next_id;
            self.next_id += 1;
            self.store_calls
                .insert(id, PendingStoreCall { shard, id: call.id });
            self.ports
                .store
                .submit(call.priority, forward::shard_store_token(id), call.call);
        }
    }

    pub(crate) fn set_tables(&mut self, cx: CX![], tables: Arc<Tables>) {
        let now = cx.now();
        for pool in tables.pools.values().filter(|_| !self.is_stopping) {
            let id = shard_of_pool(&pool.name);
            if !self.shards.contains_key(&id) {
                let owner_cfg = self.owner_cfg(id, &pool.name);
                let seed = self.seed ^ u64::from(id.0);
                let shard = Shard::new(
                    owner_cfg,
                    Arc::clone(&self.ports.clock),
                    &self.ports.log,
                    now,
                    seed,
                );
                self.shards.insert(id, shard);
                info!(
                    self.ports.log,
                    "shard: stands by for shard {} of pool {}", id, pool.name
                );
            }
            self.shards[&id].set_pool(now, pool);
        }
    }

    fn owner_cfg(&self, shard: ShardId, pool: &PoolName) -> OwnerCfg {
        OwnerCfg {
            shard,
            pool: pool.clone(),
            entry: self.cfg.entry.clone(),
            rpc_addr: self.cfg.rpc_addr,
            lease_ttl: OwnerCfg::LEASE_TTL,
            drift: OwnerCfg::DRIFT,
            commit_window: OwnerCfg::COMMIT_WINDOW,
            retry_after: OwnerCfg::RETRY_AFTER,
            snapshot_bytes: OwnerCfg::SNAPSHOT_BYTES,
        }
    }

    pub(crate) fn set_owners(&mut self, _cx: CX![], owners: IndexMap<ShardId, ShardOwner>) {
        self.owners = owners;
    }

    pub(crate) fn store_reply(&mut self, cx: CX![], id: u64, reply: Result<StoreReply>) {
        let Some(of) = self.store_calls.swap_remove(&id) else {
            return;
        };
        let Some(at) = self.shards.get_index_of(&of.shard) else {
            return;
        };
        self.shards[at].store_reply(cx.now(), of.id, reply);
        self.flush(at);
    }

    pub(crate) fn poll(&mut self, cx: CX![], msg: Box<Poll>, reply: Responder<PollReply>) {
        let owner = self.owner_addr(msg.shard);
        match self
            .shards
            .get_mut(&msg.shard)
            .filter(|s| s.may_answer_polls(cx.now()))
        {
            Some(shard) => shard.poll(cx.now(), msg, reply),
            None => reply.send(PollReply {
                nonce: msg.nonce,
                answer: PollOutcome::NotOwner { owner },
            }),
        }
    }

    pub(crate) fn done(&mut self, cx: CX![], msg: DoneReport, reply: Responder<DoneAck>) {
        let shard = msg.shard;
        match self.owned(cx.now(), shard) {
            Some(owned) => owned.done(cx.now(), msg, reply),
            None => reply.send(DoneAck::default()),
        }
        self.commit(cx.now(), shard);
    }

    pub(crate) fn submit(
        &mut self,
        cx: CX![],
        shard: ShardId,
        job: Box<JobSpec>,
        reply: Responder<SubmitReply>,
    ) {
        match self.owned(cx.now(), shard) {
            Some(owned) => owned.submit(cx.now(), job, reply),
            None => reply.send(SubmitReply::NotOwner),
        }
        self.commit(cx.now(), shard);
    }

    pub(crate) fn job(
        &mut self,
        cx: CX![],
        shard: ShardId,
        job: JobRef,
        reply: Responder<Option<JobStatus>>,
    ) {
        match self.owned(cx.now(), shard) {
            Some(shard) => reply.send(shard.status(&job)),
            // This entry can't know whether the job exists. Dropping the reply fails the call;
            // `None` would mean that there is no such job.
            None => drop(reply),
        }
    }

    pub(crate) fn cancel(
        &mut self,
        cx: CX![],
        shard: ShardId,
        jobs: Vec<JobRef>,
        reply: Responder<Vec<JobStatus>>,
    ) {
        match self.owned(cx.now(), shard) {
            Some(owned) => owned.cancel(cx.now(), &jobs, reply),
            None => drop(reply),
        }
        self.commit(cx.now(), shard);
    }

    pub(crate) fn claim(
        &mut self,
        cx: CX![],
        shard: ShardId,
        claim: Box<Claim>,
        replaces: Option<Box<Claim>>,
        reply: Responder<ClaimReply>,
    ) {
        match self.owned(cx.now(), shard) {
            Some(owned) => owned.claim(cx.now(), claim, replaces, reply),
            None => reply.send(ClaimReply::NotOwner),
        }
        self.commit(cx.now(), shard);
    }

    /// Returns a shard that this entry owns and may act for.
    fn owned(&mut self, now: Instant, shard: ShardId) -> Option<&mut Shard> {
        self.shards
            .get_mut(&shard)
            .filter(|shard| shard.may_act(now))
    }

    pub(crate) fn call_response(&mut self, cx: CX![], id: u64, response: Result<CallResponse>) {
        self.forward_response(cx.now(), id, response);
    }

    /// Steps down from all shards, committing the proposed changes first.
    pub(crate) fn stop(&mut self, cx: CX![]) {
        self.is_stopping = true;
        for at in 0..self.shards.len() {
            self.shards[at].step_down(cx.now());
            self.flush(at);
        }
    }

    /// Commits the changes that a call proposed, without waiting for the next tick.
    fn commit(&mut self, now: Instant, shard: ShardId) {
        if let Some(at) = self.shards.get_index_of(&shard) {
            self.shards[at].commit(now);
            self.flush(at);
        }
    }
}
