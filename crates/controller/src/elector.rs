//! Leader election: the entry that holds a leased key in the store owns the jobs.

mod claim;
mod release;
mod renewal;
mod resume;

use base::prelude::*;
use jobs::owner::{EPOCH_KEY, OwnerRecord, Replacement};
use ports::store::{KeyValue, LeaseId, Revision, StoreCall, StoreReply};

use self::resume::Resume;

/// The settings of an [`Elector`].
#[derive(Clone, Debug)]
pub struct ElectorCfg {
    /// This entry's record; epoch and nonce are filled in for each claim.
    pub me: OwnerRecord,
    /// The time to live of the owner's lease.
    pub lease: Duration,
    /// How long the owner continues after its lease expired while the store does not respond.
    pub outage_grace: Duration,
    /// How long this entry delays a claim in favour of entries with more resources.
    pub claim_delay: Duration,
}

/// A store call made for the election.
pub type Call = StoreCall;

/// A reading of the monotonic clock and of the time since the VM was booted, neither of which can
/// be stepped.
pub type Clocks = (Instant, Duration);

/// A change of ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This entry owns the jobs.
    Elected {
        /// The epoch of this ownership.
        epoch: Epoch,
        /// The revision of the owner's key.
        revision: Revision,
        /// The owner from which the key was taken while it was still alive.
        previous: Option<OwnerRecord>,
    },
    /// This entry has taken its key again under the same epoch and goes on with its state.
    Resumed {
        /// The new revision of the owner's key.
        revision: Revision,
    },
    /// This entry no longer owns the jobs, for the reason given.
    OwnershipLost(&'static str),
}

/// How long the store must have failed for its next response to count as its return.
const OUTAGE_AFTER: Duration = Duration::from_secs(1);

/// How long after the store's return an owner's report that it cannot reach the store counts as
/// outdated: several times the interval of its attempts.
const OUTDATED_REPORT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Phase {
    Following,
    Granting,
    ReadingEpoch {
        lease: LeaseId,
        granted: Clocks,
    },
    Claiming {
        lease: LeaseId,
        record: OwnerRecord,
        granted: Clocks,
    },
    Leading(Leading),
}

#[derive(Clone, Debug)]
struct Leading {
    lease: LeaseId,
    revision: Revision,
    record: OwnerRecord,
    /// The revision at which the claim wrote the epoch's key.
    epoch_revision: Revision,
    /// Set while ownership is suspended because the lease has expired.
    resume: Option<Resume>,
    /// When the last successful renewal was sent, on both clocks.
    renewed: Clocks,
    /// When the last call was sent whose reply showed the key at `revision`, on both clocks.
    proved: Clocks,
    /// Whether the next renewal is to be followed by a read of the key.
    needs_proof: bool,
    /// The outstanding call.
    renewing: Option<SentCall>,
    next_renewal: Instant,
}

/// An outstanding call of the owner.
#[derive(Clone, Copy, Debug)]
struct SentCall {
    /// The step of a resumption; `None` for a renewal or a read of the key.
    step: Option<Resume>,
}

/// The state machine of one entry in the election of the owner.
#[derive(Debug)]
pub struct Elector {
    cfg: ElectorCfg,
    phase: Phase,
    seen: Option<(OwnerRecord, Revision)>,
    is_key_known: bool,
    has_resigned: bool,
    claim_at: Option<Instant>,
    /// The owner from which to take the key: it is alive, but cannot reach the store.
    claim_from: Option<(OwnerRecord, Revision)>,
    nonce: Nonce,
    /// Whether this process has made a claim.
    has_claimed: bool,
    /// Since when the store has not responded to this entry.
    failing_since: Option<Instant>,
    /// When the last outage of the store ended.
    back_at: Option<Instant>,
}

impl Elector {
    /// Creates an elector that does not own the jobs.
    pub fn new(cfg: ElectorCfg) -> Self {
        Self {
            cfg,
            phase: Phase::Following,
            seen: None,
            is_key_known: false,
            has_resigned: false,
            claim_at: None,
            claim_from: None,
            nonce: Nonce(0),
            has_claimed: false,
            failing_since: None,
            back_at: None,
        }
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records a response of the store; returns true if it ends an outage.
    fn store_responded(&mut self, now: Instant) -> bool {
        let is_back = self
            .failing_since
            .take()
            .is_some_and(|since| now.saturating_duration_since(since) >= OUTAGE_AFTER);
        if is_back {
            self.back_at = Some(now);
        }
        is_back
    }

    /// Returns true if the store does not respond to this entry, or has not for long again.
    fn is_store_out(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < OUTDATED_REPORT;
        self.failing_since.is_some() || self.back_at.is_some_and(is_recent)
    }

    /// Returns the latest known owner.
    pub fn owner(&self) -> Option<&OwnerRecord> {
        self.seen.as_ref().map(|(record, _)| record)
    }

    /// Returns true if this entry is the owner and its lease cannot have expired.
    pub fn is_lease_valid(&self, now: Instant, boot_time: Duration) -> bool {
        self.leading()
            .is_some_and(|l| renewal::age((now, boot_time), l.renewed) < self.cfg.lease)
    }

    /// Returns true if this entry is the owner and the lease and the outage grace have not passed
    /// since its key was last proved to be there.
    pub fn may_lead(&self, now: Instant, boot_time: Duration) -> bool {
        let limit = self.cfg.lease + self.cfg.outage_grace;
        self.leading()
            .is_some_and(|l| renewal::age((now, boot_time), l.proved) < limit)
    }

    /// Returns when the last call was sent whose reply showed this owner's key: until then no other entry
    /// owned the jobs.
    pub fn proved_at(&self) -> Option<Instant> {
        self.leading().map(|l| l.proved.0)
    }

    /// Renews the lease and reads the key now.
    pub fn prove(&mut self, now: Instant) {
        // While the store does not respond, its next call is due after a delay already.
        let is_failing = self.is_store_failing();
        if let Phase::Leading(leading) = &mut self.phase
            && !std::mem::replace(&mut leading.needs_proof, true)
            && !is_failing
        {
            leading.next_renewal = leading.next_renewal.min(now);
        }
    }

    /// Returns the state of an ownership that is not suspended.
    fn leading(&self) -> Option<&Leading> {
        match &self.phase {
            Phase::Leading(leading) if leading.resume.is_none() => Some(leading),
            _ => None,
        }
    }

    /// Records that a transaction found the owner's key missing.
    pub fn key_missing(&mut self, now: Instant) {
        if let Phase::Leading(leading) = &mut self.phase {
            leading.suspend(now);
        }
    }

    /// Returns true if this entry's ownership is suspended until it has taken the key again.
    pub fn is_resuming(&self) -> bool {
        matches!(&self.phase, Phase::Leading(leading) if leading.resume.is_some())
    }

    /// Returns true if the latest call of the store failed.
    pub fn is_store_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns true if the owner's key is known to be free, so that an entry takes it within a few
    /// calls of the store, which responds.
    pub fn is_key_free(&self) -> bool {
        self.is_key_known && self.seen.is_none() && !self.is_store_failing()
    }

    /// Records the owner's key as read from the store; `jitter` delays a claim.
    pub fn key_seen(
        &mut self,
        now: Instant,
        jitter: Duration,
        kv: Option<&KeyValue>,
    ) -> Option<Change> {
        self.is_key_known = true;
        let is_back = self.store_responded(now);
        let record = kv.and_then(|kv| Some((OwnerRecord::decode(&kv.value).ok()?, kv.revision)));
        if record.is_none() && (self.claim_at.is_none() || is_back) {
            self.claim_at = Some(self.claim_time(now, is_back) + jitter);
        }
        let revision = record.as_ref().map(|(_, revision)| *revision);
        let seen = self.seen.as_ref().map(|(_, revision)| *revision);
        if revision.is_some() && revision < seen {
            // A stale read: a notification of a later owner has arrived already.
            return None;
        }
        let is_claimed = self.claim_from.as_ref().map(|(_, from)| *from) == revision;
        if revision.is_some() && !is_claimed {
            self.claim_at = None;
        }
        self.seen = record;
        self.claim_left_behind(now);
        let Phase::Leading(leading) = &mut self.phase else {
            return None;
        };
        match &self.seen {
            None => leading.suspend(now),
            // The result of a read made before the claim may arrive after it, so only a later
            // revision ends ownership.
            Some((record, seen)) if *seen > leading.revision && !leading.wrote(record) => {
                self.phase = Phase::Following;
                return Some(Change::OwnershipLost("the owner's key is another's"));
            }
            Some(_) => {}
        }
        None
    }

    /// Records that another entry has taken the key.
    pub fn replaced(&mut self, by: &Replacement) -> Option<Change> {
        let seen = self.seen.as_ref().map(|(_, revision)| *revision);
        if seen.is_some_and(|seen| by.revision <= seen) {
            return None;
        }
        self.seen = Some((by.record.clone(), by.revision));
        self.claim_at = None;
        let was_leading = matches!(self.phase, Phase::Leading(_));
        self.phase = Phase::Following;
        was_leading.then_some(Change::OwnershipLost("another entry has taken over"))
    }

    /// Returns the call that is due, if any; `nonce` identifies a claim.
    pub fn run(&mut self, now: Instant, nonce: Nonce) -> Option<Call> {
        match &mut self.phase {
            Phase::Following => {
                let is_due = self.claim_at.is_some_and(|at| at <= now);
                let is_taken = self.seen.is_some() && self.claim_from.is_none();
                if self.has_resigned || !self.is_key_known || !is_due || is_taken {
                    return None;
                }
                self.nonce = nonce;
                self.has_claimed = true;
                self.phase = Phase::Granting;
                let ttl = self.cfg.lease;
                Some(StoreCall::LeaseGrant { ttl })
            }
            Phase::Leading(leading)
                if leading.next_renewal <= now && leading.renewing.is_none() =>
            {
                let step = leading.resume;
                leading.renewing = Some(SentCall { step });
                leading.call(now, &self.cfg)
            }
            _ => None,
        }
    }

    /// Returns when [`Elector::run`] should be called next.
    pub fn next_due(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Following => self.claim_at.filter(|_| !self.has_resigned),
            Phase::Leading(leading) if leading.renewing.is_none() => Some(leading.next_renewal),
            _ => None,
        }
    }

    /// Handles the reply to a call sent at `sent`; returns the next call and a change of ownership.
    pub fn reply(
        &mut self,
        now: Instant,
        sent: Clocks,
        reply: Result<StoreReply>,
    ) -> (Option<Call>, Option<Change>) {
        let is_back = match &reply {
            Ok(_) => self.store_responded(now),
            Err(_) => {
                self.store_failed(now);
                false
            }
        };
        match (self.phase.clone(), reply) {
            (Phase::Granting, Ok(StoreReply::Leased { .. })) if is_back => {
                self.phase = Phase::Following;
                self.claim_at = Some(self.claim_time(now, is_back));
                (None, None)
            }
            (Phase::Granting, Ok(StoreReply::Leased { lease, .. })) => {
                let granted = sent;
                self.phase = Phase::ReadingEpoch { lease, granted };
                let key = EPOCH_KEY.into();
                (Some(StoreCall::Get { key }), None)
            }
            (Phase::ReadingEpoch { lease, granted }, Ok(StoreReply::Got(found))) => {
                (self.claim(lease, granted, found.as_ref()), None)
            }
            (
                Phase::Claiming {
                    lease,
                    record,
                    granted,
                },
                Ok(reply),
            ) => (
                None,
                self.claimed(now, sent, lease, granted, &record, &reply),
            ),
            (
                Phase::Claiming {
                    lease,
                    record,
                    granted,
                },
                Err(e),
            ) if e.kind().is_outcome_unknown() => {
                // Repeated: if the first attempt took effect, the conflict returns our own value.
                self.phase = Phase::Claiming {
                    lease,
                    record: record.clone(),
                    granted,
                };
                (self.claim_call(lease, &record, None), None)
            }
            (Phase::Leading(mut leading), reply) => {
                let step = leading.renewing.take().and_then(|sent| sent.step);
                match step {
                    Some(step) => (None, self.resumed(now, sent, step, leading, reply)),
                    None => self.renewed(now, sent, leading, reply),
                }
            }
            (Phase::Following, _) => (None, None),
            _ => {
                self.follow(now);
                (None, None)
            }
        }
    }
}
