//! Taking, keeping and losing ownership of a shard, and committing to its log.

mod commit;
mod lease;
mod takeover;

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;
use platform::store::{LeaseId, Revision, StoreCall, StoreReply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::{Change, Keys, ShardState};

/// How an owner is set up.
#[derive(Clone, Debug)]
pub struct OwnerCfg {
    /// The shard.
    pub shard: ShardId,
    /// The pool whose jobs it holds.
    pub pool: PoolName,
    /// This entry.
    pub entry: EntryId,
    /// Where this entry takes control calls.
    pub rpc_addr: SocketAddr,
    /// How long the lease lives unless renewed.
    pub lease_ttl: Duration,
    /// What is taken off the lease for clocks that run at different rates.
    pub drift: Duration,
    /// How long changes are gathered before they are committed together.
    pub commit_window: Duration,
    /// How long to wait before a failed step is tried again.
    pub retry_after: Duration,
}

impl OwnerCfg {
    /// The default time to live of an owner's lease.
    pub const LEASE_TTL: Duration = Duration::from_secs(5);

    /// The default allowance for clocks that run at different rates.
    pub const DRIFT: Duration = Duration::from_millis(250);

    /// The default time that changes are gathered.
    pub const COMMIT_WINDOW: Duration = Duration::from_millis(100);

    /// The default wait before a failed step is tried again.
    pub const RETRY_AFTER: Duration = Duration::from_millis(250);
}

/// The value of a shard's owner key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerValue {
    /// The shard.
    pub shard: ShardId,
    /// The pool whose jobs it holds.
    pub pool: PoolName,
    /// The owner.
    pub entry: EntryId,
    /// Where the owner takes control calls.
    pub rpc_addr: SocketAddr,
    /// The owner's term; 0 while it takes over.
    pub epoch: Epoch,
}

/// How urgent a store call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It keeps or takes a lease.
    Lease,
    /// It commits or recovers.
    Commit,
}

/// Matches the end of a proposal to the one who made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What an owner asks for or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call and hand its answer to [`Owner::reply`] with the id.
    Store {
        /// The id.
        id: u64,
        /// How urgent it is.
        urgency: Urgency,
        /// The call.
        call: StoreCall,
    },
    /// This entry owns the shard from now on; its state is recovered.
    Activated(Epoch),
    /// A change is committed and applied.
    Committed(Ticket, Change),
    /// It is not known whether a proposed change is committed.
    Unknown(Ticket),
    /// This entry no longer owns the shard.
    Deposed,
    /// The shard cannot be recovered: a record is unreadable.
    Stuck(Error),
}

/// A proposed change that is not committed yet.
#[derive(Clone, Debug)]
struct Proposal {
    ticket: Ticket,
    change: Change,
}

/// A record on its way to the store.
#[derive(Clone, Debug)]
struct InFlight {
    id: u64,
    nonce: Nonce,
    value: Arc<[u8]>,
    proposals: Vec<Proposal>,
    /// When to send the record again after an error.
    retry_at: Option<Instant>,
}

/// Where an owner stands.
#[derive(Clone, Debug)]
enum Phase {
    /// Another entry may own the shard.
    Idle,
    /// The lease was asked for.
    Granting,
    /// The owner key is being created.
    Claiming { lease: LeaseId },
    /// The log is being read.
    Reading { lease: LeaseId },
    /// The barrier is being written.
    Barrier {
        lease: LeaseId,
        epoch: Epoch,
        nonce: Nonce,
    },
    /// This entry owns the shard.
    Active { lease: LeaseId, epoch: Epoch },
    /// The log holds something unreadable.
    Stuck,
}

/// What an awaited store call was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Step,
    Renew,
    Commit,
    Publish,
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
    renew_at: Instant,
    try_at: Instant,
    awaited: IndexMap<u64, Awaited>,
    next_id: u64,
    next_ticket: u64,
    pending: VecDeque<Proposal>,
    pending_since: Option<Instant>,
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
            renew_at: now,
            try_at: now,
            awaited: IndexMap::new(),
            next_id: 0,
            next_ticket: 0,
            pending: VecDeque::new(),
            pending_since: None,
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

    /// Proposes a change; [`Effect::Committed`] or [`Effect::Unknown`] follows.
    pub fn propose(&mut self, now: Instant, change: Change) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.pending.push_back(Proposal { ticket, change });
        self.pending_since.get_or_insert(now);
        ticket
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
            Phase::Idle if now >= self.try_at && self.awaited.is_empty() => self.begin(now),
            Phase::Idle | Phase::Stuck => {}
            Phase::Granting | Phase::Claiming { .. } | Phase::Reading { .. } => {}
            Phase::Barrier { .. } | Phase::Active { .. } => {
                self.renew_if_due(now);
                self.retry_if_due(now);
                self.commit_if_due(now);
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
            Purpose::Publish => self.published(reply),
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
            Purpose::Step | Purpose::Commit | Purpose::Publish => Urgency::Commit,
        };
        self.effects.push(Effect::Store { id, urgency, call });
        id
    }

    fn draw_nonce(&mut self) -> Nonce {
        Nonce(self.rng.random())
    }

    /// Gives up ownership: proposals on their way are of unknown outcome.
    fn depose(&mut self, now: Instant) {
        let was_active = self.epoch().is_some();
        self.phase = Phase::Idle;
        self.lease_until = None;
        self.try_at = now + self.cfg.retry_after;
        self.awaited.clear();
        self.pending_since = None;
        let in_flight = self.in_flight.take().into_iter().flat_map(|f| f.proposals);
        for proposal in in_flight.chain(self.pending.drain(..)) {
            self.effects.push(Effect::Unknown(proposal.ticket));
        }
        if was_active {
            self.effects.push(Effect::Deposed);
        }
    }
}
