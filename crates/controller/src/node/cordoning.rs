//! Reads the cordoned availability zones for the owner.

use base::prelude::*;
use ports::store::StoreReply;

use super::Controller;
use crate::StoreToken;

impl Controller {
    /// Makes the next read if this entry owns the jobs, or loads them to do so.
    pub(super) fn read_cordons(&mut self, now: Instant) {
        let is_needed = self.owner.is_some() || self.load.is_some();
        let clocks = (now, self.clock.boot_time());
        let Some(reader) = self.cordons.as_mut() else {
            return;
        };
        if !is_needed {
            reader.stop();
            return;
        }
        if reader.drop_if_suspended(clocks)
            && let Some(owner) = self.owner.as_mut()
        {
            owner.forget_cordons(now);
        }
        if let Some(call) = reader.run(clocks) {
            self.ports.store(StoreToken::Cordons, call);
        }
    }

    /// Passes what a read showed on to the owner.
    pub(super) fn cordons_read(&mut self, now: Instant, reply: Result<StoreReply>) {
        let Some(reader) = self.cordons.as_mut() else {
            return;
        };
        reader.drop_if_suspended((now, self.clock.boot_time()));
        let observation = reader.handle_reply(now, reply, &self.log);
        if let (Some(observation), Some(owner)) = (observation, self.owner.as_mut()) {
            owner.observe_cordons(now, observation);
        }
    }
}
