//! The teams' shares of the pool by their dominant resource.

use base::prelude::*;
use tables::Quota;

use crate::ledger::Ledger;

/// The quotas of one pool.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    teams: IndexMap<TeamName, Quota>,
    /// The share of a team that is not in the table.
    default_share: f64,
}

/// The least quota that shares are divided by.
const MIN_SHARE: f64 = 1e-6;

impl Quotas {
    pub(crate) fn new(teams: &IndexMap<TeamName, Quota>) -> Self {
        Self {
            teams: teams.clone(),
            default_share: if teams.is_empty() { 1.0 } else { 0.0 },
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    fn quota(&self, team: &TeamName) -> Quota {
        self.teams.get(team).copied().unwrap_or(Quota {
            share: self.default_share,
            borrow: true,
        })
    }

    /// Returns the dominant share of the pool that a team would hold with `more` added, 0 to 1.
    pub(crate) fn share(&self, ledger: &Ledger, team: &TeamName, more: Resources) -> f64 {
        let held = ledger.teams.get(team).copied().unwrap_or_default() + more;
        dominant_share(held, ledger.capacity)
    }

    /// Returns the ratio of a team's share, with `more` added, to its quota; above 1 it borrows.
    pub(crate) fn ratio(&self, ledger: &Ledger, team: &TeamName, more: Resources) -> f64 {
        self.share(ledger, team, more) / self.quota(team).share.max(MIN_SHARE)
    }

    /// Returns true if a team may hold `more` in addition to what it has.
    pub(crate) fn allows(&self, ledger: &Ledger, team: &TeamName, more: Resources) -> bool {
        let quota = self.quota(team);
        quota.borrow || self.share(ledger, team, more) <= quota.share
    }

    /// Returns true if a team holds more than its quota.
    pub(crate) fn borrows(&self, ledger: &Ledger, team: &TeamName) -> bool {
        !self.is_empty() && self.ratio(ledger, team, Resources::ZERO) > 1.0
    }

    /// Returns the quota of a team that may not borrow if the job alone exceeds it.
    pub(crate) fn exceeded_quota(
        &self,
        ledger: &Ledger,
        team: &TeamName,
        need: Resources,
    ) -> Option<f64> {
        let quota = self.quota(team);
        let share = dominant_share(need, ledger.capacity);
        (!quota.borrow && share > quota.share).then_some(quota.share)
    }
}

/// Returns the largest share of any resource.
fn dominant_share(held: Resources, capacity: Resources) -> f64 {
    let share = |held: u64, capacity: u64| match (held, capacity) {
        (0, _) => 0.0,
        (held, capacity) => held as f64 / capacity.max(1) as f64,
    };
    share(held.cpu_milli, capacity.cpu_milli)
        .max(share(held.memory_mib, capacity.memory_mib))
        .max(share(
            u64::from(held.accelerators),
            u64::from(capacity.accelerators),
        ))
}
