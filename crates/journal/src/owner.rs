//! Taking, keeping and losing ownership of a shard, and committing to its log.

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
pub use self::effect::{DeposedBy, Effect, Ticket, Urgency};
use self::recover::Reading;
use self::trim::Snapshotting;
pub use self::value::OwnerValue;

/// How long to wait before a shard that could not be recovered is tried again.
const STUCK_RETRY: Duration = Duration::from_secs(15);

/// A proposed change that is not committed yet.
#[derive(Clone, Debug)]
struct Proposal {
    ticket: Ticket,
    change: Change,
    /// The size of the encoded change.
    bytes: usize,
}

/// A record on its way to the store.
#[derive(Clone, Debug)]
struct InFlight {
    id: u64,
    nonce: Nonce,
    value: Arc<[u8]>,
    proposals: Vec<Proposal>,
    /// What the record says before the proposals.
    header: Vec<Change>,
    /// When to send the record again after an error.
    retry_at: Option<Instant>,
}

/// Where an owner stands.
#[derive(Clone, Debug)]
enum Phase {
    /// Another entry may own the shard.
    Idle,
    /// The owner key is being read.
    Looking,
    /// The lease was asked for.
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
    /// The log holds something unreadable.
    Stuck(Error),
}

/// What an awaited store call was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Step,
    Renew,
    Commit,
    Publish,
    Snapshot,
    Revoke,
}

/// An awaited store call.
#[derive(Clone, Copy, Debug)]
struct Awaited {
    purpose: Purpose,
    sent: Instant,
}

/// The ownership of one shard by one entry.
///
/// It is a state machine without I/O: [`Owner::tick`] and [`Owner::reply`] drive
/// it, [`Owner::take_effects`] returns what it wants done.
#[derive(Debug)]
pub struct Owner {
    cfg: OwnerCfg,
    keys: Keys,
    rng: StdRng,
    phase: Phase,
    state: ShardState,
    /// The last record applied.
    last_seq: Seq,
    /// The highest term seen in a record.
    last_epoch: Epoch,
    /// When the lease ends at the earliest, by this process's clock.
    lease_until: Option<Instant>,
    owner_revision: Revision,
    /// The step of a take-over on its way, to be repeated after an error.
    step: Option<StoreCall>,
    step_retry_at: Option<Instant>,
    /// The snapshot that is in force, as far as this entry knows.
    pointer: Option<Pointer>,
    pointer_revision: Option<Revision>,
    snapshotting: Option<Snapshotting>,
    /// The size of the log since the last snapshot, in bytes.
    log_bytes: u64,
    /// How often a gap was found in the log since it was last read whole.
    gaps: u32,
    is_resigning: bool,
    has_resigned: bool,
    claim_delay: Duration,
    free_since: Option<Instant>,
    wall_ms: u64,
    renew_at: Instant,
    try_at: Instant,
    awaited: IndexMap<u64, Awaited>,
    next_id: u64,
    next_ticket: u64,
    pending: VecDeque<Proposal>,
    pending_since: Option<Instant>,
    sent_at: Option<Instant>,
    in_flight: Option<InFlight>,
    effects: Vec<Effect>,
}

impl Owner {
    /// Creates an owner that does not own the shard yet.
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
            awaited: IndexMap::new(),
            next_id: 0,
            next_ticket: 0,
            pending: VecDeque::new(),
            pending_since: None,
            sent_at: None,
            in_flight: None,
            effects: Vec::new(),
        }
    }

    /// Returns the committed state; it is current only while [`Owner::may_act`].
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Returns the term in which this entry owns the shard.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.phase {
            Phase::Active { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Tells whether this entry owns the shard and its lease holds.
    pub fn may_act(&self, now: Instant) -> bool {
        self.epoch().is_some() && self.lease_until.is_some_and(|until| now < until)
    }

    /// Returns when the lease ends at the earliest, by this process's clock.
    pub fn lease_until(&self) -> Option<Instant> {
        self.lease_until
    }

    /// Proposes a change; [`Effect::Committed`], [`Effect::Unknown`] or [`Effect::Dropped`] follows.
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

    /// Tells how many proposed changes are not committed yet.
    pub fn backlog(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, |f| f.proposals.len());
        in_flight + self.pending.len()
    }

    /// Returns why the shard cannot be recovered, if it cannot.
    pub fn stuck(&self) -> Option<&Error> {
        match &self.phase {
            Phase::Stuck(e) => Some(e),
            _ => None,
        }
    }

    /// Sets the time of day, in milliseconds since 1970, that the next records carry.
    pub fn set_wall(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
    }

    /// Sets how long a shard without an owner is left to others before it is claimed.
    pub fn set_claim_delay(&mut self, delay: Duration) {
        self.claim_delay = delay;
    }

    /// Commits what is proposed, then gives the shard up and claims none again.
    ///
    /// `is_sole` says that no owner before this one can still keep tasks, so that the
    /// next one need not wait for any.
    pub fn resign(&mut self, now: Instant, is_sole: bool) {
        self.has_resigned = true;
        if self.epoch().is_none() {
            return self.depose(now, DeposedBy::Resignation);
        }
        if is_sole {
            self.propose(now, Change::HandedOver);
        }
        self.is_resigning = true;
    }

    /// Tells whether a shard that was given up is given up for good.
    pub fn has_resigned(&self) -> bool {
        self.has_resigned && matches!(self.phase, Phase::Idle) && self.awaited.is_empty()
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

    /// Returns what is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        match self.phase {
            Phase::Idle | Phase::Stuck(_) => self.look_if_due(now),
            Phase::Looking | Phase::Granting => {}
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
                    self.depose(now, DeposedBy::Resignation);
                }
            }
        }
        self.check_lease(now);
    }

    /// Takes the answer to a store call.
    pub fn reply(&mut self, now: Instant, id: u64, reply: Result<StoreReply>) {
        let Some(awaited) = self.awaited.swap_remove(&id) else {
            return;
        };
        match awaited.purpose {
            Purpose::Step => self.step_done(now, awaited.sent, reply),
            Purpose::Renew => self.renewed(now, awaited.sent, reply),
            Purpose::Commit => self.commit_done(now, id, reply),
            Purpose::Publish => self.published(now, reply),
            Purpose::Snapshot => self.snapshot_done(now, reply),
            Purpose::Revoke => {}
        }
        self.check_lease(now);
    }

    /// Asks for a store call.
    fn call(&mut self, now: Instant, purpose: Purpose, call: StoreCall) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.awaited.insert(id, Awaited { purpose, sent: now });
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

    /// Returns the lease that this entry holds or held last.
    fn lease(&self) -> Option<LeaseId> {
        match self.phase {
            Phase::Claiming { lease }
            | Phase::Reading { lease, .. }
            | Phase::Barrier { lease, .. }
            | Phase::Active { lease, .. } => Some(lease),
            Phase::Idle | Phase::Looking | Phase::Granting | Phase::Stuck(_) => None,
        }
    }

    /// Gives up ownership: the record on its way is of unknown outcome, the rest is dropped.
    fn depose(&mut self, now: Instant, by: DeposedBy) {
        let was_active = self.epoch().is_some();
        let lease = self.lease();
        self.phase = Phase::Idle;
        self.lease_until = None;
        self.try_at = now + self.cfg.retry_after;
        self.awaited.clear();
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
            self.effects.push(Effect::Deposed(by));
        }
        // The key goes with the lease, so that nobody waits for it to lapse. Where
        // the lease ended by itself the store may be down, and has nothing to end.
        if let Some(lease) = lease.filter(|_| by != DeposedBy::LeaseEnd) {
            self.call(now, Purpose::Revoke, StoreCall::LeaseRevoke { lease });
        }
    }

    /// Reports that the shard cannot be recovered; it is tried again later.
    fn stick(&mut self, now: Instant, e: Error) {
        self.depose(now, DeposedBy::Another);
        self.try_at = now + STUCK_RETRY;
        self.phase = Phase::Stuck(e.clone());
        self.effects.push(Effect::Stuck(e));
    }
}
