//! Routes and pools, checked and joined.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Both tables of one generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tables {
    /// The generation.
    pub generation: Generation,
    /// The routes, in the order of the file.
    pub routes: IndexMap<RouteName, Arc<Route>>,
    /// The pools, in the order of the file.
    pub pools: IndexMap<PoolName, Arc<Pool>>,
}

/// What a route carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Latency-critical requests, answered by a target.
    Request,
    /// Batch jobs, run to an end on a worker.
    Batch,
    /// Standing work, kept running until cancelled.
    Standing,
}

/// Who goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// May wait, and is evicted first.
    Low,
    /// The ordinary case.
    Normal,
    /// Starts within seconds, by pre-emption if need be.
    Urgent,
}

/// A row of the routes table: where one kind of request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the row.
    pub name: RouteName,
    /// The path prefix that requests come in under, such as `/check`.
    pub path: Name,
    /// What the route carries.
    pub kind: RouteKind,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The desk whose work this is.
    pub desk: DeskName,
    /// The team that the work counts against, where the caller names none.
    pub team: TeamName,
    /// The class of the work, by which it uses and harms alike.
    pub class: ClassName,
    /// Who goes first.
    pub priority: Priority,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// Whether a second attempt may race the first; needs `idempotent`.
    pub hedge: bool,
    /// How long a caller waits for an answer, where the caller sets no deadline.
    pub deadline: Duration,
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// How many requests a second the whole route takes.
    pub rate: Option<RateLimit>,
    /// How many requests of the route may be in progress over all entries.
    pub concurrency: Option<u32>,
    /// The share of first attempts that may be retried, 0 to 1.
    pub retry_budget: f64,
    /// What a task of this route asks for (batch and standing).
    pub resources: Resources,
    /// How long a task is expected to run undisturbed (batch).
    pub run_time: Option<Duration>,
    /// How long after its submission a job should be finished (batch).
    pub finish_within: Option<Duration>,
    /// How many attempts may fail before the job fails.
    pub max_failures: u32,
    /// The service-level objective.
    pub objective: Option<Objective>,
}

/// A rate with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests at once.
    pub burst: u32,
}

/// A service-level objective.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Objective {
    /// The time within which a request is answered or a job finished.
    pub within: Duration,
    /// The share that must hold it, 0 to 1.
    pub share: f64,
}

/// A row of the pools table: which VMs serve one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The name of the row.
    pub name: PoolName,
    /// The workers, by name, where a `*` stands for any run of characters.
    pub workers: Vec<Name>,
    /// The availability zones it may use; empty for all.
    pub zones: Vec<ZoneName>,
    /// What the desk weighs most.
    pub weights: Weights,
    /// How long tasks go on while the store is unreachable ("R").
    pub outage_grace: Duration,
    /// How many evictions an hour the pool accepts for the sake of its services.
    pub evictions_per_hour: u32,
    /// The teams that share the pool, with their quotas; empty where none are set.
    pub teams: IndexMap<TeamName, Quota>,
    /// The part of each worker kept for the services on it.
    pub reserved: Resources,
}

/// How much each measure counts; the parts add up to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Weights {
    /// Tail latency of services.
    pub tail: f64,
    /// Batch throughput.
    pub throughput: f64,
    /// Evictions.
    pub evictions: f64,
}

impl Weights {
    /// The preset of a manuscript desk.
    pub const MANUSCRIPT: Self = Self {
        tail: 0.2,
        throughput: 0.4,
        evictions: 0.4,
    };

    /// The preset of a trading desk.
    pub const TRADING: Self = Self {
        tail: 0.7,
        throughput: 0.2,
        evictions: 0.1,
    };
}

/// The share of a pool that a team may hold when all teams want it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quota {
    /// The share of the pool's dominant resource, 0 to 1.
    pub share: f64,
    /// Whether the team may use what others leave idle.
    pub borrow: bool,
}

impl Tables {
    /// Returns the route that a request path falls under: the longest prefix wins.
    pub fn route_for_path(&self, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .values()
            .filter(|route| is_path_prefix(&route.path, path))
            .max_by_key(|route| route.path.len())
    }

    /// Returns the pools that a worker belongs to.
    pub fn pools_of_worker<'a>(
        &'a self,
        worker: &'a WorkerId,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = &'a Arc<Pool>> {
        self.pools
            .values()
            .filter(move |pool| pool.has_worker(worker, zone))
    }
}

impl Pool {
    /// Tells whether a worker belongs to the pool.
    pub fn has_worker(&self, worker: &WorkerId, zone: &ZoneName) -> bool {
        let zone_matches = self.zones.is_empty() || self.zones.contains(zone);
        zone_matches
            && self
                .workers
                .iter()
                .any(|pattern| matches_pattern(pattern, worker.as_str()))
    }
}

/// Tells whether `prefix` covers `path` up to a segment border.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with(['/', '?']) || prefix.ends_with('/')
}

/// Tells whether `name` matches a pattern in which `*` stands for any run of characters.
fn matches_pattern(pattern: &str, name: &str) -> bool {
    let Some((head, tail)) = pattern.split_once('*') else {
        return pattern == name;
    };
    let Some(rest) = name.strip_prefix(head) else {
        return false;
    };
    (0..=rest.len())
        .filter(|&at| rest.is_char_boundary(at))
        .any(|at| matches_pattern(tail, &rest[at..]))
}
