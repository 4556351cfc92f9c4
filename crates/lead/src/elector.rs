//! Which entry owns the jobs: a key of the store under a lease.

use std::time::SystemTime;

use base::prelude::*;
use jobs::owner::{EPOCH_KEY, OWNER_KEY, OwnerRecord, Replacement};
use ports::store::{Expect, KeyValue, KeyWrite, LeaseId, Revision, StoreCall, StoreReply};

/// What an elector needs to know.
#[derive(Clone, Debug)]
pub struct ElectorCfg {
    /// This entry; epoch and nonce are set for each claim.
    pub me: OwnerRecord,
    /// How long the owner's key outlives its last renewal.
    pub lease: Duration,
    /// How long the owner goes on, beyond its lease, while the store does not answer.
    pub outage_grace: Duration,
    /// How long this entry leaves a claim to others that could do more as the owner.
    pub claim_delay: Duration,
}

/// A store call that the election needs.
pub type Call = StoreCall;

/// What the election has decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This entry owns the jobs.
    Elected {
        /// The epoch.
        epoch: Epoch,
        /// The revision of the owner's key.
        revision: Revision,
        /// The owner from whom the key was taken, where it was alive.
        former: Option<OwnerRecord>,
    },
    /// This entry no longer owns the jobs.
    Deposed(&'static str),
}

/// How long a claim that failed is not repeated.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long an entry that gave up leaves the claim to others: several times an election.
const GIVE_UP_PAUSE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Phase {
    Following,
    Granting,
    ReadingEpoch {
        lease: LeaseId,
        granted: Instant,
    },
    Claiming {
        lease: LeaseId,
        record: OwnerRecord,
        granted: Instant,
    },
    Leading(Leading),
}

#[derive(Clone, Debug)]
struct Leading {
    lease: LeaseId,
    revision: Revision,
    /// When the last renewal that succeeded was sent, by both clocks.
    renewed: (Instant, SystemTime),
    /// When a renewal was sent that has no answer yet.
    renewing: Option<(Instant, SystemTime)>,
    next_renewal: Instant,
}

/// Takes part in the election of the owner.
#[derive(Debug)]
pub struct Elector {
    cfg: ElectorCfg,
    phase: Phase,
    seen: Option<(OwnerRecord, Revision)>,
    is_key_known: bool,
    has_resigned: bool,
    claim_at: Option<Instant>,
    /// The owner from whom the key is to be taken: it lives, but the store does not answer it.
    claim_from: Option<(OwnerRecord, Revision)>,
    nonce: Nonce,
}

impl Elector {
    /// Creates an elector that follows.
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
        }
    }

    /// Returns the owner as last seen.
    pub fn owner(&self) -> Option<&OwnerRecord> {
        self.seen.as_ref().map(|(record, _)| record)
    }

    /// Tells whether the owner's lease is certain to last.
    pub fn is_certain(&self, now: Instant, wall: SystemTime) -> bool {
        self.age(now, wall).is_some_and(|age| age < self.cfg.lease)
    }

    /// Tells whether this entry may go on as owner, if it is the owner.
    pub fn may_lead(&self, now: Instant, wall: SystemTime) -> bool {
        self.age(now, wall)
            .is_some_and(|age| age < self.cfg.lease + self.cfg.outage_grace)
    }

    /// Returns how long ago the lease was renewed, by the clock that says longer: the steady one
    /// may stand still while the VM is suspended, the other may jump.
    fn age(&self, now: Instant, wall: SystemTime) -> Option<Duration> {
        let Phase::Leading(leading) = &self.phase else {
            return None;
        };
        let by_wall = wall
            .duration_since(leading.renewed.1)
            .unwrap_or(Duration::ZERO);
        Some(now.duration_since(leading.renewed.0).max(by_wall))
    }

    /// Takes in the owner's key as it was seen; `jitter` delays a claim.
    pub fn key_seen(
        &mut self,
        now: Instant,
        jitter: Duration,
        kv: Option<&KeyValue>,
    ) -> Option<Change> {
        self.is_key_known = true;
        let record = kv.and_then(|kv| Some((OwnerRecord::decode(&kv.value).ok()?, kv.revision)));
        if record.is_none() && self.claim_at.is_none() {
            self.claim_at = Some(now + jitter + self.cfg.claim_delay);
        }
        let revision = record.as_ref().map(|(_, revision)| *revision);
        let seen = self.seen.as_ref().map(|(_, revision)| *revision);
        if revision.is_some() && revision < seen {
            // Read before a later owner told of itself.
            return None;
        }
        let is_claimed = self.claim_from.as_ref().map(|(_, from)| *from) == revision;
        if revision.is_some() && !is_claimed {
            self.claim_at = None;
        }
        self.seen = record;
        match &self.phase {
            // An older sighting may arrive after the claim; only a later one deposes.
            Phase::Leading(leading) if revision.is_none_or(|seen| seen > leading.revision) => {
                self.phase = Phase::Following;
                Some(Change::Deposed("the owner's key is gone or another's"))
            }
            _ => None,
        }
    }

    /// Takes the key from the owner at `epoch`, to which the store does not answer.
    ///
    /// If the store does not answer this entry either, then the claim fails and harms nothing.
    pub fn claim_from(&mut self, now: Instant, epoch: Epoch) {
        let is_free = matches!(self.phase, Phase::Following) && self.claim_at.is_none();
        let owner = self.seen.as_ref().filter(|(owner, _)| owner.epoch == epoch);
        if let Some(owner) = owner.filter(|_| is_free && !self.has_resigned) {
            self.claim_from = Some(owner.clone());
            self.claim_at = Some(now + self.cfg.claim_delay);
        }
    }

    /// Takes in that another entry has taken the key.
    pub fn replaced(&mut self, by: &Replacement) -> Option<Change> {
        let seen = self.seen.as_ref().map(|(_, revision)| *revision);
        if seen.is_some_and(|seen| by.revision <= seen) {
            return None;
        }
        self.seen = Some((by.record.clone(), by.revision));
        self.claim_at = None;
        let was_leading = matches!(self.phase, Phase::Leading(_));
        self.phase = Phase::Following;
        was_leading.then_some(Change::Deposed("another entry has taken over"))
    }

    /// Ends ownership so that another entry may claim it first; returns the call that does so.
    pub fn give_up(&mut self, now: Instant) -> Option<Call> {
        let call = self.release()?;
        self.claim_at = Some(now + GIVE_UP_PAUSE);
        Some(call)
    }

    /// Gives up ownership for good, as the process stops.
    pub fn resign(&mut self) -> Option<Call> {
        self.has_resigned = true;
        self.release()
    }

    /// Stops leading, if it leads; returns the call that ends the lease.
    fn release(&mut self) -> Option<Call> {
        let Phase::Leading(leading) = &self.phase else {
            return None;
        };
        let call = StoreCall::LeaseRevoke {
            lease: leading.lease,
        };
        self.phase = Phase::Following;
        self.seen = None;
        Some(call)
    }

    /// Gives up ownership because something showed that it has ended.
    pub fn depose(&mut self, now: Instant) {
        self.phase = Phase::Following;
        self.claim_from = None;
        self.claim_at = self.seen.is_none().then(|| now + RETRY_AFTER);
    }

    /// Returns the call that is due, if any; `nonce` marks a claim.
    pub fn run(&mut self, now: Instant, wall: SystemTime, nonce: Nonce) -> Option<Call> {
        match &mut self.phase {
            Phase::Following => {
                let is_due = self.claim_at.is_some_and(|at| at <= now);
                let is_taken = self.seen.is_some() && self.claim_from.is_none();
                if self.has_resigned || !self.is_key_known || !is_due || is_taken {
                    return None;
                }
                self.nonce = nonce;
                self.phase = Phase::Granting;
                let ttl = self.cfg.lease;
                Some(StoreCall::LeaseGrant { ttl })
            }
            Phase::Leading(leading)
                if leading.next_renewal <= now && leading.renewing.is_none() =>
            {
                leading.renewing = Some((now, wall));
                let lease = leading.lease;
                Some(StoreCall::LeaseRenew { lease })
            }
            _ => None,
        }
    }

    /// Returns when [`Elector::run`] has something to do.
    pub fn next_due(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Following => self.claim_at.filter(|_| !self.has_resigned),
            Phase::Leading(leading) if leading.renewing.is_none() => Some(leading.next_renewal),
            _ => None,
        }
    }

    /// Takes the reply to a call sent at `sent`; returns the next call and what was decided.
    pub fn reply(
        &mut self,
        now: Instant,
        sent: (Instant, SystemTime),
        reply: Result<StoreReply>,
    ) -> (Option<Call>, Option<Change>) {
        match (self.phase.clone(), reply) {
            (Phase::Granting, Ok(StoreReply::Leased { lease, .. })) => {
                let granted = sent.0;
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
                // Made again: if the first was carried out, then the conflict shows our own key.
                self.phase = Phase::Claiming {
                    lease,
                    record: record.clone(),
                    granted,
                };
                (self.claim_call(lease, &record, None), None)
            }
            (Phase::Leading(leading), reply) => (None, self.renewed(now, leading, reply)),
            (Phase::Following, _) => (None, None),
            _ => {
                self.depose(now);
                (None, None)
            }
        }
    }

    fn claim(
        &mut self,
        lease: LeaseId,
        granted: Instant,
        epoch: Option<&KeyValue>,
    ) -> Option<Call> {
        let last = epoch
            .and_then(|kv| std::str::from_utf8(&kv.value).ok())
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let record = OwnerRecord {
            epoch: Epoch(last).next(),
            nonce: self.nonce,
            ..self.cfg.me.clone()
        };
        let call = self.claim_call(lease, &record, epoch);
        self.phase = Phase::Claiming {
            lease,
            record,
            granted,
        };
        call
    }

    /// Returns the claim; a repeated one leaves the epoch's revision open, which its own write moved.
    fn claim_call(
        &self,
        lease: LeaseId,
        record: &OwnerRecord,
        epoch: Option<&KeyValue>,
    ) -> Option<Call> {
        let owner = self
            .claim_from
            .as_ref()
            .map_or(Expect::Absent, |(_, r)| Expect::Revision(*r));
        let mut expected = vec![(OWNER_KEY.into(), owner)];
        let expect = epoch.map_or(Expect::Absent, |kv| Expect::Revision(kv.revision));
        expected.push((EPOCH_KEY.into(), expect));
        let owner = KeyWrite {
            key: OWNER_KEY.into(),
            value: record.encode().ok()?,
            lease: Some(lease),
        };
        let epoch = KeyWrite {
            key: EPOCH_KEY.into(),
            value: record.epoch.0.to_string().into_bytes().into(),
            lease: None,
        };
        Some(StoreCall::Txn {
            expected,
            writes: vec![owner, epoch],
            deletes: Vec::new(),
        })
    }

    fn claimed(
        &mut self,
        now: Instant,
        sent: (Instant, SystemTime),
        lease: LeaseId,
        granted: Instant,
        record: &OwnerRecord,
        reply: &StoreReply,
    ) -> Option<Change> {
        let revision = match reply {
            StoreReply::Done { revision } => *revision,
            StoreReply::Conflicts { current } => {
                let mine = record.encode().ok()?;
                let found = current.iter().find(|kv| &*kv.key == OWNER_KEY);
                match found.filter(|kv| kv.value == mine) {
                    Some(kv) => kv.revision,
                    None => {
                        self.depose(now);
                        return None;
                    }
                }
            }
            _ => {
                self.depose(now);
                return None;
            }
        };
        let age = now.duration_since(granted);
        let renewed = (granted, sent.1.checked_sub(age).unwrap_or(sent.1));
        self.phase = Phase::Leading(Leading {
            lease,
            revision,
            renewed,
            renewing: None,
            next_renewal: now,
        });
        self.seen = Some((record.clone(), revision));
        self.claim_at = None;
        Some(Change::Elected {
            epoch: record.epoch,
            revision,
            former: self.claim_from.take().map(|(former, _)| former),
        })
    }

    fn renewed(
        &mut self,
        now: Instant,
        mut leading: Leading,
        reply: Result<StoreReply>,
    ) -> Option<Change> {
        let sent = leading.renewing.take();
        match reply {
            Ok(StoreReply::Leased { .. }) => {
                leading.renewed = sent.unwrap_or(leading.renewed);
                leading.next_renewal = now + self.cfg.lease / 4;
            }
            Ok(StoreReply::LeaseGone) => {
                self.depose(now);
                return Some(Change::Deposed("the owner's lease has ended"));
            }
            _ => leading.next_renewal = now + self.cfg.lease / 10,
        }
        self.phase = Phase::Leading(leading);
        None
    }
}
