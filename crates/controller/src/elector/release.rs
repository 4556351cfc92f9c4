//! Giving up ownership, or a claim.

use base::prelude::*;
use ports::store::StoreCall;

use super::{Call, Elector, Phase};

/// The delay before a failed claim is retried.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long an entry that stepped down makes no claim: several times an election, so that another
/// entry claims first.
const STEP_DOWN_PAUSE: Duration = Duration::from_secs(2);

impl Elector {
    /// Steps down and delays the next claim, so that another entry claims first.
    ///
    /// Returns the call that revokes the lease; `None` if this entry is not the owner.
    pub fn step_down(&mut self, now: Instant) -> Option<Call> {
        let call = self.release()?;
        self.claim_at = Some(now + STEP_DOWN_PAUSE);
        Some(call)
    }

    /// Steps down and makes no further claim, as the process stops.
    ///
    /// Returns the call that revokes the lease; `None` if this entry is not the owner.
    pub fn resign(&mut self) -> Option<Call> {
        self.has_resigned = true;
        self.release()
    }

    /// Ends ownership; returns the call that revokes the lease.
    fn release(&mut self) -> Option<Call> {
        let Phase::Leading(leading) = &self.phase else {
            return None;
        };
        let call = StoreCall::LeaseRevoke {
            lease: leading.lease,
        };
        self.phase = Phase::Following;
        self.seen = None;
        Some(call)
    }

    /// Returns to following after a failed claim or a loss of ownership.
    pub fn follow(&mut self, now: Instant) {
        self.phase = Phase::Following;
        self.claim_from = None;
        self.claim_at = self.seen.is_none().then(|| now + RETRY_AFTER);
    }
}
