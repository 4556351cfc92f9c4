//! Renewing the owner's lease and standing down when it may have ended.

use base::prelude::*;
use ports::store::{StoreCall, StoreReply};

use super::{DeposedBy, Owner, Purpose};

/// The lease is renewed this many times in its life.
const RENEWALS_PER_TTL: u32 = 4;

impl Owner {
    /// Notes that the store began the lease no earlier than `sent`.
    pub(super) fn extend_lease(&mut self, sent: Instant, ttl: Duration) {
        self.lease_until = Some(sent + ttl.saturating_sub(self.cfg.drift));
        self.renew_at = sent + self.cfg.lease_ttl / RENEWALS_PER_TTL;
    }

    pub(super) fn renew_if_due(&mut self, now: Instant) {
        let is_renewing = self.awaited.values().any(|a| a.purpose == Purpose::Renew);
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
            Ok(_) => self.depose(now, DeposedBy::Another),
            Err(_) => self.renew_at = now + self.cfg.retry_after,
        }
    }

    /// Stands down once the lease may have ended.
    pub(super) fn check_lease(&mut self, now: Instant) {
        if self.lease_until.is_some_and(|until| now >= until) {
            self.depose(now, DeposedBy::LeaseEnd);
        }
    }
}
