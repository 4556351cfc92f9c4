//! Renewing the owner's lease, and ending ownership when the lease may have expired.

use base::prelude::*;
use ports::store::{StoreCall, StoreReply};

use super::{LossReason, Owner, Purpose};

/// The number of renewals within the lease's time to live.
const RENEWALS_PER_TTL: u32 = 4;

impl Owner {
    /// Extends the lease, which the store started no earlier than `sent`.
    pub(super) fn extend_lease(&mut self, sent: Instant, ttl: Duration) {
        self.lease_until = Some(sent + ttl.saturating_sub(self.cfg.drift));
        self.renew_at = sent + self.cfg.lease_ttl / RENEWALS_PER_TTL;
    }

    pub(super) fn renew_if_due(&mut self, now: Instant) {
        let is_renewing = self
            .outstanding
            .values()
            .any(|c| c.purpose == Purpose::Renew);
        if now < self.renew_at || is_renewing {
            return;
        }
        if let Some(lease) = self.lease() {
            self.call(now, Purpose::Renew, StoreCall::LeaseRenew { lease });
        }
    }

    pub(super) fn renewed(&mut self, now: Instant, sent: Instant, reply: Result<StoreReply>) {
        match reply {
            Ok(StoreReply::Leased { ttl, .. }) => self.extend_lease(sent, ttl),
            Ok(_) => self.lose_ownership(now, LossReason::Another),
            Err(_) => self.renew_at = now + self.cfg.retry_after,
        }
    }

    /// Ends ownership once the lease may have expired.
    pub(super) fn check_lease(&mut self, now: Instant) {
        if self.lease_until.is_some_and(|until| now >= until) {
            self.lose_ownership(now, LossReason::LeaseEnd);
        }
    }
}
