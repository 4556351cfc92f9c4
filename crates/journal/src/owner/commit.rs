//! Committing groups of changes, one record in flight at a time.

use base::prelude::*;
use platform::store::{Expect, StoreCall, StoreReply};

use super::{Effect, InFlight, Owner, Phase, Proposal, Purpose};
use crate::{Record, RecordBody};

/// How many changes one record holds at most.
const MAX_CHANGES: usize = 2_000;

impl Owner {
    pub(super) fn commit_if_due(&mut self, now: Instant) {
        let is_due = self
            .pending_since
            .is_some_and(|at| now >= at + self.cfg.commit_window);
        if !is_due || self.in_flight.is_some() {
            return;
        }
        let Phase::Active { epoch, .. } = self.phase else {
            return;
        };
        let count = self.pending.len().min(MAX_CHANGES);
        let proposals: Vec<Proposal> = self.pending.drain(..count).collect();
        self.pending_since = (!self.pending.is_empty()).then_some(now);
        let nonce = self.draw_nonce();
        let record = Record {
            epoch,
            seq: self.last_seq.next(),
            writer: self.cfg.entry.clone(),
            nonce,
            body: RecordBody::Changes(proposals.iter().map(|p| p.change.clone()).collect()),
        };
        let Ok(value) = record.encode() else {
            return self.depose(now);
        };
        self.in_flight = Some(InFlight {
            id: 0,
            nonce,
            value,
            proposals,
            retry_at: None,
        });
        self.write_in_flight(now);
    }

    /// Sends the record in flight; sending it again is safe, since its nonce names it.
    fn write_in_flight(&mut self, now: Instant) {
        let Some(in_flight) = &self.in_flight else {
            return;
        };
        let call = StoreCall::Put {
            key: self.keys.log(self.last_seq.next()),
            value: Arc::clone(&in_flight.value),
            expect: Expect::Absent,
            lease: None,
        };
        let id = self.call(now, Purpose::Commit, call);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.id = id;
        }
    }

    fn retry_commit_at(&mut self, at: Instant) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.retry_at = Some(at);
        }
    }

    /// Sends the record in flight again once its time has come.
    pub(super) fn retry_if_due(&mut self, now: Instant) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if in_flight.retry_at.is_some_and(|at| now >= at) {
            in_flight.retry_at = None;
            self.write_in_flight(now);
        }
    }

    pub(super) fn commit_done(&mut self, now: Instant, id: u64, reply: Result<StoreReply>) {
        // An answer that arrives after the lease ended proves nothing: a newer
        // owner may have trimmed its barrier away from under this record.
        self.check_lease(now);
        let Some(in_flight) = self.in_flight.as_ref().filter(|f| f.id == id) else {
            return;
        };
        match reply {
            Ok(StoreReply::Done { .. }) => self.committed(),
            Ok(StoreReply::Conflict { current: Some(kv) }) => {
                let is_own = Record::decode(&kv.value).is_ok_and(|r| r.nonce == in_flight.nonce);
                if is_own {
                    self.committed()
                } else {
                    self.depose(now)
                }
            }
            Ok(_) => self.depose(now),
            Err(_) => self.retry_commit_at(now + self.cfg.retry_after),
        }
    }

    fn committed(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.last_seq = self.last_seq.next();
        for proposal in in_flight.proposals {
            self.state.apply(&proposal.change);
            self.effects
                .push(Effect::Committed(proposal.ticket, proposal.change));
        }
    }
}
