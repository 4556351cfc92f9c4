//! Decides until when tasks may start in an availability zone that operators may cordon.
//!
//! Operators cordon a zone by a key in the store, and no task may start there later than a bound
//! after the key was written. Each read of the keys proves which zones were open when it was sent,
//! so it permits starts in those zones until that time plus the bound, and no longer: an owner that
//! can't read the keys any more, and a companion that can't reach its owner, stop starting tasks in
//! time without being told.

use base::prelude::*;

/// The part of the bound that is kept for a start on its way to the worker: one in this many.
const TRANSIT_SHARE: u32 = 10;

/// What a read of the operators' keys showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The cordoned zones.
    pub zones: IndexSet<ZoneName>,
    /// When the read was sent.
    pub sent_at: Instant,
}

/// The zones whose state a new observation changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Zones that are cordoned now and were not before.
    pub closed: Vec<ZoneName>,
    /// Zones that were cordoned before and are not any more.
    pub opened: Vec<ZoneName>,
}

/// The cordoned zones as an owner knows them.
#[derive(Clone, Debug)]
pub struct Cordons {
    bound: Duration,
    zones: IndexSet<ZoneName>,
    /// When the read that showed `zones` was sent; `None` if their state is not known.
    sent_at: Option<Instant>,
}

impl Cordons {
    /// Creates the state of an owner that has not read the keys yet; `bound` is how long after a
    /// cordon is stored tasks may still start in its zone.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound: bound - bound / TRANSIT_SHARE,
            zones: IndexSet::new(),
            sent_at: None,
        }
    }

    /// Applies an observation, unless a later one is known.
    pub fn observe(&mut self, new: Observation) -> Change {
        if self.sent_at.is_some_and(|known| known > new.sent_at) {
            return Change::default();
        }
        let change = Change {
            closed: new.zones.difference(&self.zones).cloned().collect(),
            opened: self.zones.difference(&new.zones).cloned().collect(),
        };
        self.zones = new.zones;
        self.sent_at = Some(new.sent_at);
        change
    }

    /// Permits no starts until the next observation, because the age of the latest can't be told.
    pub fn forget(&mut self) {
        self.sent_at = None;
    }

    /// Returns until when tasks may start in a zone; `None` if they may not.
    pub fn starts_until(&self, zone: &ZoneName) -> Option<Instant> {
        let sent_at = self.sent_at?;
        (!self.zones.contains(zone)).then(|| sent_at + self.bound)
    }

    /// Returns the number of cordoned zones.
    pub fn count(&self) -> usize {
        self.zones.len()
    }
}
