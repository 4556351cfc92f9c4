//! Checks that involve several rows or both tables.

use base::prelude::*;

use crate::parse::Located;
use crate::reader::{Reader, suggestion};
use crate::{Pool, Route, RouteKind};

/// Checks references between the tables and conflicts between rows.
///
/// `declared` holds the names of all pools, invalid ones included. If it is `None`, the pools could
/// not be read, and the references to them are not checked.
pub(crate) fn cross_references(
    routes_reader: &mut Reader<'_>,
    pools_reader: &mut Reader<'_>,
    routes: &[Located<Route>],
    pools: &[Located<Pool>],
    declared: Option<&IndexSet<Name>>,
) {
    let by_name = pools
        .iter()
        .map(|pool| (pool.row.name.clone(), Arc::clone(&pool.row)))
        .collect::<IndexMap<_, _>>();
    let pools_path = pools_reader.path();
    for route in routes {
        check_pool(routes_reader, route, &by_name, declared, pools_path);
        check_objective(routes_reader, route);
    }
    check_paths(routes_reader, routes);
    check_overlaps(pools_reader, pools);
    if routes.is_empty() && routes_reader.problems.is_empty() {
        routes_reader.warning(0, "there are no routes");
    }
    for pool in pools {
        check_pool_usage(pools_reader, pool, routes);
    }
}

fn check_pool(
    reader: &mut Reader<'_>,
    route: &Located<Route>,
    pools: &IndexMap<PoolName, Arc<Pool>>,
    declared: Option<&IndexSet<Name>>,
    pools_path: &str,
) {
    let Route { name, pool, .. } = &*route.row;
    let Some(declared) = declared else {
        return;
    };
    if !declared.contains(pool.as_str()) {
        let known = declared.iter().map(AsRef::as_ref).collect::<Vec<_>>();
        let hint = suggestion(pool.as_str(), &known);
        let message =
            format!("route `{name}`: expected a pool of {pools_path}, found `{pool}`{hint}");
        reader.problem(route.offset, message);
        return;
    }
    let Some(pool) = pools.get(pool) else {
        return;
    };
    if pool.workers.is_empty() {
        let message = format!(
            "route `{name}`: pool `{}` has no workers to serve it",
            pool.name
        );
        reader.warning(route.offset, message);
    }
    let team = &route.row.team;
    if !pool.teams.is_empty() && !pool.teams.contains_key(team) {
        let known = pool.teams.keys().map(TeamName::as_str).collect::<Vec<_>>();
        let message = format!(
            "route `{name}`: expected a team of pool `{}` ({}), found `{team}`",
            pool.name,
            known.join(", ")
        );
        reader.problem(route.offset, message);
    }
}

fn check_objective(reader: &mut Reader<'_>, route: &Located<Route>) {
    let Some(objective) = route.row.objective else {
        return;
    };
    if route.row.kind == RouteKind::Request && objective.within > route.row.deadline {
        let message = format!(
            "route `{}`: the objective allows more time than the deadline",
            route.row.name
        );
        reader.warning(route.offset, message);
    }
}

fn check_paths(reader: &mut Reader<'_>, routes: &[Located<Route>]) {
    let mut seen = IndexMap::<&str, &RouteName>::new();
    for route in routes {
        let path = route.row.path.trim_end_matches('/');
        if let Some(other) = seen.get(path) {
            let message = format!(
                "route `{}`: expected a path of its own, found that of route `{other}`",
                route.row.name
            );
            reader.problem(route.offset, message);
        }
        seen.insert(path, &route.row.name);
    }
}

fn check_overlaps(reader: &mut Reader<'_>, pools: &[Located<Pool>]) {
    for (i, pool) in pools.iter().enumerate() {
        for other in &pools[..i] {
            if let Some((pattern, other_pattern)) = overlapping_patterns(&pool.row, &other.row) {
                let message = format!(
                    "pool `{}`: expected workers of its own, but `{pattern}` overlaps `{other_pattern}` of pool `{}`",
                    pool.row.name, other.row.name
                );
                reader.problem(pool.offset, message);
            }
        }
    }
}

/// Returns patterns of two pools, one of each, that some worker could match both of.
fn overlapping_patterns<'a>(pool: &'a Pool, other: &'a Pool) -> Option<(&'a Name, &'a Name)> {
    let zones_overlap = pool.zones.is_empty()
        || other.zones.is_empty()
        || pool.zones.iter().any(|zone| other.zones.contains(zone));
    if !zones_overlap {
        return None;
    }
    pool.workers.iter().find_map(|pattern| {
        let other_pattern = other
            .workers
            .iter()
            .find(|other_pattern| patterns_overlap(pattern.as_bytes(), other_pattern.as_bytes()))?;
        Some((pattern, other_pattern))
    })
}

/// Returns true if some name matches both patterns.
fn patterns_overlap(a: &[u8], b: &[u8]) -> bool {
    // `row[j]` of index i is true if some name matches both a[i..] and b[j..].
    let mut next_row = vec![false; b.len() + 1];
    for i in (0..=a.len()).rev() {
        let mut row = vec![false; b.len() + 1];
        for j in (0..=b.len()).rev() {
            row[j] = match (a.get(i), b.get(j)) {
                (None, None) => true,
                (Some(b'*'), Some(b'*')) => next_row[j] || row[j + 1],
                (Some(b'*'), None) => next_row[j],
                (None, Some(b'*')) => row[j + 1],
                (Some(b'*'), Some(_)) => next_row[j] || row[j + 1],
                (Some(_), Some(b'*')) => next_row[j] || row[j + 1],
                (Some(x), Some(y)) => x == y && next_row[j + 1],
                _ => false,
            };
        }
        next_row = row;
    }
    next_row[0]
}

fn check_pool_usage(reader: &mut Reader<'_>, pool: &Located<Pool>, routes: &[Located<Route>]) {
    let name = &pool.row.name;
    if pool.row.workers.is_empty() {
        reader.warning(pool.offset, format!("pool `{name}` has no workers"));
    }
    let users = routes.iter().filter(|route| route.row.pool == *name);
    let kinds = users.map(|route| route.row.kind).collect::<IndexSet<_>>();
    if kinds.is_empty() {
        reader.warning(pool.offset, format!("no route uses pool `{name}`"));
    }
    let shared = kinds.contains(&RouteKind::Request) && kinds.len() > 1;
    if shared && pool.row.reserved == Resources::ZERO {
        let message = format!(
            "pool `{name}` serves requests beside tasks but reserves nothing for its services"
        );
        reader.warning(pool.offset, message);
    }
}
