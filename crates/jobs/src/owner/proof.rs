//! Until when this entry is known to have been the only owner.

use base::prelude::*;

use super::Owner;

impl Owner {
    /// Records that the store showed this owner's key in the reply to a call sent at `at`: until then no
    /// other entry owned the jobs.
    pub fn ownership_proved(&mut self, at: Instant) {
        self.proved = self.proved.max(Some(at));
    }

    /// Returns how long ago ownership was last proved, in milliseconds, for logs.
    pub(super) fn proved_ms_ago(&self, now: Instant) -> Option<u64> {
        let age = |at| base::whole_ms(now.saturating_duration_since(at));
        self.proved.map(age)
    }
}
