//! Resuming ownership after the owner's lease has expired during an outage of the store.
//!
//! If no other entry has claimed the key meanwhile, which the unchanged epoch key proves, nothing
//! has happened without this owner. It then takes the key again under its epoch and keeps its
//! state: nothing is loaded, no worker is adopted anew. Until then it does not lead.

use base::prelude::*;
use jobs::owner::{EPOCH_KEY, OWNER_KEY, OwnerRecord};
use ports::store::{Expect, KeyValue, KeyWrite, LeaseId, StoreCall, StoreReply};

use super::{Change, Clocks, Elector, ElectorCfg, Leading, Phase};

/// How far an owner has come in taking its key again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resume {
    /// A new lease is to be granted.
    Granting,
    /// The key is to be claimed with this lease, granted at this time of both clocks.
    Claiming { lease: LeaseId, granted: Clocks },
}

impl Leading {
    /// Suspends ownership until the key has been taken again.
    pub(super) fn suspend(&mut self, now: Instant) {
        if self.resume.is_none() {
            self.resume = Some(Resume::Granting);
            self.next_renewal = now;
        }
    }

    /// Returns the call that is due: a renewal, or the next step of a resumption.
    pub(super) fn call(&self, now: Instant, cfg: &ElectorCfg) -> Option<StoreCall> {
        match self.resume {
            None => Some(self.renewal(now, cfg)),
            Some(Resume::Granting) => Some(StoreCall::LeaseGrant { ttl: cfg.lease }),
            Some(Resume::Claiming { lease, .. }) => Some(StoreCall::Txn {
                expected: vec![
                    (OWNER_KEY.into(), Expect::Absent),
                    (EPOCH_KEY.into(), Expect::Revision(self.epoch_revision)),
                ],
                writes: vec![KeyWrite {
                    key: OWNER_KEY.into(),
                    value: self.next_record().encode().ok()?,
                    lease: Some(lease),
                }],
                deletes: Vec::new(),
            }),
        }
    }

    /// Returns the record that a resumption writes: the same but for its nonce, which tells it from
    /// the one written before.
    fn next_record(&self) -> OwnerRecord {
        OwnerRecord {
            nonce: Nonce(self.record.nonce.0.wrapping_add(1)),
            ..self.record.clone()
        }
    }

    /// Returns true if a record in the store is one that this owner wrote.
    pub(super) fn wrote(&self, record: &OwnerRecord) -> bool {
        *record == self.record || *record == self.next_record()
    }
}

impl Elector {
    /// Handles the reply to a step of a resumption.
    pub(super) fn resumed(
        &mut self,
        now: Instant,
        sent: Clocks,
        step: Resume,
        mut leading: Leading,
        reply: Result<StoreReply>,
    ) -> Option<Change> {
        leading.next_renewal = now;
        let change = match (step, reply) {
            (Resume::Granting, Ok(StoreReply::Leased { lease, .. })) => {
                let granted = sent;
                leading.resume = Some(Resume::Claiming { lease, granted });
                None
            }
            (Resume::Claiming { lease, granted }, Ok(StoreReply::Done { revision })) => {
                leading.record = leading.next_record();
                leading.take(lease, granted, revision, sent);
                Some(Change::Resumed { revision })
            }
            (Resume::Claiming { lease, granted }, Ok(StoreReply::Conflicts { current })) => {
                match own_record(&leading, &current) {
                    // The old lease still holds: the key had been read before it was written.
                    Some((record, _)) if record == leading.record => {
                        leading.resume = None;
                        None
                    }
                    // An earlier attempt took effect, and its reply was lost.
                    Some((record, revision)) => {
                        leading.record = record;
                        leading.take(lease, granted, revision, sent);
                        Some(Change::Resumed { revision })
                    }
                    None => {
                        self.follow(now);
                        return Some(Change::OwnershipLost("another entry has claimed the key"));
                    }
                }
            }
            (_, Ok(StoreReply::LeaseGone)) => {
                leading.resume = Some(Resume::Granting);
                None
            }
            _ => {
                leading.next_renewal = now + self.cfg.lease / 10;
                None
            }
        };
        if leading.resume.is_none() {
            self.seen = Some((leading.record.clone(), leading.revision));
            self.claim_at = None;
        }
        self.phase = Phase::Leading(leading);
        change
    }
}

impl Leading {
    /// Records that the key was written at `revision` with a lease, as the reply to a call sent at
    /// `proved` shows.
    fn take(&mut self, lease: LeaseId, granted: Clocks, revision: u64, proved: Clocks) {
        self.lease = lease;
        self.renewed = granted;
        self.proved = proved;
        self.revision = revision;
        self.resume = None;
    }
}

/// Returns this owner's record among the current values of a conflict, with its revision.
fn own_record(leading: &Leading, current: &[KeyValue]) -> Option<(OwnerRecord, u64)> {
    let found = current.iter().find(|kv| &*kv.key == OWNER_KEY)?;
    let record = OwnerRecord::decode(&found.value).ok()?;
    leading.wrote(&record).then_some((record, found.revision))
}
