//! Until when this entry is known to have been the only owner.

use base::prelude::*;
use slog::info;

use super::{Effect, Owner};

impl Owner {
    /// Records that the store showed this owner's key in the reply to a call sent at `at`: until then no
    /// other entry owned the jobs.
    pub fn ownership_proved(&mut self, at: Instant) {
        self.proved = self.proved.max(Some(at));
    }

    /// Returns true if no other entry can have owned the jobs before `at`.
    pub(super) fn is_proved(&self, at: Instant) -> bool {
        self.proved.is_some_and(|proved| proved >= at)
    }

    /// Requests a proof if there are leases whose expiry waits for one.
    pub(super) fn await_proof(&mut self, now: Instant, leases: usize) {
        let awaited = std::mem::replace(&mut self.awaits_proof, leases > 0);
        if self.awaits_proof {
            self.effects.push(Effect::ProveOwnership);
        }
        if self.awaits_proof && !awaited {
            self.stats.events.push(("lapse", "unproved"));
            info!(self.log, "owner: expired leases wait until ownership is proved";
                "workers" => leases, "proved_ms_ago" => self.proved_ms_ago(now));
        }
    }

    /// Returns how long ago ownership was last proved, in milliseconds, for logs.
    pub(super) fn proved_ms_ago(&self, now: Instant) -> Option<u64> {
        let age = |at| base::whole_ms(now.saturating_duration_since(at));
        self.proved.map(age)
    }
}
