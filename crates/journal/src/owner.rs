//! Acquiring, holding and losing ownership of a shard, and committing to its log.

mod cfg;
mod commit;
mod effect;
mod lease;
mod recover;
mod takeover;
mod trim;
mod value;

use std::collections::VecDeque;

use base::prelude::*;
use ports::store::{LeaseId, Revision, StoreCall, StoreReply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::snapshot::Pointer;
use crate::{Change, Keys, ShardState};

pub use self::cfg::OwnerCfg;
pub use self::effect::{Effect, LossReason, Ticket, Urgency};
use self::recover::Reading;
use self::trim::Snapshotting;
pub use self::value::OwnerValue;

/// The delay before a failed recovery of a shard is retried.
const STUCK_RETRY: Duration = Duration::from_secs(15);

/// A proposed change that is not committed yet.
#[derive(Clone, Debug)]
struct Proposal {
    ticket: Ticket,
    change: Change,
    /// The size of the encoded change.
    bytes: usize,
}

/// A record whose write is outstanding.
#[derive(Clone, Debug)]
struct InFlight {
    id: u64,
    nonce: Nonce,
    value: Arc<[u8]>,
    proposals: Vec<Proposal>,
    /// The changes in the record before the proposals.
    header: Vec<Change>,
    /// When to send the record again after a failed call.
    retry_at: Option<Instant>,
}

/// The phase of a take-over and of ownership.
#[derive(Clone, Debug)]
enum Phase {
    /// This entry does not own the shard; another one may.
    Idle,
    /// The owner key is being read.
    ReadingOwner,
    /// The lease has been requested.
    Granting,
    /// The owner key is being created.
    Claiming { lease: LeaseId },
    /// The snapshot and the log are being read.
    Reading { lease: LeaseId, reading: Reading },
    /// The barrier is being written.
    Barrier {
        lease: LeaseId,
        epoch: Epoch,
        nonce: Nonce,
    },
    /// This entry owns the shard.
    Active { lease: LeaseId, epoch: Epoch },
    /// The shard cannot be recovered: the log or the snapshot is malformed.
    Stuck(Error),
}

/// The purpose of an outstanding store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Step,
    Renew,
    Commit,
    Publish,
    Snapshot,
    Revoke,
}

/// An outstanding store call.
#[derive(Clone, Copy, Debug)]
struct OutstandingCall {
    purpose: Purpose,
    sent: Instant,
}

/// The ownership of one shard by one entry.
///
/// This is a state machine without I/O: [`Owner::tick`] and [`Owner::reply`] drive
/// it, and [`Owner::take_effects`] returns the effects that the caller must carry out.
#[derive(Debug)]
pub struct Owner {
    cfg: OwnerCfg,
    keys: Keys,
    rng: StdRng,
    phase: Phase,
    state: ShardState,
    /// The sequence number of the last record applied.
    last_seq: Seq,
    /// The highest epoch seen in a record.
    last_epoch: Epoch,
    /// The earliest time at which the lease can expire, by this process's clock.
    lease_until: Option<Instant>,
    owner_revision: Revision,
    /// The outstanding step of a take-over, to be repeated after an error.
    step: Option<StoreCall>,
    step_retry_at: Option<Instant>,
    /// The latest snapshot known to this entry.
    pointer: Option<Pointer>,
    pointer_revision: Option<Revision>,
    snapshotting: Option<Snapshotting>,
    /// The size of the log after the last snapshot, in bytes.
    log_bytes: u64,
    /// The number of gaps found in the log since it was last read completely.
    gaps: u32,
    is_resigning: bool,
    has_resigned: bool,
    claim_delay: Duration,
    free_since: Option<Instant>,
    wall_ms: u64,
    renew_at: Instant,
    try_at: Instant,
    outstanding: IndexMap<u64, OutstandingCall>,
    next_id: u64,
    next_ticket: u64,
    pending: VecDeque<Proposal>,
    pending_since: Option<Instant>,
    sent_at: Option<Instant>,
    in_flight: Option<InFlight>,
    effects: Vec<Effect>,
}

impl Owner {
    /// Creates the state machine; it does not own the shard yet.
    pub fn new(cfg: OwnerCfg, now: Instant, seed: u64) -> Self {
        let keys = Keys::new(cfg.shard);
        Self {
            cfg,
            keys,
            rng: StdRng::seed_from_u64(seed),
            phase: Phase::Idle,
            state: ShardState::default(),
            last_seq: Seq(0),
            last_epoch: Epoch(0),
            lease_until: None,
            owner_revision: 0,
            step: None,
            step_retry_at: None,
            pointer: None,
            pointer_revision: None,
            snapshotting: None,
            log_bytes: 0,
            gaps: 0,
            is_resigning: false,
            has_resigned: false,
            claim_delay: Duration::ZERO,
            free_since: None,
            wall_ms: 0,
            renew_at: now,
            try_at: now,
            outstanding: IndexMap::new(),
            next_id: 0,
            next_ticket: 0,
            pending: VecDeque::new(),
            pending_since: None,
            sent_at: None,
            in_flight: None,
            effects: Vec::new(),
        }
    }

    /// Returns the committed state, which is current only while [`Owner::may_act`] returns true.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Returns the epoch in which this entry owns the shard; `None` if it does not own it.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.phase {
            Phase::Active { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Returns true if this entry owns the shard and its lease cannot have expired.
    pub fn may_act(&self, now: Instant) -> bool {
        self.epoch().is_some() && self.lease_until.is_some_and(|until| now < until)
    }

    /// Returns the earliest time at which the lease can expire, by this process's clock.
    pub fn lease_until(&self) -> Option<Instant> {
        self.lease_until
    }

    /// Proposes a change. Its outcome is reported as [`Effect::Committed`], [`Effect::Unknown`] or
    /// [`Effect::Dropped`].
    pub fn propose(&mut self, now: Instant, change: Change) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let bytes = change.encoded_len();
        let is_open = self.epoch().is_some() && !self.is_resigning;
        if bytes > commit::MAX_CHANGE_BYTES || !is_open {
            self.effects.push(Effect::Dropped(ticket));
            return ticket;
        }
        self.pending.push_back(Proposal {
            ticket,
            change,
            bytes,
        });
        self.pending_since.get_or_insert(now);
        ticket
    }

    /// Returns the number of proposed changes that are not committed yet.
    pub fn backlog(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, |f| f.proposals.len());
        in_flight + self.pending.len()
    }

    /// Returns the error that keeps the shard from being recovered, if there is one.
    pub fn stuck(&self) -> Option<&Error> {
        match &self.phase {
            Phase::Stuck(e) => Some(e),
            _ => None,
        }
    }

    /// Sets the wall time, in milliseconds since 1970, that the next records carry.
    pub fn set_wall(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
    }

    /// Sets how long the claim of a shard without an owner is delayed in favour of other entries.
    pub fn set_claim_delay(&mut self, delay: Duration) {
        self.claim_delay = delay;
    }

    /// Commits what has been proposed, then steps down and makes no further claim.
    ///
    /// `is_sole` means that no previous owner can still keep tasks running, so that the next owner
    /// need not wait for the grace period.
    pub fn resign(&mut self, now: Instant, is_sole: bool) {
        self.has_resigned = true;
        if self.epoch().is_none() {
            return self.lose_ownership(now, LossReason::Resignation);
        }
        if is_sole {
            self.propose(now, Change::HandedOver);
        }
        self.is_resigning = true;
    }

    /// Returns true once a resignation is complete and no store call is outstanding.
    pub fn has_resigned(&self) -> bool {
        self.has_resigned && matches!(self.phase, Phase::Idle) && self.outstanding.is_empty()
    }

    /// Returns the proposed changes that are not committed yet, oldest first.
    pub fn proposed(&self) -> impl Iterator<Item = &Change> {
        let in_flight = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.proposals);
        in_flight
            .chain(&self.pending)
            .map(|proposal| &proposal.change)
    }

    /// Removes and returns the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Runs what is due.
    pub fn tick(&mut self, now: Instant) {
        match self.phase {
            Phase::Idle | Phase::Stuck(_) => self.read_owner_if_due(now),
            Phase::ReadingOwner | Phase::Granting => {}
            Phase::Claiming { .. } | Phase::Reading { .. } | Phase::Barrier { .. } => {
                self.renew_if_due(now);
                self.retry_step_if_due(now);
            }
            Phase::Active { .. } => {
                self.renew_if_due(now);
                self.retry_if_due(now);
                self.commit_if_due(now);
                self.snapshot_if_due(now);
                if self.is_resigning && self.backlog() == 0 {
                    self.lose_ownership(now, LossReason::Resignation);
                }
            }
        }
        self.check_lease(now);
    }

    /// Handles the reply to a store call.
    pub fn reply(&mut self, now: Instant, id: u64, reply: Result<StoreReply>) {
        let Some(call) = self.outstanding.swap_remove(&id) else {
            return;
        };
        match call.purpose {
            Purpose::Step => self.step_done(now, call.sent, reply),
            Purpose::Renew => self.renewed(now, call.sent, reply),
            Purpose::Commit => self.commit_done(now, id, reply),
            Purpose::Publish => self.published(now, reply),
            Purpose::Snapshot => self.snapshot_done(now, reply),
            Purpose::Revoke => {}
        }
        self.check_lease(now);
    }

    /// Emits the effect of a store call and returns its id.
    fn call(&mut self, now: Instant, purpose: Purpose, call: StoreCall) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.outstanding
            .insert(id, OutstandingCall { purpose, sent: now });
        let urgency = match purpose {
            Purpose::Renew => Urgency::Lease,
            Purpose::Revoke => Urgency::Lease,
            Purpose::Step | Purpose::Commit | Purpose::Publish => Urgency::Commit,
            Purpose::Snapshot => Urgency::Snapshot,
        };
        self.effects.push(Effect::Store { id, urgency, call });
        id
    }

    fn draw_nonce(&mut self) -> Nonce {
        Nonce(self.rng.random())
    }

    /// Returns the lease of the current phase.
    fn lease(&self) -> Option<LeaseId> {
        match self.phase {
            Phase::Claiming { lease }
            | Phase::Reading { lease, .. }
            | Phase::Barrier { lease, .. }
            | Phase::Active { lease, .. } => Some(lease),
            Phase::Idle | Phase::ReadingOwner | Phase::Granting | Phase::Stuck(_) => None,
        }
    }

    /// Ends ownership or a take-over. The outcome of the record in flight is unknown; the pending
    /// proposals are dropped.
    fn lose_ownership(&mut self, now: Instant, reason: LossReason) {
        let was_active = self.epoch().is_some();
        let lease = self.lease();
        self.phase = Phase::Idle;
        self.lease_until = None;
        self.try_at = now + self.cfg.retry_after;
        self.outstanding.clear();
        self.step = None;
        self.step_retry_at = None;
        self.snapshotting = None;
        self.pending_since = None;
        self.is_resigning = false;
        let in_flight = self.in_flight.take().into_iter().flat_map(|f| f.proposals);
        for proposal in in_flight {
            self.effects.push(Effect::Unknown(proposal.ticket));
        }
        for proposal in self.pending.drain(..) {
            self.effects.push(Effect::Dropped(proposal.ticket));
        }
        if was_active {
            self.effects.push(Effect::OwnershipLost(reason));
        }
        // Revoking the lease deletes the key, so that nobody waits for it to expire. If
        // the lease expired by itself, the store may be down, and there is nothing to revoke.
        if let Some(lease) = lease.filter(|_| reason != LossReason::LeaseEnd) {
            self.call(now, Purpose::Revoke, StoreCall::LeaseRevoke { lease });
        }
    }

    /// Reports that the shard cannot be recovered and schedules a retry.
    fn mark_stuck(&mut self, now: Instant, e: Error) {
        self.lose_ownership(now, LossReason::Another);
        self.try_at = now + STUCK_RETRY;
        self.phase = Phase::Stuck(e.clone());
        self.effects.push(Effect::Stuck(e));
    }
}
