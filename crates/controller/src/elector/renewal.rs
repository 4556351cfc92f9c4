//! Renewing the owner's lease, and proving that its key is still there.
//!
//! The store may delete a key whose lease goes on, so a renewal proves nothing about the key. A
//! read that shows the key at this owner's revision does: nobody else can have been elected before
//! that read was sent.

use base::prelude::*;
use jobs::owner::OWNER_KEY;
use ports::store::{KeyValue, StoreCall, StoreReply};

use super::{Call, Change, Clocks, Elector, ElectorCfg, Leading, Phase, SentCall};

/// The longest time, as a part of the lease, between the last proof and a renewal without a read:
/// longer than the interval of renewals, so that every second one is followed by a read.
const PROOF_AGE: f64 = 0.375;

impl Leading {
    /// Returns the call that is due while ownership is not suspended.
    ///
    /// An owner that may not lead for want of a proof reads the key first: unless that succeeds, the
    /// lease expires and another entry can claim the key.
    pub(super) fn renewal(&self, now: Instant, cfg: &ElectorCfg) -> Call {
        let age = now.saturating_duration_since(self.proved.0);
        if age < cfg.lease + cfg.outage_grace {
            StoreCall::LeaseRenew { lease: self.lease }
        } else {
            read_key()
        }
    }
}

impl Elector {
    /// Handles the reply to a renewal or to a read of the key.
    pub(super) fn renewed(
        &mut self,
        now: Instant,
        sent: Clocks,
        mut leading: Leading,
        reply: Result<StoreReply>,
    ) -> (Option<Call>, Option<Change>) {
        let mut next = None;
        match reply {
            Ok(StoreReply::Leased { .. }) => {
                leading.renewed = sent;
                leading.next_renewal = now + self.cfg.lease / 4;
                let is_proof_old = age(sent, leading.proved) >= self.cfg.lease.mul_f64(PROOF_AGE);
                if (is_proof_old || leading.needs_proof) && leading.resume.is_none() {
                    leading.renewing = Some(SentCall { step: None });
                    next = Some(read_key());
                }
            }
            Ok(StoreReply::LeaseGone) => leading.suspend(now),
            Ok(StoreReply::Got(found)) => {
                return (None, self.key_read(now, sent, leading, found.as_ref()));
            }
            _ => leading.next_renewal = now + self.cfg.lease / 10,
        }
        if leading.resume.is_some() {
            leading.next_renewal = now;
        }
        self.phase = Phase::Leading(leading);
        (next, None)
    }

    /// Handles the owner's key as its owner has read it.
    fn key_read(
        &mut self,
        now: Instant,
        sent: Clocks,
        mut leading: Leading,
        found: Option<&KeyValue>,
    ) -> Option<Change> {
        let is_own = found.is_some_and(|kv| kv.revision == leading.revision);
        if is_own {
            leading.proved = sent;
            leading.needs_proof = false;
        }
        self.phase = Phase::Leading(leading);
        let change = self.key_seen(now, Duration::ZERO, found);
        if is_own || change.is_some() || self.is_resuming() {
            return change;
        }
        self.follow(now);
        Some(Change::OwnershipLost("the owner's key has changed"))
    }
}

fn read_key() -> Call {
    let key = OWNER_KEY.into();
    StoreCall::Get { key }
}

/// Returns the time between two readings: the larger of the two differences, since the monotonic
/// clock may stand still while the VM is suspended.
pub(super) fn age(at: Clocks, since: Clocks) -> Duration {
    let by_boot = at.1.saturating_sub(since.1);
    at.0.saturating_duration_since(since.0).max(by_boot)
}
