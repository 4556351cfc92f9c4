//! Taking over a shard: lease, owner key, the log, and the barrier.

use base::prelude::*;
use platform::store::{Expect, KeyValue, LeaseId, StoreCall, StoreReply};

use super::{Effect, Owner, OwnerValue, Phase, Purpose};
use crate::{Record, RecordBody, ShardState};

/// How many records one read of the log returns at most.
const READ_PAGE: usize = 64;

impl Owner {
    /// Asks for a lease; the owner key tells whether the shard is free.
    pub(super) fn begin(&mut self, now: Instant) {
        self.state = ShardState::default();
        self.last_seq = Seq(0);
        self.last_epoch = Epoch(0);
        self.phase = Phase::Granting;
        self.call(
            now,
            Purpose::Step,
            StoreCall::LeaseGrant {
                ttl: self.cfg.lease_ttl,
            },
        );
    }

    /// Takes the answer to a step of the take-over.
    pub(super) fn step_done(&mut self, now: Instant, sent: Instant, reply: Result<StoreReply>) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(_) => return self.depose(now),
        };
        match self.phase.clone() {
            Phase::Granting => self.granted(now, sent, &reply),
            Phase::Claiming { lease } => self.claimed(now, lease, &reply),
            Phase::Reading { lease } => self.read(now, lease, reply),
            Phase::Barrier { .. } => self.barrier_done(now, reply),
            Phase::Idle | Phase::Active { .. } | Phase::Stuck => {}
        }
    }

    fn granted(&mut self, now: Instant, sent: Instant, reply: &StoreReply) {
        let StoreReply::Leased { lease, ttl } = *reply else {
            return self.depose(now);
        };
        self.extend_lease(sent, ttl);
        self.phase = Phase::Claiming { lease };
        let call = StoreCall::Put {
            key: self.keys.owner(),
            value: self.owner_value(Epoch(0)),
            expect: Expect::Absent,
            lease: Some(lease),
        };
        self.call(now, Purpose::Step, call);
    }

    fn claimed(&mut self, now: Instant, lease: LeaseId, reply: &StoreReply) {
        let StoreReply::Done { revision } = *reply else {
            self.depose(now);
            return;
        };
        self.owner_revision = revision;
        self.phase = Phase::Reading { lease };
        self.read_page(now);
    }

    fn read_page(&mut self, now: Instant) {
        let after = (self.last_seq > Seq(0)).then(|| self.keys.log(self.last_seq));
        let prefix = self.keys.log_prefix();
        self.call(
            now,
            Purpose::Step,
            StoreCall::List {
                prefix,
                after,
                limit: READ_PAGE,
            },
        );
    }

    fn read(&mut self, now: Instant, lease: LeaseId, reply: StoreReply) {
        let StoreReply::Listed(page) = reply else {
            return self.depose(now);
        };
        let is_last = page.len() < READ_PAGE;
        for kv in &page {
            if let Err(e) = self.apply_record(kv) {
                self.phase = Phase::Stuck;
                self.effects.push(Effect::Stuck(e));
                return;
            }
        }
        if !is_last {
            return self.read_page(now);
        }
        let epoch = self.last_epoch.next();
        let nonce = self.draw_nonce();
        self.phase = Phase::Barrier {
            lease,
            epoch,
            nonce,
        };
        self.write_barrier(now, epoch, nonce);
    }

    /// Applies a record read from the log, unless a barrier made it void.
    fn apply_record(&mut self, kv: &KeyValue) -> Result<()> {
        let record = Record::decode(&kv.value)?;
        self.last_seq = record.seq;
        if record.epoch < self.last_epoch {
            return Ok(());
        }
        self.last_epoch = record.epoch;
        if let RecordBody::Changes(changes) = &record.body {
            changes.iter().for_each(|change| self.state.apply(change));
        }
        Ok(())
    }

    fn write_barrier(&mut self, now: Instant, epoch: Epoch, nonce: Nonce) {
        let seq = self.last_seq.next();
        let record = Record {
            epoch,
            seq,
            writer: self.cfg.entry.clone(),
            nonce,
            body: RecordBody::Barrier,
        };
        let Ok(value) = record.encode() else {
            return self.depose(now);
        };
        let key = self.keys.log(seq);
        let call = StoreCall::Put {
            key,
            value,
            expect: Expect::Absent,
            lease: None,
        };
        self.call(now, Purpose::Step, call);
    }

    fn barrier_done(&mut self, now: Instant, reply: StoreReply) {
        let Phase::Barrier {
            lease,
            epoch,
            nonce,
            ..
        } = self.phase
        else {
            return;
        };
        match reply {
            StoreReply::Done { .. } => self.activate(now, lease, epoch),
            StoreReply::Conflict { current: Some(kv) } => {
                let is_own = Record::decode(&kv.value).is_ok_and(|r| r.nonce == nonce);
                if is_own {
                    self.activate(now, lease, epoch);
                } else {
                    // Someone wrote since the last page: read on, then try the next place.
                    self.phase = Phase::Reading { lease };
                    self.read_page(now);
                }
            }
            _ => self.depose(now),
        }
    }

    fn activate(&mut self, now: Instant, lease: LeaseId, epoch: Epoch) {
        self.last_seq = self.last_seq.next();
        self.last_epoch = epoch;
        self.phase = Phase::Active { lease, epoch };
        self.effects.push(Effect::Activated(epoch));
        let call = StoreCall::Put {
            key: self.keys.owner(),
            value: self.owner_value(epoch),
            expect: Expect::Revision(self.owner_revision),
            lease: Some(lease),
        };
        self.call(now, Purpose::Publish, call);
    }

    pub(super) fn published(&mut self, reply: Result<StoreReply>) {
        if let Ok(StoreReply::Done { revision }) = reply {
            self.owner_revision = revision;
        }
    }

    fn owner_value(&self, epoch: Epoch) -> Arc<[u8]> {
        let value = OwnerValue {
            shard: self.cfg.shard,
            pool: self.cfg.pool.clone(),
            entry: self.cfg.entry.clone(),
            rpc_addr: self.cfg.rpc_addr,
            epoch,
        };
        value.encode()
    }
}

impl OwnerValue {
    /// Encodes the value as JSON, which operators can read in the store.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a value; `None` if it is unreadable.
    pub fn decode(buf: &[u8]) -> Option<Self> {
        serde_json::from_slice(buf).ok()
    }
}
