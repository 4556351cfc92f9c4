//! Claiming the owner's key under the next epoch.

use base::prelude::*;
use jobs::owner::{EPOCH_KEY, OWNER_KEY, OwnerRecord};
use ports::store::{Expect, KeyValue, KeyWrite, LeaseId, StoreCall, StoreReply};

use super::{Call, Change, Clocks, Elector, Leading, Phase};

/// How long a claim waits after the store's return, so that the owner can resume: twice the
/// interval of its attempts.
const RESUME_TIME: Duration = Duration::from_millis(400);

impl Elector {
    /// Returns when to claim a key that is free now.
    pub(super) fn claim_time(&self, now: Instant, is_store_back: bool) -> Instant {
        let resume_time = if is_store_back {
            RESUME_TIME
        } else {
            Duration::ZERO
        };
        now + self.cfg.claim_delay + resume_time
    }

    /// Schedules a claim of the key held by the owner at `epoch`, which cannot reach the store.
    ///
    /// Does nothing if this entry cannot reach the store either, or could not just before: then the
    /// owner may have reached it meanwhile.
    pub fn claim_from(&mut self, now: Instant, epoch: Epoch) {
        if self.is_store_out(now) {
            return;
        }
        let is_free = matches!(self.phase, Phase::Following) && self.claim_at.is_none();
        let owner = self.seen.as_ref().filter(|(owner, _)| owner.epoch == epoch);
        if let Some(owner) = owner.filter(|_| is_free && !self.has_resigned) {
            self.claim_from = Some(owner.clone());
            self.claim_at = Some(now + self.cfg.claim_delay);
        }
    }

    /// Schedules a claim of a key that an earlier process of this VM holds.
    ///
    /// That process has ended, since this one listens at its address: its lease need not expire first.
    pub(super) fn claim_left_behind(&mut self, now: Instant) {
        if self.has_claimed || self.has_resigned {
            return;
        }
        let me = &self.cfg.me;
        let is_mine = |owner: &OwnerRecord| owner.name == me.name && owner.addr == me.addr;
        if let Some(left) = self.seen.as_ref().filter(|(owner, _)| is_mine(owner)) {
            self.claim_from = Some(left.clone());
            self.claim_at = Some(now);
        }
    }

    /// Returns the claim of the epoch after the one in the store.
    pub(super) fn claim(
        &mut self,
        lease: LeaseId,
        granted: Clocks,
        epoch: Option<&KeyValue>,
    ) -> Option<Call> {
        let last = epoch
            .and_then(|kv| std::str::from_utf8(&kv.value).ok())
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let record = OwnerRecord {
            epoch: Epoch(last).next(),
            nonce: self.nonce,
            ..self.cfg.me.clone()
        };
        let call = self.claim_call(lease, &record, epoch);
        self.phase = Phase::Claiming {
            lease,
            record,
            granted,
        };
        call
    }

    /// Returns the transaction that claims the key.
    ///
    /// A repeat passes no `epoch`: if the first attempt took effect, it has changed that key's
    /// revision itself, and the conflict returns this entry's own value.
    pub(super) fn claim_call(
        &self,
        lease: LeaseId,
        record: &OwnerRecord,
        epoch: Option<&KeyValue>,
    ) -> Option<Call> {
        let owner = self
            .claim_from
            .as_ref()
            .map_or(Expect::Absent, |(_, r)| Expect::Revision(*r));
        let mut expected = vec![(OWNER_KEY.into(), owner)];
        let expect = epoch.map_or(Expect::Absent, |kv| Expect::Revision(kv.revision));
        expected.push((EPOCH_KEY.into(), expect));
        let owner = KeyWrite {
            key: OWNER_KEY.into(),
            value: record.encode().ok()?,
            lease: Some(lease),
        };
        let epoch = KeyWrite {
            key: EPOCH_KEY.into(),
            value: record.epoch.0.to_string().into_bytes().into(),
            lease: None,
        };
        Some(StoreCall::Txn {
            expected,
            writes: vec![owner, epoch],
            deletes: Vec::new(),
        })
    }

    /// Handles the reply to a claim.
    pub(super) fn claimed(
        &mut self,
        now: Instant,
        sent: Clocks,
        lease: LeaseId,
        granted: Clocks,
        record: &OwnerRecord,
        reply: &StoreReply,
    ) -> Option<Change> {
        let revision = match reply {
            StoreReply::Done { revision } => *revision,
            StoreReply::Conflicts { current } => {
                let mine = record.encode().ok()?;
                let found = current.iter().find(|kv| &*kv.key == OWNER_KEY);
                match found.filter(|kv| kv.value == mine) {
                    Some(kv) => kv.revision,
                    None => {
                        self.follow(now);
                        return None;
                    }
                }
            }
            _ => {
                self.follow(now);
                return None;
            }
        };
        self.phase = Phase::Leading(Leading {
            lease,
            revision,
            record: record.clone(),
            epoch_revision: revision,
            resume: None,
            renewed: granted,
            proved: sent,
            needs_proof: false,
            renewing: None,
            next_renewal: now,
        });
        self.seen = Some((record.clone(), revision));
        self.claim_at = None;
        let previous = self.claim_from.take().map(|(previous, _)| previous);
        Some(Change::Elected {
            epoch: record.epoch,
            revision,
            previous: previous.filter(|p| p.name != self.cfg.me.name),
        })
    }
}
