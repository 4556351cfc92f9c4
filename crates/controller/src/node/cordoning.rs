//! Reads the cordoned availability zones for the owner.

use base::prelude::*;
use ports::store::StoreReply;
use slog::warn;

use super::Controller;
use crate::StoreToken;

impl Controller {
    /// Makes the next read if this entry owns the jobs, or loads them to do so.
    pub(super) fn read_cordons(&mut self, now: Instant) {
        self.forget_outdated_cordons(now);
        let is_needed = self.owner.is_some() || self.load.is_some();
        let clocks = (now, self.clock.boot_time());
        let Some(reader) = self.cordons.as_mut() else {
            return;
        };
        if !is_needed {
            reader.stop();
            return;
        }
        if let Some(call) = reader.run(clocks) {
            self.ports.store(StoreToken::Cordons, call);
        }
    }

    /// Drops what the owner knows if the process was suspended since.
    pub(super) fn forget_outdated_cordons(&mut self, now: Instant) {
        let clocks = (now, self.clock.boot_time());
        let reader = self.cordons.as_mut();
        if reader.is_some_and(|reader| reader.drop_if_suspended(clocks))
            && let Some(owner) = self.owner.as_mut()
        {
            warn!(self.log, "entry: cordons are read anew"; "reason" => "the process was suspended");
            owner.forget_cordons(now);
        }
    }

    /// Passes what a read showed on to the owner.
    pub(super) fn cordons_read(&mut self, now: Instant, reply: Result<StoreReply>) {
        self.forget_outdated_cordons(now);
        let Some(reader) = self.cordons.as_mut() else {
            return;
        };
        let observation = reader.handle_reply(now, reply, &self.log);
        if let (Some(observation), Some(owner)) = (observation, self.owner.as_mut()) {
            owner.observe_cordons(now, observation);
        }
    }
}
