//! Committing batches of changes, one record in flight at a time.

use base::prelude::*;
use ports::store::{Expect, StoreCall, StoreReply};

use super::{Effect, InFlight, LossReason, Owner, Phase, Proposal, Purpose};
use crate::{Change, Record, RecordBody};

/// The maximum number of changes in one record.
const MAX_CHANGES: usize = 5_000;

/// The maximum total size of the changes in one record, in bytes; the store's limit is above it.
const MAX_RECORD_BYTES: usize = 900 * 1024;

/// The maximum size of one change, in bytes.
pub(super) const MAX_CHANGE_BYTES: usize = 128 * 1024;

impl Owner {
    /// Commits the pending proposals once the commit window since the last record has passed.
    pub(super) fn commit_if_due(&mut self, now: Instant) {
        let is_window_over = self
            .sent_at
            .is_none_or(|at| now >= at + self.cfg.commit_window);
        if self.pending.is_empty() || self.in_flight.is_some() || !is_window_over {
            return;
        }
        let Phase::Active { epoch, .. } = self.phase else {
            return;
        };
        let proposals = self.next_batch();
        self.pending_since = (!self.pending.is_empty()).then_some(now);
        let nonce = self.draw_nonce();
        let header = vec![Change::Clock {
            at_ms: self.wall_ms,
        }];
        let changes = proposals.iter().map(|p| p.change.clone());
        let record = Record {
            epoch,
            seq: self.last_seq.next(),
            writer: self.cfg.entry.clone(),
            nonce,
            body: RecordBody::Changes(header.iter().cloned().chain(changes).collect()),
        };
        let Ok(value) = record.encode() else {
            return self.lose_ownership(now, LossReason::Another);
        };
        self.sent_at = Some(now);
        self.in_flight = Some(InFlight {
            id: 0,
            nonce,
            value,
            proposals,
            header,
            retry_at: None,
        });
        self.write_in_flight(now);
    }

    /// Removes the proposals of the next record from the queue.
    fn next_batch(&mut self) -> Vec<Proposal> {
        let mut bytes = 0;
        let fitting = self.pending.iter().take(MAX_CHANGES).take_while(|p| {
            bytes += p.bytes;
            bytes <= MAX_RECORD_BYTES
        });
        let count = fitting.count();
        self.pending.drain(..count).collect()
    }

    /// Sends the record in flight. Sending it again is safe, since its nonce identifies it.
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

    /// Sends the record in flight again once its retry is due.
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
        // A reply that arrives after the lease expired does not prove a commit: a newer
        // owner may have trimmed its barrier, so that this record could be created in its place.
        self.check_lease(now);
        let Some(in_flight) = self.in_flight.as_ref().filter(|f| f.id == id) else {
            return;
        };
        match reply {
            Ok(StoreReply::Done { .. }) => self.committed(),
            Ok(StoreReply::Conflict { current: Some(kv) }) => {
                let is_own = Record::decode(&kv.value).is_ok_and(|r| r.nonce == in_flight.nonce);
                if is_own {
                    self.committed();
                } else {
                    self.superseded(now);
                }
            }
            Ok(_) => self.lose_ownership(now, LossReason::Another),
            Err(_) => self.retry_commit_at(now + self.cfg.retry_after),
        }
    }

    /// Ends ownership because another entry's record has the sequence number of the one in flight.
    ///
    /// The record in flight is not committed and never will be, so its changes are dropped.
    fn superseded(&mut self, now: Instant) {
        let in_flight = self.in_flight.take().into_iter().flat_map(|f| f.proposals);
        for proposal in in_flight {
            self.effects.push(Effect::Dropped(proposal.ticket));
        }
        self.lose_ownership(now, LossReason::Another);
    }

    fn committed(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.last_seq = self.last_seq.next();
        self.log_bytes += in_flight.value.len() as u64;
        in_flight.header.iter().for_each(|c| self.state.apply(c));
        for proposal in in_flight.proposals {
            self.state.apply(&proposal.change);
            self.effects
                .push(Effect::Committed(proposal.ticket, proposal.change));
        }
    }
}
