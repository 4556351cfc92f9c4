//! Differences between two generations of the tables.

use std::fmt;

use base::prelude::*;
use bytesize::ByteSize;

use crate::{Pool, Quota, RateLimit, Route, Tables};

/// A change to one row of the tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The row, such as `routes.style-check`.
    pub row: String,
    /// The change.
    pub change: Change,
}

/// The kind of a change to a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The row is new.
    Added,
    /// The row was removed.
    Removed,
    /// The value of a field has changed.
    Field {
        /// The field's key in the file.
        name: &'static str,
        /// The value before.
        old: String,
        /// The value after.
        new: String,
    },
}

/// Returns what changed from `old` to `new`: routes first, in the order of the files.
pub fn diff(old: &Tables, new: &Tables) -> Vec<Difference> {
    let mut differences = Vec::new();
    let old_routes = old
        .routes
        .iter()
        .map(|(name, r)| (name.as_str(), route_fields(r)));
    let new_routes = new
        .routes
        .iter()
        .map(|(name, r)| (name.as_str(), route_fields(r)));
    compare(
        "routes",
        old_routes.collect(),
        new_routes.collect(),
        &mut differences,
    );
    let old_pools = old
        .pools
        .iter()
        .map(|(name, p)| (name.as_str(), pool_fields(p)));
    let new_pools = new
        .pools
        .iter()
        .map(|(name, p)| (name.as_str(), pool_fields(p)));
    compare(
        "pools",
        old_pools.collect(),
        new_pools.collect(),
        &mut differences,
    );
    differences
}

type Fields = Vec<(&'static str, String)>;

fn compare(
    table: &str,
    old: IndexMap<&str, Fields>,
    new: IndexMap<&str, Fields>,
    differences: &mut Vec<Difference>,
) {
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        differences.push(Difference {
            row: format!("{table}.{name}"),
            change: Change::Removed,
        });
    }
    for (name, fields) in &new {
        let row = format!("{table}.{name}");
        let Some(before) = old.get(name) else {
            let change = Change::Added;
            differences.push(Difference { row, change });
            continue;
        };
        for ((name, new), (_, old)) in fields.iter().zip(before) {
            if new != old {
                let change = Change::Field {
                    name,
                    old: old.clone(),
                    new: new.clone(),
                };
                let row = row.clone();
                differences.push(Difference { row, change });
            }
        }
    }
}

fn route_fields(r: &Route) -> Fields {
    vec![
        ("path", r.path.to_string()),
        ("kind", format!("{:?}", r.kind).to_lowercase()),
        ("pool", r.pool.to_string()),
        ("desk", r.desk.to_string()),
        ("team", r.team.to_string()),
        ("class", r.class.to_string()),
        ("priority", format!("{:?}", r.priority).to_lowercase()),
        ("idempotent", r.idempotent.to_string()),
        ("hedge", r.hedge.to_string()),
        ("deadline", format_duration(r.deadline)),
        (
            "max-body",
            ByteSize::b(r.max_body_bytes).display().iec().to_string(),
        ),
        ("rate", format_optional(r.rate, format_rate)),
        (
            "concurrency",
            format_optional(r.concurrency, |n| n.to_string()),
        ),
        ("retry-budget", r.retry_budget.to_string()),
        ("resources", r.resources.to_string()),
        ("run-time", format_optional(r.run_time, format_duration)),
        (
            "finish-within",
            format_optional(r.finish_within, format_duration),
        ),
        ("max-failures", r.max_failures.to_string()),
        (
            "objective",
            format_optional(r.objective, |o| {
                format!("{} within {}", o.share, format_duration(o.within))
            }),
        ),
    ]
}

fn pool_fields(p: &Pool) -> Fields {
    let weights = p.weights;
    vec![
        ("workers", p.workers.join(", ")),
        ("zones", join_names(p.zones.iter().map(ZoneName::as_str))),
        (
            "weights",
            format!(
                "tail {:.3}, throughput {:.3}, evictions {:.3}",
                weights.tail, weights.throughput, weights.evictions
            ),
        ),
        ("outage-grace", format_duration(p.outage_grace)),
        ("evictions-per-hour", p.evictions_per_hour.to_string()),
        ("reserved", p.reserved.to_string()),
        ("teams", format_teams(&p.teams)),
    ]
}

fn join_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.collect::<Vec<_>>().join(", ")
}

fn format_teams(teams: &IndexMap<TeamName, Quota>) -> String {
    let texts = teams.iter().map(|(team, quota)| {
        let suffix = if quota.borrow {
            ""
        } else {
            " without borrowing"
        };
        format!("{team} {}{suffix}", quota.share)
    });
    texts.collect::<Vec<_>>().join(", ")
}

fn format_rate(rate: RateLimit) -> String {
    format!("{} a second, burst {}", rate.per_second, rate.burst)
}

fn format_duration(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}

fn format_optional<T>(value: Option<T>, format: impl FnOnce(T) -> String) -> String {
    value.map_or_else(|| "none".to_owned(), format)
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            Change::Added => write!(f, "{}: added", self.row),
            Change::Removed => write!(f, "{}: removed", self.row),
            Change::Field { name, old, new } => {
                write!(f, "{}: {name}: {old} -> {new}", self.row)
            }
        }
    }
}
