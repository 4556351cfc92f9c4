//! Checks between rows and between the two tables.

use base::prelude::*;

use crate::parse::Placed;
use crate::reader::{Reader, suggestion};
use crate::{Pool, Route, RouteKind};

/// Checks what no row can tell alone. `declared` names all pools, those with faults
/// included; `None` where they can't be told.
pub(crate) fn joins(
    routes_reader: &mut Reader<'_>,
    pools_reader: &mut Reader<'_>,
    routes: &[Placed<Route>],
    pools: &[Placed<Pool>],
    declared: Option<&IndexSet<Name>>,
) {
    let by_name = pools
        .iter()
        .map(|placed| (placed.row.name.clone(), Arc::clone(&placed.row)))
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
        check_use(pools_reader, pool, routes);
    }
}

fn check_pool(
    reader: &mut Reader<'_>,
    route: &Placed<Route>,
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
        let near = suggestion(pool.as_str(), &known);
        let message =
            format!("route `{name}`: expected a pool of {pools_path}, found `{pool}`{near}");
        reader.problem(route.at, message);
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
        reader.warning(route.at, message);
    }
    let team = &route.row.team;
    if !pool.teams.is_empty() && !pool.teams.contains_key(team) {
        let known = pool.teams.keys().map(TeamName::as_str).collect::<Vec<_>>();
        let message = format!(
            "route `{name}`: expected a team of pool `{}` ({}), found `{team}`",
            pool.name,
            known.join(", ")
        );
        reader.problem(route.at, message);
    }
}

fn check_objective(reader: &mut Reader<'_>, route: &Placed<Route>) {
    let Some(objective) = route.row.objective else {
        return;
    };
    if route.row.kind == RouteKind::Request && objective.within > route.row.deadline {
        let message = format!(
            "route `{}`: the objective allows more time than the deadline",
            route.row.name
        );
        reader.warning(route.at, message);
    }
}

fn check_paths(reader: &mut Reader<'_>, routes: &[Placed<Route>]) {
    let mut seen = IndexMap::<&str, &RouteName>::new();
    for route in routes {
        let path = route.row.path.trim_end_matches('/');
        if let Some(other) = seen.get(path) {
            let message = format!(
                "route `{}`: expected a path of its own, found that of route `{other}`",
                route.row.name
            );
            reader.problem(route.at, message);
        }
        seen.insert(path, &route.row.name);
    }
}

fn check_overlaps(reader: &mut Reader<'_>, pools: &[Placed<Pool>]) {
    for (i, pool) in pools.iter().enumerate() {
        for other in &pools[..i] {
            if let Some((pattern, rival)) = common_worker(&pool.row, &other.row) {
                let message = format!(
                    "pool `{}`: expected workers of its own, but `{pattern}` overlaps `{rival}` of pool `{}`",
                    pool.row.name, other.row.name
                );
                reader.problem(pool.at, message);
            }
        }
    }
}

/// Returns the patterns of two pools under which one worker would fall into both.
fn common_worker<'a>(pool: &'a Pool, other: &'a Pool) -> Option<(&'a Name, &'a Name)> {
    let zones_meet = pool.zones.is_empty()
        || other.zones.is_empty()
        || pool.zones.iter().any(|zone| other.zones.contains(zone));
    if !zones_meet {
        return None;
    }
    pool.workers.iter().find_map(|pattern| {
        let rival = other
            .workers
            .iter()
            .find(|rival| patterns_meet(pattern.as_bytes(), rival.as_bytes()))?;
        Some((pattern, rival))
    })
}

/// Tells whether some name matches both patterns.
fn patterns_meet(a: &[u8], b: &[u8]) -> bool {
    // Row i holds, for each j, whether a[i..] and b[j..] have a name in common.
    let mut below = vec![false; b.len() + 1];
    for i in (0..=a.len()).rev() {
        let mut row = vec![false; b.len() + 1];
        for j in (0..=b.len()).rev() {
            row[j] = match (a.get(i), b.get(j)) {
                (None, None) => true,
                (Some(b'*'), Some(b'*')) => below[j] || row[j + 1],
                (Some(b'*'), None) => below[j],
                (None, Some(b'*')) => row[j + 1],
                (Some(b'*'), Some(_)) => below[j] || row[j + 1],
                (Some(_), Some(b'*')) => below[j] || row[j + 1],
                (Some(x), Some(y)) => x == y && below[j + 1],
                _ => false,
            };
        }
        below = row;
    }
    below[0]
}

fn check_use(reader: &mut Reader<'_>, pool: &Placed<Pool>, routes: &[Placed<Route>]) {
    let name = &pool.row.name;
    if pool.row.workers.is_empty() {
        reader.warning(pool.at, format!("pool `{name}` has no workers"));
    }
    let users = routes.iter().filter(|route| route.row.pool == *name);
    let kinds = users.map(|route| route.row.kind).collect::<IndexSet<_>>();
    if kinds.is_empty() {
        reader.warning(pool.at, format!("no route uses pool `{name}`"));
    }
    let shared = kinds.contains(&RouteKind::Request) && kinds.len() > 1;
    if shared && pool.row.reserved == Resources::ZERO {
        let message = format!(
            "pool `{name}` serves requests beside tasks but reserves nothing for its services"
        );
        reader.warning(pool.at, message);
    }
}
