//! Counts of one or more processes, and the report computed from them.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use tables::{Objective, RouteKind};

/// Burn rate over both 5 minutes and an hour, above which a person should act at once.
const PAGE_BURN: f64 = 14.4;
/// Burn rate over both 30 minutes and 6 hours, above which a person should act within the day.
const TICKET_BURN: f64 = 6.0;
/// Lower bound of the error budget, so that an objective of 1 has a finite burn rate.
const MIN_BUDGET: f64 = 1e-6;
const MAX_OFFENDERS_SHOWN: usize = 5;

/// A window over which the burn rate is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// Five minutes.
    FiveMinutes,
    /// Half an hour.
    HalfHour,
    /// An hour.
    Hour,
    /// Six hours.
    SixHours,
}

impl Window {
    /// Every window, shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::HalfHour,
        Self::Hour,
        Self::SixHours,
    ];

    /// Returns how long the window is.
    pub const fn length(self) -> Duration {
        Duration::from_secs(match self {
            Self::FiveMinutes => 5 * 60,
            Self::HalfHour => 30 * 60,
            Self::Hour => 3600,
            Self::SixHours => 6 * 3600,
        })
    }
}

/// The number of finished requests or jobs, and how many of them missed the objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// All that ended.
    pub total: u64,
    /// Those that missed the objective.
    pub bad: u64,
}

/// What misses of the last hour are attributed to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Offender {
    /// A target, or a reason.
    pub name: Name,
    /// The number of misses.
    pub bad: u64,
}

/// The counts of one route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteBurn {
    /// The route.
    pub route: RouteName,
    /// The kind of work that the route accepts.
    pub kind: RouteKind,
    /// Its objective.
    pub objective: Objective,
    /// The counts over [`Window::ALL`].
    pub windows: [Counts; 4],
    /// The counts over the last week, or since the processes started.
    pub week: Counts,
    /// The last six hours in points of five minutes, oldest first.
    pub series: Vec<Counts>,
    /// The misses of the last hour by offender.
    pub offenders: Vec<Offender>,
}

/// The counts of one or more processes.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BurnSnapshot {
    /// The processes.
    pub processes: Vec<Name>,
    /// The longest time for which one of the processes has counted.
    pub observed: Duration,
    /// The counts of each route with an objective.
    pub routes: Vec<RouteBurn>,
}

/// The urgency of the burn of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alarm {
    /// No action is needed.
    None,
    /// The budget burns fast over 30 minutes and 6 hours: act within the day.
    Ticket,
    /// The budget burns very fast over 5 minutes and an hour: act now.
    Page,
}

/// The burn report of a route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteReport {
    /// The route.
    pub route: RouteName,
    /// The kind of work that the route accepts.
    pub kind: RouteKind,
    /// The objective's time, in milliseconds.
    pub within_ms: u64,
    /// The objective's share.
    pub share: f64,
    /// The burn rates over [`Window::ALL`].
    pub burn: [f64; 4],
    /// The counts over [`Window::ALL`].
    pub counts: [Counts; 4],
    /// The share of the week's error budget that is left; negative if it is overspent.
    pub budget_left: f64,
    /// The urgency.
    pub alarm: Alarm,
    /// The burn rates of the last six hours in points of five minutes, oldest first.
    pub series: Vec<f64>,
    /// The offenders with the most misses in the last hour.
    pub worst: Vec<Offender>,
}

/// The burn report of all routes with an objective, the most urgent first.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BurnReport {
    /// The processes whose counts it holds.
    pub processes: Vec<Name>,
    /// Processes that did not respond, whose counts are missing.
    pub missing: Vec<Name>,
    /// How long the longest-running process has counted, in seconds.
    pub observed_s: u64,
    /// The routes.
    pub routes: Vec<RouteReport>,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }

    /// Returns the burn rate against an objective; 0 where nothing was counted.
    pub fn burn(self, objective: Objective) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let missed = self.bad as f64 / self.total as f64;
        missed / (1.0 - objective.share).max(MIN_BUDGET)
    }
}

impl BurnSnapshot {
    /// Adds the counts of other processes.
    pub fn merge(&mut self, other: Self) {
        self.processes.extend(other.processes);
        self.observed = self.observed.max(other.observed);
        for route in other.routes {
            match self.routes.iter_mut().find(|own| own.route == route.route) {
                Some(own) => own.merge(&route),
                None => self.routes.push(route),
            }
        }
    }

    /// Computes burn rates, budgets and alarms.
    ///
    /// `missing` names the processes whose counts could not be read.
    pub fn report(&self, missing: Vec<Name>) -> BurnReport {
        let mut routes = self
            .routes
            .iter()
            .map(RouteBurn::report)
            .collect::<Vec<_>>();
        let hour = |route: &RouteReport| route.burn[2];
        routes.sort_by(|a, b| b.alarm.cmp(&a.alarm).then(hour(b).total_cmp(&hour(a))));
        BurnReport {
            processes: self.processes.clone(),
            missing,
            observed_s: self.observed.as_secs(),
            routes,
        }
    }
}

impl RouteBurn {
    fn merge(&mut self, other: &Self) {
        for (own, other) in self.windows.iter_mut().zip(&other.windows) {
            own.add(*other);
        }
        self.week.add(other.week);
        for (own, other) in self.series.iter_mut().zip(&other.series) {
            own.add(*other);
        }
        for offender in &other.offenders {
            match self
                .offenders
                .iter_mut()
                .find(|own| own.name == offender.name)
            {
                Some(own) => own.bad += offender.bad,
                None => self.offenders.push(offender.clone()),
            }
        }
    }

    fn report(&self) -> RouteReport {
        let burn = self.windows.map(|counts| counts.burn(self.objective));
        let mut worst = self.offenders.clone();
        worst.sort_by(|a, b| b.bad.cmp(&a.bad).then_with(|| a.name.cmp(&b.name)));
        worst.truncate(MAX_OFFENDERS_SHOWN);
        let series = self.series.iter();
        RouteReport {
            route: self.route.clone(),
            kind: self.kind,
            within_ms: u64::try_from(self.objective.within.as_millis()).unwrap_or(u64::MAX),
            share: self.objective.share,
            burn,
            counts: self.windows,
            budget_left: 1.0 - self.week.burn(self.objective),
            alarm: alarm(burn),
            series: series.map(|counts| counts.burn(self.objective)).collect(),
            worst,
        }
    }
}

/// Returns the alarm for burn rates over [`Window::ALL`].
///
/// Two windows must exceed a threshold: the long one shows that the burn is significant, the short
/// one that it is still going on.
fn alarm([five_minutes, half_hour, hour, six_hours]: [f64; 4]) -> Alarm {
    if five_minutes > PAGE_BURN && hour > PAGE_BURN {
        return Alarm::Page;
    }
    if half_hour > TICKET_BURN && six_hours > TICKET_BURN {
        return Alarm::Ticket;
    }
    Alarm::None
}
