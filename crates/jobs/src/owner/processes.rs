//! The processes of a worker's companion: which one reports, and which have ended.

/// The processes of a companion that have reported.
///
/// Their numbers do not tell which is older, since a wall clock may have been set back.
#[derive(Debug, Default)]
pub(super) struct Processes {
    /// The one that sent the last report.
    current: Option<u64>,
    /// The number of the last report.
    pub(super) last_number: u64,
    /// Others that have reported since the last adoption.
    replaced: Vec<u64>,
    ended: Vec<u64>,
}

impl Processes {
    /// Returns true if a report is older than the last one.
    pub(super) fn is_overtaken(&self, boot: u64, number: u64) -> bool {
        let is_older = self.current == Some(boot) && number <= self.last_number;
        is_older || self.ended.contains(&boot)
    }

    /// Records the last report; returns true if another process sent the one before.
    pub(super) fn record(&mut self, boot: u64, number: u64) -> bool {
        self.last_number = number;
        let other = self.current.replace(boot).filter(|last| *last != boot);
        self.replaced.retain(|replaced| *replaced != boot);
        self.replaced.extend(other);
        other.is_some()
    }

    /// Records that the last report shows the worker under its current fencing token.
    ///
    /// Its sender learned that token from the reply to a report of its own, so it has outlived all
    /// others that reported before.
    pub(super) fn record_adoption(&mut self) {
        self.ended.append(&mut self.replaced);
    }
}
