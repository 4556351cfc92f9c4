//! The validated routes and pools.

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
    /// Latency-critical requests, served by a target.
    Request,
    /// Batch jobs, run to completion on a worker.
    Batch,
    /// Standing work, kept running until cancelled.
    Standing,
}

/// The order in which work starts and is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// May wait, and is evicted first.
    Low,
    /// The default.
    Normal,
    /// Starts within seconds, by pre-emption if need be.
    Urgent,
}

/// A row of the routes table: how requests under one path are served.
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
    /// The team whose quota the work counts against, if the caller names none.
    pub team: TeamName,
    /// The class of the work; tasks of one class use resources and interfere alike.
    pub class: ClassName,
    /// The order in which work of the route starts and is evicted.
    pub priority: Priority,
    /// Whether a request may safely run twice.
    pub idempotent: bool,
    /// Whether a second attempt may race the first; needs `idempotent`.
    pub hedge: bool,
    /// How long a caller waits for a response, if the caller sets no deadline.
    pub deadline: Duration,
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// The limit of requests per second, for the route as a whole.
    pub rate: Option<RateLimit>,
    /// The limit of requests in progress, over all entries.
    pub concurrency: Option<u32>,
    /// The share of first attempts that may be retried, 0 to 1.
    pub retry_budget: f64,
    /// The resources that a task requests (batch and standing).
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

/// The rate and burst size of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: f64,
    /// The largest number of requests at once.
    pub burst: u32,
}

/// A service-level objective.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Objective {
    /// The time limit for the response to a request, or for finishing a job.
    pub within: Duration,
    /// The share of requests or jobs that must meet it, 0 to 1.
    pub share: f64,
}

/// A row of the pools table: which VMs serve one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The name of the row.
    pub name: PoolName,
    /// The name patterns of its workers; a `*` matches any sequence of characters.
    pub workers: Vec<Name>,
    /// The availability zones that it may use; empty for all zones.
    pub zones: Vec<ZoneName>,
    /// The weights of the placement objectives.
    pub weights: Weights,
    /// How long tasks keep running while the store is unreachable ("R").
    pub outage_grace: Duration,
    /// How many evictions an hour the pool accepts for the sake of its services.
    pub evictions_per_hour: u32,
    /// The teams that share the pool, with their quotas; empty if there are none.
    pub teams: IndexMap<TeamName, Quota>,
    /// The part of each worker that is reserved for services.
    pub reserved: Resources,
}

/// The weights of the placement objectives; they add up to 1.
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

/// The share of a pool that a team is entitled to under contention.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quota {
    /// The share of the pool's dominant resource, 0 to 1.
    pub share: f64,
    /// Whether the team may use what others leave idle.
    pub borrow: bool,
}

impl Tables {
    /// Returns the route with the longest prefix of a request path.
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
    /// Returns true if a worker belongs to the pool.
    pub fn has_worker(&self, worker: &WorkerId, zone: &ZoneName) -> bool {
        let zone_matches = self.zones.is_empty() || self.zones.contains(zone);
        zone_matches
            && self
                .workers
                .iter()
                .any(|pattern| matches_pattern(pattern, worker.as_str()))
    }
}

/// Returns true if `prefix` is a prefix of `path` that ends at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with(['/', '?']) || prefix.ends_with('/')
}

/// Returns true if `name` matches a pattern; a `*` matches any sequence of characters.
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
