//! Reads a row of the routes table.

use base::prelude::*;

use crate::field::{OBJECTIVE_FIELDS, RATE_FIELDS, ROUTE_FIELDS};
use crate::reader::{Reader, Row};
use crate::{Objective, Priority, RateLimit, Route, RouteKind};

const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
const MIN_DEADLINE: Duration = Duration::from_millis(1);
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
const MAX_MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const DEFAULT_RETRY_BUDGET: f64 = 0.1;
const DEFAULT_MAX_FAILURES: u32 = 3;
const MAX_MAX_FAILURES: u32 = 1000;
const DEFAULT_RESOURCES: Resources = Resources::new(1, 1024, 0);
const MAX_RUN_TIME: Duration = Duration::from_secs(30 * 24 * 3600);
const MIN_RUN_TIME: Duration = Duration::from_millis(1);
const MAX_PER_SECOND: f64 = 1_000_000.0;
const MIN_PER_SECOND: f64 = 0.001;
const MAX_COUNT: u32 = 1_000_000;
/// Prefix of the entry's own API, which routes can't use.
const RESERVED_PREFIX: &str = "/v1";

const KINDS: &[(&str, RouteKind)] = &[
    ("request", RouteKind::Request),
    ("batch", RouteKind::Batch),
    ("standing", RouteKind::Standing),
];

const PRIORITIES: &[(&str, Priority)] = &[
    ("low", Priority::Low),
    ("normal", Priority::Normal),
    ("urgent", Priority::Urgent),
];

/// Reads a row; returns `None` if a required field is missing or invalid.
pub(crate) fn read(reader: &mut Reader<'_>, name: &str, row: &Row<'_>) -> Option<Route> {
    let known = ROUTE_FIELDS.iter().map(|f| f.name).collect::<Vec<_>>();
    row.check_known_fields(reader, &known);
    row.require(reader, "path", &format!("path = \"/{name}\""));
    row.require(reader, "kind", "kind = \"request\"");
    row.require(reader, "pool", "pool = \"NAME\"");
    let path = read_path(reader, row);
    let kind = row.word(reader, "kind", KINDS);
    let pool = row.name(reader, "pool");
    let desk = row.name(reader, "desk").or_else(|| pool.clone());
    let team = row.name(reader, "team").or_else(|| desk.clone());
    let class = row.name(reader, "class").unwrap_or_else(|| name.into());
    let resources = row.resources(reader, "resources");
    let idempotent = row.bool(reader, "idempotent").unwrap_or(false);
    let hedge = row.bool(reader, "hedge").unwrap_or(false);
    if hedge && !idempotent {
        let message = "expected `idempotent = true` beside `hedge = true`";
        reader.problem(row.offset_of("hedge"), message);
    }
    let priority = row.word(reader, "priority", PRIORITIES);
    let deadline = row.duration(reader, "deadline", MIN_DEADLINE, MAX_DEADLINE);
    let max_body = row.size(reader, "max-body", MAX_MAX_BODY_BYTES);
    let rate = read_rate(reader, row);
    let concurrency = row.count(reader, "concurrency", 1, MAX_COUNT);
    let retry_budget = row.number(reader, "retry-budget", 0.0, 1.0);
    let run_time = row.duration(reader, "run-time", MIN_RUN_TIME, MAX_RUN_TIME);
    let finish_within = row.duration(reader, "finish-within", MIN_RUN_TIME, MAX_RUN_TIME);
    let max_failures = row.count(reader, "max-failures", 1, MAX_MAX_FAILURES);
    let objective = read_objective(reader, row);
    let kind = kind?;
    warn_about_unused_fields(reader, row, kind);
    Some(Route {
        name: name.into(),
        path: path?,
        kind,
        pool: PoolName::new(pool?),
        desk: DeskName::new(desk?),
        team: TeamName::new(team?),
        class: ClassName::new(class),
        priority: priority.unwrap_or(Priority::Normal),
        idempotent,
        hedge,
        deadline: deadline.unwrap_or(DEFAULT_DEADLINE),
        max_body_bytes: max_body.unwrap_or(DEFAULT_MAX_BODY_BYTES),
        rate,
        concurrency,
        retry_budget: retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET),
        resources: resources.unwrap_or(default_resources(kind)),
        run_time,
        finish_within,
        max_failures: max_failures.unwrap_or(DEFAULT_MAX_FAILURES),
        objective,
    })
}

fn default_resources(kind: RouteKind) -> Resources {
    match kind {
        RouteKind::Request => Resources::ZERO,
        RouteKind::Batch | RouteKind::Standing => DEFAULT_RESOURCES,
    }
}

fn read_path(reader: &mut Reader<'_>, row: &Row<'_>) -> Option<Name> {
    let path = row.string(reader, "path")?;
    let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%' | '"' | '\\');
    if !path.starts_with('/') || !path.chars().all(is_allowed) {
        let message = "expected a path that starts with '/', without spaces, '?', '#' or '%'";
        reader.problem(row.offset_of("path"), message);
        return None;
    }
    let after_reserved = path.strip_prefix(RESERVED_PREFIX);
    if after_reserved.is_some_and(|rest| rest.is_empty() || rest.starts_with('/')) {
        let message =
            format!("expected a path outside {RESERVED_PREFIX}, which the entry answers itself");
        reader.problem(row.offset_of("path"), message);
        return None;
    }
    Some(path.into())
}

fn read_rate(reader: &mut Reader<'_>, row: &Row<'_>) -> Option<RateLimit> {
    let rate = row.typed_table(reader, "rate", RATE_FIELDS)?;
    rate.require(reader, "per-second", "per-second = 100");
    let per_second = rate.number(reader, "per-second", MIN_PER_SECOND, MAX_PER_SECOND);
    let burst = rate.count(reader, "burst", 1, MAX_COUNT);
    let per_second = per_second?;
    Some(RateLimit {
        per_second,
        burst: burst.unwrap_or(per_second.ceil() as u32),
    })
}

fn read_objective(reader: &mut Reader<'_>, row: &Row<'_>) -> Option<Objective> {
    let objective = row.typed_table(reader, "objective", OBJECTIVE_FIELDS)?;
    objective.require(reader, "within", "within = \"250ms\"");
    objective.require(reader, "share", "share = 0.99");
    let within = objective.duration(reader, "within", MIN_RUN_TIME, MAX_RUN_TIME);
    let share = objective.number(reader, "share", 0.0, 1.0);
    Some(Objective {
        within: within?,
        share: share?,
    })
}

fn warn_about_unused_fields(reader: &mut Reader<'_>, row: &Row<'_>, kind: RouteKind) {
    let unused: &[&str] = match kind {
        RouteKind::Request => &["resources", "run-time", "finish-within", "max-failures"],
        RouteKind::Batch => &["idempotent", "hedge", "retry-budget"],
        RouteKind::Standing => &[
            "idempotent",
            "hedge",
            "retry-budget",
            "run-time",
            "finish-within",
            "max-failures",
        ],
    };
    for key in unused.iter().filter(|key| row.has(key)) {
        let message = format!("`{key}` has no effect on a route of this kind");
        reader.warning(row.offset_of(key), message);
    }
}
