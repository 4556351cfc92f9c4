//! The targets known to this entry, their health as it observes it, and the choice among them.

use std::net::SocketAddr;

use base::prelude::*;
use rand::Rng;
use rand::rngs::StdRng;
use tables::Pool;
use wire::{Announcement, TargetState};

/// The assumed latency of a new target, in seconds.
const FIRST_LATENCY: f64 = 0.01;

/// The weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// How many failures in a row eject a target.
const EJECT_AFTER: u32 = 3;

/// How long the first ejection lasts; each further one in a row lasts twice as long.
const EJECT_FOR: Duration = Duration::from_millis(500);

/// How many times the duration of an ejection is doubled at most.
const MAX_EJECT_DOUBLINGS: u32 = 5;

/// The share of healthy candidates below which ejected ones are used as well.
const EJECT_FLOOR: f64 = 0.5;

/// The cost factor of a target in another availability zone.
const OTHER_ZONE_PENALTY: f64 = 1.5;

/// Where a request is sent.
///
/// It is fixed for the first copy, so that later copies reach the same incarnation of the
/// companion.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) target: TargetId,
    pub(crate) incarnation: Incarnation,
    /// The companion's uptime in its last announcement.
    pub(crate) uptime: Duration,
    pub(crate) http_addr: SocketAddr,
    /// The address of the companion's control RPC, if known.
    pub(crate) rpc_addr: Option<SocketAddr>,
}

/// The result of an attempt as evidence about its target's health.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Evidence {
    /// It responded after this time, with this load.
    Responded(Duration, u32),
    /// It refused the request, which proves that it is reachable.
    Refused,
    /// It is unreachable or unresponsive, or the response was not complete.
    Failed,
}

/// A target with the statistics of this entry's attempts.
struct Target {
    announcement: Announcement,
    /// This entry's attempts in progress there.
    in_flight: u32,
    /// All requests in progress there, as last reported by the companion.
    load: u32,
    /// Smoothed latency in seconds.
    latency: f64,
    /// Failures since the last response.
    failures: u32,
    ejected_until: Option<Instant>,
    /// Whether an attempt is probing the target after an ejection.
    is_probed: bool,
}

/// All targets that have announced themselves.
pub(crate) struct Fleet {
    zone: ZoneName,
    targets: IndexMap<TargetId, Target>,
}

impl Fleet {
    pub(crate) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            targets: IndexMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.targets.len()
    }

    /// Records an announcement; a new incarnation of the companion resets the target's statistics.
    pub(crate) fn announced(&mut self, announcement: Announcement) {
        let known = self.targets.get_mut(&announcement.target);
        match known.filter(|t| t.announcement.incarnation == announcement.incarnation) {
            Some(target) => {
                let was_leaving = target.announcement.state == TargetState::Leaving;
                target.announcement = announcement;
                if was_leaving {
                    // A companion never returns from leaving, so this announcement was sent
                    // earlier.
                    target.announcement.state = TargetState::Leaving;
                }
            }
            None => {
                let name = announcement.target.clone();
                self.targets.insert(name, Target::new(announcement));
            }
        }
    }

    /// Forgets a target.
    pub(crate) fn gone(&mut self, target: &TargetId) {
        self.targets.swap_remove(target);
    }

    /// Marks an incarnation of a target as leaving.
    pub(crate) fn leaving(&mut self, target: &TargetId, incarnation: Incarnation) {
        let known = self.targets.get_mut(target);
        if let Some(found) = known.filter(|t| t.announcement.incarnation == incarnation) {
            found.announcement.state = TargetState::Leaving;
        }
    }

    /// Counts an attempt that starts.
    pub(crate) fn started(&mut self, destination: &Destination) {
        if let Some(target) = self.same_incarnation(destination) {
            target.in_flight += 1;
        }
    }

    /// Counts an attempt that ended.
    pub(crate) fn ended(&mut self, now: Instant, destination: &Destination, evidence: Evidence) {
        let Some(target) = self.same_incarnation(destination) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        match evidence {
            Evidence::Responded(took, load) => {
                let took = took.as_secs_f64();
                target.latency += (took - target.latency) * LATENCY_WEIGHT;
                target.load = load;
                target.recover();
            }
            Evidence::Refused => target.recover(),
            Evidence::Failed => target.fail(now),
        }
    }

    fn same_incarnation(&mut self, destination: &Destination) -> Option<&mut Target> {
        self.targets
            .get_mut(&destination.target)
            .filter(|t| t.announcement.incarnation == destination.incarnation)
    }

    /// Returns the address of the control RPC of a target's companion.
    pub(crate) fn rpc_addr(&self, target: &TargetId) -> Option<SocketAddr> {
        self.targets.get(target).map(|t| t.announcement.rpc_addr)
    }

    /// Chooses a target of a pool: of two random candidates, the one with the lower expected wait.
    ///
    /// The request may probe an ejected target only if `may_probe` is set.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        rng: &mut StdRng,
        pool: &Pool,
        except: &[TargetId],
        may_probe: bool,
    ) -> Option<Destination> {
        let serving: Vec<usize> = (0..self.targets.len())
            .filter(|&at| self.is_candidate(at, pool, except))
            .collect();
        let due = serving
            .iter()
            .copied()
            .find(|&at| may_probe && self.targets[at].is_due(now));
        if let Some(probe) = due {
            self.targets[probe].is_probed = true;
            return Some(self.targets[probe].destination());
        }
        let healthy: Vec<usize> = serving
            .iter()
            .copied()
            .filter(|&at| self.targets[at].ejected_until.is_none())
            .collect();
        let floor = (serving.len() as f64 * EJECT_FLOOR).ceil() as usize;
        let candidates = if healthy.len() >= floor.max(1) {
            healthy
        } else {
            serving
        };
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[rng.random_range(0..candidates.len())];
        let second = candidates[rng.random_range(0..candidates.len())];
        let best = if self.cost(second) < self.cost(first) {
            second
        } else {
            first
        };
        Some(self.targets[best].destination())
    }

    fn is_candidate(&self, at: usize, pool: &Pool, except: &[TargetId]) -> bool {
        let a = &self.targets[at].announcement;
        a.state == TargetState::Serving
            && !except.contains(&a.target)
            && pool.has_worker(&a.worker, &a.zone)
    }

    /// Returns the expected wait at a target, weighted for its availability zone.
    fn cost(&self, at: usize) -> f64 {
        let target = &self.targets[at];
        let load = f64::from(target.in_flight.max(target.load) + 1);
        let zone = if target.announcement.zone == self.zone {
            1.0
        } else {
            OTHER_ZONE_PENALTY
        };
        load * target.latency * zone
    }
}

impl Target {
    fn new(announcement: Announcement) -> Self {
        Self {
            load: announcement.in_flight,
            announcement,
            in_flight: 0,
            latency: FIRST_LATENCY,
            failures: 0,
            ejected_until: None,
            is_probed: false,
        }
    }

    fn destination(&self) -> Destination {
        let a = &self.announcement;
        Destination {
            target: a.target.clone(),
            incarnation: a.incarnation,
            uptime: a.uptime,
            http_addr: a.http_addr,
            rpc_addr: Some(a.rpc_addr),
        }
    }

    /// Returns true if an ejected target is due for a probe.
    fn is_due(&self, now: Instant) -> bool {
        !self.is_probed && self.ejected_until.is_some_and(|until| now >= until)
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
        self.is_probed = false;
    }

    fn fail(&mut self, now: Instant) {
        self.failures += 1;
        self.is_probed = false;
        if self.failures >= EJECT_AFTER {
            let doublings = (self.failures - EJECT_AFTER).min(MAX_EJECT_DOUBLINGS);
            self.ejected_until = Some(now + EJECT_FOR * 2_u32.pow(doublings));
        }
    }
}
