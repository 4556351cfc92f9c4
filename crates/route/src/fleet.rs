//! The targets as this entry sees them, and the choice among them.

use std::net::SocketAddr;

use base::prelude::*;
use rand::Rng;
use rand::rngs::StdRng;
use tables::Pool;
use wire::{Announcement, TargetState};

/// The latency that a new target is taken to have, in seconds.
const FIRST_LATENCY: f64 = 0.01;

/// The weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// How many failures in a row eject a target.
const EJECT_AFTER: u32 = 3;

/// How long the first ejection lasts; each further one in a row lasts twice as long.
const EJECT_FOR: Duration = Duration::from_millis(500);

/// How often the time of an ejection is doubled at most.
const MAX_EJECT_DOUBLINGS: u32 = 5;

/// The share of candidates that stay in use however many fail.
const EJECT_FLOOR: f64 = 0.5;

/// How much dearer a target in another availability zone is.
const OTHER_ZONE_PENALTY: f64 = 1.5;

/// Where a request is sent: fixed at its first copy, so that later copies reach the same life.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) target: TargetId,
    pub(crate) incarnation: Incarnation,
    /// The companion's uptime when it announced itself last.
    pub(crate) uptime: Duration,
    pub(crate) http_addr: SocketAddr,
    /// Where the companion takes control calls, where that is known.
    pub(crate) rpc_addr: Option<SocketAddr>,
}

/// What an attempt says about its target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Evidence {
    /// It answered after this time, with this load.
    Answered(Duration, u32),
    /// It refused, and so is there.
    Refused,
    /// It is out of reach, silent or broken.
    Failed,
}

/// A target.
struct Target {
    announcement: Announcement,
    /// Attempts of this entry in progress there.
    in_flight: u32,
    /// Requests in progress there, as last told by the companion.
    load: u32,
    /// Smoothed latency in seconds.
    latency: f64,
    /// Failures since the last answer.
    failures: u32,
    ejected_until: Option<Instant>,
    /// Whether one attempt is trying out the target after an ejection.
    is_probed: bool,
}

/// All targets that announced themselves.
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

    /// Takes an announcement; a new life of the companion starts afresh.
    pub(crate) fn announced(&mut self, announcement: Announcement) {
        let known = self.targets.get_mut(&announcement.target);
        match known.filter(|t| t.announcement.incarnation == announcement.incarnation) {
            Some(target) => {
                let was_leaving = target.announcement.state == TargetState::Leaving;
                target.announcement = announcement;
                if was_leaving {
                    // A companion never returns from leaving; this message was sent before.
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

    /// Marks a life of a target as leaving.
    pub(crate) fn leaving(&mut self, target: &TargetId, incarnation: Incarnation) {
        let known = self.targets.get_mut(target);
        if let Some(found) = known.filter(|t| t.announcement.incarnation == incarnation) {
            found.announcement.state = TargetState::Leaving;
        }
    }

    /// Counts an attempt that starts.
    pub(crate) fn started(&mut self, place: &Place) {
        if let Some(target) = self.same_life(place) {
            target.in_flight += 1;
        }
    }

    /// Counts an attempt that ended.
    pub(crate) fn ended(&mut self, now: Instant, place: &Place, evidence: Evidence) {
        let Some(target) = self.same_life(place) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        match evidence {
            Evidence::Answered(took, load) => {
                let took = took.as_secs_f64();
                target.latency += (took - target.latency) * LATENCY_WEIGHT;
                target.load = load;
                target.recover();
            }
            Evidence::Refused => target.recover(),
            Evidence::Failed => target.fail(now),
        }
    }

    fn same_life(&mut self, place: &Place) -> Option<&mut Target> {
        self.targets
            .get_mut(&place.target)
            .filter(|t| t.announcement.incarnation == place.incarnation)
    }

    /// Returns where a companion takes control calls.
    pub(crate) fn rpc_addr(&self, target: &TargetId) -> Option<SocketAddr> {
        self.targets.get(target).map(|t| t.announcement.rpc_addr)
    }

    /// Chooses a target of a pool: two random candidates, the one with the shorter wait.
    ///
    /// Only where `may_probe` is set does the request try out an ejected target.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        rng: &mut StdRng,
        pool: &Pool,
        except: &[TargetId],
        may_probe: bool,
    ) -> Option<Place> {
        let serving: Vec<usize> = (0..self.targets.len())
            .filter(|&at| self.is_candidate(at, pool, except))
            .collect();
        let due = serving
            .iter()
            .copied()
            .find(|&at| may_probe && self.targets[at].is_due(now));
        if let Some(probe) = due {
            self.targets[probe].is_probed = true;
            return Some(self.targets[probe].place());
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
        Some(self.targets[best].place())
    }

    fn is_candidate(&self, at: usize, pool: &Pool, except: &[TargetId]) -> bool {
        let a = &self.targets[at].announcement;
        a.state == TargetState::Serving
            && !except.contains(&a.target)
            && pool.has_worker(&a.worker, &a.zone)
    }

    /// Returns the expected wait at a target.
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

    fn place(&self) -> Place {
        let a = &self.announcement;
        Place {
            target: a.target.clone(),
            incarnation: a.incarnation,
            uptime: a.uptime,
            http_addr: a.http_addr,
            rpc_addr: Some(a.rpc_addr),
        }
    }

    /// Tells whether an ejected target may be tried out.
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
