//! Counts the requests and jobs that met or missed each objective, in one process.

use base::prelude::*;
use tables::{Objective, RouteKind, Tables};

use super::ring::Ring;
use super::{BurnSnapshot, Counts, Offender, RouteBurn, Window};

/// Width of the buckets for the windows of [`Window`] and the plots.
const FINE_WIDTH: Duration = Duration::from_secs(30);
const FINE_BUCKETS: usize = 720;
/// Width of the buckets for the error budget of a week.
const COARSE_WIDTH: Duration = Duration::from_secs(3600);
const COARSE_BUCKETS: usize = 168;
/// Fine buckets in one point of a plot.
const FINE_PER_POINT: u64 = 10;
const OFFENDER_WIDTH: Duration = Duration::from_secs(60);
const OFFENDER_BUCKETS: usize = 60;
/// The number of offenders that are counted individually for each route; the rest are counted as
/// [`OTHER`].
const MAX_OFFENDERS: usize = 32;
const OTHER: &str = "other";

/// One request or job that ended.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The route.
    pub route: &'a RouteName,
    /// Whether it met the objective.
    pub is_good: bool,
    /// What a miss is attributed to, such as a target or a reason for refusal.
    pub offender: &'a str,
}

/// Counts the requests and jobs that met or missed each objective.
#[derive(Debug)]
pub struct BurnMeter {
    name: Name,
    start: Instant,
    routes: IndexMap<RouteName, Meter>,
}

#[derive(Debug)]
struct Meter {
    kind: RouteKind,
    objective: Objective,
    fine: Ring,
    coarse: Ring,
    offenders: IndexMap<Name, Ring>,
}

impl BurnMeter {
    /// Creates a meter of the process `name`.
    pub fn new(name: impl Into<Name>, now: Instant) -> Self {
        Self {
            name: name.into(),
            start: now,
            routes: IndexMap::new(),
        }
    }

    /// Sets the objectives from the tables; the counts of routes that keep an objective remain.
    pub fn set_tables(&mut self, tables: &Tables) {
        let mut before = std::mem::take(&mut self.routes);
        for (name, route) in &tables.routes {
            let Some(objective) = route.objective else {
                continue;
            };
            let mut meter = before
                .swap_remove(name)
                .unwrap_or_else(|| Meter::new(route.kind, objective));
            meter.kind = route.kind;
            meter.objective = objective;
            self.routes.insert(name.clone(), meter);
        }
    }

    /// Returns true if a request or job that ended after `took` met the objective of its route, or
    /// if the route has none.
    pub fn is_within(&self, route: &RouteName, took: Duration) -> bool {
        let meter = self.routes.get(route);
        meter.is_none_or(|meter| took <= meter.objective.within)
    }

    /// Counts a request or job that ended; routes without an objective are not counted.
    pub fn record(&mut self, now: Instant, sample: &Sample<'_>) {
        let at = now.saturating_duration_since(self.start);
        let Some(meter) = self.routes.get_mut(sample.route) else {
            return;
        };
        let counts = Counts {
            total: 1,
            bad: u64::from(!sample.is_good),
        };
        meter.fine.add(at, counts);
        meter.coarse.add(at, counts);
        if !sample.is_good {
            meter.record_offender(at, sample.offender, counts);
        }
    }

    /// Returns the counts of every window.
    pub fn snapshot(&mut self, now: Instant) -> BurnSnapshot {
        let at = now.saturating_duration_since(self.start);
        let routes = self.routes.iter_mut();
        BurnSnapshot {
            processes: vec![Arc::clone(&self.name)],
            observed: at,
            routes: routes
                .map(|(name, meter)| meter.snapshot(name.clone(), at))
                .collect(),
        }
    }
}

impl Meter {
    fn new(kind: RouteKind, objective: Objective) -> Self {
        Self {
            kind,
            objective,
            fine: Ring::new(FINE_WIDTH, FINE_BUCKETS),
            coarse: Ring::new(COARSE_WIDTH, COARSE_BUCKETS),
            offenders: IndexMap::new(),
        }
    }

    fn record_offender(&mut self, at: Duration, offender: &str, counts: Counts) {
        let is_known = self.offenders.contains_key(offender);
        let is_full = self.offenders.len() >= MAX_OFFENDERS;
        let name = if is_full && !is_known {
            OTHER
        } else {
            offender
        };
        self.offenders
            .entry(name.into())
            .or_insert_with(|| Ring::new(OFFENDER_WIDTH, OFFENDER_BUCKETS))
            .add(at, counts);
    }

    fn snapshot(&mut self, route: RouteName, at: Duration) -> RouteBurn {
        self.fine.advance(at);
        self.coarse.advance(at);
        for ring in self.offenders.values_mut() {
            ring.advance(at);
        }
        let hour = Window::Hour.length();
        self.offenders.retain(|_, ring| ring.sum(hour).bad > 0);
        let offenders = self.offenders.iter().map(|(name, ring)| Offender {
            name: Arc::clone(name),
            bad: ring.sum(hour).bad,
        });
        RouteBurn {
            route,
            kind: self.kind,
            objective: self.objective,
            windows: Window::ALL.map(|window| self.fine.sum(window.length())),
            week: self.coarse.sum(COARSE_WIDTH * COARSE_BUCKETS as u32),
            series: self.fine.series(FINE_PER_POINT),
            offenders: offenders.collect(),
        }
    }
}
