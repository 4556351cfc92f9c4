//! The routes in force.

use base::prelude::*;
use jobs::RouteTerms;

/// A route as callers see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host that requests name.
    pub host: Name,
    /// What their paths begin with.
    pub prefix: Name,
    /// What the route asks of its jobs.
    pub terms: RouteTerms,
}

/// One version of all routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The version; a process never goes back to a lower one.
    pub generation: Generation,
    /// The routes.
    pub routes: Vec<Route>,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

/// The route that a request belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Sought {
    /// What the route asks of its jobs.
    pub terms: RouteTerms,
    /// What follows the prefix in the path.
    pub rest: Name,
}

impl RouteTable {
    /// Finds the route with the host and the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<Sought> {
        let matching = self
            .routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.prefix));
        let route = matching.max_by_key(|r| r.prefix.len())?;
        Some(Sought {
            terms: route.terms.clone(),
            rest: path[route.prefix.len()..].into(),
        })
    }
}
