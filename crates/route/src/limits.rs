//! Limits of rate and concurrency, split over the live entries by demand.

mod bucket;
mod share;

use base::prelude::*;
use tables::Route;

pub use self::bucket::Bucket;
pub use self::share::apportion;

/// How long a peer's demand counts after it was reported.
const PEER_TTL: Duration = Duration::from_secs(5);

/// The weight of the last second in the smoothed demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// The share of a limit that is split evenly, so that an entry without demand can admit requests.
const EVEN_SHARE: f64 = 0.1;

/// The retry time given to a caller that a concurrency limit refused.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a limit refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limited {
    /// Which limit, a short token.
    pub reason: &'static str,
    /// The time after which the caller should try again.
    pub retry_after: Duration,
}

/// One limited route at this entry.
#[derive(Debug)]
struct Meter {
    /// Requests that arrived since the last tick.
    arrived: u32,
    /// Smoothed demand in requests per second.
    demand: f64,
    /// Requests in progress.
    in_progress: u32,
    bucket: Bucket,
}

/// The demand reported by another entry.
#[derive(Debug)]
struct Peer {
    at: Instant,
    demand: IndexMap<Name, f64>,
}

/// The limits of one entry.
#[derive(Debug)]
pub struct Limits {
    me: EntryId,
    meters: IndexMap<RouteName, Meter>,
    peers: IndexMap<EntryId, Peer>,
}

impl Limits {
    /// Creates the limits of an entry without peers.
    pub fn new(me: EntryId) -> Self {
        Self {
            me,
            meters: IndexMap::new(),
            peers: IndexMap::new(),
        }
    }

    /// Admits a request, or returns the limit that refuses it.
    ///
    /// # Errors
    ///
    /// Returns the limit that refuses the request and when to try again. The request still counts
    /// as demand.
    pub fn begin(&mut self, now: Instant, route: &Route) -> Result<(), Limited> {
        if route.rate.is_none() && route.concurrency.is_none() {
            return Ok(());
        }
        let shares = self.shares(&route.name);
        let mine = self.my_index(&shares);
        let meter = self
            .meters
            .entry(route.name.clone())
            .or_insert_with(|| Meter::new(now));
        meter.arrived += 1;
        if let Some(limit) = route.concurrency
            && meter.in_progress >= apportion(limit, &shares, mine)
        {
            return Err(Limited {
                reason: "concurrency-limit",
                retry_after: CONCURRENCY_RETRY_AFTER,
            });
        }
        if let Some(rate) = route.rate {
            let taken = meter.bucket.take(now, rate, shares[mine]);
            taken.map_err(|retry_after| Limited {
                reason: "rate-limit",
                retry_after,
            })?;
        }
        meter.in_progress += 1;
        Ok(())
    }

    /// Records the end of a request that [`Limits::begin`] admitted.
    pub fn end(&mut self, route: &RouteName) {
        if let Some(meter) = self.meters.get_mut(route) {
            meter.in_progress = meter.in_progress.saturating_sub(1);
        }
    }

    /// Updates the smoothed demand and drops expired peers; called once per second.
    pub fn tick(&mut self, now: Instant) {
        for meter in self.meters.values_mut() {
            let arrived = f64::from(std::mem::take(&mut meter.arrived));
            meter.demand += (arrived - meter.demand) * DEMAND_WEIGHT;
        }
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.at) <= PEER_TTL);
    }

    /// Returns this entry's demand by route, for its peers.
    pub fn demand(&self) -> Vec<(Name, f64)> {
        let meters = self.meters.iter();
        meters
            .map(|(route, meter)| (route.as_str().into(), meter.demand))
            .collect()
    }

    /// Records the demand reported by another entry.
    pub fn peer_demand(&mut self, now: Instant, entry: EntryId, demand: Vec<(Name, f64)>) {
        let peer = self.peers.entry(entry).or_insert_with(|| Peer {
            at: now,
            demand: IndexMap::new(),
        });
        peer.at = now;
        peer.demand.extend(demand);
    }

    /// Returns this entry's share of a route's limits, 0 to 1.
    pub fn share(&self, route: &RouteName) -> f64 {
        let shares = self.shares(route);
        shares[self.my_index(&shares)]
    }

    /// Forgets routes that are no longer in force.
    pub fn keep_routes(&mut self, mut is_kept: impl FnMut(&RouteName) -> bool) {
        self.meters.retain(|route, _| is_kept(route));
    }

    /// Forgets an entry that is stopping.
    pub fn peer_gone(&mut self, entry: &EntryId) {
        self.peers.swap_remove(entry);
    }

    /// Returns the share of each live entry, in the order of their ids.
    fn shares(&self, route: &RouteName) -> Vec<f64> {
        let mine = self.meters.get(route).map_or(0.0, |meter| meter.demand);
        let peers = self.peers.iter().map(|(entry, peer)| {
            let demand = peer.demand.get(route.as_str()).copied();
            (entry, demand.unwrap_or(0.0))
        });
        let mut demands: Vec<(&EntryId, f64)> = peers.chain([(&self.me, mine)]).collect();
        demands.sort_by_key(|(entry, _)| *entry);
        let count = demands.len() as f64;
        let total: f64 = demands.iter().map(|(_, demand)| demand).sum();
        let share_of = |demand: f64| {
            if total <= 0.0 {
                return 1.0 / count;
            }
            EVEN_SHARE / count + (1.0 - EVEN_SHARE) * demand / total
        };
        demands
            .into_iter()
            .map(|(_, demand)| share_of(demand))
            .collect()
    }

    /// Returns the index of this entry in `shares`.
    fn my_index(&self, shares: &[f64]) -> usize {
        let before = self.peers.keys().filter(|entry| **entry < self.me).count();
        before.min(shares.len() - 1)
    }
}

impl Meter {
    fn new(now: Instant) -> Self {
        Self {
            arrived: 0,
            demand: 0.0,
            in_progress: 0,
            bucket: Bucket::new(now),
        }
    }
}
