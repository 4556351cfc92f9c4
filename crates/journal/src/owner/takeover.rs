//! Taking over a shard: the lease, the owner key, and the barrier after the log has been read.

use base::prelude::*;
use ports::store::{Expect, LeaseId, StoreCall, StoreReply};

use super::recover::Reading;
use super::{Effect, LossReason, Owner, OwnerValue, Phase, Purpose};
use crate::{Record, RecordBody, ShardState};

/// How often the owner key is read while another entry owns the shard.
const OWNER_READ_INTERVAL: Duration = Duration::from_millis(500);

impl Owner {
    /// Reads the owner key before a claim, since a read costs no write.
    pub(super) fn read_owner_if_due(&mut self, now: Instant) {
        if self.has_resigned || now < self.try_at || !self.outstanding.is_empty() {
            return;
        }
        self.phase = Phase::ReadingOwner;
        let key = self.keys.owner();
        self.call(now, Purpose::Step, StoreCall::Get { key });
    }

    fn owner_read(&mut self, now: Instant, reply: StoreReply) {
        let StoreReply::Got(found) = reply else {
            return self.lose_ownership(now, LossReason::Another);
        };
        if let Some(kv) = found {
            self.free_since = None;
            let other = OwnerValue::decode(&kv.value).filter(|v| v.entry != self.cfg.entry);
            self.effects
                .extend(other.map(Box::new).map(Effect::OwnedElsewhere));
            self.lose_ownership(now, LossReason::Another);
            self.try_at = now + OWNER_READ_INTERVAL;
            return;
        }
        let free_since = *self.free_since.get_or_insert(now);
        if now < free_since + self.claim_delay {
            return self.lose_ownership(now, LossReason::Another);
        }
        self.free_since = None;
        self.request_lease(now);
    }

    /// Requests the lease under which the owner key is created.
    fn request_lease(&mut self, now: Instant) {
        self.phase = Phase::Granting;
        let ttl = self.cfg.lease_ttl;
        self.call(now, Purpose::Step, StoreCall::LeaseGrant { ttl });
    }

    /// Makes a call of the take-over, which is repeated until a reply arrives.
    pub(super) fn call_step(&mut self, now: Instant, call: StoreCall) {
        self.step = Some(call.clone());
        self.step_retry_at = None;
        self.call(now, Purpose::Step, call);
    }

    /// Repeats a step whose reply was lost. Each write identifies its writer, so a repeat is safe.
    pub(super) fn retry_step_if_due(&mut self, now: Instant) {
        if self.step_retry_at.is_none_or(|at| now < at) {
            return;
        }
        if let Some(call) = self.step.clone() {
            self.call_step(now, call);
        }
    }

    /// Handles the reply to a step of the take-over.
    pub(super) fn step_done(&mut self, now: Instant, sent: Instant, reply: Result<StoreReply>) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(_) if matches!(self.phase, Phase::ReadingOwner | Phase::Granting) => {
                return self.lose_ownership(now, LossReason::LeaseEnd);
            }
            Err(_) => {
                self.step_retry_at = Some(now + self.cfg.retry_after);
                return;
            }
        };
        match self.phase.clone() {
            Phase::ReadingOwner => self.owner_read(now, reply),
            Phase::Granting => self.granted(now, sent, &reply),
            Phase::Claiming { lease } => self.claimed(now, lease, &reply),
            Phase::Reading { lease, reading } => self.read(now, lease, reading, reply),
            Phase::Barrier { .. } => self.barrier_done(now, reply),
            Phase::Idle | Phase::Active { .. } | Phase::Stuck(_) => {}
        }
    }

    fn granted(&mut self, now: Instant, sent: Instant, reply: &StoreReply) {
        let StoreReply::Leased { lease, ttl } = *reply else {
            return self.lose_ownership(now, LossReason::Another);
        };
        self.extend_lease(sent, ttl);
        self.phase = Phase::Claiming { lease };
        let call = StoreCall::Put {
            key: self.keys.owner(),
            value: self.owner_value(lease, Epoch(0)),
            expect: Expect::Absent,
            lease: Some(lease),
        };
        self.call_step(now, call);
    }

    fn claimed(&mut self, now: Instant, lease: LeaseId, reply: &StoreReply) {
        let revision = match reply {
            StoreReply::Done { revision } => *revision,
            // The value names the lease, which identifies this entry's write after a lost reply.
            StoreReply::Conflict { current: Some(kv) }
                if kv.value == self.owner_value(lease, Epoch(0)) =>
            {
                kv.revision
            }
            _ => return self.lose_ownership(now, LossReason::Another),
        };
        self.owner_revision = revision;
        self.start_reading(now, lease);
    }

    /// Discards what was read and starts again with the snapshot's pointer.
    pub(super) fn start_reading(&mut self, now: Instant, lease: LeaseId) {
        self.state = ShardState::default();
        self.last_seq = Seq(0);
        self.last_epoch = Epoch(0);
        self.log_bytes = 0;
        self.phase = Phase::Reading {
            lease,
            reading: Reading::Pointer,
        };
        let key = self.keys.pointer();
        self.call_step(now, StoreCall::Get { key });
    }

    /// Writes the barrier at the first free sequence number of the log.
    pub(super) fn write_barrier(&mut self, now: Instant, lease: LeaseId) {
        let epoch = self.last_epoch.next();
        let nonce = self.draw_nonce();
        self.phase = Phase::Barrier {
            lease,
            epoch,
            nonce,
        };
        let seq = self.last_seq.next();
        let record = Record {
            epoch,
            seq,
            writer: self.cfg.entry.clone(),
            nonce,
            body: RecordBody::Barrier,
        };
        let value = match record.encode() {
            Ok(value) => value,
            Err(e) => return self.mark_stuck(now, e),
        };
        let call = StoreCall::Put {
            key: self.keys.log(seq),
            value,
            expect: Expect::Absent,
            lease: None,
        };
        self.call_step(now, call);
    }

    fn barrier_done(&mut self, now: Instant, reply: StoreReply) {
        // A barrier does not prove ownership once the lease has expired.
        self.check_lease(now);
        let Phase::Barrier {
            lease,
            epoch,
            nonce,
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
                    // Another entry wrote after the last page was read: read on, then try the next
                    // sequence number.
                    self.read_log(now, lease);
                }
            }
            _ => self.lose_ownership(now, LossReason::Another),
        }
    }

    fn activate(&mut self, now: Instant, lease: LeaseId, epoch: Epoch) {
        self.step = None;
        self.last_seq = self.last_seq.next();
        self.last_epoch = epoch;
        self.sent_at = None;
        self.phase = Phase::Active { lease, epoch };
        self.effects.push(Effect::Activated(epoch));
        self.publish(now, lease, epoch);
    }

    /// Publishes the epoch in the owner key.
    fn publish(&mut self, now: Instant, lease: LeaseId, epoch: Epoch) {
        let call = StoreCall::Put {
            key: self.keys.owner(),
            value: self.owner_value(lease, epoch),
            expect: Expect::Revision(self.owner_revision),
            lease: Some(lease),
        };
        self.call(now, Purpose::Publish, call);
    }

    pub(super) fn published(&mut self, now: Instant, reply: Result<StoreReply>) {
        let Phase::Active { lease, epoch } = self.phase else {
            return;
        };
        match reply {
            Ok(StoreReply::Done { revision }) => self.owner_revision = revision,
            Ok(StoreReply::Conflict { current: Some(kv) })
                if kv.value == self.owner_value(lease, epoch) =>
            {
                self.owner_revision = kv.revision;
            }
            Ok(_) => self.lose_ownership(now, LossReason::Another),
            Err(_) => self.publish(now, lease, epoch),
        }
    }

    fn owner_value(&self, lease: LeaseId, epoch: Epoch) -> Arc<[u8]> {
        let value = OwnerValue {
            shard: self.cfg.shard,
            pool: self.cfg.pool.clone(),
            entry: self.cfg.entry.clone(),
            rpc_addr: self.cfg.rpc_addr,
            epoch,
            lease,
        };
        value.encode()
    }
}
